#ifndef POOL_RUN_ENDS_H_
#define POOL_RUN_ENDS_H_

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
//    (ProveLeaseExpired);
//  - the start was refused or not sent (ProveNotStarted).
//
// Everything else, such as reports, notices and silence, is a reason to ask the
// worker (process_claims.h), not to end a run.
//
// When a session ends before its runs (the worker obeys another daemon now),
// they become orphans: open until the lease that this daemon gave has expired.
// The next owner stops runs that it does not know, and extends no lease while
// one is there (worker_lease.h).
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
  kNotStarted,
};

// Names in logs.
inline constexpr std::array<std::string_view, 5> kRunEndCauseNames = {
    "listed_end", "not_listed", "process_ended", "lease_expired",
    "not_started"};

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

// Proves the end of all runs of the worker.
std::optional<RunEndProof> ProveLeaseExpired(const PoolWorker& worker,
                                             Micros now);

// `answer` is the answer to the start order of the run.
std::optional<RunEndProof> ProveNotStarted(const WorkerAttempt& run,
                                           const WorkerAnswer& answer);

// Returns whether a run of the task may not be over.
bool IsRunOpen(const PoolBoard& board, const TaskName& name);

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

// Ends all runs of the worker if its lease has expired.
void EndExpiredRuns(PoolBoard& board,
                    PoolWorker& worker,
                    Micros now,
                    PoolActions& actions);

// Makes orphans of the worker's runs, and ends their jobs with an unknown
// outcome: the next owner stops the runs, but they may be done before that.
void OrphanRuns(PoolBoard& board,
                PoolWorker& worker,
                const std::string& reason,
                Micros now,
                PoolActions& actions);

// Ends the orphans whose lease has expired.
void OrphansTick(PoolBoard& board, Micros now);

}  // namespace goldcrest

#endif  // POOL_RUN_ENDS_H_
