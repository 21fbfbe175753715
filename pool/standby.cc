#include "pool/standby.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/digest.h"
#include "pool/mesh.h"

namespace goldcrest {
namespace {

constexpr size_t kMaxWitnesses = 8;
// How long no witness may hear a control daemon before workers are taken.
constexpr Micros kProbeFor = 600 * kMillisecond;

bool AnyControlAlive(const Mesh& mesh, Micros now) {
  return std::any_of(mesh.members.begin(), mesh.members.end(),
                     [&](const auto& entry) {
                       return entry.second.presence.control() &&
                              IsAlive(mesh, entry.first, now);
                     });
}

bool HearsHalfOfWitnesses(const Mesh& mesh, Micros now) {
  const auto heard = static_cast<size_t>(std::count_if(
      mesh.witnesses.begin(), mesh.witnesses.end(),
      [&](const std::string& address) { return IsHeard(mesh, address, now); }));
  return !mesh.witnesses.empty() && 2 * heard >= mesh.witnesses.size();
}

// Returns up to `most` of the addresses, those of the least rendezvous weight
// for `to`, so that each daemon keeps its witnesses.
std::vector<std::string> LightestFor(const std::string& to,
                                     const std::vector<std::string>& addresses,
                                     size_t most) {
  if (most == 0) {
    return {};
  }
  std::vector<std::pair<uint64_t, std::string>> ranked;
  ranked.reserve(addresses.size());
  for (const std::string& address : addresses) {
    ranked.emplace_back(RendezvousWeight(to, address), address);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> lightest;
  for (auto& [weight, address] : ranked) {
    if (lightest.size() < most) {
      lightest.push_back(std::move(address));
    }
  }
  return lightest;
}

void LogStandby(const PoolBoard& board,
                const char* event,
                PoolActions& actions) {
  LogPool(actions, LogLevel::kWarning, event,
          {{"witnesses", std::to_string(board.mesh.witnesses.size())},
           {"workers_known", std::to_string(board.workers.size())}});
}

}  // namespace

void StandbyTick(PoolBoard& board, Micros now, PoolActions& actions) {
  Mesh& mesh = board.mesh;
  const bool alive = AnyControlAlive(mesh, now);
  if (alive) {
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
  const bool stands_in =
      now - board.probing_since > kProbeFor && HearsHalfOfWitnesses(mesh, now);
  if (stands_in && !board.standby) {
    LogStandby(board, "standby_began", actions);
    board.ownership_due = now;
  }
  board.standby = stands_in;
}

std::vector<std::string> WitnessesFor(const Mesh& mesh,
                                      const std::string& to,
                                      Micros now) {
  const auto receiver = mesh.members.find(to);
  if (receiver == mesh.members.end()) {
    return {};
  }
  const std::string& domain = receiver->second.presence.failure_domain();
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const auto& [address, member] : mesh.members) {
    if (address == to || member.presence.control() || member.incarnation == 0 ||
        !IsHeard(mesh, address, now)) {
      continue;
    }
    const bool is_near = member.presence.failure_domain() == domain;
    (is_near ? near : far).push_back(address);
  }
  std::vector<std::string> witnesses = LightestFor(to, near, kMaxWitnesses);
  const std::vector<std::string> others =
      LightestFor(to, far, kMaxWitnesses - witnesses.size());
  witnesses.insert(witnesses.end(), others.begin(), others.end());
  return witnesses;
}

bool HasReadyWorkers(const PoolBoard& board) {
  return std::any_of(board.ordered.begin(), board.ordered.end(),
                     [](const auto& entry) {
                       return entry.second->session == SessionState::kReady;
                     });
}

}  // namespace goldcrest
