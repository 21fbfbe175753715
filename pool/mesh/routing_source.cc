#include "pool/mesh/routing_source.h"

#include <string>

namespace goldcrest {

void ChooseRoutingSource(Mesh& mesh, Micros now) {
  mesh.routing_request_due = false;
  const bool request_pending =
      !mesh.routing_source.empty() &&
      now - mesh.routing_requested_at < mesh.options.routing_request_timeout;
  std::string best;
  bool best_in_own_domain = false;
  for (const auto& [address, member] : mesh.members) {
    const wire::Presence& heartbeat = member.last_heartbeat;
    if (!heartbeat.control() || !IsPeerReachable(mesh, address, now) ||
        heartbeat.routing_version() <= mesh.routing_version ||
        address == mesh.routing_source) {
      continue;
    }
    const bool in_own_domain =
        heartbeat.failure_domain() == mesh.options.failure_domain;
    if (best.empty() || (in_own_domain && !best_in_own_domain)) {
      best = address;
      best_in_own_domain = in_own_domain;
    }
  }
  if (best.empty() || request_pending) {
    if (best.empty() && !request_pending) {
      // No other daemon has it: in the next round, the last one is requested
      // again.
      mesh.routing_source.clear();
    }
    return;
  }
  mesh.routing_source = best;
  mesh.routing_requested_at = now;
  mesh.routing_request_due = true;
}

}  // namespace goldcrest
