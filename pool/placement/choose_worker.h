#ifndef POOL_PLACEMENT_CHOOSE_WORKER_H_
#define POOL_PLACEMENT_CHOOSE_WORKER_H_

// Selection of a worker for a task, and estimation of the end of a job.
//
// Both are pure functions, so that tests can run a load against them without
// workers, sockets or clocks.

#include <cstddef>
#include <optional>
#include <vector>

#include "goldcrest/time_units.h"
#include "pool/pool_board.h"

namespace goldcrest {

// A worker as a candidate for one task.
struct WorkerOffer {
  Resources free;         // free capacity
  bool near_data = true;  // in the rack that holds the task's input
  bool suspect = false;   // its last attempt failed, or the task failed there
  // Run time relative to that on an average worker, or its SpeedRank()
  // (worker_profile.h); the lowest is the best.
  double run_time_factor = 1.0;
};

// Returns true if `free` covers `required` in every resource.
bool Fits(const Resources& required, const Resources& free);

// Returns the index in `offers` of the best worker for a task: near its data,
// then not suspect, then the fastest, then the one with the least free capacity
// left over, which keeps whole workers free for large tasks. Returns nullopt
// if no worker has enough free capacity.
std::optional<size_t> ChooseWorker(const std::vector<WorkerOffer>& offers,
                                   const Resources& required);

// Tasks of equal run time that start one after the other.
struct TaskGroup {
  size_t tasks = 0;
  Micros run_time = 0;
};

// Returns the time from now until the last task of `job` ends, if the groups in
// `ahead` start first, in their order. `slot_free_at` holds the time from now
// at which each slot becomes free (0: free now). Returns kNever if there are no
// slots. With this estimate, jobs of a burst that cannot end in time are
// refused on arrival instead of timing out.
inline constexpr Micros kNever = INT64_MAX / 4;
Micros ExpectedEnd(std::vector<Micros> slot_free_at,
                   const std::vector<TaskGroup>& ahead,
                   const TaskGroup& job);

}  // namespace goldcrest

#endif  // POOL_PLACEMENT_CHOOSE_WORKER_H_
