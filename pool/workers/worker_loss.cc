#include "pool/workers/worker_loss.h"

#include <algorithm>
#include <set>
#include <utility>

#include "pool/workers/crash_limit.h"
#include "pool/workers/crash_news.h"

namespace goldcrest {
namespace {

// A refusal may come from a process that is just restarting its listener; two
// of them this far apart may not. The same holds for closed connections.
constexpr int kRefusalsOfCrash = 2;
constexpr Micros kRefusedTimeOfCrash = 50 * kMillisecond;
// Workers lost within this time of each other are lost together.
constexpr Micros kSharedLossWindow = 100 * kMillisecond;
// A loss of this many workers, and of this part of the pool, has a shared
// cause.
constexpr int kSharedLossWorkers = 3;
constexpr int kSharedLossDivisor = 3;

std::set<std::string> JobsOn(const PoolWorker& worker) {
  std::set<std::string> jobs;
  for (const auto& [name, attempt] : worker.attempts) {
    jobs.insert(name.job_id);
  }
  return jobs;
}

bool RunsSuspect(const PoolWorker& worker) {
  return worker.attempts.size() == 1 && worker.attempts.begin()->second.alone;
}

// Counts the workers that were lost at about the same time as `worker`, and
// finds out whether one job ran on all of them. The loss of a worker that ran a
// suspect is explained by that.
void AddSharedEvidence(const PoolBoard& board,
                       const PoolWorker& worker,
                       LossEvidence& evidence) {
  std::set<std::string> common = JobsOn(worker);
  evidence.lost_workers = 1;
  for (const auto& [id, other] : board.owned) {
    const Micros lost_at = other->loss.closed_at;
    if (other == &worker || lost_at == 0 || RunsSuspect(*other) ||
        std::abs(lost_at - worker.loss.closed_at) > kSharedLossWindow) {
      continue;
    }
    ++evidence.lost_workers;
    const std::set<std::string> jobs = JobsOn(*other);
    std::erase_if(common,
                  [&](const std::string& job) { return !jobs.contains(job); });
  }
  evidence.common_job = !common.empty();
}

// Returns whether so many workers were lost together that they have a shared
// cause.
bool IsShared(const LossEvidence& evidence) {
  return evidence.lost_workers >= kSharedLossWorkers &&
         evidence.lost_workers * kSharedLossDivisor >= evidence.pool_workers &&
         !evidence.common_job;
}

LossEvidence EvidenceOf(const PoolBoard& board,
                        const PoolWorker& worker,
                        bool new_process) {
  const WorkerLoss& loss = worker.loss;
  LossEvidence evidence;
  evidence.leaving = worker.status.leaving();
  evidence.new_process = new_process;
  evidence.closed = loss.closed_at != 0;
  evidence.refusals = loss.refusals;
  evidence.refused_for = loss.last_refused_at - loss.first_refused_at;
  evidence.pool_workers = static_cast<int>(board.owned.size());
  if (evidence.closed) {
    AddSharedEvidence(board, worker, evidence);
  }
  return evidence;
}

// Returns the queue that a crash of the worker is charged to: that of the
// attempt started last, since a task that crashes workers does so soon after
// its start; of a queue with crashes, if one runs there.
std::string ChargedQueue(const PoolBoard& board, const PoolWorker& worker) {
  std::string queue;
  Micros latest = 0;
  for (const auto& [name, attempt] : worker.attempts) {
    const auto job = board.jobs.find(attempt.job_key);
    if (job == board.jobs.end()) {
      continue;
    }
    const std::string& candidate = job->second->order.queue();
    if (IsCrashProne(board.crashes, candidate)) {
      return candidate;
    }
    if (attempt.sent_at >= latest) {
      latest = attempt.sent_at;
      queue = candidate;
    }
  }
  return queue;
}

void LogLoss(const PoolWorker& worker,
             const LossEvidence& evidence,
             LossCause cause,
             Micros now,
             PoolActions& actions) {
  const Micros silent = now - worker.last_answer_at;
  LogPoolEvent(actions, LogLevel::kWarning, "worker_lost",
               {{"worker", worker.status.id()},
                {"address", worker.status.address()},
                {"cause", std::string(ToString(cause))},
                {"runs", std::to_string(worker.attempts.size())},
                {"closed", evidence.closed ? "1" : "0"},
                {"refusals", std::to_string(evidence.refusals)},
                {"new_process", evidence.new_process ? "1" : "0"},
                {"lost_workers", std::to_string(evidence.lost_workers)},
                {"answered_ms_ago", std::to_string(silent / kMillisecond)}});
}

// Returns whether the run has begun on the worker's present process, as far as
// this daemon can know: the process has confirmed it, or its side has closed
// the call of the start.
bool HasBegun(const PoolWorker& worker, const WorkerAttempt& run) {
  if (run.answered_at == 0) {
    return run.start_closed;
  }
  return !run.stale && run.process_ms == worker.status.born_ms();
}

// Appends a crash of the worker's process for each task that has begun there:
// an order that was on its way is no evidence against its task. The job may
// have ended and may be sent again. A `shared` loss makes the tasks suspects,
// but proves nothing about any of them.
void AddTaskCrashes(const PoolBoard& board,
                    const PoolWorker& worker,
                    bool shared,
                    std::vector<TaskCrash>& crashes) {
  const CrashedProcess process{worker.status.address(),
                               worker.status.born_ms()};
  const bool alone = !shared && worker.attempts.size() == 1;
  for (const auto& [name, attempt] : worker.attempts) {
    if (!HasBegun(worker, attempt)) {
      continue;
    }
    const auto job = board.jobs.find(attempt.job_key);
    const std::string queue =
        job == board.jobs.end() ? "" : job->second->order.queue();
    const bool unconfirmed = attempt.answered_at == 0;
    crashes.push_back({name, queue, process, alone, false, unconfirmed});
  }
}

// Logs a crash that this daemon has recorded, with what follows from it.
void LogTaskCrash(const PoolBoard& board,
                  const TaskCrash& crash,
                  PoolActions& actions) {
  const CrashOptions& options = board.options.crashes;
  const bool given_up = IsGivenUp(board.crashes, options, crash.task);
  const bool undecided = IsUndecided(board.crashes, options, crash.task);
  LogPoolEvent(
      actions, LogLevel::kWarning, "task_crash",
      {{"job", crash.task.job_id},
       {"task", ToString(crash.task)},
       {"queue", crash.queue},
       {"address", crash.process.address},
       {"born_ms", std::to_string(crash.process.born_ms)},
       {"alone", crash.alone ? "1" : "0"},
       {"confirmed", crash.unconfirmed ? "0" : "1"},
       {"crashes", std::to_string(CountCrashes(board.crashes, crash.task))},
       {"limit", std::to_string(board.options.crashes.crashes_to_give_up)},
       {"outcome", given_up    ? "given_up"
                   : undecided ? "undecided"
                               : "retry_alone"}});
}

// Records the crashes of the worker's process, and tells the other daemons.
void RecordTaskCrashes(PoolBoard& board,
                       const PoolWorker& worker,
                       const std::vector<TaskCrash>& crashes,
                       Micros now,
                       PoolActions& actions) {
  for (const TaskCrash& crash : crashes) {
    if (ApplyTaskCrash(board, crash, now, actions)) {
      LogTaskCrash(board, crash, actions);
    }
  }
  SendCrashes(board, crashes, worker.status.address(), now, actions);
}

// Records the crash for all tasks on the worker. `is_back`: a later process has
// taken its place already.
void RecordCrash(PoolBoard& board,
                 PoolWorker& worker,
                 bool shared,
                 bool is_back,
                 Micros now,
                 PoolActions& actions) {
  const std::string& address = worker.status.address();
  if (!shared && !is_back) {
    RecordAway(
        board.crashes, address,
        {worker.status.failure_domain(), ChargedQueue(board, worker), now});
  }
  std::vector<TaskCrash> crashes;
  AddTaskCrashes(board, worker, shared, crashes);
  RecordTaskCrashes(board, worker, crashes, now, actions);
}

// Concludes the cause of a loss and acts on it, once for each loss.
void ConcludeOnce(PoolBoard& board,
                  PoolWorker& worker,
                  bool new_process,
                  Micros now,
                  PoolActions& actions) {
  if (worker.loss.concluded || worker.attempts.empty()) {
    return;
  }
  const LossEvidence evidence = EvidenceOf(board, worker, new_process);
  const LossCause cause = ConcludeLoss(evidence);
  if (cause == LossCause::kUnknown) {
    return;
  }
  worker.loss.concluded = true;
  ++board.counters.worker_losses[std::string(ToString(cause))];
  LogLoss(worker, evidence, cause, now, actions);
  if (cause != LossCause::kLeft) {
    RecordCrash(board, worker, cause == LossCause::kShared, new_process, now,
                actions);
  }
}

}  // namespace

LossCause ConcludeLoss(const LossEvidence& evidence) {
  const bool refused = evidence.closed &&
                       evidence.refusals >= kRefusalsOfCrash &&
                       evidence.refused_for >= kRefusedTimeOfCrash;
  if (!refused && !evidence.new_process) {
    return LossCause::kUnknown;
  }
  if (evidence.leaving) {
    return LossCause::kLeft;
  }
  return IsShared(evidence) ? LossCause::kShared : LossCause::kCrash;
}

void OnCallClosed(PoolWorker& worker, const WorkerAnswer& answer, Micros now) {
  if (answer.failure != CallFailure::kClosed ||
      worker.session == SessionState::kNone) {
    return;
  }
  WorkerLoss& loss = worker.loss;
  if (loss.closed_at == 0) {
    loss.closed_at = now;
  } else {
    loss.last_closed_at = now;
    ++loss.further_closes;
  }
  const auto found = worker.attempts.find(answer.order.task);
  if (answer.order.kind == OrderKind::kStart &&
      found != worker.attempts.end() &&
      found->second.attempt_number == answer.order.attempt &&
      found->second.token == answer.order.token) {
    found->second.start_closed = true;
  }
}

void OnWorkerCallEnd(PoolBoard& board,
                     PoolWorker& worker,
                     const WorkerAnswer& answer,
                     Micros now,
                     PoolActions& actions) {
  WorkerLoss& loss = worker.loss;
  if (answer.failure == CallFailure::kNone) {
    const bool same_process =
        answer.worker_started_ms == 0 ||
        answer.worker_started_ms == worker.status.born_ms();
    if (answer.outcome == OrderOutcome::kDone && same_process) {
      OnWorkerProcessSeen(board, worker, now, actions);
    }
    return;
  }
  // Only a refused connection shows that no process listens: a live worker may
  // close any number of them.
  if (answer.failure == CallFailure::kRefused && loss.closed_at != 0) {
    loss.first_refused_at = loss.refusals == 0 ? now : loss.first_refused_at;
    loss.last_refused_at = now;
    ++loss.refusals;
    ConcludeOnce(board, worker, false, now, actions);
  }
}

void OnLeaseExpired(PoolBoard& board,
                    PoolWorker& worker,
                    Micros now,
                    PoolActions& actions) {
  WorkerLoss& loss = worker.loss;
  const bool closed =
      loss.further_closes >= kRefusalsOfCrash &&
      loss.last_closed_at - loss.closed_at >= kRefusedTimeOfCrash;
  if (!closed || loss.concluded || worker.status.leaving()) {
    return;
  }
  // An answer of this process withdraws what is recorded here.
  loss.concluded = true;
  std::vector<TaskCrash> crashes;
  AddTaskCrashes(board, worker, IsShared(EvidenceOf(board, worker, false)),
                 crashes);
  for (TaskCrash& crash : crashes) {
    // The process may be alive, and end long after the runs.
    crash.unconfirmed = true;
  }
  RecordTaskCrashes(board, worker, crashes, now, actions);
}

void OnWorkerProcessLost(PoolBoard& board,
                         PoolWorker& worker,
                         bool new_process,
                         Micros now,
                         PoolActions& actions) {
  ConcludeOnce(board, worker, new_process, now, actions);
  worker.loss = {};
  EndAway(board.crashes, worker.status.address(), now);
}

void OnWorkerProcessSeen(PoolBoard& board,
                         PoolWorker& worker,
                         Micros now,
                         PoolActions& actions) {
  if (worker.loss.concluded) {
    WithdrawAway(board.crashes, worker.status.address());
    OnProcessAlive(board, {worker.status.address(), worker.status.born_ms()},
                   now, actions);
  }
  worker.loss = {};
}

void OnProcessAlive(PoolBoard& board,
                    const CrashedProcess& process,
                    Micros now,
                    PoolActions& actions) {
  const std::vector<TaskName> tasks = WithdrawCrashes(board.crashes, process);
  if (tasks.empty()) {
    return;
  }
  WithdrawAway(board.crashes, process.address);
  ++board.counters.crashes_withdrawn;
  LogPoolEvent(actions, LogLevel::kWarning, "worker_crash_withdrawn",
               {{"address", process.address},
                {"born_ms", std::to_string(process.born_ms)},
                {"tasks", std::to_string(tasks.size())}});
  SendWithdrawal(board, process, now, actions);
  board.placement_due = true;
}

}  // namespace goldcrest
