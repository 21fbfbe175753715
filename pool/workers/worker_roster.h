#ifndef POOL_WORKERS_WORKER_ROSTER_H_
#define POOL_WORKERS_WORKER_ROSTER_H_

// The known workers. They report to any control daemon; changes are passed on
// to all others.

#include <string>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// Handles a worker's report about itself. The owner fields are ignored. A
// report of one worker too many has no effect; see MayKnowWorker().
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

// Returns the control address that the worker should report to: that of its
// owner, or empty if the owner is unknown or unreachable.
std::string ReportAddress(const PoolBoard& board,
                          const std::string& worker_id,
                          Micros now);

}  // namespace goldcrest

#endif  // POOL_WORKERS_WORKER_ROSTER_H_
