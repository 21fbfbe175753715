#include "pool/standby.h"

#include <algorithm>
#include <string>
#include <tuple>
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
  // Near ones first, then by weight, so that each daemon keeps its witnesses.
  std::vector<std::tuple<bool, uint64_t, std::string>> ranked;
  for (const auto& [address, member] : mesh.members) {
    if (address == to || member.presence.control() || member.incarnation == 0 ||
        !IsHeard(mesh, address, now)) {
      continue;
    }
    ranked.emplace_back(member.presence.failure_domain() != domain,
                        RendezvousWeight(to, address), address);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> witnesses;
  for (const auto& [far, weight, address] : ranked) {
    if (witnesses.size() < kMaxWitnesses) {
      witnesses.push_back(address);
    }
  }
  return witnesses;
}

bool HasReadyWorkers(const PoolBoard& board) {
  return std::any_of(board.workers.begin(), board.workers.end(),
                     [](const auto& entry) {
                       return entry.second.session == SessionState::kReady;
                     });
}

}  // namespace goldcrest
