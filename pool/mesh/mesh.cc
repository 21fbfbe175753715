#include "pool/mesh/mesh.h"

#include <algorithm>

#include "goldcrest/digest.h"
#include "pool/mesh/heartbeat_message.h"
#include "pool/mesh/routing_source.h"

namespace goldcrest {
namespace {

// Number of heartbeat rounds whose send times are recorded for
// HeartbeatSentAt(): 10 s at the default period.
constexpr size_t kMaxRecordedHeartbeats = 100;
// A reported load is usable for this long.
constexpr Micros kMaxLoadAge = 350 * kMillisecond;
// An entry daemon that received nothing from its own domain's control daemons
// for this long switches to the full rate with all others.
constexpr Micros kOwnDomainTimeout = 250 * kMillisecond;
// Heartbeats stay at the full rate for this long after the entry daemon last
// had a pending job at the control daemon.
constexpr Micros kFullRateAfterJob = kSecond;
// Period of quick probes. Three of them fit into the time that a standby waits
// for answers, so that lost messages do not count as silence.
constexpr Micros kQuickProbePeriod = 40 * kMillisecond;
// With `standby_after`, probe peers get one in this many heartbeat rounds.
constexpr uint64_t kPeerHeartbeatInterval = 10;

bool IsInOwnDomain(const Mesh& mesh, const MeshMember& member) {
  return member.last_heartbeat.failure_domain() == mesh.options.failure_domain;
}

// Returns whether this entry daemon has recently sent a job to the member, an
// entry daemon that is a standby.
bool SharesJobWithEntry(const Mesh& mesh,
                        const MeshMember& member,
                        Micros now) {
  return !mesh.options.control && !member.last_heartbeat.control() &&
         now < member.full_rate_until;
}

// Returns whether probe peers get a heartbeat in this round.
bool AreProbePeersDue(const Mesh& mesh) {
  return mesh.probing || (mesh.options.standby_after != 0 &&
                          mesh.sequence % kPeerHeartbeatInterval == 0);
}

// Returns whether heartbeats between this daemon and the member may use the
// reduced rate.
bool UsesReducedRate(const Mesh& mesh, const MeshMember& member) {
  return mesh.options.control != member.last_heartbeat.control() &&
         !IsInOwnDomain(mesh, member) &&
         mesh.reduced_rate_period > mesh.options.rates.period;
}

// Returns the time without a message after which the member counts as
// unreachable. After an entry daemon has switched to the full rate, the member
// gets time to answer once before the shorter timeout applies.
Micros MemberTimeout(const Mesh& mesh, const MeshMember& member, Micros now) {
  const HeartbeatRates& rates = mesh.options.rates;
  const bool full_rate =
      member.full_rate_since != 0 &&
      now - member.full_rate_since >= rates.full_rate_timeout;
  return full_rate || !UsesReducedRate(mesh, member)
             ? rates.full_rate_timeout
             : ReducedRateTimeout(rates, mesh.reduced_rate_period);
}

// Returns whether this daemon reaches a control daemon of its own domain.
bool ReachesOwnDomain(const Mesh& mesh, Micros now) {
  return std::any_of(
      mesh.members.begin(), mesh.members.end(), [&](const auto& entry) {
        const MeshMember& member = entry.second;
        return member.last_heartbeat.control() && IsInOwnDomain(mesh, member) &&
               WasReceivedWithin(member, kOwnDomainTimeout, now);
      });
}

uint32_t CountEntryDaemons(const Mesh& mesh) {
  return static_cast<uint32_t>(std::count_if(
      mesh.members.begin(), mesh.members.end(), [](const auto& entry) {
        return !entry.second.last_heartbeat.control();
      }));
}

// Sets the period of the reduced rate from the number of entry daemons. Control
// daemons count them; entry daemons use the greatest count that a reachable
// control daemon reported.
void UpdateReducedRatePeriod(Mesh& mesh, Micros now) {
  uint32_t entries = mesh.options.control ? CountEntryDaemons(mesh) : 0;
  for (const auto& [address, member] : mesh.members) {
    if (!mesh.options.control && IsPeerReachable(mesh, address, now)) {
      entries = std::max(entries, member.last_heartbeat.entry_daemons());
    }
  }
  mesh.entry_daemons = entries;
  mesh.reduced_rate_period = ReducedRatePeriod(mesh.options.rates, entries);
}

// Updates the schedule of the heartbeats to a control daemon. Returns whether
// one is due in this round.
bool UpdateHeartbeatSchedule(Mesh& mesh,
                             MeshMember& member,
                             bool reaches_own_domain,
                             Micros now) {
  const bool full_rate = mesh.options.control || mesh.probes_quickly ||
                         member.last_received_at == 0 ||
                         !UsesReducedRate(mesh, member) ||
                         !reaches_own_domain || now < member.full_rate_until;
  if (full_rate) {
    member.full_rate_since =
        member.full_rate_since == 0 ? now : member.full_rate_since;
    return true;
  }
  member.full_rate_since = 0;
  const bool requests_configuration =
      mesh.routing_request_due && member.address == mesh.routing_source;
  if (now < member.reduced_rate_due && !requests_configuration) {
    return false;
  }
  // Spreads the first heartbeats, so that entry daemons that start together do
  // not all send in the same round.
  const auto period = static_cast<uint64_t>(mesh.reduced_rate_period);
  const auto offset = static_cast<Micros>(
      RendezvousWeight(mesh.options.self, member.address) % period);
  member.reduced_rate_due =
      now + (member.reduced_rate_due == 0 ? offset : mesh.reduced_rate_period);
  return true;
}

// Starts a heartbeat round: assigns its sequence number and records its time.
void StartHeartbeatRound(Mesh& mesh, Micros now) {
  ++mesh.sequence;
  mesh.sent_heartbeats.emplace_back(mesh.sequence, now);
  if (mesh.sent_heartbeats.size() > kMaxRecordedHeartbeats) {
    mesh.sent_heartbeats.pop_front();
  }
}

// Logs once when a control daemon becomes unreachable and when it is reachable
// again.
void LogReachabilityChanges(Mesh& mesh, Micros now, PoolActions& actions) {
  for (auto& [address, member] : mesh.members) {
    const bool unreachable = !IsPeerReachable(mesh, address, now);
    if (!member.last_heartbeat.control() || member.last_received_at == 0 ||
        unreachable == member.logged_unreachable) {
      continue;
    }
    member.logged_unreachable = unreachable;
    LogPoolEvent(
        actions, unreachable ? LogLevel::kWarning : LogLevel::kInfo,
        unreachable ? "control_daemon_lost" : "control_daemon_back",
        {{"address", address},
         {"heard_ms_ago",
          std::to_string((now - member.last_received_at) / kMillisecond)},
         {"others_hear_it", IsReachableByAny(mesh, address, now) ? "1" : "0"}});
  }
}

// Returns the member at `address`, a new one if it is not known. Its number of
// the contact is no lower than one that was used with an earlier member there.
MeshMember& FindOrAddMember(Mesh& mesh, const std::string& address) {
  const auto [position, is_new] = mesh.members.try_emplace(address);
  MeshMember& member = position->second;
  if (is_new) {
    member.address = address;
    member.contact = mesh.newest_contact;
  }
  return member;
}

// Adds a control daemon that another daemon reported. A new one counts as
// reachable by another daemon at first, even if the report only says that it is
// known.
void AddReportedControl(Mesh& mesh, const std::string& address, Micros now) {
  if (address == mesh.options.self || mesh.members.contains(address)) {
    return;
  }
  MeshMember& reported = FindOrAddMember(mesh, address);
  reported.last_heartbeat.set_control(true);
  reported.indirect_contact_at = now;
}

// Removes members that no daemon could reach for `remove_member_after`. Seeds
// that no daemon has ever reached are kept.
void RemoveUnreachable(Mesh& mesh, Micros now) {
  std::erase_if(mesh.members, [&](const auto& entry) {
    const MeshMember& member = entry.second;
    const Micros last_contact =
        std::max(member.last_received_at, member.indirect_contact_at);
    return last_contact != 0 &&
           now - last_contact > mesh.options.remove_member_after;
  });
}

}  // namespace

Mesh MakeMesh(const MeshOptions& options) {
  Mesh mesh;
  mesh.options = options;
  AddSeeds(mesh, options.seeds);
  return mesh;
}

void AddSeeds(Mesh& mesh, const std::vector<std::string>& seeds) {
  for (const std::string& seed : seeds) {
    if (seed != mesh.options.self && !mesh.members.contains(seed)) {
      FindOrAddMember(mesh, seed).last_heartbeat.set_control(true);
    }
  }
}

MemberChange OnMeshHeartbeat(Mesh& mesh,
                             const std::string& from,
                             uint64_t incarnation,
                             const wire::Presence& heartbeat,
                             Micros now,
                             PoolActions& actions) {
  MeshMember& member = FindOrAddMember(mesh, from);
  MemberChange change = MemberChange::kNone;
  if (member.incarnation != incarnation) {
    // Incarnation numbers are start times on the VM's clock. A lower one means
    // a message of an earlier incarnation, unless the known incarnation is
    // unreachable: then the VM's clock was set back between its two starts.
    if (member.incarnation > incarnation && IsPeerReachable(mesh, from, now)) {
      return MemberChange::kNone;
    }
    change = member.incarnation == 0 ? MemberChange::kAppeared
                                     : MemberChange::kRestarted;
    member.incarnation = incarnation;
    member.last_heartbeat.Clear();
    EndContact(mesh, from);
  } else if (heartbeat.sequence() < member.last_heartbeat.sequence()) {
    return MemberChange::kNone;  // a newer heartbeat was received before it
  }
  member.last_received_at = now;
  member.last_heartbeat_at = now;
  member.last_heartbeat = heartbeat;
  for (const std::string& address : heartbeat.knows()) {
    AddReportedControl(mesh, address, now);
  }
  for (const std::string& address : heartbeat.hears()) {
    AddReportedControl(mesh, address, now);
    const auto reached = mesh.members.find(address);
    if (reached != mesh.members.end()) {
      reached->second.indirect_contact_at = now;
    }
  }
  if (heartbeat.witnesses_size() > 0) {
    mesh.probe_peers.assign(heartbeat.witnesses().begin(),
                            heartbeat.witnesses().end());
  }
  // Entry daemons also send heartbeats to each other as probes (standby.h), so
  // daemons of both kinds answer.
  if (!heartbeat.control() && !heartbeat.is_answer()) {
    SendTo(actions, from, MakeHeartbeat(mesh, from, now, true));
  }
  return change;
}

void RecordContact(Mesh& mesh,
                   const std::string& from,
                   uint64_t incarnation,
                   Micros now) {
  const auto member = mesh.members.find(from);
  if (member != mesh.members.end() && member->second.last_received_at != 0 &&
      member->second.incarnation == incarnation) {
    member->second.last_received_at = now;
  }
}

void EndContact(Mesh& mesh, const std::string& address) {
  const auto member = mesh.members.find(address);
  if (member != mesh.members.end()) {
    member->second.contact = ++mesh.newest_contact;
  }
}

uint64_t ContactNumber(const Mesh& mesh, const std::string& address) {
  const auto member = mesh.members.find(address);
  return member == mesh.members.end() ? 0 : member->second.contact;
}

void SwitchToFullRate(Mesh& mesh,
                      const std::string& address,
                      Micros now,
                      PoolActions& actions) {
  const auto member = mesh.members.find(address);
  if (member == mesh.members.end() || mesh.options.control) {
    return;
  }
  member->second.full_rate_until = now + kFullRateAfterJob;
  if (member->second.full_rate_since == 0) {
    member->second.full_rate_since = now;
    SendTo(actions, address, MakeHeartbeat(mesh, address, now, false));
  }
}

void AnnounceDrain(Mesh& mesh, Micros now, PoolActions& actions) {
  mesh.draining = true;
  StartHeartbeatRound(mesh, now);
  for (const auto& [address, member] : mesh.members) {
    if (member.incarnation != 0) {
      const bool is_answer = !member.last_heartbeat.control();
      SendTo(actions, address, MakeHeartbeat(mesh, address, now, is_answer));
    }
  }
}

void MeshTick(Mesh& mesh, Micros now, PoolActions& actions) {
  if (now < mesh.next_heartbeat_at) {
    return;
  }
  mesh.next_heartbeat_at =
      now +
      (mesh.probes_quickly ? kQuickProbePeriod : mesh.options.rates.period);
  StartHeartbeatRound(mesh, now);
  UpdateReducedRatePeriod(mesh, now);
  LogReachabilityChanges(mesh, now, actions);
  if (!mesh.options.control) {
    ChooseRoutingSource(mesh, now);
  }
  RemoveUnreachable(mesh, now);
  const bool reaches_own_domain = ReachesOwnDomain(mesh, now);
  for (auto& [address, member] : mesh.members) {
    const bool due =
        member.last_heartbeat.control()
            ? UpdateHeartbeatSchedule(mesh, member, reaches_own_domain, now)
            : SharesJobWithEntry(mesh, member, now);
    if (due) {
      SendTo(actions, address, MakeHeartbeat(mesh, address, now, false));
    }
  }
  if (!AreProbePeersDue(mesh)) {
    return;
  }
  for (const std::string& address : mesh.probe_peers) {
    const auto member = mesh.members.find(address);
    if (member == mesh.members.end() ||
        !SharesJobWithEntry(mesh, member->second, now)) {
      SendTo(actions, address, MakeHeartbeat(mesh, address, now, false));
    }
  }
}

void ExcludePauseFromTimeouts(Mesh& mesh, Micros pause) {
  for (auto& [address, member] : mesh.members) {
    member.last_received_at += member.last_received_at != 0 ? pause : 0;
    member.indirect_contact_at += member.indirect_contact_at != 0 ? pause : 0;
  }
}

Micros ContactTimeout(const Mesh& mesh,
                      const std::string& address,
                      Micros now) {
  const auto found = mesh.members.find(address);
  return found == mesh.members.end() ? mesh.options.rates.full_rate_timeout
                                     : MemberTimeout(mesh, found->second, now);
}

bool WasReceivedWithin(const MeshMember& member, Micros timeout, Micros now) {
  return member.last_received_at != 0 &&
         now - member.last_received_at < timeout;
}

bool IsPeerReachable(const Mesh& mesh, const std::string& address, Micros now) {
  const auto found = mesh.members.find(address);
  return found != mesh.members.end() &&
         WasReceivedWithin(found->second,
                           MemberTimeout(mesh, found->second, now), now);
}

bool IsReachableByAny(const Mesh& mesh,
                      const std::string& address,
                      Micros now) {
  if (address == mesh.options.self || IsPeerReachable(mesh, address, now)) {
    return true;
  }
  const auto found = mesh.members.find(address);
  return found != mesh.members.end() &&
         found->second.indirect_contact_at != 0 &&
         now - found->second.indirect_contact_at <
             mesh.options.indirect_contact_timeout;
}

bool IsLoadFresh(const MeshMember& member, Micros now) {
  return member.last_heartbeat_at != 0 &&
         now - member.last_heartbeat_at < kMaxLoadAge;
}

Micros HeartbeatSentAt(const Mesh& mesh, uint64_t sequence) {
  // The recorded sequence numbers are consecutive.
  const uint64_t first =
      mesh.sent_heartbeats.empty() ? 0 : mesh.sent_heartbeats.front().first;
  const bool is_recorded = !mesh.sent_heartbeats.empty() && sequence >= first &&
                           sequence <= mesh.sequence;
  return is_recorded ? mesh.sent_heartbeats[sequence - first].second : 0;
}

std::optional<Micros> EchoAge(const Mesh& mesh,
                              const MeshMember& member,
                              Micros now) {
  const Micros sent_at =
      HeartbeatSentAt(mesh, member.last_heartbeat.echoed_sequence());
  return sent_at == 0 ? std::nullopt : std::optional(now - sent_at);
}

uint64_t NewestHeartbeatSequence(const Mesh& mesh, const std::string& address) {
  const auto found = mesh.members.find(address);
  return found == mesh.members.end() ? 0
                                     : found->second.last_heartbeat.sequence();
}

}  // namespace goldcrest
