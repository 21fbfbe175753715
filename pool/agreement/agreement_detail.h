#ifndef POOL_AGREEMENT_AGREEMENT_DETAIL_H_
#define POOL_AGREEMENT_AGREEMENT_DETAIL_H_

// Internals shared by the parts of the agreement: agreement.cc replicates,
// agreement_requests.cc serves operators, agreement_election.cc elects,
// agreement_voters.cc changes the voters,
// agreement_quorum.cc reports a lack of them.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "pool/agreement/agreement.h"

namespace goldcrest::detail {

// How often the leader reviews the set of voters.
inline constexpr Micros kVoterReviewPeriod = 300 * kMillisecond;

// Returns the identity of this daemon's disk.
uint64_t StoreId(const Agreement& agreement);

// Returns the newest entry that this daemon holds.
const wire::RegisterState& NewestEntry(const Agreement& agreement);

// Returns the voters of a state, and those that they replace.
std::vector<wire::Voter> AllVoters(const wire::RegisterState& state);

// Returns whether `counts` holds for a majority of the voters and, while one of
// them is replaced, for a majority of the voters before.
bool HasMajority(const wire::RegisterState& state,
                 const std::function<bool(const wire::Voter&)>& counts);

// Returns whether a disk belongs to a voter, according to the newest entry.
bool IsVoter(const Agreement& agreement, uint64_t store_id);

// Identifies an entry; a newer entry has a greater id.
struct EntryId {
  uint64_t term = 0;
  uint64_t index = 0;

  friend auto operator<=>(const EntryId&, const EntryId&) = default;
};

inline EntryId EntryIdOf(const wire::RegisterState& state) {
  return {state.term(), state.index()};
}

// Schedules the next attempt to become leader, at a random delay.
void ScheduleElection(Agreement& agreement, Micros now);

// Schedules the next attempt to become leader when it is known that there is no
// leader. The delay grows with the daemon's rank among the voters, so that they
// seldom become candidates at the same time.
void ScheduleQuickElection(Agreement& agreement, Micros now);

// Returns whether this daemon has had no contact with a leader since its start
// and every other voter has reported since then that it is not the leader.
bool MayElectQuickly(const Agreement& agreement);

// Writes the persistent part to disk; returns the write's sequence number.
uint64_t Persist(Agreement& agreement, PoolActions& actions);

// Sends `message` once everything written so far is durable.
void SendWhenDurable(Agreement& agreement,
                     const std::string& to,
                     wire::PoolMessage message,
                     PoolActions& actions);

// Adopts a higher term and becomes a follower in it; does nothing if `term` is
// not higher.
void AdoptTerm(Agreement& agreement,
               uint64_t term,
               Micros now,
               PoolActions& actions);

// Becomes a follower. A former leader answers all waiting changes with
// kUnknown.
void BecomeFollower(Agreement& agreement, Micros now, PoolActions& actions);

// Makes `state` this leader's newest entry, writes it to disk and sends it to
// the followers.
void Propose(Agreement& agreement,
             wire::RegisterState state,
             Micros now,
             PoolActions& actions);

// Requests votes from all voters. A pre-vote (`pre_vote`) only asks whether
// they would vote, and changes no term.
void RequestVotes(Agreement& agreement,
                  bool pre_vote,
                  Micros now,
                  PoolActions& actions);

// Starts a heartbeat round; sends the newest state to followers that lack it.
void SendHeartbeatRound(Agreement& agreement, Micros now, PoolActions& actions);

// Logs when this daemon has lacked a quorum for seconds, and when it is back.
void ReviewQuorum(Agreement& agreement, Micros now, PoolActions& actions);

// Called on the leader: adds, removes or replaces one voter if the set of
// voters needs it.
void ReviewVoters(Agreement& agreement, Micros now, PoolActions& actions);

// Returns what the leader knows about a voter's disk; null if it knows nothing
// or if the VM at the voter's address now has another disk.
const FollowerState* FollowerOf(const Agreement& agreement,
                                const wire::Voter& voter);

// Answers a change, here or at the daemon that has forwarded it.
void AnswerChange(const Requester& requester,
                  ChangeResult result,
                  PoolActions& actions);

// Answers the waiting changes that are committed.
void AnswerWaiting(Agreement& agreement, PoolActions& actions);

// Answers the changes that have waited for too long, and the forwarded requests
// whose leader was replaced or is late.
void ExpireRequests(Agreement& agreement, Micros now, PoolActions& actions);

}  // namespace goldcrest::detail

#endif  // POOL_AGREEMENT_AGREEMENT_DETAIL_H_
