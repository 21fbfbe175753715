#ifndef POOL_POOL_JOBS_H_
#define POOL_POOL_JOBS_H_

// The life cycle of jobs at a control daemon.
//
// A job belongs to the entry daemon that is connected to its caller. When that
// daemon becomes unreachable, the job is stopped, and its caller sends it again
// through another entry daemon. A second order for a job that is already known
// takes over the job of the first order together with its running attempts.
//
// No task of a job starts before the entry daemon has given a start permission.
// It is requested when the job is close to the head of the queue, which costs
// one message each way and occupies no capacity. An entry daemon that has not
// given the permission therefore knows that the job has not run, even if this
// control daemon fails.

#include <string>

#include "pool/pool_board.h"

namespace goldcrest {

// For this long after its start, a daemon may not know all workers yet.
inline constexpr Micros kWorkerDiscoveryTime = 5 * kSecond;

// The shortest time after which a refused caller is told to come back.
inline constexpr int64_t kShortestRetryAfterMs = 1000;

// How long an order for a job that was cancelled elsewhere is refused: it may
// have been on its way when all daemons were asked to cancel the job.
inline constexpr Micros kCancelMemory = 3 * kSecond;

// Ends a job whose cancellation was requested; returns whether it was here. If
// not, and the request is for any order of the job, an order for it that comes
// within kCancelMemory is cancelled.
bool OnJobCancel(PoolBoard& board,
                 const wire::JobCancel& cancel,
                 Micros now,
                 PoolActions& actions);

// Requests a start permission from the job's entry daemon, unless it was
// requested recently.
void RequestStartPermission(PoolJob& job, Micros now, PoolActions& actions);

// Records the start permission of a job.
void OnStartPermitted(PoolBoard& board,
                      const std::string& entry,
                      const wire::JobGo& go);

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

// Ends jobs whose deadline has passed or whose entry daemon is unreachable.
void JobsTick(PoolBoard& board, Micros now, PoolActions& actions);

// Adds the tasks of all steps that can start now to the queue.
void QueueUnblockedTasks(PoolBoard& board, PoolJob& job);

// Adds a task to the queue of waiting tasks, or holds it if an earlier run of
// it may not be over.
void QueueTask(PoolBoard& board, PoolJob& job, uint32_t step, uint32_t index);

// Queues the task if it is held and no run of it is open any more.
void QueueHeldTask(PoolBoard& board, const TaskName& name);

// Holds the task if it waits to be started.
void HoldWaitingTask(PoolBoard& board, const TaskName& name);

// Returns the sum of the expected run times of all unfinished steps: an upper
// bound of the run time that the job still needs if none of its tasks has to
// wait, since steps may run at the same time and parts of a step may be done.
Micros RemainingSequentialRunTime(const PoolJob& job);

// Returns the time after which the job's answer has no value for its caller.
Micros ValueEndsAt(const PoolJob& job);

// Returns the place of a task in the queue.
WaitingKey WaitingKeyOf(const PoolJob& job, uint32_t step, uint32_t index);

// Moves the job's waiting tasks to the place in the queue for `lateness` and
// `rank`.
void MoveInQueue(PoolBoard& board,
                 PoolJob& job,
                 ExpectedLateness lateness,
                 QueueRank rank);

// Returns the present job with the task, or null.
PoolJob* FindJobOfTask(PoolBoard& board, const TaskName& name);

// Returns the job with this key, or null.
PoolJob* FindPoolJob(PoolBoard& board, const std::string& key);

}  // namespace goldcrest

#endif  // POOL_POOL_JOBS_H_
