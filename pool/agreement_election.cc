#include <algorithm>
#include <utility>

#include "pool/agreement.h"
#include "pool/agreement_detail.h"

namespace goldcrest {
namespace {

void CountVotes(Agreement& agreement, Micros now, PoolActions& actions);

// Returns whether every other voter has reported, since this daemon's start,
// that it is not the leader. Only then can no answer that this daemon gave
// before its start count for a leader's lease.
bool NoOtherVoterLeads(const Agreement& agreement) {
  const auto& voters = detail::State(agreement).voters();
  return std::all_of(voters.begin(), voters.end(), [&](const auto& voter) {
    if (voter.store_id() == detail::StoreId(agreement)) {
      return true;
    }
    const auto peer = agreement.peers.find(voter.address());
    return peer != agreement.peers.end() && !peer->second.leads;
  });
}

void BecomeLeader(Agreement& agreement, Micros now, PoolActions& actions) {
  agreement.role = AgreementRole::kLeader;
  agreement.leader = agreement.options.self;
  agreement.votes.clear();
  agreement.followers.clear();
  agreement.proposed.clear();
  agreement.round_sent.clear();
  agreement.voters_due = now + detail::kVotersPeriod;
  LogPool(actions, LogLevel::kInfo, "leadership_won",
          {{"term", std::to_string(agreement.stored.term())},
           {"index", std::to_string(detail::State(agreement).index())}});
  detail::Propose(agreement, detail::State(agreement), now, actions);
}

void StartElection(Agreement& agreement, Micros now, PoolActions& actions) {
  agreement.stored.set_term(agreement.stored.term() + 1);
  agreement.stored.set_voted_for(detail::StoreId(agreement));
  detail::Persist(agreement, actions);
  detail::ScheduleElection(agreement, now);
  detail::AskForVotes(agreement, false, now, actions);
}

void CountVotes(Agreement& agreement, Micros now, PoolActions& actions) {
  int granted = 0;
  for (const wire::Voter& voter : detail::State(agreement).voters()) {
    granted += agreement.votes.contains(voter.store_id()) ? 1 : 0;
  }
  if (granted < MajorityOf(detail::State(agreement).voters_size())) {
    return;
  }
  if (agreement.trial) {
    StartElection(agreement, now, actions);
  } else {
    BecomeLeader(agreement, now, actions);
  }
}

// Returns whether this voter still follows a leader that may hold its lease.
bool FollowsLeader(const Agreement& agreement, Micros now) {
  if (agreement.role == AgreementRole::kLeader) {
    return MayServeReads(agreement, now);
  }
  return !detail::MayElectQuickly(agreement) &&
         now - agreement.leader_heard < agreement.options.election_timeout;
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
  return !agreement.heard_leader && NoOtherVoterLeads(agreement);
}

void ScheduleQuickElection(Agreement& agreement, Micros now) {
  const auto& voters = State(agreement).voters();
  const auto rank = std::count_if(
      voters.begin(), voters.end(),
      [&](const auto& voter) { return voter.store_id() < StoreId(agreement); });
  agreement.election_due =
      now + (rank + 1) * agreement.options.quick_election_step;
}

void AskForVotes(Agreement& agreement,
                 bool pre_vote,
                 Micros now,
                 PoolActions& actions) {
  agreement.trial = pre_vote;
  agreement.votes = {StoreId(agreement)};
  for (const wire::Voter& voter : State(agreement).voters()) {
    if (voter.store_id() == StoreId(agreement)) {
      continue;
    }
    wire::PoolMessage message;
    wire::VoteRequest& request = *message.mutable_vote_request();
    request.set_term(agreement.stored.term() + (pre_vote ? 1 : 0));
    request.set_candidate(StoreId(agreement));
    request.set_last_term(State(agreement).term());
    request.set_last_index(State(agreement).index());
    request.set_trial(pre_vote);
    SendWhenDurable(agreement, voter.address(), std::move(message), actions);
  }
  CountVotes(agreement, now, actions);
}

}  // namespace detail

void OnAgreementPeer(Agreement& agreement,
                     const std::string& address,
                     const wire::Presence& heartbeat,
                     Micros now) {
  AgreementPeer& peer = agreement.peers[address];
  if (peer.store_id != heartbeat.store_id()) {
    agreement.followers.erase(address);  // a new disk holds no entry yet
  }
  peer.address = address;
  peer.failure_domain = heartbeat.failure_domain();
  peer.store_id = heartbeat.store_id();
  peer.last_heard = now;
  peer.leads = heartbeat.leads();
  const bool allowed = detail::MayElectQuickly(agreement);
  if (allowed && !agreement.idle_voters_met &&
      agreement.role == AgreementRole::kFollower) {
    detail::ScheduleQuickElection(agreement, now);
  }
  agreement.idle_voters_met = allowed;
}

void OnVoteRequest(Agreement& agreement,
                   const std::string& from,
                   const wire::VoteRequest& request,
                   Micros now,
                   PoolActions& actions) {
  if (FollowsLeader(agreement, now) ||
      !detail::IsVoter(agreement, detail::StoreId(agreement))) {
    return;
  }
  if (!request.trial()) {
    detail::AdoptTerm(agreement, request.term(), now, actions);
  }
  const bool up_to_date =
      detail::EntryId{request.last_term(), request.last_index()} >=
      detail::IdOf(detail::State(agreement));
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
      agreement.stored.term() + (agreement.trial ? 1 : 0);
  if (!reply.trial()) {
    detail::AdoptTerm(agreement, reply.term(), now, actions);
  }
  if (agreement.role != AgreementRole::kCandidate || !reply.granted() ||
      reply.trial() != agreement.trial || reply.term() != requested_term) {
    return;
  }
  agreement.votes.insert(reply.voter());
  CountVotes(agreement, now, actions);
}

}  // namespace goldcrest
