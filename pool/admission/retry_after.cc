#include "pool/admission/retry_after.h"

#include <algorithm>
#include <functional>

#include "pool/admission/overload_control.h"
#include "pool/jobs/job_end.h"
#include "pool/jobs/pool_jobs.h"
#include "pool/placement/choose_worker.h"

namespace goldcrest {
namespace {

// Returning work is given at least this part of the capacity: under overload,
// the jobs that arrive for the first time take all of it, but a caller that has
// waited must not be refused for that reason again and again.
constexpr double kLeastReturnShare = 0.25;
// Returns are booked by intervals of this length: short enough to spread a
// wave, long enough for a table of 100 entries.
constexpr Micros kReturnInterval = 100 * kMillisecond;
// An entry daemon spreads its own refusals over this time.
constexpr int64_t kEntrySpreadMs = 3000;
constexpr Micros kShortestRetryAfter = kShortestRetryAfterMs * kMillisecond;
constexpr Micros kLongestRetryAfter = kLongestRetryAfterMs * kMillisecond;

// Returns the CPU of the workers that this daemon owns, or its part of all
// known workers while it owns none, as after its restart.
double CapacityCpuMillis(const PoolBoard& board) {
  if (board.mesh.load.capacity_cpu_millis() > 0) {
    return static_cast<double>(board.mesh.load.capacity_cpu_millis());
  }
  int64_t cpu = 0;
  for (const auto& [id, worker] : board.workers) {
    cpu += IsInPool(worker) ? worker.status.cpu_millis() : 0;
  }
  const auto daemons = std::count_if(
      board.mesh.members.begin(), board.mesh.members.end(),
      [](const auto& entry) { return entry.second.last_heartbeat.control(); });
  return std::max(static_cast<double>(cpu) / static_cast<double>(daemons + 1),
                  1.0);
}

ReturnTimes ReturnTimesOf(const PoolBoard& board,
                          const wire::JobOrder& order,
                          Micros time_to_end,
                          Micros now) {
  ReturnTimes times;
  Micros run_time = 0;
  for (const wire::JobStep& step : order.steps()) {
    run_time += step.estimate_ms() * kMillisecond;
    times.work += static_cast<double>(step.tasks()) * step.cpu_millis() *
                  static_cast<double>(step.estimate_ms() * kMillisecond);
  }
  times.wait = time_to_end >= kNever ? 0 : time_to_end - run_time;
  const double capacity = CapacityCpuMillis(board);
  times.rate_cpu_millis = std::max(capacity - OfferedCpuMillis(board, now),
                                   capacity * kLeastReturnShare);
  return times;
}

}  // namespace

Micros BookReturn(const ReturnTimes& times,
                  Micros now,
                  std::map<Micros, Micros>& returns) {
  returns.erase(returns.begin(), returns.lower_bound(now));
  const Micros latest = now + kLongestRetryAfter;
  const Micros earliest =
      std::clamp(now + times.wait, now + kShortestRetryAfter, latest);
  const Micros first = earliest - earliest % kReturnInterval;
  Micros chosen = first;
  for (Micros start = first; start < latest; start += kReturnInterval) {
    if (returns[start] / kReturnInterval < returns[chosen] / kReturnInterval) {
      chosen = start;
    }
  }
  const Micros return_at = chosen + returns[chosen] % kReturnInterval;
  auto needed =
      static_cast<Micros>(std::min(times.work / times.rate_cpu_millis,
                                   static_cast<double>(kLongestRetryAfter)));
  // What does not fit into the interval takes time of the next ones.
  for (Micros start = chosen; needed > 0 && start <= latest;
       start += kReturnInterval) {
    Micros& booked = returns[start];
    const Micros part =
        std::min(needed, kReturnInterval - booked % kReturnInterval);
    booked += part;
    needed -= part;
  }
  return std::clamp(return_at, earliest, latest) - now;
}

int64_t RetryAfterMs(PoolBoard& board,
                     const wire::JobOrder& order,
                     Micros time_to_end,
                     Micros now) {
  if (!board.options.features.overload_control) {
    const Micros budget = order.budget_ms() * kMillisecond;
    return std::clamp((time_to_end - budget) / kMillisecond,
                      kShortestRetryAfterMs, kLongestRetryAfterMs);
  }
  return BookReturn(ReturnTimesOf(board, order, time_to_end, now), now,
                    board.overload.returns) /
         kMillisecond;
}

int64_t RetryAfterMs(PoolBoard& board, const PoolJob& job, Micros now) {
  if (!board.options.features.overload_control) {
    return kShortestRetryAfterMs;
  }
  const Micros wait = board.mesh.load.wait_ms() * kMillisecond;
  return RetryAfterMs(board, job.order, wait + RemainingSequentialRunTime(job),
                      now);
}

int64_t EntryRetryAfterMs(const PoolFeatures& features,
                          int64_t shortest_ms,
                          const std::string& job_id) {
  if (!features.overload_control) {
    return shortest_ms;
  }
  const auto hash =
      static_cast<int64_t>(std::hash<std::string>()(job_id) % kEntrySpreadMs);
  return shortest_ms + hash;
}

}  // namespace goldcrest
