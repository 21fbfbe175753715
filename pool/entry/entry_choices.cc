// The stateless choices of an entry daemon: the queue of a request and the
// control daemon of a job.

#include <tuple>
#include <utility>

#include "pool/entry/entry.h"

#include <Poco/String.h>

namespace goldcrest {

const wire::Queue* FindQueue(const wire::Routing& routing,
                             const std::string& host,
                             const std::string& path) {
  const std::string name = host.substr(0, host.find(':'));
  const wire::Queue* best = nullptr;
  std::pair<size_t, size_t> best_lengths;  // of the prefix and the host
  for (const wire::Queue& queue : routing.queues()) {
    const bool matches = path.starts_with(queue.path_prefix()) &&
                         (Poco::icompare(queue.host(), name) == 0 ||
                          Poco::icompare(queue.host(), host) == 0);
    const std::pair lengths(queue.path_prefix().size(), queue.host().size());
    if (matches && (best == nullptr || lengths > best_lengths)) {
      best = &queue;
      best_lengths = lengths;
    }
  }
  return best;
}

std::optional<std::string> ChooseControl(const Mesh& mesh,
                                         Micros now,
                                         const std::set<std::string>& tried) {
  std::optional<std::string> best;
  std::tuple<bool, bool, int64_t> best_rank;
  for (const auto& [address, member] : mesh.members) {
    const wire::Presence& presence = member.last_heartbeat;
    if (!presence.control() || presence.draining() || tried.contains(address) ||
        !IsPeerReachable(mesh, address, now)) {
      continue;
    }
    const bool has_workers = presence.load().workers() > 0;
    const bool same_domain =
        presence.failure_domain() == mesh.options.failure_domain;
    const std::tuple rank(has_workers, same_domain,
                          presence.load().free_cpu_millis());
    if (!best || rank > best_rank) {
      best = address;
      best_rank = rank;
    }
  }
  return best && std::get<0>(best_rank) ? best : std::nullopt;
}

}  // namespace goldcrest
