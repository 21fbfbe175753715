#ifndef POOL_AGREEMENT_AGREEMENT_DETAIL_H_
#define POOL_AGREEMENT_AGREEMENT_DETAIL_H_

// Internals shared by the parts of the agreement: agreement.cc replicates,
// agreement_writes.cc waits for the disk, agreement_requests.cc serves
// operators, agreement_election.cc elects, agreement_voters.cc changes the
// voters, agreement_quorum.cc reports a lack of them.

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

inline EntryId EntryIdOf(const wire::RegisterState& state) {
  return {state.term(), state.index()};
}

// Formats a duration in whole milliseconds, for log lines.
inline std::string Milliseconds(Micros duration) {
  return std::to_string(duration / kMillisecond);
}

// Schedules the next attempt to become leader, at a random delay. A daemon
// whose disk is slower than those of a majority waits for longer.
void ScheduleElection(Agreement& agreement, Micros now);

// Returns whether this daemon has had no contact with a leader since its start
// and every other voter has reported since then that it is not the leader.
bool MayElectQuickly(const Agreement& agreement);

// Stands for election if that is due and this daemon is a voter. It does not
// while a write is in progress, for which all that it sends would wait, nor
// while an election in which it has voted may succeed.
void StandIfDue(Agreement& agreement, Micros now, PoolActions& actions);

// Continues an election when everything that this daemon has written is
// durable: what waited for that was sent just now.
void OnAllDurable(Agreement& agreement, Micros now);

// Ends this daemon's attempt to become leader, if it is a candidate, and logs
// and counts the result.
void EndCandidacy(Agreement& agreement,
                  ElectionResult result,
                  Micros now,
                  PoolActions& actions);

// Returns the time in which a majority of the voters has completed a write, as
// far as this daemon knows.
Micros MajorityWriteTime(const Agreement& agreement, Micros now);

// Writes the persistent part to disk. Replaces a write that was requested in
// the same step.
void Persist(Agreement& agreement, Micros now, PoolActions& actions);

// Returns whether a write is in progress, or waits to be tried again.
bool IsWriting(const Agreement& agreement);

// Tries a failed write again when that is due, and logs when the disk has
// become slow and when it has recovered.
void ReviewWrites(Agreement& agreement, Micros now, PoolActions& actions);

// Commits the newest state of this leader's term that a majority has on disk.
void AdvanceCommit(Agreement& agreement, PoolActions& actions);

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

// Returns whether this daemon is the leader and a majority of the voters has
// acknowledged that within the leader's lease.
bool HoldsLease(const Agreement& agreement, Micros now);

// Answers a change, here or at the daemon that has forwarded it, and counts it.
// Logs what is not durable.
void AnswerChange(Agreement& agreement,
                  const Requester& requester,
                  ChangeEnd end,
                  PoolActions& actions);

// Answers the waiting changes that are committed.
void AnswerWaiting(Agreement& agreement, PoolActions& actions);

// Answers the changes that have waited for too long, and the forwarded requests
// whose leader was replaced or is late.
void ExpireRequests(Agreement& agreement, Micros now, PoolActions& actions);

}  // namespace goldcrest::detail

#endif  // POOL_AGREEMENT_AGREEMENT_DETAIL_H_
