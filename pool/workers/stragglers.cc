#include "pool/workers/stragglers.h"

#include <algorithm>

#include "pool/jobs/pool_jobs.h"
#include "pool/placement/choose_worker.h"
#include "pool/placement/task_requirements.h"
#include "pool/workers/slow_evidence.h"
#include "pool/workers/start_bindings.h"
#include "pool/workers/worker_health.h"
#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

// An attempt is overdue when its age is at least this multiple of its expected
// run time, plus this slack.
constexpr int kOverdueFactor = 2;
constexpr Micros kOverdueSlack = 100 * kMillisecond;
// A progress report is significant if the attempt was at least this old, and
// had run for at least this fraction (one part in kSignificantDivisor) of its
// expected run time.
constexpr Micros kMinSignificantAge = 60 * kMillisecond;
constexpr int kSignificantDivisor = 8;
// An attempt whose progress predicts more than this multiple of its expected
// run time is a straggler.
constexpr int kSlowFactor = 3;
// Time for stopping an attempt before a new one starts. Moving is worthwhile if
// one and a half times the run time of the new attempt, plus this, is less than
// the remaining run time of the old one.
constexpr Micros kMoveOverhead = 60 * kMillisecond;

// Returns whether a worker other than `excluded` that is not suspect has the
// free capacity for the attempt.
bool HasCapacityElsewhere(const std::vector<PoolWorker*>& ready,
                          const PoolWorker* excluded,
                          const WorkerAttempt& attempt) {
  return std::any_of(ready.begin(), ready.end(), [&](const PoolWorker* other) {
    return other != excluded && !IsSuspect(*other) &&
           Fits(attempt.resources, FreeCapacity(*other));
  });
}

void MarkSlow(PoolBoard& board,
              PoolWorker& worker,
              const TaskName& name,
              const AttemptProgress& progress,
              std::string_view cause,
              PoolActions& actions) {
  if (worker.health.slow) {
    return;
  }
  worker.health.slow = true;
  ++board.counters.workers_marked_slow;
  std::vector<LogField> fields = {
      {"worker", worker.status.id()},
      {"job", name.job_id},
      {"task", ToString(name)},
      {"age_ms", std::to_string(progress.age / kMillisecond)},
      {"expected_ms",
       std::to_string(progress.expected_run_time / kMillisecond)},
      {"progress_percent", std::to_string(progress.percent)},
      {"told_at_ms", std::to_string(progress.reported_at / kMillisecond)}};
  if (!cause.empty()) {
    fields.push_back({"cause", std::string(cause)});
  }
  LogPoolEvent(actions, LogLevel::kInfo, "worker_slow", std::move(fields));
}

// Returns whether a straggling task may be stopped and started elsewhere: not
// while it is bound to its worker. With run times by worker, a task that makes
// progress is moved once at most: one that is slow on two workers takes long by
// itself, and each further move would repeat its work until its caller's
// timeout.
bool MayMoveAgain(const PoolBoard& board,
                  const TaskName& name,
                  const PoolTask& task,
                  const AttemptProgress& progress) {
  const bool bound = FindBinding(board, name) != nullptr;
  return !bound && (!board.options.features.run_times_by_worker ||
                    task.attempt_count <= 1 || progress.percent <= 0);
}

void StopStraggler(PoolBoard& board,
                   PoolWorker& worker,
                   const TaskName& name,
                   const AttemptProgress& progress,
                   Micros now,
                   PoolActions& actions) {
  LogPoolEvent(actions, LogLevel::kWarning, "straggler_stopped",
               {{"worker", worker.status.id()},
                {"job", name.job_id},
                {"task", ToString(name)},
                {"elapsed_ms", std::to_string(progress.age / kMillisecond)},
                {"expected_ms",
                 std::to_string(progress.expected_run_time / kMillisecond)},
                {"progress_percent", std::to_string(progress.percent)}});
  // A straggler is not its worker's failure unless the worker is slow.
  if (!board.options.features.run_times_by_worker || worker.health.slow) {
    RecordFailure(worker, now);
  }
  StopAttempt(board, worker, name, StopReason::kTaskMoves, now, actions);
}

