#ifndef POOL_WORKERS_WORKER_HEALTH_H_
#define POOL_WORKERS_WORKER_HEALTH_H_

// Ejection of workers that fail tasks.
//
// A worker that fails every task at once is always free, and would attract all
// tasks. After some failures in a row it gets no tasks (it is ejected) for a
// time that doubles with each ejection; after that it gets one task at a time
// until one is done. A single failure only makes other workers preferred. This
// handles the load in which a tenth of the workers fails, stalls or slows down
// every task for some seconds.

#include "pool/pool_board.h"

namespace goldcrest {

struct HealthOptions {
  // Failures in a row after which a worker is ejected.
  int failures_to_eject = 2;
  // Duration of the first ejection; each further one doubles it up to the
  // longest.
  Micros first_ejection = 1 * kSecond;
  Micros longest_ejection = 8 * kSecond;
};

// Records a failure; returns whether it ejects the worker.
bool RecordFailure(PoolWorker& worker,
                   Micros now,
                   const HealthOptions& options = {});

// Records that an attempt was done. `run_time` is its run time, 0 if unknown;
// `expected` is the estimate.
void RecordSuccess(PoolWorker& worker, Micros run_time, Micros expected);

// Returns whether the worker's last attempt failed, or an attempt takes too
// long there: other workers get tasks first.
bool IsSuspect(const PoolWorker& worker);

// Returns whether the worker may get another task.
bool MayTakeTask(const PoolWorker& worker, Micros now);

}  // namespace goldcrest

#endif  // POOL_WORKERS_WORKER_HEALTH_H_
