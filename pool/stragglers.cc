#include "pool/stragglers.h"

#include <algorithm>

#include "pool/choose_worker.h"
#include "pool/pool_jobs.h"
#include "pool/pool_placement.h"
#include "pool/worker_health.h"
#include "pool/worker_session.h"

namespace goldcrest {
namespace {

// A run is overdue when it has taken this many times its expected run time, and
// this much more.
constexpr int kOverdueFactor = 2;
constexpr Micros kOverdueSlack = 100 * kMillisecond;
// Progress says enough when it was told after this much, and after this part
// of the expected run time.
constexpr Micros kShortestEvidence = 60 * kMillisecond;
constexpr int kEvidencePart = 8;
// A run whose progress points to more than this many times its expected run
// time is a straggler.
constexpr int kSlowFactor = 3;
// A move pays when the new run and half of it again, and the time for stopping
// the old one, are less than what is left.
constexpr Micros kMoveTakes = 60 * kMillisecond;

bool SaysEnough(const RunProgress& run) {
  return run.told_at >=
         std::max(kShortestEvidence, run.expected / kEvidencePart);
}

RunProgress ProgressOf(const WorkerRun& run, Micros now) {
  RunProgress progress;
  progress.age = now - run.answered_at;
  progress.expected = run.expected;
  progress.percent = run.progress_percent;
  progress.told_at = std::max<Micros>(run.progress_at - run.answered_at, 0);
  return progress;
}

// Whether a sound worker other than `not_this` has room for the run.
bool HasRoomElsewhere(const std::vector<PoolWorker*>& ready,
                      const PoolWorker* not_this,
                      const WorkerRun& run) {
  return std::any_of(ready.begin(), ready.end(), [&](const PoolWorker* other) {
    return other != not_this && !IsSuspect(*other) &&
           Fits(run.need, FreeRoom(*other));
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

Micros TimeLeft(const RunProgress& run) {
  if (run.percent <= 0) {
    return kNever;
  }
  const Micros left_then = run.told_at * (100 - run.percent) / run.percent;
  return std::max<Micros>(left_then - (run.age - run.told_at), 0);
}

bool IsStraggler(const RunProgress& run) {
  if (run.age >= kOverdueFactor * run.expected + kOverdueSlack) {
    return true;
  }
  const Micros left = TimeLeft(run);
  return SaysEnough(run) &&
         (left == kNever || run.age + left > kSlowFactor * run.expected);
}

bool PaysToMove(const RunProgress& run, Micros anew, Micros time_left) {
  return SaysEnough(run) && TimeLeft(run) > anew + anew / 2 + kMoveTakes &&
         anew + kMoveTakes <= time_left;
}

void MoveStragglers(PoolBoard& board, Micros now, PoolActions& actions) {
  const std::vector<PoolWorker*> ready = ReadyWorkers(board, now);
  for (PoolWorker* worker : OrderedWorkers(board)) {
    if (worker->session != SessionState::kReady) {
      continue;
    }
    for (const auto& [name, run] : worker->runs) {
      const RunProgress progress = ProgressOf(run, now);
      if (run.state != RunState::kRunning || !IsStraggler(progress)) {
        continue;
      }
      MarkSlow(*worker, name, progress, actions);
      const PoolJob* job = FindPoolJob(board, run.job_key);
      if (job == nullptr || !board.waiting.empty()) {
        continue;
      }
      const Micros anew = job->steps[name.step].expected;
      if (PaysToMove(progress, anew, job->deadline - now) &&
          HasRoomElsewhere(ready, worker, run)) {
        StopStraggler(board, *worker, name, progress, now, actions);
      }
    }
  }
}

}  // namespace goldcrest
