#include "goldcrest/placement.h"

#include <algorithm>
#include <utility>

#include "goldcrest/baseline.h"
#include "goldcrest/claim_updates.h"
#include "goldcrest/jobs.h"
#include "goldcrest/membership.h"
#include "goldcrest/worker_table.h"

namespace goldcrest {
namespace {

// Most workers in the index of free workers that are checked for one task. A
// suitable worker further down the index is not found.
constexpr int kMaxWorkersTried = 32;

// Lanes (see placement.h) without tasks are removed only if there are more
// lanes than this.
constexpr size_t kMaxLanesBeforeCleanup = 512;

// The claim updates of one placement pass, by submission id: one for each job
// of a non-idempotent kind that gets slots.
using IntentUpdates = std::map<std::string, wire::ClaimUpdate>;

// Returns this VM's share of the team's limit of running tasks. The limit holds
// for the whole service; each VM enforces an equal share of it without
// exchanging messages.
int64_t RunningShare(const Blackboard& bb, const std::string& team) {
  const TeamPolicy* policy = bb.configuration.active.FindTeam(team);
  if (policy == nullptr) {
    // A team that is not in the configuration may run one task at a time.
    return 1;
  }
  const auto vms = static_cast<int64_t>(bb.deployment.vms.size());
  return std::max<int64_t>(1, (policy->max_running_tasks + vms - 1) / vms);
}

// Returns true if the team uses its fair share of the leased slots or more.
bool HasReachedShare(const Blackboard& bb, const TeamUse& use) {
  const auto teams = static_cast<int64_t>(bb.queue.active_teams);
  const int64_t slots = bb.workers.leased_slots;
  const int64_t fair =
      std::max<int64_t>(1, slots / std::max<int64_t>(1, teams));
  return use.running_tasks >= fair;
}

// Removes `lane` from the ready lanes if it is one of them.
void RemoveReadyLane(TaskQueue& queue, Lane& lane) {
  if (!lane.in_ready) {
    return;
  }
  queue.ready.erase(
      {lane.ready_key.priority, lane.ready_over_share, lane.ready_key, &lane});
  lane.in_ready = false;
}

// Inserts, moves or removes `lane` in the ready lanes, after a change to its
// first task or to the use of its team.
void UpdateReadyLane(Blackboard& bb, Lane& lane, const TeamUse& use) {
  RemoveReadyLane(bb.queue, lane);
  const bool at_limit = use.running_tasks >= RunningShare(bb, lane.team);
  if (lane.tasks.empty() || at_limit) {
    return;
  }
  lane.in_ready = true;
  lane.ready_key = lane.tasks.begin()->first;
  lane.ready_over_share = HasReachedShare(bb, use);
  bb.queue.ready.insert(
      {lane.ready_key.priority, lane.ready_over_share, lane.ready_key, &lane});
}

void UpdateReadyLanesOf(Blackboard& bb, const std::string& team) {
  const TeamUse& use = bb.queue.teams[team];
  for (Lane* lane : use.lanes) {
    UpdateReadyLane(bb, *lane, use);
  }
}

Lane& FindOrAddLane(Blackboard& bb, const std::string& team, TaskShape shape) {
  std::unique_ptr<Lane>& lane = bb.queue.lanes[{team, shape}];
  if (lane == nullptr) {
    lane = std::make_unique<Lane>();
    lane->team = team;
    lane->shape = shape;
    bb.queue.teams[team].lanes.push_back(lane.get());
  }
  return *lane;
}

bool IsActive(const TeamUse& use) {
  return use.running_tasks + use.queued_tasks > 0;
}

// Adds `queued` and `running` to the task counts of a team and updates the
// number of active teams.
void UpdateTeamCounts(TaskQueue& queue,
                      TeamUse& use,
                      int64_t queued,
                      int64_t running) {
  const bool before = IsActive(use);
  use.queued_tasks += queued;
  use.running_tasks += running;
  const bool after = IsActive(use);
  queue.active_teams += static_cast<size_t>(after && !before);
  queue.active_teams -= static_cast<size_t>(before && !after);
}

Micros ExpectedRunTime(const Blackboard& bb, const Job& job, uint32_t index) {
  const wire::Task& task = job.submission.tasks(static_cast<int>(index));
  return bb.run_times.Estimate(job.kind.name, task.run_ms()).median;
}

void RemoveFromLane(Blackboard& bb,
                    Lane& lane,
                    std::map<QueueKey, QueuedTask>::iterator position) {
  TaskQueue& queue = bb.queue;
  const QueuedTask task = position->second;
  TaskRecord& record = task.job->tasks[task.index];
  queue.queued_work[static_cast<size_t>(position->first.priority)] -=
      record.expected_duration;
  record.expected_duration = 0;
  lane.tasks.erase(position);
  --queue.queued_tasks;
  UpdateTeamCounts(queue, queue.teams[lane.team], -1, 0);
}

bool HasResources(const Worker& worker, TaskShape shape) {
  return worker.memory_mb - worker.occupied_memory_mb >= shape.memory_mb &&
         worker.accelerators - worker.occupied_accelerators >=
             shape.accelerators;
}

// Returns true if probation, domain and lease of `worker` permit a task.
bool AllowsTask(const Worker& worker, bool idempotent, StepTime now) {
  const bool probation_ok =
      !worker.outlier.probation || (idempotent && worker.occupied_slots == 0);
  const bool domain_ok = !worker.idempotent_only || idempotent;
  return probation_ok && domain_ok && worker.lease_until > now.mono;
}

// Returns the first worker in `index` that can run a task of `shape`, or null.
// A suitable worker called `avoid` is not returned but stored in
// `avoided_worker`.
const Worker* FindFreeWorker(const std::set<FreeWorkerKey>& index,
                             TaskShape shape,
                             bool idempotent,
                             const std::string& avoid,
                             StepTime now,
                             const Worker** avoided_worker) {
  int tried = 0;
  for (const FreeWorkerKey& key : index) {
    if (++tried > kMaxWorkersTried) {
      return nullptr;
    }
    const Worker& worker = *key.worker;
    if (!HasResources(worker, shape) || !AllowsTask(worker, idempotent, now)) {
      continue;
    }
    if (worker.name == avoid) {
      *avoided_worker = &worker;
      continue;
    }
    return &worker;
  }
  return nullptr;
}

void AddIntent(const Job& job, uint32_t index, IntentUpdates& updates) {
  const TaskAttempt& attempt = job.tasks[index].current_attempt;
  wire::TaskIntent* intent = updates[job.id].add_intents();
  intent->set_index(index);
  intent->set_attempt(attempt.attempt);
  intent->set_worker(attempt.worker);
  intent->set_worker_address(attempt.address);
  intent->set_lease_epoch(attempt.lease_epoch);
  intent->set_worker_incarnation(attempt.worker_incarnation);
}

// Assigns a queued task to a worker: starts it at once, or for a non-idempotent
// kind adds its intent to `updates`.
void Assign(Blackboard& bb,
            QueuedTask task,
            const std::string& worker_key,
            IntentUpdates& updates,
            StepTime now,
            Actions& actions) {
  Job& job = *task.job;
  const Worker& worker = *bb.workers.workers[worker_key];
  TaskRecord& record = job.tasks[task.index];
  ++record.last_attempt;
  record.current_attempt = {worker.name,         worker.address,
                            record.last_attempt, worker.lease_epoch,
                            worker.incarnation,  now.mono};
  TakeSlot(bb, worker_key, job, task.index, record.last_attempt, now);
  if (job.kind.idempotent || IsDisabled(bb, DisabledMechanism::kNoIntent)) {
    SendStart(bb, job, task.index, now, actions);
    return;
  }
  record.state = TaskState::kRecordingIntent;
  AddIntent(job, task.index, updates);
}

// A ready lane and the worker on which its first task is placed; the lane is
// null if nothing can be placed.
struct Placement {
  Lane* lane = nullptr;
  std::string worker;
};

// Returns the first ready lane whose required resources a free worker has, with
// that worker. `unmet_shapes` collects the required resources for which no free
// worker was found.
Placement ChooseNext(Blackboard& bb,
                     std::vector<TaskShape>& unmet_shapes,
                     StepTime now) {
  for (const ReadyKey& key : bb.queue.ready) {
    Lane& lane = *key.lane;
    if (std::find(unmet_shapes.begin(), unmet_shapes.end(), lane.shape) !=
        unmet_shapes.end()) {
      continue;
    }
    const QueuedTask& head = lane.tasks.begin()->second;
    const TaskRecord& record = head.job->tasks[head.index];
    const bool idempotent = head.job->kind.idempotent;
    const bool uses_slack_policy =
        bb.tuning.placement == PlacementPolicy::kSlack;
    if (uses_slack_policy &&
        bb.workers.free_slots <= ReservedSlots(bb, head.job->kind.priority)) {
      continue;
    }
    const std::string worker =
        uses_slack_policy ? PickWorker(bb, lane.shape, idempotent,
                                       record.current_attempt.worker, now)
                          : PickBaselineWorker(bb, lane.shape, now);
    if (!worker.empty()) {
      return {&lane, worker};
    }
    // Workers on probation or of another domain accept only idempotent tasks,
    // so a search for a non-idempotent one may fail where one for another lane
    // succeeds. Only after an idempotent first task are the other lanes with
    // the same required resources skipped.
    if (idempotent) {
      unmet_shapes.push_back(lane.shape);
    }
  }
  return {};
}

}  // namespace

TaskShape ShapeOf(const wire::Task& task) {
  return {task.memory_mb(), task.accelerators()};
}

void EnqueueTask(Blackboard& bb, Job& job, uint32_t index) {
  TaskQueue& queue = bb.queue;
  TaskRecord& record = job.tasks[index];
  const wire::Task& task = job.submission.tasks(static_cast<int>(index));
  record.state = TaskState::kQueued;
  record.expected_duration = ExpectedRunTime(bb, job, index);
  record.queue_key = {job.kind.priority,
                      job.objective_time - record.expected_duration,
                      queue.next_sequence++};
  if (bb.tuning.placement != PlacementPolicy::kSlack) {
    // The baseline policies start tasks in the order of arrival.
    record.queue_key.priority = 0;
    record.queue_key.latest_start = 0;
  }
  Lane& lane = FindOrAddLane(bb, job.submission.team(), ShapeOf(task));
  lane.tasks.emplace(record.queue_key, QueuedTask{&job, index});
  ++queue.queued_tasks;
  queue.queued_work[static_cast<size_t>(record.queue_key.priority)] +=
      record.expected_duration;
  TeamUse& use = queue.teams[lane.team];
  UpdateTeamCounts(queue, use, 1, 0);
  if (!lane.in_ready || record.queue_key < lane.ready_key) {
    UpdateReadyLane(bb, lane, use);
  }
  bb.placement_due = true;
}

void RemoveQueuedTask(Blackboard& bb, Job& job, uint32_t index) {
  const wire::Task& task = job.submission.tasks(static_cast<int>(index));
  const auto found =
      bb.queue.lanes.find({job.submission.team(), ShapeOf(task)});
  if (found == bb.queue.lanes.end()) {
    return;
  }
  Lane& lane = *found->second;
  const auto position = lane.tasks.find(job.tasks[index].queue_key);
  if (position == lane.tasks.end() || position->second.job != &job) {
    return;
  }
  const bool was_head = position == lane.tasks.begin();
  RemoveFromLane(bb, lane, position);
  if (was_head) {
    UpdateReadyLane(bb, lane, bb.queue.teams[lane.team]);
  }
}

void RemoveQueuedTasks(Blackboard& bb, Job& job) {
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    if (job.tasks[index].state == TaskState::kQueued) {
      RemoveQueuedTask(bb, job, index);
    }
  }
}

