#ifndef GOLDCREST_BASELINE_H_
#define GOLDCREST_BASELINE_H_

// Placement as simple dispatchers do it, for comparison runs.
//
// The baselines know the workers' leases but not their free slots: random and
// round robin look at nothing, least loaded at the load that a worker last
// reported. A start that meets a full worker is refused there and retried.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Picks a worker by the policy in the tuning. Returns its key, or an empty
// string when no worker could hold `shape`.
std::string PickBaselineWorker(Blackboard& bb, TaskShape shape, Now now);

}  // namespace goldcrest

#endif  // GOLDCREST_BASELINE_H_
