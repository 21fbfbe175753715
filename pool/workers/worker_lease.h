#ifndef POOL_WORKERS_WORKER_LEASE_H_
#define POOL_WORKERS_WORKER_LEASE_H_

// The fencing tokens and leases of the orders to a worker.
//
// All attempts on a worker share one lease, which each start and renewal
// extends: half of the longest expected run time there, within the bounds of
// PoolOptions. Tokens follow the wall clock, so that a later session of any
// daemon has the higher one.

#include <cstdint>

#include "pool/pool_board.h"

namespace goldcrest {

// Difference allowed for between the clocks of two daemons, in milliseconds.
// Tokens follow the wall clock in milliseconds. This is added to a token that
// the worker has refused, so that the next one also exceeds that of a daemon
// whose clock is up to 4 s ahead.
inline constexpr uint64_t kTokenClockAllowanceMs = 4000;

// Returns the wall clock in milliseconds, or one more than the highest known
// token of the worker if that is greater.
uint64_t NextToken(const PoolBoard& board, const PoolWorker& worker);

// Adds to an order a lease for all attempts on the worker, and records the time
// by which that lease has expired even if the worker's clock runs slow by the
// maximum drift. Does nothing while the worker's clock is unknown;
// reconciliation reads it.
void AddLease(const PoolOptions& options,
              PoolWorker& worker,
              WorkerOrder& order,
              Micros now);

// Returns when the longest lease that a worker may have granted by `now` has
// expired on the slowest clock that the worker may have.
Micros LongestLeaseEnd(const PoolOptions& options, Micros now);

// Returns when no process carries an order sent at `sent_at` out any more, and
// the longest lease that it may have granted has expired.
Micros LateOrderEnd(const PoolOptions& options, Micros sent_at);

// Returns whether the answer may be from the process whose clock was read last:
// the clock of a later process starts anew, so it is behind. How late the
// answer is handled makes no difference.
bool IsOnSameClock(const PoolOptions& options,
                   const PoolWorker& worker,
                   const WorkerAnswer& answer);

// Returns whether the lease of the worker may be extended. All attempts there
// share it, so while one runs that must end, they all end with it: an attempt
// of another daemon, whose owner waits for the end of the lease that it gave,
// and one of a job that has ended which the worker does not confirm to stop, at
// once if the job was abandoned.
bool MayExtendLease(const PoolWorker& worker, Micros now);

// Returns an order of the worker's present session.
WorkerOrder MakeOrder(const PoolBoard& board,
                      const PoolWorker& worker,
                      OrderKind kind,
                      Micros now);

// Returns an order that renews the lease, unless the worker is being
// reconciled, and acknowledges the ends that were processed. The worker may
// delay its answer by `wait_ms` until another attempt ends.
WorkerOrder MakeLeaseRenewal(const PoolBoard& board,
                             PoolWorker& worker,
                             int64_t wait_ms,
                             Micros now);

}  // namespace goldcrest

#endif  // POOL_WORKERS_WORKER_LEASE_H_
