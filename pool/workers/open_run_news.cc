#include "pool/workers/open_run_news.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "pool/jobs/task_queue.h"
#include "pool/mesh/mesh_orders.h"
#include "pool/workers/run_ends.h"
#include "pool/workers/start_bindings.h"
#include "pool/workers/worker_lease.h"

namespace goldcrest {
namespace {

TaskName TaskOf(const wire::OpenRun& row) {
  return {row.job_id(), row.occurrence(), row.step(), row.index()};
}

wire::OpenRun* AddRow(const TaskName& task, wire::OpenRunNews& news) {
  wire::OpenRun* row = news.add_runs();
  row->set_job_id(task.job_id);
  row->set_occurrence(task.occurrence);
  row->set_step(task.step);
  row->set_index(task.index);
  return row;
}

wire::OpenRun* AddOpenRow(const TaskName& task,
                          Micros over_at,
                          Micros now,
                          wire::OpenRunNews& news) {
  // Rounded up, and never 0, which says that the run is over.
  const Micros over_in = std::max(over_at - now, kMillisecond);
  wire::OpenRun* row = AddRow(task, news);
  row->set_over_in_ms(
      static_cast<uint32_t>((over_in + kMillisecond - 1) / kMillisecond));
  return row;
}

// Adds what other daemons have announced, but for the process `to` itself.
void AddRunsElsewhere(const PoolBoard& board,
                      const DaemonProcess& to,
                      Micros now,
                      wire::OpenRunNews& news) {
  for (const auto& [task, runs] : board.open_run_news.elsewhere) {
    for (const auto& [process, run] : runs) {
      if (!run.open || process == to) {
        continue;
      }
      wire::OpenRun* row = AddOpenRow(task, run.over_at, now, news);
      row->set_announced_by(process.address);
      row->set_incarnation(process.incarnation);
      row->set_sequence(run.sequence);
    }
  }
}

uint64_t NextSequence(PoolBoard& board) {
  uint64_t& sequence = board.open_run_news.sequence;
  // Follows the wall clock, so that it also rises with a restart.
  sequence = std::max(sequence + 1, static_cast<uint64_t>(board.wall_ms));
  return sequence;
}

// Whether other daemons must know of a run on a worker that is asked for its
// list. A start without an answer is bounded by no lease, and only this daemon
// knows of it.
bool IsAnnouncementDue(const PoolWorker& worker,
                       const WorkerAttempt& run,
                       Micros now) {
  const bool unanswered = run.answered_at == 0;
  return !run.lease_known &&
         (unanswered || run.job_key.empty() || now > worker.lease_expires_at);
}

bool IsOver(const PoolBoard& board, const TaskName& task) {
  return !board.open_runs.contains(task) && FindBinding(board, task) == nullptr;
}

// Returns the record of what a daemon's process says of a task, a new one if
// there is none; null if too many are known.
RunElsewhere* FindOrAdd(PoolBoard& board,
                        const TaskName& task,
                        const DaemonProcess& announcer,
                        PoolActions& actions) {
  auto& elsewhere = board.open_run_news.elsewhere;
  if (!elsewhere.contains(task) && elsewhere.size() >= kMaxRunsElsewhere) {
    ++board.counters.run_news_dropped;
    LogPoolEvent(actions, LogLevel::kWarning, "open_run_dropped",
                 {{"job", task.job_id}, {"task", ToString(task)}});
    return nullptr;
  }
  return &elsewhere[task][announcer];
}

void ApplyRow(PoolBoard& board,
              const DaemonProcess& announcer,
              const wire::OpenRun& row,
              uint64_t sequence,
              Micros now,
              PoolActions& actions) {
  if (announcer.address == board.mesh.options.self &&
      announcer.incarnation == board.mesh.options.incarnation) {
    return;
  }
  const TaskName task = TaskOf(row);
  RunElsewhere* run = FindOrAdd(board, task, announcer, actions);
  if (run == nullptr || sequence <= run->sequence) {
    return;
  }
  run->sequence = sequence;
  run->open = row.over_in_ms() != 0;
  // The record of a run that is over is kept as long, for late announcements.
  const Micros latest = LateOrderEnd(board.options, now);
  run->over_at = run->open
                     ? std::min(now + row.over_in_ms() * kMillisecond, latest)
                     : latest;
  if (run->open) {
    HoldWaitingTask(board, task);
  } else {
    QueueHeldTask(board, task);
  }
}

// Forgets what others have said of runs that are over by now. Their tasks may
// start if no other run is open.
void ForgetExpired(PoolBoard& board, Micros now) {
  std::vector<TaskName> expired;
  auto& elsewhere = board.open_run_news.elsewhere;
  for (auto& [task, runs] : elsewhere) {
    const size_t erased = std::erase_if(
        runs, [&](const auto& entry) { return now > entry.second.over_at; });
    if (erased > 0) {
      expired.push_back(task);
    }
  }
  std::erase_if(elsewhere,
                [](const auto& entry) { return entry.second.empty(); });
  for (const TaskName& task : expired) {
    QueueHeldTask(board, task);
  }
}

// Takes what is to be announced now: the runs that are new, or are over.
wire::OpenRunNews TakeNews(PoolBoard& board, Micros now, PoolActions& actions) {
  wire::OpenRunNews news;
  auto& announced = board.open_run_news.announced;
  for (auto position = announced.begin(); position != announced.end();) {
    auto& [task, run] = *position;
    if (IsOver(board, task)) {
      if (run.sent) {
        AddRow(task, news);
      }
      position = announced.erase(position);
      continue;
    }
    if (!run.sent) {
      run.sent = true;
      ++board.counters.runs_announced;
      AddOpenRow(task, run.over_at, now, news);
      LogPoolEvent(
          actions, LogLevel::kInfo, "open_run_announced",
          {{"job", task.job_id},
           {"task", ToString(task)},
           {"over_in_ms", std::to_string((run.over_at - now) / kMillisecond)}});
    }
    ++position;
  }
  return news;
}

}  // namespace

void AnnounceOpenRun(PoolBoard& board, const TaskName& task, Micros over_at) {
  AnnouncedRun& run = board.open_run_news.announced[task];
  if (over_at > run.over_at) {
    run = {over_at, false};
  }
}

void AnnounceOpenRuns(PoolBoard& board, PoolWorker& worker, Micros now) {
  for (const auto& [name, run] : worker.attempts) {
    if (IsAnnouncementDue(worker, run, now)) {
      AnnounceOpenRun(board, name, RunOverAt(board.options, worker, run));
    }
  }
}

void SendOpenRuns(PoolBoard& board,
                  const std::string& to,
                  Micros now,
                  PoolActions& actions) {
  const auto member = board.mesh.members.find(to);
  if (member == board.mesh.members.end() ||
      !MayGetTasks(board, member->second)) {
    return;
  }
  wire::PoolMessage message;
  wire::OpenRunNews& news = *message.mutable_open_run_news();
  for (const auto& [task, run] : board.open_run_news.announced) {
    if (!IsOver(board, task)) {
      AddOpenRow(task, run.over_at, now, news);
    }
  }
  AddRunsElsewhere(board, {to, member->second.incarnation}, now, news);
  if (news.runs_size() > 0) {
    news.set_sequence(NextSequence(board));
    SendUntilAnswered(board, to, std::move(message),
                      LateOrderEnd(board.options, now), now, actions);
  }
}

bool IsOpenElsewhere(const PoolBoard& board, const TaskName& task) {
  const auto found = board.open_run_news.elsewhere.find(task);
  return found != board.open_run_news.elsewhere.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [](const auto& entry) { return entry.second.open; });
}

