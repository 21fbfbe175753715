#include "pool/admission/overload_control.h"

#include <algorithm>
#include <cmath>

#include "pool/admission/retry_after.h"
#include "pool/jobs/job_end.h"
#include "pool/jobs/pool_jobs.h"
#include "pool/jobs/task_queue.h"
#include "pool/placement/choose_worker.h"
#include "pool/placement/task_requirements.h"

namespace goldcrest {
namespace {

// Standard deviation of a run time relative to its estimate.
constexpr double kRunTimeError = 0.4;
// A larger margin makes the most urgent jobs yield more often to others; with
// this one, three of four run times are within the margin.
constexpr double kLatenessMargin = 0.25;
// The sum of the run times of several jobs is certainly not shorter than
// expected by more than this many standard deviations.
constexpr double kCertainDeviations = 2;
// A job is certainly too late for its caller's timeout if even this part of its
// expected run time does not fit; the same as in placement.
constexpr double kShortestRunTimePart = 0.5;
// Demand is averaged over this time: long enough for queues with a few jobs per
// second, short enough to follow a burst of seconds.
constexpr Micros kOfferedWorkPeriod = 2 * kSecond;

double Decayed(const OfferedWork& offered, Micros now) {
  const auto age = static_cast<double>(now - offered.updated_at);
  return offered.cpu_millis *
         std::exp(-age / static_cast<double>(kOfferedWorkPeriod));
}

// The waiting tasks of a job, which are next to each other in the queue.
struct QueuedJob {
  PoolJob* job = nullptr;
  std::vector<WaitingKey> tasks;
};

std::vector<QueuedJob> QueuedJobs(const PoolBoard& board) {
  std::vector<QueuedJob> jobs;
  for (const auto& [key, task] : board.waiting) {
    if (jobs.empty() || jobs.back().job != task.job) {
      jobs.push_back({task.job, {}});
    }
    jobs.back().tasks.push_back(key);
  }
  return jobs;
}

const wire::JobStep& StepOf(const PoolJob& job, const WaitingKey& key) {
  return job.order.steps(static_cast<int>(key.step));
}

double WaitingCpu(const QueuedJob& queued) {
  double cpu = 0;
  for (const WaitingKey& key : queued.tasks) {
    cpu += StepOf(*queued.job, key).cpu_millis();
  }
  return cpu;
}

// Whether the worker is, or is about to be, available to this daemon's tasks. A
// session that is being reconciled is ready again within milliseconds.
bool CountsAsCapacity(const PoolWorker& worker) {
  return IsInPool(worker) && !worker.status.leaving() &&
         (worker.session == SessionState::kReady ||
          worker.session == SessionState::kReconciling);
}

void AppendFreeingTimes(const PoolWorker& worker,
                        Micros now,
                        std::vector<FreedCpu>& freed) {
  const Micros from = std::max<Micros>(worker.health.ejected_until - now, 0);
  freed.push_back({from, FreeCapacity(worker).cpu_millis});
  for (const auto& [name, attempt] : worker.attempts) {
    // The end of an overdue attempt is taken to be now: early rather than late.
    const Micros end = attempt.sent_at + attempt.expected_run_time - now;
    freed.push_back({std::max(from, end), attempt.resources.cpu_millis});
  }
}

std::map<std::string, FreeingTimes> FreeingTimesByService(
    const PoolBoard& board,
    Micros now) {
  std::map<std::string, std::vector<FreedCpu>> freed;
  for (const auto& [id, worker] : board.owned) {
    if (CountsAsCapacity(*worker)) {
      AppendFreeingTimes(*worker, now, freed[worker->status.service()]);
    }
  }
  std::map<std::string, FreeingTimes> result;
  for (auto& [service, cpu] : freed) {
    result[service] = MakeFreeingTimes(std::move(cpu));
  }
  return result;
}

// The workers with free capacity, the largest first.
std::vector<PoolWorker*> WorkersWithCapacity(const PoolBoard& board,
                                             Micros now) {
  std::vector<PoolWorker*> ready = ReadyWorkers(board, now);
  std::sort(ready.begin(), ready.end(),
            [](const PoolWorker* a, const PoolWorker* b) {
              return FreeCapacity(*a).cpu_millis > FreeCapacity(*b).cpu_millis;
            });
  return ready;
}

// `by_free_cpu` is sorted, the worker with the most free CPU first.
bool FitsNow(const std::vector<PoolWorker*>& by_free_cpu,
             const PoolJob& job,
             const wire::JobStep& step) {
  const Resources required = ResourcesOf(step);
  for (const PoolWorker* worker : by_free_cpu) {
    const Resources free = FreeCapacity(*worker);
    if (free.cpu_millis < required.cpu_millis) {
      return false;
    }
    if (Fits(required, free) && Matches(*worker, job.order, step)) {
      return true;
    }
  }
  return false;
}

// Returns the run time of the longest step that is not done. Steps may run at
// the same time, so the job may end as soon as that.
Micros LongestOpenStep(const PoolJob& job) {
  Micros longest = 0;
  for (const PoolJobStep& step : job.steps) {
    longest =
        std::max(longest, step.open_tasks > 0 ? step.expected_run_time : 0);
  }
  return longest;
}

// Returns false if the job is late unless it starts when it arrives, as with
// the defaults of a queue: its objective then says nothing about the value of a
// later answer.
bool HasUsefulObjective(const PoolJob& job) {
  return job.objective_at - job.received_at > RemainingSequentialRunTime(job);
}

WaitingJob MakeWaitingJob(const QueuedJob& queued,
                          const std::vector<PoolWorker*>& by_free_cpu) {
  const PoolJob& job = *queued.job;
  WaitingJob result;
  result.service = job.order.service();
  result.started = job.started;
  result.can_be_on_time = job.expected_lateness <= ExpectedLateness::kAtRisk;
  result.fits_now = FitsNow(by_free_cpu, job, StepOf(job, queued.tasks[0]));
  result.shortest_run_time = static_cast<Micros>(
      kShortestRunTimePart * static_cast<double>(LongestOpenStep(job)));
  result.deadline = job.deadline;
  result.value_ends_at =
      HasUsefulObjective(job) ? ValueEndsAt(job) : job.deadline;
  for (const WaitingKey& key : queued.tasks) {
    const wire::JobStep& step = StepOf(job, key);
    result.uses_any_worker &= step.required_label().empty();
    result.work += static_cast<double>(step.cpu_millis()) *
                   static_cast<double>(job.steps[key.step].expected_run_time);
  }
  return result;
}

// The work that is promised to the jobs of a service that come first.
struct Promised {
  double work = 0;
  int jobs = 0;

