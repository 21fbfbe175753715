#include "pool/pool_placement.h"

#include <algorithm>

#include "pool/choose_worker.h"
#include "pool/pool_jobs.h"
#include "pool/run_times.h"
#include "pool/task_requirements.h"
#include "pool/worker_health.h"
#include "pool/worker_profile.h"
#include "pool/worker_session.h"

namespace goldcrest {
namespace {

// Placement stops after this many waiting tasks for which no worker has free
// capacity; the rest of the queue waits for the next placement.
constexpr int kMaxUnplacedTasks = 12;
// Start permissions are requested for this many waiting tasks at the head of
// the queue, so that they have arrived when capacity becomes free.
constexpr int kMaxPermissionRequests = 16;
// Placement stops after this many waiting tasks without a start permission; the
// rest of the queue waits for the next placement.
constexpr int kMaxUnpermittedTasks = 200;
// Returns the number of attempts of the step on the worker.
uint32_t CountAttemptsOfStep(const PoolWorker& worker,
                             const std::string& job_id,
                             uint32_t step) {
  uint32_t count = 0;
  for (const auto& [name, attempt] : worker.attempts) {
    count += name.job_id == job_id && name.step == step ? 1 : 0;
  }
  return count;
}

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
    if (full || !Matches(*worker, job.order, step)) {
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

void StartTaskOn(PoolBoard& board,
                 PoolWorker& worker,
                 PoolJob& job,
                 const WaitingKey& key,
                 Micros now,
                 PoolActions& actions) {
  PoolTask& task = job.steps[key.step].tasks[key.index];
  task.phase = TaskPhase::kRunning;
  task.worker = worker.status.id();
  ++task.attempt_count;
  if (!job.started) {
    job.started = true;
    job.first_start_at = now;
  }
  WorkerAttempt attempt;
  attempt.job_key = job.key;
  attempt.attempt_number = task.attempt_count;
  attempt.resources = ResourcesOf(job.order.steps(static_cast<int>(key.step)));
  attempt.sent_at = now;
  attempt.expected_run_time = static_cast<Micros>(
      static_cast<double>(job.steps[key.step].expected_run_time) *
      RunTimeFactor(board, worker));
  LogPoolEvent(
      actions, LogLevel::kInfo, "task_started",
      {{"job", job.order.job_id()},
       {"step", std::to_string(key.step)},
       {"index", std::to_string(key.index)},
       {"run", std::to_string(attempt.attempt_number)},
       {"worker", task.worker},
       {"token", std::to_string(worker.token)},
       {"waited_ms", std::to_string((now - job.received_at) / kMillisecond)},
       {"expected_ms",
        std::to_string(attempt.expected_run_time / kMillisecond)},
       {"free_cpu", std::to_string(FreeCapacity(worker).cpu_millis)},
       {"clock_ms_old",
        std::to_string((now - worker.clock_at) / kMillisecond)}});
  StartAttempt(board, worker, {job.order.job_id(), 0, key.step, key.index},
               attempt, job.order.spec(), now, actions);
}

// Returns true if even half of the task's expected run time would end after the
// job's deadline.
bool IsTooLateToStart(const PoolJob& job, uint32_t step, Micros now) {
  return now + job.steps[step].expected_run_time / 2 > job.deadline;
}

}  // namespace

void PlaceWaitingTasks(PoolBoard& board, Micros now, PoolActions& actions) {
  if (!board.placement_due || board.waiting.empty()) {
    return;
  }
  board.placement_due = false;
  std::vector<PoolWorker*> ready = ReadyWorkers(board, now);
  int unplaced_tasks = 0;
  int unpermitted_tasks = 0;
  auto position = board.waiting.begin();
  while (position != board.waiting.end() &&
         unplaced_tasks < kMaxUnplacedTasks &&
         unpermitted_tasks < kMaxUnpermittedTasks) {
    const WaitingKey key = position->first;
    PoolJob& job = *position->second.job;
    if (IsTooLateToStart(job, key.step, now)) {
      EndJob(board, job.key,
             job.started ? wire::JOB_TIMED_OUT : wire::JOB_REFUSED,
             "no_time_left", now, actions);
      // EndJob() has erased the job's tasks, so the iterator is invalid.
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
    StartTaskOn(board, *eligible.workers[*chosen], job, key, now, actions);
    std::erase_if(ready, [&](PoolWorker* worker) {
      return !AcceptsStarts(*worker, now);
    });
  }
}

}  // namespace goldcrest
