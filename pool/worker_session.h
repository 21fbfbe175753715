#ifndef POOL_WORKER_SESSION_H_
#define POOL_WORKER_SESSION_H_

// The orders of a control daemon to its workers, and what the answers mean.
//
// A session begins by settling: a hold under a token higher than any used
// before. A daemon that had the worker first asks under its old token whether
// it still has it, so that one that was paused or cut off never takes a worker
// back from the daemon that took it over. Its answer lists what runs, and
// everything that was ordered earlier and has not arrived by then is void,
// since its token is lower. The same step recovers from every doubt: an order
// without an answer, a pause of this process, a worker taken over from another
// daemon. While a worker that has runs does not settle, its lease runs out,
// after which nothing runs there.
//
// In a ready session a hold is always on its way while anything runs: it
// extends the lease and its answer brings the ends of runs.

#include <string>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// Takes the worker over, or settles anew after a doubt. `reason` goes into the
// log line.
void Settle(PoolBoard& board,
            PoolWorker& worker,
            const std::string& reason,
            Micros now,
            PoolActions& actions);

// Ends the session without touching the worker. Jobs with runs there end as
// unknown, since another daemon may let the runs go on.
void EndSession(PoolBoard& board,
                PoolWorker& worker,
                const std::string& reason,
                Micros now,
                PoolActions& actions);

// Forgets everything about the worker's process, which has restarted or left:
// its runs are over.
void ForgetProcess(PoolBoard& board,
                   PoolWorker& worker,
                   const std::string& reason,
                   Micros now,
                   PoolActions& actions);

// Starts one run. The room must have been checked.
void StartRun(PoolBoard& board,
              PoolWorker& worker,
              const TaskName& name,
              const WorkerRun& run,
              const std::string& spec,
              Micros now,
              PoolActions& actions);

// Stops a run; its room is free when the worker lists its end. A run that is
// `abandoned` has no job any more; that of another one goes back to its job.
void StopRun(PoolBoard& board,
             PoolWorker& worker,
             const TaskName& name,
             bool abandoned,
             Micros now,
             PoolActions& actions);

// Takes in the answer to an order.
void OnWorkerAnswer(PoolBoard& board,
                    const WorkerAnswer& answer,
                    Micros now,
                    PoolActions& actions);

// Returns the workers with a session here, by id. The list is a copy: sessions
// may begin and end while it is walked.
std::vector<PoolWorker*> OrderedWorkers(const PoolBoard& board);

// Sends the holds and settling orders that are due.
void SessionTick(PoolBoard& board,
                 PoolWorker& worker,
                 Micros now,
                 PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_WORKER_SESSION_H_
