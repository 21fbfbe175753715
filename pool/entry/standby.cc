#include "pool/entry/standby.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/digest.h"
#include "pool/mesh/mesh.h"
#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

constexpr size_t kMaxProbePeers = 8;
// The same with `standby_after`. The probe peers are also the daemons that
// share the workers with a standby, so those of its failure domain should be
// among them: two that do not know each other may claim the same worker.
constexpr size_t kMaxProbePeersOfQuickStandby = 16;
// Workers are claimed only after this daemon and its probe peers could reach no
// control daemon for this long.
constexpr Micros kMinProbeTime = 600 * kMillisecond;
// The same with `standby_after`, and the number of probes that must have been
// sent. A control daemon that pauses for 250 ms answers within this time: its
// last heartbeat was up to 100 ms old when the pause began.
constexpr Micros kMinQuickProbeTime = 120 * kMillisecond;
constexpr uint64_t kMinQuickProbes = 3;
// Workers that no control daemon has requested this long after the end of the
// standby are released: none may know that they are owned here.
constexpr Micros kUnrequestedTime = 3 * kSecond;
// Probes are sent at short intervals for this long.
constexpr Micros kQuickProbing = 500 * kMillisecond;

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

// Returns whether at least half of the probe peers have answered a probe of
// this silence that they hear no control daemon, and none that it hears one.
bool ProbePeersHearNoControl(const Mesh& mesh, Micros now) {
  size_t hear_none = 0;
  for (const std::string& address : mesh.probe_peers) {
    const auto found = mesh.members.find(address);
    if (found == mesh.members.end()) {
      continue;
    }
    const MeshMember& peer = found->second;
    const bool has_answered =
        peer.last_heartbeat.echoed_sequence() >= mesh.first_probe &&
        now - peer.last_heartbeat_at < mesh.options.rates.full_rate_timeout;
    if (!has_answered) {
      continue;
    }
    if (peer.last_heartbeat.hears_size() > 0) {
      return false;
    }
    ++hear_none;
  }
  return !mesh.probe_peers.empty() && 2 * hear_none >= mesh.probe_peers.size();
}

// Returns whether this daemon and its probe peers have had an answer of no
// control daemon, although enough probes were sent.
bool HaveQuickProbesFailed(const PoolBoard& board, Micros now) {
  const Mesh& mesh = board.mesh;
  return now - board.probing_since >= kMinQuickProbeTime &&
         mesh.sequence + 1 >= mesh.first_probe + kMinQuickProbes &&
         ProbePeersHearNoControl(mesh, now);
}

void StartProbing(PoolBoard& board, Micros now, PoolActions& actions) {
  Mesh& mesh = board.mesh;
  mesh.probing = true;
  board.probing_since = now;
  if (mesh.options.standby_after != 0) {
    mesh.first_probe = mesh.sequence + 1;
    mesh.next_heartbeat_at = now;
  }
  LogStandby(board, "no_control_daemon_heard", actions);
}

// While control daemons are reachable: releases the workers that are left of a
// standby as soon as they are idle, if nobody has requested them.
void ReleaseUnrequestedWorkers(PoolBoard& board,
                               Micros now,
                               PoolActions& actions) {
  if (board.owned.empty()) {
    board.owned_since_standby = 0;
    return;
  }
  if (board.owned_since_standby == 0) {
    board.owned_since_standby = now;
  }
  // The jobs that are left may need the workers for further tasks.
  if (now - board.owned_since_standby < kUnrequestedTime ||
      !board.jobs.empty()) {
    return;
  }
  for (PoolWorker* worker : OwnedWorkers(board)) {
    if (worker->session == SessionState::kReady) {
      worker->session = SessionState::kReleasing;
      SessionTick(board, *worker, now, actions);
    }
  }
}

}  // namespace

void StandbyTick(PoolBoard& board, Micros now, PoolActions& actions) {
  Mesh& mesh = board.mesh;
  const bool quick = mesh.options.standby_after != 0;
  const bool control_reachable =
      quick ? HearsAnyControl(mesh, now) : IsAnyControlReachable(mesh, now);
  if (control_reachable) {
    if (board.standby) {
      LogStandby(board, "standby_ended", actions);
    }
    board.standby = false;
    mesh.probing = false;
    mesh.probes_quickly = false;
    ReleaseUnrequestedWorkers(board, now, actions);
    return;
  }
  board.owned_since_standby = 0;
  if (!mesh.probing) {
    StartProbing(board, now, actions);
  }
  const bool is_standby = quick ? HaveQuickProbesFailed(board, now)
                                : now - board.probing_since > kMinProbeTime &&
                                      ReachesAtLeastHalfOfProbePeers(mesh, now);
  if (is_standby && !board.standby) {
    LogStandby(board, "standby_began", actions);
    ++board.counters.standbys;
    board.ownership_due = now;
  }
  mesh.probes_quickly =
      quick && !is_standby && now - board.probing_since < kQuickProbing;
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
  const size_t max_peers = mesh.options.standby_after != 0
                               ? kMaxProbePeersOfQuickStandby
                               : kMaxProbePeers;
  std::vector<std::string> probe_peers =
      LowestWeightFor(to, same_domain, max_peers);
  const std::vector<std::string> others =
      LowestWeightFor(to, other_domains, max_peers - probe_peers.size());
  probe_peers.insert(probe_peers.end(), others.begin(), others.end());
  return probe_peers;
}

bool HearsAnyControl(const Mesh& mesh, Micros now) {
  return std::any_of(
      mesh.members.begin(), mesh.members.end(), [&](const auto& entry) {
        const MeshMember& member = entry.second;
        return member.last_heartbeat.control() &&
               member.last_received_at != 0 &&
               now - member.last_received_at < mesh.options.standby_after;
      });
}

bool IsQuickStandby(const PoolBoard& board) {
  return board.standby && board.mesh.options.standby_after != 0;
}

bool HasReadyWorkers(const PoolBoard& board) {
  return std::any_of(board.owned.begin(), board.owned.end(),
                     [](const auto& entry) {
                       return entry.second->session == SessionState::kReady;
                     });
}

}  // namespace goldcrest
