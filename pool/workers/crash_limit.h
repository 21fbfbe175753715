#ifndef POOL_WORKERS_CRASH_LIMIT_H_
#define POOL_WORKERS_CRASH_LIMIT_H_

// The limits of what tasks that crash workers may take from the others.
//
// The load that this answers: every tenth job of a queue holds a task that
// crashes each worker that starts it, and a crashed worker is away for some
// seconds, so that within seconds a third of the pool would be away. It cannot
// be known which jobs hold such a task before they have run.
//
//  - A suspect, that is, a task under which a worker has crashed, runs alone.
//  If
//    no worker is idle, one is held for it until its tasks have ended.
//    It starts at once, whatever the limit below: it may be a sound task that
//    was lost together with the one at fault, and a caller whose task crashes
//    workers is to hear that it failed.
//  - A queue under which several workers crashed lately is crash-prone. While
//    `max_away_percent` of the workers are away because of crash-prone queues,
//    or run a suspect, no other task of these queues starts; a job that cannot
//    wait that long is refused at once, with the time at which workers are
//    expected back.
//  - Tasks of crash-prone queues prefer workers that run such tasks, and other
//    tasks avoid those workers, so that few others are lost with them.

#include <set>
#include <string>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// Returns whether several workers crashed under the queue lately.
bool IsCrashProne(const CrashLedger& ledger, const std::string& queue);

// Returns the time until tasks of the queue may start: 0 if they may start now.
Micros CrashLimitEndsIn(const PoolBoard& board,
                        const std::string& queue,
                        Micros now);

// Returns the queues whose tasks may not start now.
std::set<std::string> CrashLimitedQueues(const PoolBoard& board, Micros now);

// Returns whether a task of a crash-prone queue runs on the worker.
bool RunsCrashProneTask(const PoolBoard& board, const PoolWorker& worker);

// What to do with a suspect that waits.
struct SuspectPlacement {
  PoolWorker* start_on = nullptr;  // idle: the suspect starts there
  PoolWorker* hold = nullptr;      // is held until it is idle
};

// Chooses a worker for a suspect among those that accept starts: the idle one
// with the least capacity that holds it, else the one that is idle first. Not
// the worker where it ran last.
SuspectPlacement PlaceSuspect(const PoolBoard& board,
                              const std::vector<PoolWorker*>& ready,
                              const PoolJob& job,
                              const WaitingKey& key,
                              Micros now);

// Ends what is due: forgets old crashes.
void CrashTick(PoolBoard& board, Micros now);

}  // namespace goldcrest

#endif  // POOL_WORKERS_CRASH_LIMIT_H_
