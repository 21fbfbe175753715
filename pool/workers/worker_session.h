#ifndef POOL_WORKERS_WORKER_SESSION_H_
#define POOL_WORKERS_WORKER_SESSION_H_

// The orders of a daemon to its own workers, and the handling of the answers
// (worker_answers.cc).
//
// A session begins with reconciliation: a lease renewal order under a token
// higher than any used before. A daemon that already had a session first sends
// an order under its old token; if the worker refuses it, another daemon has
// taken the worker over, and the session ends. So a daemon that was paused or
// unreachable never takes a worker back from its new owner. The answer to the
// renewal under the new token lists what runs on the worker; every earlier
// order that has not arrived by then will be refused, since its token is lower.
// The same procedure resolves every uncertainty: an order without an answer, a
// pause of this process, a worker taken over from another daemon. While a
// worker with attempts cannot be reconciled, its lease is not renewed; once it
// has expired, nothing runs there.
//
// Unless the session is being reconciled, a lease renewal is always in flight
// while the start of at least one attempt is confirmed (or its stop ordered):
// it extends the lease, and its answer reports the ends of attempts.

#include <string>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// Takes the worker over, or reconciles it again when its state has become
// uncertain. `reason` goes into the log line.
void ReconcileWorker(PoolBoard& board,
                     PoolWorker& worker,
                     const std::string& reason,
                     Micros now,
                     PoolActions& actions);

// Ends the session without an order to the worker. Its runs become orphans, and
// jobs with attempts there end with an unknown outcome.
void EndSession(PoolBoard& board,
                PoolWorker& worker,
                const std::string& reason,
                Micros now,
                PoolActions& actions);

// Discards what was learned of the worker's process, for its successor.
void ForgetProcess(PoolWorker& worker);

// Ends the session with a process that has ended or does not report any more,
// and discards all state of it. Its runs must be over (run_ends.h); any that
// are left become orphans.
void EndProcessSession(PoolBoard& board,
                       PoolWorker& worker,
                       ProcessEnd end,
                       Micros now,
                       PoolActions& actions);

// Starts one attempt. The caller has checked that the worker has the free
// capacity.
void StartAttempt(PoolBoard& board,
                  PoolWorker& worker,
                  const TaskName& name,
                  const WorkerAttempt& attempt,
                  const std::string& spec,
                  Micros now,
                  PoolActions& actions);

// Stops an attempt; its resources are free when the worker lists its end. The
// order is repeated until the worker answers it or the run is over.
void StopAttempt(PoolBoard& board,
                 PoolWorker& worker,
                 const TaskName& name,
                 StopReason reason,
                 Micros now,
                 PoolActions& actions);

// Handles the answer to an order.
void OnWorkerAnswer(PoolBoard& board,
                    const WorkerAnswer& answer,
                    Micros now,
                    PoolActions& actions);

// Returns the workers with a session here, by id. The list is a copy, since
// sessions may begin and end while the caller iterates over it.
std::vector<PoolWorker*> OwnedWorkers(const PoolBoard& board);

// Sends the lease renewals, reconciliation orders and repeated stops that are
// due, and ends the runs of a silent worker when their lease has expired.
void SessionTick(PoolBoard& board,
                 PoolWorker& worker,
                 Micros now,
                 PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_WORKERS_WORKER_SESSION_H_