void SuspendTasks(Blackboard& bb, Job& job) {
  RemoveQueuedTasks(bb, job);
  job.updates.clear();
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    TaskRecord& record = job.tasks[index];
    if (record.state == TaskState::kRecordingIntent) {
      ReleaseSlot(bb,
                  AttemptKey(job.id, index, record.current_attempt.attempt));
      record.state = TaskState::kQueued;
    }
  }
}

void TakeSlot(Blackboard& bb,
              const std::string& worker_key,
              const Job& job,
              uint32_t index,
              uint32_t attempt,
              StepTime now) {
  const wire::Task& task = job.submission.tasks(static_cast<int>(index));
  SlotUse use;
  use.worker = worker_key;
  use.submission_id = job.id;
  use.index = index;
  use.attempt = attempt;
  use.shape = ShapeOf(task);
  use.team = job.submission.team();
  use.kind = job.kind.name;
  use.run_ms = task.run_ms();
  use.started_at = now.mono;
  Worker& worker = *bb.workers.workers[worker_key];
  ++worker.occupied_slots;
  worker.occupied_memory_mb += use.shape.memory_mb;
  worker.occupied_accelerators += use.shape.accelerators;
  ReindexWorker(bb, worker);
  UpdateTeamCounts(bb.queue, bb.queue.teams[use.team], 0, 1);
  UpdateReadyLanesOf(bb, use.team);
  bb.workers.slot_uses[AttemptKey(job.id, index, attempt)] = std::move(use);
}

