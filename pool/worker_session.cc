#include "pool/worker_session.h"

#include <algorithm>
#include <utility>

#include "pool/pool_jobs.h"
#include "pool/worker_health.h"
#include "pool/worker_lease.h"
#include "pool/worker_loss.h"
#include "pool/worker_roster.h"

namespace goldcrest {
namespace {

// A worker that refused this daemon's token, or has restarted, is not claimed
// again for this long.
constexpr Micros kReclaimDelay = 600 * kMillisecond;

// Returns how long after an end it is acknowledged without another renewal. The
// handover of a worker waits for that.
Micros AcknowledgeAfter(const PoolBoard& board, const PoolWorker& worker) {
  return board.options.features.standby_after != 0 &&
                 worker.session == SessionState::kReleasing
             ? 0
             : board.options.acknowledge_after;
}

void AddToUsed(PoolWorker& worker, const Resources& need, int64_t sign) {
  worker.used_resources.cpu_millis += sign * need.cpu_millis;
  worker.used_resources.memory_mb += sign * need.memory_mb;
  worker.used_resources.accelerators += sign * need.accelerators;
}

// Removes an attempt from the accounting of the worker and notifies its job.
void RemoveAttempt(PoolBoard& board,
                   PoolWorker& worker,
                   std::map<TaskName, WorkerAttempt>::iterator position,
                   AttemptEnd end,
                   bool not_executed,
                   Micros now,
                   PoolActions& actions) {
  const TaskName name = position->first;
  const WorkerAttempt attempt = position->second;
  AddToUsed(worker, attempt.resources, -1);
  worker.attempts.erase(position);
  board.placement_due = true;
  OnAttemptEnded(board, worker, name, attempt, end, not_executed, now, actions);
}

// Removes all attempts of the worker for which `predicate` is true. If
// `unanswered_not_executed`, start orders without an answer are known not to
// have been executed.
template <typename Predicate>
void RemoveAttemptsIf(PoolBoard& board,
                      PoolWorker& worker,
                      AttemptEnd end,
                      bool unanswered_not_executed,
                      Micros now,
                      PoolActions& actions,
                      Predicate predicate) {
  std::vector<TaskName> names;
  for (const auto& [name, attempt] : worker.attempts) {
    if (predicate(name, attempt)) {
      names.push_back(name);
    }
  }
  for (const TaskName& name : names) {
    const auto found = worker.attempts.find(name);
    if (found != worker.attempts.end()) {
      const bool not_executed =
          unanswered_not_executed && found->second.state == AttemptState::kSent;
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
  for (const EndedAttempt& row : answer.ended) {
    if (row.number <= worker.newest_processed_end) {
      continue;
    }
    worker.newest_processed_end = row.number;
    worker.newest_processed_end_at = now;
    ++board.counters.attempt_ends[std::string(ToString(row.end))];
    const auto found = worker.attempts.find(row.task);
    if (found != worker.attempts.end() &&
        found->second.attempt_number == row.attempt) {
      RemoveAttempt(board, worker, found, row.end, false, now, actions);
    } else if (row.end == AttemptEnd::kDone) {
      OnLateCompletion(board, worker, row.task, row.attempt, now, actions);
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
  for (const RunningAttempt& row : answer.running) {
    const auto found = worker.attempts.find(row.task);
    if (found == worker.attempts.end()) {
      WorkerAttempt unknown_attempt;
      unknown_attempt.attempt_number = row.attempt;
      unknown_attempt.unknown = true;
      unknown_attempt.resources = {worker.status.cpu_millis(),
                                   worker.status.memory_mb(),
                                   worker.status.accelerators()};
      AddToUsed(worker, unknown_attempt.resources, 1);
      worker.attempts[row.task] = unknown_attempt;
      LogPoolEvent(actions, LogLevel::kInfo, "unknown_run_stopped",
                   {{"worker", worker.status.id()},
                    {"job", row.task.job_id},
                    {"task", ToString(row.task)},
                    {"run", std::to_string(row.attempt)}});
      StopAttempt(board, worker, row.task, true, now, actions);
      continue;
    }
    WorkerAttempt& attempt = found->second;
    attempt.progress_percent = row.progress_percent;
    attempt.progress_at = now;
    if (attempt.state == AttemptState::kSent &&
        worker.session == SessionState::kReconciling) {
      // The start order's own answer will be ignored, since it belongs to an
      // earlier session. In other states, OnStartAnswer() does this.
      attempt.state = AttemptState::kRunning;
      attempt.answered_at = now;
    }
  }
}

// Returns whether the answer lists an attempt of the task as running.
bool IsListed(const WorkerAnswer& answer, const TaskName& name) {
  return std::any_of(
      answer.running.begin(), answer.running.end(),
      [&](const RunningAttempt& row) { return row.task == name; });
}

void OnReconciled(PoolBoard& board,
                  PoolWorker& worker,
                  const WorkerAnswer& answer,
                  Micros now,
                  PoolActions& actions) {
  worker.acknowledged_end = answer.order.acknowledged_end;
  ApplyEnds(board, worker, answer, now, actions);
  ApplyRunning(board, worker, answer, now, actions);
  RemoveAttemptsIf(board, worker, AttemptEnd::kLeaseExpired, true, now, actions,
                   [&](const TaskName& name, const WorkerAttempt&) {
                     return !IsListed(answer, name);
                   });
  worker.session = SessionState::kReady;
  worker.reconcile_retry_delay = 0;
  LogPoolEvent(actions, LogLevel::kInfo, "worker_ready",
               {{"worker", worker.status.id()},
                {"token", std::to_string(worker.token)},
                {"runs", std::to_string(worker.attempts.size())},
                {"settled_ms", std::to_string((now - worker.reconciling_since) /
                                              kMillisecond)}});
  worker.status.set_owner(board.mesh.options.self);
  worker.status.set_token(worker.token);
  worker.fenced_at = 0;
  AnnounceWorker(board, worker, now, actions);
  board.placement_due = true;
}

void OnLeaseRenewed(PoolBoard& board,
                    PoolWorker& worker,
                    const WorkerAnswer& answer,
                    Micros now,
                    PoolActions& actions) {
  worker.renewal_in_flight = false;
  worker.acknowledged_end = answer.order.acknowledged_end;
  ApplyEnds(board, worker, answer, now, actions);
  ApplyRunning(board, worker, answer, now, actions);
  // An attempt that was confirmed before the renewal was sent and is not listed
  // no longer runs. One confirmed later may have started after the worker made
  // the list.
  RemoveAttemptsIf(board, worker, AttemptEnd::kLeaseExpired, false, now,
                   actions,
                   [&](const TaskName& name, const WorkerAttempt& attempt) {
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
  const auto found = worker.attempts.find(answer.order.task);
  if (found == worker.attempts.end() ||
      found->second.attempt_number != answer.order.attempt ||
      found->second.state != AttemptState::kSent) {
    return;
  }
  if (answer.outcome == OrderOutcome::kDone) {
    found->second.state = AttemptState::kRunning;
    found->second.answered_at = now;
    return;
  }
  LogPoolEvent(actions, LogLevel::kWarning, "start_rejected",
               {{"worker", worker.status.id()},
                {"job", answer.order.task.job_id},
                {"task", ToString(answer.order.task)},
                {"run", std::to_string(answer.order.attempt)},
                {"outcome", std::string(ToString(answer.outcome))}});
  if (answer.outcome == OrderOutcome::kUnhealthy) {
    RecordFailure(worker, now);
  }
  RemoveAttempt(board, worker, found, AttemptEnd::kOther, true, now, actions);
  // The worker has less free capacity than is recorded here, the lease in the
  // order had already expired there, or the order could not be sent.
  const bool needs_reconciliation =
      answer.outcome == OrderOutcome::kNoCapacity ||
      answer.outcome == OrderOutcome::kTooLate ||
      answer.outcome == OrderOutcome::kNotSent;
  if (needs_reconciliation) {
    ReconcileWorker(board, worker, std::string(ToString(answer.outcome)), now,
                    actions);
  }
}

void OnReconcileAnswer(PoolBoard& board,
                       PoolWorker& worker,
                       const WorkerAnswer& answer,
                       Micros now,
                       PoolActions& actions) {
  worker.reconcile_in_flight = false;
  if (answer.outcome == OrderOutcome::kDone && worker.verifying_ownership) {
    worker.verifying_ownership = false;
    SessionTick(board, worker, now, actions);
    return;
  }
  if (answer.outcome == OrderOutcome::kDone) {
    OnReconciled(board, worker, answer, now, actions);
    return;
  }
  worker.reconcile_retry_delay = std::clamp(
      2 * worker.reconcile_retry_delay, board.options.reconcile_min_retry_delay,
      board.options.reconcile_max_retry_delay);
  worker.reconcile_due = now + worker.reconcile_retry_delay;
}

void OnFenced(PoolBoard& board,
              PoolWorker& worker,
              Micros now,
              PoolActions& actions) {
  worker.token += kTokenClockAllowanceMs;
  worker.claim_after = now + kReclaimDelay;
  worker.fenced_at = now;
  EndSession(board, worker, "fenced", now, actions);
}

// Clears the session fields of a worker, and its owner if that is this daemon.
// Does not touch the attempts.
void ResetSessionState(PoolBoard& board, PoolWorker& worker) {
  board.owned.erase(worker.status.id());
  worker.session = SessionState::kNone;
  worker.session_number = 0;
  worker.renewal_in_flight = false;
  worker.reconcile_in_flight = false;
  worker.loss = {};
  if (worker.status.owner() == board.mesh.options.self) {
    worker.status.clear_owner();
  }
}

}  // namespace

void ReconcileWorker(PoolBoard& board,
                     PoolWorker& worker,
                     const std::string& reason,
                     Micros now,
                     PoolActions& actions) {
  if (worker.session != SessionState::kReconciling) {
    worker.reconciling_since = now;
    worker.reconcile_retry_delay = 0;
  }
  ++board.counters.reconciliations;
  worker.verifying_ownership = worker.session == SessionState::kReady ||
                               worker.session == SessionState::kReleasing ||
                               (worker.session == SessionState::kReconciling &&
                                worker.verifying_ownership);
  worker.session = SessionState::kReconciling;
  board.owned[worker.status.id()] = &worker;
  worker.session_number = board.next_session++;
  worker.reconcile_due = now;
  worker.reconcile_in_flight = false;
  worker.renewal_in_flight = false;
  LogPoolEvent(actions, LogLevel::kInfo, "worker_settling",
               {{"worker", worker.status.id()},
                {"reason", reason},
                {"token", std::to_string(worker.token)},
                {"runs", std::to_string(worker.attempts.size())}});
  SessionTick(board, worker, now, actions);
}

void EndSession(PoolBoard& board,
                PoolWorker& worker,
                const std::string& reason,
                Micros now,
                PoolActions& actions) {
  LogPoolEvent(actions, LogLevel::kInfo, "worker_session_ended",
               {{"worker", worker.status.id()},
                {"reason", reason},
                {"runs", std::to_string(worker.attempts.size())}});
  ResetSessionState(board, worker);
  const std::map<TaskName, WorkerAttempt> attempts =
      std::exchange(worker.attempts, {});
  worker.used_resources = {};
  for (const auto& [name, attempt] : attempts) {
    EndJob(board, attempt.job_key, wire::JOB_UNKNOWN, reason, now, actions);
  }
}

void HandleWorkerProcessEnd(PoolBoard& board,
                            PoolWorker& worker,
                            ProcessEnd end,
                            Micros now,
                            PoolActions& actions) {
  LogPoolEvent(actions, LogLevel::kInfo, "worker_process_gone",
               {{"worker", worker.status.id()},
                {"reason", std::string(ToString(end))},
                {"runs", std::to_string(worker.attempts.size())}});
  const bool new_process =
      end == ProcessEnd::kRestarted || end == ProcessEnd::kReplaced;
  OnWorkerProcessLost(board, worker, new_process, now, actions);
  ResetSessionState(board, worker);
  worker.acknowledged_end = 0;
  worker.newest_processed_end = 0;
  worker.clock_ms = 0;
  worker.health = {};
  worker.profile = {};
  worker.announced = {};
  RemoveAttemptsIf(board, worker, AttemptEnd::kLeaseExpired, false, now,
                   actions,
                   [](const TaskName&, const WorkerAttempt&) { return true; });
}

void StartAttempt(PoolBoard& board,
                  PoolWorker& worker,
                  const TaskName& name,
                  const WorkerAttempt& attempt,
                  const std::string& spec,
                  Micros now,
                  PoolActions& actions) {
  WorkerOrder order = MakeOrder(board, worker, OrderKind::kStart, now);
  order.task = name;
  order.attempt = attempt.attempt_number;
  order.spec = spec;
  worker.attempts[name] = attempt;
  AddToUsed(worker, attempt.resources, 1);
  AddLease(board.options, worker, order, now);
  ++board.counters.starts;
  actions.emplace_back(SendOrder{std::move(order)});
}

void StopAttempt(PoolBoard& board,
                 PoolWorker& worker,
                 const TaskName& name,
                 bool detach_from_job,
                 Micros now,
                 PoolActions& actions) {
  const auto found = worker.attempts.find(name);
  if (found == worker.attempts.end()) {
    return;
  }
  found->second.state = AttemptState::kStopping;
  if (detach_from_job) {
    found->second.job_key.clear();
  }
  if (worker.session == SessionState::kNone) {
    return;
  }
  WorkerOrder order = MakeOrder(board, worker, OrderKind::kStop, now);
  order.task = name;
  order.attempt = found->second.attempt_number;
  actions.emplace_back(SendOrder{std::move(order)});
}

void OnWorkerAnswer(PoolBoard& board,
                    const WorkerAnswer& answer,
                    Micros now,
                    PoolActions& actions) {
  ++board.counters.order_outcomes[std::string(ToString(answer.outcome))];
  const auto found = board.workers.find(answer.order.worker);
  if (found == board.workers.end() ||
      found->second.session_number != answer.order.session ||
      answer.order.session == 0) {
    return;  // unknown worker, or an order of an earlier session
  }
  PoolWorker& worker = found->second;
  RecordClock(worker, answer, now);
  OnWorkerCallEnd(board, worker, answer, now, actions);
  if (answer.outcome == OrderOutcome::kDone) {
    worker.last_received_at = now;
    worker.last_answer_at = now;
  }
  const bool other_process =
      answer.outcome == OrderOutcome::kOtherIncarnation ||
      (answer.worker_started_ms != 0 && worker.status.born_ms() != 0 &&
       answer.worker_started_ms != worker.status.born_ms());
  if (other_process) {
    HandleWorkerProcessEnd(board, worker, ProcessEnd::kRestarted, now, actions);
    if (answer.worker_started_ms > worker.status.born_ms()) {
      worker.status.set_born_ms(answer.worker_started_ms);
    }
    worker.claim_after = now + kReclaimDelay;
    return;
  }
  if (answer.outcome == OrderOutcome::kFenced) {
    OnFenced(board, worker, now, actions);
    return;
  }
  if (worker.session == SessionState::kReconciling) {
    if (answer.order.kind == OrderKind::kRenew) {
      OnReconcileAnswer(board, worker, answer, now, actions);
    }
    return;
  }
  // The outcome is unknown, or a stop or renewal had one that it should not
  // have in this session.
  const bool must_reconcile = answer.outcome == OrderOutcome::kNoAnswer ||
                              (answer.order.kind != OrderKind::kStart &&
                               answer.outcome != OrderOutcome::kDone &&
                               answer.outcome != OrderOutcome::kStaleAttempt);
  if (must_reconcile) {
    ReconcileWorker(board, worker, std::string(ToString(answer.outcome)), now,
                    actions);
    return;
  }
  if (answer.order.kind == OrderKind::kRenew) {
    OnLeaseRenewed(board, worker, answer, now, actions);
  } else if (answer.order.kind == OrderKind::kStart) {
    OnStartAnswer(board, worker, answer, now, actions);
  }
  SessionTick(board, worker, now, actions);
}

std::vector<PoolWorker*> OwnedWorkers(const PoolBoard& board) {
  std::vector<PoolWorker*> workers;
  workers.reserve(board.owned.size());
  for (const auto& [id, worker] : board.owned) {
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
  if (worker.session == SessionState::kReconciling) {
    const bool attempts_expired =
        !worker.attempts.empty() && now > worker.lease_expires_at &&
        now - worker.reconciling_since > board.options.reconcile_timeout;
    if (attempts_expired) {
      RemoveAttemptsIf(
          board, worker, AttemptEnd::kLeaseExpired, false, now, actions,
          [](const TaskName&, const WorkerAttempt&) { return true; });
    }
    if (!worker.reconcile_in_flight && now >= worker.reconcile_due) {
      worker.reconcile_in_flight = true;
      if (!worker.verifying_ownership) {
        worker.token = NextToken(board, worker);
      }
      actions.emplace_back(SendOrder{MakeLeaseRenewal(board, worker, 0, now)});
    }
    return;
  }
  if (worker.renewal_in_flight) {
    return;
  }
  const bool has_running = std::any_of(
      worker.attempts.begin(), worker.attempts.end(), [](const auto& entry) {
        return entry.second.state != AttemptState::kSent;
      });
  const bool acknowledgement_due =
      worker.newest_processed_end > worker.acknowledged_end &&
      now - worker.newest_processed_end_at > AcknowledgeAfter(board, worker);
  const bool idle_check_due =
      worker.attempts.empty() &&
      now - worker.last_answer_at > board.options.idle_check_period;
  if (!has_running && !acknowledgement_due && !idle_check_due) {
    const bool idle = worker.attempts.empty() &&
                      worker.newest_processed_end == worker.acknowledged_end;
    if (idle && worker.session == SessionState::kReleasing) {
      ReleaseWorker(board, worker, now, actions);
    }
    return;
  }
  worker.renewal_in_flight = true;
  const int64_t wait_ms = has_running ? board.options.renewal_wait_ms : 0;
  actions.emplace_back(
      SendOrder{MakeLeaseRenewal(board, worker, wait_ms, now)});
}

}  // namespace goldcrest
