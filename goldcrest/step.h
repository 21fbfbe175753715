#ifndef GOLDCREST_STEP_H_
#define GOLDCREST_STEP_H_

// The one entrance to all decisions.
//
//   Blackboard bb = MakeBlackboard(deployment, tuning);
//   Actions actions;
//   Start(bb, recovered, now, actions);
//   Step(bb, event, now, actions);   // again and again
//   ... perform the actions, call Step(bb, Tick{}, ...) at NextWakeUp(bb) ...
//
// A step takes what happened and the time, changes the blackboard and appends
// what the edges are to do. It never blocks and reads no clock, so a thread of
// sockets, a unit test and a recorded trace drive the same code.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// What the journal gave back at the start.
struct Recovered {
  bool lived_before = false;
  bool has_vote = false;
  wire::ConfigurationVote vote;
  wire::ConfigurationState in_force;
  // Claims, where each was synced before it counted.
  std::vector<wire::ClaimRecord> claims;
};

// Makes the blackboard of a daemon that has not started yet. The roles of
// `deployment` must have been assigned.
Blackboard MakeBlackboard(Deployment deployment, Tuning tuning);

// Starts the daemon.
void Start(Blackboard& bb,
           const Recovered& recovered,
           Now now,
           Actions& actions);

// Takes in one event and everything that is due.
void Step(Blackboard& bb, const Event& event, Now now, Actions& actions);

// Returns when the next timer is due on the monotonic clock.
Micros NextWakeUp(const Blackboard& bb, Now now);

}  // namespace goldcrest

#endif  // GOLDCREST_STEP_H_