void ReleaseSlot(Blackboard& bb, const std::string& attempt_key) {
  const auto found = bb.workers.slot_uses.find(attempt_key);
  if (found == bb.workers.slot_uses.end()) {
    return;
  }
  const SlotUse use = std::move(found->second);
  bb.workers.slot_uses.erase(found);
  UpdateTeamCounts(bb.queue, bb.queue.teams[use.team], 0, -1);
  UpdateReadyLanesOf(bb, use.team);
  const auto worker = bb.workers.workers.find(use.worker);
  if (worker != bb.workers.workers.end()) {
    worker->second->occupied_slots -= 1;
    worker->second->occupied_memory_mb -= use.shape.memory_mb;
    worker->second->occupied_accelerators -= use.shape.accelerators;
    ReindexWorker(bb, *worker->second);
  }
  bb.placement_due = true;
}

std::string PickWorker(const Blackboard& bb,
                       TaskShape shape,
                       bool idempotent,
                       const std::string& avoid,
                       StepTime now) {
  const Worker* avoided_worker = nullptr;
  const Worker* found = nullptr;
  // Workers with accelerators are reserved for the tasks that need them, as
  // long as another worker is free.
  if (shape.accelerators == 0) {
    found = FindFreeWorker(bb.workers.free_plain, shape, idempotent, avoid, now,
                           &avoided_worker);
  }
  if (found == nullptr) {
    found = FindFreeWorker(bb.workers.free_accelerated, shape, idempotent,
                           avoid, now, &avoided_worker);
  }
  if (found == nullptr) {
    found = avoided_worker;
  }
  return found == nullptr ? "" : WorkerKey(*found);
}

