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

// Returns whether those crashes of the task for which `counts` is true are
// enough to give it up.
template <typename Counts>
bool AreEnough(const CrashLedger::Task& task,
               const CrashOptions& options,
               Counts counts) {
  std::set<std::string> addresses;
  int processes = 0;
  bool alone = false;
  for (const auto& [process, crash] : task.crashes) {
    if (counts(crash)) {
      addresses.insert(process.address);
      ++processes;
      alone = alone || crash.alone;
    }
  }
  return alone &&
         (static_cast<int>(addresses.size()) >= options.crashes_to_give_up ||
          processes > options.crashes_to_give_up);
}

}  // namespace

bool RecordTaskCrash(CrashLedger& ledger, const TaskCrash& crash, Micros now) {
  if (!ledger.jobs.contains(crash.task.job_id) &&
      ledger.jobs.size() >= kMaxCrashedJobs) {
    ForgetOldestJob(ledger);
  }
  CrashLedger::Job& job = ledger.jobs[crash.task.job_id];
  job.updated_at = now;
  const auto [entry, is_new] = job.tasks[crash.task].crashes.try_emplace(
      crash.process,
      CrashLedger::Crash{crash.alone, crash.proven, crash.unconfirmed});
  CrashLedger::Crash& known = entry->second;
  const bool adds = is_new || (crash.proven && !known.proven);
  known.proven = known.proven || crash.proven;
  return adds;
}

std::vector<TaskCrash> ProveCrashes(CrashLedger& ledger,
                                    const std::string& address,
                                    int64_t born_ms) {
  std::vector<TaskCrash> proven;
  for (auto& [id, job] : ledger.jobs) {
    for (auto& [name, task] : job.tasks) {
      for (auto& [process, crash] : task.crashes) {
        if (crash.proven || process.address != address ||
            process.born_ms >= born_ms) {
          continue;
        }
        crash.proven = true;
        proven.push_back(
            {name, "", process, crash.alone, true, crash.unconfirmed});
      }
    }
  }
  return proven;
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
  for (const auto& [process, record] : found->crashes) {
    addresses.insert(process.address);
  }
  return static_cast<int>(addresses.size());
}

bool IsGivenUp(const CrashLedger& ledger,
               const CrashOptions& options,
               const TaskName& task) {
  const CrashLedger::Task* found = FindTask(ledger, task);
  return found != nullptr &&
         AreEnough(*found, options, [](const CrashLedger::Crash& crash) {
           return crash.proven && !crash.unconfirmed;
         });
}

bool IsUndecided(const CrashLedger& ledger,
                 const CrashOptions& options,
                 const TaskName& task) {
  const CrashLedger::Task* found = FindTask(ledger, task);
  return found != nullptr &&
         AreEnough(*found, options,
                   [](const CrashLedger::Crash& /*crash*/) { return true; }) &&
         !IsGivenUp(ledger, options, task);
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
