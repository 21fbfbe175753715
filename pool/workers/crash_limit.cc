#include "pool/workers/crash_limit.h"

#include <algorithm>

#include "pool/placement/choose_worker.h"
#include "pool/placement/placement_input.h"
#include "pool/placement/task_requirements.h"
#include "pool/workers/start_bindings.h"

namespace goldcrest {
namespace {

// A queue is crash-prone when this many workers crashed under it within the
// retention of its crashes: one alone may have had other causes.
constexpr size_t kCrashesOfCrashProne = 2;
// Time that is assumed until a worker is back that is overdue.
constexpr Micros kOverdueReturn = 200 * kMillisecond;

// Returns how many workers may be away because of crash-prone queues. A worker
// that crashed counts as owned until its successor reports.
size_t MaxAway(const PoolBoard& board) {
  const auto percent =
      static_cast<size_t>(board.options.crashes.max_away_percent);
  return std::max<size_t>(board.owned.size() * percent / 100, 1);
}

size_t CountRunningSuspects(const PoolBoard& board) {
  return static_cast<size_t>(std::count_if(
      board.owned.begin(), board.owned.end(), [](const auto& entry) {
        const auto& attempts = entry.second->attempts;
        return !entry.second->loss.concluded && !attempts.empty() &&
               attempts.begin()->second.alone;
      }));
}

// Returns the time until the worker's last attempt is expected to end.
Micros TimeToIdle(const PoolWorker& worker, Micros now) {
  Micros longest = 0;
  for (const auto& [name, attempt] : worker.attempts) {
    longest = std::max(longest, ExpectedTimeToEnd(attempt, now));
  }
  return longest;
}

// Returns whether the worker, when it is idle, could run the task.
bool CouldHold(const PoolBoard& board,
               const PoolWorker& worker,
               const PoolJob& job,
               const WaitingKey& key) {
  const wire::JobStep& step = job.order.steps(static_cast<int>(key.step));
  const PoolTask& task = job.steps[key.step].tasks[key.index];
  const TaskName name{job.order.job_id(), 0, key.step, key.index};
  return FitsWhenIdle(worker, job.order, step) &&
         MayStartOn(board, name, worker) &&
         (worker.status.id() != task.last_worker ||
          IsBoundTo(board, name, worker.status.id()));
}

}  // namespace

bool IsCrashProne(const CrashLedger& ledger, const std::string& queue) {
  const auto found = ledger.queue_crashes.find(queue);
  return found != ledger.queue_crashes.end() &&
         found->second.size() >= kCrashesOfCrashProne;
}

Micros CrashLimitEndsIn(const PoolBoard& board,
                        const std::string& queue,
                        Micros now) {
  if (!IsCrashProne(board.crashes, queue)) {
    return 0;
  }
  std::vector<Micros> returns;
  for (const auto& [address, worker] : board.crashes.away) {
    const bool counts =
        worker.failure_domain == board.mesh.options.failure_domain &&
        IsCrashProne(board.crashes, worker.queue);
    if (counts) {
      returns.push_back(std::max(worker.lost_at + board.crashes.outage - now,
                                 kOverdueReturn));
    }
  }
  // A suspect that runs now may be the next to crash its worker.
  returns.insert(returns.end(), CountRunningSuspects(board),
                 board.crashes.outage);
  const size_t most = MaxAway(board);
  if (returns.size() < most) {
    return 0;
  }
  const auto enough =
      returns.begin() + static_cast<std::ptrdiff_t>(returns.size() - most);
  std::nth_element(returns.begin(), enough, returns.end());
  return *enough;
}

std::set<std::string> CrashLimitedQueues(const PoolBoard& board, Micros now) {
  std::set<std::string> queues;
  for (const auto& [queue, times] : board.crashes.queue_crashes) {
    if (CrashLimitEndsIn(board, queue, now) > 0) {
      queues.insert(queue);
    }
  }
  return queues;
}

bool RunsCrashProneTask(const PoolBoard& board, const PoolWorker& worker) {
  return std::any_of(
      worker.attempts.begin(), worker.attempts.end(), [&](const auto& entry) {
        const auto job = board.jobs.find(entry.second.job_key);
        return job != board.jobs.end() &&
               IsCrashProne(board.crashes, job->second->order.queue());
      });
}

SuspectPlacement PlaceSuspect(const PoolBoard& board,
                              const std::vector<PoolWorker*>& ready,
                              const PoolJob& job,
                              const WaitingKey& key,
                              Micros now) {
  SuspectPlacement best;
  Micros best_time = 0;
  for (PoolWorker* worker : ready) {
    if (worker->held_for_suspect || !CouldHold(board, *worker, job, key)) {
      continue;
    }
    if (worker->attempts.empty()) {
      const bool smaller =
          best.start_on == nullptr ||
          worker->status.cpu_millis() < best.start_on->status.cpu_millis();
      best.start_on = smaller ? worker : best.start_on;
      continue;
    }
    const Micros time = TimeToIdle(*worker, now);
    if (best.hold == nullptr || time < best_time) {
      best.hold = worker;
      best_time = time;
    }
  }
  best.hold = best.start_on != nullptr ? nullptr : best.hold;
  return best;
}

void CrashTick(PoolBoard& board, Micros now) {
  ForgetOldCrashes(board.crashes, now);
}

}  // namespace goldcrest
