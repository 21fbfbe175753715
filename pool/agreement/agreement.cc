#include "pool/agreement/agreement.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "goldcrest/digest.h"
#include "pool/agreement/agreement_detail.h"

namespace goldcrest {
namespace {

// Delay before a state that a follower has not acknowledged is sent again.
constexpr Micros kResendStateAfter = 400 * kMillisecond;
// Number of heartbeat rounds whose send times are recorded.
constexpr size_t kMaxRecordedRounds = 64;

void Commit(Agreement& agreement,
            const wire::RegisterState& state,
            PoolActions& actions) {
  const uint64_t before = agreement.committed.routing().version();
  agreement.committed = state;
  agreement.committed_index = state.index();
  if (state.routing().version() != before) {
    LogPoolEvent(actions, LogLevel::kInfo, "configuration_in_force",
                 {{"version", std::to_string(state.routing().version())},
                  {"index", std::to_string(state.index())},
                  {"queues", std::to_string(state.routing().queues_size())}});
  }
}

// Returns the index of the newest state of this term that the voter has on
// disk; 0 if there is none.
uint64_t DurableIndexOf(const Agreement& agreement, const wire::Voter& voter) {
  const uint64_t term = agreement.stored.term();
  if (voter.store_id() == detail::StoreId(agreement)) {
    const EntryId& entry = agreement.writes.durable_entry;
    return entry.term == term ? entry.index : 0;
  }
  const FollowerState* follower = detail::FollowerOf(agreement, voter);
  return follower != nullptr && follower->durable.term == term
             ? follower->durable.index
             : 0;
}

void SendAppend(Agreement& agreement,
                const std::string& to,
                bool with_state,
                Micros now,
                PoolActions& actions) {
  wire::PoolMessage message;
  wire::Append& append = *message.mutable_append();
  append.set_term(agreement.stored.term());
  append.set_leader(detail::StoreId(agreement));
  append.set_last_term(detail::NewestEntry(agreement).term());
  append.set_last_index(detail::NewestEntry(agreement).index());
  append.set_commit_index(agreement.committed_index);
  append.set_round(agreement.round);
  if (with_state) {
    *append.mutable_state() = detail::NewestEntry(agreement);
    FollowerState& follower = agreement.followers[to];
    follower.last_sent_index = detail::NewestEntry(agreement).index();
    follower.state_sent_at = now;
  }
  SendTo(actions, to, std::move(message));
}

// Returns whether the follower lacks the newest entry and was not sent it
// within kResendStateAfter and the time that its disk takes.
bool NeedsState(const Agreement& agreement,
                const AgreementPeer& peer,
                const FollowerState& follower,
                Micros now) {
  const EntryId newest = detail::EntryIdOf(detail::NewestEntry(agreement));
  if (follower.durable == newest) {
    return false;
  }
  return follower.last_sent_index != newest.index ||
         now - follower.state_sent_at > kResendStateAfter + peer.write_time;
}

}  // namespace

namespace detail {

const FollowerState* FollowerOf(const Agreement& agreement,
                                const wire::Voter& voter) {
  const auto follower = agreement.followers.find(voter.address());
  const auto peer = agreement.peers.find(voter.address());
  const bool same_disk = peer != agreement.peers.end() &&
                         peer->second.store_id == voter.store_id();
  return same_disk && follower != agreement.followers.end() ? &follower->second
                                                            : nullptr;
}

uint64_t StoreId(const Agreement& agreement) {
  return agreement.stored.store_id();
}

const wire::RegisterState& NewestEntry(const Agreement& agreement) {
  return agreement.stored.state();
}

std::vector<wire::Voter> AllVoters(const wire::RegisterState& state) {
  std::vector<wire::Voter> voters(state.voters().begin(), state.voters().end());
  for (const wire::Voter& voter : state.replaced_voters()) {
    if (std::none_of(voters.begin(), voters.end(), [&](const auto& other) {
          return other.store_id() == voter.store_id();
        })) {
      voters.push_back(voter);
    }
  }
  return voters;
}

bool HasMajority(const wire::RegisterState& state,
                 const std::function<bool(const wire::Voter&)>& counts) {
  const auto has_majority = [&](const auto& voters) {
    const auto count = std::count_if(voters.begin(), voters.end(), counts);
    return count >= MajorityOf(voters.size());
  };
  return has_majority(state.voters()) &&
         (state.replaced_voters().empty() ||
          has_majority(state.replaced_voters()));
}

bool IsVoter(const Agreement& agreement, uint64_t store_id) {
  const std::vector<wire::Voter> voters = AllVoters(NewestEntry(agreement));
  return std::any_of(voters.begin(), voters.end(), [&](const auto& voter) {
    return voter.store_id() == store_id;
  });
}

void AdvanceCommit(Agreement& agreement, PoolActions& actions) {
  auto after = agreement.uncommitted_states.end();
  while (after != agreement.uncommitted_states.begin() &&
         !HasMajority(NewestEntry(agreement), [&](const wire::Voter& voter) {
           return DurableIndexOf(agreement, voter) >= std::prev(after)->first;
         })) {
    --after;
  }
  if (after == agreement.uncommitted_states.begin()) {
    return;
  }
  Commit(agreement, std::prev(after)->second, actions);
  agreement.heartbeat_due = 0;  // informs the followers without delay
  agreement.uncommitted_states.erase(agreement.uncommitted_states.begin(),
                                     after);
  AnswerWaiting(agreement, actions);
}

void BecomeFollower(Agreement& agreement, Micros now, PoolActions& actions) {
  if (agreement.role == AgreementRole::kLeader) {
    LogPoolEvent(actions, LogLevel::kWarning, "leadership_lost",
                 {{"term", std::to_string(agreement.stored.term())}});
    for (const WaitingChange& change : agreement.waiting_changes) {
      AnswerChange(agreement, change.requester, ChangeEnd::kLeadershipLost,
                   actions);
    }
    agreement.waiting_changes.clear();
    agreement.uncommitted_states.clear();
  }
  EndCandidacy(agreement, ElectionResult::kSuperseded, now, actions);
  agreement.role = AgreementRole::kFollower;
  agreement.election.votes.clear();
  ScheduleElection(agreement, now);
}

void AdoptTerm(Agreement& agreement,
               uint64_t term,
               Micros now,
               PoolActions& actions) {
  if (term <= agreement.stored.term()) {
    return;
  }
  agreement.stored.set_term(term);
  agreement.stored.set_voted_for(0);
  agreement.election.is_open = false;
  agreement.leader.clear();
  BecomeFollower(agreement, now, actions);
  Persist(agreement, now, actions);
}

void SendHeartbeatRound(Agreement& agreement,
                        Micros now,
                        PoolActions& actions) {
  ++agreement.round;
  agreement.round_sent_at[agreement.round] = now;
  if (agreement.round_sent_at.size() > kMaxRecordedRounds) {
    agreement.round_sent_at.erase(agreement.round_sent_at.begin());
  }
  agreement.heartbeat_due = now + agreement.options.heartbeat_period;
  for (const auto& [address, peer] : agreement.peers) {
    const bool needs =
        NeedsState(agreement, peer, agreement.followers[address], now);
    SendAppend(agreement, address, needs, now, actions);
  }
}

void Propose(Agreement& agreement,
             wire::RegisterState state,
             Micros now,
             PoolActions& actions) {
  state.set_term(agreement.stored.term());
  state.set_index(NewestEntry(agreement).index() + 1);
  agreement.uncommitted_states[state.index()] = state;
  *agreement.stored.mutable_state() = std::move(state);
  Persist(agreement, now, actions);
  SendHeartbeatRound(agreement, now, actions);
}

}  // namespace detail

Agreement MakeAgreement(const AgreementOptions& options,
                        wire::StoredRegister stored,
                        bool first_start,
                        const std::vector<std::string>& seeds,
                        uint64_t random_seed,
                        Micros now,
                        PoolActions& actions) {
  Agreement agreement;
  agreement.options = options;
  agreement.random.seed(random_seed);
  agreement.next_forward_number = agreement.random();
  agreement.stored = std::move(stored);
  const bool empty_disk = agreement.stored.store_id() == 0;
  if (empty_disk) {
    // At the first start every daemon can compute the identities of the initial
    // voters' disks from the seeds; later an empty disk gets a new identity.
    agreement.stored.set_store_id(first_start ? StableHash(options.self)
                                              : (agreement.random() | 1));
    if (first_start) {
      for (const std::string& seed : seeds) {
        wire::Voter& voter = *agreement.stored.mutable_state()->add_voters();
        voter.set_store_id(StableHash(seed));
        voter.set_address(seed);
      }
    }
  }
  // The previous process may have ended between a write and its sync, so what
  // was read may be lost with the power. It counts once it is written again.
  detail::Persist(agreement, now, actions);
  // A vote that this daemon cast before a restart may have elected a leader.
  agreement.leader_contact_at = now;
  agreement.quorum_at = now;
  detail::ScheduleElection(agreement, now);
  return agreement;
}

void OnAppend(Agreement& agreement,
              const std::string& from,
              const wire::Append& append,
              Micros now,
              PoolActions& actions) {
  wire::PoolMessage message;
  wire::AppendReply& reply = *message.mutable_append_reply();
  reply.set_follower(detail::StoreId(agreement));
  reply.set_round(append.round());
  if (append.term() < agreement.stored.term()) {
    reply.set_term(agreement.stored.term());
    SendTo(actions, from, std::move(message));
    return;
  }
  detail::AdoptTerm(agreement, append.term(), now, actions);
  if (agreement.role != AgreementRole::kFollower) {
    detail::BecomeFollower(agreement, now, actions);
  }
  if (agreement.leader != from) {
    agreement.leader = from;
    LogPoolEvent(actions, LogLevel::kInfo, "leader_known",
                 {{"leader", from}, {"term", std::to_string(append.term())}});
  }
  agreement.leader_contact_at = now;
  agreement.had_leader_contact = true;
  agreement.election.is_open = false;
  detail::ScheduleElection(agreement, now);
  const bool newer = append.has_state() &&
                     detail::EntryIdOf(append.state()) >
                         detail::EntryIdOf(detail::NewestEntry(agreement));
  if (newer) {
    *agreement.stored.mutable_state() = append.state();
    detail::Persist(agreement, now, actions);
  }
  const bool current =
      detail::NewestEntry(agreement).term() == append.last_term() &&
      detail::NewestEntry(agreement).index() == append.last_index();
  if (append.commit_index() >= detail::NewestEntry(agreement).index() &&
      current &&
      agreement.committed_index < detail::NewestEntry(agreement).index()) {
    Commit(agreement, detail::NewestEntry(agreement), actions);
  }
  reply.set_term(append.term());
  const EntryId acknowledged = newer ? detail::EntryIdOf(append.state())
                                     : agreement.writes.durable_entry;
  reply.set_last_term(acknowledged.term);
  reply.set_last_index(acknowledged.index);
  if (newer) {
    detail::SendWhenDurable(agreement, from, std::move(message), actions);
  } else {
    SendTo(actions, from, std::move(message));
  }
}

void OnAppendReply(Agreement& agreement,
                   const std::string& from,
                   const wire::AppendReply& reply,
                   Micros now,
                   PoolActions& actions) {
  detail::AdoptTerm(agreement, reply.term(), now, actions);
  const auto peer = agreement.peers.find(from);
  if (agreement.role != AgreementRole::kLeader ||
      reply.term() != agreement.stored.term() ||
      peer == agreement.peers.end() ||
      peer->second.store_id != reply.follower()) {
    return;
  }
  FollowerState& follower = agreement.followers[from];
  if (follower.durable.term != reply.last_term() ||
      follower.durable.index < reply.last_index()) {
    follower.durable = {reply.last_term(), reply.last_index()};
  }
  const auto sent = agreement.round_sent_at.find(reply.round());
  if (sent != agreement.round_sent_at.end() &&
      reply.round() > follower.acknowledged_round) {
    follower.acknowledged_round = reply.round();
    follower.acknowledged_round_sent_at = sent->second;
  }
  detail::AdvanceCommit(agreement, actions);
}

void ExcludePauseFromElections(Agreement& agreement, Micros pause) {
  agreement.leader_contact_at += pause;
  agreement.election.due += pause;
  agreement.election.voted_at += agreement.election.voted_at == 0 ? 0 : pause;
  agreement.quorum_at += pause;
  ExcludePauseFromWrites(agreement.writes.times, pause);
  for (auto& [address, peer] : agreement.peers) {
    peer.last_received_at += pause;
  }
}

void SendDueHeartbeats(Agreement& agreement, Micros now, PoolActions& actions) {
  if (agreement.role == AgreementRole::kLeader &&
      now >= agreement.heartbeat_due) {
    detail::SendHeartbeatRound(agreement, now, actions);
  }
}

void AgreementTick(Agreement& agreement, Micros now, PoolActions& actions) {
  detail::ReviewWrites(agreement, now, actions);
  detail::ExpireRequests(agreement, now, actions);
  detail::ReviewQuorum(agreement, now, actions);
  SendDueHeartbeats(agreement, now, actions);
  if (agreement.role != AgreementRole::kLeader) {
    detail::StandIfDue(agreement, now, actions);
  } else if (now >= agreement.voter_review_due) {
    detail::ReviewVoters(agreement, now, actions);
  }
}

}  // namespace goldcrest
