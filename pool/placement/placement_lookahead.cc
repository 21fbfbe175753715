// Placement that looks ahead: a plan over the waiting tasks of many jobs.

#include <algorithm>

#include "pool/jobs/pool_jobs.h"
#include "pool/placement/choose_worker.h"
#include "pool/placement/placement_input.h"
#include "pool/placement/placement_plan.h"
#include "pool/placement/placement_start.h"
#include "pool/placement/task_requirements.h"
#include "pool/workers/crash_limit.h"
#include "pool/workers/start_bindings.h"
#include "pool/workers/worker_session.h"

namespace goldcrest::detail {
namespace {

// Start permissions are requested for this many waiting tasks if placement
// looks ahead: only jobs with a permission can be chosen for a hole.
constexpr int kMaxLookaheadRequests = 64;
// A plan chooses among this many groups of equal waiting tasks of one job that
// have a start permission. Others do not count, so that many of them at the
// head of the queue, as of an entry daemon that is paused, do not idle the
// pool; nor do tasks bound to a worker that cannot start them now.
constexpr size_t kMaxPlannedGroups = 64;

// Equal waiting tasks of one job: their position in the queue and their number.
struct WaitingGroup {
  std::map<WaitingKey, WaitingTask>::iterator first;
  const PoolJob* job = nullptr;
  uint32_t count = 0;
  // The worker that they are bound to (start_bindings.h); empty: none.
  std::string bound_worker;
};

// Returns the id of the worker that the task is bound to, empty if it is not.
std::string BoundWorker(const PoolBoard& board,
                        const std::string& job_id,
                        const WaitingKey& key) {
  const StartBinding* binding =
      board.start_bindings.empty()
          ? nullptr
          : FindBinding(board, {job_id, 0, key.step, key.index});
  return binding == nullptr ? "" : binding->worker;
}

// Returns the group that begins at `position`: the next waiting tasks of the
// same step that avoid the same worker, or are bound to the same one.
WaitingGroup GroupAt(PoolBoard& board,
                     std::map<WaitingKey, WaitingTask>::iterator position) {
  const WaitingKey& key = position->first;
  const std::vector<PoolTask>& tasks =
      position->second.job->steps[key.step].tasks;
  WaitingGroup group{position, position->second.job, 0, ""};
  group.bound_worker = BoundWorker(board, group.job->order.job_id(), key);
  for (; position != board.waiting.end() &&
         position->first.sequence == key.sequence &&
         position->first.step == key.step &&
         tasks[position->first.index].last_worker ==
             tasks[key.index].last_worker &&
         BoundWorker(board, group.job->order.job_id(), position->first) ==
             group.bound_worker &&
         !IsSuspectTask(board, *position->second.job, position->first);
       ++position) {
    ++group.count;
  }
  return group;
}

// Returns whether the group is bound to a worker that cannot start a task of it
// now.
bool WaitsForItsWorker(const PoolBoard& board,
                       const WaitingGroup& group,
                       Micros now) {
  if (group.bound_worker.empty()) {
    return false;
  }
  const auto found = board.owned.find(group.bound_worker);
  const wire::JobStep& step =
      group.job->order.steps(static_cast<int>(group.first->first.step));
  return found == board.owned.end() || !AcceptsStarts(*found->second, now) ||
         !Fits(ResourcesOf(step), FreeCapacity(*found->second));
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
    std::advance(position, group.count);
    if (WaitsForItsWorker(board, group, now)) {
      continue;
    }
    startable_groups += job.start_permitted ? 1 : 0;
    groups.push_back(group);
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
    const TaskName first{job.order.job_id(), 0, key.step, key.index};
    const PoolTask& first_task = job.steps[key.step].tasks[key.index];
    PlanTask& task =
        tasks.emplace_back(MakePlanTask(job, key.step, group.count, now));
    if (service == nullptr || *service != job.order.service() ||
        !first_task.last_worker.empty() || !group.bound_worker.empty() ||
        IsRestricted(job.order, key.step)) {
      task.matches = MakePlanMatches(board, ready, job, first);
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