// Considers a straggler as evidence that its worker is slow, once for each
// attempt; marks the worker if there is enough.
void JudgeWorker(PoolBoard& board,
                 PoolWorker& worker,
                 const TaskName& name,
                 WorkerAttempt& attempt,
                 const PoolJob& job,
                 Micros now,
                 PoolActions& actions) {
  if (attempt.judged || worker.health.slow) {
    return;
  }
  const AttemptProgress progress = ProgressOf(attempt, now);
  const StragglerCause cause = CauseOf(board, job, name, worker, progress, now);
  attempt.judged = cause != StragglerCause::kOpen;
  if (AddSlowEvidence(worker.health, cause, job.order.job_id())) {
    MarkSlow(board, worker, name, progress, ToString(cause), actions);
  }
}

}  // namespace

bool IsProgressSignificant(const AttemptProgress& attempt) {
  return attempt.reported_at >=
         std::max(kMinSignificantAge,
                  attempt.expected_run_time / kSignificantDivisor);
}

AttemptProgress ProgressOf(const WorkerAttempt& attempt, Micros now) {
  AttemptProgress progress;
  progress.age = now - attempt.answered_at;
  progress.expected_run_time = attempt.expected_run_time;
  progress.percent = attempt.progress_percent;
  progress.reported_at =
      std::max<Micros>(attempt.progress_at - attempt.answered_at, 0);
  return progress;
}

bool IsOverdue(const AttemptProgress& attempt) {
  return attempt.age >=
         kOverdueFactor * attempt.expected_run_time + kOverdueSlack;
}

Micros RemainingRunTime(const AttemptProgress& attempt) {
  if (attempt.percent <= 0) {
    return kNever;
  }
  const Micros remaining_at_report =
      attempt.reported_at * (100 - attempt.percent) / attempt.percent;
  return std::max<Micros>(
      remaining_at_report - (attempt.age - attempt.reported_at), 0);
}

bool IsStraggler(const AttemptProgress& attempt) {
  if (IsOverdue(attempt)) {
    return true;
  }
  const Micros remaining = RemainingRunTime(attempt);
  return IsProgressSignificant(attempt) &&
         (remaining == kNever ||
          attempt.age + remaining > kSlowFactor * attempt.expected_run_time);
}

bool IsWorthMoving(const AttemptProgress& attempt,
                   Micros new_run_time,
                   Micros time_to_deadline) {
  return IsProgressSignificant(attempt) &&
         RemainingRunTime(attempt) >
             new_run_time + new_run_time / 2 + kMoveOverhead &&
         new_run_time + kMoveOverhead <= time_to_deadline;
}

void MoveStragglers(PoolBoard& board, Micros now, PoolActions& actions) {
  const std::vector<PoolWorker*> ready = ReadyWorkers(board, now);
  for (PoolWorker* worker : OwnedWorkers(board)) {
    if (worker->session != SessionState::kReady) {
      continue;
    }
    for (auto& [name, attempt] : worker->attempts) {
      const AttemptProgress progress = ProgressOf(attempt, now);
      if (attempt.state != AttemptState::kRunning || !IsStraggler(progress)) {
        continue;
      }
      const PoolJob* job = FindPoolJob(board, attempt.job_key);
      if (!board.options.features.run_times_by_worker) {
        MarkSlow(board, *worker, name, progress, "", actions);
      } else if (job != nullptr) {
        JudgeWorker(board, *worker, name, attempt, *job, now, actions);
      }
      if (job == nullptr || !board.waiting.empty()) {
        continue;
      }
      const Micros new_run_time = job->steps[name.step].expected_run_time;
      const PoolTask& task = job->steps[name.step].tasks[name.index];
      if (MayMoveAgain(board, name, task, progress) &&
          IsWorthMoving(progress, new_run_time, job->deadline - now) &&
          HasCapacityElsewhere(ready, worker, attempt)) {
        StopStraggler(board, *worker, name, progress, now, actions);
      }
    }
  }
}

}  // namespace goldcrest
