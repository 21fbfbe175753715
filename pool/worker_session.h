#ifndef POOL_WORKER_SESSION_H_
#define POOL_WORKER_SESSION_H_

// The orders of a daemon to its own workers, and the handling of the answers.
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

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// How a worker's process ended.
enum class ProcessEnd : uint8_t {
  kRestarted,  // a later process reports under the same id
  kReplaced,   // a later process reports from the same address
  kLeft,       // it announced its end
  kGone,       // another daemon reports its end
  kSilent,     // its reports have timed out
};

// Names in logs.
inline constexpr std::array<std::string_view, 5> kProcessEndNames = {
    "restarted", "replaced", "left", "gone", "silent"};

inline std::string_view ToString(ProcessEnd end) {
  return kProcessEndNames[static_cast<size_t>(end)];
}

// Takes the worker over, or reconciles it again when its state has become
// uncertain. `reason` goes into the log line.
void ReconcileWorker(PoolBoard& board,
                     PoolWorker& worker,
                     const std::string& reason,
                     Micros now,
                     PoolActions& actions);

// Ends the session without an order to the worker. Jobs with attempts there end
// with an unknown outcome: a new owner stops attempts that it does not know,
// but they may be done before that.
void EndSession(PoolBoard& board,
                PoolWorker& worker,
                const std::string& reason,
                Micros now,
                PoolActions& actions);

// Ends the session with a worker whose process has ended, restarted or stopped
// reporting, and discards all state of that process. Its attempts count as
// ended, which is reported to their jobs. No order is sent.
void HandleWorkerProcessEnd(PoolBoard& board,
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

// Stops an attempt; its resources are free when the worker lists its end. If
// `detach_from_job`, the attempt is detached from its job and its end is
// ignored; otherwise its end is reported to its job.
void StopAttempt(PoolBoard& board,
                 PoolWorker& worker,
                 const TaskName& name,
                 bool detach_from_job,
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

// Sends the lease renewals and reconciliation orders that are due.
void SessionTick(PoolBoard& board,
                 PoolWorker& worker,
                 Micros now,
                 PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_WORKER_SESSION_H_
