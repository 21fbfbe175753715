#ifndef POOL_WORKERS_WORKER_TABLE_H_
#define POOL_WORKERS_WORKER_TABLE_H_

// The table of known workers (PoolBoard::workers): which of them have reported
// from an address, and how long those that have left are remembered.
//
// A worker that is replaced has a successor under another id, so the table
// would grow without bound if it kept all that ever reported. The record of a
// worker that has left is needed only to recognize reports that arrive late.
// Reports are not authenticated, so the table is bounded as well.

#include <string>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// Records that the worker reports from `address`, and no longer from
// `former_address`, which is empty if it has not reported before.
void RecordWorkerAddress(PoolBoard& board,
                         const std::string& id,
                         const std::string& former_address,
                         const std::string& address);

// Returns whether the worker is known or may become so
// (PoolOptions::max_known_workers).
bool MayKnowWorker(const PoolBoard& board, const std::string& id);

// Returns the known workers whose last report was from `address`, sorted by id.
std::vector<PoolWorker*> WorkersAt(PoolBoard& board,
                                   const std::string& address);

// Forgets the workers that left `forget_gone_after` ago, once a second.
void ForgetGoneWorkers(PoolBoard& board, Micros now);

}  // namespace goldcrest

#endif  // POOL_WORKERS_WORKER_TABLE_H_
