#ifndef POOL_ADMISSION_JOB_ORDER_CHECK_H_
#define POOL_ADMISSION_JOB_ORDER_CHECK_H_

// Validation of job orders. Orders are checked when they arrive from callers
// and again when they arrive from other daemons, so that a malformed message
// leads to a refusal and does not crash the process.

#include <cstdint>
#include <string>

#include "proto/pool.pb.h"

namespace goldcrest {

// Maximum number of tasks in all steps of a job. The largest real jobs have a
// few hundred.
inline constexpr uint64_t kMaxTasksPerJob = 10'000;

// Returns the reason why the order is malformed, or an empty string if it is
// valid. A valid order has steps, each step has tasks and depends on earlier
// steps only, and there are not too many tasks in all.
std::string ValidateJobOrder(const wire::JobOrder& order);

}  // namespace goldcrest

#endif  // POOL_ADMISSION_JOB_ORDER_CHECK_H_
