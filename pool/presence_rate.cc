#include "pool/presence_rate.h"

#include <algorithm>

namespace goldcrest {

Micros FarPeriod(const PresenceRates& rates, size_t entry_daemons) {
  const Micros period =
      static_cast<Micros>(entry_daemons) * rates.far_period_per_entry;
  return std::clamp(period, rates.period, rates.longest_far_period);
}

Micros FarSilence(const PresenceRates& rates, Micros far_period) {
  // As many periods may be missed as at the full rate, but two at most.
  return rates.silence + 2 * (far_period - rates.period);
}

}  // namespace goldcrest
