#include "pool/placement/placement_input.h"

#include <algorithm>

#include "pool/jobs/pool_jobs.h"
#include "pool/placement/task_requirements.h"
#include "pool/workers/run_times.h"
#include "pool/workers/start_bindings.h"
#include "pool/workers/stragglers.h"
#include "pool/workers/worker_health.h"

namespace goldcrest {
namespace {

// An overdue attempt is expected to run for this part of its expected run time
// longer, which is the error of the estimates.
constexpr Micros kOverdueDivisor = 4;
// Progress reported before this part of the expected run time has passed is too
// inexact.
constexpr Micros kProgressDivisor = 4;

// Returns the time by which the job must start to be no later than it is
// expected to be.
Micros LatestStart(const PoolJob& job) {
  const Micros remaining = RemainingSequentialRunTime(job);
  switch (job.expected_lateness) {
    case ExpectedLateness::kOnTime:
    case ExpectedLateness::kAtRisk:
      return job.objective_at - remaining;
    case ExpectedLateness::kLate:
      return ValueEndsAt(job) - remaining;
    case ExpectedLateness::kVeryLate:
      break;
  }
  return job.deadline - remaining;
}

}  // namespace

uint32_t CountAttemptsOfStep(const PoolWorker& worker,
                             const std::string& job_id,
                             uint32_t step) {
  return static_cast<uint32_t>(std::count_if(
      worker.attempts.begin(), worker.attempts.end(), [&](const auto& entry) {
        return entry.first.job_id == job_id && entry.first.step == step;
      }));
}

Micros ExpectedTimeToEnd(const WorkerAttempt& attempt, Micros now) {
  const Micros overdue =
      std::max(attempt.expected_run_time / kOverdueDivisor, kMillisecond);
  AttemptProgress progress;
  progress.age = now - attempt.answered_at;
  progress.expected_run_time = attempt.expected_run_time;
  progress.percent = attempt.progress_percent;
  progress.reported_at = attempt.progress_at - attempt.answered_at;
  if (attempt.answered_at != 0 &&
      progress.reported_at >= attempt.expected_run_time / kProgressDivisor &&
      progress.percent > 0) {
    return std::max(RemainingRunTime(progress), kMillisecond);
  }
  const Micros end = attempt.sent_at + attempt.expected_run_time - now;
  return end > 0 ? end : overdue;
}

std::vector<PlanWorker> MakePlanWorkers(const PoolBoard& board,
                                        const std::vector<PoolWorker*>& ready,
                                        Micros now) {
  std::vector<PlanWorker> workers;
  workers.reserve(ready.size());
  for (const PoolWorker* worker : ready) {
    PlanWorker& plan = workers.emplace_back();
    plan.free = FreeCapacity(*worker);
    plan.run_time_factor = RunTimeFactor(board, *worker);
    plan.suspect = IsSuspect(*worker);
    // A worker on probation takes one task at a time.
    plan.most_starts = worker->health.probation ? 1 : UINT32_MAX;
    for (const auto& [name, attempt] : worker->attempts) {
      plan.ends.push_back({ExpectedTimeToEnd(attempt, now), attempt.resources});
    }
    std::sort(plan.ends.begin(), plan.ends.end(),
              [](const PlanEnd& a, const PlanEnd& b) { return a.in < b.in; });
  }
  return workers;
}

const std::string* CommonService(const std::vector<PoolWorker*>& ready) {
  const bool common =
      !ready.empty() &&
      std::all_of(ready.begin(), ready.end(), [&](const PoolWorker* worker) {
        return worker->status.service() == ready[0]->status.service();
      });
  return common ? &ready[0]->status.service() : nullptr;
}

bool IsRestricted(const wire::JobOrder& order, uint32_t step_index) {
  const wire::JobStep& step = order.steps(static_cast<int>(step_index));
  return !step.required_label().empty() || !step.data_rack().empty() ||
         step.most_per_worker() > 0;
}

std::vector<PlanMatch> MakePlanMatches(const PoolBoard& board,
                                       const std::vector<PoolWorker*>& ready,
                                       const PoolJob& job,
                                       const TaskName& first) {
  const wire::JobOrder& order = job.order;
  const wire::JobStep& step = order.steps(static_cast<int>(first.step));
  const PoolTask& task = job.steps[first.step].tasks[first.index];
  std::vector<PlanMatch> matches;
  bool limited = false;
  const StartBinding* binding = FindBinding(board, first);
  for (const PoolWorker* worker : ready) {
    PlanMatch match{UINT32_MAX, false};
    const bool bound_elsewhere =
        binding != nullptr && binding->worker != worker->status.id();
    if (bound_elsewhere || !Matches(*worker, order, step)) {
      match.most = 0;
    } else if (step.most_per_worker() > 0) {
      const uint32_t attempts =
          CountAttemptsOfStep(*worker, order.job_id(), first.step);
      match.most =
          step.most_per_worker() - std::min(attempts, step.most_per_worker());
    }
    // A worker's rack is one of its labels.
    match.avoid =
        (!task.last_worker.empty() &&
         worker->status.id() == task.last_worker) ||
        (!step.data_rack().empty() && !HasLabel(*worker, step.data_rack()));
    limited = limited || match.most != UINT32_MAX || match.avoid;
    matches.push_back(match);
  }
  if (!limited) {
    matches.clear();
  }
  return matches;
}

PlanTask MakePlanTask(const PoolJob& job,
                      uint32_t step,
                      uint32_t count,
                      Micros now) {
  PlanTask task;
  task.job = job.sequence;
  task.count = count;
  task.required = ResourcesOf(job.order.steps(static_cast<int>(step)));
  task.run_time = job.steps[step].expected_run_time;
  task.latest_start = LatestStart(job) - now;
  task.lateness = job.expected_lateness;
  task.rank = job.rank;
  task.begun = job.started;
  task.startable = job.start_permitted;
  return task;
}

}  // namespace goldcrest
