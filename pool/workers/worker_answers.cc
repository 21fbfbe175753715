// The answers of workers to the orders of worker_session.

#include <algorithm>
#include <utility>

#include "pool/jobs/task_ends.h"
#include "pool/workers/crash_news.h"
#include "pool/workers/process_claims.h"
#include "pool/workers/run_ends.h"
#include "pool/workers/start_bindings.h"
#include "pool/workers/worker_health.h"
#include "pool/workers/worker_lease.h"
#include "pool/workers/worker_loss.h"
#include "pool/workers/worker_roster.h"
#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

// A worker that refused this daemon's token, or has restarted, is not claimed
// again for this long.
constexpr Micros kReclaimDelay = 600 * kMillisecond;

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
    const std::optional<RunEndProof> proof =
        found == worker.attempts.end() ? std::nullopt
                                       : ProveListedEnd(found->second, row);
    if (proof) {
      EndRun(board, worker, row.task, *proof, now, actions);
    } else if (row.end == AttemptEnd::kDone) {
      OnLateCompletion(board, worker, row.task, row.attempt, now, actions);
    }
  }
}

// Stops a run of a task beside the one that this daemon has ordered: an earlier
// start that was carried out late. It has no record of its own, so it is
// stopped with each list that has it; the lease is not extended meanwhile.
void StopSecondRun(PoolBoard& board,
                   PoolWorker& worker,
                   const RunningAttempt& row,
                   const WorkerAnswer& answer,
                   Micros now,
                   PoolActions& actions) {
  worker.second_run_at = now;
  ++board.counters.unknown_runs;
  LogPoolEvent(actions, LogLevel::kWarning, "second_run_stopped",
               {{"worker", worker.status.id()},
                {"job", row.task.job_id},
                {"task", ToString(row.task)},
                {"run", std::to_string(row.attempt)},
                {"born_ms", std::to_string(answer.worker_started_ms)}});
  WorkerOrder stop = MakeOrder(board, worker, OrderKind::kStop, now);
  stop.task = row.task;
  stop.attempt = row.attempt;
  actions.emplace_back(SendOrder{std::move(stop)});
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
      unknown_attempt.token = answer.order.token;
      unknown_attempt.process_ms = answer.worker_started_ms;
      unknown_attempt.answered_at = now;
      unknown_attempt.unknown = true;
      unknown_attempt.resources = {worker.status.cpu_millis(),
                                   worker.status.memory_mb(),
                                   worker.status.accelerators()};
      unknown_attempt.lease_known = true;
      worker.lease_expires_at = std::max(worker.lease_expires_at,
                                         LongestLeaseEnd(board.options, now));
      AddRun(board, worker, row.task, unknown_attempt);
      LogPoolEvent(actions, LogLevel::kInfo, "unknown_run_stopped",
                   {{"worker", worker.status.id()},
                    {"job", row.task.job_id},
                    {"task", ToString(row.task)},
                    {"run", std::to_string(row.attempt)},
                    {"born_ms", std::to_string(answer.worker_started_ms)}});
      ++board.counters.unknown_runs;
      StopAttempt(board, worker, row.task, StopReason::kJobEnded, now, actions);
      continue;
    }
    if (found->second.attempt_number != row.attempt) {
      StopSecondRun(board, worker, row, answer, now, actions);
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
    }
    if (worker.session == SessionState::kReconciling) {
      attempt.answered_at =
          attempt.answered_at == 0 ? now : attempt.answered_at;
      attempt.process_ms = answer.worker_started_ms;
    }
    if (attempt.answered_at != 0 && !attempt.lease_known) {
      // Its order may have named a time on the clock of an earlier process.
      attempt.lease_known = true;
      worker.lease_expires_at = std::max(worker.lease_expires_at,
                                         LongestLeaseEnd(board.options, now));
    }
  }
}

// Repeats the orders to stop runs that the worker's process has not confirmed.
void RepeatStops(PoolBoard& board, PoolWorker& worker, Micros now) {
  for (auto& [name, run] : worker.attempts) {
    MakeOrderDue(board.unanswered, run.stop_number, now);
  }
}

void OnReconciled(PoolBoard& board,
                  PoolWorker& worker,
                  const WorkerAnswer& answer,
                  Micros now,
                  PoolActions& actions) {
  OnProcessListed(board, worker, answer, now, actions);
  ApplyEnds(board, worker, answer, now, actions);
  EndUnlistedRuns(board, worker, answer, now, actions);
  ApplyRunning(board, worker, answer, now, actions);
  RepeatStops(board, worker, now);
  worker.session = SessionState::kReady;
  worker.reconcile_retry_delay = 0;
  LogPoolEvent(actions, LogLevel::kInfo, "worker_ready",
               {{"worker", worker.status.id()},
                {"token", std::to_string(worker.token)},
                {"runs", std::to_string(worker.attempts.size())},
                {"settled_ms", std::to_string((now - worker.reconciling_since) /
                                              kMillisecond)}});
  if (worker.status.owner() != board.mesh.options.self) {
    // Its former owner has ordered leases that all runs there share.
    worker.lease_expires_at =
        std::max(worker.lease_expires_at, LongestLeaseEnd(board.options, now));
  }
  worker.status.set_owner(board.mesh.options.self);
  worker.status.set_token(worker.token);
  worker.fenced_at = 0;
  AnnounceWorker(board, worker, now, actions);
  board.placement_due = true;
  SessionTick(board, worker, now, actions);
}

void OnLeaseRenewed(PoolBoard& board,
                    PoolWorker& worker,
                    const WorkerAnswer& answer,
                    Micros now,
                    PoolActions& actions) {
  worker.renewal_in_flight = false;
  worker.acknowledged_end = answer.order.acknowledged_end;
  ApplyEnds(board, worker, answer, now, actions);
  EndUnlistedRuns(board, worker, answer, now, actions);
  ApplyRunning(board, worker, answer, now, actions);
}

