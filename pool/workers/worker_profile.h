#ifndef POOL_WORKERS_WORKER_PROFILE_H_
#define POOL_WORKERS_WORKER_PROFILE_H_

// The speed of each worker, learned from its completed attempts.
//
// A worker's profile is its run time relative to that of the average worker of
// the pool. This handles the load in which some workers are up to twice as slow
// as others and no label tells which, while the callers' estimates are off by
// 0.4 and one job in thirty takes seven times as long.
//
// The logarithm of (run time / estimate) of a task is the sum of its queue's
// ratio, an error that all tasks of the step share, the worker's factor and
// noise. The shared error is estimated from the tasks of the same step on other
// workers, so these compare their workers directly. Deviations beyond what the
// uncertainty explains are clipped. The average factor of the owned workers is
// held at 1: a common shift is moved into the ratios of the queues, which
// leaves all expected run times as they are. This is done for each service,
// since no task compares workers of different services.

#include <string>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// Returns the worker's kind: its first label.
const std::string& KindOf(const PoolWorker& worker);

// Returns the run time factor of the worker's profile; without a profile, the
// average of its kind.
double ProfileFactor(const PoolBoard& board, const PoolWorker& worker);

// Records that a task of the step took `took` on the worker, and learns from
// the whole step when that was the last open task.
void RecordRunTime(PoolBoard& board,
                   PoolJob& job,
                   uint32_t step,
                   PoolWorker& worker,
                   Micros took);

// A sample of one worker's profile; `log_ratio` is the logarithm of the run
// time divided by the estimate.
struct ProfileSample {
  WorkerProfile* profile = nullptr;
  double log_ratio = 0;
};

// Updates the profiles with the samples of one step, at most one for each
// profile. `queue_log_ratio` is the logarithm of the queue's ratio, and
// `task_variance` that of RunTimes. Returns the step's own deviation from its
// estimate.
double LearnFromSamples(const std::vector<ProfileSample>& samples,
                        double queue_log_ratio,
                        double& task_variance);

// Updates the averages of the kinds, and moves a common shift of the factors of
// a service's workers into the ratios of its queues, so that the average
// worker's factor is 1.
void CenterProfiles(PoolBoard& board);

// Returns the value by which placement orders workers with the capacity for a
// task of the step; the lowest is the best. For tasks that are long relative to
// the other work of the pool, faster workers are better; for short ones, slower
// workers on which the task would still be on time. Speeds that differ by less
// than the error of a profile are equal, so that other criteria apply.
double SpeedRank(const PoolBoard& board,
                 const PoolJob& job,
                 uint32_t step,
                 const PoolWorker& worker,
                 Micros now);

// Returns the average run time factor of the workers that accept tasks of the
// step now; 1 if there are none, or without run_times_by_worker.
double AverageFactor(const PoolBoard& board,
                     const wire::JobOrder& order,
                     const wire::JobStep& step,
                     Micros now);

// Summary of the profiles of the owned workers, for metrics.
struct ProfileSummary {
  size_t workers = 0;  // with a profile
  double smallest = 1;
  double median = 1;
  double largest = 1;
};
ProfileSummary SummarizeProfiles(const PoolBoard& board);

}  // namespace goldcrest

#endif  // POOL_WORKERS_WORKER_PROFILE_H_
