#ifndef POOL_JOB_ORDER_CHECK_H_
#define POOL_JOB_ORDER_CHECK_H_

// What a job must look like before anything is kept of it. Checked where jobs
// come from callers and again where they come from other daemons, so that one
// malformed message ends in a refusal and not with the process.

#include <cstdint>
#include <string>

#include "proto/pool.pb.h"

namespace goldcrest {

// Tasks of all steps together. The largest jobs have a few hundred.
inline constexpr uint64_t kMostTasksOfJob = 10'000;

// Returns why nothing can be done with the order; empty when it is well formed:
// it has steps, each with tasks and after earlier steps only, and not too many
// tasks in all.
std::string JobOrderFault(const wire::JobOrder& order);

}  // namespace goldcrest

#endif  // POOL_JOB_ORDER_CHECK_H_
