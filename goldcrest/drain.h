#ifndef GOLDCREST_DRAIN_H_
#define GOLDCREST_DRAIN_H_

// Graceful shutdown of one daemon.
//
// A draining VM says so in its heartbeats, so that nobody forwards to it and
// its workers' leases move to the neighbours at their next renewal. Jobs that
// have started nothing are released and handed to a neighbour; jobs in flight
// are finished here. The daemon is drained when nothing is left to answer, or
// after the drain timeout.

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Begins the shutdown; a second request changes nothing.
void OnDrain(Blackboard& bb,
             const DrainRequest& request,
             Now now,
             Actions& actions);

// Looks whether the daemon is drained.
void OnDrainTimer(Blackboard& bb, Now now, Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_DRAIN_H_
