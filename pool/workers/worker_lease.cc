#include "pool/workers/worker_lease.h"

#include <algorithm>

namespace goldcrest {
namespace {

// A run of a job that has ended must be over when the caller sends the job
// again; this and the longest lease are less than that time.
constexpr Micros kStopConfirmTime = 400 * kMillisecond;

// Workers name whole milliseconds.
constexpr Micros kClockResolution = kMillisecond;

// Returns whether the worker has not confirmed for too long to stop a run that
// must end.
bool IsStopOverdue(const WorkerAttempt& run, Micros now) {
  if (run.state != AttemptState::kStopping || !run.job_key.empty()) {
    return false;
  }
  const bool is_unanswered = run.stop_number != 0;
  return now - run.stopping_since > kStopConfirmTime ||
         (run.abandoned && is_unanswered);
}

// Returns half of the longest expected run time on the worker, within bounds.
Micros LeaseDuration(const PoolOptions& options, const PoolWorker& worker) {
  Micros longest = 0;
  for (const auto& [name, attempt] : worker.attempts) {
    longest = std::max(longest, attempt.expected_run_time);
  }
  return std::clamp(longest / 2, options.shortest_lease, options.longest_lease);
}

}  // namespace

uint64_t NextToken(const PoolBoard& board, const PoolWorker& worker) {
  const uint64_t used = std::max(worker.token, worker.status.token());
  return std::max(used + 1, static_cast<uint64_t>(board.wall_ms));
}

void AddLease(const PoolOptions& options,
              PoolWorker& worker,
              WorkerOrder& order,
              Micros now) {
  if (worker.clock_ms == 0) {
    return;
  }
  const Micros lease = LeaseDuration(options, worker);
  order.lease_until_ms =
      worker.clock_ms + (now - worker.clock_at + lease) / kMillisecond;
  // The worker's clock may have run slow since it was read, and may run slow
  // until the lease expires.
  const int64_t slowest_percent = 100 - options.clock_drift_percent;
  const Micros lost_since_reading =
      (now - worker.clock_at) * options.clock_drift_percent / 100;
  const Micros longest = (lease + lost_since_reading) * 100 / slowest_percent;
  worker.lease_expires_at =
      std::max(worker.lease_expires_at, now + longest + options.lease_slack);
}

Micros LongestLeaseEnd(const PoolOptions& options, Micros now) {
  return now + options.lease_slack +
         options.late_orders.longest_granted_lease * 100 /
             (100 - options.clock_drift_percent);
}

Micros LateOrderEnd(const PoolOptions& options, Micros sent_at) {
  return LongestLeaseEnd(options,
                         sent_at + options.late_orders.longest_order_delay);
}

bool IsOnSameClock(const PoolOptions& options,
                   const PoolWorker& worker,
                   const WorkerAnswer& answer) {
  if (answer.clock_ms == 0 || worker.clock_ms == 0) {
    return true;
  }
  // This clock was read after the order was sent, however late its answer is
  // handled here. The last reading was made by the time when it was handled.
  const Micros between = answer.order.sent_at - worker.clock_at;
  const Micros least =
      between < 0 ? between
                  : between * (100 - options.clock_drift_percent) / 100;
  return answer.clock_ms * kMillisecond + kClockResolution >=
         worker.clock_ms * kMillisecond + least;
}

bool MayExtendLease(const PoolWorker& worker, Micros now) {
  const bool second_run = worker.second_run_at != 0 &&
                          now - worker.second_run_at < kStopConfirmTime;
  return !second_run &&
         std::none_of(worker.attempts.begin(), worker.attempts.end(),
                      [&](const auto& entry) {
                        const WorkerAttempt& run = entry.second;
                        return run.unknown || IsStopOverdue(run, now);
                      });
}

WorkerOrder MakeOrder(const PoolBoard& board,
                      const PoolWorker& worker,
                      OrderKind kind,
                      Micros now) {
  WorkerOrder order;
  order.kind = kind;
  order.worker = worker.status.id();
  order.address = worker.status.address();
  order.token = worker.token;
  order.session = worker.session_number;
  order.timeout = board.options.order_timeout;
  order.sent_at = now;
  return order;
}

WorkerOrder MakeLeaseRenewal(const PoolBoard& board,
                             PoolWorker& worker,
                             int64_t wait_ms,
                             Micros now) {
  WorkerOrder order = MakeOrder(board, worker, OrderKind::kRenew, now);
  // Another process may answer, whose ends are not to be forgotten.
  order.acknowledged_end = worker.session == SessionState::kReconciling
                               ? 0
                               : worker.newest_processed_end;
  order.wait_ms = wait_ms;
  order.timeout += wait_ms * kMillisecond;
  // The lease of a worker that cannot be reconciled must expire, so that its
  // attempts end.
  if (!worker.attempts.empty() &&
      worker.session != SessionState::kReconciling &&
      MayExtendLease(worker, now)) {
    AddLease(board.options, worker, order, now);
  }
  return order;
}

}  // namespace goldcrest
