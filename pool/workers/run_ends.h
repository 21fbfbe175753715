#ifndef POOL_WORKERS_RUN_ENDS_H_
#define POOL_WORKERS_RUN_ENDS_H_

// When a run is over, and what proves it.
//
// A run is one attempt of a task on one process of a worker. Starting its task
// again while it may still run would run the task twice, so a run ends here
// only with a RunEndProof, which is made from facts and cannot be made without
// them:
//
//  - the worker's process lists the end (ProveListedEnd);
//  - a list of running attempts lacks it, made by a worker that had confirmed
//    the run before the list was requested, or requested under a token higher
//    than that of the start, so that the start has no effect any more
//    (ProveNotListed);
//  - a later process, or another worker, answers at the worker's address
//    (ProveProcessEnded). That proves nothing about a start which the earlier
//    process has not confirmed: the later one may have carried it out;
//  - the lease has expired on the slowest clock that the worker may have
//    (ProveLeaseExpired). The lease is a time on the clock of the process that
//    the orders were meant for. It proves nothing about a start that this
//    process has not confirmed: a later one, whose clock starts anew, may carry
//    it out;
//  - such a start is so old that no process carries it out any more, and the
//    longest lease that one may have granted has expired (ProveOrderExpired);
//  - the start was refused or not sent (ProveNotStarted).
//
// Everything else, such as reports, notices and silence, is a reason to ask the
// worker (process_claims.h), not to end a run.
//
// When a session ends before its runs (the worker obeys another daemon now),
// they become orphans: open until RunOverAt(). The next owner stops runs that
// it does not know, and extends no lease while one is there (worker_lease.h).
//
// A job that is sent again may reach another daemon: runs whose lease does not
// bound them are announced to the others (open_run_news.h).
//
// A task of which a run is open is not started. A job that was sent again may
// have such tasks; they wait as TaskPhase::kHeld.

#include <array>
#include <optional>
#include <string_view>

#include "pool/pool_board.h"

namespace goldcrest {

enum class RunEndCause : uint8_t {
  kListedEnd,
  kNotListed,
  kProcessEnded,
  kLeaseExpired,
  kOrderExpired,
  kNotStarted,
};

// Names in logs.
inline constexpr std::array<std::string_view, 6> kRunEndCauseNames = {
    "listed_end",    "not_listed",    "process_ended",
    "lease_expired", "order_expired", "not_started"};

inline std::string_view ToString(RunEndCause cause) {
  return kRunEndCauseNames[static_cast<size_t>(cause)];
}

// Proof that one run is over.
class RunEndProof {
 public:
  RunEndCause cause() const { return cause_; }
  // How the run ended, as far as that is known.
  AttemptEnd end() const { return end_; }

 private:
  RunEndProof(RunEndCause cause, AttemptEnd end) : cause_(cause), end_(end) {}

  friend std::optional<RunEndProof> ProveListedEnd(const WorkerAttempt& run,
                                                   const EndedAttempt& row);
  friend std::optional<RunEndProof> ProveNotListed(const TaskName& name,
                                                   const WorkerAttempt& run,
                                                   const WorkerAnswer& list);
  friend std::optional<RunEndProof> ProveProcessEnded(
      const WorkerAttempt& run,
      const WorkerAnswer& answer);
  friend std::optional<RunEndProof> ProveLeaseExpired(const PoolWorker& worker,
                                                      const WorkerAttempt& run,
                                                      Micros now);
  friend std::optional<RunEndProof> ProveOrderExpired(
      const PoolOptions& options,
      const PoolWorker& worker,
      const WorkerAttempt& run,
      Micros now);
  friend std::optional<RunEndProof> ProveNotStarted(const WorkerAttempt& run,
                                                    const WorkerAnswer& answer);

  RunEndCause cause_;
  AttemptEnd end_;
};

// `row` is from the list of ends of the worker's present process.
std::optional<RunEndProof> ProveListedEnd(const WorkerAttempt& run,
                                          const EndedAttempt& row);

// `list` is the answer to a lease renewal order.
std::optional<RunEndProof> ProveNotListed(const TaskName& name,
                                          const WorkerAttempt& run,
                                          const WorkerAnswer& list);

// `answer` is the answer to any order to the worker's address.
std::optional<RunEndProof> ProveProcessEnded(const WorkerAttempt& run,
                                             const WorkerAnswer& answer);

std::optional<RunEndProof> ProveLeaseExpired(const PoolWorker& worker,
                                             const WorkerAttempt& run,
                                             Micros now);

std::optional<RunEndProof> ProveOrderExpired(const PoolOptions& options,
                                             const PoolWorker& worker,
                                             const WorkerAttempt& run,
                                             Micros now);

// Returns when the run is certainly over if nothing more is heard of its
// worker.
Micros RunOverAt(const PoolOptions& options,
                 const PoolWorker& worker,
                 const WorkerAttempt& run);

// `answer` is the answer to the start order of the run.
std::optional<RunEndProof> ProveNotStarted(const WorkerAttempt& run,
                                           const WorkerAnswer& answer);

// Returns whether a run of the task may not be over.
bool IsRunOpen(const PoolBoard& board, const TaskName& name);

// Returns whether a task of the job may run without having been started by the
// present job: a run of it is open, a start without an answer may still be
// carried out, or a crash under it is not proven. That its job is refused as
// one that never runs would be untrue.
bool MayStillRun(const PoolBoard& board, const wire::JobOrder& order);

// Checks the invariant that no task is started while a run of it is open, in
// every build. If it does not hold, counts and logs that, and returns false:
// the task must not be started.
bool CheckNoRunIsOpen(PoolBoard& board,
                      const TaskName& name,
                      PoolActions& actions);

// Adds a run to the worker. If it was found there, and its task waits to be
// started, the task is held until the run is over.
void AddRun(PoolBoard& board,
            PoolWorker& worker,
            const TaskName& name,
            const WorkerAttempt& run);

// Ends the run of the task on the worker, and notifies its job. Does nothing if
// there is none.
void EndRun(PoolBoard& board,
            PoolWorker& worker,
            const TaskName& name,
            const RunEndProof& proof,
            Micros now,
            PoolActions& actions);

// Ends the runs of the worker that the answer to an order proves to be over:
// those that are not listed, or those of an earlier process.
void EndUnlistedRuns(PoolBoard& board,
                     PoolWorker& worker,
                     const WorkerAnswer& list,
                     Micros now,
                     PoolActions& actions);
void EndRunsOfEarlierProcess(PoolBoard& board,
                             PoolWorker& worker,
                             const WorkerAnswer& answer,
                             Micros now,
                             PoolActions& actions);

// Ends the runs of the worker that are over without any news of it: their lease
// or their order has expired.
void EndExpiredRuns(PoolBoard& board,
                    PoolWorker& worker,
                    Micros now,
                    PoolActions& actions);

// Returns whether a process of the worker may be at work on a run that it has
// confirmed.
bool HasConfirmedRun(const PoolWorker& worker);

// Makes orphans of the worker's runs, and ends their jobs with an unknown
// outcome: the next owner stops the runs, but they may be done before that.
void OrphanRuns(PoolBoard& board,
                PoolWorker& worker,
                const std::string& reason,
                Micros now,
                PoolActions& actions);

// Ends the orphans that are over.
void OrphansTick(PoolBoard& board, Micros now);

}  // namespace goldcrest

#endif  // POOL_WORKERS_RUN_ENDS_H_
