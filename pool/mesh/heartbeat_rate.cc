#include "pool/mesh/heartbeat_rate.h"

#include <algorithm>

namespace goldcrest {

Micros ReducedRatePeriod(const HeartbeatRates& rates, size_t entry_daemons) {
  const Micros period =
      static_cast<Micros>(entry_daemons) * rates.reduced_period_per_entry;
  return std::clamp(period, rates.period, rates.max_reduced_period);
}

Micros ReducedRateTimeout(const HeartbeatRates& rates, Micros reduced_period) {
  // Allows for two lost heartbeats, plus the margin beyond two periods that the
  // timeout at the full rate has.
  return rates.full_rate_timeout + 2 * (reduced_period - rates.period);
}

}  // namespace goldcrest
