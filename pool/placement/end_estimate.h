#ifndef POOL_PLACEMENT_END_ESTIMATE_H_
#define POOL_PLACEMENT_END_ESTIMATE_H_

// Estimate of the end of a job, used on its arrival to refuse or forward it.

#include "pool/pool_board.h"

namespace goldcrest {

// Returns the expected time from now until the end of a job that arrives now;
// kNever if no worker could start it.
Micros EstimateTimeToEnd(const PoolBoard& board,
                         const PoolJob& job,
                         Micros now);

}  // namespace goldcrest

#endif  // POOL_PLACEMENT_END_ESTIMATE_H_
