// Whether this daemon is in contact with a majority of the voters, so that the
// configuration can be changed.

#include "pool/agreement/agreement.h"
#include "pool/agreement/agreement_detail.h"

namespace goldcrest {
namespace {

// Elections, and the replacement of a voter, take less.
constexpr Micros kReportNoQuorumAfter = 3 * kSecond;
constexpr Micros kQuorumReviewPeriod = 100 * kMillisecond;

// Returns the addresses of the voters that were not heard recently, or that
// have another disk now.
std::string MissingVoters(const Agreement& agreement, Micros now) {
  std::string missing;
  for (const wire::Voter& voter :
       detail::AllVoters(detail::NewestEntry(agreement))) {
    const auto peer = agreement.peers.find(voter.address());
    const bool present =
        voter.store_id() == detail::StoreId(agreement) ||
        (peer != agreement.peers.end() &&
         peer->second.store_id == voter.store_id() &&
         now - peer->second.last_received_at < kReportNoQuorumAfter);
    if (!present) {
      missing += (missing.empty() ? "" : ",") + voter.address();
    }
  }
  return missing;
}

}  // namespace

bool HasQuorum(const Agreement& agreement, Micros now) {
  return agreement.role == AgreementRole::kLeader
             ? MayServeReads(agreement, now)
             : agreement.had_leader_contact &&
                   now - agreement.leader_contact_at <
                       agreement.options.election_timeout;
}

namespace detail {

bool HoldsLease(const Agreement& agreement, Micros now) {
  if (agreement.role != AgreementRole::kLeader) {
    return false;
  }
  return HasMajority(NewestEntry(agreement), [&](const wire::Voter& voter) {
    if (voter.store_id() == StoreId(agreement)) {
      return true;
    }
    const FollowerState* follower = FollowerOf(agreement, voter);
    return follower != nullptr && follower->acknowledged_round_sent_at != 0 &&
           now - follower->acknowledged_round_sent_at <
               agreement.options.leader_lease;
  });
}

void ReviewQuorum(Agreement& agreement, Micros now, PoolActions& actions) {
  if (now < agreement.quorum_review_due) {
    return;
  }
  agreement.quorum_review_due = now + kQuorumReviewPeriod;
  if (HasQuorum(agreement, now)) {
    if (agreement.no_quorum_reported) {
      LogPoolEvent(actions, LogLevel::kInfo, "quorum_regained",
                   {{"after_ms", Milliseconds(now - agreement.quorum_at)}});
    }
    agreement.no_quorum_reported = false;
    agreement.quorum_at = now;
    return;
  }
  if (agreement.no_quorum_reported ||
      now - agreement.quorum_at < kReportNoQuorumAfter) {
    return;
  }
  agreement.no_quorum_reported = true;
  const wire::RegisterState& state = NewestEntry(agreement);
  LogPoolEvent(
      actions, LogLevel::kError, "no_quorum",
      {{"voters", std::to_string(state.voters_size())},
       {"replaced", std::to_string(state.replaced_voters_size())},
       {"missing", MissingVoters(agreement, now)},
       {"write_ms", Milliseconds(WriteTimeOf(agreement, now))},
       {"majority_write_ms", Milliseconds(MajorityWriteTime(agreement, now))},
       {"version", std::to_string(state.routing().version())}});
}

}  // namespace detail
}  // namespace goldcrest