// Records that a process of the worker has or had the run. `same_process`: the
// one that this daemon has the session with.
void ConfirmRun(const PoolWorker& worker,
                WorkerAttempt& run,
                const WorkerAnswer& answer,
                bool same_process,
                Micros now) {
  run.state =
      run.state == AttemptState::kSent ? AttemptState::kRunning : run.state;
  run.answered_at = run.answered_at == 0 ? now : run.answered_at;
  run.process_ms =
      same_process ? worker.status.born_ms() : answer.worker_started_ms;
  run.lease_known = run.lease_known || same_process;
}

void OnStartAnswer(PoolBoard& board,
                   PoolWorker& worker,
                   const WorkerAnswer& answer,
                   bool same_process,
                   Micros now,
                   PoolActions& actions) {
  const auto found = worker.attempts.find(answer.order.task);
  if (found == worker.attempts.end() ||
      found->second.attempt_number != answer.order.attempt) {
    return;
  }
  WorkerAttempt& run = found->second;
  // An attempt that is stale there has begun and ended, or was stopped first:
  // the next list tells.
  if (answer.outcome == OrderOutcome::kDone ||
      answer.outcome == OrderOutcome::kStaleAttempt) {
    run.stale = answer.outcome == OrderOutcome::kStaleAttempt;
    ConfirmRun(worker, run, answer, same_process, now);
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
  const std::optional<RunEndProof> proof = ProveNotStarted(run, answer);
  if (proof) {
    EndRun(board, worker, answer.order.task, *proof, now, actions);
  }
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
  worker.ask_failed_at = now;
  worker.reconcile_retry_delay = std::clamp(
      2 * worker.reconcile_retry_delay, board.options.reconcile_min_retry_delay,
      board.options.reconcile_max_retry_delay);
  worker.reconcile_due = now + worker.reconcile_retry_delay;
}

// A stop that was executed, or that came after the end of the run, is answered
// and not repeated. It does not confirm a start that it has overtaken: the next
// process may carry that out.
void OnStopAnswer(PoolBoard& board,
                  PoolWorker& worker,
                  const WorkerAnswer& answer) {
  const auto found = worker.attempts.find(answer.order.task);
  if (found == worker.attempts.end() ||
      found->second.stop_number != answer.order.number) {
    return;
  }
  ForgetOrder(board.unanswered, answer.order.number);
  found->second.stop_number = 0;
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

// Handles an answer of another process than the one that this daemon has a
// session with, or of another worker at its address.
void OnAnswerOfOtherProcess(PoolBoard& board,
                            PoolWorker& worker,
                            const WorkerAnswer& answer,
                            Micros now,
                            PoolActions& actions) {
  if (answer.outcome == OrderOutcome::kOtherIncarnation) {
    OnWorkerProcessLost(board, worker, true, now, actions);
    OnLaterProcessAnswered(board, worker.status.address(),
                           worker.status.born_ms() + 1, now, actions);
    EndRunsOfEarlierProcess(board, worker, answer, now, actions);
    UnbindWorker(board, worker.status.id());
    const std::optional<ProcessClaim> claim = worker.claim;
    EndProcessSession(board, worker, ProcessEnd::kReplaced, now, actions);
    worker.claim_after = now + kReclaimDelay;
    if (claim) {
      ClaimProcessEnd(board, worker, *claim, now, actions);
    }
    return;
  }
  if (answer.order.kind == OrderKind::kStart &&
      answer.outcome == OrderOutcome::kDone) {
    OnStartAnswer(board, worker, answer, false, now, actions);
  }
  ReconcileWorker(board, worker, "other_process", now, actions);
}

}  // namespace

void OnWorkerAnswer(PoolBoard& board,
                    const WorkerAnswer& answer,
                    Micros now,
                    PoolActions& actions) {
  ++board.counters.order_outcomes[std::string(ToString(answer.outcome))];
  const auto found = board.workers.find(answer.order.worker);
  if (found == board.workers.end()) {
    return;
  }
  PoolWorker& worker = found->second;
  OnCallClosed(worker, answer, now);
  if (worker.session_number != answer.order.session ||
      answer.order.session == 0) {
    return;  // an order of an earlier session
  }
  const bool same_clock = IsOnSameClock(board.options, worker, answer);
  RecordClock(worker, answer, now);
  OnWorkerCallEnd(board, worker, answer, now, actions);
  if (answer.outcome == OrderOutcome::kDone) {
    worker.last_received_at = now;
    worker.last_answer_at = now;
  }
  if (answer.outcome == OrderOutcome::kFenced) {
    OnFenced(board, worker, now, actions);
    return;
  }
  if (worker.session == SessionState::kReconciling &&
      answer.outcome != OrderOutcome::kOtherIncarnation) {
    if (answer.order.kind == OrderKind::kRenew) {
      OnReconcileAnswer(board, worker, answer, now, actions);
    }
    return;
  }
  // Answers to starts and stops need not name the process.
  const bool names_process =
      answer.worker_started_ms != 0 && worker.status.born_ms() != 0;
  const bool other_process =
      answer.outcome == OrderOutcome::kOtherIncarnation ||
      (names_process ? answer.worker_started_ms != worker.status.born_ms()
                     : !same_clock);
  if (other_process) {
    OnAnswerOfOtherProcess(board, worker, answer, now, actions);
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
    OnStartAnswer(board, worker, answer, true, now, actions);
  } else if (answer.order.kind == OrderKind::kStop) {
    OnStopAnswer(board, worker, answer);
  }
  SessionTick(board, worker, now, actions);
}

}  // namespace goldcrest
