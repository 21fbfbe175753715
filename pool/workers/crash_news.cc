#include "pool/workers/crash_news.h"

#include <algorithm>
#include <utility>

#include "pool/jobs/job_end.h"
#include "pool/mesh/mesh_orders.h"
#include "pool/workers/worker_table.h"

namespace goldcrest {
namespace {

wire::TaskCrash ToWire(const TaskCrash& crash) {
  wire::TaskCrash row;
  row.set_job_id(crash.task.job_id);
  row.set_occurrence(crash.task.occurrence);
  row.set_step(crash.task.step);
  row.set_index(crash.task.index);
  row.set_queue(crash.queue);
  row.set_address(crash.process.address);
  row.set_born_ms(crash.process.born_ms);
  row.set_alone(crash.alone);
  row.set_proven(crash.proven);
  row.set_unconfirmed(crash.unconfirmed);
  return row;
}

TaskCrash FromWire(const wire::TaskCrash& row) {
  return {{row.job_id(), row.occurrence(), row.step(), row.index()},
          row.queue(),
          {row.address(), row.born_ms()},
          row.alone(),
          row.proven(),
          row.unconfirmed()};
}

void AddAway(const PoolBoard& board,
             const std::string& address,
             Micros now,
             wire::CrashNews& news) {
  const auto found = board.crashes.away.find(address);
  if (found == board.crashes.away.end()) {
    return;
  }
  wire::AwayWorker& row = *news.add_away();
  row.set_address(address);
  row.set_failure_domain(found->second.failure_domain);
  row.set_queue(found->second.queue);
  row.set_lost_ms_ago(
      static_cast<uint32_t>((now - found->second.lost_at) / kMillisecond));
}

// Returns whether a later process than the crashed one is known at the address.
// News is repeated until it is answered, so the worker may be back by then.
bool IsBack(PoolBoard& board,
            const wire::CrashNews& news,
            const std::string& address) {
  int64_t crashed_born_ms = 0;
  for (const wire::TaskCrash& crash : news.crashes()) {
    if (crash.address() == address) {
      crashed_born_ms = std::max(crashed_born_ms, crash.born_ms());
    }
  }
  const std::vector<PoolWorker*> workers = WorkersAt(board, address);
  return crashed_born_ms != 0 &&
         std::any_of(workers.begin(), workers.end(),
                     [&](const PoolWorker* worker) {
                       return worker->status.born_ms() > crashed_born_ms;
                     });
}

// Returns whether the crash is in the record, whatever is known about it.
bool IsKnown(const CrashLedger& ledger, const TaskCrash& crash) {
  const auto job = ledger.jobs.find(crash.task.job_id);
  if (job == ledger.jobs.end()) {
    return false;
  }
  const auto task = job->second.tasks.find(crash.task);
  return task != job->second.tasks.end() &&
         task->second.crashes.contains(crash.process);
}

// Fails the job of the task, if it is here and the task is given up.
void FailIfGivenUp(PoolBoard& board,
                   const TaskName& task,
                   Micros now,
                   PoolActions& actions) {
  const auto key = board.job_keys.find(task.job_id);
  if (key == board.job_keys.end() ||
      !IsGivenUp(board.crashes, board.options.crashes, task)) {
    return;
  }
  ++board.counters.tasks_given_up;
  const std::string ending = key->second;
  EndJob(board, ending, wire::JOB_FAILED, "task_crashed_workers", now, actions);
}

}  // namespace

bool ApplyTaskCrash(PoolBoard& board,
                    const TaskCrash& crash,
                    Micros now,
                    PoolActions& actions) {
  const bool known = IsKnown(board.crashes, crash);
  if (!RecordTaskCrash(board.crashes, crash, now)) {
    return false;
  }
  if (!known) {
    ++board.counters.task_crashes;
  }
  FailIfGivenUp(board, crash.task, now, actions);
  return true;
}

void OnLaterProcessAnswered(PoolBoard& board,
                            const std::string& address,
                            int64_t born_ms,
                            Micros now,
                            PoolActions& actions) {
  const std::vector<TaskCrash> proven =
      ProveCrashes(board.crashes, address, born_ms);
  for (const TaskCrash& crash : proven) {
    LogPoolEvent(actions, LogLevel::kInfo, "task_crash_proven",
                 {{"job", crash.task.job_id},
                  {"task", ToString(crash.task)},
                  {"address", address},
                  {"born_ms", std::to_string(crash.process.born_ms)},
                  {"later_born_ms", std::to_string(born_ms)}});
    FailIfGivenUp(board, crash.task, now, actions);
  }
  if (!proven.empty()) {
    SendCrashes(board, proven, address, now, actions);
    board.placement_due = true;
  }
}

void SendCrashes(PoolBoard& board,
                 const std::vector<TaskCrash>& crashes,
                 const std::string& address,
                 Micros now,
                 PoolActions& actions) {
  wire::PoolMessage message;
  for (const TaskCrash& crash : crashes) {
    *message.mutable_crash_news()->add_crashes() = ToWire(crash);
  }
  AddAway(board, address, now, *message.mutable_crash_news());
  const wire::CrashNews& news = message.crash_news();
  if (news.crashes_size() + news.away_size() > 0) {
    SendToPool(board, message, now + kMeshOrderLifetime, now, actions);
  }
}

void SendWithdrawal(PoolBoard& board,
                    const CrashedProcess& process,
                    Micros now,
                    PoolActions& actions) {
  wire::PoolMessage message;
  message.mutable_crash_news()->set_withdrawn(true);
  TaskCrash crash;
  crash.process = process;
  *message.mutable_crash_news()->add_crashes() = ToWire(crash);
  SendToPool(board, message, now + kMeshOrderLifetime, now, actions);
}

void SendCrashLedger(const PoolBoard& board,
                     const std::string& to,
                     Micros now,
                     PoolActions& actions) {
  const auto member = board.mesh.members.find(to);
  if (member == board.mesh.members.end() ||
      !MayGetTasks(board, member->second)) {
    return;
  }
  wire::PoolMessage message;
  wire::CrashNews& news = *message.mutable_crash_news();
  for (const auto& [id, job] : board.crashes.jobs) {
    for (const auto& [name, task] : job.tasks) {
      for (const auto& [process, crash] : task.crashes) {
        *news.add_crashes() = ToWire(
            {name, "", process, crash.alone, crash.proven, crash.unconfirmed});
      }
    }
  }
  for (const auto& [address, worker] : board.crashes.away) {
    AddAway(board, address, now, news);
  }
  if (news.crashes_size() + news.away_size() > 0) {
    SendTo(actions, to, std::move(message));
  }
}

void OnCrashNews(PoolBoard& board,
                 const wire::CrashNews& news,
                 Micros now,
                 PoolActions& actions) {
  for (const wire::TaskCrash& row : news.crashes()) {
    const TaskCrash crash = FromWire(row);
    if (news.withdrawn()) {
      WithdrawCrashes(board.crashes, crash.process);
      WithdrawAway(board.crashes, crash.process.address);
    } else {
      ApplyTaskCrash(board, crash, now, actions);
    }
  }
  for (const wire::AwayWorker& row : news.away()) {
    if (IsBack(board, news, row.address())) {
      continue;
    }
    const Micros lost_at = now - row.lost_ms_ago() * kMillisecond;
    RecordAway(board.crashes, row.address(),
               {row.failure_domain(), row.queue(), lost_at});
  }
  board.placement_due = true;
}

}  // namespace goldcrest