  // Returns the work that will certainly be done, given the error of estimates.
  double CertainWork() const {
    const double error =
        kCertainDeviations * kRunTimeError / std::sqrt(std::max(jobs, 1));
    return work * std::max(1 - error, 0.0);
  }
};

// Returns a control daemon that reports, not earlier than its heartbeats allow,
// that it could start all of the job at once; or null.
MeshMember* FindFreeNeighbour(PoolBoard& board, int64_t cpu, Micros now) {
  for (auto& [address, member] : board.mesh.members) {
    const wire::PoolLoad& load = member.last_heartbeat.load();
    const bool free = member.last_heartbeat.control() &&
                      !member.last_heartbeat.draining() &&
                      IsLoadFresh(member, now) && load.wait_ms() == 0 &&
                      load.free_cpu_millis() >= cpu + cpu / 4;
    if (free) {
      return &member;
    }
  }
  return nullptr;
}

// Returns whether the entry daemon is to send a refused job to another control
// daemon. It is then taken off the known load of the neighbour, so that a wave
// of refusals is not sent on to the same free capacity.
bool TryElsewhere(PoolBoard& board,
                  const QueuedJob& queued,
                  OverloadRefusal refusal,
                  Micros now) {
  if (refusal != OverloadRefusal::kCapacityPromised) {
    return false;
  }
  const auto cpu = static_cast<int64_t>(WaitingCpu(queued));
  MeshMember* neighbour = FindFreeNeighbour(board, cpu, now);
  if (neighbour == nullptr) {
    return false;
  }
  wire::PoolLoad& load = *neighbour->last_heartbeat.mutable_load();
  load.set_free_cpu_millis(load.free_cpu_millis() - cpu);
  return true;
}

void Refuse(PoolBoard& board,
            const QueuedJob& queued,
            OverloadRefusal refusal,
            Micros now,
            PoolActions& actions) {
  const PoolJob& job = *queued.job;
  const bool try_elsewhere = TryElsewhere(board, queued, refusal, now);
  const int64_t retry_after_ms =
      try_elsewhere ? kShortestRetryAfterMs : RetryAfterMs(board, job, now);
  const std::string reason(ToString(refusal));
  ++board.counters.overload_refusals[reason];
  LogPoolEvent(
      actions, LogLevel::kWarning, "overload_refusal",
      {{"job", job.order.job_id()},
       {"queue", job.order.queue()},
       {"reason", reason},
       {"entry", job.order.entry()},
       {"waited_ms", std::to_string((now - job.received_at) / kMillisecond)},
       {"left_ms", std::to_string((job.deadline - now) / kMillisecond)},
       {"waiting", std::to_string(board.waiting.size())},
       {"retry_after_ms", std::to_string(retry_after_ms)},
       {"try_elsewhere", try_elsewhere ? "1" : "0"}});
  RefuseUnstartedJob(board, job.key, reason, retry_after_ms, try_elsewhere, now,
                     actions);
}

void RefuseUselessJobs(PoolBoard& board,
                       const std::vector<QueuedJob>& queued,
                       Micros now,
                       PoolActions& actions) {
  const std::vector<PoolWorker*> by_free_cpu = WorkersWithCapacity(board, now);
  std::vector<WaitingJob> jobs;
  jobs.reserve(queued.size());
  for (const QueuedJob& job : queued) {
    jobs.push_back(MakeWaitingJob(job, by_free_cpu));
  }
  // A standby takes over workers one after the other.
  const bool pool_is_known = board.mesh.options.control &&
                             now - board.started_at > kWorkerDiscoveryTime;
  const std::vector<OverloadRefusal> refusals = ReviewWaitingJobs(
      jobs, FreeingTimesByService(board, now), pool_is_known, now);
  for (size_t i = 0; i < refusals.size(); ++i) {
    if (refusals[i] != OverloadRefusal::kNone) {
      Refuse(board, queued[i], refusals[i], now, actions);
    }
  }
}

std::map<std::string, QueueShare> SharesOf(PoolBoard& board, Micros now) {
  std::map<std::string, QueueShare> shares;
  for (const auto& [queue, offered] : board.overload.offered) {
    shares[queue].offered = Decayed(offered, now);
  }
  double capacity = 0;
  for (const auto& [id, worker] : board.owned) {
    capacity += AcceptsStarts(*worker, now) ? worker->status.cpu_millis() : 0;
    for (const auto& [name, attempt] : worker->attempts) {
      const PoolJob* job = FindPoolJob(board, attempt.job_key);
      if (job != nullptr) {
        shares[job->order.queue()].occupied +=
            static_cast<double>(attempt.resources.cpu_millis);
      }
    }
  }
  SetFloors(shares, capacity, board.options.features.queue_floor_percent);
  return shares;
}

void RankByShares(PoolBoard& board,
                  const std::vector<QueuedJob>& queued,
                  Micros now) {
  std::vector<FloorCandidate> candidates;
  candidates.reserve(queued.size());
  for (const QueuedJob& job : queued) {
    candidates.push_back(
        {job.job->order.queue(), job.job->started, WaitingCpu(job)});
  }
  const std::vector<bool> first =
      ChooseFirstJobs(candidates, SharesOf(board, now));
  for (size_t i = 0; i < queued.size(); ++i) {
    PoolJob& job = *queued[i].job;
    const QueueRank rank =
        first[i] ? QueueRank::kFirst : QueueRank::kByPriority;
    if (rank != job.rank) {
      MoveInQueue(board, job, job.expected_lateness, rank);
    }
  }
}

}  // namespace

double LatenessMargin(const PoolFeatures& features) {
  return features.overload_control ? kLatenessMargin : 0;
}

FreeingTimes MakeFreeingTimes(std::vector<FreedCpu> freed) {
  std::sort(freed.begin(), freed.end(),
            [](const FreedCpu& a, const FreedCpu& b) { return a.in < b.in; });
  FreeingTimes result;
  for (const FreedCpu& part : freed) {
    const auto cpu = static_cast<double>(part.cpu_millis);
    result.cpu_sums.push_back(result.cpu_sums.back() + cpu);
    result.cpu_time_sums.push_back(result.cpu_time_sums.back() +
                                   cpu * static_cast<double>(part.in));
  }
  result.freed = std::move(freed);
  return result;
}

double WorkWithin(const FreeingTimes& freeing, Micros time) {
  const auto end = std::lower_bound(
      freeing.freed.begin(), freeing.freed.end(), time,
      [](const FreedCpu& part, Micros until) { return part.in < until; });
  const auto count = static_cast<size_t>(end - freeing.freed.begin());
  return freeing.cpu_sums[count] * static_cast<double>(time) -
         freeing.cpu_time_sums[count];
}

std::vector<OverloadRefusal> ReviewWaitingJobs(
    const std::vector<WaitingJob>& jobs,
    const std::map<std::string, FreeingTimes>& freeing,
    bool pool_is_known,
    Micros now) {
  // The services in which a job that can be on time waits for capacity.
  std::map<std::string, bool> others_wait;
  for (const WaitingJob& job : jobs) {
    others_wait[job.service] |=
        job.can_be_on_time && !job.fits_now && job.uses_any_worker;
  }
  std::map<std::string, Promised> promised;
  std::vector<OverloadRefusal> refusals;
  refusals.reserve(jobs.size());
  const auto review = [&](const WaitingJob& job) {
    if (job.started) {
      return OverloadRefusal::kNone;
    }
    const Micros earliest_end = now + job.shortest_run_time;
    if (earliest_end > job.deadline) {
      return OverloadRefusal::kNoTimeLeft;
    }
    const auto capacity = freeing.find(job.service);
    // Without value, it is kept only if it takes no capacity from others.
    const bool is_useless = capacity == freeing.end()
                                ? pool_is_known
                                : others_wait[job.service] && !job.fits_now;
    if (earliest_end > job.value_ends_at && is_useless) {
      return OverloadRefusal::kNoValueLeft;
    }
    if (!pool_is_known || job.fits_now || capacity == freeing.end()) {
      return OverloadRefusal::kNone;
    }
    // A job without value is kept for its caller while no other job waits.
    const Micros useful_until = earliest_end > job.value_ends_at
                                    ? job.deadline
                                    : std::min(job.deadline, job.value_ends_at);
    const Micros latest_start = useful_until - job.shortest_run_time;
    return promised[job.service].CertainWork() >
                   WorkWithin(capacity->second, latest_start - now)
               ? OverloadRefusal::kCapacityPromised
               : OverloadRefusal::kNone;
  };
  for (const WaitingJob& job : jobs) {
    refusals.push_back(review(job));
    if (refusals.back() == OverloadRefusal::kNone && job.uses_any_worker) {
      promised[job.service].work += job.work;
      ++promised[job.service].jobs;
    }
  }
  return refusals;
}

void SetFloors(std::map<std::string, QueueShare>& shares,
               double capacity,
               int floor_percent) {
  double offered = 0;
  for (const auto& [queue, share] : shares) {
    offered += share.offered;
  }
  if (offered <= 0) {
    return;
  }
  const double divided = capacity * floor_percent / 100;
  for (auto& [queue, share] : shares) {
    share.floor = std::min(divided * share.offered / offered, share.offered);
  }
}

std::vector<bool> ChooseFirstJobs(const std::vector<FloorCandidate>& jobs,
                                  std::map<std::string, QueueShare> shares) {
  std::vector<bool> first;
  first.reserve(jobs.size());
  for (const FloorCandidate& job : jobs) {
    QueueShare& share = shares[job.queue];
    const bool below_floor = share.occupied < share.floor;
    first.push_back(job.started || below_floor);
    share.occupied += first.back() ? job.cpu_millis : 0;
  }
  return first;
}

void RecordOfferedWork(PoolBoard& board,
                       const wire::JobOrder& order,
                       Micros now) {
  if (!board.options.features.overload_control) {
    return;
  }
  double work = 0;
  for (const wire::JobStep& step : order.steps()) {
    work += static_cast<double>(step.tasks()) * step.cpu_millis() *
            static_cast<double>(step.estimate_ms() * kMillisecond);
  }
  OfferedWork& offered = board.overload.offered[order.queue()];
  offered.cpu_millis =
      Decayed(offered, now) + work / static_cast<double>(kOfferedWorkPeriod);
  offered.updated_at = now;
}

double OfferedCpuMillis(const PoolBoard& board, Micros now) {
  double cpu_millis = 0;
  for (const auto& [queue, offered] : board.overload.offered) {
    cpu_millis += Decayed(offered, now);
  }
  return cpu_millis;
}

void OverloadTick(PoolBoard& board, Micros now, PoolActions& actions) {
  if (!board.options.features.overload_control || board.waiting.empty()) {
    return;
  }
  RankByShares(board, QueuedJobs(board), now);
  RefuseUselessJobs(board, QueuedJobs(board), now, actions);
}

}  // namespace goldcrest
