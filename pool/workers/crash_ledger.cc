#include "pool/workers/crash_ledger.h"

#include <algorithm>
#include <set>

namespace goldcrest {
namespace {

// A crash counts against its queue for this long.
constexpr Micros kQueueCrashRetention = 5 * kSecond;
// A worker that has not come back after this long is not expected any more.
constexpr Micros kLongestAway = 10 * kSecond;
// Weight of a new outage in the average is 1 / kOutageWeight.
constexpr Micros kOutageWeight = 4;

void ForgetOldestJob(CrashLedger& ledger) {
  const auto oldest = std::min_element(
      ledger.jobs.begin(), ledger.jobs.end(), [](const auto& a, const auto& b) {
        return a.second.updated_at < b.second.updated_at;
      });
  ledger.jobs.erase(oldest);
}

// Returns the record of the task, or null.
const CrashLedger::Task* FindTask(const CrashLedger& ledger,
                                  const TaskName& name) {
  const auto job = ledger.jobs.find(name.job_id);
  if (job == ledger.jobs.end()) {
    return nullptr;
  }
  const auto task = job->second.tasks.find(name);
  return task == job->second.tasks.end() ? nullptr : &task->second;
}

}  // namespace

bool RecordTaskCrash(CrashLedger& ledger, const TaskCrash& crash, Micros now) {
  if (!ledger.jobs.contains(crash.task.job_id) &&
      ledger.jobs.size() >= kMaxCrashedJobs) {
    ForgetOldestJob(ledger);
  }
  CrashLedger::Job& job = ledger.jobs[crash.task.job_id];
  job.updated_at = now;
  return job.tasks[crash.task]
      .crashes.emplace(crash.process, crash.alone)
      .second;
}

std::vector<TaskName> WithdrawCrashes(CrashLedger& ledger,
                                      const CrashedProcess& process) {
  std::vector<TaskName> withdrawn;
  for (auto& [id, job] : ledger.jobs) {
    for (auto& [name, task] : job.tasks) {
      if (task.crashes.erase(process) > 0) {
        withdrawn.push_back(name);
      }
    }
    std::erase_if(job.tasks, [](const auto& entry) {
      return entry.second.crashes.empty();
    });
  }
  std::erase_if(ledger.jobs,
                [](const auto& entry) { return entry.second.tasks.empty(); });
  return withdrawn;
}

int CountCrashes(const CrashLedger& ledger, const TaskName& task) {
  const CrashLedger::Task* found = FindTask(ledger, task);
  if (found == nullptr) {
    return 0;
  }
  std::set<std::string> addresses;
  for (const auto& [process, alone] : found->crashes) {
    addresses.insert(process.address);
  }
  return static_cast<int>(addresses.size());
}

bool IsGivenUp(const CrashLedger& ledger,
               const CrashOptions& options,
               const TaskName& task) {
  const CrashLedger::Task* found = FindTask(ledger, task);
  if (found == nullptr) {
    return false;
  }
  const auto& crashes = found->crashes;
  const int processes = static_cast<int>(crashes.size());
  if (CountCrashes(ledger, task) < options.crashes_to_give_up &&
      processes <= options.crashes_to_give_up) {
    return false;
  }
  return std::any_of(crashes.begin(), crashes.end(),
                     [](const auto& entry) { return entry.second; });
}

const TaskName* FindGivenUpTask(const CrashLedger& ledger,
                                const CrashOptions& options,
                                const std::string& job_id) {
  const auto job = ledger.jobs.find(job_id);
  if (job == ledger.jobs.end()) {
    return nullptr;
  }
  for (const auto& [name, task] : job->second.tasks) {
    if (IsGivenUp(ledger, options, name)) {
      return &name;
    }
  }
  return nullptr;
}

void RecordAway(CrashLedger& ledger,
                const std::string& address,
                const AwayWorker& worker) {
  if (ledger.away.emplace(address, worker).second) {
    ledger.queue_crashes[worker.queue].push_back(worker.lost_at);
  }
}

void EndAway(CrashLedger& ledger, const std::string& address, Micros now) {
  const auto found = ledger.away.find(address);
  if (found == ledger.away.end()) {
    return;
  }
  const Micros outage = now - found->second.lost_at;
  ledger.outage += (outage - ledger.outage) / kOutageWeight;
  ledger.away.erase(found);
}

void WithdrawAway(CrashLedger& ledger, const std::string& address) {
  const auto found = ledger.away.find(address);
  if (found == ledger.away.end()) {
    return;
  }
  std::vector<Micros>& times = ledger.queue_crashes[found->second.queue];
  const auto charged =
      std::find(times.begin(), times.end(), found->second.lost_at);
  if (charged != times.end()) {
    times.erase(charged);
  }
  ledger.away.erase(found);
}

void ForgetOldCrashes(CrashLedger& ledger, Micros now) {
  std::erase_if(ledger.jobs, [&](const auto& entry) {
    return now - entry.second.updated_at > kCrashRetention;
  });
  std::erase_if(ledger.away, [&](const auto& entry) {
    return now - entry.second.lost_at > kLongestAway;
  });
  for (auto& [queue, times] : ledger.queue_crashes) {
    std::erase_if(
        times, [&](Micros time) { return now - time > kQueueCrashRetention; });
  }
  std::erase_if(ledger.queue_crashes,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace goldcrest
