#ifndef POOL_POOL_PLACEMENT_H_
#define POOL_POOL_PLACEMENT_H_

// Puts waiting tasks on workers, and judges what the pool can take.

#include <string>
#include <vector>

#include "pool/choose_worker.h"
#include "pool/pool_board.h"

namespace goldcrest {

// Starts what waits and has room, the most pressing first.
void PlaceWaiting(PoolBoard& board, Micros now, PoolActions& actions);

// Returns the workers that may get a task now, by id.
std::vector<PoolWorker*> ReadyWorkers(const PoolBoard& board, Micros now);

// Returns when a job that arrives now would end, from now.
Micros EstimateEnd(const PoolBoard& board, const PoolJob& job, Micros now);

// Recomputes what this pool tells others about its room.
void UpdateLoad(PoolBoard& board, Micros now);

// Returns the run time of a task on an ordinary worker.
Micros ExpectedRunTime(const PoolBoard& board,
                       const wire::JobOrder& order,
                       const wire::JobStep& step);

// Learns from a run that was done.
void LearnRunTime(PoolBoard& board,
                  const PoolJob& job,
                  uint32_t step,
                  const PoolWorker& worker,
                  Micros took);

// Says whether the worker could hold a task of the step if nothing ran there.
bool CouldEverRun(const PoolWorker& worker,
                  const wire::JobOrder& order,
                  const wire::JobStep& step);

}  // namespace goldcrest

#endif  // POOL_POOL_PLACEMENT_H_
