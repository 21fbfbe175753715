// Placement that looks ahead: a plan over the waiting tasks of many jobs.

#include <algorithm>

#include "pool/crash_limit.h"
#include "pool/placement_input.h"
#include "pool/placement_plan.h"
#include "pool/placement_start.h"
#include "pool/pool_jobs.h"
#include "pool/task_requirements.h"
#include "pool/worker_session.h"

namespace goldcrest::detail {
namespace {

// Start permissions are requested for this many waiting tasks if placement
// looks ahead: only jobs with a permission can be chosen for a hole.
constexpr int kMaxLookaheadRequests = 64;
// A plan chooses among this many groups of equal waiting tasks of one job that
// have a start permission. Others do not count, so that many of them at the
// head of the queue, as of an entry daemon that is paused, do not idle the
// pool.
constexpr size_t kMaxPlannedGroups = 64;

// Equal waiting tasks of one job: their position in the queue and their number.
struct WaitingGroup {
  std::map<WaitingKey, WaitingTask>::iterator first;
  const PoolJob* job = nullptr;
  uint32_t count = 0;
};

// Returns the group that begins at `position`: the next waiting tasks of the
// same step that avoid the same worker.
WaitingGroup GroupAt(PoolBoard& board,
                     std::map<WaitingKey, WaitingTask>::iterator position) {
  const WaitingKey& key = position->first;
  const std::vector<PoolTask>& tasks =
      position->second.job->steps[key.step].tasks;
  WaitingGroup group{position, position->second.job, 0};
  for (; position != board.waiting.end() &&
         position->first.sequence == key.sequence &&
         position->first.step == key.step &&
         tasks[position->first.index].last_worker ==
             tasks[key.index].last_worker &&
         !IsSuspectTask(board, *position->second.job, position->first);
       ++position) {
    ++group.count;
  }
  return group;
}

// Ends jobs that are too late, requests start permissions, and returns the
// groups of tasks for a plan, in the order of the queue.
std::vector<WaitingGroup> GroupsToPlan(PoolBoard& board,
                                       Micros now,
                                       PoolActions& actions) {
  std::vector<WaitingGroup> groups;
  size_t startable_groups = 0;
  int unpermitted_tasks = 0;
  auto position = board.waiting.begin();
  while (position != board.waiting.end() &&
         startable_groups < kMaxPlannedGroups &&
         unpermitted_tasks < kMaxUnpermittedTasks) {
    const WaitingKey key = position->first;
    PoolJob& job = *position->second.job;
    const PoolJob* const ended = &job;
    const bool permitted = job.start_permitted;
    CrashVerdict verdict = CrashVerdict::kJobEnded;
    if (!EndIfTooLate(board, job, key, now, actions)) {
      verdict = CheckCrashLimit(board, job, key, now, actions);
    }
    if (verdict == CrashVerdict::kJobEnded) {
      // Another step of the job may be in the list already.
      while (!groups.empty() && groups.back().job == ended) {
        startable_groups -= permitted ? 1 : 0;
        groups.pop_back();
      }
      position = board.waiting.lower_bound(key);
      continue;
    }
    if (verdict == CrashVerdict::kWait) {
      if (!permitted && unpermitted_tasks < kMaxLookaheadRequests) {
        RequestStartPermission(job, now, actions);
      }
      ++position;
      continue;
    }
    const WaitingGroup group = GroupAt(board, position);
    if (!job.start_permitted) {
      if (unpermitted_tasks < kMaxLookaheadRequests) {
        RequestStartPermission(job, now, actions);
      }
      unpermitted_tasks += static_cast<int>(group.count);
    }
    startable_groups += job.start_permitted ? 1 : 0;
    groups.push_back(group);
    std::advance(position, group.count);
  }
  return groups;
}

// Returns true if some worker can hold the smallest of the tasks that may be
// started.
bool CanStartAny(const std::vector<PoolWorker*>& ready,
                 const std::vector<WaitingGroup>& groups) {
  int64_t smallest = INT64_MAX;
  for (const WaitingGroup& group : groups) {
    const PoolJob& job = *group.first->second.job;
    if (job.start_permitted) {
      smallest = std::min<int64_t>(
          smallest, job.order.steps(static_cast<int>(group.first->first.step))
                        .cpu_millis());
    }
  }
  return std::any_of(ready.begin(), ready.end(), [&](const PoolWorker* worker) {
    return FreeCapacity(*worker).cpu_millis >= smallest;
  });
}

// Makes the tasks of crash-prone queues avoid workers that run no such tasks,
// and other tasks those that do. `at_risk`: by worker, whether it runs such
// tasks.
void SeparateCrashProne(const std::vector<bool>& at_risk,
                        bool crash_prone,
                        PlanTask& task) {
  if (task.matches.empty()) {
    task.matches.assign(at_risk.size(), PlanMatch{UINT32_MAX, false});
  }
  for (size_t i = 0; i < at_risk.size(); ++i) {
    task.matches[i].avoid = task.matches[i].avoid || at_risk[i] != crash_prone;
  }
}

// Returns, by worker, whether it runs a task of a crash-prone queue; empty if
// no queue is crash-prone.
std::vector<bool> WorkersAtRisk(const PoolBoard& board,
                                const std::vector<PoolWorker*>& ready) {
  const bool any =
      std::any_of(board.crashes.queue_crashes.begin(),
                  board.crashes.queue_crashes.end(), [&](const auto& entry) {
                    return IsCrashProne(board.crashes, entry.first);
                  });
  std::vector<bool> at_risk;
  for (const PoolWorker* worker : ready) {
    if (any) {
      at_risk.push_back(RunsCrashProneTask(board, *worker));
    }
  }
  return at_risk;
}

std::vector<PlanTask> MakePlanTasks(const PoolBoard& board,
                                    const std::vector<PoolWorker*>& ready,
                                    const std::vector<WaitingGroup>& groups,
                                    Micros now) {
  const std::string* service = CommonService(ready);
  const std::vector<bool> at_risk = WorkersAtRisk(board, ready);
  std::vector<PlanTask> tasks;
  tasks.reserve(groups.size());
  for (const WaitingGroup& group : groups) {
    const WaitingKey& key = group.first->first;
    const PoolJob& job = *group.first->second.job;
    const std::string& last_worker =
        job.steps[key.step].tasks[key.index].last_worker;
    PlanTask& task =
        tasks.emplace_back(MakePlanTask(job, key.step, group.count, now));
    if (service == nullptr || *service != job.order.service() ||
        !last_worker.empty() || IsRestricted(job.order, key.step)) {
      task.matches = MakePlanMatches(ready, job.order, key.step, last_worker);
    }
    if (!at_risk.empty()) {
      SeparateCrashProne(at_risk,
                         IsCrashProne(board.crashes, job.order.queue()), task);
    }
  }
  return tasks;
}

// Writes one line for a job when a worker is first reserved for it;
// reservations are made again by each plan.
void LogReservations(const PlacementPlan& plan,
                     const std::vector<WaitingGroup>& groups,
                     const std::vector<PoolWorker*>& ready,
                     PoolActions& actions) {
  for (const PlanReservation& reservation : plan.reservations) {
    PoolJob& job = *groups[reservation.task].first->second.job;
    if (job.capacity_reserved) {
      continue;
    }
    job.capacity_reserved = true;
    LogPoolEvent(
        actions, LogLevel::kInfo, "worker_reserved",
        {{"job", job.order.job_id()},
         {"worker", ready[reservation.worker]->status.id()},
         {"start_in_ms", std::to_string(reservation.in / kMillisecond)}});
  }
}

}  // namespace

void PlaceWithLookahead(PoolBoard& board, Micros now, PoolActions& actions) {
  std::vector<WaitingGroup> groups = GroupsToPlan(board, now, actions);
  const std::vector<PoolWorker*> ready = ReadyWorkers(board, now);
  if (!CanStartAny(ready, groups)) {
    return;
  }
  const PlacementPlan plan =
      MakePlacementPlan(MakePlanWorkers(board, ready, now),
                        MakePlanTasks(board, ready, groups, now));
  LogReservations(plan, groups, ready, actions);
  board.counters.reservations += plan.reservations.size();
  board.counters.plans_over_budget += plan.over_budget ? 1 : 0;
  for (const PlanStart& start : plan.starts) {
    auto& position = groups[start.task].first;
    const WaitingKey key = position->first;
    PoolJob& job = *position->second.job;
    position = board.waiting.erase(position);
    StartTaskOn(board, *ready[start.worker], job, key, start.ahead, now,
                actions);
  }
}

}  // namespace goldcrest::detail
