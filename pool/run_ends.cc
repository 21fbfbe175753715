#include "pool/run_ends.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "pool/pool_jobs.h"

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
                                             Micros now) {
  if (now <= worker.lease_expires_at) {
    return std::nullopt;
  }
  return RunEndProof(RunEndCause::kLeaseExpired, AttemptEnd::kLeaseExpired);
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
  return board.open_runs.contains(name);
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
  board.placement_due = true;
  OnAttemptEnded(board, worker, name, run, proof.end(), NeverRan(run, proof),
                 now, actions);
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
  EndProvenRuns(board, worker, now, actions,
                [&](const TaskName& /*name*/, const WorkerAttempt& /*run*/) {
                  return ProveLeaseExpired(worker, now);
                });
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
    board.orphans.push_back({name, worker.lease_expires_at});
    EndJob(board, run.job_key, wire::JOB_UNKNOWN, reason, now, actions);
  }
}

void OrphansTick(PoolBoard& board, Micros now) {
  const auto expired =
      std::stable_partition(board.orphans.begin(), board.orphans.end(),
                            [&](const OrphanedRun& orphan) {
                              return now <= orphan.lease_expires_at;
                            });
  const std::vector<OrphanedRun> over(expired, board.orphans.end());
  board.orphans.erase(expired, board.orphans.end());
  for (const OrphanedRun& orphan : over) {
    CloseRun(board, orphan.task);
    QueueHeldTask(board, orphan.task);
  }
}

}  // namespace goldcrest
