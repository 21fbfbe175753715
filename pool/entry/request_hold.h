#ifndef POOL_ENTRY_REQUEST_HOLD_H_
#define POOL_ENTRY_REQUEST_HOLD_H_

// Whether an entry daemon keeps a caller's request for a short time instead of
// refusing it, while it cannot serve any.
//
// It answers the load of the first second after all daemons have restarted, and
// of the time between the loss of all control daemons and the start of the
// standby: hundreds of requests arrive at an entry daemon that has no
// configuration, or no daemon to send jobs to, and will have both within a few
// hundred milliseconds. Callers wait much longer than that. A request is held
// once, for a bounded time, and only at the beginning of an outage: after
// that, nothing tells when the outage will end, so requests are refused at
// once.

#include "pool/entry/entry.h"

namespace goldcrest {

// When the entry daemon could last serve requests.
struct OutageClock {
  // The first time at which it could not; 0 while it can.
  Micros began_at = 0;
};

// Returns whether the entry daemon has a configuration and a daemon that takes
// jobs.
bool CanServe(const EntryBoard& board, Micros now);

// Records whether the entry daemon can serve at `now`.
void UpdateOutage(OutageClock& outage, const EntryBoard& board, Micros now);

// Returns whether a request that was received at `received_at` is to be held,
// or held on. Always false if EntryOptions::hold_requests is 0, while the
// decision code holds decoded jobs itself (PendingJob::held_since), while the
// daemon drains, and after a pause of the process. UpdateOutage() must have
// been called at `now`.
bool ShouldHold(const OutageClock& outage,
                const EntryBoard& board,
                Micros received_at,
                Micros now);

}  // namespace goldcrest

#endif  // POOL_ENTRY_REQUEST_HOLD_H_
