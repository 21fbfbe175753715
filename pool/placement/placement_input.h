#ifndef POOL_PLACEMENT_PLACEMENT_INPUT_H_
#define POOL_PLACEMENT_PLACEMENT_INPUT_H_

// The workers and waiting tasks of a board, as a placement plan takes them.

#include <cstdint>
#include <string>
#include <vector>

#include "pool/placement/placement_plan.h"
#include "pool/pool_board.h"

namespace goldcrest {

// Returns the number of attempts of the step on the worker.
uint32_t CountAttemptsOfStep(const PoolWorker& worker,
                             const std::string& job_id,
                             uint32_t step);

// Returns the expected time from now until the attempt ends, by its reported
// progress if that is significant. Positive also for an overdue attempt.
Micros ExpectedTimeToEnd(const WorkerAttempt& attempt, Micros now);

// Returns the workers for a plan, in the same order.
std::vector<PlanWorker> MakePlanWorkers(const PoolBoard& board,
                                        const std::vector<PoolWorker*>& ready,
                                        Micros now);

// Returns the service of all the workers; null if it is not the same.
const std::string* CommonService(const std::vector<PoolWorker*>& ready);

// Returns true if not every worker of its service may run any number of the
// step's tasks, or some are preferred.
bool IsRestricted(const wire::JobOrder& order, uint32_t step);

// Returns what applies to tasks of the step on each of the workers; empty if
// each of them can be used without a limit. `first` is the first of the tasks:
// all of a group avoid the same worker, or are bound to the same one.
std::vector<PlanMatch> MakePlanMatches(const PoolBoard& board,
                                       const std::vector<PoolWorker*>& ready,
                                       const PoolJob& job,
                                       const TaskName& first);

// Returns `count` tasks of the step, as a plan takes them, without their
// matches.
PlanTask MakePlanTask(const PoolJob& job,
                      uint32_t step,
                      uint32_t count,
                      Micros now);

}  // namespace goldcrest

#endif  // POOL_PLACEMENT_PLACEMENT_INPUT_H_
