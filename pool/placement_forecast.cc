#include "pool/placement_forecast.h"

#include <algorithm>
#include <queue>

#include "pool/choose_worker.h"

namespace goldcrest {
namespace {

// Resources that become free on a worker.
struct Release {
  Micros at = 0;
  size_t worker = 0;
  Resources resources;

  friend bool operator>(const Release& a, const Release& b) {
    return a.at > b.at;
  }
};

void Add(Resources& sum, const Resources& more) {
  sum.cpu_millis += more.cpu_millis;
  sum.memory_mb += more.memory_mb;
  sum.accelerators += more.accelerators;
}

void Subtract(Resources& sum, const Resources& less) {
  sum.cpu_millis -= less.cpu_millis;
  sum.memory_mb -= less.memory_mb;
  sum.accelerators -= less.accelerators;
}

class Forecast {
 public:
  Forecast(const std::vector<PlanWorker>& workers,
           const std::vector<PlanTask>& ahead,
           const PlanTask& job)
      : workers_(workers), job_(job) {
    for (const PlanTask& task : ahead) {
      queue_.push_back({&task, task.count});
    }
    queue_.push_back({&job, job.count});
    for (size_t worker = 0; worker < workers.size(); ++worker) {
      free_.push_back(workers[worker].free);
      for (const PlanEnd& end : workers[worker].ends) {
        releases_.push({end.in, worker, end.resources});
      }
    }
  }

  Micros Run() {
    for (size_t worker = 0; worker < workers_.size(); ++worker) {
      Fill(worker, 0);
    }
    while (!IsDone() && !releases_.empty()) {
      const Release release = releases_.top();
      releases_.pop();
      Add(free_[release.worker], release.resources);
      Fill(release.worker, release.at);
    }
    return IsDone() ? last_end_ : kNever;
  }

 private:
  struct Entry {
    const PlanTask* task = nullptr;
    uint32_t remaining = 0;
  };

  bool IsDone() const { return queue_.back().remaining == 0; }

  bool Matches(const PlanTask& task, size_t worker) const {
    return &task != &job_ || task.matches.empty() ||
           task.matches[worker].most > 0;
  }

  // Starts the first tasks of the queue that fit on the worker.
  void Fill(size_t worker, Micros at) {
    while (first_ < queue_.size() && queue_[first_].remaining == 0) {
      ++first_;
    }
    for (size_t i = first_; i < queue_.size(); ++i) {
      Entry& entry = queue_[i];
      while (entry.remaining > 0 && Fits(entry.task->required, free_[worker]) &&
             Matches(*entry.task, worker)) {
        Start(entry, worker, at);
      }
    }
  }

  void Start(Entry& entry, size_t worker, Micros at) {
    --entry.remaining;
    Subtract(free_[worker], entry.task->required);
    const Micros end =
        at + static_cast<Micros>(static_cast<double>(entry.task->run_time) *
                                 workers_[worker].run_time_factor);
    releases_.push({end, worker, entry.task->required});
    if (entry.task == &job_) {
      last_end_ = std::max(last_end_, end);
    }
  }

  const std::vector<PlanWorker>& workers_;
  const PlanTask& job_;
  std::vector<Entry> queue_;
  size_t first_ = 0;  // entries before it have no remaining tasks
  std::vector<Resources> free_;
  std::priority_queue<Release, std::vector<Release>, std::greater<>> releases_;
  Micros last_end_ = 0;
};

}  // namespace

Micros ForecastEnd(const std::vector<PlanWorker>& workers,
                   const std::vector<PlanTask>& ahead,
                   const PlanTask& job) {
  return Forecast(workers, ahead, job).Run();
}

}  // namespace goldcrest
