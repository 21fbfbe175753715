#ifndef POOL_PLACEMENT_PLACEMENT_PLAN_H_
#define POOL_PLACEMENT_PLACEMENT_PLAN_H_

// The choice of the waiting tasks that start now, with regard to what else is
// waiting and to what ends soon.
//
// This addresses a pool that is overloaded with tasks that are large relative
// to its workers: tasks of 6 to 12 cores on workers of 16. Two random tasks fit
// together on such a worker about half of the time, so taking them in queue
// order leaves capacity unused although tasks wait that could use it, and a
// task of 12 cores waits until a worker happens to be empty.
//
// All functions are pure; times are relative to now.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "goldcrest/time_units.h"
#include "pool/pool_board.h"

namespace goldcrest {

// The expected end of an attempt, and the resources that become free with it.
struct PlanEnd {
  Micros in = 0;
  Resources resources;
};

// A worker that accepts starts.
struct PlanWorker {
  Resources free;
  // Expected run time of a task relative to that on an average worker.
  double run_time_factor = 1.0;
  bool suspect = false;  // other workers are preferred
  // Number of tasks that may be started on it now.
  uint32_t most_starts = UINT32_MAX;
  std::vector<PlanEnd> ends;  // by time; used for reservations
};

// What applies to the tasks of a PlanTask on one worker.
struct PlanMatch {
  uint32_t most = 0;   // number of these tasks that may be started there
  bool avoid = false;  // other workers are preferred
};

// Waiting tasks of one job with equal requirements.
struct PlanTask {
  uint64_t job = 0;
  uint32_t count = 1;  // number of tasks
  Resources required;
  Micros run_time = 0;  // expected, on an average worker
  // Tasks that come later in the queue may be started before it until then.
  Micros latest_start = 0;
  ExpectedLateness lateness = ExpectedLateness::kOnTime;
  QueueRank rank = QueueRank::kByPriority;
  bool begun = false;     // another task of its job has started
  bool startable = true;  // its job has a start permission
  // By worker; empty: every worker may be used without a limit.
  std::vector<PlanMatch> matches;
};

struct PlanOptions {
  // Bound of the work of one plan, in comparisons of a task with a worker.
  // Beyond it, the rest is placed in queue order.
  size_t budget = 20'000;
};

// Tasks and workers are given by their index in the vectors of the call.
struct PlanStart {
  size_t task = 0;
  size_t worker = 0;
  bool ahead = false;  // a task that fits there comes earlier in the queue
};

// The worker is kept free for the task, which can start there at `in`.
struct PlanReservation {
  size_t task = 0;
  size_t worker = 0;
  Micros in = 0;
};

struct PlacementPlan {
  std::vector<PlanStart> starts;  // in the order in which they are started
  std::vector<PlanReservation> reservations;
  bool over_budget = false;
};

// Returns the tasks to start now. `tasks` is in the order of the queue. If all
// startable tasks fit, each gets the worker that ChooseWorker() prefers.
// Otherwise the first tasks that fit nowhere reserve the workers that can hold
// them first, and each worker's free capacity is given to the task that uses it
// best: among the tasks of the same lateness and rank as the first that fits,
// up to the first whose latest start is near, the one that leaves the smallest
// remainder that no waiting task can use; of about equal ones, one of a job
// that has begun. A task that ends before the reservation, or leaves enough
// capacity for it, may use a reserved worker.
PlacementPlan MakePlacementPlan(const std::vector<PlanWorker>& workers,
                                const std::vector<PlanTask>& tasks,
                                const PlanOptions& options = {});

// The CPU requirements of waiting tasks, to judge the remainder of a worker.
// Exact for a remainder that one task fills; for more, the remainder is rounded
// down to a part of the smallest requirement. The task that leaves a remainder
// counts as a user of it, too: this matters only in a short queue, and tasks of
// its size are likely to arrive.
class WaitingSizes {
 public:
  // `largest_cpu_millis` is the largest remainder that will be asked for.
  WaitingSizes(const std::vector<PlanTask>& tasks, int64_t largest_cpu_millis);

  // Returns how much of `cpu_millis` the waiting tasks can use at most.
  int64_t Usable(int64_t cpu_millis) const;

  // Returns the smallest requirement.
  int64_t smallest() const { return smallest_; }

 private:
  std::vector<int64_t> sizes_;  // ascending
  int64_t smallest_ = 0;
  int64_t step_ = 1;
  std::vector<int64_t> usable_;  // by remainder, in steps
};

}  // namespace goldcrest

#endif  // POOL_PLACEMENT_PLACEMENT_PLAN_H_
