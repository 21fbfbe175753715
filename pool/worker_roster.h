#ifndef POOL_WORKER_ROSTER_H_
#define POOL_WORKER_ROSTER_H_

// The known workers, and the daemon that owns (orders) each of them.
//
// Workers report to any control daemon; changes are passed on to all others. A
// worker is owned by a daemon of its own failure domain, chosen by rendezvous
// hashing among the reachable ones, so that a domain that is cut off continues
// with its own workers. If its domain has none, any daemon can be the owner.
// Ownership needs no consensus: a daemon claims a worker whose owner has failed
// by ordering it under a higher token, and the worker itself obeys one daemon
// at a time. An owner that is reachable is asked for a handover instead, and
// hands the worker over when nothing runs there.

#include <string>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// Handles a worker's report about itself. The owner fields are ignored.
void OnWorkerReport(PoolBoard& board,
                    const wire::WorkerNews& report,
                    Micros now,
                    PoolActions& actions);

// Handles a worker's notice that it shuts down now.
void OnWorkerLeft(PoolBoard& board,
                  const std::string& id,
                  Micros now,
                  PoolActions& actions);

// Handles a worker update from another daemon, at the mesh address `from`.
void OnWorkerUpdate(PoolBoard& board,
                    const std::string& from,
                    const wire::WorkerTableNews& update,
                    Micros now,
                    PoolActions& actions);

// Handles the request of the daemon at the mesh address `from` to hand over
// workers.
void OnHandoverRequest(PoolBoard& board,
                       const std::string& from,
                       const wire::WorkerRequest& request,
                       Micros now,
                       PoolActions& actions);

// Returns whether a daemon receives updates of a worker: all control daemons
// do, and the entry daemons of the worker's failure domain.
bool ReceivesUpdatesOf(const MeshMember& member,
                       const wire::WorkerNews& worker);

// Sends an update about a worker to all control daemons and to the entry
// daemons of the worker's failure domain.
void AnnounceWorker(PoolBoard& board,
                    const PoolWorker& worker,
                    Micros now,
                    PoolActions& actions);

// Sends the worker table to a daemon that has just started: to a control daemon
// all of it, to an entry daemon the workers of its failure domain.
void SendWorkerTable(PoolBoard& board,
                     const std::string& to,
                     Micros now,
                     PoolActions& actions);

// Releases a worker on which nothing runs: ends the session and announces that
// the worker has no owner.
void ReleaseWorker(PoolBoard& board,
                   PoolWorker& worker,
                   Micros now,
                   PoolActions& actions);

// Claims workers, requests handovers and removes workers that do not report.
void OwnershipTick(PoolBoard& board, Micros now, PoolActions& actions);

// Updates the set of daemons that may order workers now.
void UpdateOwnerCandidates(PoolBoard& board, Micros now);

// Returns the daemon that should own the worker, out of the current owner
// candidates; empty if there is none. The choice is cached with the worker
// until the candidates change, since each weight costs a hash.
const std::string& PreferredOwner(const PoolBoard& board, PoolWorker& worker);

// Returns the control address that the worker should report to: that of its
// owner, or empty if the owner is unknown or unreachable.
std::string ReportAddress(const PoolBoard& board,
                          const std::string& worker_id,
                          Micros now);

}  // namespace goldcrest

#endif  // POOL_WORKER_ROSTER_H_
