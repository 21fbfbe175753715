#ifndef POOL_WORKER_ROSTER_H_
#define POOL_WORKER_ROSTER_H_

// Which workers there are, and which control daemon orders each of them.
//
// Workers report to any control daemon; what is new goes to all others. A
// worker is ordered by a daemon of its own failure domain, chosen by
// rendezvous hashing among those alive, so that a domain that is cut off goes
// on with its own workers; where its domain has none, by any. Nobody has to
// agree on owners: a daemon takes a worker whose owner is lost by ordering it
// under a higher token, and the worker itself obeys one daemon at a time. An
// owner that lives is asked to hand over, and does so when nothing runs there.

#include <string>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// Takes in a worker's report about itself. The owner fields are ignored.
void OnWorkerReport(PoolBoard& board,
                    const wire::WorkerNews& report,
                    Micros now,
                    PoolActions& actions);

// Takes in that a worker says it ends now.
void OnWorkerLeft(PoolBoard& board,
                  const std::string& id,
                  Micros now,
                  PoolActions& actions);

// Takes in what another daemon, at the mesh address `from`, knows.
void OnWorkerNews(PoolBoard& board,
                  const std::string& from,
                  const wire::WorkerTableNews& news,
                  Micros now,
                  PoolActions& actions);

// Takes in that another control daemon wants workers handed over.
void OnWorkerRequest(PoolBoard& board,
                     const wire::WorkerRequest& request,
                     Micros now,
                     PoolActions& actions);

// Tells all control daemons about a worker.
void AnnounceWorker(PoolBoard& board,
                    const PoolWorker& worker,
                    Micros now,
                    PoolActions& actions);

// Sends the whole table to a control daemon that has just started.
void SendWorkerTable(PoolBoard& board,
                     const std::string& to,
                     PoolActions& actions);

// Gives up a worker on which nothing runs.
void ReleaseWorker(PoolBoard& board,
                   PoolWorker& worker,
                   Micros now,
                   PoolActions& actions);

// Claims workers, asks for hand-overs and forgets silent workers.
void OwnershipTick(PoolBoard& board, Micros now, PoolActions& actions);

// Finds out which daemons may order workers now.
void UpdateOwnerCandidates(PoolBoard& board, Micros now);

// Returns the daemon that is to order the worker, of the candidates last found;
// empty when there is none. The choice is kept with the worker until the
// candidates change, since each weight costs a hash.
const std::string& PreferredOwner(const PoolBoard& board, PoolWorker& worker);

// Returns the control address that the worker should report to: its owner's.
std::string ReportAddress(const PoolBoard& board,
                          const std::string& worker_id,
                          Micros now);

}  // namespace goldcrest

#endif  // POOL_WORKER_ROSTER_H_
