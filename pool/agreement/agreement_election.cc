#include <algorithm>
#include <utility>

#include "pool/agreement/agreement.h"
#include "pool/agreement/agreement_detail.h"

namespace goldcrest {
namespace {

void ActOnVotes(Agreement& agreement, Micros now, PoolActions& actions);

// Returns whether every other voter has reported, since this daemon's start,
// that it is not the leader. If so, no leader holds a lease that relies on an
// answer that this daemon gave before its start.
bool NoOtherVoterLeads(const Agreement& agreement) {
  const std::vector<wire::Voter> voters =
      detail::AllVoters(detail::NewestEntry(agreement));
  return std::all_of(voters.begin(), voters.end(), [&](const auto& voter) {
    if (voter.store_id() == detail::StoreId(agreement)) {
      return true;
    }
    const auto peer = agreement.peers.find(voter.address());
    return peer != agreement.peers.end() && !peer->second.is_leader;
  });
}

void BecomeLeader(Agreement& agreement, Micros now, PoolActions& actions) {
  agreement.role = AgreementRole::kLeader;
  agreement.leader = agreement.options.self;
  agreement.votes.clear();
  agreement.followers.clear();
  agreement.uncommitted_states.clear();
  agreement.round_sent_at.clear();
  agreement.voter_review_due = now + detail::kVoterReviewPeriod;
  LogPoolEvent(
      actions, LogLevel::kInfo, "leadership_won",
      {{"term", std::to_string(agreement.stored.term())},
       {"index", std::to_string(detail::NewestEntry(agreement).index())}});
  // A leader commits only entries of its own term, so it proposes the newest
  // entry again under the new term.
  detail::Propose(agreement, detail::NewestEntry(agreement), now, actions);
}

void StartElection(Agreement& agreement, Micros now, PoolActions& actions) {
  agreement.stored.set_term(agreement.stored.term() + 1);
  agreement.stored.set_voted_for(detail::StoreId(agreement));
  detail::Persist(agreement, actions);
  detail::ScheduleElection(agreement, now);
  detail::RequestVotes(agreement, false, now, actions);
}

// Counts the votes of the present voters. Starts the election after a majority
// of pre-votes; becomes leader after a majority of votes.
void ActOnVotes(Agreement& agreement, Micros now, PoolActions& actions) {
  if (!detail::HasMajority(detail::NewestEntry(agreement),
                           [&](const wire::Voter& voter) {
                             return agreement.votes.contains(voter.store_id());
                           })) {
    return;
  }
  if (agreement.pre_vote) {
    StartElection(agreement, now, actions);
  } else {
    BecomeLeader(agreement, now, actions);
  }
}

// Returns whether there is a leader that may still hold its lease: this daemon,
// if it may serve reads, or another one that it was recently in contact with.
bool HasCurrentLeader(const Agreement& agreement, Micros now) {
  if (agreement.role == AgreementRole::kLeader) {
    return MayServeReads(agreement, now);
  }
  // The leader may be a voter of a state that this daemon does not have yet.
  const bool may_elect_quickly =
      detail::MayElectQuickly(agreement) &&
      detail::IsVoter(agreement, detail::StoreId(agreement));
  return !may_elect_quickly &&
         now - agreement.leader_contact_at < agreement.options.election_timeout;
}

}  // namespace

namespace detail {

void ScheduleElection(Agreement& agreement, Micros now) {
  std::uniform_int_distribution<Micros> extra(
      0, agreement.options.election_timeout);
  agreement.election_due =
      now + agreement.options.election_timeout + extra(agreement.random);
}

bool MayElectQuickly(const Agreement& agreement) {
  return !agreement.had_leader_contact && NoOtherVoterLeads(agreement);
}

void ScheduleQuickElection(Agreement& agreement, Micros now) {
  const std::vector<wire::Voter> voters = AllVoters(NewestEntry(agreement));
  const auto rank = std::count_if(
      voters.begin(), voters.end(),
      [&](const auto& voter) { return voter.store_id() < StoreId(agreement); });
  agreement.election_due =
      now + (rank + 1) * agreement.options.quick_election_spacing;
}

void RequestVotes(Agreement& agreement,
                  bool pre_vote,
                  Micros now,
                  PoolActions& actions) {
  agreement.pre_vote = pre_vote;
  agreement.votes = {StoreId(agreement)};
  for (const wire::Voter& voter : AllVoters(NewestEntry(agreement))) {
    if (voter.store_id() == StoreId(agreement)) {
      continue;
    }
    wire::PoolMessage message;
    wire::VoteRequest& request = *message.mutable_vote_request();
    request.set_term(agreement.stored.term() + (pre_vote ? 1 : 0));
    request.set_candidate(StoreId(agreement));
    request.set_last_term(NewestEntry(agreement).term());
    request.set_last_index(NewestEntry(agreement).index());
    request.set_trial(pre_vote);
    SendWhenDurable(agreement, voter.address(), std::move(message), actions);
  }
  ActOnVotes(agreement, now, actions);
}

}  // namespace detail

void OnAgreementPeerHeartbeat(Agreement& agreement,
                              const std::string& address,
                              const wire::Presence& heartbeat,
                              Micros now) {
  AgreementPeer& peer = agreement.peers[address];
  if (peer.store_id != heartbeat.store_id()) {
    agreement.followers.erase(address);  // first heartbeat, or an empty disk
  }
  peer.address = address;
  peer.failure_domain = heartbeat.failure_domain();
  peer.store_id = heartbeat.store_id();
  peer.last_received_at = now;
  peer.is_leader = heartbeat.leads();
  const bool allowed = detail::MayElectQuickly(agreement);
  if (allowed && !agreement.quick_election_allowed &&
      agreement.role == AgreementRole::kFollower) {
    detail::ScheduleQuickElection(agreement, now);
  }
  agreement.quick_election_allowed = allowed;
}

void OnVoteRequest(Agreement& agreement,
                   const std::string& from,
                   const wire::VoteRequest& request,
                   Micros now,
                   PoolActions& actions) {
  // A daemon that does not know itself as a voter votes, too: the candidate's
  // state may be the one that makes it a voter, and counts its vote only then.
  if (HasCurrentLeader(agreement, now)) {
    return;
  }
  if (!request.trial()) {
    detail::AdoptTerm(agreement, request.term(), now, actions);
  }
  const bool up_to_date =
      detail::EntryId{request.last_term(), request.last_index()} >=
      detail::EntryIdOf(detail::NewestEntry(agreement));
  const uint64_t voted_for = agreement.stored.voted_for();
  const bool can_vote =
      request.trial()
          ? request.term() > agreement.stored.term()
          : request.term() == agreement.stored.term() &&
                (voted_for == 0 || voted_for == request.candidate());
  const bool granted = up_to_date && can_vote;
  if (granted && !request.trial() && voted_for == 0) {
    agreement.stored.set_voted_for(request.candidate());
    detail::Persist(agreement, actions);
    detail::ScheduleElection(agreement, now);
  }
  wire::PoolMessage message;
  wire::VoteReply& reply = *message.mutable_vote_reply();
  reply.set_term(request.trial() ? request.term() : agreement.stored.term());
  reply.set_voter(detail::StoreId(agreement));
  reply.set_granted(granted);
  reply.set_trial(request.trial());
  detail::SendWhenDurable(agreement, from, std::move(message), actions);
}

void OnVoteReply(Agreement& agreement,
                 const std::string& /*from*/,
                 const wire::VoteReply& reply,
                 Micros now,
                 PoolActions& actions) {
  const uint64_t requested_term =
      agreement.stored.term() + (agreement.pre_vote ? 1 : 0);
  if (!reply.trial()) {
    detail::AdoptTerm(agreement, reply.term(), now, actions);
  }
  if (agreement.role != AgreementRole::kCandidate || !reply.granted() ||
      reply.trial() != agreement.pre_vote || reply.term() != requested_term) {
    return;
  }
  agreement.votes.insert(reply.voter());
  ActOnVotes(agreement, now, actions);
}

}  // namespace goldcrest
