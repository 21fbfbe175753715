#ifndef POOL_MESH_HEARTBEAT_RATE_H_
#define POOL_MESH_HEARTBEAT_RATE_H_

// How often two daemons exchange heartbeats.
//
// Control daemons exchange them with each other, and with the entry daemons of
// their own failure domain, at the full rate. An entry daemon of another domain
// sends them at a reduced rate, which falls with the number of entry daemons,
// so that what a control daemon receives from other domains does not grow with
// that number. Two daemons that share a job switch to the full rate at once and
// keep it as long as they share one; an entry daemon that cannot reach the
// control daemons of its own domain switches to the full rate with all others.
// Decisions that depend on quick failure detection therefore use the full rate
// only.

#include <cstddef>

#include "goldcrest/time_units.h"

namespace goldcrest {

struct HeartbeatRates {
  // Period at the full rate.
  Micros period = 100 * kMillisecond;
  // A daemon that exchanges heartbeats at the full rate counts as unreachable
  // after this time without a message.
  Micros full_rate_timeout = 450 * kMillisecond;
  // Each entry daemon adds this much to the period at the reduced rate.
  Micros reduced_period_per_entry = 8 * kMillisecond;
  Micros max_reduced_period = 2 * kSecond;
};

// Returns the period at the reduced rate for this number of entry daemons.
Micros ReducedRatePeriod(const HeartbeatRates& rates, size_t entry_daemons);

// Returns the time without a message after which a daemon that exchanges
// heartbeats at the reduced rate counts as unreachable.
Micros ReducedRateTimeout(const HeartbeatRates& rates, Micros reduced_period);

}  // namespace goldcrest

#endif  // POOL_MESH_HEARTBEAT_RATE_H_
