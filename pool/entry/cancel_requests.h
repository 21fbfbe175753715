#ifndef POOL_ENTRY_CANCEL_REQUESTS_H_
#define POOL_ENTRY_CANCEL_REQUESTS_H_

// Requests to cancel a job that the entry daemon does not have: the job came
// through another entry daemon, or has ended.
//
// Any daemon may have the job, so all that are known here are asked, reachable
// or not, until each has answered: the control daemons, and the entry daemons
// that this one exchanges heartbeats with, which may be standbys. Control
// daemons name further ones that order workers; those are asked, too. The
// caller hears that the job is cancelled when one of them had it, and that
// there is no such job only when all have answered that. If an answer is
// missing, the caller hears after kCancelAnswerTime that the outcome is unknown
// and asks again; the orders go on.

#include <cstdint>
#include <string>

#include "pool/entry/entry.h"

namespace goldcrest::detail {

// Time after which a caller is told that the outcome of its request is unknown.
inline constexpr Micros kCancelAnswerTime = 1500 * kMillisecond;

// Handles a request for a job that is not pending here.
void RequestCancelElsewhere(EntryBoard& board,
                            const CancelRequested& request,
                            Micros now,
                            PoolActions& actions);

// Handles the answer of a daemon to the order with this number.
void OnCancelAnswered(EntryBoard& board,
                      uint64_t number,
                      const wire::Delivered& answer,
                      Micros now,
                      PoolActions& actions);

// Answers the requests that have waited for too long.
void CancelRequestsTick(EntryBoard& board, Micros now, PoolActions& actions);

}  // namespace goldcrest::detail

#endif  // POOL_ENTRY_CANCEL_REQUESTS_H_
