#include "pool/pool_stop.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pool/jobs/job_end.h"
#include "pool/jobs/job_forwarding.h"
#include "pool/jobs/pool_jobs.h"
#include "pool/placement/end_estimate.h"
#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

// Time before the process is killed that is kept for its last messages and its
// exit, but no more than one part in kReserveDivisor of the grace time.
constexpr Micros kStopReserve = 700 * kMillisecond;
constexpr int kReserveDivisor = 4;
// A review of the waiting jobs, which begins with the last one of the queue,
// stops after this many jobs that stay: those ahead of them end earlier.
constexpr size_t kMaxStayingJobs = 16;

// Returns the keys of the jobs that have not started, the last one of the queue
// first.
std::vector<std::string> UnstartedFromLast(const PoolBoard& board) {
  std::vector<std::string> keys;
  std::set<uint64_t> seen;
  for (auto it = board.waiting.rbegin(); it != board.waiting.rend(); ++it) {
    const PoolJob& job = *it->second.job;
    if (!job.started && seen.insert(job.sequence).second) {
      keys.push_back(job.key);
    }
  }
  return keys;
}

// Returns whether a job that has not started should be sent to another daemon:
// it cannot end here in time, or it has to wait here and need not elsewhere.
bool IsBetterElsewhere(PoolBoard& board,
                       const PoolJob& job,
                       Micros end_by,
                       Micros now) {
  const Micros time_to_end = EstimateTimeToEnd(board, job, now);
  if (time_to_end > end_by - now) {
    return true;
  }
  return time_to_end > RemainingSequentialRunTime(job) * 5 / 4 &&
         BookNeighbourWithCapacity(board, job.order, now);
}

void HandOverWaitingJobs(PoolBoard& board,
                         Micros end_by,
                         Micros now,
                         PoolActions& actions) {
  size_t staying = 0;
  for (const std::string& key : UnstartedFromLast(board)) {
    if (staying >= kMaxStayingJobs) {
      return;
    }
    if (IsBetterElsewhere(board, *FindPoolJob(board, key), end_by, now)) {
      EndJob(board, key, wire::JOB_REFUSED, "daemon_stops", now, actions);
    } else {
      ++staying;
    }
  }
}

void EndAllJobs(PoolBoard& board, Micros now, PoolActions& actions) {
  std::vector<std::pair<std::string, wire::JobFate>> ending;
  for (const auto& [key, job] : board.jobs) {
    ending.emplace_back(key,
                        job->started ? wire::JOB_UNKNOWN : wire::JOB_REFUSED);
  }
  for (const auto& [key, fate] : ending) {
    EndJob(board, key, fate, "daemon_stops", now, actions);
  }
}

bool HasTaskIn(const PoolJob& job, TaskPhase phase) {
  return std::any_of(
      job.steps.begin(), job.steps.end(), [&](const PoolJobStep& step) {
        return std::any_of(
            step.tasks.begin(), step.tasks.end(),
            [&](const PoolTask& task) { return task.phase == phase; });
      });
}

// Returns whether the worker starts tasks, or is likely to do so soon.
bool MayStartTasks(const PoolBoard& board,
                   const PoolWorker& worker,
                   Micros now) {
  return worker.session == SessionState::kReady ||
         (worker.session == SessionState::kReconciling &&
          now - worker.reconciling_since <= board.options.reconcile_timeout);
}

// Ends the started jobs with waiting tasks if this daemon has no worker left
// that can start them.
void EndJobsWithoutWorkers(PoolBoard& board, Micros now, PoolActions& actions) {
  const bool has_workers = std::any_of(
      board.owned.begin(), board.owned.end(), [&](const auto& entry) {
        return MayStartTasks(board, *entry.second, now);
      });
  if (has_workers) {
    return;
  }
  std::vector<std::string> ending;
  for (const auto& [key, job] : board.jobs) {
    if (job->started && HasTaskIn(*job, TaskPhase::kWaiting)) {
      ending.push_back(key);
    }
  }
  for (const std::string& key : ending) {
    EndJob(board, key, wire::JOB_UNKNOWN, "daemon_stops", now, actions);
  }
}

// Returns whether tasks wait, or will wait when earlier steps are done.
bool NeedsMoreStarts(const PoolBoard& board) {
  return std::any_of(board.jobs.begin(), board.jobs.end(),
                     [](const auto& entry) {
                       return HasTaskIn(*entry.second, TaskPhase::kWaiting) ||
                              HasTaskIn(*entry.second, TaskPhase::kHeld) ||
                              HasTaskIn(*entry.second, TaskPhase::kBlocked);
                     });
}

void ReleaseReadyWorkers(PoolBoard& board, Micros now, PoolActions& actions) {
  for (PoolWorker* worker : OwnedWorkers(board)) {
    if (worker->session == SessionState::kReady) {
      worker->session = SessionState::kReleasing;
      SessionTick(board, *worker, now, actions);
    }
  }
}

}  // namespace

Micros StopEndsBy(Micros started_at, Micros grace) {
  return started_at + grace - std::min(kStopReserve, grace / kReserveDivisor);
}

bool PoolStopTick(PoolBoard& board,
                  Micros end_by,
                  Micros now,
                  PoolActions& actions) {
  if (now >= end_by) {
    EndAllJobs(board, now, actions);
  } else {
    HandOverWaitingJobs(board, end_by, now, actions);
    EndJobsWithoutWorkers(board, now, actions);
  }
  if (!NeedsMoreStarts(board)) {
    ReleaseReadyWorkers(board, now, actions);
  }
  return board.jobs.empty() && board.owned.empty();
}

}  // namespace goldcrest
