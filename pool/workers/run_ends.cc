#include "pool/workers/run_ends.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "pool/jobs/job_end.h"
#include "pool/jobs/task_ends.h"
#include "pool/jobs/task_queue.h"
#include "pool/workers/open_run_news.h"
#include "pool/workers/start_bindings.h"
#include "pool/workers/worker_lease.h"
#include "pool/workers/worker_loss.h"

namespace goldcrest {
namespace {

void AddToUsed(PoolWorker& worker, const Resources& need, int64_t sign) {
  worker.used_resources.cpu_millis += sign * need.cpu_millis;
  worker.used_resources.memory_mb += sign * need.memory_mb;
  worker.used_resources.accelerators += sign * need.accelerators;
}

// Returns whether the list has this run. Another attempt of the task is another
// run.
bool IsListed(const WorkerAnswer& list,
              const TaskName& name,
              const WorkerAttempt& run) {
  return std::any_of(
      list.running.begin(), list.running.end(), [&](const RunningAttempt& row) {
        return row.task == name && row.attempt == run.attempt_number;
      });
}

// Ends the worker's runs for which `prove` returns a proof.
template <typename Prove>
void EndProvenRuns(PoolBoard& board,
                   PoolWorker& worker,
                   Micros now,
                   PoolActions& actions,
                   Prove prove) {
  std::vector<std::pair<TaskName, RunEndProof>> over;
  for (const auto& [name, run] : worker.attempts) {
    const std::optional<RunEndProof> proof = prove(name, run);
    if (proof) {
      over.emplace_back(name, *proof);
    }
  }
  for (const auto& [name, proof] : over) {
    EndRun(board, worker, name, proof, now, actions);
  }
}

// Returns whether the run certainly never began.
bool NeverRan(const WorkerAttempt& run, const RunEndProof& proof) {
  return proof.cause() == RunEndCause::kNotStarted ||
         (proof.cause() == RunEndCause::kNotListed && run.answered_at == 0);
}

// Binds the task of a start that may still be carried out by another process of
// the worker, and announces it at once: this daemon may fail before its job
// ends.
void BindUnansweredStart(PoolBoard& board,
                         const PoolWorker& worker,
                         const TaskName& name,
                         const WorkerAttempt& run,
                         PoolActions& actions) {
  const Micros until = RunOverAt(board.options, worker, run);
  BindTask(board, name, worker.status.id(), until, actions);
  AnnounceOpenRun(board, name, until);
}

void CloseRun(PoolBoard& board, const TaskName& name) {
  const auto found = board.open_runs.find(name);
  if (found != board.open_runs.end() && --found->second == 0) {
    board.open_runs.erase(found);
  }
}

}  // namespace

std::optional<RunEndProof> ProveListedEnd(const WorkerAttempt& run,
                                          const EndedAttempt& row) {
  if (row.attempt != run.attempt_number) {
    return std::nullopt;
  }
  return RunEndProof(RunEndCause::kListedEnd, row.end);
}

std::optional<RunEndProof> ProveNotListed(const TaskName& name,
                                          const WorkerAttempt& run,
                                          const WorkerAnswer& list) {
  const bool is_list = list.outcome == OrderOutcome::kDone &&
                       list.order.kind == OrderKind::kRenew;
  const bool confirmed_before =
      run.answered_at != 0 && run.answered_at < list.order.sent_at;
  const bool fenced = list.order.token > run.token;
  if (!is_list || !(confirmed_before || fenced) || IsListed(list, name, run)) {
    return std::nullopt;
  }
  return RunEndProof(RunEndCause::kNotListed, AttemptEnd::kLeaseExpired);
}

std::optional<RunEndProof> ProveProcessEnded(const WorkerAttempt& run,
                                             const WorkerAnswer& answer) {
  // Another worker refuses all orders that are not for itself.
  const bool other_worker = answer.outcome == OrderOutcome::kOtherIncarnation;
  const bool later_process =
      run.process_ms != 0 && answer.worker_started_ms > run.process_ms;
  if (!other_worker && !later_process) {
    return std::nullopt;
  }
  return RunEndProof(RunEndCause::kProcessEnded, AttemptEnd::kLeaseExpired);
}

std::optional<RunEndProof> ProveLeaseExpired(const PoolWorker& worker,
                                             const WorkerAttempt& run,
                                             Micros now) {
  if (!run.lease_known || now <= worker.lease_expires_at) {
    return std::nullopt;
  }
  return RunEndProof(RunEndCause::kLeaseExpired, AttemptEnd::kLeaseExpired);
}

std::optional<RunEndProof> ProveOrderExpired(const PoolOptions& options,
                                             const PoolWorker& worker,
                                             const WorkerAttempt& run,
                                             Micros now) {
  if (run.lease_known || now <= RunOverAt(options, worker, run)) {
    return std::nullopt;
  }
  return RunEndProof(RunEndCause::kOrderExpired, AttemptEnd::kLeaseExpired);
}

Micros RunOverAt(const PoolOptions& options,
                 const PoolWorker& worker,
                 const WorkerAttempt& run) {
  if (run.lease_known) {
    return worker.lease_expires_at;
  }
  // Orders of an earlier session with the worker may extend the lease of a run
  // that its next process has begun.
  const Micros last_order = std::max(run.sent_at, run.answered_at);
  return std::max(worker.lease_expires_at, LateOrderEnd(options, last_order));
}

std::optional<RunEndProof> ProveNotStarted(const WorkerAttempt& run,
                                           const WorkerAnswer& answer) {
  const bool refused = answer.outcome == OrderOutcome::kTooLate ||
                       answer.outcome == OrderOutcome::kNoCapacity ||
                       answer.outcome == OrderOutcome::kUnhealthy ||
                       answer.outcome == OrderOutcome::kInvalid ||
                       answer.outcome == OrderOutcome::kNotSent;
  if (answer.order.kind != OrderKind::kStart ||
      answer.order.attempt != run.attempt_number || !refused) {
    return std::nullopt;
  }
  return RunEndProof(RunEndCause::kNotStarted, AttemptEnd::kOther);
}

bool IsRunOpen(const PoolBoard& board, const TaskName& name) {
  return board.open_runs.contains(name) || IsOpenElsewhere(board, name);
}

bool MayStillRun(const PoolBoard& board, const wire::JobOrder& order) {
  for (int step = 0; step < order.steps_size(); ++step) {
    for (uint32_t i = 0; i < order.steps(step).tasks(); ++i) {
      const TaskName name{order.job_id(), 0, static_cast<uint32_t>(step), i};
      if (IsRunOpen(board, name) || FindBinding(board, name) != nullptr ||
          IsUndecided(board.crashes, board.options.crashes, name)) {
        return true;
      }
    }
  }
  return false;
}

bool CheckNoRunIsOpen(PoolBoard& board,
                      const TaskName& name,
                      PoolActions& actions) {
  if (!IsRunOpen(board, name)) {
    return true;
  }
  ++board.counters.invariant_failures;
  LogPoolEvent(actions, LogLevel::kError, "invariant_failed",
               {{"invariant", "no task is started while a run of it is open"},
                {"job", name.job_id},
                {"task", ToString(name)}});
  return false;
}

void AddRun(PoolBoard& board,
            PoolWorker& worker,
            const TaskName& name,
            const WorkerAttempt& run) {
  AddToUsed(worker, run.resources, 1);
  worker.attempts[name] = run;
  ++board.open_runs[name];
  if (run.unknown) {
    HoldWaitingTask(board, name);
  }
}

void EndRun(PoolBoard& board,
            PoolWorker& worker,
            const TaskName& name,
            const RunEndProof& proof,
            Micros now,
            PoolActions& actions) {
  const auto found = worker.attempts.find(name);
  if (found == worker.attempts.end()) {
    return;
  }
  const WorkerAttempt run = found->second;
  AddToUsed(worker, run.resources, -1);
  worker.attempts.erase(found);
  ForgetOrder(board.unanswered, run.stop_number);
  CloseRun(board, name);
  if (proof.cause() == RunEndCause::kNotListed && run.answered_at == 0) {
    BindUnansweredStart(board, worker, name, run, actions);
  }
  board.placement_due = true;
  OnAttemptEnded(board, worker, name, run, proof, NeverRan(run, proof), now,
                 actions);
  QueueHeldTask(board, name);
}

void EndUnlistedRuns(PoolBoard& board,
                     PoolWorker& worker,
                     const WorkerAnswer& list,
                     Micros now,
                     PoolActions& actions) {
  EndProvenRuns(board, worker, now, actions,
                [&](const TaskName& name, const WorkerAttempt& run) {
                  return ProveNotListed(name, run, list);
                });
}

void EndRunsOfEarlierProcess(PoolBoard& board,
                             PoolWorker& worker,
                             const WorkerAnswer& answer,
                             Micros now,
                             PoolActions& actions) {
  EndProvenRuns(board, worker, now, actions,
                [&](const TaskName& /*name*/, const WorkerAttempt& run) {
                  return ProveProcessEnded(run, answer);
                });
}

void EndExpiredRuns(PoolBoard& board,
                    PoolWorker& worker,
                    Micros now,
                    PoolActions& actions) {
  const bool lease_expired = std::any_of(
      worker.attempts.begin(), worker.attempts.end(), [&](const auto& entry) {
        return ProveLeaseExpired(worker, entry.second, now).has_value();
      });
  if (lease_expired) {
    OnLeaseExpired(board, worker, now, actions);
  }
  EndProvenRuns(board, worker, now, actions,
                [&](const TaskName& /*name*/, const WorkerAttempt& run) {
                  const auto lease = ProveLeaseExpired(worker, run, now);
                  return lease ? lease
                               : ProveOrderExpired(board.options, worker, run,
                                                   now);
                });
}

bool HasConfirmedRun(const PoolWorker& worker) {
  return std::any_of(
      worker.attempts.begin(), worker.attempts.end(),
      [](const auto& entry) { return entry.second.answered_at != 0; });
}

void OrphanRuns(PoolBoard& board,
                PoolWorker& worker,
                const std::string& reason,
                Micros now,
                PoolActions& actions) {
  const std::map<TaskName, WorkerAttempt> runs =
      std::exchange(worker.attempts, {});
  worker.used_resources = {};
  for (const auto& [name, run] : runs) {
    ForgetOrder(board.unanswered, run.stop_number);
    const Micros over_at = RunOverAt(board.options, worker, run);
    board.orphans.push_back({name, over_at});
    if (!run.lease_known) {
      AnnounceOpenRun(board, name, over_at);
    }
    EndJob(board, run.job_key, wire::JOB_UNKNOWN, reason, now, actions);
  }
}

void OrphansTick(PoolBoard& board, Micros now) {
  const auto expired = std::stable_partition(
      board.orphans.begin(), board.orphans.end(),
      [&](const OrphanedRun& orphan) { return now <= orphan.over_at; });
  const std::vector<OrphanedRun> over(expired, board.orphans.end());
  board.orphans.erase(expired, board.orphans.end());
  for (const OrphanedRun& orphan : over) {
    CloseRun(board, orphan.task);
    QueueHeldTask(board, orphan.task);
  }
}

}  // namespace goldcrest
