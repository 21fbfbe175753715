#include "pool/standby.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/digest.h"
#include "pool/mesh.h"

namespace goldcrest {
namespace {

constexpr size_t kMaxProbePeers = 8;
// Workers are claimed only after this daemon and its probe peers could reach no
// control daemon for this long.
constexpr Micros kMinProbeTime = 600 * kMillisecond;

bool IsAnyControlReachable(const Mesh& mesh, Micros now) {
  return std::any_of(mesh.members.begin(), mesh.members.end(),
                     [&](const auto& entry) {
                       return entry.second.last_heartbeat.control() &&
                              IsReachableByAny(mesh, entry.first, now);
                     });
}

// Returns false if there are no probe peers, so an entry daemon without any
// never becomes a standby.
bool ReachesAtLeastHalfOfProbePeers(const Mesh& mesh, Micros now) {
  const auto reachable = static_cast<size_t>(
      std::count_if(mesh.probe_peers.begin(), mesh.probe_peers.end(),
                    [&](const std::string& address) {
                      return IsPeerReachable(mesh, address, now);
                    }));
  return !mesh.probe_peers.empty() && 2 * reachable >= mesh.probe_peers.size();
}

// Returns up to `max_count` of the addresses: those with the lowest rendezvous
// weight for `to`, so that each daemon keeps the same probe peers. Any other
// fixed order would do.
std::vector<std::string> LowestWeightFor(
    const std::string& to,
    const std::vector<std::string>& addresses,
    size_t max_count) {
  if (max_count == 0) {
    return {};
  }
  std::vector<std::pair<uint64_t, std::string>> ranked;
  ranked.reserve(addresses.size());
  for (const std::string& address : addresses) {
    ranked.emplace_back(RendezvousWeight(to, address), address);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> selected;
  for (auto& [weight, address] : ranked) {
    if (selected.size() < max_count) {
      selected.push_back(std::move(address));
    }
  }
  return selected;
}

void LogStandby(const PoolBoard& board,
                const char* event,
                PoolActions& actions) {
  LogPoolEvent(actions, LogLevel::kWarning, event,
               {{"witnesses", std::to_string(board.mesh.probe_peers.size())},
                {"workers_known", std::to_string(board.workers.size())}});
}

}  // namespace

void StandbyTick(PoolBoard& board, Micros now, PoolActions& actions) {
  Mesh& mesh = board.mesh;
  const bool control_reachable = IsAnyControlReachable(mesh, now);
  if (control_reachable) {
    if (board.standby) {
      LogStandby(board, "standby_ended", actions);
    }
    board.standby = false;
    mesh.probing = false;
    return;
  }
  if (!mesh.probing) {
    mesh.probing = true;
    board.probing_since = now;
    LogStandby(board, "no_control_daemon_heard", actions);
  }
  const bool is_standby = now - board.probing_since > kMinProbeTime &&
                          ReachesAtLeastHalfOfProbePeers(mesh, now);
  if (is_standby && !board.standby) {
    LogStandby(board, "standby_began", actions);
    board.ownership_due = now;
  }
  // May end the standby without a "standby_ended" log line, when too few probe
  // peers are reachable.
  board.standby = is_standby;
}

std::vector<std::string> ProbePeersFor(const Mesh& mesh,
                                       const std::string& to,
                                       Micros now) {
  const auto receiver = mesh.members.find(to);
  if (receiver == mesh.members.end()) {
    return {};
  }
  const std::string& domain = receiver->second.last_heartbeat.failure_domain();
  std::vector<std::string> same_domain;
  std::vector<std::string> other_domains;
  for (const auto& [address, member] : mesh.members) {
    if (address == to || member.last_heartbeat.control() ||
        member.incarnation == 0 || !IsPeerReachable(mesh, address, now)) {
      continue;
    }
    const bool is_same_domain =
        member.last_heartbeat.failure_domain() == domain;
    (is_same_domain ? same_domain : other_domains).push_back(address);
  }
  std::vector<std::string> probe_peers =
      LowestWeightFor(to, same_domain, kMaxProbePeers);
  const std::vector<std::string> others =
      LowestWeightFor(to, other_domains, kMaxProbePeers - probe_peers.size());
  probe_peers.insert(probe_peers.end(), others.begin(), others.end());
  return probe_peers;
}

bool HasReadyWorkers(const PoolBoard& board) {
  return std::any_of(board.owned.begin(), board.owned.end(),
                     [](const auto& entry) {
                       return entry.second->session == SessionState::kReady;
                     });
}

}  // namespace goldcrest
