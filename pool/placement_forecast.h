#ifndef POOL_PLACEMENT_FORECAST_H_
#define POOL_PLACEMENT_FORECAST_H_

// Estimate of the end of a job from the expected ends of the running attempts
// and from what is waiting, with the actual sizes of tasks and workers.

#include <vector>

#include "pool/placement_plan.h"

namespace goldcrest {

// Returns the time from now until the last task of `job` ends if the tasks in
// `ahead` start first, in their order, as soon as a worker can hold them; a
// task that fits nowhere is passed over by those that fit. Returns kNever if no
// worker can ever hold a task of `job`. `matches` of the tasks ahead are
// ignored.
Micros ForecastEnd(const std::vector<PlanWorker>& workers,
                   const std::vector<PlanTask>& ahead,
                   const PlanTask& job);

}  // namespace goldcrest

#endif  // POOL_PLACEMENT_FORECAST_H_