void OnOpenRunNews(PoolBoard& board,
                   const DaemonProcess& from,
                   const wire::OpenRunNews& news,
                   Micros now,
                   PoolActions& actions) {
  for (const wire::OpenRun& row : news.runs()) {
    if (row.announced_by().empty()) {
      ApplyRow(board, from, row, news.sequence(), now, actions);
    } else {
      ApplyRow(board, {row.announced_by(), row.incarnation()}, row,
               row.sequence(), now, actions);
    }
  }
}

void OpenRunsTick(PoolBoard& board, Micros now, PoolActions& actions) {
  ForgetExpired(board, now);
  if (now < board.open_run_news.send_due) {
    return;
  }
  wire::PoolMessage message;
  *message.mutable_open_run_news() = TakeNews(board, now, actions);
  if (message.open_run_news().runs_size() == 0) {
    return;
  }
  board.open_run_news.send_due = now + kNewsPeriod;
  message.mutable_open_run_news()->set_sequence(NextSequence(board));
  // Also to daemons that are out of touch now: they may be back before the runs
  // are over.
  for (const auto& [address, member] : board.mesh.members) {
    if (MayGetTasks(board, member)) {
      SendUntilAnswered(board, address, message,
                        LateOrderEnd(board.options, now), now, actions);
    }
  }
}

}  // namespace goldcrest
