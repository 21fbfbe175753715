#ifndef POOL_WORKERS_WORKER_REPORT_H_
#define POOL_WORKERS_WORKER_REPORT_H_

// What a worker's report, or another daemon's update about it, changes.
//
// Reports arrive late and out of order: the one of the later process counts, of
// one process the one with the higher sequence. A report of a later process, or
// of another worker at the address of one, claims that the earlier process has
// ended (process_claims.h).

#include "pool/pool_board.h"

namespace goldcrest {

// Applies a report if it is newer than what is known; returns whether its
// content differs from that.
bool ApplyReport(PoolBoard& board,
                 const wire::WorkerNews& report,
                 Micros now,
                 PoolActions& actions);

// Records a report that is accepted, whatever was known before.
void AdoptReport(PoolBoard& board,
                 PoolWorker& worker,
                 const wire::WorkerNews& report,
                 Micros now,
                 PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_WORKERS_WORKER_REPORT_H_
