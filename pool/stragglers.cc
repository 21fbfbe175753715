#include "pool/stragglers.h"

#include <algorithm>

#include "pool/choose_worker.h"
#include "pool/pool_jobs.h"
#include "pool/pool_placement.h"
#include "pool/worker_health.h"
#include "pool/worker_session.h"

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

bool IsProgressSignificant(const RunProgress& attempt) {
  return attempt.told_at >=
         std::max(kMinSignificantAge, attempt.expected / kSignificantDivisor);
}

RunProgress ProgressOf(const WorkerRun& attempt, Micros now) {
  RunProgress progress;
  progress.age = now - attempt.answered_at;
  progress.expected = attempt.expected;
  progress.percent = attempt.progress_percent;
  progress.told_at =
      std::max<Micros>(attempt.progress_at - attempt.answered_at, 0);
  return progress;
}

// Returns whether a worker other than `excluded` that is not suspect has the
// free capacity for the attempt.
bool HasCapacityElsewhere(const std::vector<PoolWorker*>& ready,
                          const PoolWorker* excluded,
                          const WorkerRun& attempt) {
  return std::any_of(ready.begin(), ready.end(), [&](const PoolWorker* other) {
    return other != excluded && !IsSuspect(*other) &&
           Fits(attempt.need, FreeRoom(*other));
  });
}

void MarkSlow(PoolWorker& worker,
              const TaskName& name,
              const RunProgress& progress,
              PoolActions& actions) {
  if (worker.health.slow) {
    return;
  }
  worker.health.slow = true;
  LogPool(actions, LogLevel::kInfo, "worker_slow",
          {{"worker", worker.facts.id()},
           {"job", name.job_id},
           {"task", ToText(name)},
           {"age_ms", std::to_string(progress.age / kMillisecond)},
           {"expected_ms", std::to_string(progress.expected / kMillisecond)},
           {"progress_percent", std::to_string(progress.percent)},
           {"told_at_ms", std::to_string(progress.told_at / kMillisecond)}});
}

void StopStraggler(PoolBoard& board,
                   PoolWorker& worker,
                   const TaskName& name,
                   const RunProgress& progress,
                   Micros now,
                   PoolActions& actions) {
  LogPool(actions, LogLevel::kWarning, "straggler_stopped",
          {{"worker", worker.facts.id()},
           {"job", name.job_id},
           {"task", ToText(name)},
           {"elapsed_ms", std::to_string(progress.age / kMillisecond)},
           {"expected_ms", std::to_string(progress.expected / kMillisecond)},
           {"progress_percent", std::to_string(progress.percent)}});
  RecordFailure(worker, now);
  StopRun(board, worker, name, false, now, actions);
}

}  // namespace

Micros TimeLeft(const RunProgress& attempt) {
  if (attempt.percent <= 0) {
    return kNever;
  }
  const Micros remaining_at_report =
      attempt.told_at * (100 - attempt.percent) / attempt.percent;
  return std::max<Micros>(remaining_at_report - (attempt.age - attempt.told_at),
                          0);
}

bool IsStraggler(const RunProgress& attempt) {
  if (attempt.age >= kOverdueFactor * attempt.expected + kOverdueSlack) {
    return true;
  }
  const Micros remaining = TimeLeft(attempt);
  return IsProgressSignificant(attempt) &&
         (remaining == kNever ||
          attempt.age + remaining > kSlowFactor * attempt.expected);
}

bool PaysToMove(const RunProgress& attempt,
                Micros new_run_time,
                Micros time_to_deadline) {
  return IsProgressSignificant(attempt) &&
         TimeLeft(attempt) > new_run_time + new_run_time / 2 + kMoveOverhead &&
         new_run_time + kMoveOverhead <= time_to_deadline;
}

void MoveStragglers(PoolBoard& board, Micros now, PoolActions& actions) {
  const std::vector<PoolWorker*> ready = ReadyWorkers(board, now);
  for (PoolWorker* worker : OrderedWorkers(board)) {
    if (worker->session != SessionState::kReady) {
      continue;
    }
    for (const auto& [name, attempt] : worker->runs) {
      const RunProgress progress = ProgressOf(attempt, now);
      if (attempt.state != RunState::kRunning || !IsStraggler(progress)) {
        continue;
      }
      MarkSlow(*worker, name, progress, actions);
      const PoolJob* job = FindPoolJob(board, attempt.job_key);
      if (job == nullptr || !board.waiting.empty()) {
        continue;
      }
      const Micros new_run_time = job->steps[name.step].expected;
      if (PaysToMove(progress, new_run_time, job->deadline - now) &&
          HasCapacityElsewhere(ready, worker, attempt)) {
        StopStraggler(board, *worker, name, progress, now, actions);
      }
    }
  }
}

}  // namespace goldcrest
