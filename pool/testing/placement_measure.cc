// Measures the placement of tasks in queue order and with lookahead.
//
// Plays the loads of two deployments (docs/HARD_LOAD.md) at 70, 100 and 130% of
// the capacity against the board of one control daemon with a sixth of the
// workers: admission, queue, placement and estimates are the real ones, without
// network and faults. 100% is the load at which the tasks require all cores all
// the time, with the workers' speeds. Prints the share of jobs that are on time
// by kind, of the largest tenth (tasks times CPU) and of the tasks above 1.2
// times the mean CPU, the wait of the largest tenth until its last task starts,
// the CPU in use, the processor time of one placement and of all per second,
// the mean error of the estimated times to the end in ms, and the largest
// number of waiting tasks.
//
//   placement_measure [seed]            the loads
//   placement_measure cost WORKERS TASKS   processor time with TASKS waiting

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "pool/admission/job_admission.h"
#include "pool/jobs/pool_jobs.h"
#include "pool/jobs/task_ends.h"
#include "pool/placement/pool_placement.h"
#include "pool/workers/run_ends.h"

namespace goldcrest {
namespace {

constexpr Micros kDuration = 20 * kSecond;
constexpr Micros kPermissionDelay = 3 * kMillisecond;  // both ways
constexpr Micros kOrderDelay = kMillisecond;
constexpr Micros kTick = 25 * kMillisecond;
constexpr double kStretch = 1.6;
constexpr Micros kTarget = 60 * kMillisecond;

struct Kind {
  const char* name;
  int priority;
  double tasks;
  uint32_t most_tasks;
  double run_ms[2];      // by deployment
  double per_second[2];  // by deployment, relative to each other
  double timeout_ms;
  double value;
};

constexpr Kind kKinds[] = {
    {"short", 0, 8, 32, {60, 51}, {206, 181}, 2000, 4.85},
    {"small", 1, 2, 8, {200, 170}, {600, 528}, 2700, 1.67},
    {"long", 2, 4, 16, {900, 760}, {37.5, 33}, 6000, 26.7}};

struct Deployment {
  const char* name;
  int64_t worker_cpu;  // of two in three; the third has half as much again
  int64_t task_cpu;
  double wave;
  double wave_seconds;
  double much_longer;  // share of jobs that take 7 times as long
};

constexpr Deployment kDeployments[] = {{"A", 16'000, 8000, 0.15, 11, 0},
                                       {"B", 32'000, 16'000, 0.55, 15, 0.03}};

struct Job {
  size_t kind = 0;
  Micros arrived_at = 0;
  Micros run_time = 0;
  uint32_t tasks = 0;
  uint32_t cpu = 0;
  Micros last_start_at = 0;
  Micros end_at = 0;
  Micros expected = -1;  // time to its end, as estimated on arrival
  uint32_t started = 0;
  uint32_t open = 0;
};

struct Event {
  Micros at = 0;
  uint64_t sequence = 0;
  std::function<void()> run;
  bool operator<(const Event& other) const {
    return std::tie(at, sequence) > std::tie(other.at, other.sequence);
  }
};

double Lognormal(std::mt19937_64& random, double deviation) {
  const double variance = std::log(1 + deviation * deviation);
  return std::lognormal_distribution<double>(-variance / 2,
                                             std::sqrt(variance))(random);
}

// Returns the processor time of this thread in microseconds.
double ProcessorMicros() {
  timespec time = {};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

// The board of one control daemon with its workers, in simulated time.
class Pool {
 public:
  Pool(size_t deployment, int workers, bool lookahead, uint64_t seed)
      : deployment_(kDeployments[deployment]),
        index_(deployment),
        random_(seed) {
    board_.options.features.placement_lookahead = lookahead;
    board_.mesh.options.self = "self";
    board_.mesh.options.control = true;
    for (int i = 0; i < workers; ++i) {
      AddWorker(i);
    }
  }

  void MakeJobs(double load) {
    double demand = 0;  // cores, at the rates of the table
    for (const Kind& kind : kKinds) {
      demand += kind.tasks * kind.run_ms[index_] / 1000 *
                kind.per_second[index_] *
                static_cast<double>(deployment_.task_cpu);
    }
    demand *= 1 + 6 * deployment_.much_longer;
    for (size_t kind = 0; kind < std::size(kKinds); ++kind) {
      const double rate =
          kKinds[kind].per_second[index_] * load * capacity_ / demand;
      std::exponential_distribution<double> gap(rate * (1 + deployment_.wave));
      double at = 1 + gap(random_);
      while (at < static_cast<double>(kDuration) / kSecond) {
        const double wave =
            1 + deployment_.wave *
                    std::sin(2 * M_PI * at / deployment_.wave_seconds);
        if (std::uniform_real_distribution<double>(
                0, 1 + deployment_.wave)(random_) < wave) {
          MakeJob(kind, static_cast<Micros>(at * kSecond));
        }
        at += gap(random_);
      }
    }
  }

  void Run() {
    for (Micros at = 0; at < kDuration + 8 * kSecond; at += kTick) {
      Schedule(at, [this] {
        JobsTick(board_, now_, actions_);
        board_.placement_due = true;
      });
    }
    while (!events_.empty()) {
      RunNextEvent();
    }
  }

  // Measures placement and estimates for 100 ms from the time when `tasks`
  // tasks wait.
  void MeasureCost(size_t tasks) {
    while (!events_.empty() && board_.waiting.size() < tasks) {
      RunNextEvent();
    }
    const size_t waiting = board_.waiting.size();
    const Micros begin = now_;
    placement_us_ = longest_placement_us_ = order_us_ = 0;
    placements_ = orders_ = 0;
    while (!events_.empty() && now_ < begin + 100 * kMillisecond) {
      RunNextEvent();
    }
    std::cout << board_.workers.size() << " workers, " << waiting
              << " waiting tasks, "
              << (board_.options.features.placement_lookahead ? "lookahead"
                                                              : "in order")
              << ": " << placements_ << " placements of "
              << placement_us_ / static_cast<double>(placements_)
              << " us, longest " << longest_placement_us_ << " us; " << orders_
              << " job orders of " << order_us_ / static_cast<double>(orders_)
              << " us; plans over budget " << board_.counters.plans_over_budget
              << "\n";
  }

  void Report(double load) const;

  PoolBoard& board() { return board_; }

 private:
  void RunNextEvent() {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
    Place();
    Perform();
  }

  void AddWorker(int i) {
    const bool large = i % 3 == 2;
    // In B the speed does not depend on the size.
    const double speed =
        index_ == 0 ? (large ? 1.3 : 1.0) : (i % 4 == 1 ? 2.0 : 1.0);
    const std::string id = "w" + std::to_string(1000 + i);
    PoolWorker& worker = board_.workers[id];
    worker.status.set_id(id);
    worker.status.set_service("service");
    worker.status.add_labels(index_ == 0 && large ? "fast" : "usual");
    worker.status.set_cpu_millis(
        static_cast<uint32_t>(deployment_.worker_cpu * (large ? 3 : 2) / 2));
    worker.status.set_memory_mb(1 << 20);
    worker.session = SessionState::kReady;
    worker.clock_ms = 1;
    board_.owned[id] = &worker;
    speed_[id] = speed;
    capacity_ += speed * static_cast<double>(worker.status.cpu_millis());
    cpu_ += static_cast<double>(worker.status.cpu_millis());
  }

  void MakeJob(size_t kind_index, Micros at) {
    const Kind& kind = kKinds[kind_index];
    Job job;
    job.kind = kind_index;
    job.arrived_at = at;
    double run_ms = kind.run_ms[index_] * Lognormal(random_, 0.4);
    const double estimate_ms = run_ms * Lognormal(random_, 0.4);
    if (std::bernoulli_distribution(deployment_.much_longer)(random_)) {
      run_ms *= 7;
    }
    job.run_time = static_cast<Micros>(run_ms * kMillisecond);
    job.tasks = std::clamp<uint32_t>(static_cast<uint32_t>(std::lround(
                                         kind.tasks * Lognormal(random_, 0.8))),
                                     1, kind.most_tasks);
    job.open = job.tasks;
    job.cpu = static_cast<uint32_t>(
        static_cast<double>(deployment_.task_cpu) *
        std::clamp(std::normal_distribution<double>(1, 0.2)(random_), 0.6,
                   1.5));
    const size_t number = jobs_.size();
    jobs_.push_back(job);
    Schedule(at, [this, number, estimate_ms] { Submit(number, estimate_ms); });
  }

  void Submit(size_t number, double estimate_ms) {
    const Job& job = jobs_[number];
    const Kind& kind = kKinds[job.kind];
    wire::JobOrder order;
    order.set_order(number + 1);
    order.set_job_id(std::to_string(number));
    order.set_queue(kind.name);
    order.set_service("service");
    order.set_priority(kind.priority);
    order.set_max_attempts(1);
    order.set_stretch(kStretch);
    order.set_target_ms(kTarget / kMillisecond);
    order.set_budget_ms(static_cast<uint32_t>(kind.timeout_ms));
    order.set_entry("self");
    wire::JobStep& step = *order.add_steps();
    step.set_tasks(job.tasks);
    step.set_cpu_millis(job.cpu);
    step.set_memory_mb(64);
    step.set_estimate_ms(
        std::max<uint32_t>(1, static_cast<uint32_t>(estimate_ms)));
    const double begin = ProcessorMicros();
    OnJobOrder(board_, order, now_, actions_);
    order_us_ += ProcessorMicros() - begin;
    ++orders_;
  }

  void Place() {
    if (!board_.placement_due || board_.waiting.empty()) {
      return;
    }
    most_waiting_ = std::max(most_waiting_, board_.waiting.size());
    const double begin = ProcessorMicros();
    PlaceWaitingTasks(board_, now_, actions_);
    const double took = ProcessorMicros() - begin;
    placement_us_ += took;
    longest_placement_us_ = std::max(longest_placement_us_, took);
    ++placements_;
  }

  void Perform() {
    PoolActions actions;
    actions.swap(actions_);
    for (PoolAction& action : actions) {
      if (auto* order = std::get_if<SendOrder>(&action);
          order != nullptr && order->order.kind == OrderKind::kStart) {
        Start(order->order);
      } else if (auto* send = std::get_if<SendMessage>(&action);
                 send != nullptr && send->message.has_job_ask()) {
        wire::JobGo go;
        go.set_order(send->message.job_ask().order());
        go.set_job_id(send->message.job_ask().job_id());
        Schedule(now_ + kPermissionDelay,
                 [this, go] { OnStartPermitted(board_, "self", go); });
      } else if (auto* line = std::get_if<LogEvent>(&action);
                 line != nullptr && line->event == "job_accepted") {
        RecordEstimate(*line);
      }
    }
  }

  void RecordEstimate(const LogEvent& line) {
    const auto value = [&](const char* name) {
      return std::find_if(
                 line.fields.begin(), line.fields.end(),
                 [&](const LogField& field) { return field.key == name; })
          ->value;
    };
    jobs_[std::stoul(value("job"))].expected =
        std::stoll(value("expected_ms")) * kMillisecond;
  }

  // Returns the mean error of the estimates of the jobs that have ended, in
  // milliseconds.
  double EstimateError() const {
    double sum = 0;
    size_t count = 0;
    for (const Job& job : jobs_) {
      if (job.end_at != 0 && job.expected >= 0) {
        sum += std::abs(
            static_cast<double>(job.end_at - job.arrived_at - job.expected));
        ++count;
      }
    }
    return sum / kMillisecond / static_cast<double>(std::max<size_t>(count, 1));
  }

  void Start(const WorkerOrder& order) {
    Job& job = jobs_[std::stoul(order.task.job_id)];
    job.last_start_at = now_;
    ++job.started;
    const auto run_time = static_cast<Micros>(
        static_cast<double>(job.run_time) / speed_[order.worker]);
    WorkerAttempt& attempt =
        board_.workers[order.worker].attempts.at(order.task);
    attempt.state = AttemptState::kRunning;
    attempt.answered_at = now_ + kOrderDelay;
    if (now_ > 2 * kSecond && now_ < kDuration) {
      used_ += static_cast<double>(job.cpu) * static_cast<double>(run_time);
    }
    Schedule(now_ + run_time + 2 * kOrderDelay,
             [this, id = order.worker, task = order.task] { End(id, task); });
  }

  void End(const std::string& id, const TaskName& name) {
    PoolWorker& worker = board_.workers[id];
    const auto found = worker.attempts.find(name);
    const WorkerAttempt attempt = found->second;
    worker.attempts.erase(found);
    worker.used_resources.cpu_millis -= attempt.resources.cpu_millis;
    worker.used_resources.memory_mb -= attempt.resources.memory_mb;
    board_.placement_due = true;
    Job& job = jobs_[std::stoul(name.job_id)];
    if (--job.open == 0) {
      job.end_at = now_;
    }
    const auto proof = ProveListedEnd(
        attempt, {1, name, attempt.attempt_number, AttemptEnd::kDone});
    OnAttemptEnded(board_, worker, name, attempt, *proof, false, now_,
                   actions_);
  }

  void Schedule(Micros at, std::function<void()> run) {
    events_.push({at, sequence_++, std::move(run)});
  }

  static bool IsOnTime(const Job& job) {
    const auto objective =
        static_cast<Micros>(kStretch * static_cast<double>(job.run_time)) +
        kTarget;
    return job.end_at != 0 && job.end_at - job.arrived_at <= objective;
  }

  static double ShareOnTime(const std::vector<const Job*>& jobs) {
    return static_cast<double>(
               std::count_if(jobs.begin(), jobs.end(),
                             [](const Job* job) { return IsOnTime(*job); })) /
           static_cast<double>(std::max<size_t>(jobs.size(), 1));
  }

  Deployment deployment_;
  size_t index_;
  std::mt19937_64 random_;
  PoolBoard board_;
  std::map<std::string, double> speed_;
  double capacity_ = 0;  // thousandths of a core times speed
  double cpu_ = 0;       // thousandths of a core
  std::vector<Job> jobs_;
  std::priority_queue<Event> events_;
  uint64_t sequence_ = 0;
  Micros now_ = 0;
  PoolActions actions_;
  double used_ = 0;
  double placement_us_ = 0;
  double longest_placement_us_ = 0;
  size_t placements_ = 0;
  double order_us_ = 0;  // of the admission of jobs
  size_t orders_ = 0;
  size_t most_waiting_ = 0;
};

void Pool::Report(double load) const {
  const bool lookahead = board_.options.features.placement_lookahead;
  double value = 0;
  double possible = 0;
  for (const Job& job : jobs_) {
    possible += kKinds[job.kind].value;
    value += IsOnTime(job) ? kKinds[job.kind].value : 0;
  }
  std::cout << deployment_.name << " " << load << " "
            << (lookahead ? "lookahead " : "in order  ") << " value "
            << value / possible;
  std::vector<Micros> waits;
  for (size_t kind = 0; kind < std::size(kKinds); ++kind) {
    std::vector<const Job*> all;
    std::vector<const Job*> wide;
    for (const Job& job : jobs_) {
      if (job.kind == kind) {
        all.push_back(&job);
        if (job.cpu > deployment_.task_cpu * 6 / 5) {
          wide.push_back(&job);
        }
      }
    }
    std::sort(all.begin(), all.end(), [](const Job* a, const Job* b) {
      return a->tasks * a->cpu > b->tasks * b->cpu;
    });
    const std::vector<const Job*> largest(all.begin(),
                                          all.begin() + all.size() / 10);
    for (const Job* job : largest) {
      waits.push_back(job->started == job->tasks
                          ? job->last_start_at - job->arrived_at
                          : INT64_MAX);
    }
    std::cout << "  " << kKinds[kind].name << " " << ShareOnTime(all) << " "
              << ShareOnTime(largest) << " " << ShareOnTime(wide);
  }
  std::sort(waits.begin(), waits.end());
  const auto quantile = [&](double q) {
    const Micros wait =
        waits[static_cast<size_t>(q * static_cast<double>(waits.size() - 1))];
    return wait == INT64_MAX ? std::string("never")
                             : std::to_string(wait / kMillisecond);
  };
  std::cout << "  p50 " << quantile(0.5) << " p99 " << quantile(0.99)
            << "  cpu " << used_ / cpu_ / (kDuration - 2 * kSecond) << "  us "
            << placement_us_ / static_cast<double>(placements_) << " ms/s "
            << placement_us_ / 1e3 / static_cast<double>(kDuration) * kSecond
            << " error " << EstimateError() << " waiting " << most_waiting_
            << "\n";
}

void MeasureLoads(uint64_t seed) {
  constexpr int kWorkers = 58;  // a sixth of 350
  std::cout << std::fixed << std::setprecision(3)
            << "by kind: on time of all, of the largest tenth, of the tasks "
               "above 1.2 times the mean CPU\n";
  for (size_t deployment = 0; deployment < 2; ++deployment) {
    for (const double load : {0.7, 1.0, 1.3}) {
      for (const bool lookahead : {false, true}) {
        Pool pool(deployment, kWorkers, lookahead, seed);
        pool.MakeJobs(load);
        pool.Run();
        pool.Report(load);
      }
    }
  }
}

void MeasureCost(int workers, size_t tasks) {
  for (const bool lookahead : {false, true}) {
    Pool pool(0, workers, lookahead, 1);
    pool.MakeJobs(1.5);
    pool.MeasureCost(tasks);
  }
}

}  // namespace
}  // namespace goldcrest

int main(int argc, char** argv) {
  if (argc > 3 && std::string(argv[1]) == "cost") {
    goldcrest::MeasureCost(std::atoi(argv[2]),
                           std::strtoull(argv[3], nullptr, 10));
    return 0;
  }
  goldcrest::MeasureLoads(argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1);
  return 0;
}
