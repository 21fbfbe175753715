#include "pool/placement/end_estimate.h"

#include <algorithm>

#include "pool/jobs/task_queue.h"
#include "pool/placement/choose_worker.h"
#include "pool/placement/task_requirements.h"
#include "pool/workers/crash_limit.h"
#include "pool/workers/worker_profile.h"

namespace goldcrest {
namespace {

// Maximum number of slots that are counted on one worker: a task may require
// almost no resources.
constexpr int64_t kMaxSlotsPerWorker = 64;

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

Micros Scaled(Micros duration, double factor) {
  return static_cast<Micros>(static_cast<double>(duration) * factor);
}

}  // namespace

Micros EstimateTimeToEnd(const PoolBoard& board,
                         const PoolJob& job,
                         Micros now) {
  const wire::JobStep& step = job.order.steps(0);
  const double factor = AverageFactor(board, job.order, step, now);
  std::vector<TaskGroup> ahead;
  const std::set<std::string> limited = CrashLimitedQueues(board, now);
  for (const auto& [key, waiting] : board.waiting) {
    // The job's tasks come after those of earlier jobs with an equal key.
    if (key > WaitingKeyOf(job, 0, 0)) {
      break;
    }
    if (limited.contains(waiting.job->order.queue())) {
      continue;
    }
    ahead.push_back(
        {1, Scaled(waiting.job->steps[key.step].expected_run_time, factor)});
  }
  Micros time_to_end = ExpectedEnd(
      SlotTimes(board, job.order, step, now), ahead,
      {step.tasks(), Scaled(job.steps[0].expected_run_time, factor)});
  // Later steps are assumed to run one after another without waiting.
  for (size_t i = 1; i < job.steps.size() && time_to_end < kNever; ++i) {
    time_to_end += job.steps[i].expected_run_time;
  }
  return time_to_end;
}

}  // namespace goldcrest
