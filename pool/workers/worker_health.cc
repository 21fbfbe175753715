#include "pool/workers/worker_health.h"

#include <algorithm>

namespace goldcrest {
namespace {

// An attempt whose run time was less than this multiple of its expected run
// time was not slow, as far as the estimates allow to judge.
constexpr int kNotSlowFactor = 2;

}  // namespace

bool RecordFailure(PoolWorker& worker,
                   Micros now,
                   const HealthOptions& options) {
  WorkerHealth& health = worker.health;
  ++health.failures_in_row;
  const bool ejected =
      health.probation || health.failures_in_row >= options.failures_to_eject;
  if (!ejected || now < health.ejected_until) {
    return false;
  }
  const Micros duration =
      std::min(options.first_ejection << std::min(health.ejections, 8),
               options.longest_ejection);
  ++health.ejections;
  health.ejected_until = now + duration;
  health.probation = true;
  return true;
}

void RecordSuccess(PoolWorker& worker, Micros run_time, Micros expected) {
  if (run_time != 0 && run_time < kNotSlowFactor * expected) {
    worker.health.slow = false;
    worker.health.slow_evidence = 0;
    worker.health.slow_evidence_jobs.clear();
  }
  worker.health.failures_in_row = 0;
  worker.health.ejections = 0;
  worker.health.probation = false;
  worker.health.ejected_until = 0;
}

bool IsSuspect(const PoolWorker& worker) {
  return worker.health.failures_in_row > 0 || worker.health.slow;
}

bool MayTakeTask(const PoolWorker& worker, Micros now) {
  if (now < worker.health.ejected_until) {
    return false;
  }
  return !worker.health.probation || worker.attempts.empty();
}

}  // namespace goldcrest
