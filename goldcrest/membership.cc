#include "goldcrest/membership.h"

#include <algorithm>
#include <utility>

namespace goldcrest {
namespace {

constexpr size_t kMaxSent = 64;
constexpr size_t kMaxGrants = 4;

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool SharesGroup(const Deployment& deployment, const std::string& vm) {
  return std::any_of(
      deployment.claim_groups.begin(), deployment.claim_groups.end(),
      [&](const ClaimGroup& group) {
        const bool vm_in =
            group.failure_domain == deployment.Find(vm)->failure_domain ||
            Contains(group.voters, vm);
        const bool self_in =
            group.failure_domain == deployment.failure_domain ||
            Contains(group.voters, deployment.self);
        return vm_in && self_in;
      });
}

Micros RetentionOf(const Blackboard& bb) {
  return bb.configuration.active.limits.retention_s * kSecond;
}

Micros PeriodOf(const Blackboard& bb, bool near) {
  if (near) {
    return bb.tuning.near_heartbeat;
  }
  const auto peers = static_cast<Micros>(bb.membership.peers.size());
  return std::max(bb.tuning.far_heartbeat,
                  bb.tuning.far_heartbeat_spacing * peers);
}

uint64_t EarlierIncarnationOf(const Blackboard& bb, const Peer& peer, Now now) {
  if (peer.earlier_incarnation == 0 ||
      now.mono - peer.earlier_heard_at > RetentionOf(bb)) {
    return 0;
  }
  return peer.earlier_incarnation;
}

void FillLoad(const Blackboard& bb, wire::Heartbeat& heartbeat) {
  int64_t max_memory = 0;
  int64_t max_accelerators = 0;
  for (const auto& [name, worker] : bb.workers.workers) {
    if (!worker->borrowed()) {
      max_memory = std::max(max_memory, worker->memory_mb);
      max_accelerators = std::max(max_accelerators, worker->accelerators);
    }
  }
  heartbeat.set_free_slots(bb.workers.free_slots);
  heartbeat.set_slots(static_cast<uint32_t>(bb.workers.leased_slots));
  heartbeat.set_queued_tasks(static_cast<uint32_t>(bb.queue.queued_tasks));
  heartbeat.set_max_memory_mb(static_cast<uint32_t>(max_memory));
  heartbeat.set_max_accelerators(static_cast<uint32_t>(max_accelerators));
  heartbeat.set_max_lease_epoch(bb.workers.max_lease_epoch);
}

// The parts of a heartbeat that are the same for every receiver.
wire::Heartbeat MakeHeartbeat(const Blackboard& bb) {
  wire::Heartbeat heartbeat;
  heartbeat.set_amnesiac(bb.membership.memory == MemoryState::kAmnesiac &&
                         !RemembersAll(bb));
  heartbeat.set_draining(bb.draining);
  const wire::ConfigurationState& state = bb.configuration.in_force;
  heartbeat.set_configuration_version(state.version());
  heartbeat.set_configuration_digest(state.digest().substr(0, 16));
  heartbeat.set_http_address(bb.deployment.http_address);
  FillLoad(bb, heartbeat);
  return heartbeat;
}

Micros SilenceLimit(const Blackboard& bb, const Peer& peer) {
  return PeriodOf(bb, peer.near) * bb.tuning.missed_heartbeats;
}

// A peer that does not hear this VM must not count on its grants, and this VM
// must be able to wait out the grants that it made: so only a peer that echoed
// a recent heartbeat is granted the lease.
void Grant(const Blackboard& bb, Peer& peer, uint64_t sequence, Now now) {
  if (peer.echoed_from + SilenceLimit(bb, peer) < now.mono ||
      peer.echoed_from == 0) {
    return;
  }
  peer.granted_sequence = sequence;
  const Micros until = now.mono + bb.tuning.serving_lease;
  for (LeaseGrant& grant : peer.grants) {
    if (grant.incarnation == peer.incarnation) {
      grant.granted_until = std::max(grant.granted_until, until);
      return;
    }
  }
  peer.grants.push_back({peer.incarnation, until});
  if (peer.grants.size() > kMaxGrants) {
    peer.grants.erase(peer.grants.begin());
  }
}

void SendHeartbeat(Blackboard& bb,
                   const std::string& vm,
                   wire::Heartbeat heartbeat,
                   bool prompt,
                   Now now,
                   Actions& actions) {
  Peer& peer = bb.membership.peers[vm];
  heartbeat.set_sequence(bb.membership.next_sequence++);
  heartbeat.set_prompt(prompt);
  heartbeat.set_echo_incarnation(peer.incarnation);
  heartbeat.set_echo_sequence(peer.last_sequence);
  heartbeat.set_granted_sequence(peer.granted_sequence);
  heartbeat.set_earlier_incarnation(EarlierIncarnationOf(bb, peer, now));
  peer.sent.emplace_back(heartbeat.sequence(), now.mono);
  if (peer.sent.size() > kMaxSent) {
    peer.sent.pop_front();
  }
  wire::PeerMessage message;
  *message.mutable_heartbeat() = std::move(heartbeat);
  Send(bb, vm, std::move(message), actions);
}

void BecomeWhole(Blackboard& bb, std::string_view why, Actions& actions) {
  bb.membership.memory = MemoryState::kWhole;
  Log(actions, LogLevel::kInfo, "voter_memory_whole",
      {{"reason", std::string(why)}});
}

void BecomeAmnesiac(Blackboard& bb, Actions& actions) {
  if (bb.membership.memory == MemoryState::kAmnesiac) {
    return;
  }
  bb.membership.memory = MemoryState::kAmnesiac;
  bb.membership.ever_amnesiac = true;
  Log(actions, LogLevel::kWarning, "voter_restarted_without_memory", {});
  bb.timers.Set(0, TimerKind::kClaimSync);
}

// A VM that no peer has met before has nothing to forget.
void DecideMemory(Blackboard& bb, Actions& actions) {
  if (bb.membership.memory != MemoryState::kUndetermined) {
    return;
  }
  const bool any_near =
      std::any_of(bb.membership.peers.begin(), bb.membership.peers.end(),
                  [](const auto& entry) { return entry.second.near; });
  // Near VMs know best; a VM without any asks all the others.
  const bool all_vouched =
      std::all_of(bb.membership.peers.begin(), bb.membership.peers.end(),
                  [&](const auto& entry) {
                    const bool asked = entry.second.near || !any_near;
                    return !asked || entry.second.vouched;
                  });
  if (all_vouched) {
    BecomeWhole(bb, "first_start", actions);
  }
}

void ReadEcho(Blackboard& bb,
              Peer& peer,
              const wire::Heartbeat& heartbeat,
              Actions& actions) {
  if (heartbeat.earlier_incarnation() != 0 &&
      heartbeat.earlier_incarnation() < bb.deployment.incarnation &&
      bb.membership.memory == MemoryState::kUndetermined) {
    BecomeAmnesiac(bb, actions);
  }
  if (heartbeat.echo_incarnation() != bb.deployment.incarnation) {
    return;
  }
  peer.vouched = heartbeat.earlier_incarnation() == 0 && !heartbeat.amnesiac();
  for (const auto& [sequence, sent_at] : peer.sent) {
    if (sequence <= heartbeat.echo_sequence()) {
      peer.echoed_from = std::max(peer.echoed_from, sent_at);
    }
    if (sequence <= heartbeat.granted_sequence()) {
      peer.lease_from = std::max(peer.lease_from, sent_at);
    }
  }
  DecideMemory(bb, actions);
}

// Returns until when a majority of this domain's voters granted the lease.
Micros LeaseFromVoters(const Blackboard& bb, Now now) {
  const ClaimGroup* group = bb.deployment.GroupOf(bb.deployment.failure_domain);
  std::vector<Micros> from;
  for (const std::string& voter : group->voters) {
    if (voter == bb.deployment.self) {
      from.push_back(now.mono);
      continue;
    }
    const auto found = bb.membership.peers.find(voter);
    const Micros start =
        found == bb.membership.peers.end() ? 0 : found->second.lease_from;
    from.push_back(start == 0 ? INT64_MIN / 2 : start);
  }
  std::sort(from.rbegin(), from.rend());
  return from[MajorityOf(from.size()) - 1] + bb.tuning.serving_lease -
         bb.tuning.lease_margin;
}

// Returns when `count` of `vms` were last heard of, all of them. What was never
// heard of counts as heard when this VM started.
Micros HeardAt(const Blackboard& bb,
               const std::vector<std::string>& vms,
               size_t count,
               Now now) {
  std::vector<Micros> heard;
  for (const std::string& vm : vms) {
    const auto found = bb.membership.peers.find(vm);
    const Micros last =
        found == bb.membership.peers.end() ? 0 : found->second.last_heard;
    heard.push_back(vm == bb.deployment.self
                        ? now.mono
                        : std::max(last, bb.membership.started_at));
  }
  std::sort(heard.rbegin(), heard.rend());
  return count <= heard.size() ? heard[count - 1] : bb.membership.started_at;
}

void RefreshLease(Blackboard& bb, Now now, Actions& actions) {
  Membership& membership = bb.membership;
  membership.lease_until = LeaseFromVoters(bb, now);
  const bool valid = membership.lease_until > now.mono;
  if (valid == membership.lease_valid) {
    return;
  }
  membership.lease_valid = valid;
  if (!valid) {
    ++membership.lease_generation;
    ++bb.counters.lease_lapses;
    Log(actions, LogLevel::kWarning, "serving_lease_lapsed", {});
    return;
  }
  // The first lease of a VM that never lived before reaches back to its start.
  const bool first =
      !membership.lease_ever && membership.memory != MemoryState::kAmnesiac;
  membership.lease_ever = true;
  membership.lease_since = first ? membership.started_at : now.mono;
  membership.lease_since_wall_ms =
      first ? membership.started_wall_ms : now.wall_ms;
  bb.placement_due = true;
  Log(actions, LogLevel::kInfo, "serving_lease_granted",
      {{"generation", std::to_string(membership.lease_generation)}});
}

// A peer is reachable while both directions work.
void NoteReachable(Blackboard& bb,
                   const std::string& vm,
                   Peer& peer,
                   Now now,
                   Actions& actions) {
  const bool hears_us = peer.echoed_from != 0 &&
                        peer.echoed_from + SilenceLimit(bb, peer) >= now.mono;
  if (peer.reachable || !hears_us) {
    return;
  }
  peer.reachable = true;
  bb.placement_due = true;
  Log(actions, LogLevel::kInfo, "peer_reachable", {{"vm", vm}});
}

// Says whether grants that this voter made in an earlier life may still run.
bool ForgottenGrantsMayRun(const Blackboard& bb, Now now) {
  const Membership& membership = bb.membership;
  const bool lived_before = membership.ever_amnesiac ||
                            membership.memory == MemoryState::kUndetermined;
  return lived_before &&
         now.mono < membership.started_at + bb.tuning.serving_lease;
}

// Says whether a submission made at `submitted_wall_ms` is certainly newer
// than the given moment.
bool SubmittedAfter(const Blackboard& bb,
                    int64_t submitted_wall_ms,
                    int64_t moment_wall_ms) {
  const int64_t bound = bb.configuration.active.limits.clock_bound_ms;
  return submitted_wall_ms != 0 && submitted_wall_ms > moment_wall_ms + bound;
}

}  // namespace

void StartMembership(Blackboard& bb,
                     Now now,
                     bool lived_before,
                     bool memory_kept) {
  Membership& membership = bb.membership;
  membership.started_at = now.mono;
  membership.started_wall_ms = now.wall_ms;
  membership.amnesiac_since = now.mono;
  membership.amnesiac_since_wall_ms = now.wall_ms;
  for (const EntryVm& vm : bb.deployment.vms) {
    if (vm.name == bb.deployment.self) {
      continue;
    }
    Peer peer;
    peer.near = vm.failure_domain == bb.deployment.failure_domain ||
                SharesGroup(bb.deployment, vm.name);
    membership.peers.emplace(vm.name, peer);
  }
  if (memory_kept || (membership.peers.empty() && !lived_before)) {
    membership.memory = MemoryState::kWhole;
  } else if (lived_before) {
    membership.memory = MemoryState::kAmnesiac;
    membership.ever_amnesiac = true;
    bb.timers.Set(now.mono, TimerKind::kClaimSync);
  }
  bb.timers.Set(now.mono, TimerKind::kNearHeartbeat);
  bb.timers.Set(now.mono, TimerKind::kFarHeartbeat);
}

void OnHeartbeatTimer(Blackboard& bb, bool near, Now now, Actions& actions) {
  const wire::Heartbeat heartbeat = MakeHeartbeat(bb);
  for (auto& [vm, peer] : bb.membership.peers) {
    if (peer.near == near) {
      SendHeartbeat(bb, vm, heartbeat, peer.incarnation == 0, now, actions);
    }
  }
  bb.timers.Set(now.mono + PeriodOf(bb, near),
                near ? TimerKind::kNearHeartbeat : TimerKind::kFarHeartbeat);
}

bool NoteHeard(Blackboard& bb,
               const std::string& from,
               uint64_t incarnation,
               Now now,
               Actions& actions) {
  const auto found = bb.membership.peers.find(from);
  if (found == bb.membership.peers.end()) {
    return false;
  }
  Peer& peer = found->second;
  if (incarnation < peer.incarnation) {
    return false;
  }
  if (incarnation > peer.incarnation) {
    if (peer.incarnation != 0) {
      peer.earlier_incarnation = peer.incarnation;
      peer.earlier_heard_at = now.mono;
    }
    peer.incarnation = incarnation;
    peer.last_sequence = 0;
    peer.granted_sequence = 0;
    peer.echoed_from = 0;
    peer.lease_from = 0;
    peer.vouched = false;
    Log(actions, LogLevel::kInfo, "peer_met",
        {{"vm", from}, {"incarnation", std::to_string(incarnation)}});
  }
  peer.last_heard = now.mono;
  return true;
}

void OnHeartbeat(Blackboard& bb,
                 const std::string& from,
                 const wire::Heartbeat& heartbeat,
                 Now now,
                 Actions& actions) {
  Peer& peer = bb.membership.peers[from];
  if (heartbeat.sequence() <= peer.last_sequence) {
    return;
  }
  peer.last_sequence = heartbeat.sequence();
  peer.draining = heartbeat.draining();
  peer.amnesiac = heartbeat.amnesiac();
  peer.configuration_version = heartbeat.configuration_version();
  peer.free_slots = heartbeat.free_slots();
  peer.slots = static_cast<int>(heartbeat.slots());
  peer.queued_tasks = heartbeat.queued_tasks();
  peer.max_memory_mb = heartbeat.max_memory_mb();
  peer.max_accelerators = heartbeat.max_accelerators();
  peer.http_address = heartbeat.http_address();
  bb.workers.max_lease_epoch =
      std::max(bb.workers.max_lease_epoch, heartbeat.max_lease_epoch());
  ReadEcho(bb, peer, heartbeat, actions);
  Grant(bb, peer, heartbeat.sequence(), now);
  NoteReachable(bb, from, peer, now, actions);
  const bool ask_lease = peer.near && peer.lease_from == 0 &&
                         peer.echoed_from != 0 && !heartbeat.prompt();
  if (heartbeat.prompt() || ask_lease) {
    SendHeartbeat(bb, from, MakeHeartbeat(bb), ask_lease, now, actions);
  }
  RefreshLease(bb, now, actions);
}

std::vector<std::string> RefreshMembership(Blackboard& bb,
                                           Now now,
                                           Actions& actions) {
  std::vector<std::string> lost;
  for (auto& [vm, peer] : bb.membership.peers) {
    const Micros heard = std::min(peer.last_heard, peer.echoed_from);
    if (peer.reachable && now.mono - heard > SilenceLimit(bb, peer)) {
      peer.reachable = false;
      peer.free_slots = 0;
      lost.push_back(vm);
      Log(actions, LogLevel::kWarning, "peer_unreachable", {{"vm", vm}});
    }
  }
  RefreshLease(bb, now, actions);
  if (bb.membership.memory != MemoryState::kWhole &&
      now.mono - bb.membership.amnesiac_since > RetentionOf(bb)) {
    BecomeWhole(bb, "retention_passed", actions);
  }
  return lost;
}

bool IsReachable(const Blackboard& bb, const std::string& vm) {
  if (vm == bb.deployment.self) {
    return true;
  }
  const auto found = bb.membership.peers.find(vm);
  return found != bb.membership.peers.end() && found->second.reachable;
}

Micros MajorityHeardAt(const Blackboard& bb,
                       const std::vector<std::string>& vms,
                       Now now) {
  return HeardAt(bb, vms, MajorityOf(vms.size()), now);
}

Micros AnyHeardAt(const Blackboard& bb,
                  const std::vector<std::string>& vms,
                  Now now) {
  return HeardAt(bb, vms, 1, now);
}

bool HoldsServingLease(const Blackboard& bb, Now now) {
  return IsBroken(bb, Break::kNoServingLease) ||
         (bb.membership.lease_valid && bb.membership.lease_until > now.mono);
}

bool GrantMayRun(const Blackboard& bb,
                 const std::string& vm,
                 uint64_t incarnation,
                 Now now) {
  if (vm == bb.deployment.self) {
    return incarnation == bb.deployment.incarnation;
  }
  if (ForgottenGrantsMayRun(bb, now)) {
    return true;
  }
  const auto found = bb.membership.peers.find(vm);
  if (found == bb.membership.peers.end()) {
    return false;
  }
  return std::any_of(found->second.grants.begin(), found->second.grants.end(),
                     [&](const LeaseGrant& grant) {
                       return grant.incarnation == incarnation &&
                              grant.granted_until > now.mono;
                     });
}

bool AnyGrantMayRun(const Blackboard& bb, const std::string& vm, Now now) {
  const auto found = bb.membership.peers.find(vm);
  if (found == bb.membership.peers.end()) {
    return vm == bb.deployment.self;
  }
  if (ForgottenGrantsMayRun(bb, now)) {
    return true;
  }
  return std::any_of(
      found->second.grants.begin(), found->second.grants.end(),
      [&](const LeaseGrant& grant) { return grant.granted_until > now.mono; });
}

bool RemembersGroup(const Blackboard& bb, const std::string& failure_domain) {
  return bb.membership.memory == MemoryState::kWhole ||
         bb.membership.healed_groups.contains(failure_domain) ||
         IsBroken(bb, Break::kNoAmnesiaRule);
}

bool RemembersAll(const Blackboard& bb) {
  const auto groups = VotingGroups(bb);
  return bb.membership.memory == MemoryState::kWhole ||
         std::all_of(groups.begin(), groups.end(),
                     [&](const ClaimGroup* group) {
                       return RemembersGroup(bb, group->failure_domain);
                     });
}

bool RemembersSubmission(const Blackboard& bb,
                         const std::string& failure_domain,
                         int64_t submitted_wall_ms) {
  return RemembersGroup(bb, failure_domain) ||
         SubmittedAfter(bb, submitted_wall_ms,
                        bb.membership.amnesiac_since_wall_ms);
}

bool HeldLeaseSinceSubmission(const Blackboard& bb,
                              int64_t submitted_wall_ms,
                              Now now) {
  const Membership& membership = bb.membership;
  if (!HoldsServingLease(bb, now)) {
    return false;
  }
  const bool since_first_start =
      membership.memory == MemoryState::kWhole &&
      membership.lease_since == membership.started_at;
  return since_first_start ||
         SubmittedAfter(bb, submitted_wall_ms,
                        membership.lease_since_wall_ms) ||
         now.mono - membership.lease_since > RetentionOf(bb);
}

std::vector<const ClaimGroup*> VotingGroups(const Blackboard& bb) {
  std::vector<const ClaimGroup*> groups;
  for (const ClaimGroup& group : bb.deployment.claim_groups) {
    if (Contains(group.voters, bb.deployment.self)) {
      groups.push_back(&group);
    }
  }
  return groups;
}

void NoteSynced(Blackboard& bb,
                const std::string& failure_domain,
                const std::string& from,
                Actions& actions) {
  std::set<std::string>& delivered = bb.membership.synced_from[failure_domain];
  delivered.insert(from);
  const ClaimGroup* group = bb.deployment.GroupOf(failure_domain);
  const bool all = std::all_of(
      group->voters.begin(), group->voters.end(), [&](const std::string& vm) {
        return vm == bb.deployment.self || delivered.contains(vm);
      });
  if (all && bb.membership.healed_groups.insert(failure_domain).second) {
    Log(actions, LogLevel::kInfo, "voter_memory_fetched",
        {{"failure_domain", failure_domain}});
  }
}

}  // namespace goldcrest
