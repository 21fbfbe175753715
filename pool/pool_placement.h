#ifndef POOL_POOL_PLACEMENT_H_
#define POOL_POOL_PLACEMENT_H_

// Placement of waiting tasks on workers, and estimates of the pool's load.

#include <string>
#include <vector>

#include "pool/choose_worker.h"
#include "pool/pool_board.h"

namespace goldcrest {

// Starts the waiting tasks for which a worker has free capacity, in the order
// of the queue.
void PlaceWaitingTasks(PoolBoard& board, Micros now, PoolActions& actions);

// Returns the workers that accept tasks now, sorted by id.
std::vector<PoolWorker*> ReadyWorkers(const PoolBoard& board, Micros now);

// Returns the expected time from now until the end of a job that arrives now.
Micros EstimateTimeToEnd(const PoolBoard& board,
                         const PoolJob& job,
                         Micros now);

// Recomputes the load that this daemon reports in its heartbeats.
void UpdateLoad(PoolBoard& board, Micros now);

// Returns the expected run time of a task of `step` on an average worker.
Micros ExpectedRunTime(const PoolBoard& board,
                       const wire::JobOrder& order,
                       const wire::JobStep& step);

// Updates the run time statistics with a completed attempt that took `took`.
void LearnRunTime(PoolBoard& board,
                  const PoolJob& job,
                  uint32_t step,
                  const PoolWorker& worker,
                  Micros took);

// Returns true if the worker could run a task of the step when idle.
bool CouldEverRun(const PoolWorker& worker,
                  const wire::JobOrder& order,
                  const wire::JobStep& step);

}  // namespace goldcrest

#endif  // POOL_POOL_PLACEMENT_H_
