// Measures what is lost by dividing the workers into several pools.
//
// A model of one user's deployment: 48 workers in four failure domains, three
// kinds of job with the rates and sizes of that user's load description, list
// scheduling by priority and objective time, no faults. Prints the share of the
// possible credit that is earned at several loads with one pool, with one pool
// per failure domain, with one pool per failure domain and forwarding of whole
// jobs to a pool that can start them at once, and with one pool per entry VM.
//
//   pool_division_measure [seed]

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <random>
#include <tuple>
#include <vector>

namespace {

constexpr double kSeconds = 300;
constexpr int kWorkers = 48;
constexpr int kDomains = 4;
constexpr double kStretch = 1.6;
constexpr double kTargetMs = 60;
constexpr double kFastFactor = 1.3;
constexpr double kForwardingDelayMs = 2;  // to another domain and back

struct Kind {
  int priority;
  double per_second;
  double tasks;
  double run_ms;
  double worth;
};

constexpr Kind kKinds[] = {{0, 34.4, 8, 60, 0.0291},
                           {2, 6.25, 4, 900, 0.16},
                           {1, 100, 2, 200, 0.01}};

struct Job {
  double arrived = 0;
  double objective_at = 0;
  double late_until = 0;
  double worth = 0;
  int priority = 0;
  int pool = 0;
  std::vector<double> run_ms;
  size_t started = 0;
  double end = 0;
};

// The slots of one pool: when each becomes free, and its speed.
struct Pool {
  std::vector<double> free_at;
  std::vector<double> speed;

  size_t FreeAt(double now) const {
    return static_cast<size_t>(std::count_if(
        free_at.begin(), free_at.end(), [&](double at) { return at <= now; }));
  }
};

std::vector<Pool> MakePools(int count) {
  std::vector<Pool> pools(static_cast<size_t>(count));
  for (int worker = 0; worker < kWorkers; ++worker) {
    // Every third worker has half as much capacity again and is faster.
    const bool fast = worker / count % 3 == 2;
    Pool& pool = pools[static_cast<size_t>(worker % count)];
    for (int slot = 0; slot < (fast ? 3 : 2); ++slot) {
      pool.free_at.push_back(0);
      pool.speed.push_back(fast ? kFastFactor : 1.0);
    }
  }
  return pools;
}

std::vector<Job> MakeJobs(double load, int pools, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<Job> jobs;
  for (const Kind& kind : kKinds) {
    std::exponential_distribution<double> gap(kind.per_second * load / 1000);
    std::lognormal_distribution<double> spread(-0.077, 0.39);  // mean 1
    for (double at = gap(random); at < kSeconds * 1000; at += gap(random)) {
      Job job;
      job.arrived = at;
      const int tasks = std::max(
          1, static_cast<int>(std::lround(kind.tasks * spread(random))));
      double longest = 0;
      for (int i = 0; i < tasks; ++i) {
        job.run_ms.push_back(kind.run_ms * spread(random));
        longest = std::max(longest, job.run_ms.back());
      }
      const double objective = kStretch * longest + kTargetMs;
      job.objective_at = at + objective;
      job.late_until = at + 3 * objective;
      job.priority = kind.priority;
      job.worth = kind.worth;
      job.pool = static_cast<int>(random() % static_cast<uint64_t>(pools));
      jobs.push_back(std::move(job));
    }
  }
  std::sort(jobs.begin(), jobs.end(),
            [](const Job& a, const Job& b) { return a.arrived < b.arrived; });
  return jobs;
}

bool IsBefore(const Job* a, const Job* b) {
  return std::tie(a->priority, a->objective_at) <
         std::tie(b->priority, b->objective_at);
}

void StartTasks(Pool& pool, std::vector<Job*>& waiting, double now) {
  std::sort(waiting.begin(), waiting.end(), IsBefore);
  for (Job* job : waiting) {
    while (job->started < job->run_ms.size()) {
      size_t best = pool.free_at.size();
      for (size_t i = 0; i < pool.free_at.size(); ++i) {
        if (pool.free_at[i] <= now &&
            (best == pool.free_at.size() || pool.speed[i] > pool.speed[best])) {
          best = i;
        }
      }
      if (best == pool.free_at.size()) {
        return;
      }
      pool.free_at[best] = now + job->run_ms[job->started++] / pool.speed[best];
      job->end = std::max(job->end, pool.free_at[best]);
    }
  }
}

double ShareEarned(double load, int count, bool forward_jobs, uint64_t seed) {
  std::vector<Pool> pools = MakePools(count);
  std::vector<Job> jobs = MakeJobs(load, count, seed);
  std::vector<std::vector<Job*>> waiting(pools.size());
  size_t next = 0;
  for (double now = 0; now < kSeconds * 1000 + 20'000; now += 1) {
    for (; next < jobs.size() && jobs[next].arrived <= now; ++next) {
      Job& job = jobs[next];
      const size_t needed = job.run_ms.size();
      auto at = static_cast<size_t>(job.pool);
      if (forward_jobs && pools[at].FreeAt(now) < needed) {
        for (size_t other = 0; other < pools.size(); ++other) {
          if (waiting[other].empty() && pools[other].FreeAt(now) >= needed) {
            at = other;
            job.objective_at -= kForwardingDelayMs;
            break;
          }
        }
      }
      waiting[at].push_back(&job);
    }
    for (size_t i = 0; i < pools.size(); ++i) {
      StartTasks(pools[i], waiting[i], now);
      std::erase_if(waiting[i], [](const Job* job) {
        return job->started == job->run_ms.size();
      });
    }
  }
  double possible = 0;
  double earned = 0;
  for (const Job& job : jobs) {
    const bool done = job.started == job.run_ms.size();
    possible += job.worth;
    earned += !done                         ? 0
              : job.end <= job.objective_at ? job.worth
              : job.end <= job.late_until   ? job.worth / 5
                                            : 0;
  }
  return earned / possible;
}

}  // namespace

int main(int argc, char** argv) {
  const uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  std::cout << "load  one pool  a domain  a domain, whole jobs move  an entry "
               "VM\n"
            << std::fixed << std::setprecision(3);
  for (const double load : {1.0, 1.3, 1.6}) {
    std::cout << load << "    " << ShareEarned(load, 1, false, seed) << "     "
              << ShareEarned(load, kDomains, false, seed) << "     "
              << ShareEarned(load, kDomains, true, seed)
              << "                     " << ShareEarned(load, 6, false, seed)
              << "\n";
  }
  return 0;
}
