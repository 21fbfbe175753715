#ifndef POOL_JOBS_JOB_FORWARDING_H_
#define POOL_JOBS_JOB_FORWARDING_H_

// Forwarding of whole jobs to a control daemon with more free capacity, before
// any of their tasks is queued here. Used when a burst reaches one failure
// domain only, and when this daemon drains.
//
// Neighbours are rated by the load in their newest heartbeats, minus the jobs
// that were forwarded to them since.

#include <cstdint>

#include "pool/pool_board.h"

namespace goldcrest {

// Returns the CPU demand, in thousandths of a core, of the steps that can start
// at once.
int64_t InitialCpuDemand(const wire::JobOrder& order);

// Forwards an order to a neighbour that can start all of it at once, or whose
// queue is so much shorter that it outweighs the forwarding delay. Returns
// false if there is no such neighbour.
bool ForwardJob(PoolBoard& board,
                const wire::JobOrder& order,
                Micros now,
                PoolActions& actions);

// Returns whether a neighbour can start all of the order at once, and books it
// there as AddToKnownLoad() does.
bool BookNeighbourWithCapacity(PoolBoard& board,
                               const wire::JobOrder& order,
                               Micros now);

// Adjusts the known load of a daemon by an order that was sent to it, until its
// next heartbeat.
void AddToKnownLoad(MeshMember& member, const wire::JobOrder& order);

// Forwards the job to a reachable daemon that has announced an open run of one
// of its tasks: it can end that run, or start the task on the worker that it is
// bound to, and this daemon can do neither. Returns false if there is none.
bool ForwardToOwnerOfRun(PoolBoard& board,
                         const wire::JobOrder& order,
                         Micros now,
                         PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_JOBS_JOB_FORWARDING_H_
