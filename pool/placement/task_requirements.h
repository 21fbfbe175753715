#ifndef POOL_PLACEMENT_TASK_REQUIREMENTS_H_
#define POOL_PLACEMENT_TASK_REQUIREMENTS_H_

// What the tasks of a step require, and which workers satisfy it.

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// Returns the resources of one task of the step.
Resources ResourcesOf(const wire::JobStep& step);

// Returns true if the worker has the label.
bool HasLabel(const PoolWorker& worker, const std::string& label);

// Why a worker gets no tasks. The first one that holds counts.
enum class StartObstacle : uint8_t {
  kNone,
  kGone,              // it has left the pool
  kReconciling,       // what runs there is not known (also: not owned)
  kReleasing,         // it is handed over to another daemon
  kLeaving,           // it drains
  kUnreported,        // its clock or capacity is not known yet
  kLeaseNotExtended,  // what runs there must end with the lease
  kFailing,           // it was ejected, or is on probation
  kSuspect,           // left to a task that may crash it, or of unknown size
};

// Names in metrics.
inline constexpr std::array<std::string_view, 9> kStartObstacleNames = {
    "none",    "gone",       "reconciling",        "releasing",
    "leaving", "unreported", "lease_not_extended", "failing",
    "suspect"};

inline std::string_view ToString(StartObstacle obstacle) {
  return kStartObstacleNames[static_cast<size_t>(obstacle)];
}

// Returns why the worker gets no tasks now.
StartObstacle ObstacleToStarts(const PoolWorker& worker, Micros now);

// Returns true if starts may be sent to the worker.
bool AcceptsStarts(const PoolWorker& worker, Micros now);

// The CPU capacity of the owned workers that cannot be used now, in thousandths
// of a core.
struct UnusableCpu {
  // The capacity of workers that get no tasks, without that of their runs.
  std::map<StartObstacle, int64_t> idle;
  // The capacity of runs on workers that do not answer: until a list or the end
  // of the lease tells, they count as running.
  int64_t silent_runs = 0;
};

UnusableCpu CountUnusableCpu(const PoolBoard& board, Micros now);

// Returns true if the worker runs the order's service and has the label that
// the step requires.
bool Matches(const PoolWorker& worker,
             const wire::JobOrder& order,
             const wire::JobStep& step);

// Returns true if the worker could run a task of the step when idle, with the
// largest capacity that it has had: a capacity that has shrunk may grow again.
bool CouldEverRun(const PoolWorker& worker,
                  const wire::JobOrder& order,
                  const wire::JobStep& step);

// The same with its present capacity.
bool FitsWhenIdle(const PoolWorker& worker,
                  const wire::JobOrder& order,
                  const wire::JobStep& step);

// Returns the workers that accept tasks now, sorted by id.
std::vector<PoolWorker*> ReadyWorkers(const PoolBoard& board, Micros now);

}  // namespace goldcrest

#endif  // POOL_PLACEMENT_TASK_REQUIREMENTS_H_
