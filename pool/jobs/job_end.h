#ifndef POOL_JOBS_JOB_END_H_
#define POOL_JOBS_JOB_END_H_

// The ends of jobs at a control daemon: its outcome is reported to the entry
// daemon, its running attempts are stopped, and it is removed, all in one step.

#include <cstdint>
#include <string>

#include "pool/pool_board.h"

namespace goldcrest {

// The shortest time after which a refused caller is told to come back.
inline constexpr int64_t kShortestRetryAfterMs = 1000;

// How long an order for a job that was cancelled elsewhere is refused: it may
// have been on its way when all daemons were asked to cancel the job.
inline constexpr Micros kCancelMemory = 3 * kSecond;

// Refuses a job of which no task was started, and removes it in the same step;
// a job with a started task is left as it is. `try_elsewhere` lets the entry
// daemon send it to a control daemon that has not had it yet.
void RefuseUnstartedJob(PoolBoard& board,
                        const std::string& key,
                        const std::string& reason,
                        int64_t retry_after_ms,
                        bool try_elsewhere,
                        Micros now,
                        PoolActions& actions);

// Ends a job: reports the outcome to its entry daemon, stops its running
// attempts, and removes it.
void EndJob(PoolBoard& board,
            const std::string& key,
            wire::JobFate fate,
            const std::string& reason,
            Micros now,
            PoolActions& actions);

// Ends a job whose entry daemon may have answered its caller already, that the
// outcome is unknown: it is told so if a task was started, else that the job is
// refused.
void EndAbandonedJob(PoolBoard& board,
                     const std::string& key,
                     const std::string& reason,
                     Micros now,
                     PoolActions& actions);

// Ends a job whose cancellation was requested; returns whether it was here. If
// not, and the request is for any order of the job, an order for it that comes
// within kCancelMemory is cancelled.
bool OnJobCancel(PoolBoard& board,
                 const wire::JobCancel& cancel,
                 Micros now,
                 PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_JOBS_JOB_END_H_
