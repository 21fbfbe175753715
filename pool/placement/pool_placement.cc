#include "pool/placement/pool_placement.h"

#include <algorithm>

#include "pool/jobs/pool_jobs.h"
#include "pool/placement/choose_worker.h"
#include "pool/placement/placement_input.h"
#include "pool/placement/placement_start.h"
#include "pool/placement/task_requirements.h"
#include "pool/workers/crash_limit.h"
#include "pool/workers/run_times.h"
#include "pool/workers/start_bindings.h"
#include "pool/workers/worker_health.h"
#include "pool/workers/worker_profile.h"
#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

using detail::CheckCrashLimit;
using detail::CrashVerdict;
using detail::EndIfTooLate;
using detail::IsSuspectTask;
using detail::kMaxUnpermittedTasks;
using detail::PlaceWithLookahead;
using detail::StartTaskOn;

// Placement stops after this many waiting tasks for which no worker has free
// capacity; the rest of the queue waits for the next placement.
constexpr int kMaxUnplacedTasks = 12;
// Start permissions are requested for this many waiting tasks at the head of
// the queue, so that they have arrived when capacity becomes free.
constexpr int kMaxPermissionRequests = 16;

// The workers that could run a task now, and the properties by which
// ChooseWorker() compares them; both vectors have the same order.
struct EligibleWorkers {
  std::vector<PoolWorker*> workers;
  std::vector<WorkerOffer> offers;
};

EligibleWorkers FindEligibleWorkers(PoolBoard& board,
                                    const std::vector<PoolWorker*>& ready,
                                    const PoolJob& job,
                                    const WaitingKey& key,
                                    Micros now) {
  const wire::JobStep& step = job.order.steps(static_cast<int>(key.step));
  const PoolTask& task = job.steps[key.step].tasks[key.index];
  const TaskName name{job.order.job_id(), 0, key.step, key.index};
  const Resources required = ResourcesOf(step);
  EligibleWorkers result;
  for (PoolWorker* worker : ready) {
    // Checked first because it is cheap and under heavy load excludes most
    // workers.
    if (!Fits(required, FreeCapacity(*worker))) {
      continue;
    }
    const bool full = step.most_per_worker() > 0 &&
                      CountAttemptsOfStep(*worker, job.order.job_id(),
                                          key.step) >= step.most_per_worker();
    if (full || !Matches(*worker, job.order, step) ||
        !MayStartOn(board, name, *worker)) {
      continue;
    }
    WorkerOffer offer;
    offer.free = FreeCapacity(*worker);
    // A worker's rack is one of its labels.
    offer.near_data =
        step.data_rack().empty() || HasLabel(*worker, step.data_rack());
    offer.suspect =
        IsSuspect(*worker) || worker->status.id() == task.last_worker;
    offer.run_time_factor = SpeedRank(board, job, key.step, *worker, now);
    result.workers.push_back(worker);
    result.offers.push_back(offer);
  }
  return result;
}

// At most this many workers are held at a time for suspects that wait.
constexpr int kMaxHeldWorkers = 2;

// Starts the waiting suspects that have a worker to themselves, and holds
// workers for the others.
void PlaceSuspects(PoolBoard& board, Micros now, PoolActions& actions) {
  for (const auto& [id, worker] : board.owned) {
    worker->held_for_suspect = false;
  }
  if (board.crashes.jobs.empty()) {
    return;
  }
  int held = 0;
  auto position = board.waiting.begin();
  while (position != board.waiting.end()) {
    const WaitingKey key = position->first;
    PoolJob& job = *position->second.job;
    if (!IsSuspectTask(board, job, key) || !job.start_permitted) {
      ++position;
      continue;
    }
    if (EndIfTooLate(board, job, key, now, actions)) {
      position = board.waiting.lower_bound(key);
      continue;
    }
    if (IsUndecided(board.crashes, board.options.crashes,
                    {job.order.job_id(), 0, key.step, key.index})) {
      ++position;
      continue;
    }
    const SuspectPlacement placement =
        PlaceSuspect(board, ReadyWorkers(board, now), job, key, now);
    if (placement.start_on != nullptr) {
      position = board.waiting.erase(position);
      StartTaskOn(board, *placement.start_on, job, key, false, now, actions);
      continue;
    }
    if (placement.hold != nullptr && held < kMaxHeldWorkers) {
      placement.hold->held_for_suspect = true;
      ++held;
    }
    ++position;
  }
}

}  // namespace

void PlaceWaitingTasks(PoolBoard& board, Micros now, PoolActions& actions) {
  if (!board.placement_due) {
    return;
  }
  PlaceSuspects(board, now, actions);
  if (board.waiting.empty()) {
    return;
  }
  board.placement_due = false;
  ++board.counters.plans;
  if (board.options.features.placement_lookahead) {
    PlaceWithLookahead(board, now, actions);
    return;
  }
  std::vector<PoolWorker*> ready = ReadyWorkers(board, now);
  int unplaced_tasks = 0;
  int unpermitted_tasks = 0;
  auto position = board.waiting.begin();
  while (position != board.waiting.end() &&
         unplaced_tasks < kMaxUnplacedTasks &&
         unpermitted_tasks < kMaxUnpermittedTasks) {
    const WaitingKey key = position->first;
    PoolJob& job = *position->second.job;
    if (EndIfTooLate(board, job, key, now, actions)) {
      // The job's tasks are erased, so the iterator is invalid.
      position = board.waiting.lower_bound(key);
      continue;
    }
    const CrashVerdict verdict = CheckCrashLimit(board, job, key, now, actions);
    if (verdict == CrashVerdict::kJobEnded) {
      position = board.waiting.lower_bound(key);
      continue;
    }
    if (!job.start_permitted) {
      if (unpermitted_tasks++ < kMaxPermissionRequests) {
        RequestStartPermission(job, now, actions);
      }
      ++position;
      continue;
    }
    if (verdict == CrashVerdict::kWait) {
      ++position;
      continue;
    }
    EligibleWorkers eligible = FindEligibleWorkers(board, ready, job, key, now);
    const Resources required =
        ResourcesOf(job.order.steps(static_cast<int>(key.step)));
    const std::optional<size_t> chosen =
        ChooseWorker(eligible.offers, required);
    if (!chosen) {
      ++unplaced_tasks;
      ++position;
      continue;
    }
    position = board.waiting.erase(position);
    StartTaskOn(board, *eligible.workers[*chosen], job, key, false, now,
                actions);
    std::erase_if(ready, [&](PoolWorker* worker) {
      return !AcceptsStarts(*worker, now);
    });
  }
}

}  // namespace goldcrest
