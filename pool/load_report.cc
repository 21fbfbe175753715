#include "pool/load_report.h"

#include <algorithm>
#include <array>
#include <map>
#include <vector>

#include "pool/task_requirements.h"

namespace goldcrest {
namespace {

// Heartbeats with the load are sent 10 times a second to every other daemon, so
// it has at most this many classes of task sizes and as many priorities.
constexpr size_t kMaxClasses = 8;
// Task sizes are grouped into this many intervals of the largest worker's CPU
// before the classes are derived, which keeps the cost linear in the tasks.
constexpr int64_t kSizeIntervals = 64;
// While no tasks are known, the classes are these fractions of the largest
// worker.
constexpr std::array<int64_t, 4> kDefaultFractions = {8, 4, 2, 1};
// Maximum number of tasks that are counted on one worker: a task may require
// almost no resources.
constexpr int64_t kMaxTasksPerWorker = 64;
// At least this part of the CPU, in percent, is assumed to work on a queue: a
// pool that has just got its workers uses little of it.
constexpr int64_t kMinWorkingPercent = 50;

// Tasks of similar size.
struct SizeClass {
  int64_t cpu_millis = 0;  // of the largest
  int64_t memory_mb = 0;   // of the largest
  int64_t tasks = 0;
  int64_t waiting = 0;
};

using SizeClasses = std::vector<SizeClass>;

int64_t LargestCpu(const std::vector<PoolWorker*>& ready) {
  int64_t largest = 0;
  for (const PoolWorker* worker : ready) {
    largest = std::max<int64_t>(largest, worker->status.cpu_millis());
  }
  return largest;
}

void CountTask(SizeClasses& intervals,
               const Resources& task,
               int64_t largest,
               bool waiting) {
  const int64_t index = std::clamp<int64_t>(
      (task.cpu_millis * kSizeIntervals - 1) / largest, 0, kSizeIntervals - 1);
  SizeClass& interval = intervals[static_cast<size_t>(index)];
  interval.cpu_millis = std::max(interval.cpu_millis, task.cpu_millis);
  interval.memory_mb = std::max(interval.memory_mb, task.memory_mb);
  ++interval.tasks;
  interval.waiting += waiting ? 1 : 0;
}

// Returns the waiting and running tasks by size, by ascending CPU.
SizeClasses TaskSizes(const PoolBoard& board,
                      const std::vector<PoolWorker*>& ready,
                      int64_t largest) {
  SizeClasses intervals(static_cast<size_t>(kSizeIntervals));
  for (const auto& [key, waiting] : board.waiting) {
    const wire::JobStep& step =
        waiting.job->order.steps(static_cast<int>(key.step));
    CountTask(intervals, ResourcesOf(step), largest, true);
  }
  for (const PoolWorker* worker : ready) {
    for (const auto& [name, attempt] : worker->attempts) {
      CountTask(intervals, attempt.resources, largest, false);
    }
  }
  std::erase_if(intervals, [](const SizeClass& c) { return c.tasks == 0; });
  return intervals;
}

// Merges neighbouring classes until there are at most `count`, of about as many
// tasks each.
SizeClasses MergeClasses(const SizeClasses& sizes, size_t count) {
  int64_t total = 0;
  for (const SizeClass& size : sizes) {
    total += size.tasks;
  }
  SizeClasses merged;
  int64_t seen = 0;
  size_t last_share = count;  // none
  for (const SizeClass& size : sizes) {
    const auto share = static_cast<size_t>(seen * static_cast<int64_t>(count) /
                                           std::max<int64_t>(total, 1));
    seen += size.tasks;
    if (share != last_share) {
      merged.emplace_back();
      last_share = share;
    }
    SizeClass& target = merged.back();
    target.cpu_millis = size.cpu_millis;
    target.memory_mb = std::max(target.memory_mb, size.memory_mb);
    target.tasks += size.tasks;
    target.waiting += size.waiting;
  }
  return merged;
}

// Returns the classes for which holes are reported. The last one is the size of
// the largest worker, so that there is an answer for every size.
SizeClasses ClassesToReport(const PoolBoard& board,
                            const std::vector<PoolWorker*>& ready) {
  const int64_t largest = LargestCpu(ready);
  if (largest == 0) {
    return {};
  }
  SizeClasses classes =
      MergeClasses(TaskSizes(board, ready, largest), kMaxClasses - 1);
  if (classes.empty()) {
    for (const int64_t fraction : kDefaultFractions) {
      classes.push_back({largest / fraction, 0, 0, 0});
    }
  } else if (classes.back().cpu_millis < largest) {
    classes.push_back({largest, 0, 0, 0});
  }
  return classes;
}

int64_t TasksOn(const PoolWorker& worker, const SizeClass& size) {
  const Resources free = FreeCapacity(worker);
  int64_t tasks = free.cpu_millis / std::max<int64_t>(size.cpu_millis, 1);
  if (size.memory_mb > 0) {
    tasks = std::min(tasks, free.memory_mb / size.memory_mb);
  }
  return std::clamp<int64_t>(tasks, 0, kMaxTasksPerWorker);
}

// A waiting task may take any hole that is at least as large, so these are not
// counted as free.
void AddHoles(const PoolBoard& board,
              const std::vector<PoolWorker*>& ready,
              wire::PoolLoad& load) {
  int64_t waiting = 0;
  for (const SizeClass& size : ClassesToReport(board, ready)) {
    int64_t tasks = 0;
    for (const PoolWorker* worker : ready) {
      tasks += TasksOn(*worker, size);
    }
    waiting += size.waiting;
    wire::HoleCount& holes = *load.add_holes();
    holes.set_cpu_millis(size.cpu_millis);
    holes.set_tasks(
        static_cast<uint32_t>(std::max<int64_t>(tasks - waiting, 0)));
  }
}

// Only tasks that can still be on time count: a task that arrives now is placed
// before the others.
QueueWork SumQueueWork(const PoolBoard& board, Micros now) {
  QueueWork queue;
  queue.cpu_millis = WorkingCpuMillis(board, now);
  for (const auto& [key, job] : board.jobs) {
    queue.by_priority[job->order.priority()];
  }
  for (const auto& [key, waiting] : board.waiting) {
    if (key.expected_lateness != ExpectedLateness::kOnTime) {
      break;
    }
    const int64_t work = WorkOf(key, *waiting.job);
    if (key.rank == QueueRank::kFirst) {
      queue.first += work;
    } else {
      queue.by_priority[key.priority] += work;
    }
  }
  return queue;
}

void AddWaits(const QueueWork& queue, wire::PoolLoad& load) {
  const int64_t cpu = std::max<int64_t>(queue.cpu_millis, 1);
  int64_t work = queue.first;
  for (const auto& [priority, own_work] : queue.by_priority) {
    work += own_work;
    // Beyond the maximum, the last entry stands for all less urgent ones.
    if (load.waits_size() < static_cast<int>(kMaxClasses)) {
      load.add_waits()->set_priority(priority);
    }
    load.mutable_waits(load.waits_size() - 1)->set_wait_ms(work / cpu);
  }
  // One entry shows that this daemon reports waits.
  if (queue.by_priority.empty()) {
    load.add_waits()->set_wait_ms(work / cpu);
  }
}

}  // namespace

void UpdateLoad(PoolBoard& board, Micros now) {
  wire::PoolLoad load;
  int64_t free = 0;
  int64_t capacity = 0;
  const std::vector<PoolWorker*> ready = ReadyWorkers(board, now);
  for (const PoolWorker* worker : ready) {
    load.set_workers(load.workers() + 1);
    capacity += worker->status.cpu_millis();
    free += std::max<int64_t>(FreeCapacity(*worker).cpu_millis, 0);
  }
  // Of all waiting tasks, in thousandths of a core times milliseconds.
  int64_t cpu_demand = 0;
  for (const auto& [key, waiting] : board.waiting) {
    cpu_demand += WorkOf(key, *waiting.job);
  }
  load.set_free_cpu_millis(free);
  load.set_capacity_cpu_millis(capacity);
  load.set_wait_ms(cpu_demand / std::max<int64_t>(capacity, 1));
  if (board.options.features.move_waiting_jobs) {
    AddHoles(board, ready, load);
    board.queue_work = SumQueueWork(board, now);
    AddWaits(board.queue_work, load);
  }
  board.mesh.load = load;
}

InitialTasks InitialTasksOf(const wire::JobOrder& order) {
  InitialTasks initial;
  if (order.steps().empty()) {
    return initial;
  }
  for (const wire::JobStep& step : order.steps()) {
    if (step.after_size() > 0) {
      continue;
    }
    initial.tasks += step.tasks();
    initial.largest_cpu_millis =
        std::max<int64_t>(initial.largest_cpu_millis, step.cpu_millis());
    initial.cpu_millis +=
        static_cast<int64_t>(step.tasks()) * step.cpu_millis();
  }
  initial.work = initial.cpu_millis * order.steps(0).estimate_ms();
  return initial;
}

bool StatesHolesAndWaits(const wire::PoolLoad& load) {
  return load.waits_size() > 0;
}

int64_t HolesFor(const wire::PoolLoad& load, int64_t cpu_millis) {
  for (const wire::HoleCount& holes : load.holes()) {
    if (holes.cpu_millis() >= cpu_millis) {
      return holes.tasks();
    }
  }
  return 0;
}

bool HoldsAtOnce(const wire::PoolLoad& load, const InitialTasks& initial) {
  if (StatesHolesAndWaits(load)) {
    return HolesFor(load, initial.largest_cpu_millis) >= initial.tasks;
  }
  // A quarter more, since the free CPU may be spread over many workers.
  return load.wait_ms() == 0 &&
         load.free_cpu_millis() >= initial.cpu_millis + initial.cpu_millis / 4;
}

int64_t ExpectedWaitMs(const wire::PoolLoad& load, int32_t priority) {
  if (!StatesHolesAndWaits(load)) {
    return load.wait_ms();
  }
  int64_t wait_ms = 0;
  for (const wire::PriorityWait& wait : load.waits()) {
    wait_ms = wait.priority() <= priority ? wait.wait_ms() : wait_ms;
  }
  return wait_ms;
}

void AddJobToLoad(wire::PoolLoad& load,
                  const InitialTasks& initial,
                  int32_t priority,
                  int64_t times) {
  const int64_t wait_ms =
      times * initial.work / std::max<int64_t>(load.capacity_cpu_millis(), 1);
  const bool held = HoldsAtOnce(load, initial);
  load.set_free_cpu_millis(load.free_cpu_millis() - times * initial.cpu_millis);
  load.set_wait_ms(load.wait_ms() + wait_ms);
  for (wire::HoleCount& holes : *load.mutable_holes()) {
    // A task takes as much of a larger hole as it takes of one of its size.
    const int64_t taken = holes.cpu_millis() <= initial.largest_cpu_millis
                              ? times * initial.cpu_millis /
                                    std::max<int64_t>(holes.cpu_millis(), 1)
                              : times * initial.tasks;
    holes.set_tasks(static_cast<uint32_t>(
        std::max<int64_t>(static_cast<int64_t>(holes.tasks()) - taken, 0)));
  }
  for (wire::PriorityWait& wait : *load.mutable_waits()) {
    if (!held && wait.priority() >= priority) {
      wait.set_wait_ms(wait.wait_ms() + wait_ms);
    }
  }
}

void AddToQueueWork(PoolBoard& board, const PoolJob& job) {
  if (!board.options.features.move_waiting_jobs) {
    return;
  }
  const InitialTasks initial = InitialTasksOf(job.order);
  board.queue_work.by_priority[job.order.priority()] +=
      initial.cpu_millis * (job.steps[0].expected_run_time / kMillisecond);
}

int64_t WorkingCpuMillis(const PoolBoard& board, Micros now) {
  int64_t free = 0;
  int64_t capacity = 0;
  for (const PoolWorker* worker : ReadyWorkers(board, now)) {
    capacity += worker->status.cpu_millis();
    free += std::max<int64_t>(FreeCapacity(*worker).cpu_millis, 0);
  }
  return board.waiting.empty()
             ? capacity
             : std::max(capacity - free, capacity * kMinWorkingPercent / 100);
}

int64_t WorkOf(const WaitingKey& key, const PoolJob& job) {
  return job.order.steps(static_cast<int>(key.step)).cpu_millis() *
         (job.steps[key.step].expected_run_time / kMillisecond);
}

}  // namespace goldcrest
