#include "pool/presence_rate.h"

#include <algorithm>

namespace goldcrest {

Micros FarPeriod(const PresenceRates& rates, size_t entry_daemons) {
  const Micros period =
      static_cast<Micros>(entry_daemons) * rates.far_period_per_entry;
  return std::clamp(period, rates.period, rates.longest_far_period);
}

Micros FarSilence(const PresenceRates& rates, Micros reduced_period) {
  // Allows for two lost heartbeats, plus the margin beyond two periods that the
  // timeout at the full rate has.
  return rates.silence + 2 * (reduced_period - rates.period);
}

}  // namespace goldcrest
