#ifndef GOLDCREST_MEMBERSHIP_H_
#define GOLDCREST_MEMBERSHIP_H_

// Which entry VMs are reachable, the serving lease, and a voter's memory.
//
// Heartbeats go to near VMs (same failure domain or a shared claim group) every
// 200 ms and to all others at a period that grows with their number, so that
// control traffic stays within its budget at any size. A heartbeat echoes the
// receiver's latest one; for a claim voter the echo is the grant of a serving
// lease. A VM that holds the lease of a majority of its domain's voters may
// start tasks; everything else about ownership follows from that:
//
// - a lapse raises the lease generation, and every owned job must be claimed
//   again before it starts another task;
// - a voter lets nobody take over a claim while its own grant to the owner's
//   incarnation still runs;
// - a restarted voter grants no take-over until every grant that it may have
//   forgotten has run out.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Starts membership at the daemon's start: peers, timers and memory.
// `lived_before` says that the data folder shows an earlier start;
// `memory_kept` that it also holds every claim of that life.
void StartMembership(Blackboard& bb,
                     Now now,
                     bool lived_before,
                     bool memory_kept);

// Handles the timers of heartbeats.
void OnHeartbeatTimer(Blackboard& bb, bool near, Now now, Actions& actions);

// Handles a heartbeat from another VM.
void OnHeartbeat(Blackboard& bb,
                 const std::string& from,
                 const wire::Heartbeat& heartbeat,
                 Now now,
                 Actions& actions);

// Notes that any message of `from` arrived, and adopts its incarnation.
// Returns false for a message of an older incarnation, which is dropped.
bool NoteHeard(Blackboard& bb,
               const std::string& from,
               uint64_t incarnation,
               Now now,
               Actions& actions);

// Brings reachability and the serving lease up to date. Returns the VMs that
// became unreachable by this call.
std::vector<std::string> RefreshMembership(Blackboard& bb,
                                           Now now,
                                           Actions& actions);

// Says whether `vm` is this VM or is reachable.
bool IsReachable(const Blackboard& bb, const std::string& vm);

// Returns when a majority of `vms` was last heard of.
Micros MajorityHeardAt(const Blackboard& bb,
                       const std::vector<std::string>& vms,
                       Now now);

// Returns when the last of `vms` to be heard of was heard of.
Micros AnyHeardAt(const Blackboard& bb,
                  const std::vector<std::string>& vms,
                  Now now);

// Says whether this VM holds the serving lease at `now`.
bool HoldsServingLease(const Blackboard& bb, Now now);

// Says, as a voter, whether a lease that this VM granted to the given
// incarnation of `vm` may still run.
bool GrantMayRun(const Blackboard& bb,
                 const std::string& vm,
                 uint64_t incarnation,
                 Now now);

// The same for whatever incarnations of `vm` there are.
bool AnyGrantMayRun(const Blackboard& bb, const std::string& vm, Now now);

// Says whether this VM, as a voter of the claim group of `failure_domain`,
// remembers everything about a submission first made at `submitted_wall_ms` (0
// when unknown).
bool RemembersSubmission(const Blackboard& bb,
                         const std::string& failure_domain,
                         int64_t submitted_wall_ms);

// Says whether this VM remembers everything about the claims of a group.
bool RemembersGroup(const Blackboard& bb, const std::string& failure_domain);

// Says whether this VM remembers everything about all groups it votes in.
bool RemembersAll(const Blackboard& bb);

// Says whether nobody else can have claimed an unknown submission of which
// this VM is the preferred owner.
bool HeldLeaseSinceSubmission(const Blackboard& bb,
                              int64_t submitted_wall_ms,
                              Now now);

// Notes that the co-voter `from` delivered all its records of a claim group;
// the memory of the group is whole once every co-voter has. A group without
// co-voters cannot be healed: it waits for the retention window.
void NoteSynced(Blackboard& bb,
                const std::string& failure_domain,
                const std::string& from,
                Actions& actions);

// Returns the claim groups in which this VM votes.
std::vector<const ClaimGroup*> VotingGroups(const Blackboard& bb);

}  // namespace goldcrest

#endif  // GOLDCREST_MEMBERSHIP_H_
