#include "pool/pool_placement.h"

#include <algorithm>

#include "pool/choose_worker.h"
#include "pool/crash_limit.h"
#include "pool/placement_input.h"
#include "pool/placement_plan.h"
#include "pool/pool_jobs.h"
#include "pool/retry_after.h"
#include "pool/run_ends.h"
#include "pool/run_times.h"
#include "pool/task_requirements.h"
#include "pool/worker_health.h"
#include "pool/worker_profile.h"
#include "pool/worker_session.h"

namespace goldcrest {
namespace {

// Placement stops after this many waiting tasks for which no worker has free
// capacity; the rest of the queue waits for the next placement.
constexpr int kMaxUnplacedTasks = 12;
// Start permissions are requested for this many waiting tasks at the head of
// the queue, so that they have arrived when capacity becomes free.
constexpr int kMaxPermissionRequests = 16;
// Placement stops after this many waiting tasks without a start permission; the
// rest of the queue waits for the next placement.
constexpr int kMaxUnpermittedTasks = 200;
// Returns the number of attempts of the step on the worker.
uint32_t CountAttemptsOfStep(const PoolWorker& worker,
                             const std::string& job_id,
                             uint32_t step) {
  uint32_t count = 0;
  for (const auto& [name, attempt] : worker.attempts) {
    count += name.job_id == job_id && name.step == step ? 1 : 0;
  }
  return count;
}

// The workers that could run a task now, and the properties by which
// ChooseWorker() compares them; both vectors have the same order.
struct EligibleWorkers {
  std::vector<PoolWorker*> workers;
  std::vector<WorkerOffer> offers;
};

EligibleWorkers FindEligibleWorkers(PoolBoard& board,
                                    const std::vector<PoolWorker*>& ready,
                                    const PoolJob& job,
                                    const WaitingKey& key,
                                    Micros now) {
  const wire::JobStep& step = job.order.steps(static_cast<int>(key.step));
  const PoolTask& task = job.steps[key.step].tasks[key.index];
  const Resources required = ResourcesOf(step);
  EligibleWorkers result;
  for (PoolWorker* worker : ready) {
    // Checked first because it is cheap and under heavy load excludes most
    // workers.
    if (!Fits(required, FreeCapacity(*worker))) {
      continue;
    }
    const bool full = step.most_per_worker() > 0 &&
                      CountAttemptsOfStep(*worker, job.order.job_id(),
                                          key.step) >= step.most_per_worker();
    if (full || !Matches(*worker, job.order, step)) {
      continue;
    }
    WorkerOffer offer;
    offer.free = FreeCapacity(*worker);
    // A worker's rack is one of its labels.
    offer.near_data =
        step.data_rack().empty() || HasLabel(*worker, step.data_rack());
    offer.suspect =
        IsSuspect(*worker) || worker->status.id() == task.last_worker;
    offer.run_time_factor = SpeedRank(board, job, key.step, *worker, now);
    result.workers.push_back(worker);
    result.offers.push_back(offer);
  }
  return result;
}

// `ahead`: a task that fits on the worker comes earlier in the queue.
void StartTaskOn(PoolBoard& board,
                 PoolWorker& worker,
                 PoolJob& job,
                 const WaitingKey& key,
                 bool ahead,
                 Micros now,
                 PoolActions& actions) {
  const TaskName name{job.order.job_id(), 0, key.step, key.index};
  if (!CheckNoRunIsOpen(board, name, actions)) {
    QueueTask(board, job, key.step, key.index);
    return;
  }
  PoolTask& task = job.steps[key.step].tasks[key.index];
  task.phase = TaskPhase::kRunning;
  task.worker = worker.status.id();
  ++task.attempt_count;
  if (!job.started) {
    job.started = true;
    job.first_start_at = now;
  }
  WorkerAttempt attempt;
  attempt.job_key = job.key;
  attempt.attempt_number = task.attempt_count;
  attempt.resources = ResourcesOf(job.order.steps(static_cast<int>(key.step)));
  attempt.sent_at = now;
  attempt.alone = IsCrashSuspect(board.crashes, name);
  attempt.expected_run_time = static_cast<Micros>(
      static_cast<double>(job.steps[key.step].expected_run_time) *
      RunTimeFactor(board, worker));
  std::vector<LogField> fields = {
      {"job", job.order.job_id()},
      {"step", std::to_string(key.step)},
      {"index", std::to_string(key.index)},
      {"run", std::to_string(attempt.attempt_number)},
      {"worker", task.worker},
      {"token", std::to_string(worker.token)},
      {"waited_ms", std::to_string((now - job.received_at) / kMillisecond)},
      {"expected_ms", std::to_string(attempt.expected_run_time / kMillisecond)},
      {"free_cpu", std::to_string(FreeCapacity(worker).cpu_millis)},
      {"clock_ms_old", std::to_string((now - worker.clock_at) / kMillisecond)}};
  if (ahead) {
    fields.push_back({"ahead", "1"});
    ++board.counters.starts_ahead;
  }
  if (attempt.alone) {
    fields.push_back({"alone", "1"});
  }
  LogPoolEvent(actions, LogLevel::kInfo, "task_started", std::move(fields));
  StartAttempt(board, worker, name, attempt, job.order.spec(), now, actions);
}

// Returns true if even half of the task's expected run time would end after the
// job's deadline.
bool IsTooLateToStart(const PoolJob& job, uint32_t step, Micros now) {
  return now + job.steps[step].expected_run_time / 2 > job.deadline;
}

// At most this many workers are held at a time for suspects that wait.
constexpr int kMaxHeldWorkers = 2;

bool IsSuspectTask(const PoolBoard& board,
                   const PoolJob& job,
                   const WaitingKey& key) {
  return !board.crashes.jobs.empty() &&
         IsCrashSuspect(board.crashes,
                        {job.order.job_id(), 0, key.step, key.index});
}

// Ends a job whose next task cannot start in time. Returns false, and does
// nothing, if it still can.
bool EndIfTooLate(PoolBoard& board,
                  PoolJob& job,
                  const WaitingKey& key,
                  Micros now,
                  PoolActions& actions) {
  if (!IsTooLateToStart(job, key.step, now)) {
    return false;
  }
  EndJob(board, job.key, job.started ? wire::JOB_TIMED_OUT : wire::JOB_REFUSED,
         "no_time_left", now, actions);
  return true;
}

// Refuses an unstarted job that the crash limit of its queue delays beyond its
// deadline. Returns whether it did.
bool RefuseIfLimited(PoolBoard& board,
                     PoolJob& job,
                     const WaitingKey& key,
                     Micros limit,
                     Micros now,
                     PoolActions& actions) {
  const Micros run_time = job.steps[key.step].expected_run_time;
  if (job.started || now + limit + run_time / 2 <= job.deadline) {
    return false;
  }
  ++board.counters.crash_limit_refusals;
  RefuseUnstartedJob(board, job.key, "crash_limit",
                     RetryAfterMs(board, job.order, limit + run_time, now),
                     false, now, actions);
  return true;
}

// What the crashes of workers mean for a waiting task.
enum class CrashVerdict : uint8_t {
  kNone,      // it may start like any other
  kWait,      // it is a suspect, or the crash limit of its queue holds it
  kJobEnded,  // its job was refused
};

CrashVerdict CheckCrashLimit(PoolBoard& board,
                             PoolJob& job,
                             const WaitingKey& key,
                             Micros now,
                             PoolActions& actions) {
  if (IsSuspectTask(board, job, key)) {
    return CrashVerdict::kWait;
  }
  const Micros limit = CrashLimitEndsIn(board, job.order.queue(), now);
  if (limit == 0) {
    return CrashVerdict::kNone;
  }
  return RefuseIfLimited(board, job, key, limit, now, actions)
             ? CrashVerdict::kJobEnded
             : CrashVerdict::kWait;
}

// Starts the waiting suspects that have a worker to themselves, and holds
// workers for the others.
void PlaceSuspects(PoolBoard& board, Micros now, PoolActions& actions) {
  for (const auto& [id, worker] : board.owned) {
    worker->held_for_suspect = false;
  }
  if (board.crashes.jobs.empty()) {
    return;
  }
  int held = 0;
  auto position = board.waiting.begin();
  while (position != board.waiting.end()) {
    const WaitingKey key = position->first;
    PoolJob& job = *position->second.job;
    if (!IsSuspectTask(board, job, key) || !job.start_permitted) {
      ++position;
      continue;
    }
    if (EndIfTooLate(board, job, key, now, actions)) {
      position = board.waiting.lower_bound(key);
      continue;
    }
    const SuspectPlacement placement =
        PlaceSuspect(ReadyWorkers(board, now), job, key, now);
    if (placement.start_on != nullptr) {
      position = board.waiting.erase(position);
      StartTaskOn(board, *placement.start_on, job, key, false, now, actions);
      continue;
    }
    if (placement.hold != nullptr && held < kMaxHeldWorkers) {
      placement.hold->held_for_suspect = true;
      ++held;
    }
    ++position;
  }
}

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

}  // namespace

void PlaceWaitingTasks(PoolBoard& board, Micros now, PoolActions& actions) {
  if (!board.placement_due) {
    return;
  }
  PlaceSuspects(board, now, actions);
  if (board.waiting.empty()) {
    return;
  }
  board.placement_due = false;
  if (board.options.features.placement_lookahead) {
    PlaceWithLookahead(board, now, actions);
    return;
  }
  std::vector<PoolWorker*> ready = ReadyWorkers(board, now);
  int unplaced_tasks = 0;
  int unpermitted_tasks = 0;
  auto position = board.waiting.begin();
  while (position != board.waiting.end() &&
         unplaced_tasks < kMaxUnplacedTasks &&
         unpermitted_tasks < kMaxUnpermittedTasks) {
    const WaitingKey key = position->first;
    PoolJob& job = *position->second.job;
    if (EndIfTooLate(board, job, key, now, actions)) {
      // The job's tasks are erased, so the iterator is invalid.
      position = board.waiting.lower_bound(key);
      continue;
    }
    const CrashVerdict verdict = CheckCrashLimit(board, job, key, now, actions);
    if (verdict == CrashVerdict::kJobEnded) {
      position = board.waiting.lower_bound(key);
      continue;
    }
    if (!job.start_permitted) {
      if (unpermitted_tasks++ < kMaxPermissionRequests) {
        RequestStartPermission(job, now, actions);
      }
      ++position;
      continue;
    }
    if (verdict == CrashVerdict::kWait) {
      ++position;
      continue;
    }
    EligibleWorkers eligible = FindEligibleWorkers(board, ready, job, key, now);
    const Resources required =
        ResourcesOf(job.order.steps(static_cast<int>(key.step)));
    const std::optional<size_t> chosen =
        ChooseWorker(eligible.offers, required);
    if (!chosen) {
      ++unplaced_tasks;
      ++position;
      continue;
    }
    position = board.waiting.erase(position);
    StartTaskOn(board, *eligible.workers[*chosen], job, key, false, now,
                actions);
    std::erase_if(ready, [&](PoolWorker* worker) {
      return !AcceptsStarts(*worker, now);
    });
  }
}

}  // namespace goldcrest
