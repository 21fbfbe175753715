#ifndef POOL_WORKERS_HANDOVER_H_
#define POOL_WORKERS_HANDOVER_H_

// How workers change their owner while both owners are running, with
// PoolFeatures::standby_after: when a control daemon starts or resumes while
// other daemons order its workers.
//
// The new owner requests all of its workers in each review. The present owner
// releases a bounded part of its workers at a time and answers with the state
// of all others, so that the capacity that is unavailable at any moment is
// bounded, and the new owner knows whom to ask. A daemon that has just started
// asks the others about a worker without a known owner before it claims it,
// since claiming a worker that somebody uses ends the jobs there with an
// unknown outcome.

#include <string>

#include "pool/pool_board.h"

namespace goldcrest {

// Releases some of the requested workers, and answers `from` with the state of
// the others.
void HandOverInTurns(PoolBoard& board,
                     const std::string& from,
                     const wire::WorkerRequest& request,
                     Micros now,
                     PoolActions& actions);

// Returns whether the update `row` from the daemon at `from` names the daemon
// that owns the worker now, rather than one that owned it before this daemon
// was refused. With PoolFeatures::standby_after, only the owner itself names
// itself. Called before the update is applied.
bool NamesPresentOwner(const PoolBoard& board,
                       const std::string& from,
                       const wire::WorkerNews& row);

// Returns whether the update `row` from the daemon at `from` reports that the
// present owner of the worker has released it, so that it can be claimed at
// once. While its owner is unknown, only a release by the owner named last
// counts. Called before the update is applied.
bool ReportsRelease(const PoolBoard& board,
                    const std::string& from,
                    const wire::WorkerNews& row,
                    const PoolWorker& worker);

// Returns whether the owner of a worker is running, so that it can be asked for
// the worker.
bool IsOwnerReachable(const PoolBoard& board,
                      const std::string& owner,
                      Micros now);

// Returns whether this control daemon should ask the others who owns the worker
// before it claims it: it has started recently, and they have not had the time
// to answer, or the named owner has not had the time to connect.
bool IsOwnerQueryDue(const PoolBoard& board, PoolWorker& worker, Micros now);

// Returns how long after its start a daemon reviews the ownership of workers
// for the first time.
Micros ReviewDelay(const PoolBoard& board);

// Returns whether a member is asked for a worker whose owner is unknown.
bool ReceivesOwnerQueries(const PoolBoard& board, const MeshMember& member);

}  // namespace goldcrest

#endif  // POOL_WORKERS_HANDOVER_H_
