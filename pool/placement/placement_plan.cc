#include "pool/placement/placement_plan.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>
#include <tuple>

#include "pool/placement/choose_worker.h"

namespace goldcrest {
namespace {

// Unusable remainders that differ by less than this part of the smallest
// waiting task are equally good; the queue order decides between them. Smaller
// parts use more of the CPU, but favour tasks that require much of it, whose
// jobs are worth no more to their callers.
constexpr int64_t kRemaindersPerTask = 3;
// Precision and maximum size of the table of usable remainders.
constexpr int64_t kStepsPerTask = 16;
constexpr int64_t kMaxRemainderSteps = 128;
// At most one worker in this many is reserved, so that a few large tasks cannot
// idle the pool.
constexpr size_t kWorkersPerReservation = 8;
// A task is no longer passed over this long before its latest start, plus the
// time in which the pool frees capacity for all waiting tasks of its job: the
// job is answered when the last of them has ended.
constexpr Micros kPassOverMargin = 50 * kMillisecond;
// Expected ends have an error of about this part of the run time: a task may
// use a reserved worker only if it ends this much earlier.
constexpr Micros kErrorDivisor = 4;

// Returns whether the order of the tasks in the queue is decided by priority
// and objective only, so that one may be started before the other.
bool IsSameClass(const PlanTask& a, const PlanTask& b) {
  return a.lateness == b.lateness && a.rank == b.rank;
}

class Planner {
 public:
  Planner(const std::vector<PlanWorker>& workers,
          const std::vector<PlanTask>& tasks,
          const PlanOptions& options)
      : workers_(workers), tasks_(tasks), options_(options) {
    Reset();
    release_gap_ = ReleaseGap();
  }

  PlacementPlan Run() {
    if (!StartsAll()) {
      Reset();
      int64_t largest = 0;
      for (const Resources& free : free_) {
        largest = std::max(largest, free.cpu_millis);
      }
      sizes_.emplace(tasks_, largest);
      Reserve();
      FillWorkers();
    }
    return std::move(plan_);
  }

 private:
  void Reset();
  Micros ReleaseGap() const;
  bool StartsAll();
  void StartInOrder();
  std::optional<size_t> PreferredWorker(size_t task);
  bool CanStart(size_t task, size_t worker) const;
  bool MayUseReserved(size_t task, size_t worker) const;
  bool Avoids(size_t task, size_t worker) const;
  void Start(size_t task, size_t worker, bool ahead);
  void FillWorkers();
  bool FillInOrder(const std::vector<size_t>& order);
  bool IsBetterWorkerFree(size_t task, size_t worker);
  std::optional<PlanStart> ChooseTask(size_t worker);
  void Reserve();
  bool FitsSomewhere(size_t task, const Resources& most_free) const;
  std::optional<PlanReservation> EarliestWorker(size_t task);

