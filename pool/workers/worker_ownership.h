#ifndef POOL_WORKERS_WORKER_OWNERSHIP_H_
#define POOL_WORKERS_WORKER_OWNERSHIP_H_

// The daemon that owns (orders) each worker.
//
// A worker is owned by a daemon of its own failure domain, chosen by rendezvous
// hashing among the reachable ones, so that a domain that is cut off continues
// with its own workers. If its domain has none, any daemon can be the owner.
// Ownership needs no consensus: a daemon claims a worker whose owner has failed
// by ordering it under a higher token, and the worker itself obeys one daemon
// at a time. An owner that is reachable is asked for a handover instead, and
// hands the worker over when nothing runs there.

#include <string>

#include "pool/pool_board.h"

namespace goldcrest {

// Handles the request of the daemon at the mesh address `from` to hand over
// workers.
void OnHandoverRequest(PoolBoard& board,
                       const std::string& from,
                       const wire::WorkerRequest& request,
                       Micros now,
                       PoolActions& actions);

// Releases a worker on which nothing runs: ends the session and announces that
// the worker has no owner.
void ReleaseWorker(PoolBoard& board,
                   PoolWorker& worker,
                   Micros now,
                   PoolActions& actions);

// Updates the set of daemons that may order workers now.
void UpdateOwnerCandidates(PoolBoard& board, Micros now);

// Returns the daemon that should own the worker, out of the current owner
// candidates; empty if there is none. The choice is cached with the worker
// until the candidates change, since each weight costs a hash.
const std::string& PreferredOwner(const PoolBoard& board, PoolWorker& worker);

// Claims workers, requests handovers and removes workers that do not report.
void OwnershipTick(PoolBoard& board, Micros now, PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_WORKERS_WORKER_OWNERSHIP_H_
