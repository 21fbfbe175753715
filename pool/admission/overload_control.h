#ifndef POOL_ADMISSION_OVERLOAD_CONTROL_H_
#define POOL_ADMISSION_OVERLOAD_CONTROL_H_

// Which jobs are served, and which are refused, when a pool cannot serve all.
//
// The load that this addresses: a burst, or the loss of workers, leaves
// hundreds of tasks waiting. A queue that is ordered by due time alone then
// starts every job at its last possible moment, so that half of the jobs end
// just too late; the least urgent queue gets what is left; and jobs that will
// never be served wait until their callers leave.
//
// Overload control
// - counts a job as on time only while it leaves a margin for the error of its
//   estimate (LatenessMargin());
// - puts the jobs first, within the same expected lateness, that have begun or
//   that are due to their queue's floor (ChooseFirstJobs());
// - refuses jobs of which no task was started when it is certain that they are
//   of no use to their callers any more (ReviewWaitingJobs()).
// It treats all failure domains of callers alike.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// Returns the part of its expected run time that a job must leave before its
// objective to count as on time; 0 without overload control.
double LatenessMargin(const PoolFeatures& features);

// ------------------------------------------------------------ refusals

// Why a waiting job is refused.
enum class OverloadRefusal : uint8_t {
  kNone,
  kNoTimeLeft,       // it cannot end before its caller's timeout
  kNoValueLeft,      // its answer would have no value, and others wait or no
                     // worker could run it
  kCapacityPromised  // the capacity that it could use is promised to others
};

// Names in logs and metrics.
inline constexpr std::array<std::string_view, 4> kOverloadRefusalNames = {
    "", "no_time_left", "no_value_left", "capacity_promised"};

inline std::string_view ToString(OverloadRefusal refusal) {
  return kOverloadRefusalNames[static_cast<size_t>(refusal)];
}

// CPU that becomes free, in thousandths of a core.
struct FreedCpu {
  Micros in = 0;  // time from now
  int64_t cpu_millis = 0;
};

// When CPU of the workers of one service becomes free.
struct FreeingTimes {
  std::vector<FreedCpu> freed;  // sorted by time
  // For each prefix of `freed`: the sums of the CPU, and of the CPU times the
  // time at which it becomes free.
  std::vector<double> cpu_sums = {0};
  std::vector<double> cpu_time_sums = {0};
};

// Sorts `freed` and computes the sums.
FreeingTimes MakeFreeingTimes(std::vector<FreedCpu> freed);

// Returns the CPU work that fits into the time from now, in thousandths of a
// core times microseconds.
double WorkWithin(const FreeingTimes& freeing, Micros time);

// A job with waiting tasks, as overload control sees it.
struct WaitingJob {
  std::string service;
  bool started = false;
  // Whether it can still be on time, with or without margin.
  bool can_be_on_time = false;
  // Whether a worker can hold one of its waiting tasks now.
  bool fits_now = false;
  // Whether its tasks may run on every worker of the service, so that they use
  // the capacity that others wait for.
  bool uses_any_worker = true;
  // The shortest run time that is plausible, given the error of the estimate
  // and steps that may run at the same time.
  Micros shortest_run_time = 0;
  Micros deadline = 0;
  // The deadline if its objective does not tell.
  Micros value_ends_at = 0;
  // Of its waiting tasks, in thousandths of a core times microseconds.
  double work = 0;
};

// Decides for each job, in the order of the queue, whether it is refused.
// `freeing` holds the capacity by service. Jobs are refused for promised
// capacity, or because no worker of their service exists, only if
// `pool_is_known`: the daemon knows all workers of its pool.
std::vector<OverloadRefusal> ReviewWaitingJobs(
    const std::vector<WaitingJob>& jobs,
    const std::map<std::string, FreeingTimes>& freeing,
    bool pool_is_known,
    Micros now);

// ------------------------------------------------------------ shares

// A queue's part of the pool, in thousandths of a core.
struct QueueShare {
  double offered = 0;   // demand, see OfferedWork
  double occupied = 0;  // by running tasks
  double floor = 0;
};

// Sets the floors: `floor_percent` of the capacity, divided by demand; a floor
// is not more than the demand.
void SetFloors(std::map<std::string, QueueShare>& shares,
               double capacity,
               int floor_percent);

// A job with waiting tasks, as a candidate for its queue's floor.
struct FloorCandidate {
  std::string queue;
  bool started = false;
  double cpu_millis = 0;  // of its waiting tasks
};

// Returns for each job, in the order of the queue, whether it comes first
// within its expected lateness: it has begun, or its queue occupies less than
// its floor together with the jobs of the queue that come before it.
std::vector<bool> ChooseFirstJobs(const std::vector<FloorCandidate>& jobs,
                                  std::map<std::string, QueueShare> shares);

// ------------------------------------------------------------ board

// Records the work that an order brings, for the floors.
void RecordOfferedWork(PoolBoard& board,
                       const wire::JobOrder& order,
                       Micros now);

// Returns the work that jobs of all queues brought lately, in thousandths of a
// core.
double OfferedCpuMillis(const PoolBoard& board, Micros now);

// Orders the waiting jobs by shares, and refuses those that are of no use to
// their callers any more. Does nothing without overload control.
void OverloadTick(PoolBoard& board, Micros now, PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_ADMISSION_OVERLOAD_CONTROL_H_
