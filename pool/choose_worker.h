#ifndef POOL_CHOOSE_WORKER_H_
#define POOL_CHOOSE_WORKER_H_

// Where a task goes, and whether a job can still be in time.
//
// Both are functions of plain numbers, so that a test can play a load against
// them without workers, sockets or clocks.

#include <cstddef>
#include <optional>
#include <vector>

#include "goldcrest/time_units.h"
#include "pool/pool_board.h"

namespace goldcrest {

// One worker as a task sees it.
struct WorkerOffer {
  Need free;
  bool near_data = true;  // holds the task's input in its rack
  bool suspect = false;   // its last run failed, or the task failed there
  double factor = 1.0;    // run time there over that on an ordinary worker
};

// Says whether `need` fits into `free`.
bool Fits(const Need& need, const Need& free);

// Returns the place in `offers` of the worker for a task: near its data, then
// not suspect, then the fastest, then the one with the least room left over,
// which keeps whole workers free for wide tasks. Nothing when none has room.
std::optional<size_t> ChooseWorker(const std::vector<WorkerOffer>& offers,
                                   const Need& need);

// A group of tasks with one run time, in the order in which they will start.
struct TaskGroup {
  size_t tasks = 0;
  Micros run_time = 0;
};

// Returns when the last task of `job` would end, from now, if `ahead` start
// first, in their order, and `slot_free` tells when each place for a task
// becomes free (0: free now). Answers the load of a burst: what cannot be in
// time is told so at its arrival instead of after its timeout. Without any
// place the result is kNever.
inline constexpr Micros kNever = INT64_MAX / 4;
Micros ExpectedEnd(std::vector<Micros> slot_free,
                   const std::vector<TaskGroup>& ahead,
                   const TaskGroup& job);

}  // namespace goldcrest

#endif  // POOL_CHOOSE_WORKER_H_
