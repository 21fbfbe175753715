#ifndef GOLDCREST_TASK_QUEUE_H_
#define GOLDCREST_TASK_QUEUE_H_

// The tasks that wait for a slot, by team and need. Plain data on the
// blackboard; written by placement.

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

// What a task needs of a worker.
struct TaskShape {
  uint32_t memory_mb = 0;
  uint32_t accelerators = 0;

  friend auto operator<=>(const TaskShape&, const TaskShape&) = default;
};

// The queued tasks of one team that need the same of a worker.
struct Lane {
  std::string team;
  TaskShape shape;
  std::map<QueueKey, QueuedTask> tasks;
  // The lane's place among the ready lanes, when it has one.
  bool listed = false;
  bool listed_over_share = false;
  QueueKey listed_key;
};

struct LaneKey {
  std::string team;
  TaskShape shape;

  friend auto operator<=>(const LaneKey&, const LaneKey&) = default;
};

// Places a lane among the ready lanes: urgent kinds first, then teams within
// their fair share, then the head's latest start.
struct ReadyKey {
  int64_t priority = 0;
  bool over_share = false;
  QueueKey head;
  Lane* lane = nullptr;

  friend auto operator<=>(const ReadyKey&, const ReadyKey&) = default;
};

// A team's use of the service at this VM, and its rate bucket.
struct TeamUse {
  int64_t running_tasks = 0;
  int64_t queued_tasks = 0;
  double submission_tokens = 0;
  Micros tokens_at = 0;
  bool bucket_started = false;
  std::vector<Lane*> lanes;
};

// Owned by placement.
struct TaskQueue {
  std::map<LaneKey, std::unique_ptr<Lane>> lanes;
  std::set<ReadyKey> ready;
  std::unordered_map<std::string, TeamUse> teams;
  uint64_t next_sequence = 1;
  size_t queued_tasks = 0;
  size_t active_teams = 0;
  // Expected run time of all queued tasks, by priority.
  std::array<Micros, kLeastPriority + 1> queued_work = {};
};

}  // namespace goldcrest

#endif  // GOLDCREST_TASK_QUEUE_H_