void SendStart(Blackboard& bb,
               Job& job,
               uint32_t index,
               StepTime now,
               Actions& actions) {
  TaskRecord& record = job.tasks[index];
  const wire::Task& task = job.submission.tasks(static_cast<int>(index));
  if (!CheckInvariant(
          bb,
          record.state != TaskState::kDone &&
              record.state != TaskState::kRunning &&
              OwnsUnderLease(bb, job, now),
          "a start request is sent only by the job's owner under its lease, "
          "and not for a task that is running or done",
          actions)) {
    ReleaseSlot(bb, AttemptKey(job.id, index, record.current_attempt.attempt));
    return;
  }
  record.state = TaskState::kRunning;
  record.current_attempt.started_at = now.mono;
  job.any_started = true;
  ++bb.counters.starts;
  bb.retry_budget.tokens =
      std::min(kMaxRetryTokens, bb.retry_budget.tokens +
                                    bb.configuration.active.limits.retry_ratio);
  StartTask start;
  start.worker = record.current_attempt.worker;
  start.address = record.current_attempt.address;
  start.submission_id = job.id;
  start.index = index;
  start.attempt = record.current_attempt.attempt;
  start.lease_epoch = record.current_attempt.lease_epoch;
  start.run_ms = task.run_ms();
  start.deadline_ms = (job.deadline_at - now.mono) / kMillisecond;
  start.payload = task.payload();
  start.idempotent = job.kind.idempotent;
  actions.emplace_back(std::move(start));
  if (job.kind.hedge) {
    // The task may be hedged once it has run for twice the 95th percentile of
    // its run time.
    const RunTimeEstimate estimate =
        bb.run_times.Estimate(job.kind.name, task.run_ms());
    bb.timers.Set(now.mono + 2 * estimate.high, TimerKind::kTaskHedge,
                  TaskKey(job.id, index));
  }
}

