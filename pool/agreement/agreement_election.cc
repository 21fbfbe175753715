// Elections: when this daemon stands, votes and wins.

#include <algorithm>
#include <utility>
#include <vector>

#include "pool/agreement/agreement.h"
#include "pool/agreement/agreement_detail.h"

namespace goldcrest {
namespace {

void ActOnVotes(Agreement& agreement, Micros now, PoolActions& actions);

// Returns a random time of at most `limit`.
Micros RandomDelay(Agreement& agreement, Micros limit) {
  std::uniform_int_distribution<Micros> delay(0, limit);
  return delay(agreement.random);
}

// Records a vote, for this daemon itself or for another, that is about to be
// written.
void OpenElection(Agreement& agreement, uint64_t candidate) {
  agreement.stored.set_voted_for(candidate);
  agreement.election.is_open = true;
  agreement.election.voted_at = 0;
  agreement.election.wait =
      agreement.options.election_timeout +
      RandomDelay(agreement, agreement.options.election_timeout);
}

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
  detail::EndCandidacy(agreement, ElectionResult::kWon, now, actions);
  agreement.role = AgreementRole::kLeader;
  agreement.leader = agreement.options.self;
  agreement.election.votes.clear();
  agreement.election.is_open = false;
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

// Requests votes from all voters. A pre-vote (`pre_vote`) only asks whether
// they would vote, and changes no term.
void RequestVotes(Agreement& agreement,
                  bool pre_vote,
                  Micros now,
                  PoolActions& actions) {
  agreement.election.pre_vote = pre_vote;
  agreement.election.votes = {detail::StoreId(agreement)};
  const wire::RegisterState& newest = detail::NewestEntry(agreement);
  for (const wire::Voter& voter : detail::AllVoters(newest)) {
    if (voter.store_id() == detail::StoreId(agreement)) {
      continue;
    }
    wire::PoolMessage message;
    wire::VoteRequest& request = *message.mutable_vote_request();
    request.set_term(agreement.stored.term() + (pre_vote ? 1 : 0));
    request.set_candidate(detail::StoreId(agreement));
    request.set_last_term(newest.term());
    request.set_last_index(newest.index());
    request.set_trial(pre_vote);
    detail::SendWhenDurable(agreement, voter.address(), std::move(message),
                            actions);
  }
  ActOnVotes(agreement, now, actions);
}

void StartElection(Agreement& agreement, Micros now, PoolActions& actions) {
  agreement.stored.set_term(agreement.stored.term() + 1);
  OpenElection(agreement, detail::StoreId(agreement));
  detail::Persist(agreement, now, actions);
  RequestVotes(agreement, false, now, actions);
}

// Counts the votes of the present voters. Starts the election after a majority
// of pre-votes; becomes leader after a majority of votes.
void ActOnVotes(Agreement& agreement, Micros now, PoolActions& actions) {
  if (!detail::HasMajority(
          detail::NewestEntry(agreement), [&](const wire::Voter& voter) {
            return agreement.election.votes.contains(voter.store_id());
          })) {
    return;
  }
  if (agreement.election.pre_vote) {
    StartElection(agreement, now, actions);
  } else {
    BecomeLeader(agreement, now, actions);
  }
}

// Returns whether there is a leader that may still hold its lease: this daemon,
// or another one that it was recently in contact with.
bool HasCurrentLeader(const Agreement& agreement, Micros now) {
  if (agreement.role == AgreementRole::kLeader) {
    return detail::HoldsLease(agreement, now);
  }
  // The leader may be a voter of a state that this daemon does not have yet.
  const bool may_elect_quickly =
      detail::MayElectQuickly(agreement) &&
      detail::IsVoter(agreement, detail::StoreId(agreement));
  return !may_elect_quickly &&
         now - agreement.leader_contact_at < agreement.options.election_timeout;
}

// Schedules the next attempt to become leader when it is known that there is no
// leader. The delay grows with the daemon's rank among the voters, so that they
// seldom become candidates at the same time.
void ScheduleQuickElection(Agreement& agreement, Micros now) {
  const std::vector<wire::Voter> voters =
      detail::AllVoters(detail::NewestEntry(agreement));
  const auto rank =
      std::count_if(voters.begin(), voters.end(), [&](const auto& voter) {
        return voter.store_id() < detail::StoreId(agreement);
      });
  agreement.election.due =
      now + (rank + 1) * agreement.options.quick_election_spacing;
}

// Lets the candidate that this daemon would vote for write its own vote first,
// so that fewer voters vote for themselves.
void PostponeElection(Agreement& agreement, Micros now) {
  const Micros election_time = 2 * detail::MajorityWriteTime(agreement, now) +
                               agreement.options.quick_election_spacing;
  agreement.election.due = std::max(
      agreement.election.due,
      now + std::min(election_time, agreement.options.election_timeout));
}

// Returns whether another voter reports that it writes.
bool OtherVoterWrites(const Agreement& agreement) {
  const std::vector<wire::Voter> voters =
      detail::AllVoters(detail::NewestEntry(agreement));
  return std::any_of(voters.begin(), voters.end(), [&](const auto& voter) {
    const auto peer = agreement.peers.find(voter.address());
    return voter.store_id() != detail::StoreId(agreement) &&
           peer != agreement.peers.end() && peer->second.is_writing;
  });
}

// Returns whether an election in which this daemon has voted, for itself or for
// another, may still succeed. If others write, votes may be on their way to
// disk: it lasts for as long as a majority of the voters takes for a write.
bool IsElectionInProgress(const Agreement& agreement, Micros now) {
  const ElectionState& election = agreement.election;
  if (!election.is_open) {
    return false;
  }
  if (election.voted_at == 0 || now < election.voted_at + election.wait) {
    return true;
  }
  return OtherVoterWrites(agreement) &&
         now < election.voted_at + election.wait +
                   detail::MajorityWriteTime(agreement, now);
}

// Returns the time of a write of the voter, as it was last reported. Returns
// that of this daemon if the voter has not reported any.
Micros WriteTimeOfVoter(const Agreement& agreement,
                        const wire::Voter& voter,
                        Micros now) {
  const auto peer = agreement.peers.find(voter.address());
  const bool is_known = voter.store_id() != detail::StoreId(agreement) &&
                        peer != agreement.peers.end();
  return is_known ? peer->second.write_time : WriteTimeOf(agreement, now);
}

}  // namespace

namespace detail {

Micros MajorityWriteTime(const Agreement& agreement, Micros now) {
  const auto majority_of = [&](const auto& voters) {
    std::vector<Micros> times;
    for (const wire::Voter& voter : voters) {
      times.push_back(WriteTimeOfVoter(agreement, voter, now));
    }
    return MajorityTime(std::move(times));
  };
  const wire::RegisterState& state = NewestEntry(agreement);
  return std::max(majority_of(state.voters()),
                  majority_of(state.replaced_voters()));
}

void ScheduleElection(Agreement& agreement, Micros now) {
  const Micros timeout = agreement.options.election_timeout;
  const Micros slower_by = std::clamp<Micros>(
      WriteTimeOf(agreement, now) - MajorityWriteTime(agreement, now), 0,
      timeout);
  agreement.election.due =
      now + timeout + RandomDelay(agreement, timeout) + slower_by;
}

bool MayElectQuickly(const Agreement& agreement) {
  return !agreement.had_leader_contact && NoOtherVoterLeads(agreement);
}

void StandIfDue(Agreement& agreement, Micros now, PoolActions& actions) {
  if (now < agreement.election.due || !IsVoter(agreement, StoreId(agreement))) {
    return;
  }
  agreement.leader.clear();
  if (IsWriting(agreement) || IsElectionInProgress(agreement, now)) {
    return;
  }
  EndCandidacy(agreement,
               agreement.election.pre_vote ? ElectionResult::kNoPreVotes
                                           : ElectionResult::kNoVotes,
               now, actions);
  agreement.election.is_open = false;
  if (MayElectQuickly(agreement)) {
    ScheduleQuickElection(agreement, now);
  } else {
    ScheduleElection(agreement, now);
  }
  agreement.role = AgreementRole::kCandidate;
  RequestVotes(agreement, true, now, actions);
}

void OnAllDurable(Agreement& agreement, Micros now) {
  ElectionState& election = agreement.election;
  if (election.is_open) {
    election.voted_at = election.voted_at == 0 ? now : election.voted_at;
  } else if (MayElectQuickly(agreement)) {
    ScheduleQuickElection(agreement, now);
  } else if (now >= election.due) {
    // Random, since voters whose disks are equally slow are due together.
    election.due =
        now + RandomDelay(agreement, agreement.options.election_timeout);
  }
}

void EndCandidacy(Agreement& agreement,
                  ElectionResult result,
                  Micros now,
                  PoolActions& actions) {
  if (agreement.role != AgreementRole::kCandidate) {
    return;
  }
  ++agreement.election.results[result];
  // A failed pre-vote changes nothing, and repeats while no majority answers.
  if (result == ElectionResult::kWon || agreement.election.pre_vote) {
    return;
  }
  LogPoolEvent(
      actions, LogLevel::kWarning, "election_failed",
      {{"result", std::string(ToString(result))},
       {"term", std::to_string(agreement.stored.term())},
       {"votes", std::to_string(agreement.election.votes.size())},
       {"write_ms", Milliseconds(WriteTimeOf(agreement, now))},
       {"majority_write_ms", Milliseconds(MajorityWriteTime(agreement, now))}});
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
  peer.write_time = heartbeat.write_ms() * kMillisecond;
  peer.is_writing = heartbeat.is_writing();
  const bool allowed = detail::MayElectQuickly(agreement);
  if (allowed && !agreement.election.quick_allowed &&
      !agreement.election.is_open &&
      agreement.role == AgreementRole::kFollower) {
    ScheduleQuickElection(agreement, now);
  }
  agreement.election.quick_allowed = allowed;
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
  const bool up_to_date = EntryId{request.last_term(), request.last_index()} >=
                          detail::EntryIdOf(detail::NewestEntry(agreement));
  const uint64_t voted_for = agreement.stored.voted_for();
  const bool can_vote =
      request.trial()
          ? request.term() > agreement.stored.term() &&
                (voted_for == request.candidate() ||
                 !IsElectionInProgress(agreement, now))
          : request.term() == agreement.stored.term() &&
                (voted_for == 0 || voted_for == request.candidate());
  const bool granted = up_to_date && can_vote;
  if (granted && request.trial()) {
    PostponeElection(agreement, now);
  }
  if (granted && !request.trial() && voted_for == 0) {
    OpenElection(agreement, request.candidate());
    detail::Persist(agreement, now, actions);
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
      agreement.stored.term() + (agreement.election.pre_vote ? 1 : 0);
  if (!reply.trial()) {
    detail::AdoptTerm(agreement, reply.term(), now, actions);
  }
  if (agreement.role != AgreementRole::kCandidate || !reply.granted() ||
      reply.trial() != agreement.election.pre_vote ||
      reply.term() != requested_term) {
    return;
  }
  agreement.election.votes.insert(reply.voter());
  ActOnVotes(agreement, now, actions);
}

}  // namespace goldcrest
