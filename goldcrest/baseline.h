#ifndef GOLDCREST_BASELINE_H_
#define GOLDCREST_BASELINE_H_

// Baseline placement policies of simple dispatchers, for comparison runs.
//
// The baselines use the leases of the workers but not their free slots: random
// and round robin use no load information, least loaded uses the number of
// tasks that each worker last reported. A start on a full worker is refused by
// it and retried.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Picks a worker by the policy in Tuning::placement. Returns its key, or an
// empty string if no worker has the resources that `shape` requires.
std::string PickBaselineWorker(Blackboard& bb, TaskShape shape, StepTime now);

}  // namespace goldcrest

#endif  // GOLDCREST_BASELINE_H_
