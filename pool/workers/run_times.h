#ifndef POOL_WORKERS_RUN_TIMES_H_
#define POOL_WORKERS_RUN_TIMES_H_

// Expected run times, learned from completed attempts.

#include "pool/pool_board.h"

namespace goldcrest {

// Returns the expected run time of a task of `step` on an average worker.
Micros ExpectedRunTime(const PoolBoard& board,
                       const wire::JobOrder& order,
                       const wire::JobStep& step);

// Returns the expected run time on the worker divided by that on an average
// worker: that of its kind, or with run_times_by_worker that of its profile.
double RunTimeFactor(const PoolBoard& board, const PoolWorker& worker);

// Updates the run time statistics with a completed attempt that took `took`.
void LearnRunTime(PoolBoard& board,
                  PoolJob& job,
                  uint32_t step,
                  PoolWorker& worker,
                  Micros took);

}  // namespace goldcrest

#endif  // POOL_WORKERS_RUN_TIMES_H_
