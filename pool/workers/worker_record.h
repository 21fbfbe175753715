#ifndef POOL_WORKERS_WORKER_RECORD_H_
#define POOL_WORKERS_WORKER_RECORD_H_

// Transfer of a worker's record between daemons: its profile, its ejections and
// whether it is slow.
//
// The owner of a worker keeps the record and sends it in the worker's updates,
// to the daemons that may own the worker next. After a hand-over, a takeover or
// a restart of its control daemon, the next owner continues with it: a worker
// that fails all tasks stays ejected, and its speed need not be learned again.
// Durations are sent instead of times, since clocks differ. A record ends with
// the worker's process.

#include <string>

#include "pool/pool_board.h"

namespace goldcrest {

// Returns the worker's status with its record, as it is sent to other daemons.
// Without run_times_by_worker, the status is unchanged.
wire::WorkerNews ProfileOf(const PoolBoard& board,
                           const PoolWorker& worker,
                           Micros now);

// Adopts the record in the update `row` from the daemon at the mesh address
// `from`, unless this daemon owns the worker, knows a newer record, or the row
// is about an earlier process of the worker. Must be called before the owner in
// the row is applied.
void AdoptProfile(PoolBoard& board,
                  const std::string& from,
                  const wire::WorkerNews& row,
                  PoolWorker& worker,
                  Micros now);

// Updates the averages of the profiles, and sends the records of the owned
// workers that have changed: at once if a worker was ejected, has recovered or
// has become slow, else once per period.
void ProfileTick(PoolBoard& board, Micros now, PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_WORKERS_WORKER_RECORD_H_
