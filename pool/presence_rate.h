#ifndef POOL_PRESENCE_RATE_H_
#define POOL_PRESENCE_RATE_H_

// How often two daemons exchange presences.
//
// Control daemons exchange them with each other, and with the entry daemons of
// their own failure domain, at the full rate. An entry daemon of another
// domain sends them more slowly, the more entry daemons there are, so that what
// a control daemon receives from afar does not grow with their number. Two
// daemons that share a job change to the full rate at once and for as long as
// they do, and an entry daemon that does not hear its own domain's control
// daemons does so with all others: what depends on quick detection of a loss
// is decided at the full rate only.

#include <cstddef>

#include "goldcrest/time_units.h"

namespace goldcrest {

struct PresenceRates {
  // The full rate.
  Micros period = 100 * kMillisecond;
  // A daemon that exchanges presences at the full rate counts as lost after
  // this much silence.
  Micros silence = 450 * kMillisecond;
  // Each entry daemon adds this much to the period at the far rate.
  Micros far_period_per_entry = 8 * kMillisecond;
  Micros longest_far_period = 2 * kSecond;
};

// Returns the period at the far rate when there are so many entry daemons.
Micros FarPeriod(const PresenceRates& rates, size_t entry_daemons);

// Returns the silence after which a daemon that exchanges presences at the far
// rate counts as lost.
Micros FarSilence(const PresenceRates& rates, Micros far_period);

}  // namespace goldcrest

#endif  // POOL_PRESENCE_RATE_H_
