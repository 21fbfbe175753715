#ifndef POOL_ADMISSION_JOB_ADMISSION_H_
#define POOL_ADMISSION_JOB_ADMISSION_H_

// The decision on a job order that arrives at a control daemon: the job is
// accepted, attached to the job that exists for the same job id, forwarded to
// another control daemon, or refused.

#include "pool/pool_board.h"

namespace goldcrest {

// Handles a job order: accepts, forwards or refuses it.
void OnJobOrder(PoolBoard& board,
                const wire::JobOrder& order,
                Micros now,
                PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_ADMISSION_JOB_ADMISSION_H_
