#ifndef GOLDCREST_TASK_QUEUE_H_
#define GOLDCREST_TASK_QUEUE_H_

// The tasks that wait for a slot, grouped by team and by required resources.
// Plain data on the blackboard, written by placement.

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "goldcrest/configuration.h"
#include "goldcrest/job_record.h"
#include "goldcrest/time_units.h"

namespace goldcrest {

struct QueuedTask {
  Job* job = nullptr;
  uint32_t index = 0;
};

// The resources that a task requires of its worker, besides one slot.
struct TaskShape {
  uint32_t memory_mb = 0;
  uint32_t accelerators = 0;

  friend auto operator<=>(const TaskShape&, const TaskShape&) = default;
};

// The queued tasks of one team that require the same resources, in queue order.
struct Lane {
  std::string team;
  TaskShape shape;
  std::map<QueueKey, QueuedTask> tasks;
  // The key under which the lane is in TaskQueue::ready, if `in_ready` is set.
  bool in_ready = false;
  bool ready_over_share = false;
  QueueKey ready_key;
};

struct LaneKey {
  std::string team;
  TaskShape shape;

  friend auto operator<=>(const LaneKey&, const LaneKey&) = default;
};

// Order of the ready lanes: urgent kinds first, then teams within their fair
// share, then the latest start time of the lane's first task.
struct ReadyKey {
  int64_t priority = 0;
  bool over_share = false;
  QueueKey head;
  Lane* lane = nullptr;

  friend auto operator<=>(const ReadyKey&, const ReadyKey&) = default;
};

// A team's use of this VM, and the token bucket of its submission rate.
struct TeamUse {
  int64_t running_tasks = 0;
  int64_t queued_tasks = 0;
  double submission_tokens = 0;
  Micros tokens_at = 0;
  bool bucket_started = false;
  std::vector<Lane*> lanes;
};

// All queued tasks of this VM. Written by placement. `ready` contains the lanes
// that have tasks and whose team is below its limit of running tasks.
struct TaskQueue {
  std::map<LaneKey, std::unique_ptr<Lane>> lanes;
  std::set<ReadyKey> ready;
  std::unordered_map<std::string, TeamUse> teams;
  uint64_t next_sequence = 1;
  size_t queued_tasks = 0;
  size_t active_teams = 0;
  // Total expected run time of the queued tasks, by priority.
  std::array<Micros, kLowestPriority + 1> queued_work = {};
};

}  // namespace goldcrest

#endif  // GOLDCREST_TASK_QUEUE_H_