void PlaceTasks(Blackboard& bb, StepTime now, Actions& actions) {
  if (!HoldsServingLease(bb, now)) {
    return;
  }
  std::vector<TaskShape> unmet_shapes;
  IntentUpdates updates;
  for (int starts = 0; starts < bb.tuning.max_starts_per_pass; ++starts) {
    const Placement choice = ChooseNext(bb, unmet_shapes, now);
    if (choice.lane == nullptr) {
      break;
    }
    Lane& lane = *choice.lane;
    const QueuedTask task = lane.tasks.begin()->second;
    RemoveFromLane(bb, lane, lane.tasks.begin());
    UpdateReadyLane(bb, lane, bb.queue.teams[lane.team]);
    Assign(bb, task, choice.worker, updates, now, actions);
  }
  for (auto& [id, update] : updates) {
    Job* job = FindJob(bb, id);
    if (job != nullptr) {
      StartClaimUpdate(bb, *job, std::move(update), now, actions);
    }
  }
}

int ReservedSlots(const Blackboard& bb, int64_t priority) {
  if (priority <= bb.tuning.urgent_priority) {
    return 0;
  }
  return static_cast<int>(bb.workers.leased_slots * bb.tuning.urgent_share);
}

int CapacitySlots(const Blackboard& bb) {
  return bb.workers.leased_slots > 0 ? bb.workers.leased_slots
                                     : DomainSlots(bb);
}

int DomainSlots(const Blackboard& bb) {
  int slots = bb.workers.leased_slots;
  for (const auto& [vm, peer] : bb.membership.peers) {
    if (peer.reachable && bb.deployment.Find(vm)->failure_domain ==
                              bb.deployment.failure_domain) {
      slots += peer.slots;
    }
  }
  return slots;
}

Micros ExpectedWait(const Blackboard& bb, int64_t priority) {
  const int slots = CapacitySlots(bb);
  if (slots == 0 || bb.workers.free_slots > 0) {
    return 0;
  }
  Micros work = 0;
  for (int64_t p = 0; p <= priority; ++p) {
    work += bb.queue.queued_work[static_cast<size_t>(p)];
  }
  return work / slots;
}

void DropEmptyLanes(Blackboard& bb) {
  if (bb.queue.lanes.size() <= kMaxLanesBeforeCleanup) {
    return;
  }
  for (auto& [team, use] : bb.queue.teams) {
    std::erase_if(use.lanes, [](Lane* lane) { return lane->tasks.empty(); });
  }
  std::erase_if(bb.queue.lanes,
                [](const auto& entry) { return entry.second->tasks.empty(); });
}

void UpdateReadyLanes(Blackboard& bb) {
  for (const auto& [team, use] : bb.queue.teams) {
    for (Lane* lane : use.lanes) {
      UpdateReadyLane(bb, *lane, use);
    }
  }
}

}  // namespace goldcrest