  const std::vector<PlanWorker>& workers_;
  const std::vector<PlanTask>& tasks_;
  const PlanOptions& options_;
  std::vector<Resources> free_;      // by worker
  std::vector<uint32_t> starts_;     // by worker
  std::vector<uint32_t> remaining_;  // by task
  std::vector<size_t> reserved_;     // by worker: index + 1 of its reservation
  std::optional<WaitingSizes> sizes_;
  // By task: no earlier worker can start it without being avoided. Capacity
  // only decreases while workers are filled.
  std::vector<size_t> first_better_;
  // Whether tasks are left to workers that they do not avoid, and whether that
  // has happened.
  bool may_postpone_ = false;
  bool postponed_ = false;
  Micros release_gap_ = 0;  // expected time between two ends in the pool
  size_t compared_ = 0;
  PlacementPlan plan_;
};

void Planner::Reset() {
  free_.clear();
  for (const PlanWorker& worker : workers_) {
    free_.push_back(worker.free);
  }
  remaining_.clear();
  for (const PlanTask& task : tasks_) {
    remaining_.push_back(task.count);
  }
  starts_.assign(workers_.size(), 0);
  reserved_.assign(workers_.size(), 0);
  compared_ = 0;
  plan_ = {};
}

// Returns the mean time between two ends of attempts. Attempts are on average
// halfway through their run time.
Micros Planner::ReleaseGap() const {
  Micros sum = 0;
  Micros count = 0;
  for (const PlanWorker& worker : workers_) {
    for (const PlanEnd& end : worker.ends) {
      sum += end.in;
      ++count;
    }
  }
  return count == 0 ? 0 : 2 * sum / count / count;
}

bool Planner::Avoids(size_t task, size_t worker) const {
  return workers_[worker].suspect ||
         (!tasks_[task].matches.empty() && tasks_[task].matches[worker].avoid);
}

bool Planner::CanStart(size_t task, size_t worker) const {
  if (!Fits(tasks_[task].required, free_[worker]) ||
      starts_[worker] >= workers_[worker].most_starts) {
    return false;
  }
  if (!tasks_[task].matches.empty()) {
    // The limit holds for all tasks of a step, which may be several PlanTasks.
    const auto own = std::count_if(
        plan_.starts.begin(), plan_.starts.end(), [&](const PlanStart& start) {
          return start.worker == worker &&
                 tasks_[start.task].job == tasks_[task].job;
        });
    if (own >= static_cast<int64_t>(tasks_[task].matches[worker].most)) {
      return false;
    }
  }
  return reserved_[worker] == 0 || MayUseReserved(task, worker);
}

// Returns true if the task ends before the reservation of the worker, or leaves
// enough capacity for it.
bool Planner::MayUseReserved(size_t task, size_t worker) const {
  const PlanReservation& reservation =
      plan_.reservations[reserved_[worker] - 1];
  if (reservation.task == task) {
    return true;
  }
  const auto run_time =
      static_cast<Micros>(static_cast<double>(tasks_[task].run_time) *
                          workers_[worker].run_time_factor);
  if (run_time + run_time / kErrorDivisor <= reservation.in) {
    return true;
  }
  Resources free = free_[worker];
  for (const PlanEnd& end : workers_[worker].ends) {
    if (end.in <= reservation.in) {
      free.cpu_millis += end.resources.cpu_millis;
      free.memory_mb += end.resources.memory_mb;
      free.accelerators += end.resources.accelerators;
    }
  }
  free.cpu_millis -= tasks_[task].required.cpu_millis;
  free.memory_mb -= tasks_[task].required.memory_mb;
  free.accelerators -= tasks_[task].required.accelerators;
  return Fits(tasks_[reservation.task].required, free);
}

void Planner::Start(size_t task, size_t worker, bool ahead) {
  const Resources& required = tasks_[task].required;
  free_[worker].cpu_millis -= required.cpu_millis;
  free_[worker].memory_mb -= required.memory_mb;
  free_[worker].accelerators -= required.accelerators;
  ++starts_[worker];
  --remaining_[task];
  plan_.starts.push_back({task, worker, ahead});
}

std::optional<size_t> Planner::PreferredWorker(size_t task) {
  const auto rank = [&](size_t worker) {
    return std::make_tuple(
        Avoids(task, worker), workers_[worker].run_time_factor,
        free_[worker].accelerators - tasks_[task].required.accelerators,
        free_[worker].cpu_millis - tasks_[task].required.cpu_millis);
  };
  std::optional<size_t> best;
  compared_ += workers_.size();
  for (size_t worker = 0; worker < workers_.size(); ++worker) {
    if (CanStart(task, worker) && (!best || rank(worker) < rank(*best))) {
      best = worker;
    }
  }
  return best;
}

// Places the tasks in queue order; returns false as soon as one does not fit.
bool Planner::StartsAll() {
  const int64_t free = std::accumulate(
      free_.begin(), free_.end(), int64_t{0},
      [](int64_t sum, const Resources& next) { return sum + next.cpu_millis; });
  int64_t required = 0;
  for (const PlanTask& task : tasks_) {
    required += task.count * task.required.cpu_millis;
  }
  if (required > free) {
    return false;
  }
  for (size_t task = 0; task < tasks_.size(); ++task) {
    while (tasks_[task].startable && remaining_[task] > 0) {
      const std::optional<size_t> worker = PreferredWorker(task);
      if (!worker) {
        return false;
      }
      Start(task, *worker, false);
    }
  }
  return true;
}

void Planner::StartInOrder() {
  for (size_t task = 0; task < tasks_.size(); ++task) {
    while (tasks_[task].startable && remaining_[task] > 0) {
      const std::optional<size_t> worker = PreferredWorker(task);
      if (!worker) {
        break;
      }
      Start(task, *worker, false);
    }
  }
}

// Returns true if the task avoids the worker and could start on another that it
// does not avoid.
bool Planner::IsBetterWorkerFree(size_t task, size_t worker) {
  const std::vector<PlanMatch>& matches = tasks_[task].matches;
  if (matches.empty() || !matches[worker].avoid) {
    return false;
  }
  size_t& better = first_better_[task];
  while (better < workers_.size() &&
         (Avoids(task, better) || !CanStart(task, better))) {
    ++better;
  }
  return better < workers_.size();
}

// Returns the task for the worker's free capacity; nullopt if none fits.
std::optional<PlanStart> Planner::ChooseTask(size_t worker) {
  const int64_t step =
      std::max<int64_t>(sizes_->smallest() / kRemaindersPerTask, 1);
  std::optional<PlanStart> best;
  std::tuple<bool, int64_t, bool> best_rank;
  for (size_t i = 0; i < tasks_.size(); ++i) {
    const PlanTask& task = tasks_[i];
    if (best && !IsSameClass(task, tasks_[best->task])) {
      break;
    }
    if (!task.startable || remaining_[i] == 0) {
      continue;
    }
    ++compared_;
    if (task.required.cpu_millis > free_[worker].cpu_millis ||
        !CanStart(i, worker)) {
      continue;
    }
    if (may_postpone_ && IsBetterWorkerFree(i, worker)) {
      postponed_ = true;
      continue;
    }
    const int64_t left = free_[worker].cpu_millis - task.required.cpu_millis;
    const int64_t unusable = left - sizes_->Usable(left);
    const std::tuple rank(Avoids(i, worker), unusable / step, !task.begun);
    if (!best || rank < best_rank) {
      best = PlanStart{i, worker, best.has_value()};
      best_rank = rank;
    }
    if (task.latest_start <=
        kPassOverMargin + static_cast<Micros>(remaining_[i]) * release_gap_) {
      break;
    }
  }
  return best;
}

void Planner::FillWorkers() {
  int64_t smallest_startable = std::numeric_limits<int64_t>::max();
  for (const PlanTask& task : tasks_) {
    if (task.startable) {
      smallest_startable =
          std::min(smallest_startable, task.required.cpu_millis);
    }
  }
  std::vector<size_t> order;
  for (size_t worker = 0; worker < workers_.size(); ++worker) {
    if (free_[worker].cpu_millis >= smallest_startable) {
      order.push_back(worker);
    }
  }
  std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    return std::make_tuple(workers_[a].suspect, workers_[a].run_time_factor,
                           free_[a].cpu_millis, a) <
           std::make_tuple(workers_[b].suspect, workers_[b].run_time_factor,
                           free_[b].cpu_millis, b);
  });
  first_better_.assign(tasks_.size(), 0);
  may_postpone_ = true;
  if (FillInOrder(order) && postponed_) {
    // The better workers may have been filled with other tasks since.
    may_postpone_ = false;
    FillInOrder(order);
  }
}

