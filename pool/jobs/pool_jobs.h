#ifndef POOL_JOBS_POOL_JOBS_H_
#define POOL_JOBS_POOL_JOBS_H_

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

// Requests a start permission from the job's entry daemon, unless it was
// requested recently.
void RequestStartPermission(PoolJob& job, Micros now, PoolActions& actions);

// Records the start permission of a job.
void OnStartPermitted(PoolBoard& board,
                      const std::string& entry,
                      const wire::JobGo& go);

// Ends jobs whose deadline has passed or whose entry daemon is unreachable.
void JobsTick(PoolBoard& board, Micros now, PoolActions& actions);

// Returns the sum of the expected run times of all unfinished steps: an upper
// bound of the run time that the job still needs if none of its tasks has to
// wait, since steps may run at the same time and parts of a step may be done.
Micros RemainingSequentialRunTime(const PoolJob& job);

// Returns the time after which the job's answer has no value for its caller.
Micros ValueEndsAt(const PoolJob& job);

// Returns the present job with the task, or null.
PoolJob* FindJobOfTask(PoolBoard& board, const TaskName& name);

// Returns the job with this key, or null.
PoolJob* FindPoolJob(PoolBoard& board, const std::string& key);

}  // namespace goldcrest

#endif  // POOL_JOBS_POOL_JOBS_H_
