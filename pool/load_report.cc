#include "pool/load_report.h"

#include <algorithm>

#include "pool/placement/task_requirements.h"
#include "pool/workers/crash_limit.h"

namespace goldcrest {

void UpdateLoad(PoolBoard& board, Micros now) {
  wire::PoolLoad load;
  int64_t free = 0;
  int64_t capacity = 0;
  for (const PoolWorker* worker : ReadyWorkers(board, now)) {
    load.set_workers(load.workers() + 1);
    capacity += worker->status.cpu_millis();
    free += std::max<int64_t>(FreeCapacity(*worker).cpu_millis, 0);
  }
  // Of all waiting tasks that may start, in thousandths of a core times
  // milliseconds.
  int64_t cpu_demand = 0;
  const std::set<std::string> limited = CrashLimitedQueues(board, now);
  for (const auto& [key, waiting] : board.waiting) {
    const PoolJob& job = *waiting.job;
    if (limited.contains(job.order.queue())) {
      continue;
    }
    cpu_demand += job.order.steps(static_cast<int>(key.step)).cpu_millis() *
                  (job.steps[key.step].expected_run_time / kMillisecond);
  }
  load.set_free_cpu_millis(free);
  load.set_capacity_cpu_millis(capacity);
  load.set_wait_ms(cpu_demand / std::max<int64_t>(capacity, 1));
  board.mesh.load = load;
}

}  // namespace goldcrest
