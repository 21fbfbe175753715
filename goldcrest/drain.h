#ifndef GOLDCREST_DRAIN_H_
#define GOLDCREST_DRAIN_H_

// Graceful shutdown of one daemon.
//
// A draining VM announces this in its heartbeats, so that no VM forwards jobs
// to it and the leases of its workers move to other VMs at their next renewal.
// Jobs that have started no task are released and handed over to another VM.
// Jobs with started tasks are finished here. The daemon is drained when it has
// nothing left to answer. After the drain timeout the remaining requests are
// answered with an unknown outcome, or with a refusal where that is certain.

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Starts the drain and replies to the request. A second request has no effect.
void OnDrain(Blackboard& bb,
             const DrainRequest& request,
             StepTime now,
             Actions& actions);

// Checks whether the daemon is drained. Sets `bb.drained` if so, and otherwise
// hands over the jobs that can be by now.
void OnDrainTimer(Blackboard& bb, StepTime now, Actions& actions);

// Answers every request that waits. Call it in each step of a drained VM: none
// of its later steps is certain to run.
void AnswerAllPending(Blackboard& bb, StepTime now, Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_DRAIN_H_
