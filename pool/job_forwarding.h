#ifndef POOL_JOB_FORWARDING_H_
#define POOL_JOB_FORWARDING_H_

// Forwarding of whole jobs to a control daemon with more free capacity, before
// any of their tasks is queued here. Used when a burst reaches one failure
// domain only, and when this daemon drains.
//
// Neighbours are rated by the load in their newest heartbeats, minus the jobs
// that were forwarded to them since. With PoolFeatures::move_waiting_jobs, they
// are rated by what fits there and by the wait for the job's priority
// (load_report.h, pool_choice.h), and jobs that wait here are forwarded too
// (pool_balance.h).

#include <cstdint>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// Forwards an order to a neighbour that can start all of it at once, or whose
// queue is so much shorter that it outweighs the forwarding delay. Returns
// false if there is no such neighbour.
bool ForwardJob(PoolBoard& board,
                const wire::JobOrder& order,
                Micros now,
                PoolActions& actions);

// Sends the order to the neighbour and informs its entry daemon. The caller
// must hold no job of this order any more. `waited` is the time since the job
// was first received.
void SendForwardedOrder(PoolBoard& board,
                        const wire::JobOrder& order,
                        MeshMember& to,
                        Micros waited,
                        PoolActions& actions);

// Reports to the entry daemon that this daemon holds the job of an order that
// was forwarded to it, if the sender's daemon expects that.
void ConfirmForwardedOrder(const PoolBoard& board,
                           const wire::JobOrder& order,
                           PoolActions& actions);

// A job is forwarded at most this many times in total.
inline constexpr uint32_t kMaxMoves = 2;

// Returns how often the job was forwarded, under all of its order numbers. A
// daemon without PoolFeatures::move_waiting_jobs counts only that it was.
uint32_t MovesOf(const wire::JobOrder& order);

// Returns the neighbours to which a job may be forwarded, by address.
std::vector<MeshMember*> FindAvailableNeighbours(PoolBoard& board, Micros now);

// The cost of forwarding a job, as the wait in milliseconds that it is worth:
// two messages and the time until the receiver's next placement.
inline constexpr int64_t kForwardingCostMs = 20;

// Returns whether a wait of `their_wait_ms` is so much shorter than one of
// `own_wait_ms` that it outweighs forwarding. Waits have to differ by a factor,
// so that a job is not forwarded back when the loads are out of date.
bool OutweighsForwarding(int64_t their_wait_ms, int64_t own_wait_ms);

// The wait, in milliseconds, that is assumed at a daemon that drains or has no
// workers.
inline constexpr int64_t kNoServiceWaitMs = 10'000;

}  // namespace goldcrest

#endif  // POOL_JOB_FORWARDING_H_
