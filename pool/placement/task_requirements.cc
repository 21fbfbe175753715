#include "pool/placement/task_requirements.h"

#include <algorithm>

#include "pool/placement/choose_worker.h"
#include "pool/workers/worker_health.h"
#include "pool/workers/worker_lease.h"

namespace goldcrest {

Resources ResourcesOf(const wire::JobStep& step) {
  return {step.cpu_millis(), step.memory_mb(), step.accelerators()};
}

bool HasLabel(const PoolWorker& worker, const std::string& label) {
  const auto& labels = worker.status.labels();
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

namespace {

// Returns whether the worker is left to one task under which workers have
// crashed before, or to tasks of unknown size until they have ended.
bool IsKeptAlone(const PoolWorker& worker) {
  return worker.held_for_suspect ||
         std::any_of(worker.attempts.begin(), worker.attempts.end(),
                     [](const auto& entry) {
                       return entry.second.alone || entry.second.unknown;
                     });
}

}  // namespace

StartObstacle ObstacleToStarts(const PoolWorker& worker, Micros now) {
  if (!IsInPool(worker)) {
    return StartObstacle::kGone;
  }
  if (worker.session != SessionState::kReady) {
    return worker.session == SessionState::kReleasing
               ? StartObstacle::kReleasing
               : StartObstacle::kReconciling;
  }
  if (worker.status.leaving()) {
    return StartObstacle::kLeaving;
  }
  if (worker.clock_ms == 0 || worker.unreported) {
    return StartObstacle::kUnreported;
  }
  if (!MayExtendLease(worker, now)) {
    return StartObstacle::kLeaseNotExtended;
  }
  if (!MayTakeTask(worker, now)) {
    return StartObstacle::kFailing;
  }
  return IsKeptAlone(worker) ? StartObstacle::kSuspect : StartObstacle::kNone;
}

bool AcceptsStarts(const PoolWorker& worker, Micros now) {
  return ObstacleToStarts(worker, now) == StartObstacle::kNone;
}

UnusableCpu CountUnusableCpu(const PoolBoard& board, Micros now) {
  UnusableCpu result;
  for (const auto& [id, worker] : board.owned) {
    const StartObstacle obstacle = ObstacleToStarts(*worker, now);
    if (obstacle == StartObstacle::kNone) {
      continue;
    }
    result.idle[obstacle] +=
        std::max<int64_t>(FreeCapacity(*worker).cpu_millis, 0);
    if (worker->session == SessionState::kReconciling) {
      result.silent_runs += worker->used_resources.cpu_millis;
    }
  }
  return result;
}

bool Matches(const PoolWorker& worker,
             const wire::JobOrder& order,
             const wire::JobStep& step) {
  return worker.status.service() == order.service() &&
         (step.required_label().empty() ||
          HasLabel(worker, step.required_label()));
}

bool CouldEverRun(const PoolWorker& worker,
                  const wire::JobOrder& order,
                  const wire::JobStep& step) {
  return IsInPool(worker) && Matches(worker, order, step) &&
         Fits(ResourcesOf(step), worker.largest_capacity);
}

bool FitsWhenIdle(const PoolWorker& worker,
                  const wire::JobOrder& order,
                  const wire::JobStep& step) {
  const Resources capacity = {worker.status.cpu_millis(),
                              worker.status.memory_mb(),
                              worker.status.accelerators()};
  return IsInPool(worker) && Matches(worker, order, step) &&
         Fits(ResourcesOf(step), capacity);
}

std::vector<PoolWorker*> ReadyWorkers(const PoolBoard& board, Micros now) {
  std::vector<PoolWorker*> ready;
  for (const auto& [id, worker] : board.owned) {
    if (AcceptsStarts(*worker, now)) {
      ready.push_back(worker);
    }
  }
  return ready;
}

}  // namespace goldcrest
