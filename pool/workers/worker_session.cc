#include "pool/workers/worker_session.h"

#include <algorithm>
#include <utility>

#include "pool/workers/open_run_news.h"
#include "pool/workers/process_claims.h"
#include "pool/workers/run_ends.h"
#include "pool/workers/worker_lease.h"
#include "pool/workers/worker_loss.h"
#include "pool/workers/worker_ownership.h"
#include "pool/workers/worker_roster.h"

namespace goldcrest {
namespace {

// Delays of the repetition of an order to stop a run. Without an answer, the
// worker is reconciled first, which makes the stop due at once.
constexpr RetryDelays kStopRetries = {100 * kMillisecond, 400 * kMillisecond};

// Returns how long after an end it is acknowledged without another renewal. The
// handover of a worker waits for that.
Micros AcknowledgeAfter(const PoolBoard& board, const PoolWorker& worker) {
  return board.options.features.standby_after != 0 &&
                 worker.session == SessionState::kReleasing
             ? 0
             : board.options.acknowledge_after;
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
  worker.claim.reset();
  if (worker.status.owner() == board.mesh.options.self) {
    worker.status.clear_owner();
  }
}

void SendStop(PoolBoard& board,
              const PoolWorker& worker,
              UnansweredOrder& stop,
              Micros now,
              PoolActions& actions) {
  const StopRun& run = std::get<StopRun>(stop.body);
  WorkerOrder order = MakeOrder(board, worker, OrderKind::kStop, now);
  order.number = stop.number;
  order.task = run.task;
  order.attempt = run.attempt;
  OnOrderSent(board.unanswered, stop, kStopRetries, now);
  actions.emplace_back(SendOrder{std::move(order)});
}

// Sends the orders to stop runs on the worker that have no answer and are due.
void SendDueStops(PoolBoard& board,
                  PoolWorker& worker,
                  Micros now,
                  PoolActions& actions) {
  for (const auto& [name, run] : worker.attempts) {
    UnansweredOrder* stop = run.stop_number == 0
                                ? nullptr
                                : FindOrder(board.unanswered, run.stop_number);
    if (stop != nullptr && now >= stop->due) {
      SendStop(board, worker, *stop, now, actions);
    }
  }
}

// Handles a worker that is being reconciled: ends its runs when the lease has
// expired, and sends the order that is due.
void ReconcileTick(PoolBoard& board,
                   PoolWorker& worker,
                   Micros now,
                   PoolActions& actions) {
  if (now - worker.reconciling_since > board.options.reconcile_timeout) {
    EndExpiredRuns(board, worker, now, actions);
  }
  AnnounceOpenRuns(board, worker, now);
  if (AcceptUnansweredClaim(board, worker, now, actions)) {
    return;
  }
  if (worker.reconcile_in_flight || now < worker.reconcile_due) {
    return;
  }
  worker.reconcile_in_flight = true;
  if (!worker.verifying_ownership) {
    worker.token = NextToken(board, worker);
  }
  actions.emplace_back(SendOrder{MakeLeaseRenewal(board, worker, 0, now)});
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
  OrphanRuns(board, worker, reason, now, actions);
}

void ForgetProcess(PoolWorker& worker) {
  worker.acknowledged_end = 0;
  worker.newest_processed_end = 0;
  worker.clock_ms = 0;
  worker.health = {};
  worker.profile = {};
  worker.announced = {};
}

void EndProcessSession(PoolBoard& board,
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
  ForgetProcess(worker);
  OrphanRuns(board, worker, std::string(ToString(end)), now, actions);
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
  WorkerAttempt run = attempt;
  run.token = worker.token;
  AddRun(board, worker, name, run);
  AddLease(board.options, worker, order, now);
  ++board.counters.starts;
  actions.emplace_back(SendOrder{std::move(order)});
}

void StopAttempt(PoolBoard& board,
                 PoolWorker& worker,
                 const TaskName& name,
                 StopReason reason,
                 Micros now,
                 PoolActions& actions) {
  const auto found = worker.attempts.find(name);
  if (found == worker.attempts.end()) {
    return;
  }
  WorkerAttempt& run = found->second;
  if (reason != StopReason::kTaskMoves) {
    run.job_key.clear();
  }
  run.abandoned = run.abandoned || reason == StopReason::kJobAbandoned;
  if (run.state == AttemptState::kStopping) {
    return;
  }
  run.state = AttemptState::kStopping;
  run.stopping_since = now;
  UnansweredOrder stop;
  stop.receiver = worker.status.id();
  stop.body = StopRun{name, run.attempt_number};
  run.stop_number = AddOrder(board.unanswered, stop, now);
  // A session that is being reconciled sends it afterwards.
  if (worker.session != SessionState::kReady &&
      worker.session != SessionState::kReleasing) {
    return;
  }
  if (run.stop_number == 0) {
    SendStop(board, worker, stop, now,
             actions);  // once; the lease ends the run
  } else {
    SendDueStops(board, worker, now, actions);
  }
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
    ReconcileTick(board, worker, now, actions);
    return;
  }
  SendDueStops(board, worker, now, actions);
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
