#ifndef POOL_WORKERS_WORKER_LOSS_H_
#define POOL_WORKERS_WORKER_LOSS_H_

// Why a worker no longer answers, and what that means for its tasks.
//
// A crash of a worker's process closes its connections, and its host refuses
// new ones until it has started again. A live worker may close connections as
// well, but accepts them before. Silence proves nothing: the worker may be cut
// off, frozen or slow, and when its lease has expired, its tasks ended with
// that, whatever becomes of the process. A worker that announced its end has
// not crashed.
// When many workers are lost in the same moment, the cause is a failure that
// they share (a rack, a network path), unless one job ran on all of them: their
// tasks become suspects, which run alone, but such a loss alone gives up none.
// An answer of the same process proves that it lives, whatever was concluded; a
// report may have been sent before the crash. A report of a later process at
// its address proves that it ended.
//
// A crash is evidence against all tasks that had begun on the worker, whether
// or not their jobs have ended since. A task may crash the worker before it
// answers the start: the worker's side closes that very call then, which makes
// it a suspect and holds it after the second time, but gives it up no more than
// a start that did not arrive. A start that was on its way otherwise is no
// evidence.
//
// A crash does not shorten the wait for the worker's lease before they run
// again: a network that refuses connections looks the same from here, and the
// tasks may still run.

#include <array>
#include <string_view>

#include "pool/pool_board.h"

namespace goldcrest {

enum class LossCause : uint8_t {
  kUnknown,  // not enough evidence: no conclusion about its tasks
  kCrash,
  kLeft,    // it had announced its end
  kShared,  // lost together with many others
};

// Names in logs and metrics.
inline constexpr std::array<std::string_view, 4> kLossCauseNames = {
    "unknown", "crash", "left", "shared"};

inline std::string_view ToString(LossCause cause) {
  return kLossCauseNames[static_cast<size_t>(cause)];
}

// What is known about a worker that does not answer.
struct LossEvidence {
  bool leaving = false;      // it has announced its end
  bool new_process = false;  // a later process reports from its address
  bool closed = false;       // it closed a connection with a call in progress
  int refusals = 0;          // connections refused since then
  Micros refused_for = 0;    // between the first and the last of them
  int lost_workers = 0;      // lost at the same time, this one included
  int pool_workers = 0;      // of this daemon
  bool common_job = false;   // one job ran on all workers lost with it
};

// Returns the cause that the evidence proves.
LossCause ConcludeLoss(const LossEvidence& evidence);

// Takes note that the worker's side closed a connection, if that is how the
// order ended. Must be called for the orders of earlier sessions, too: another
// call that was closed in the same moment, or a pause of this daemon, begins a
// new one.
void OnCallClosed(PoolWorker& worker, const WorkerAnswer& answer, Micros now);

// Must be called before the worker's runs end with its lease. Where a proxy
// stands before the worker, it closes the connections of a process that has
// crashed instead of refusing them: if the worker's side closed one with a call
// in progress and others since, the runs that have begun there are charged with
// a crash that is not confirmed: it makes their tasks suspects, but gives up
// none.
void OnLeaseExpired(PoolBoard& board,
                    PoolWorker& worker,
                    Micros now,
                    PoolActions& actions);

// Takes note of how an order to the worker ended, and if that completes the
// evidence of a crash, records it for the tasks there: a task that has used up
// its crashes is given up. Must be called before the answer is handled.
void OnWorkerCallEnd(PoolBoard& board,
                     PoolWorker& worker,
                     const WorkerAnswer& answer,
                     Micros now,
                     PoolActions& actions);

// The same as OnWorkerCallEnd() for the end of a worker's process that a report
// proves. `new_process`: a later process has taken its place. Must be called
// before the attempts of the worker are removed.
void OnWorkerProcessLost(PoolBoard& board,
                         PoolWorker& worker,
                         bool new_process,
                         Micros now,
                         PoolActions& actions);

// Takes note that the worker's present process has answered: if a crash of it
// was recorded, that is withdrawn.
void OnWorkerProcessSeen(PoolBoard& board,
                         PoolWorker& worker,
                         Micros now,
                         PoolActions& actions);

// Takes note that a process at an address has answered: crashes of it that were
// recorded, by any daemon, are withdrawn.
void OnProcessAlive(PoolBoard& board,
                    const CrashedProcess& process,
                    Micros now,
                    PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_WORKERS_WORKER_LOSS_H_
