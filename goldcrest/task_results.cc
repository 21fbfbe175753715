#include "goldcrest/task_results.h"

#include <algorithm>
#include <utility>

#include "goldcrest/jobs.h"
#include "goldcrest/membership.h"
#include "goldcrest/outlier.h"
#include "goldcrest/placement.h"
#include "goldcrest/submission.h"
#include "goldcrest/worker_table.h"

namespace goldcrest {
namespace {

// Bounds the shift in RetryDelay().
constexpr int kMaxDelayDoublings = 10;

// Which attempt of a task an answer belongs to.
enum class AttemptRole { kCurrent, kHedge, kOlder };

AttemptRole RoleOf(const TaskRecord& task, uint32_t attempt) {
  if (task.current_attempt.attempt == attempt) {
    return AttemptRole::kCurrent;
  }
  if (task.hedge_attempt && task.hedge_attempt->attempt == attempt) {
    return AttemptRole::kHedge;
  }
  return AttemptRole::kOlder;
}

Micros RetryDelay(const Blackboard& bb, int failures) {
  const int doublings = std::min(std::max(failures - 1, 0), kMaxDelayDoublings);
  return std::min(bb.tuning.retry_delay << doublings,
                  bb.tuning.max_retry_delay);
}

void RetryAfter(Blackboard& bb,
                Job& job,
                uint32_t index,
                Micros delay,
                StepTime now) {
  job.tasks[index].state = TaskState::kBackoff;
  ++bb.counters.retries;
  bb.timers.Set(now.mono + delay, TimerKind::kTaskRetry,
                TaskKey(job.id, index));
}

void FailTask(Blackboard& bb,
              Job& job,
              ResultCode code,
              Ran ran,
              const std::string& detail,
              StepTime now,
              Actions& actions) {
  wire::JobResult result = MakeResult(Outcome::kFailed, ran, code);
  if (!detail.empty()) {
    result.set_message(result.message() + " " + detail);
  }
  FinishJob(bb, job, result, now, actions);
}

std::string TaskDetail(uint32_t index) {
  return "Task " + std::to_string(index) + ".";
}

// Retries a task of an idempotent kind, or fails its job. `failure_code` is the
// result code if the kind is non-idempotent; kWorkerLost means that it is not
// known whether the attempt ran.
void RetryOrFail(Blackboard& bb,
                 Job& job,
                 uint32_t index,
                 ResultCode failure_code,
                 StepTime now,
                 Actions& actions) {
  TaskRecord& task = job.tasks[index];
  ++task.possibly_run_attempts;
  const bool unanswered = failure_code == ResultCode::kWorkerLost;
  if (!job.kind.idempotent ||
      task.possibly_run_attempts >= job.kind.max_attempts) {
    const ResultCode code =
        job.kind.idempotent ? ResultCode::kAttemptsExhausted : failure_code;
    const Ran ran = unanswered ? Ran::kUnknown : Ran::kPartly;
    FailTask(bb, job, code, ran, TaskDetail(index), now, actions);
    return;
  }
  Micros delay = RetryDelay(bb, task.possibly_run_attempts);
  if (bb.retry_budget.tokens < 1) {
    // Without budget the retry is delayed for longer, while starts refill the
    // budget.
    ++bb.counters.retries_denied;
    delay = bb.tuning.max_retry_delay;
  } else {
    bb.retry_budget.tokens -= 1;
  }
  RetryAfter(bb, job, index, delay, now);
}

void StopOtherAttempt(Blackboard& bb,
                      const Job& job,
                      uint32_t index,
                      uint32_t answered_attempt,
                      Actions& actions) {
  const TaskRecord& task = job.tasks[index];
  const auto stop = [&](const TaskAttempt& attempt) {
    const bool running = bb.workers.slot_uses.contains(
        AttemptKey(job.id, index, attempt.attempt));
    if (attempt.attempt != answered_attempt && running) {
      ++bb.counters.stops;
      actions.emplace_back(StopTask{attempt.address, job.id, index});
    }
  };
  if (task.hedge_attempt) {
    ++bb.counters.hedges_lost;
    stop(task.current_attempt);
    stop(*task.hedge_attempt);
  }
}

void CompleteTask(Blackboard& bb,
                  Job& job,
                  uint32_t index,
                  const TaskAnswer& answer,
                  StepTime now,
                  Actions& actions) {
  TaskRecord& task = job.tasks[index];
  StopOtherAttempt(bb, job, index, answer.attempt, actions);
  if (task.state == TaskState::kQueued) {
    // An earlier attempt was answered late, so the retry is not needed.
    RemoveQueuedTask(bb, job, index);
  }
  if (task.state == TaskState::kRecordingIntent) {
    ReleaseSlot(bb, AttemptKey(job.id, index, task.current_attempt.attempt));
  }
  task.state = TaskState::kDone;
  task.output = answer.output;
  task.hedge_attempt.reset();
  ++job.done_tasks;
  const bool all_done = job.done_tasks == job.tasks.size() ||
                        (IsDisabled(bb, DisabledMechanism::kPartialAnswers) &&
                         index + 1 == job.tasks.size());
  if (all_done && job.state == JobState::kActive) {
    CompleteJob(bb, job, now, actions);
  }
}

// Handles an attempt that is known not to have run, which is retried for any
// kind.
// The first retry after a stale epoch or a leaving worker has no delay.
void OnNotRun(Blackboard& bb,
              Job& job,
              uint32_t index,
              TaskOutcome outcome,
              StepTime now) {
  TaskRecord& task = job.tasks[index];
  ++task.attempts_not_run;
  ++bb.counters.refused_starts;
  const bool at_once =
      outcome == TaskOutcome::kStaleEpoch || outcome == TaskOutcome::kLeaving;
  const Micros delay = at_once && task.attempts_not_run == 1
                           ? 0
                           : RetryDelay(bb, task.attempts_not_run);
  RetryAfter(bb, job, index, delay, now);
}

void OnAttemptEnded(Blackboard& bb,
                    Job& job,
                    const TaskAnswer& answer,
                    StepTime now,
                    Actions& actions) {
  TaskRecord& task = job.tasks[answer.index];
  const AttemptRole role = RoleOf(task, answer.attempt);
  if (task.state == TaskState::kDone) {
    ++bb.counters.late_answers;
    return;
  }
  if (answer.outcome == TaskOutcome::kDone) {
    CompleteTask(bb, job, answer.index, answer, now, actions);
    return;
  }
  if (role == AttemptRole::kHedge) {
    task.hedge_attempt.reset();
    return;
  }
  // Proof that the attempt did not run may arrive after its lookup has started,
  // and ends the lookup.
  const bool is_awaited =
      task.state == TaskState::kRunning ||
      (task.state == TaskState::kLookingUp && ProvesNotRun(answer.outcome));
  if (role == AttemptRole::kOlder || !is_awaited) {
    ++bb.counters.late_answers;
    return;
  }
  if (ProvesNotRun(answer.outcome)) {
    OnNotRun(bb, job, answer.index, answer.outcome, now);
    return;
  }
  if (task.hedge_attempt) {
    // The hedge attempt becomes the current one.
    task.current_attempt = *task.hedge_attempt;
    task.hedge_attempt.reset();
    return;
  }
  if (answer.outcome == TaskOutcome::kFailed) {
    RetryOrFail(bb, job, answer.index, ResultCode::kTaskFailed, now, actions);
    return;
  }
  if (IsDisabled(bb, DisabledMechanism::kRepeatUnanswered)) {
    RetryAfter(bb, job, answer.index, 0, now);
    return;
  }
  if (job.kind.idempotent) {
    RetryOrFail(bb, job, answer.index, ResultCode::kWorkerLost, now, actions);
    return;
  }
  StartTaskLookup(bb, job, answer.index, now, actions);
}

// Returns true if the worker, which never saw the task, would reject the start
// request of the current attempt if it arrived now, because the worker has
// received a newer lease epoch.
bool RejectsCurrentStart(Blackboard& bb,
                         const TaskRecord& task,
                         const TaskAnswer& answer) {
  if (IsDisabled(bb, DisabledMechanism::kNoFence)) {
    return true;
  }
  if (answer.lease_epoch != 0) {
    return answer.lease_epoch > task.current_attempt.lease_epoch;
  }
  // The worker doesn't report its epoch. A renewal after the one that carried
  // the new epoch shows that the worker has received it.
  const Worker* worker = FindWorker(bb, task.current_attempt.worker);
  return worker != nullptr &&
         worker->confirmed_epoch > task.current_attempt.lease_epoch;
}

// Requests a new lease epoch for the worker of the current attempt, so that the
// worker rejects a start request of that attempt that is still in transit.
void RequestNewEpoch(Blackboard& bb, const TaskRecord& task) {
  Worker* worker = FindWorker(bb, task.current_attempt.worker);
  if (worker != nullptr &&
      worker->lease_epoch <= task.current_attempt.lease_epoch) {
    worker->needs_new_epoch = true;
  }
}

void ScheduleLookup(Blackboard& bb,
                    const Job& job,
                    uint32_t index,
                    StepTime now) {
  bb.timers.Set(now.mono + bb.tuning.lookup_period, TimerKind::kTaskLookup,
                TaskKey(job.id, index));
}

void OnNeverSeen(Blackboard& bb,
                 Job& job,
                 const TaskAnswer& answer,
                 StepTime now,
                 Actions& actions) {
  TaskRecord& task = job.tasks[answer.index];
  const Worker* worker = FindWorker(bb, task.current_attempt.worker);
  const uint64_t incarnation =
      answer.worker_incarnation != 0
          ? answer.worker_incarnation
          : (worker == nullptr ? 0 : worker->incarnation);
  const bool same_process =
      incarnation == task.current_attempt.worker_incarnation;
  if (!same_process && incarnation != 0) {
    // The worker process that may have run the task has been replaced, so the
    // outcome of the attempt can't be determined.
    RetryOrFail(bb, job, answer.index, ResultCode::kWorkerLost, now, actions);
    return;
  }
  if (same_process && RejectsCurrentStart(bb, task, answer)) {
    RetryAfter(bb, job, answer.index, 0, now);
    return;
  }
  RequestNewEpoch(bb, task);
  if (++task.unresolved_lookups > bb.tuning.max_lookups) {
    RetryOrFail(bb, job, answer.index, ResultCode::kWorkerLost, now, actions);
    return;
  }
  ScheduleLookup(bb, job, answer.index, now);
}

void OnLookupAnswer(Blackboard& bb,
                    Job& job,
                    const TaskAnswer& answer,
                    StepTime now,
                    Actions& actions) {
  TaskRecord& task = job.tasks[answer.index];
  if (task.state != TaskState::kLookingUp ||
      task.current_attempt.attempt != answer.attempt) {
    return;
  }
  switch (answer.outcome) {
    case TaskOutcome::kDone:
      CompleteTask(bb, job, answer.index, answer, now, actions);
      return;
    case TaskOutcome::kFailed:
      RetryOrFail(bb, job, answer.index, ResultCode::kTaskFailed, now, actions);
      return;
    case TaskOutcome::kNeverSeen:
      OnNeverSeen(bb, job, answer, now, actions);
      return;
    case TaskOutcome::kRunning:
      ScheduleLookup(bb, job, answer.index, now);
      return;
    default:
      if (++task.unresolved_lookups > bb.tuning.max_lookups) {
        RetryOrFail(bb, job, answer.index, ResultCode::kWorkerLost, now,
                    actions);
        return;
      }
      ScheduleLookup(bb, job, answer.index, now);
  }
}

// Releases the slot of an answered attempt, and updates the run-time model and
// the outlier statistics of the worker.
void FinishAttempt(Blackboard& bb,
                   const TaskAnswer& answer,
                   StepTime now,
                   Actions& actions) {
  const std::string key =
      AttemptKey(answer.submission_id, answer.index, answer.attempt);
  const auto found = bb.workers.slot_uses.find(key);
  if (found == bb.workers.slot_uses.end()) {
    return;
  }
  const SlotUse& use = found->second;
  if (answer.outcome == TaskOutcome::kDone) {
    bb.run_times.Observe(use.kind, use.run_ms, now.mono - use.started_at);
  }
  const bool failed = answer.outcome == TaskOutcome::kFailed ||
                      answer.outcome == TaskOutcome::kUnanswered ||
                      answer.outcome == TaskOutcome::kNotSent;
  const bool counts_for_worker = failed || answer.outcome == TaskOutcome::kDone;
  if (counts_for_worker) {
    RecordWorkerResult(bb, use.worker, failed, now, actions);
  }
  ReleaseSlot(bb, key);
}

// Returns the job `id` if this VM owns it or is claiming it and it has a task
// `index`, else null.
Job* FindClaimedOrOwnedJob(Blackboard& bb,
                           const std::string& id,
                           uint32_t index) {
  Job* job = FindJob(bb, id);
  const bool owned = job != nullptr && (job->state == JobState::kActive ||
                                        job->state == JobState::kClaiming);
  return owned && index < job->tasks.size() ? job : nullptr;
}

Job* FindClaimedOrOwnedJobByTaskKey(Blackboard& bb,
                                    const std::string& key,
                                    uint32_t& index) {
  std::string id;
  if (!ParseTaskKey(key, id, index)) {
    return nullptr;
  }
  return FindClaimedOrOwnedJob(bb, id, index);
}

}  // namespace

void OnTaskAnswer(Blackboard& bb,
                  const TaskAnswer& answer,
                  StepTime now,
                  Actions& actions) {
  if (!answer.is_lookup) {
    FinishAttempt(bb, answer, now, actions);
  }
  Job* job = FindClaimedOrOwnedJob(bb, answer.submission_id, answer.index);
  if (job == nullptr) {
    bb.counters.late_answers += answer.is_lookup ? 0 : 1;
    return;
  }
  if (answer.is_lookup) {
    OnLookupAnswer(bb, *job, answer, now, actions);
  } else {
    OnAttemptEnded(bb, *job, answer, now, actions);
  }
}

void OnTaskRetryTimer(Blackboard& bb, const std::string& key) {
  uint32_t index = 0;
  Job* job = FindClaimedOrOwnedJobByTaskKey(bb, key, index);
  if (job == nullptr || job->tasks[index].state != TaskState::kBackoff) {
    return;
  }
  if (job->state == JobState::kActive) {
    EnqueueTask(bb, *job, index);
  } else {
    // OnJobOwned() enqueues the task once the job is claimed.
    job->tasks[index].state = TaskState::kQueued;
  }
}

void StartTaskLookup(Blackboard& bb,
                     Job& job,
                     uint32_t index,
                     StepTime now,
                     Actions& actions) {
  TaskRecord& task = job.tasks[index];
  task.state = TaskState::kLookingUp;
  RequestNewEpoch(bb, task);
  OnTaskLookupTimer(bb, TaskKey(job.id, index), now, actions);
}

void OnTaskLookupTimer(Blackboard& bb,
                       const std::string& key,
                       StepTime /*now*/,
                       Actions& actions) {
  uint32_t index = 0;
  const Job* job = FindClaimedOrOwnedJobByTaskKey(bb, key, index);
  if (job == nullptr || job->tasks[index].state != TaskState::kLookingUp) {
    return;
  }
  const TaskAttempt& attempt = job->tasks[index].current_attempt;
  ++bb.counters.lookups;
  actions.emplace_back(LookupTask{attempt.worker, attempt.address, job->id,
                                  index, attempt.attempt});
}

void OnTaskHedgeTimer(Blackboard& bb,
                      const std::string& key,
                      StepTime now,
                      Actions& actions) {
  uint32_t index = 0;
  Job* job = FindClaimedOrOwnedJobByTaskKey(bb, key, index);
  if (job == nullptr || job->state != JobState::kActive) {
    return;
  }
  TaskRecord& task = job->tasks[index];
  const wire::Task& body = job->submission.tasks(static_cast<int>(index));
  const bool useful = task.state == TaskState::kRunning &&
                      !task.hedge_attempt && bb.queue.ready.empty() &&
                      !bb.draining && HoldsServingLease(bb, now);
  if (!useful) {
    return;
  }
  const std::string worker_key =
      PickWorker(bb, ShapeOf(body), true, task.current_attempt.worker, now);
  const Worker* worker = FindWorker(bb, worker_key);
  if (worker == nullptr || worker->name == task.current_attempt.worker) {
    return;
  }
  const uint32_t attempt = ++task.last_attempt;
  task.hedge_attempt =
      TaskAttempt{worker->name,        worker->address,     attempt,
                  worker->lease_epoch, worker->incarnation, now.mono};
  TakeSlot(bb, worker_key, *job, index, attempt, now);
  ++bb.counters.hedges;
  ++bb.counters.starts;
  StartTask start;
  start.worker = worker->name;
  start.address = worker->address;
  start.submission_id = job->id;
  start.index = index;
  start.attempt = attempt;
  start.lease_epoch = worker->lease_epoch;
  start.run_ms = body.run_ms();
  start.deadline_ms = RemainingTime(*job, now) / kMillisecond;
  start.payload = body.payload();
  start.idempotent = true;
  actions.emplace_back(std::move(start));
}

void HandleUnansweredAttempts(Blackboard& bb,
                              const std::string& worker_key,
                              StepTime now,
                              Actions& actions) {
  std::vector<TaskAnswer> unanswered;
  for (const auto& [key, use] : bb.workers.slot_uses) {
    if (use.worker != worker_key) {
      continue;
    }
    TaskAnswer answer;
    answer.submission_id = use.submission_id;
    answer.index = use.index;
    answer.attempt = use.attempt;
    answer.outcome = TaskOutcome::kUnanswered;
    unanswered.push_back(answer);
  }
  for (const TaskAnswer& answer : unanswered) {
    ReleaseSlot(bb,
                AttemptKey(answer.submission_id, answer.index, answer.attempt));
    Job* job = FindClaimedOrOwnedJob(bb, answer.submission_id, answer.index);
    if (job != nullptr) {
      OnAttemptEnded(bb, *job, answer, now, actions);
    }
  }
}

}  // namespace goldcrest
