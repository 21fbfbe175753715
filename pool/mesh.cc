#include "pool/mesh.h"

#include <algorithm>

#include "goldcrest/digest.h"
#include "pool/standby.h"

namespace goldcrest {
namespace {

constexpr size_t kSentRemembered = 100;
// Of all answers to entry daemons, one in so many names witnesses.
constexpr uint64_t kWitnessesEvery = 8;
// What a daemon said of its load is of use for this long.
constexpr Micros kFreshFor = 350 * kMillisecond;
// An entry daemon whose own domain's control daemons were not heard for this
// long changes to the full rate with all others.
constexpr Micros kNearInDoubt = 250 * kMillisecond;
// Presences stay at the full rate for this long after the last shared job.
constexpr Micros kCloseAfterJob = kSecond;

bool IsNear(const Mesh& mesh, const MeshMember& member) {
  return member.presence.failure_domain() == mesh.options.failure_domain;
}

bool WasHeardWithin(const MeshMember& member, Micros silence, Micros now) {
  return member.last_heard != 0 && now - member.last_heard < silence;
}

// Whether presences between this daemon and the member may go at the far rate.
bool IsFarPair(const Mesh& mesh, const MeshMember& member) {
  return mesh.options.control != member.presence.control() &&
         !IsNear(mesh, member) && mesh.far_period > mesh.options.rates.period;
}

// Returns the silence after which the member counts as lost. An entry daemon
// that has changed to the full rate gives it time to answer once.
Micros SilenceOf(const Mesh& mesh, const MeshMember& member, Micros now) {
  const PresenceRates& rates = mesh.options.rates;
  const bool close =
      member.close_since != 0 && now - member.close_since >= rates.silence;
  return close || !IsFarPair(mesh, member) ? rates.silence
                                           : FarSilence(rates, mesh.far_period);
}

// Whether an entry daemon hears a control daemon of its own domain.
bool HearsNear(const Mesh& mesh, Micros now) {
  return std::any_of(
      mesh.members.begin(), mesh.members.end(), [&](const auto& entry) {
        const MeshMember& member = entry.second;
        return member.presence.control() && IsNear(mesh, member) &&
               WasHeardWithin(member, kNearInDoubt, now);
      });
}

uint32_t CountEntryDaemons(const Mesh& mesh) {
  return static_cast<uint32_t>(std::count_if(
      mesh.members.begin(), mesh.members.end(),
      [](const auto& entry) { return !entry.second.presence.control(); }));
}

// Entry daemons go by what the control daemons that they hear have counted.
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

// Whether a presence to a control daemon is due in this round.
bool IsPresenceDue(Mesh& mesh,
                   MeshMember& member,
                   bool hears_near,
                   Micros now) {
  const bool close = mesh.options.control || member.last_heard == 0 ||
                     !IsFarPair(mesh, member) || !hears_near ||
                     now < member.close_until;
  if (close) {
    member.close_since = member.close_since == 0 ? now : member.close_since;
    return true;
  }
  member.close_since = 0;
  const bool asks =
      mesh.routing_ask_due && member.address == mesh.routing_source;
  if (now < member.far_due && !asks) {
    return false;
  }
  // Entry daemons that start together do not all send in the same round.
  const auto period = static_cast<uint64_t>(mesh.far_period);
  const auto offset = static_cast<Micros>(
      RendezvousWeight(mesh.options.self, member.address) % period);
  member.far_due = now + (member.far_due == 0 ? offset : mesh.far_period);
  return true;
}

wire::PoolMessage MakePresence(Mesh& mesh,
                               const std::string& to,
                               Micros now,
                               bool is_answer) {
  wire::PoolMessage message;
  wire::Presence& presence = *message.mutable_presence();
  presence.set_control(mesh.options.control);
  presence.set_failure_domain(mesh.options.failure_domain);
  presence.set_control_address(mesh.options.control_address);
  presence.set_sequence(mesh.sequence);
  presence.set_echoed_sequence(NewestSequence(mesh, to));
  presence.set_draining(mesh.draining);
  presence.set_is_answer(is_answer);
  presence.set_routing_version(mesh.routing_version);
  presence.set_store_id(mesh.store_id);
  presence.set_leads(mesh.leads);
  presence.set_wants_routing(mesh.routing_ask_due && !is_answer &&
                             to == mesh.routing_source);
  for (const auto& [address, member] : mesh.members) {
    if (!member.presence.control() || address == to) {
      continue;
    }
    // Others decide by it whether a daemon is lost: only what is certain.
    if (WasHeardWithin(member, mesh.options.rates.silence, now)) {
      presence.add_hears(address);
    } else {
      presence.add_knows(address);
    }
  }
  if (mesh.options.control) {
    *presence.mutable_load() = mesh.load;
    presence.set_entry_daemons(mesh.entry_daemons);
  }
  if (mesh.options.control && is_answer &&
      mesh.sequence % kWitnessesEvery == 0) {
    for (const std::string& address : WitnessesFor(mesh, to, now)) {
      presence.add_witnesses(address);
    }
  }
  return message;
}

// Picks whom to ask for a newer configuration: a daemon of the own failure
// domain if it has one, another one when that did not send it.
void ChooseRoutingSource(Mesh& mesh, Micros now) {
  mesh.routing_ask_due = false;
  const bool waits =
      !mesh.routing_source.empty() &&
      now - mesh.routing_asked_at < mesh.options.routing_patience;
  std::string best;
  bool best_near = false;
  for (const auto& [address, member] : mesh.members) {
    const wire::Presence& presence = member.presence;
    if (!presence.control() || !IsHeard(mesh, address, now) ||
        presence.routing_version() <= mesh.routing_version ||
        address == mesh.routing_source) {
      continue;
    }
    const bool near = presence.failure_domain() == mesh.options.failure_domain;
    if (best.empty() || (near && !best_near)) {
      best = address;
      best_near = near;
    }
  }
  if (best.empty() || waits) {
    if (best.empty() && !waits) {
      mesh.routing_source.clear();
    }
    return;
  }
  mesh.routing_source = best;
  mesh.routing_asked_at = now;
  mesh.routing_ask_due = true;
}

void CountPresence(Mesh& mesh, Micros now) {
  ++mesh.sequence;
  mesh.sent.emplace_back(mesh.sequence, now);
  if (mesh.sent.size() > kSentRemembered) {
    mesh.sent.pop_front();
  }
}

// Tells once when a control daemon falls silent and when it is back.
void LogLostAndBack(Mesh& mesh, Micros now, PoolActions& actions) {
  for (auto& [address, member] : mesh.members) {
    const bool lost = !IsHeard(mesh, address, now);
    if (!member.presence.control() || member.last_heard == 0 ||
        lost == member.counted_lost) {
      continue;
    }
    member.counted_lost = lost;
    LogPool(actions, lost ? LogLevel::kWarning : LogLevel::kInfo,
            lost ? "control_daemon_lost" : "control_daemon_back",
            {{"address", address},
             {"heard_ms_ago",
              std::to_string((now - member.last_heard) / kMillisecond)},
             {"others_hear_it", IsAlive(mesh, address, now) ? "1" : "0"}});
  }
}

// Takes in that another daemon knows a control daemon.
void AddKnown(Mesh& mesh, const std::string& address, Micros now) {
  if (address == mesh.options.self || mesh.members.contains(address)) {
    return;
  }
  MeshMember& known = mesh.members[address];
  known.address = address;
  known.presence.set_control(true);
  known.heard_by_others = now;
}

void ForgetSilent(Mesh& mesh, Micros now) {
  std::erase_if(mesh.members, [&](const auto& entry) {
    const MeshMember& member = entry.second;
    const Micros newest = std::max(member.last_heard, member.heard_by_others);
    return newest != 0 && now - newest > mesh.options.forget_after;
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
                        const wire::Presence& presence,
                        Micros now,
                        PoolActions& actions) {
  MeshMember& member = mesh.members[from];
  MemberChange change = MemberChange::kNone;
  if (member.incarnation != incarnation) {
    // A lower number is a message of an earlier life, unless that life has
    // been silent: then the VM's clock was set back between its two starts.
    if (member.incarnation > incarnation && IsHeard(mesh, from, now)) {
      return MemberChange::kNone;
    }
    change = member.incarnation == 0 ? MemberChange::kAppeared
                                     : MemberChange::kRestarted;
    member.incarnation = incarnation;
    member.presence.Clear();
  } else if (presence.sequence() < member.presence.sequence()) {
    return MemberChange::kNone;  // overtaken by a newer one
  }
  member.address = from;
  member.last_heard = now;
  member.presence_at = now;
  member.presence = presence;
  for (const std::string& address : presence.knows()) {
    AddKnown(mesh, address, now);
  }
  for (const std::string& address : presence.hears()) {
    AddKnown(mesh, address, now);
    const auto heard = mesh.members.find(address);
    if (heard != mesh.members.end()) {
      heard->second.heard_by_others = now;
    }
  }
  if (presence.witnesses_size() > 0) {
    mesh.witnesses.assign(presence.witnesses().begin(),
                          presence.witnesses().end());
  }
  if (!presence.control() && !presence.is_answer()) {
    SendTo(actions, from, MakePresence(mesh, from, now, true));
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
  member->second.close_until = now + kCloseAfterJob;
  if (member->second.close_since == 0) {
    member->second.close_since = now;
    SendTo(actions, address, MakePresence(mesh, address, now, false));
  }
}

void MeshTick(Mesh& mesh, Micros now, PoolActions& actions) {
  if (now < mesh.presence_due) {
    return;
  }
  mesh.presence_due = now + mesh.options.rates.period;
  CountPresence(mesh, now);
  UpdateFarPeriod(mesh, now);
  LogLostAndBack(mesh, now, actions);
  if (!mesh.options.control) {
    ChooseRoutingSource(mesh, now);
  }
  ForgetSilent(mesh, now);
  const bool hears_near = HearsNear(mesh, now);
  for (auto& [address, member] : mesh.members) {
    if (member.presence.control() &&
        IsPresenceDue(mesh, member, hears_near, now)) {
      SendTo(actions, address, MakePresence(mesh, address, now, false));
    }
  }
  if (!mesh.probing) {
    return;
  }
  for (const std::string& address : mesh.witnesses) {
    SendTo(actions, address, MakePresence(mesh, address, now, false));
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
                                     : SilenceOf(mesh, found->second, now);
}

bool IsHeard(const Mesh& mesh, const std::string& address, Micros now) {
  const auto found = mesh.members.find(address);
  return found != mesh.members.end() &&
         WasHeardWithin(found->second, SilenceOf(mesh, found->second, now),
                        now);
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
  return member.presence_at != 0 && now - member.presence_at < kFreshFor;
}

Micros SentAt(const Mesh& mesh, uint64_t sequence) {
  // The numbers follow each other.
  const uint64_t first = mesh.sent.empty() ? 0 : mesh.sent.front().first;
  const bool kept =
      !mesh.sent.empty() && sequence >= first && sequence <= mesh.sequence;
  return kept ? mesh.sent[sequence - first].second : 0;
}

uint64_t NewestSequence(const Mesh& mesh, const std::string& address) {
  const auto found = mesh.members.find(address);
  return found == mesh.members.end() ? 0 : found->second.presence.sequence();
}

}  // namespace goldcrest
