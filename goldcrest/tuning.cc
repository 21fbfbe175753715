#include "goldcrest/tuning.h"

#include <algorithm>
#include <iterator>

namespace goldcrest {
namespace {

// In the order of the enumerators of DisabledMechanism, after kNone.
constexpr std::string_view kMechanismNames[] = {
    "no_claim",
    "no_intent",
    "no_amnesia_rule",
    "no_serving_lease",
    "no_wait_for_lease",
    "no_fence",
    "repeat_lost",
    "refuse_unasked",
    "partial_answers",
    "no_configuration_recovery",
    "use_leaving_workers",
    "drop_on_drain",
};

}  // namespace

DisabledMechanism DisabledMechanismFromName(std::string_view name) {
  const auto* found =
      std::find(std::begin(kMechanismNames), std::end(kMechanismNames), name);
  if (found == std::end(kMechanismNames)) {
    return DisabledMechanism::kNone;
  }
  return static_cast<DisabledMechanism>(found - std::begin(kMechanismNames) +
                                        1);
}

std::span<const std::string_view> DisabledMechanismNames() {
  return kMechanismNames;
}

}  // namespace goldcrest
