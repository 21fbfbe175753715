#include "pool/mesh.h"

#include <algorithm>

#include "goldcrest/digest.h"
#include "pool/standby.h"

namespace goldcrest {
namespace {

// Number of heartbeat rounds whose send times are recorded for
// HeartbeatSentAt().
constexpr size_t kMaxRecordedHeartbeats = 100;
// One in this many answers to entry daemons lists probe peers.
constexpr uint64_t kProbePeersInterval = 8;
// A reported load is usable for this long.
constexpr Micros kMaxLoadAge = 350 * kMillisecond;
// An entry daemon that received nothing from its own domain's control daemons
// for this long switches to the full rate with all others.
constexpr Micros kOwnDomainTimeout = 250 * kMillisecond;
// Heartbeats stay at the full rate for this long after the last shared job.
constexpr Micros kFullRateAfterJob = kSecond;

bool IsInOwnDomain(const Mesh& mesh, const MeshMember& member) {
  return member.presence.failure_domain() == mesh.options.failure_domain;
}

bool WasReceivedWithin(const MeshMember& member, Micros timeout, Micros now) {
  return member.last_heard != 0 && now - member.last_heard < timeout;
}

// Returns whether heartbeats between this daemon and the member may use the
// reduced rate.
bool UsesReducedRate(const Mesh& mesh, const MeshMember& member) {
  return mesh.options.control != member.presence.control() &&
         !IsInOwnDomain(mesh, member) &&
         mesh.far_period > mesh.options.rates.period;
}

// Returns the time without a message after which the member counts as
// unreachable. After an entry daemon has switched to the full rate, the member
// gets time to answer once before the shorter timeout applies.
Micros MemberTimeout(const Mesh& mesh, const MeshMember& member, Micros now) {
  const PresenceRates& rates = mesh.options.rates;
  const bool full_rate =
      member.close_since != 0 && now - member.close_since >= rates.silence;
  return full_rate || !UsesReducedRate(mesh, member)
             ? rates.silence
             : FarSilence(rates, mesh.far_period);
}

// Returns whether this daemon reaches a control daemon of its own domain.
bool ReachesOwnDomain(const Mesh& mesh, Micros now) {
  return std::any_of(
      mesh.members.begin(), mesh.members.end(), [&](const auto& entry) {
        const MeshMember& member = entry.second;
        return member.presence.control() && IsInOwnDomain(mesh, member) &&
               WasReceivedWithin(member, kOwnDomainTimeout, now);
      });
}

uint32_t CountEntryDaemons(const Mesh& mesh) {
  return static_cast<uint32_t>(std::count_if(
      mesh.members.begin(), mesh.members.end(),
      [](const auto& entry) { return !entry.second.presence.control(); }));
}

// Control daemons count the entry daemons; entry daemons use the greatest count
// that a reachable control daemon reported.
void UpdateFarPeriod(Mesh& mesh, Micros now) {
  uint32_t entries = mesh.options.control ? CountEntryDaemons(mesh) : 0;
  for (const auto& [address, member] : mesh.members) {
    if (!mesh.options.control && IsHeard(mesh, address, now)) {
      entries = std::max(entries, member.presence.entry_daemons());
    }
  }
  mesh.entry_daemons = entries;
  mesh.far_period = FarPeriod(mesh.options.rates, entries);
}

// Returns whether a heartbeat to a control daemon is due in this round.
bool IsHeartbeatDue(Mesh& mesh,
                    MeshMember& member,
                    bool reaches_own_domain,
                    Micros now) {
  const bool full_rate = mesh.options.control || member.last_heard == 0 ||
                         !UsesReducedRate(mesh, member) ||
                         !reaches_own_domain || now < member.close_until;
  if (full_rate) {
    member.close_since = member.close_since == 0 ? now : member.close_since;
    return true;
  }
  member.close_since = 0;
  const bool requests_configuration =
      mesh.routing_ask_due && member.address == mesh.routing_source;
  if (now < member.far_due && !requests_configuration) {
    return false;
  }
  // Spreads the first heartbeats, so that entry daemons that start together do
  // not all send in the same round.
  const auto period = static_cast<uint64_t>(mesh.far_period);
  const auto offset = static_cast<Micros>(
      RendezvousWeight(mesh.options.self, member.address) % period);
  member.far_due = now + (member.far_due == 0 ? offset : mesh.far_period);
  return true;
}

wire::PoolMessage MakeHeartbeat(Mesh& mesh,
                                const std::string& to,
                                Micros now,
                                bool is_answer) {
  wire::PoolMessage message;
  wire::Presence& heartbeat = *message.mutable_presence();
  heartbeat.set_control(mesh.options.control);
  heartbeat.set_failure_domain(mesh.options.failure_domain);
  heartbeat.set_control_address(mesh.options.control_address);
  heartbeat.set_sequence(mesh.sequence);
  heartbeat.set_echoed_sequence(NewestSequence(mesh, to));
  heartbeat.set_draining(mesh.draining);
  heartbeat.set_is_answer(is_answer);
  heartbeat.set_routing_version(mesh.routing_version);
  heartbeat.set_store_id(mesh.store_id);
  heartbeat.set_leads(mesh.leads);
  heartbeat.set_wants_routing(mesh.routing_ask_due && !is_answer &&
                              to == mesh.routing_source);
  for (const auto& [address, member] : mesh.members) {
    if (!member.presence.control() || address == to) {
      continue;
    }
    // Other daemons use this to decide whether a daemon has failed, so `hears`
    // lists only daemons that were reachable within the full-rate timeout.
    if (WasReceivedWithin(member, mesh.options.rates.silence, now)) {
      heartbeat.add_hears(address);
    } else {
      heartbeat.add_knows(address);
    }
  }
  if (mesh.options.control) {
    *heartbeat.mutable_load() = mesh.load;
    heartbeat.set_entry_daemons(mesh.entry_daemons);
  }
  if (mesh.options.control && is_answer &&
      mesh.sequence % kProbePeersInterval == 0) {
    for (const std::string& address : WitnessesFor(mesh, to, now)) {
      heartbeat.add_witnesses(address);
    }
  }
  return message;
}

// Chooses the daemon to request a newer configuration from: preferably one of
// the own failure domain, and another one if the last choice did not send it.
void ChooseRoutingSource(Mesh& mesh, Micros now) {
  mesh.routing_ask_due = false;
  const bool request_pending =
      !mesh.routing_source.empty() &&
      now - mesh.routing_asked_at < mesh.options.routing_patience;
  std::string best;
  bool best_in_own_domain = false;
  for (const auto& [address, member] : mesh.members) {
    const wire::Presence& heartbeat = member.presence;
    if (!heartbeat.control() || !IsHeard(mesh, address, now) ||
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
      mesh.routing_source.clear();
    }
    return;
  }
  mesh.routing_source = best;
  mesh.routing_asked_at = now;
  mesh.routing_ask_due = true;
}

// Starts a heartbeat round: assigns its sequence number and records its time.
void RecordHeartbeat(Mesh& mesh, Micros now) {
  ++mesh.sequence;
  mesh.sent.emplace_back(mesh.sequence, now);
  if (mesh.sent.size() > kMaxRecordedHeartbeats) {
    mesh.sent.pop_front();
  }
}

// Logs once when a control daemon becomes unreachable and when it is reachable
// again.
void LogReachabilityChanges(Mesh& mesh, Micros now, PoolActions& actions) {
  for (auto& [address, member] : mesh.members) {
    const bool unreachable = !IsHeard(mesh, address, now);
    if (!member.presence.control() || member.last_heard == 0 ||
        unreachable == member.counted_lost) {
      continue;
    }
    member.counted_lost = unreachable;
    LogPool(actions, unreachable ? LogLevel::kWarning : LogLevel::kInfo,
            unreachable ? "control_daemon_lost" : "control_daemon_back",
            {{"address", address},
             {"heard_ms_ago",
              std::to_string((now - member.last_heard) / kMillisecond)},
             {"others_hear_it", IsAlive(mesh, address, now) ? "1" : "0"}});
  }
}

// Adds a control daemon that another daemon reported.
void AddReportedControl(Mesh& mesh, const std::string& address, Micros now) {
  if (address == mesh.options.self || mesh.members.contains(address)) {
    return;
  }
  MeshMember& reported = mesh.members[address];
  reported.address = address;
  reported.presence.set_control(true);
  reported.heard_by_others = now;
}

// Removes members that no daemon could reach for `remove_member_after`.
void RemoveUnreachable(Mesh& mesh, Micros now) {
  std::erase_if(mesh.members, [&](const auto& entry) {
    const MeshMember& member = entry.second;
    const Micros last_contact =
        std::max(member.last_heard, member.heard_by_others);
    return last_contact != 0 && now - last_contact > mesh.options.forget_after;
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
      mesh.members[seed].address = seed;
      mesh.members[seed].presence.set_control(true);
    }
  }
}

MemberChange OnPresence(Mesh& mesh,
                        const std::string& from,
                        uint64_t incarnation,
                        const wire::Presence& heartbeat,
                        Micros now,
                        PoolActions& actions) {
  MeshMember& member = mesh.members[from];
  MemberChange change = MemberChange::kNone;
  if (member.incarnation != incarnation) {
    // A lower incarnation number means a message of an earlier incarnation,
    // unless the reported one is unreachable: then the VM's clock was set back
    // between its two starts.
    if (member.incarnation > incarnation && IsHeard(mesh, from, now)) {
      return MemberChange::kNone;
    }
    change = member.incarnation == 0 ? MemberChange::kAppeared
                                     : MemberChange::kRestarted;
    member.incarnation = incarnation;
    member.presence.Clear();
  } else if (heartbeat.sequence() < member.presence.sequence()) {
    return MemberChange::kNone;  // a newer heartbeat was received before it
  }
  member.address = from;
  member.last_heard = now;
  member.presence_at = now;
  member.presence = heartbeat;
  for (const std::string& address : heartbeat.knows()) {
    AddReportedControl(mesh, address, now);
  }
  for (const std::string& address : heartbeat.hears()) {
    AddReportedControl(mesh, address, now);
    const auto reached = mesh.members.find(address);
    if (reached != mesh.members.end()) {
      reached->second.heard_by_others = now;
    }
  }
  if (heartbeat.witnesses_size() > 0) {
    mesh.witnesses.assign(heartbeat.witnesses().begin(),
                          heartbeat.witnesses().end());
  }
  if (!heartbeat.control() && !heartbeat.is_answer()) {
    SendTo(actions, from, MakeHeartbeat(mesh, from, now, true));
  }
  return change;
}

void NoteHeard(Mesh& mesh,
               const std::string& from,
               uint64_t incarnation,
               Micros now) {
  const auto member = mesh.members.find(from);
  if (member != mesh.members.end() && member->second.last_heard != 0 &&
      member->second.incarnation == incarnation) {
    member->second.last_heard = now;
  }
}

void StayClose(Mesh& mesh,
               const std::string& address,
               Micros now,
               PoolActions& actions) {
  const auto member = mesh.members.find(address);
  if (member == mesh.members.end() || mesh.options.control) {
    return;
  }
  member->second.close_until = now + kFullRateAfterJob;
  if (member->second.close_since == 0) {
    member->second.close_since = now;
    SendTo(actions, address, MakeHeartbeat(mesh, address, now, false));
  }
}

void MeshTick(Mesh& mesh, Micros now, PoolActions& actions) {
  if (now < mesh.presence_due) {
    return;
  }
  mesh.presence_due = now + mesh.options.rates.period;
  RecordHeartbeat(mesh, now);
  UpdateFarPeriod(mesh, now);
  LogReachabilityChanges(mesh, now, actions);
  if (!mesh.options.control) {
    ChooseRoutingSource(mesh, now);
  }
  RemoveUnreachable(mesh, now);
  const bool reaches_own_domain = ReachesOwnDomain(mesh, now);
  for (auto& [address, member] : mesh.members) {
    if (member.presence.control() &&
        IsHeartbeatDue(mesh, member, reaches_own_domain, now)) {
      SendTo(actions, address, MakeHeartbeat(mesh, address, now, false));
    }
  }
  if (!mesh.probing) {
    return;
  }
  for (const std::string& address : mesh.witnesses) {
    SendTo(actions, address, MakeHeartbeat(mesh, address, now, false));
  }
}

void ForgivePause(Mesh& mesh, Micros pause) {
  for (auto& [address, member] : mesh.members) {
    member.last_heard += member.last_heard != 0 ? pause : 0;
    member.heard_by_others += member.heard_by_others != 0 ? pause : 0;
  }
}

Micros SilenceOf(const Mesh& mesh, const std::string& address, Micros now) {
  const auto found = mesh.members.find(address);
  return found == mesh.members.end() ? mesh.options.rates.silence
                                     : MemberTimeout(mesh, found->second, now);
}

bool IsHeard(const Mesh& mesh, const std::string& address, Micros now) {
  const auto found = mesh.members.find(address);
  return found != mesh.members.end() &&
         WasReceivedWithin(found->second,
                           MemberTimeout(mesh, found->second, now), now);
}

bool IsAlive(const Mesh& mesh, const std::string& address, Micros now) {
  if (address == mesh.options.self || IsHeard(mesh, address, now)) {
    return true;
  }
  const auto found = mesh.members.find(address);
  return found != mesh.members.end() && found->second.heard_by_others != 0 &&
         now - found->second.heard_by_others < mesh.options.hearsay;
}

bool IsFresh(const MeshMember& member, Micros now) {
  return member.presence_at != 0 && now - member.presence_at < kMaxLoadAge;
}

Micros SentAt(const Mesh& mesh, uint64_t sequence) {
  // The recorded sequence numbers are consecutive.
  const uint64_t first = mesh.sent.empty() ? 0 : mesh.sent.front().first;
  const bool is_recorded =
      !mesh.sent.empty() && sequence >= first && sequence <= mesh.sequence;
  return is_recorded ? mesh.sent[sequence - first].second : 0;
}

uint64_t NewestSequence(const Mesh& mesh, const std::string& address) {
  const auto found = mesh.members.find(address);
  return found == mesh.members.end() ? 0 : found->second.presence.sequence();
}

}  // namespace goldcrest
