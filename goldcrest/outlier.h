#ifndef GOLDCREST_OUTLIER_H_
#define GOLDCREST_OUTLIER_H_

// Outlier detection: temporary ejection of workers on which attempts keep
// failing.
//
// A worker on which several consecutive attempts fail is ejected for a time
// that doubles with each ejection. Then it gets one idempotent task at a time
// until one succeeds. At most half of the workers are ejected at the same time:
// if all of them fail, the cause is unlikely to be a worker.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Records the result of an attempt on the worker `key`, and ejects the worker
// if it has failed too often.
void RecordWorkerResult(Blackboard& bb,
                        const std::string& key,
                        bool failed,
                        StepTime now,
                        Actions& actions);

// Readmits the workers whose ejection time has passed, on probation.
void EndEjections(Blackboard& bb, StepTime now);

}  // namespace goldcrest

#endif  // GOLDCREST_OUTLIER_H_