// Returns false if the budget did not last; the rest was placed in queue order.
bool Planner::FillInOrder(const std::vector<size_t>& order) {
  for (const size_t worker : order) {
    while (const std::optional<PlanStart> start = ChooseTask(worker)) {
      Start(start->task, worker, start->ahead);
      if (compared_ > options_.budget) {
        plan_.over_budget = true;
        StartInOrder();
        return false;
      }
    }
  }
  return true;
}

bool Planner::FitsSomewhere(size_t task, const Resources& most_free) const {
  if (!Fits(tasks_[task].required, most_free)) {
    return false;
  }
  for (size_t worker = 0; worker < workers_.size(); ++worker) {
    if (CanStart(task, worker)) {
      return true;
    }
  }
  return false;
}

// Returns the worker that has enough free capacity for the task first.
std::optional<PlanReservation> Planner::EarliestWorker(size_t task) {
  std::optional<PlanReservation> best;
  compared_ += workers_.size();
  for (size_t worker = 0; worker < workers_.size(); ++worker) {
    if (reserved_[worker] != 0 || Avoids(task, worker) ||
        (!tasks_[task].matches.empty() &&
         tasks_[task].matches[worker].most == 0)) {
      continue;
    }
    Resources free = free_[worker];
    for (const PlanEnd& end : workers_[worker].ends) {
      free.cpu_millis += end.resources.cpu_millis;
      free.memory_mb += end.resources.memory_mb;
      free.accelerators += end.resources.accelerators;
      if (Fits(tasks_[task].required, free)) {
        if (!best || end.in < best->in) {
          best = PlanReservation{task, worker, end.in};
        }
        break;
      }
    }
  }
  return best;
}

