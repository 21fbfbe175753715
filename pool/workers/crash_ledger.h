#ifndef POOL_WORKERS_CRASH_LEDGER_H_
#define POOL_WORKERS_CRASH_LEDGER_H_

// The record of tasks under which workers have crashed, and of the workers that
// are away because of that.
//
// A task may crash every worker that starts it. The record bounds what such a
// task costs: after its first crash it runs alone on a worker (a suspect), so
// that a second crash decides without harm to other tasks; after
// `crashes_to_give_up` crashes, on as many workers, its job fails. A queue
// whose tasks crash several workers is limited: see crash_limit.h.
//
// A crash is proven when a later process has answered at the worker's address.
// Until then it may be a link that refuses connections while the run goes on.
// Only proven crashes under runs that the worker had confirmed give up a task.
// One that would be given up if all its crashes were proven is undecided: it is
// neither started nor failed until its crashes are proven or withdrawn.
//
// The record is plain data. The daemons of a pool exchange it (crash_news.h),
// so that it holds when a job moves or is sent again under its id. It is kept
// in memory for kCrashRetention, of at most kMaxCrashedJobs jobs; the oldest
// ones are forgotten first.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "goldcrest/time_units.h"
#include "pool/worker_order.h"

namespace goldcrest {

struct CrashOptions {
  // Workers that must have crashed under a task before its job fails.
  int crashes_to_give_up = 2;
  // A queue whose tasks crash workers starts none while this part of the pool's
  // workers, in percent, is away because of such queues.
  int max_away_percent = 25;
};

// For this long after the last crash, the record of a job is kept: callers send
// a job again under its id within this time.
inline constexpr Micros kCrashRetention = kMinute;
// Bound of the record, about 0.5 MB.
inline constexpr size_t kMaxCrashedJobs = 1024;

// A process of a worker that crashed. The address identifies the machine, since
// a restarted worker may have another id.
struct CrashedProcess {
  std::string address;
  int64_t born_ms = 0;

  friend auto operator<=>(const CrashedProcess&,
                          const CrashedProcess&) = default;
};

// A crash of a worker while a task ran there.
struct TaskCrash {
  TaskName task;
  std::string queue;
  CrashedProcess process;
  bool alone = false;   // no other task ran on the worker
  bool proven = false;  // a later process has answered at the address
  // It is not known that the run was at work when the process ended: its start
  // may not have arrived, or it may have ended with its lease before.
  bool unconfirmed = false;
};

// A worker that crashed and has not come back yet.
struct AwayWorker {
  std::string failure_domain;
  std::string queue;  // that the crash is charged to
  Micros lost_at = 0;
};

struct CrashLedger {
  struct Crash {
    bool alone = false;
    bool proven = false;
    bool unconfirmed = false;
  };
  struct Task {
    std::map<CrashedProcess, Crash> crashes;
  };
  struct Job {
    std::map<TaskName, Task> tasks;
    Micros updated_at = 0;
  };
  std::unordered_map<std::string, Job> jobs;  // by job id
  std::map<std::string, AwayWorker> away;     // by the worker's address
  // Times of the recent crashes charged to a queue.
  std::map<std::string, std::vector<Micros>> queue_crashes;
  // Average time until a crashed worker is back.
  Micros outage = 3 * kSecond;
};

// Records a crash, or what is new about a known one; returns whether anything
// was.
bool RecordTaskCrash(CrashLedger& ledger, const TaskCrash& crash, Micros now);

// Records that a process which was born at `born_ms` has answered at the
// address: the crashes of earlier ones there are proven. Returns those that
// were not before.
std::vector<TaskCrash> ProveCrashes(CrashLedger& ledger,
                                    const std::string& address,
                                    int64_t born_ms);

// Withdraws the crashes of a process that turned out to be alive. Returns the
// tasks that were recorded for it.
std::vector<TaskName> WithdrawCrashes(CrashLedger& ledger,
                                      const CrashedProcess& process);

// Returns the number of workers, by address, that crashed under the task.
int CountCrashes(const CrashLedger& ledger, const TaskName& task);

// Returns whether a worker has crashed under the task: it runs alone.
inline bool IsCrashSuspect(const CrashLedger& ledger, const TaskName& task) {
  return CountCrashes(ledger, task) > 0;
}

// Returns whether the task has used up its proven crashes: on
// `crashes_to_give_up` machines, or one more on fewer machines, which may be at
// fault themselves. At least one of them must have come while it ran alone:
// tasks that ran together may have been lost together by the fault of one.
bool IsGivenUp(const CrashLedger& ledger,
               const CrashOptions& options,
               const TaskName& task);

// Returns whether the task is not given up, but would be if all its crashes
// were proven and all its runs there confirmed.
bool IsUndecided(const CrashLedger& ledger,
                 const CrashOptions& options,
                 const TaskName& task);

// Returns the first task of the job that has used up its crashes, or null.
const TaskName* FindGivenUpTask(const CrashLedger& ledger,
                                const CrashOptions& options,
                                const std::string& job_id);

// Records that the worker at the address is away, unless that is known.
void RecordAway(CrashLedger& ledger,
                const std::string& address,
                const AwayWorker& worker);

// Records that the worker at the address is back, or is given up.
void EndAway(CrashLedger& ledger, const std::string& address, Micros now);

// Records that the worker at the address had not crashed: its loss counts
// against no queue.
void WithdrawAway(CrashLedger& ledger, const std::string& address);

// Forgets what is older than its retention.
void ForgetOldCrashes(CrashLedger& ledger, Micros now);

}  // namespace goldcrest

#endif  // POOL_WORKERS_CRASH_LEDGER_H_
