#include "pool/worker_session.h"

#include <algorithm>
#include <utility>

#include "pool/pool_jobs.h"
#include "pool/worker_health.h"
#include "pool/worker_roster.h"

namespace goldcrest {
namespace {

// Added to a token that the worker has refused: tokens follow the wall clock in
// milliseconds, and the clock of the daemon that used a higher one may be
// seconds ahead.
constexpr uint64_t kTokenStep = 4000;
// A worker that refused this daemon's token is not claimed again for this long.
constexpr Micros kClaimDelay = 600 * kMillisecond;

// Returns the wall clock in milliseconds, or one more than the highest known
// token of the worker if that is greater.
uint64_t NextToken(const PoolBoard& board, const PoolWorker& worker) {
  const uint64_t used = std::max(worker.token, worker.facts.token());
  return std::max(used + 1, static_cast<uint64_t>(board.wall_ms));
}

// Returns half of the longest expected run time on the worker, within bounds.
Micros LeaseDuration(const PoolOptions& options, const PoolWorker& worker) {
  Micros longest = 0;
  for (const auto& [name, attempt] : worker.runs) {
    longest = std::max(longest, attempt.expected);
  }
  return std::clamp(longest / 2, options.shortest_lease, options.longest_lease);
}

// Adds to an order a lease for all attempts on the worker, and records the time
// by which that lease has expired on any clock.
void AddLease(const PoolOptions& options,
              PoolWorker& worker,
              WorkerOrder& order,
              Micros now) {
  if (worker.clock_ms == 0) {
    return;
  }
  const Micros lease = LeaseDuration(options, worker);
  order.lease_until_ms =
      worker.clock_ms + (now - worker.clock_at + lease) / kMillisecond;
  const Micros max_drift = lease * options.clock_drift_percent / 100;
  worker.lease_over_at = std::max(
      worker.lease_over_at, now + lease + max_drift + options.lease_slack);
}

WorkerOrder MakeOrder(const PoolBoard& board,
                      const PoolWorker& worker,
                      OrderKind kind,
                      Micros now) {
  WorkerOrder order;
  order.kind = kind;
  order.worker = worker.facts.id();
  order.address = worker.facts.address();
  order.token = worker.token;
  order.session = worker.session_number;
  order.timeout = board.options.order_timeout;
  order.sent_at = now;
  return order;
}

WorkerOrder MakeLeaseRenewal(const PoolBoard& board,
                             PoolWorker& worker,
                             int64_t wait_ms,
                             Micros now) {
  WorkerOrder order = MakeOrder(board, worker, OrderKind::kHold, now);
  order.acknowledged_end = worker.newest_end;
  order.wait_ms = wait_ms;
  order.timeout += wait_ms * kMillisecond;
  // The lease of a worker that cannot be reconciled must expire, so that its
  // attempts end.
  if (!worker.runs.empty() && worker.session != SessionState::kSettling) {
    AddLease(board.options, worker, order, now);
  }
  return order;
}

void AddToUsed(PoolWorker& worker, const Need& need, int64_t sign) {
  worker.used.cpu_millis += sign * need.cpu_millis;
  worker.used.memory_mb += sign * need.memory_mb;
  worker.used.accelerators += sign * need.accelerators;
}

// Removes an attempt from the accounting of the worker and notifies its job.
void RemoveAttempt(PoolBoard& board,
                   PoolWorker& worker,
                   std::map<TaskName, WorkerRun>::iterator position,
                   RunEnd end,
                   bool not_executed,
                   Micros now,
                   PoolActions& actions) {
  const TaskName name = position->first;
  const WorkerRun attempt = position->second;
  AddToUsed(worker, attempt.need, -1);
  worker.runs.erase(position);
  board.placement_due = true;
  OnRunEnded(board, worker, name, attempt, end, not_executed, now, actions);
}

// Removes all attempts of the worker for which `predicate` is true. If
// `unanswered_not_executed`, start orders without an answer are known not to
// have been executed.
template <typename Predicate>
void RemoveAttemptsIf(PoolBoard& board,
                      PoolWorker& worker,
                      RunEnd end,
                      bool unanswered_not_executed,
                      Micros now,
                      PoolActions& actions,
                      Predicate predicate) {
  std::vector<TaskName> names;
  for (const auto& [name, attempt] : worker.runs) {
    if (predicate(name, attempt)) {
      names.push_back(name);
    }
  }
  for (const TaskName& name : names) {
    const auto found = worker.runs.find(name);
    if (found != worker.runs.end()) {
      const bool not_executed =
          unanswered_not_executed && found->second.state == RunState::kSent;
      RemoveAttempt(board, worker, found, end, not_executed, now, actions);
    }
  }
}

void RecordClock(PoolWorker& worker, const WorkerAnswer& answer, Micros now) {
  if (answer.clock_ms == 0) {
    return;
  }
  // The worker read its clock between the sending of the order and now. Taking
  // the reading as that of now makes leases shorter, never longer.
  worker.clock_ms = answer.clock_ms;
  worker.clock_at = now;
}

void ApplyEnds(PoolBoard& board,
               PoolWorker& worker,
               const WorkerAnswer& answer,
               Micros now,
               PoolActions& actions) {
  for (const EndedRow& row : answer.ended) {
    if (row.number <= worker.newest_end) {
      continue;
    }
    worker.newest_end = row.number;
    worker.newest_end_at = now;
    ++board.counters.run_ends[std::string(NameOf(row.end))];
    const auto found = worker.runs.find(row.task);
    if (found != worker.runs.end() && found->second.run == row.run) {
      RemoveAttempt(board, worker, found, row.end, false, now, actions);
    } else if (row.end == RunEnd::kDone) {
      OnLateDone(board, worker, row.task, row.run, now, actions);
    }
  }
}

// Applies the list of running attempts. An attempt unknown to this daemon is
// stopped; until it ends the worker counts as fully used, since the resources
// of the attempt are not known.
void ApplyRunning(PoolBoard& board,
                  PoolWorker& worker,
                  const WorkerAnswer& answer,
                  Micros now,
                  PoolActions& actions) {
  for (const RunningRow& row : answer.running) {
    const auto found = worker.runs.find(row.task);
    if (found == worker.runs.end()) {
      WorkerRun unknown_attempt;
      unknown_attempt.run = row.run;
      unknown_attempt.need = {worker.facts.cpu_millis(),
                              worker.facts.memory_mb(),
                              worker.facts.accelerators()};
      AddToUsed(worker, unknown_attempt.need, 1);
      worker.runs[row.task] = unknown_attempt;
      LogPool(actions, LogLevel::kInfo, "unknown_run_stopped",
              {{"worker", worker.facts.id()},
               {"job", row.task.job_id},
               {"task", ToText(row.task)},
               {"run", std::to_string(row.run)}});
      StopRun(board, worker, row.task, true, now, actions);
      continue;
    }
    WorkerRun& attempt = found->second;
    attempt.progress_percent = row.progress_percent;
    attempt.progress_at = now;
    if (attempt.state == RunState::kSent &&
        worker.session == SessionState::kSettling) {
      attempt.state = RunState::kRunning;
      attempt.answered_at = now;
    }
  }
}

// Returns whether the answer lists an attempt of the task as running.
bool IsListed(const WorkerAnswer& answer, const TaskName& name) {
  return std::any_of(answer.running.begin(), answer.running.end(),
                     [&](const RunningRow& row) { return row.task == name; });
}

void OnReconciled(PoolBoard& board,
                  PoolWorker& worker,
                  const WorkerAnswer& answer,
                  Micros now,
                  PoolActions& actions) {
  worker.acknowledged_end = answer.order.acknowledged_end;
  ApplyEnds(board, worker, answer, now, actions);
  ApplyRunning(board, worker, answer, now, actions);
  RemoveAttemptsIf(board, worker, RunEnd::kLapsed, true, now, actions,
                   [&](const TaskName& name, const WorkerRun&) {
                     return !IsListed(answer, name);
                   });
  worker.session = SessionState::kReady;
  worker.settle_pause = 0;
  LogPool(actions, LogLevel::kInfo, "worker_ready",
          {{"worker", worker.facts.id()},
           {"token", std::to_string(worker.token)},
           {"runs", std::to_string(worker.runs.size())},
           {"settled_ms",
            std::to_string((now - worker.settling_since) / kMillisecond)}});
  worker.facts.set_owner(board.mesh.options.self);
  worker.facts.set_token(worker.token);
  worker.fenced_at = 0;
  AnnounceWorker(board, worker, now, actions);
  board.placement_due = true;
}

void OnLeaseRenewed(PoolBoard& board,
                    PoolWorker& worker,
                    const WorkerAnswer& answer,
                    Micros now,
                    PoolActions& actions) {
  worker.hold_in_flight = false;
  worker.acknowledged_end = answer.order.acknowledged_end;
  ApplyEnds(board, worker, answer, now, actions);
  ApplyRunning(board, worker, answer, now, actions);
  RemoveAttemptsIf(board, worker, RunEnd::kLapsed, false, now, actions,
                   [&](const TaskName& name, const WorkerRun& attempt) {
                     return attempt.answered_at != 0 &&
                            attempt.answered_at < answer.order.sent_at &&
                            !IsListed(answer, name);
                   });
}

void OnStartAnswer(PoolBoard& board,
                   PoolWorker& worker,
                   const WorkerAnswer& answer,
                   Micros now,
                   PoolActions& actions) {
  const auto found = worker.runs.find(answer.order.task);
  if (found == worker.runs.end() || found->second.run != answer.order.run ||
      found->second.state != RunState::kSent) {
    return;
  }
  if (answer.outcome == OrderOutcome::kDone) {
    found->second.state = RunState::kRunning;
    found->second.answered_at = now;
    return;
  }
  LogPool(actions, LogLevel::kWarning, "start_rejected",
          {{"worker", worker.facts.id()},
           {"job", answer.order.task.job_id},
           {"task", ToText(answer.order.task)},
           {"run", std::to_string(answer.order.run)},
           {"outcome", std::string(NameOf(answer.outcome))}});
  if (answer.outcome == OrderOutcome::kUnhealthy) {
    RecordFailure(worker, now);
  }
  RemoveAttempt(board, worker, found, RunEnd::kOther, true, now, actions);
  const bool accounting_differs = answer.outcome == OrderOutcome::kNoRoom ||
                                  answer.outcome == OrderOutcome::kTooLate ||
                                  answer.outcome == OrderOutcome::kNotSent;
  if (accounting_differs) {
    Settle(board, worker, std::string(NameOf(answer.outcome)), now, actions);
  }
}

void OnReconcileAnswer(PoolBoard& board,
                       PoolWorker& worker,
                       const WorkerAnswer& answer,
                       Micros now,
                       PoolActions& actions) {
  worker.settle_in_flight = false;
  if (answer.outcome == OrderOutcome::kDone && worker.verifying) {
    worker.verifying = false;
    SessionTick(board, worker, now, actions);
    return;
  }
  if (answer.outcome == OrderOutcome::kDone) {
    OnReconciled(board, worker, answer, now, actions);
    return;
  }
  worker.settle_pause =
      std::clamp(2 * worker.settle_pause, board.options.settle_retry,
                 board.options.settle_retry_max);
  worker.settle_due = now + worker.settle_pause;
}

void OnFenced(PoolBoard& board,
              PoolWorker& worker,
              Micros now,
              PoolActions& actions) {
  worker.token += kTokenStep;
  worker.claim_after = now + kClaimDelay;
  worker.fenced_at = now;
  EndSession(board, worker, "fenced", now, actions);
}

// Ends the session state of a worker, and the ownership if this daemon has it.
void CloseSession(PoolBoard& board, PoolWorker& worker) {
  board.ordered.erase(worker.facts.id());
  worker.session = SessionState::kNone;
  worker.session_number = 0;
  worker.hold_in_flight = false;
  worker.settle_in_flight = false;
  if (worker.facts.owner() == board.mesh.options.self) {
    worker.facts.clear_owner();
  }
}

}  // namespace

void Settle(PoolBoard& board,
            PoolWorker& worker,
            const std::string& reason,
            Micros now,
            PoolActions& actions) {
  if (worker.session != SessionState::kSettling) {
    worker.settling_since = now;
    worker.settle_pause = 0;
  }
  ++board.counters.settles;
  worker.verifying =
      worker.session == SessionState::kReady ||
      worker.session == SessionState::kReleasing ||
      (worker.session == SessionState::kSettling && worker.verifying);
  worker.session = SessionState::kSettling;
  board.ordered[worker.facts.id()] = &worker;
  worker.session_number = board.next_session++;
  worker.settle_due = now;
  worker.settle_in_flight = false;
  worker.hold_in_flight = false;
  LogPool(actions, LogLevel::kInfo, "worker_settling",
          {{"worker", worker.facts.id()},
           {"reason", reason},
           {"token", std::to_string(worker.token)},
           {"runs", std::to_string(worker.runs.size())}});
  SessionTick(board, worker, now, actions);
}

void EndSession(PoolBoard& board,
                PoolWorker& worker,
                const std::string& reason,
                Micros now,
                PoolActions& actions) {
  LogPool(actions, LogLevel::kInfo, "worker_session_ended",
          {{"worker", worker.facts.id()},
           {"reason", reason},
           {"runs", std::to_string(worker.runs.size())}});
  CloseSession(board, worker);
  const std::map<TaskName, WorkerRun> attempts = std::exchange(worker.runs, {});
  worker.used = {};
  for (const auto& [name, attempt] : attempts) {
    EndJob(board, attempt.job_key, wire::JOB_UNKNOWN, reason, now, actions);
  }
}

void ForgetProcess(PoolBoard& board,
                   PoolWorker& worker,
                   const std::string& reason,
                   Micros now,
                   PoolActions& actions) {
  LogPool(actions, LogLevel::kInfo, "worker_process_gone",
          {{"worker", worker.facts.id()},
           {"reason", reason},
           {"runs", std::to_string(worker.runs.size())}});
  CloseSession(board, worker);
  worker.acknowledged_end = 0;
  worker.newest_end = 0;
  worker.clock_ms = 0;
  worker.health = {};
  RemoveAttemptsIf(board, worker, RunEnd::kLapsed, false, now, actions,
                   [](const TaskName&, const WorkerRun&) { return true; });
}

void StartRun(PoolBoard& board,
              PoolWorker& worker,
              const TaskName& name,
              const WorkerRun& attempt,
              const std::string& spec,
              Micros now,
              PoolActions& actions) {
  WorkerOrder order = MakeOrder(board, worker, OrderKind::kStart, now);
  order.task = name;
  order.run = attempt.run;
  order.spec = spec;
  worker.runs[name] = attempt;
  AddToUsed(worker, attempt.need, 1);
  AddLease(board.options, worker, order, now);
  ++board.counters.starts;
  actions.emplace_back(SendOrder{std::move(order)});
}

void StopRun(PoolBoard& board,
             PoolWorker& worker,
             const TaskName& name,
             bool abandoned,
             Micros now,
             PoolActions& actions) {
  const auto found = worker.runs.find(name);
  if (found == worker.runs.end()) {
    return;
  }
  found->second.state = RunState::kStopping;
  if (abandoned) {
    found->second.job_key.clear();
  }
  if (worker.session == SessionState::kNone) {
    return;
  }
  WorkerOrder order = MakeOrder(board, worker, OrderKind::kStop, now);
  order.task = name;
  order.run = found->second.run;
  actions.emplace_back(SendOrder{std::move(order)});
}

void OnWorkerAnswer(PoolBoard& board,
                    const WorkerAnswer& answer,
                    Micros now,
                    PoolActions& actions) {
  ++board.counters.order_outcomes[std::string(NameOf(answer.outcome))];
  const auto found = board.workers.find(answer.order.worker);
  if (found == board.workers.end() ||
      found->second.session_number != answer.order.session ||
      answer.order.session == 0) {
    return;  // belongs to an earlier session
  }
  PoolWorker& worker = found->second;
  RecordClock(worker, answer, now);
  if (answer.outcome == OrderOutcome::kDone) {
    worker.last_heard = now;
    worker.last_answer = now;
  }
  const bool other_process =
      answer.outcome == OrderOutcome::kOtherIncarnation ||
      (answer.born_ms != 0 && worker.facts.born_ms() != 0 &&
       answer.born_ms != worker.facts.born_ms());
  if (other_process) {
    ForgetProcess(board, worker, "restarted", now, actions);
    if (answer.born_ms > worker.facts.born_ms()) {
      worker.facts.set_born_ms(answer.born_ms);
    }
    worker.claim_after = now + kClaimDelay;
    return;
  }
  if (answer.outcome == OrderOutcome::kFenced) {
    OnFenced(board, worker, now, actions);
    return;
  }
  if (worker.session == SessionState::kSettling) {
    if (answer.order.kind == OrderKind::kHold) {
      OnReconcileAnswer(board, worker, answer, now, actions);
    }
    return;
  }
  const bool uncertain = answer.outcome == OrderOutcome::kNoAnswer ||
                         (answer.order.kind != OrderKind::kStart &&
                          answer.outcome != OrderOutcome::kDone &&
                          answer.outcome != OrderOutcome::kStaleRun);
  if (uncertain) {
    Settle(board, worker, std::string(NameOf(answer.outcome)), now, actions);
    return;
  }
  if (answer.order.kind == OrderKind::kHold) {
    OnLeaseRenewed(board, worker, answer, now, actions);
  } else if (answer.order.kind == OrderKind::kStart) {
    OnStartAnswer(board, worker, answer, now, actions);
  }
  SessionTick(board, worker, now, actions);
}

std::vector<PoolWorker*> OrderedWorkers(const PoolBoard& board) {
  std::vector<PoolWorker*> workers;
  workers.reserve(board.ordered.size());
  for (const auto& [id, worker] : board.ordered) {
    workers.push_back(worker);
  }
  return workers;
}

void SessionTick(PoolBoard& board,
                 PoolWorker& worker,
                 Micros now,
                 PoolActions& actions) {
  if (worker.session == SessionState::kNone) {
    return;
  }
  if (worker.session == SessionState::kSettling) {
    const bool lease_expired =
        !worker.runs.empty() && now > worker.lease_over_at &&
        now - worker.settling_since > board.options.settle_patience;
    if (lease_expired) {
      RemoveAttemptsIf(board, worker, RunEnd::kLapsed, false, now, actions,
                       [](const TaskName&, const WorkerRun&) { return true; });
    }
    if (!worker.settle_in_flight && now >= worker.settle_due) {
      worker.settle_in_flight = true;
      if (!worker.verifying) {
        worker.token = NextToken(board, worker);
      }
      actions.emplace_back(SendOrder{MakeLeaseRenewal(board, worker, 0, now)});
    }
    return;
  }
  if (worker.hold_in_flight) {
    return;
  }
  const bool has_running = std::any_of(
      worker.runs.begin(), worker.runs.end(),
      [](const auto& entry) { return entry.second.state != RunState::kSent; });
  const bool acknowledgement_due =
      worker.newest_end > worker.acknowledged_end &&
      now - worker.newest_end_at > board.options.acknowledge_after;
  const bool idle_check_due =
      worker.runs.empty() &&
      now - worker.last_answer > board.options.idle_check;
  if (!has_running && !acknowledgement_due && !idle_check_due) {
    const bool idle =
        worker.runs.empty() && worker.newest_end == worker.acknowledged_end;
    if (idle && worker.session == SessionState::kReleasing) {
      ReleaseWorker(board, worker, now, actions);
    }
    return;
  }
  worker.hold_in_flight = true;
  const int64_t wait_ms = has_running ? board.options.hold_wait_ms : 0;
  actions.emplace_back(
      SendOrder{MakeLeaseRenewal(board, worker, wait_ms, now)});
}

}  // namespace goldcrest
