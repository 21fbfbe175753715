#include "goldcrest/jobs.h"

#include <algorithm>
#include <utility>

#include "goldcrest/admission.h"
#include "goldcrest/claim_store.h"
#include "goldcrest/claim_updates.h"
#include "goldcrest/claim_voter.h"
#include "goldcrest/forwarding.h"
#include "goldcrest/membership.h"
#include "goldcrest/placement.h"
#include "goldcrest/submission.h"

namespace goldcrest {
namespace {

// How long after its deadline a forwarded submission still waits for the answer
// of its owner.
constexpr Micros kForwardGrace = 800 * kMillisecond;

void CountResult(Blackboard& bb, const wire::JobResult& result) {
  switch (OutcomeOf(result)) {
    case Outcome::kComplete:
      ++bb.counters.completed;
      return;
    case Outcome::kFailed:
      ++bb.counters.failed;
      return;
    case Outcome::kRefused:
      ++bb.counters.refused;
      return;
    case Outcome::kUnknown:
      ++bb.counters.unknown;
      return;
    case Outcome::kCancelled:
      ++bb.counters.cancelled;
      return;
    case Outcome::kPending:
      return;
  }
}

// Records the result for the metrics, only on the VM that received the caller's
// request, so that it is counted once.
void RecordObservation(Blackboard& bb,
                       const Job& job,
                       const wire::JobResult& result,
                       StepTime now) {
  const bool from_callers =
      std::any_of(job.waiters.begin(), job.waiters.end(),
                  [](const Waiter& waiter) { return waiter.vm.empty(); });
  if (!from_callers) {
    return;
  }
  CountResult(bb, result);
  Observation observation;
  observation.kind = job.kind.name;
  observation.failure_domain = job.home;
  observation.outcome = OutcomeOf(result);
  observation.code = CodeOf(result);
  observation.response_ms = (now.mono - job.received_at) / kMillisecond;
  observation.target_ms = job.kind.slo.target_ms;
  observation.wall_ms = now.wall_ms;
  bb.observations.push_back(std::move(observation));
}

void AnswerWaiters(Blackboard& bb,
                   Job& job,
                   const wire::JobResult& result,
                   StepTime now,
                   Actions& actions) {
  RecordObservation(bb, job, result, now);
  for (const Waiter& waiter : job.waiters) {
    Answer(bb, job.id, job.submission.digest(), waiter, result, actions);
  }
  job.waiters.clear();
  job.final_result_sent =
      job.final_result_sent || OutcomeOf(result) != Outcome::kUnknown;
}

void RemoveJob(Blackboard& bb, Job& job) {
  RemoveQueuedTasks(bb, job);
  bb.timers.Clear(job.deadline_at, TimerKind::kJobDeadline, job.id);
  bb.timers.Clear(job.claim_timer_due, TimerKind::kClaim, job.id);
  bb.timers.Clear(job.update_timer_due, TimerKind::kClaimUpdate, job.id);
  bb.timers.Clear(job.forward_timer_due, TimerKind::kForward, job.id);
  const std::string id = job.id;
  bb.jobs.erase(id);
}

// Stops the running tasks of `job` and removes its queued tasks.
void StopTasks(Blackboard& bb, Job& job, Actions& actions) {
  SuspendTasks(bb, job);
  for (uint32_t index = 0; index < job.tasks.size(); ++index) {
    const TaskRecord& task = job.tasks[index];
    if (task.state != TaskState::kRunning) {
      continue;
    }
    ++bb.counters.stops;
    actions.emplace_back(StopTask{task.current_attempt.address, job.id, index});
    if (task.hedge_attempt) {
      ++bb.counters.stops;
      actions.emplace_back(
          StopTask{task.hedge_attempt->address, job.id, index});
    }
  }
}

// Stores the recorded result on this VM, the owner, even if it is not a voter.
void RecordResultLocally(Blackboard& bb, const Job& job, StepTime now) {
  ClaimEntry& entry = FindOrCreateClaim(bb, job.id, now);
  entry.record.set_digest(job.submission.digest());
  entry.record.set_home(job.home);
  FinishClaim(bb, entry, job.result);
  entry.recorded = true;
}

}  // namespace

Job& CreateJob(Blackboard& bb,
               const wire::Submission& submission,
               int64_t elapsed_ms,
               StepTime now) {
  auto job = std::make_unique<Job>();
  job->id = submission.submission_id();
  job->submission = submission;
  job->home = HomeOf(bb, submission);
  const KindPolicy* kind = bb.configuration.active.FindKind(submission.kind());
  if (kind != nullptr) {
    job->kind = *kind;
  } else {
    // A kind that is no longer declared is treated as non-idempotent.
    job->kind.name = submission.kind();
  }
  const int64_t deadline_ms = submission.deadline_ms() != 0
                                  ? submission.deadline_ms()
                                  : job->kind.deadline_ms;
  job->received_at = now.mono - elapsed_ms * kMillisecond;
  job->received_wall_ms = now.wall_ms - elapsed_ms;
  job->deadline_at = job->received_at + deadline_ms * kMillisecond;
  job->deadline_wall_ms = job->received_wall_ms + deadline_ms;
  const Micros target = job->kind.slo.target_ms * kMillisecond;
  job->objective_time = std::min(job->deadline_at, job->received_at + target);
  job->tasks.resize(static_cast<size_t>(submission.tasks_size()));
  job->lease_generation = bb.membership.lease_generation;
  bb.timers.Set(job->deadline_at, TimerKind::kJobDeadline, job->id);
  Job& created = *job;
  bb.jobs[created.id] = std::move(job);
  return created;
}

void AddWaiter(Blackboard& bb, Job& job, Waiter waiter, Actions& actions) {
  if (waiter.token != kNoToken) {
    bb.submission_of_request[waiter.token] = job.id;
  } else {
    std::erase_if(job.waiters,
                  [&](const Waiter& other) { return other.vm == waiter.vm; });
  }
  const bool notify_accepted = waiter.until_accepted && job.accepted;
  job.waiters.push_back(std::move(waiter));
  if (notify_accepted) {
    MarkAccepted(bb, job, actions);
  }
}

void Answer(Blackboard& bb,
            const std::string& id,
            const std::string& digest,
            const Waiter& waiter,
            const wire::JobResult& result,
            Actions& actions) {
  if (waiter.token != kNoToken) {
    bb.submission_of_request.erase(waiter.token);
    actions.emplace_back(
        ReplyResult{waiter.token, id, result, waiter.cancelling});
    return;
  }
  if (waiter.vm.empty()) {
    return;
  }
  wire::PeerMessage message;
  wire::ForwardReply* reply = message.mutable_forward_reply();
  reply->set_submission_id(id);
  reply->set_digest(digest);
  *reply->mutable_result() = result;
  SendToPeer(bb, waiter.vm, std::move(message), actions);
}

void FinishJob(Blackboard& bb,
               Job& job,
               const wire::JobResult& result,
               StepTime now,
               Actions& actions) {
  if (job.state == JobState::kFinishing) {
    return;
  }
  StopTasks(bb, job, actions);
  job.state = JobState::kFinishing;
  job.result = result;
  bb.placement_due = true;
  wire::ClaimUpdate update;
  update.set_finished(true);
  *update.mutable_result() = result;
  StartClaimUpdate(bb, job, std::move(update), now, actions);
}

void CompleteJob(Blackboard& bb, Job& job, StepTime now, Actions& actions) {
  wire::JobResult result =
      MakeResult(Outcome::kComplete, Ran::kAll, ResultCode::kOk);
  for (const TaskRecord& task : job.tasks) {
    result.add_outputs(task.output);
  }
  if (!CheckInvariant(bb,
                      result.outputs_size() == job.submission.tasks_size() &&
                          job.done_tasks == job.tasks.size(),
                      "an answer has every task's output", actions)) {
    result = MakeResult(Outcome::kFailed, Ran::kUnknown, ResultCode::kInternal);
  }
  FinishJob(bb, job, result, now, actions);
}

void MarkAccepted(Blackboard& bb, Job& job, Actions& actions) {
  job.accepted = true;
  const wire::JobResult pending =
      MakeResult(Outcome::kPending, Ran::kNone, ResultCode::kOk);
  for (const Waiter& waiter : job.waiters) {
    if (waiter.until_accepted) {
      Answer(bb, job.id, job.submission.digest(), waiter, pending, actions);
    }
  }
  // A VM that was sent "pending" still waits for the result.
  std::erase_if(job.waiters, [](const Waiter& waiter) {
    return waiter.until_accepted && waiter.vm.empty();
  });
  for (Waiter& waiter : job.waiters) {
    waiter.until_accepted = false;
  }
}

void OnAcceptedNoticeTimer(Blackboard& bb,
                           const std::string& id,
                           Actions& actions) {
  Job* job = FindJob(bb, id);
  if (job == nullptr) {
    return;
  }
  for (Waiter& waiter : job->waiters) {
    waiter.until_accepted = waiter.until_accepted || !waiter.vm.empty();
  }
  if (job->accepted) {
    MarkAccepted(bb, *job, actions);
  }
}

void OnWaitTimer(Blackboard& bb, const std::string& key, Actions& actions) {
  const auto found = bb.submission_of_request.find(std::stoull(key));
  Job* job = found == bb.submission_of_request.end()
                 ? nullptr
                 : FindJob(bb, found->second);
  if (job == nullptr) {
    return;
  }
  for (Waiter& waiter : job->waiters) {
    waiter.until_accepted =
        waiter.until_accepted || waiter.token == found->first;
  }
  if (job->accepted) {
    MarkAccepted(bb, *job, actions);
  } else if (job->state == JobState::kForwarded) {
    SendForward(bb, *job, actions);
  }
}

void AnswerAndRemove(Blackboard& bb,
                     Job& job,
                     const wire::JobResult& result,
                     StepTime now,
                     Actions& actions) {
  AnswerWaiters(bb, job, result, now, actions);
  RemoveJob(bb, job);
}

void RefuseClaimed(Blackboard& bb,
                   Job& job,
                   const wire::JobResult& result,
                   StepTime now,
                   Actions& actions) {
  job.state = JobState::kFinishing;
  job.result = result;
  wire::ClaimUpdate update;
  update.set_released(true);
  StartClaimUpdate(bb, job, std::move(update), now, actions);
}

void YieldJob(Blackboard& bb,
              Job& job,
              const std::string& owner,
              StepTime now,
              Actions& actions) {
  if (job.waiters.empty()) {
    RemoveJob(bb, job);
    return;
  }
  SuspendTasks(bb, job);
  job.tasks.assign(job.tasks.size(), TaskRecord());
  job.done_tasks = 0;
  ++job.yield_count;
  job.named_owner = true;
  job.forwarded_to = owner;
  ForwardJob(bb, job, owner, now, actions);
}

void OnUpdateMajority(Blackboard& bb,
                      Job& job,
                      uint64_t update,
                      StepTime now,
                      Actions& actions) {
  const wire::ClaimUpdate body = job.updates[update].update;
  if (body.released() && job.handing_over) {
    job.handing_over = false;
    job.updates.clear();
    ForwardJob(bb, job, ChooseOwner(bb, job), now, actions);
    return;
  }
  if (body.finished()) {
    RecordResultLocally(bb, job, now);
  }
  if (body.finished() || body.released()) {
    if (!job.final_result_sent) {
      AnswerWaiters(bb, job, job.result, now, actions);
    }
    return;
  }
  // If the lease has expired, the job must be claimed again before it
  // continues.
  const bool may_start = OwnsUnderLease(bb, job, now);
  for (const wire::TaskIntent& intent : body.intents()) {
    TaskRecord& task = job.tasks[intent.index()];
    if (!may_start || task.state != TaskState::kRecordingIntent ||
        task.current_attempt.attempt != intent.attempt()) {
      continue;
    }
    SendStart(bb, job, intent.index(), now, actions);
  }
}

void OnUpdateTimeout(Blackboard& bb,
                     Job& job,
                     uint64_t update,
                     StepTime now,
                     Actions& actions) {
  const PendingUpdate& pending = job.updates[update];
  if (pending.update.finished() || pending.update.released()) {
    if (!job.final_result_sent) {
      AnswerWaiters(bb, job, MakeUnknown(ResultCode::kNoQuorum), now, actions);
    }
    return;
  }
  for (const wire::TaskIntent& intent : pending.update.intents()) {
    TaskRecord& task = job.tasks[intent.index()];
    if (task.state == TaskState::kRecordingIntent &&
        task.current_attempt.attempt == intent.attempt()) {
      ReleaseSlot(bb, AttemptKey(job.id, intent.index(), intent.attempt()));
      EnqueueTask(bb, job, intent.index());
    }
  }
}

void RemoveIfRecorded(Blackboard& bb, Job& job) {
  if (job.state == JobState::kFinishing && job.updates.empty()) {
    RemoveJob(bb, job);
  }
}

bool OwnsUnderLease(const Blackboard& bb, const Job& job, StepTime now) {
  if (IsDisabled(bb, DisabledMechanism::kNoServingLease)) {
    return true;
  }
  return job.state == JobState::kActive && HoldsServingLease(bb, now) &&
         job.lease_generation == bb.membership.lease_generation;
}

Ran RanOfJob(const Job& job) {
  const auto in_state = [&](TaskState state) {
    return std::any_of(
        job.tasks.begin(), job.tasks.end(),
        [&](const TaskRecord& task) { return task.state == state; });
  };
  if (job.done_tasks == job.tasks.size()) {
    return Ran::kAll;
  }
  const bool unrecorded_starts = job.taken_over && job.kind.idempotent;
  if (in_state(TaskState::kLookingUp) || unrecorded_starts) {
    return Ran::kUnknown;
  }
  const bool possible_runs = std::any_of(
      job.tasks.begin(), job.tasks.end(),
      [](const TaskRecord& task) { return task.possibly_run_attempts > 0; });
  const bool ran =
      job.done_tasks > 0 || possible_runs || in_state(TaskState::kRunning);
  return ran ? Ran::kPartly : Ran::kNone;
}

Micros RemainingTime(const Job& job, StepTime now) {
  return std::max<Micros>(job.deadline_at - now.mono, 0);
}

void AnswerAllUnknown(Blackboard& bb, StepTime now, Actions& actions) {
  for (const auto& [id, job] : bb.jobs) {
    if (!job->waiters.empty()) {
      AnswerWaiters(bb, *job, MakeUnknown(ResultCode::kOwnerUnreachable), now,
                    actions);
    }
  }
}

void OnJobDeadline(Blackboard& bb,
                   const std::string& id,
                   StepTime now,
                   Actions& actions) {
  Job* job = FindJob(bb, id);
  if (job == nullptr) {
    return;
  }
  switch (job->state) {
    case JobState::kForwarded:
      if (now.mono < job->deadline_at + kForwardGrace) {
        bb.timers.Set(job->deadline_at + kForwardGrace, TimerKind::kJobDeadline,
                      id);
        return;
      }
      AnswerAndRemove(bb, *job, MakeUnknown(ResultCode::kOwnerUnreachable), now,
                      actions);
      return;
    case JobState::kClaiming:
      // The claim continues after the deadline: if it is a takeover, it has to
      // determine the outcome of the job.
      AnswerWaiters(bb, *job, MakeUnknown(ResultCode::kNoQuorum), now, actions);
      return;
    case JobState::kActive:
      FinishJob(bb, *job,
                MakeResult(Outcome::kFailed, RanOfJob(*job),
                           ResultCode::kDeadlineExceeded),
                now, actions);
      return;
    case JobState::kFinishing:
      return;
  }
}

}  // namespace goldcrest
