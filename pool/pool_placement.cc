#include "pool/pool_placement.h"

#include <algorithm>
#include <tuple>

#include "pool/pool_jobs.h"
#include "pool/worker_health.h"
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
// Maximum number of slots that are counted on one worker: a task may require
// almost no resources.
constexpr int64_t kMaxSlotsPerWorker = 64;
// Weight of a new attempt in the exponential averages of the run times.
constexpr double kNewSampleWeight = 0.05;
// Measured ratios are clamped to these bounds before they enter the averages.
constexpr double kMinRatio = 0.4;
constexpr double kMaxRatio = 2.5;

Resources ResourcesOf(const wire::JobStep& step) {
  return {step.cpu_millis(), step.memory_mb(), step.accelerators()};
}

bool HasLabel(const PoolWorker& worker, const std::string& label) {
  const auto& labels = worker.status.labels();
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

// Returns the worker's kind: its first label.
const std::string& KindOf(const PoolWorker& worker) {
  static const std::string no_kind;
  return worker.status.labels_size() > 0 ? worker.status.labels(0) : no_kind;
}

double KindFactor(const PoolBoard& board, const PoolWorker& worker) {
  const auto found = board.run_times.kind_factor.find(KindOf(worker));
  return found == board.run_times.kind_factor.end() ? 1.0 : found->second;
}

// Returns true if starts may be sent to the worker.
bool AcceptsStarts(const PoolWorker& worker, Micros now) {
  return IsInPool(worker) && worker.session == SessionState::kReady &&
         !worker.status.leaving() && worker.clock_ms != 0 &&
         MayTakeTask(worker, now);
}

// Returns true if the worker runs the order's service and has the label that
// the step requires.
bool Matches(const PoolWorker& worker,
             const wire::JobOrder& order,
             const wire::JobStep& step) {
  return worker.status.service() == order.service() &&
         (step.required_label().empty() ||
          HasLabel(worker, step.required_label()));
}

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
                                    const WaitingKey& key) {
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
    offer.run_time_factor = KindFactor(board, *worker);
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
      KindFactor(board, worker));
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

// Estimates the time from now until each slot becomes free. A slot is the CPU
// for one task of `step`; other resources and the maximum number of tasks per
// worker are ignored. Attempts are taken in the order of their names, not of
// their ends.
std::vector<Micros> SlotTimes(const PoolBoard& board,
                              const wire::JobOrder& order,
                              const wire::JobStep& step,
                              Micros now) {
  const Resources required = ResourcesOf(step);
  std::vector<Micros> slots;
  for (const auto& [id, worker] : board.owned) {
    if (!AcceptsStarts(*worker, now) || !Matches(*worker, order, step)) {
      continue;
    }
    int64_t free = FreeCapacity(*worker).cpu_millis;
    const int64_t cpu = std::max<int64_t>(required.cpu_millis, 1);
    const int64_t slot_count =
        std::clamp<int64_t>(free / cpu, 0, kMaxSlotsPerWorker);
    slots.insert(slots.end(), static_cast<size_t>(slot_count), 0);
    free -= slot_count * cpu;
    for (const auto& [name, attempt] : worker->attempts) {
      const Micros end = attempt.sent_at + attempt.expected_run_time - now;
      free += attempt.resources.cpu_millis;
      if (free >= cpu) {
        free -= cpu;
        // The slot of an overdue attempt is not free yet, so its time is not 0.
        slots.push_back(std::max<Micros>(end, kMillisecond));
      }
    }
  }
  return slots;
}

}  // namespace

std::vector<PoolWorker*> ReadyWorkers(const PoolBoard& board, Micros now) {
  std::vector<PoolWorker*> ready;
  for (const auto& [id, worker] : board.owned) {
    if (AcceptsStarts(*worker, now)) {
      ready.push_back(worker);
    }
  }
  return ready;
}

Micros ExpectedRunTime(const PoolBoard& board,
                       const wire::JobOrder& order,
                       const wire::JobStep& step) {
  const auto found = board.run_times.queue_ratio.find(order.queue());
  const double ratio =
      found == board.run_times.queue_ratio.end() ? 1.0 : found->second;
  return static_cast<Micros>(ratio * step.estimate_ms() * kMillisecond);
}

void LearnRunTime(PoolBoard& board,
                  const PoolJob& job,
                  uint32_t step,
                  const PoolWorker& worker,
                  Micros took) {
  const Micros estimate =
      job.order.steps(static_cast<int>(step)).estimate_ms() * kMillisecond;
  if (estimate == 0) {
    return;
  }
  double& ratio =
      board.run_times.queue_ratio.try_emplace(job.order.queue(), 1.0)
          .first->second;
  double& factor = board.run_times.kind_factor.try_emplace(KindOf(worker), 1.0)
                       .first->second;
  const double measured =
      static_cast<double>(took) / static_cast<double>(estimate);
  const double queue_measured =
      std::clamp(measured / factor, kMinRatio, kMaxRatio);
  const double kind_measured =
      std::clamp(measured / ratio, kMinRatio, kMaxRatio);
  ratio += kNewSampleWeight * (queue_measured - ratio);
  factor += kNewSampleWeight * (kind_measured - factor);
}

bool CouldEverRun(const PoolWorker& worker,
                  const wire::JobOrder& order,
                  const wire::JobStep& step) {
  return IsInPool(worker) && Matches(worker, order, step) &&
         step.cpu_millis() <= worker.status.cpu_millis() &&
         step.memory_mb() <= worker.status.memory_mb() &&
         step.accelerators() <= worker.status.accelerators();
}

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
    EligibleWorkers eligible = FindEligibleWorkers(board, ready, job, key);
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

Micros EstimateTimeToEnd(const PoolBoard& board,
                         const PoolJob& job,
                         Micros now) {
  const wire::JobStep& step = job.order.steps(0);
  std::vector<TaskGroup> ahead;
  for (const auto& [key, waiting] : board.waiting) {
    if (std::tie(key.expected_lateness, key.priority, key.objective_at) >
        std::make_tuple(ExpectedLateness::kOnTime, job.order.priority(),
                        job.objective_at)) {
      break;
    }
    ahead.push_back({1, waiting.job->steps[key.step].expected_run_time});
  }
  Micros time_to_end =
      ExpectedEnd(SlotTimes(board, job.order, step, now), ahead,
                  {step.tasks(), job.steps[0].expected_run_time});
  // Later steps are assumed to run one after another without waiting.
  for (size_t i = 1; i < job.steps.size() && time_to_end < kNever; ++i) {
    time_to_end += job.steps[i].expected_run_time;
  }
  return time_to_end;
}

void UpdateLoad(PoolBoard& board, Micros now) {
  wire::PoolLoad load;
  int64_t free = 0;
  int64_t capacity = 0;
  for (const PoolWorker* worker : ReadyWorkers(board, now)) {
    load.set_workers(load.workers() + 1);
    capacity += worker->status.cpu_millis();
    free += std::max<int64_t>(FreeCapacity(*worker).cpu_millis, 0);
  }
  // Of all waiting tasks, in thousandths of a core times milliseconds.
  int64_t cpu_demand = 0;
  for (const auto& [key, waiting] : board.waiting) {
    const PoolJob& job = *waiting.job;
    cpu_demand += job.order.steps(static_cast<int>(key.step)).cpu_millis() *
                  (job.steps[key.step].expected_run_time / kMillisecond);
  }
  load.set_free_cpu_millis(free);
  load.set_capacity_cpu_millis(capacity);
  load.set_wait_ms(cpu_demand / std::max<int64_t>(capacity, 1));
  board.mesh.load = load;
}

}  // namespace goldcrest
