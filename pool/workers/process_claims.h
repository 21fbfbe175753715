#ifndef POOL_WORKERS_PROCESS_CLAIMS_H_
#define POOL_WORKERS_PROCESS_CLAIMS_H_

// Claims that a worker's process has ended.
//
// A report with a later start time, a report of another worker from the same
// address, a notice of departure, the word of another daemon: each of them may
// be late, or from another writer, while the process is at work. So a claim
// about a worker with a session ends nothing. The worker is asked, under a new
// token, at the address that this daemon knows, and starts nothing meanwhile:
//
//  - A later process answers: the claim holds. Runs of the earlier process are
//    over; others are as the answer lists them.
//  - The same process answers: the claim is refuted, and the other daemons are
//    told the worker's true state.
//  - Nobody answers: the claim is accepted when no run is left that a process
//    has confirmed, which is at the latest when the lease has expired. Starts
//    that none has confirmed become orphans (run_ends.h).
//
// An answer takes one round trip. A worker that has ended costs what any silent
// one does.

#include "pool/pool_board.h"

namespace goldcrest {

// Takes note of a claim: asks the worker if this daemon has a session with it,
// and records the claim if not.
void ClaimProcessEnd(PoolBoard& board,
                     PoolWorker& worker,
                     ProcessClaim claim,
                     Micros now,
                     PoolActions& actions);

// Handles the list that a process of the worker has sent under the session's
// token: resolves the claim, and adopts the process if it is another one. Must
// be called before the list is applied.
void OnProcessListed(PoolBoard& board,
                     PoolWorker& worker,
                     const WorkerAnswer& list,
                     Micros now,
                     PoolActions& actions);

// Accepts the worker's claim if it was asked in vain and has no run left.
// Returns whether it did; the session is over then.
bool AcceptUnansweredClaim(PoolBoard& board,
                           PoolWorker& worker,
                           Micros now,
                           PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_WORKERS_PROCESS_CLAIMS_H_
