#ifndef POOL_WORKER_HEALTH_H_
#define POOL_WORKER_HEALTH_H_

// Judging workers by their own record.
//
// A worker that fails whatever it starts is always free, and would attract all
// tasks. Its failures in a row take it out for a time that doubles; after that
// it gets one task at a time until one is done. One failure alone only makes
// other workers preferred. Answers the load in which a tenth of the workers
// fails, stalls or slows down everything for some seconds.

#include "pool/pool_board.h"

namespace goldcrest {

struct HealthOptions {
  int failures_to_eject = 2;
  Micros first_ejection = 1 * kSecond;
  Micros longest_ejection = 8 * kSecond;
};

// Counts a failure; returns whether the worker is ejected by it.
bool RecordFailure(PoolWorker& worker,
                   Micros now,
                   const HealthOptions& options = {});

// Takes in that a run was done in `took`, where `expected` was expected; 0: not
// known how long it took.
void RecordSuccess(PoolWorker& worker, Micros took, Micros expected);

// Says whether the worker's last run failed, or a run takes too long there:
// others get tasks first.
bool IsSuspect(const PoolWorker& worker);

// Says whether the worker may get another task.
bool MayTakeTask(const PoolWorker& worker, Micros now);

}  // namespace goldcrest

#endif  // POOL_WORKER_HEALTH_H_
