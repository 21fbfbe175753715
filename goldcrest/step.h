#ifndef GOLDCREST_STEP_H_
#define GOLDCREST_STEP_H_

// The single entry point of the decision code.
//
//   Blackboard bb = MakeBlackboard(deployment, tuning);
//   Actions actions;
//   Start(bb, recovered, now, actions);
//   Step(bb, event, now, actions);   // once for each event
//   ... perform the actions, call Step(bb, TimeAdvanced{}, ...) at
//   NextWakeUp(bb, now)
//
// A step takes one event and the current time, changes the blackboard and
// appends the actions that the edge, the I/O layer in edge/, performs. It never
// blocks and reads no clock, so the same code is driven by a socket thread, a
// unit test or a recorded trace.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// State recovered from the journal when the daemon starts.
struct RecoveredState {
  // Whether the journal shows an earlier incarnation of this daemon; also true
  // if the journal is damaged.
  bool had_earlier_incarnation = false;
  // The configuration vote of this VM, if `has_vote`, and the configuration
  // that was in force.
  bool has_vote = false;
  wire::ConfigurationVote vote;
  wire::ConfigurationState in_force;
  // Claim records. Present only where each claim is synced to the journal
  // before its vote counts.
  std::vector<wire::ClaimRecord> claims;
};

// Returns the blackboard of a daemon that has not been started. The roles in
// `deployment` must have been assigned.
Blackboard MakeBlackboard(Deployment deployment, Tuning tuning);

// Starts the daemon: restores the recovered state and runs the first step.
void Start(Blackboard& bb,
           const RecoveredState& recovered,
           StepTime now,
           Actions& actions);

// Processes `event`, then all timers that are due at `now`, then placement.
void Step(Blackboard& bb, const Event& event, StepTime now, Actions& actions);

// Returns the time on the monotonic clock at which the next step is due at the
// latest, even if no event arrives.
Micros NextWakeUp(const Blackboard& bb, StepTime now);

}  // namespace goldcrest

#endif  // GOLDCREST_STEP_H_