// Reserves workers for the first tasks in the queue that fit nowhere. Uses at
// most about half of the budget, so that the rest is left to fill workers.
void Planner::Reserve() {
  const size_t most = workers_.size() / kWorkersPerReservation;
  Resources most_free;
  for (const Resources& free : free_) {
    most_free.cpu_millis = std::max(most_free.cpu_millis, free.cpu_millis);
    most_free.memory_mb = std::max(most_free.memory_mb, free.memory_mb);
    most_free.accelerators =
        std::max(most_free.accelerators, free.accelerators);
  }
  for (size_t task = 0; task < tasks_.size(); ++task) {
    if (!IsSameClass(tasks_[task], tasks_[0])) {
      return;
    }
    if (FitsSomewhere(task, most_free)) {
      continue;
    }
    for (uint32_t i = 0; i < remaining_[task]; ++i) {
      if (plan_.reservations.size() >= most ||
          compared_ > options_.budget / 2) {
        return;
      }
      const std::optional<PlanReservation> earliest = EarliestWorker(task);
      if (!earliest) {
        break;
      }
      plan_.reservations.push_back(*earliest);
      reserved_[earliest->worker] = plan_.reservations.size();
    }
  }
}

}  // namespace

WaitingSizes::WaitingSizes(const std::vector<PlanTask>& tasks,
                           int64_t largest_cpu_millis) {
  sizes_.reserve(tasks.size());
  for (const PlanTask& task : tasks) {
    sizes_.push_back(std::max<int64_t>(task.required.cpu_millis, 1));
  }
  std::sort(sizes_.begin(), sizes_.end());
  sizes_.erase(std::unique(sizes_.begin(), sizes_.end()), sizes_.end());
  smallest_ = sizes_.empty() ? std::numeric_limits<int64_t>::max() : sizes_[0];
  if (smallest_ > largest_cpu_millis) {
    return;
  }
  step_ = std::max({smallest_ / kStepsPerTask,
                    largest_cpu_millis / kMaxRemainderSteps, int64_t{1}});
  usable_.assign(static_cast<size_t>(largest_cpu_millis / step_ + 1), 0);
  for (size_t i = static_cast<size_t>(smallest_ / step_); i < usable_.size();
       ++i) {
    const int64_t remainder = static_cast<int64_t>(i) * step_;
    for (const int64_t size : sizes_) {
      if (size > remainder) {
        break;
      }
      const auto rest = static_cast<size_t>((remainder - size) / step_);
      usable_[i] = std::max(usable_[i], size + usable_[rest]);
    }
  }
}

int64_t WaitingSizes::Usable(int64_t cpu_millis) const {
  if (cpu_millis < smallest_) {
    return 0;
  }
  const int64_t one =
      *(std::upper_bound(sizes_.begin(), sizes_.end(), cpu_millis) - 1);
  const auto index = static_cast<size_t>(cpu_millis / step_);
  return std::max(one, usable_[std::min(index, usable_.size() - 1)]);
}

PlacementPlan MakePlacementPlan(const std::vector<PlanWorker>& workers,
                                const std::vector<PlanTask>& tasks,
                                const PlanOptions& options) {
  return Planner(workers, tasks, options).Run();
}

}  // namespace goldcrest
