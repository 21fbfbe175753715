#include "pool/workers/slow_evidence.h"

#include <algorithm>
#include <array>
#include <optional>

#include "pool/placement/choose_worker.h"

namespace goldcrest {
namespace {

// Weights of the evidence, and the sum at which a worker counts as slow: two
// jobs that were faster on other workers, or four without comparison. Each job
// counts once. With two slots, two long jobs often run on a worker at the same
// time by chance.
constexpr int kWeightOfComparison = 2;
constexpr int kWeightWithoutComparison = 1;
constexpr int kEvidenceOfSlowWorker = 4;
// The worker is at fault if the attempt takes this many times as long as one of
// the step's attempts elsewhere, each relative to its expected run time.
constexpr double kSlowerThanElsewhere = 2;
// An attempt makes no progress if it has reported 0% at this age, and at this
// part (one in kNoProgressDivisor) of its expected run time. An attempt that
// takes seven times as long as expected has reported 1% long before.
constexpr Micros kMinNoProgressAge = 100 * kMillisecond;
constexpr int kNoProgressDivisor = 4;

// Returns the expected total run time of an attempt relative to what was
// expected at its start; no less than its age. Empty if it is not known yet.
std::optional<double> RelativeRunTime(const AttemptProgress& progress) {
  const auto expected =
      static_cast<double>(std::max<Micros>(progress.expected_run_time, 1));
  if (IsOverdue(progress)) {
    const Micros remaining = RemainingRunTime(progress);
    return static_cast<double>(progress.age +
                               (remaining == kNever ? 0 : remaining)) /
           expected;
  }
  if (!IsProgressSignificant(progress) || progress.percent <= 0) {
    return std::nullopt;
  }
  return 100 * static_cast<double>(progress.reported_at) /
         (progress.percent * expected);
}

// The attempts of a step on other workers.
struct Elsewhere {
  bool any = false;
  // The smallest relative run time; empty if none is known yet.
  std::optional<double> best;

  void Add(double relative) {
    best = std::min(best.value_or(relative), relative);
  }
};

Elsewhere AttemptsElsewhere(const PoolBoard& board,
                            const PoolJob& job,
                            const TaskName& name,
                            const PoolWorker& worker,
                            Micros now) {
  Elsewhere result;
  const PoolJobStep& step = job.steps[name.step];
  for (const RunTimeSample& sample : step.samples) {
    if (sample.worker != worker.status.id()) {
      result.any = true;
      result.Add(sample.relative);
    }
  }
  for (uint32_t index = 0; index < step.tasks.size(); ++index) {
    const PoolTask& task = step.tasks[index];
    const auto other = board.owned.find(task.worker);
    if (task.phase != TaskPhase::kRunning || other == board.owned.end() ||
        other->second == &worker) {
      continue;
    }
    const auto attempt = other->second->attempts.find(
        {name.job_id, name.occurrence, name.step, index});
    if (attempt == other->second->attempts.end() ||
        attempt->second.state != AttemptState::kRunning) {
      continue;
    }
    result.any = true;
    const std::optional<double> relative =
        RelativeRunTime(ProgressOf(attempt->second, now));
    if (relative) {
      result.Add(*relative);
    }
  }
  return result;
}

}  // namespace

std::string_view ToString(StragglerCause cause) {
  constexpr std::array<std::string_view, 5> kNames = {
      "open", "job", "possibly_worker", "worker", "no_progress"};
  return kNames[static_cast<size_t>(cause)];
}

StragglerCause CauseOf(const PoolBoard& board,
                       const PoolJob& job,
                       const TaskName& name,
                       const PoolWorker& worker,
                       const AttemptProgress& progress,
                       Micros now) {
  if (progress.percent <= 0 &&
      progress.reported_at >=
          std::max(kMinNoProgressAge,
                   progress.expected_run_time / kNoProgressDivisor)) {
    return StragglerCause::kNoProgress;
  }
  // An earlier attempt, on another worker in most cases, was stopped or failed.
  if (job.steps[name.step].tasks[name.index].attempt_count > 1) {
    return StragglerCause::kJob;
  }
  const Elsewhere elsewhere = AttemptsElsewhere(board, job, name, worker, now);
  if (!elsewhere.any) {
    return StragglerCause::kPossibly;
  }
  const std::optional<double> own = RelativeRunTime(progress);
  if (!own || !elsewhere.best) {
    return StragglerCause::kOpen;
  }
  return *own >= kSlowerThanElsewhere * *elsewhere.best
             ? StragglerCause::kWorker
             : StragglerCause::kJob;
}

bool AddSlowEvidence(WorkerHealth& health,
                     StragglerCause cause,
                     const std::string& job_id) {
  switch (cause) {
    case StragglerCause::kNoProgress:
      return true;
    case StragglerCause::kWorker:
    case StragglerCause::kPossibly:
      if (health.slow_evidence_jobs.insert(job_id).second) {
        health.slow_evidence += cause == StragglerCause::kWorker
                                    ? kWeightOfComparison
                                    : kWeightWithoutComparison;
      }
      break;
    case StragglerCause::kOpen:
    case StragglerCause::kJob:
      break;
  }
  return health.slow_evidence >= kEvidenceOfSlowWorker;
}

}  // namespace goldcrest
