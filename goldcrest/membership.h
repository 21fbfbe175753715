#ifndef GOLDCREST_MEMBERSHIP_H_
#define GOLDCREST_MEMBERSHIP_H_

// Reachability of the entry VMs, the serving lease, and whether a voter has
// full state.
//
// Heartbeats are sent at the full rate, every 200 ms, to VMs of the same
// failure domain or of a shared claim group. All other VMs receive them at a
// reduced rate, with a period that grows with the number of VMs, so that
// control traffic stays within its budget at any size. A heartbeat echoes the
// latest one from its receiver. If the sender is a claim voter, it also grants
// the receiver a serving lease. A VM whose lease is granted by a majority of
// the voters of its domain may start tasks. The rules of ownership follow from
// that:
//
// - When the lease expires, the lease generation is incremented, and every
//   owned job must be claimed again before it starts another task.
// - A voter permits no takeover of a claim while its own grant to the owner's
//   incarnation may not have expired.
// - A restarted voter permits no takeover until every grant that an earlier
//   incarnation of it may have made has expired.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Initializes the peers, the heartbeat timers and the voter state when the
// daemon starts. `started_before` is whether the data folder shows an earlier
// start, `claims_kept` whether it also contains every claim from then.
void StartMembership(Blackboard& bb,
                     StepTime now,
                     bool started_before,
                     bool claims_kept);

// Sends the heartbeats to the peers with the given rate and sets the next
// timer.
void OnHeartbeatTimer(Blackboard& bb,
                      bool full_rate,
                      StepTime now,
                      Actions& actions);

// Handles a heartbeat from another VM. Ignores one that arrives out of order.
void OnHeartbeat(Blackboard& bb,
                 const std::string& from,
                 const wire::Heartbeat& heartbeat,
                 StepTime now,
                 Actions& actions);

// Records the receipt of a message from `from` and the sender's incarnation.
// Returns false if the message must be dropped, because the incarnation is
// older than a known one or `from` is no peer.
bool RecordPeerContact(Blackboard& bb,
                       const std::string& from,
                       uint64_t incarnation,
                       StepTime now,
                       Actions& actions);

// Updates reachability, the serving lease and the voter state. Returns the VMs
// that became unreachable in this call.
std::vector<std::string> RefreshMembership(Blackboard& bb,
                                           StepTime now,
                                           Actions& actions);

// Returns whether `vm` is this VM or a reachable peer.
bool IsReachable(const Blackboard& bb, const std::string& vm);

// Returns the latest time T such that the last message from each VM of some
// majority of `vms` was received at T or later. This VM counts as received at
// `now`, and a VM without any message as received when this VM started.
Micros MajorityLastReceivedAt(const Blackboard& bb,
                              const std::vector<std::string>& vms,
                              StepTime now);

// Returns when the latest message from any of `vms` was received, by the same
// rules.
Micros AnyLastReceivedAt(const Blackboard& bb,
                         const std::vector<std::string>& vms,
                         StepTime now);

// Returns whether this VM holds the serving lease at `now`.
bool HoldsServingLease(const Blackboard& bb, StepTime now);

// Returns whether a serving lease that this VM, as a voter, granted to the
// given incarnation of `vm` may not have expired.
bool GrantMayBeValid(const Blackboard& bb,
                     const std::string& vm,
                     uint64_t incarnation,
                     StepTime now);

// As above, for any incarnation of `vm`.
bool AnyGrantMayBeValid(const Blackboard& bb,
                        const std::string& vm,
                        StepTime now);

// Returns whether this VM, as a voter of the claim group of `failure_domain`,
// has every record that it made about a submission first submitted at
// `submitted_wall_ms` (0 if unknown).
bool HasFullStateForSubmission(const Blackboard& bb,
                               const std::string& failure_domain,
                               int64_t submitted_wall_ms);

// Returns whether this VM has full state for one claim group.
bool HasFullStateForGroup(const Blackboard& bb,
                          const std::string& failure_domain);

// Returns whether this VM has full state for all claim groups in which it
// votes.
bool HasFullStateForAllGroups(const Blackboard& bb);

// Returns whether this VM has held the serving lease since the submission was
// made. If so, no other VM can have claimed a submission that is unknown here
// and of which this VM is the preferred owner.
bool HeldLeaseSinceSubmission(const Blackboard& bb,
                              int64_t submitted_wall_ms,
                              StepTime now);

// Records that the co-voter `from` has sent all its records of a claim group.
// This VM has full state for the group once every co-voter has. The state of a
// group without co-voters can't be recovered in this way: full state returns
// when the retention window has passed.
void RecordSyncCompleted(Blackboard& bb,
                         const std::string& failure_domain,
                         const std::string& from,
                         Actions& actions);

// Returns the claim groups in which this VM votes.
std::vector<const ClaimGroup*> VotingGroups(const Blackboard& bb);

}  // namespace goldcrest

#endif  // GOLDCREST_MEMBERSHIP_H_
