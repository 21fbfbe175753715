#include "goldcrest/membership.h"

#include <algorithm>
#include <utility>

namespace goldcrest {
namespace {

// Sent heartbeats kept for each peer, to find the send time of an echo.
constexpr size_t kMaxSentHeartbeats = 64;
// Incarnations of one peer whose grants are kept; the oldest is removed first.
constexpr size_t kMaxGrantsPerPeer = 4;

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Returns whether `vm` and this VM both belong to one claim group, as members
// of its failure domain or as voters.
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

// Returns the period of heartbeats at the full or the reduced rate.
Micros HeartbeatPeriod(const Blackboard& bb, bool full_rate) {
  if (full_rate) {
    return bb.tuning.full_rate_heartbeat;
  }
  const auto peers = static_cast<Micros>(bb.membership.peers.size());
  return std::max(bb.tuning.reduced_rate_heartbeat,
                  bb.tuning.reduced_rate_heartbeat_spacing * peers);
}

// Returns the earlier incarnation of `peer`, or 0 if there is none or it ended
// longer ago than the retention window.
uint64_t EarlierIncarnationOf(const Blackboard& bb,
                              const Peer& peer,
                              StepTime now) {
  if (peer.earlier_incarnation == 0 ||
      now.mono - peer.incarnation_changed_at > RetentionOf(bb)) {
    return 0;
  }
  return peer.earlier_incarnation;
}

// Sets the fields of `heartbeat` that describe the load and the workers.
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

// Returns a heartbeat with the fields that are equal for every receiver.
wire::Heartbeat MakeHeartbeat(const Blackboard& bb) {
  wire::Heartbeat heartbeat;
  heartbeat.set_amnesiac(bb.membership.voter_state == VoterState::kLostState &&
                         !HasFullStateForAllGroups(bb));
  heartbeat.set_draining(bb.draining);
  const wire::ConfigurationState& state = bb.configuration.in_force;
  heartbeat.set_configuration_version(state.version());
  heartbeat.set_configuration_digest(state.digest().substr(0, 16));
  heartbeat.set_http_address(bb.deployment.http_address);
  FillLoad(bb, heartbeat);
  return heartbeat;
}

// Returns the time without a message or an echo after which `peer` counts as
// unreachable.
Micros ReachabilityTimeout(const Blackboard& bb, const Peer& peer) {
  return HeartbeatPeriod(bb, peer.full_rate) * bb.tuning.missed_heartbeats;
}

// Grants `peer` the serving lease for its heartbeat `sequence`. Only a peer
// that echoed a recent heartbeat receives it: a peer that receives no messages
// of this VM must not rely on its grants, and this VM must be able to wait
// until the grants that it made have expired.
void GrantServingLease(const Blackboard& bb,
                       Peer& peer,
                       uint64_t sequence,
                       StepTime now) {
  if (peer.echoed_heartbeat_sent_at + ReachabilityTimeout(bb, peer) <
          now.mono ||
      peer.echoed_heartbeat_sent_at == 0) {
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
  if (peer.grants.size() > kMaxGrantsPerPeer) {
    peer.grants.erase(peer.grants.begin());
  }
}

// Sends `heartbeat` to `vm`. `prompt` requests an immediate heartbeat in
// return.
void SendHeartbeat(Blackboard& bb,
                   const std::string& vm,
                   wire::Heartbeat heartbeat,
                   bool prompt,
                   StepTime now,
                   Actions& actions) {
  Peer& peer = bb.membership.peers[vm];
  heartbeat.set_sequence(bb.membership.next_sequence++);
  heartbeat.set_prompt(prompt);
  heartbeat.set_echo_incarnation(peer.incarnation);
  heartbeat.set_echo_sequence(peer.last_sequence);
  heartbeat.set_granted_sequence(peer.granted_sequence);
  heartbeat.set_write_ms(static_cast<uint32_t>(
      ExpectedWriteTime(bb.configuration.write_times, now.mono) /
      kMillisecond));
  heartbeat.set_earlier_incarnation(EarlierIncarnationOf(bb, peer, now));
  peer.sent_heartbeat_times.emplace_back(heartbeat.sequence(), now.mono);
  if (peer.sent_heartbeat_times.size() > kMaxSentHeartbeats) {
    peer.sent_heartbeat_times.pop_front();
  }
  wire::PeerMessage message;
  *message.mutable_heartbeat() = std::move(heartbeat);
  SendToPeer(bb, vm, std::move(message), actions);
}

// Records that this voter has full state.
void EnterFullState(Blackboard& bb, std::string_view reason, Actions& actions) {
  bb.membership.voter_state = VoterState::kFullState;
  Log(actions, LogLevel::kInfo, "voter_memory_whole",
      {{"reason", std::string(reason)}});
}

// Records that this voter has lost state, and starts to fetch the records.
void EnterLostState(Blackboard& bb, Actions& actions) {
  if (bb.membership.voter_state == VoterState::kLostState) {
    return;
  }
  bb.membership.voter_state = VoterState::kLostState;
  bb.membership.ever_lost_state = true;
  Log(actions, LogLevel::kWarning, "voter_restarted_without_memory", {});
  bb.timers.Set(0, TimerKind::kClaimSync);  // 0: due at once
}

// Determines that this voter has full state if its peers confirm that it has no
// earlier incarnation, whose records could be lost.
void DetermineVoterState(Blackboard& bb, Actions& actions) {
  if (bb.membership.voter_state != VoterState::kUndetermined) {
    return;
  }
  const bool any_full_rate =
      std::any_of(bb.membership.peers.begin(), bb.membership.peers.end(),
                  [](const auto& entry) { return entry.second.full_rate; });
  // The confirmation of the peers with full-rate heartbeats is needed, or of
  // all peers if there are none with the full rate.
  const bool all_confirmed = std::all_of(
      bb.membership.peers.begin(), bb.membership.peers.end(),
      [&](const auto& entry) {
        const bool is_needed = entry.second.full_rate || !any_full_rate;
        return !is_needed || entry.second.confirmed_first_start;
      });
  if (all_confirmed) {
    EnterFullState(bb, "first_start", actions);
  }
}

// Processes what a heartbeat reports about this VM: its earlier incarnation,
// and which of its heartbeats are echoed and which are granted the lease.
void ProcessEcho(Blackboard& bb,
                 Peer& peer,
                 const wire::Heartbeat& heartbeat,
                 Actions& actions) {
  if (heartbeat.earlier_incarnation() != 0 &&
      heartbeat.earlier_incarnation() < bb.deployment.incarnation &&
      bb.membership.voter_state == VoterState::kUndetermined) {
    EnterLostState(bb, actions);
  }
  if (heartbeat.echo_incarnation() != bb.deployment.incarnation) {
    return;
  }
  peer.confirmed_first_start =
      heartbeat.earlier_incarnation() == 0 && !heartbeat.amnesiac();
  for (const auto& [sequence, sent_at] : peer.sent_heartbeat_times) {
    if (sequence <= heartbeat.echo_sequence()) {
      peer.echoed_heartbeat_sent_at =
          std::max(peer.echoed_heartbeat_sent_at, sent_at);
    }
    if (sequence <= heartbeat.granted_sequence()) {
      peer.lease_heartbeat_sent_at =
          std::max(peer.lease_heartbeat_sent_at, sent_at);
    }
  }
  DetermineVoterState(bb, actions);
}

// Returns the time until which a majority of this domain's voters granted the
// lease. It counts from the send times of the heartbeats that were granted, and
// ends earlier by a margin for clocks of different speeds.
Micros LeaseGrantedUntil(const Blackboard& bb, StepTime now) {
  const ClaimGroup* group = bb.deployment.GroupOf(bb.deployment.failure_domain);
  std::vector<Micros> heartbeat_sent_at;
  for (const std::string& voter : group->voters) {
    if (voter == bb.deployment.self) {
      heartbeat_sent_at.push_back(now.mono);
      continue;
    }
    const auto found = bb.membership.peers.find(voter);
    const Micros start = found == bb.membership.peers.end()
                             ? 0
                             : found->second.lease_heartbeat_sent_at;
    // Without a grant, a time so early that the sum below has passed; halved so
    // that the sum doesn't overflow.
    heartbeat_sent_at.push_back(start == 0 ? INT64_MIN / 2 : start);
  }
  std::sort(heartbeat_sent_at.rbegin(), heartbeat_sent_at.rend());
  return heartbeat_sent_at[MajorityOf(heartbeat_sent_at.size()) - 1] +
         bb.tuning.serving_lease - bb.tuning.lease_margin;
}

// Returns the `count`th most recent of the times at which the last message of
// each VM of `vms` was received. This VM counts as received at `now`, and a VM
// without any message as received when this VM started.
Micros LastReceivedAt(const Blackboard& bb,
                      const std::vector<std::string>& vms,
                      size_t count,
                      StepTime now) {
  std::vector<Micros> received_at;
  for (const std::string& vm : vms) {
    const auto found = bb.membership.peers.find(vm);
    const Micros last = found == bb.membership.peers.end()
                            ? 0
                            : found->second.last_message_received_at;
    received_at.push_back(vm == bb.deployment.self
                              ? now.mono
                              : std::max(last, bb.membership.started_at));
  }
  std::sort(received_at.rbegin(), received_at.rend());
  return count <= received_at.size() ? received_at[count - 1]
                                     : bb.membership.started_at;
}

// Updates whether this VM holds the serving lease.
void RefreshLease(Blackboard& bb, StepTime now, Actions& actions) {
  Membership& membership = bb.membership;
  membership.lease_until = LeaseGrantedUntil(bb, now);
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
  // The first lease counts as held since the start of this VM, unless it is
  // known to have lost state as a voter.
  const bool first = !membership.ever_held_lease &&
                     membership.voter_state != VoterState::kLostState;
  membership.ever_held_lease = true;
  membership.lease_since = first ? membership.started_at : now.mono;
  membership.lease_since_wall_ms =
      first ? membership.started_wall_ms : now.wall_ms;
  bb.placement_due = true;
  Log(actions, LogLevel::kInfo, "serving_lease_granted",
      {{"generation", std::to_string(membership.lease_generation)}});
}

// Marks `peer` as reachable if it echoed a recent heartbeat, which shows that
// both directions work.
void MarkIfReachable(Blackboard& bb,
                     const std::string& vm,
                     Peer& peer,
                     StepTime now,
                     Actions& actions) {
  const bool echo_is_recent =
      peer.echoed_heartbeat_sent_at != 0 &&
      peer.echoed_heartbeat_sent_at + ReachabilityTimeout(bb, peer) >= now.mono;
  if (peer.reachable || !echo_is_recent) {
    return;
  }
  peer.reachable = true;
  bb.placement_due = true;
  Log(actions, LogLevel::kInfo, "peer_reachable", {{"vm", vm}});
}

// Returns whether grants by an earlier incarnation of this voter may still be
// valid.
bool EarlierGrantsMayBeValid(const Blackboard& bb, StepTime now) {
  const Membership& membership = bb.membership;
  const bool started_before =
      membership.ever_lost_state ||
      membership.voter_state == VoterState::kUndetermined;
  return started_before &&
         now.mono < membership.started_at + bb.tuning.serving_lease;
}

// Returns whether a submission made at `submitted_wall_ms` is certainly newer
// than `moment_wall_ms`, given the maximum error of the clocks.
bool SubmittedAfter(const Blackboard& bb,
                    int64_t submitted_wall_ms,
                    int64_t moment_wall_ms) {
  const int64_t bound = bb.configuration.active.limits.clock_bound_ms;
  return submitted_wall_ms != 0 && submitted_wall_ms > moment_wall_ms + bound;
}

}  // namespace

void StartMembership(Blackboard& bb,
                     StepTime now,
                     bool started_before,
                     bool claims_kept) {
  Membership& membership = bb.membership;
  membership.started_at = now.mono;
  membership.started_wall_ms = now.wall_ms;
  membership.records_complete_since = now.mono;
  membership.records_complete_since_wall_ms = now.wall_ms;
  for (const EntryVm& vm : bb.deployment.vms) {
    if (vm.name == bb.deployment.self) {
      continue;
    }
    Peer peer;
    peer.full_rate = vm.failure_domain == bb.deployment.failure_domain ||
                     SharesGroup(bb.deployment, vm.name);
    membership.peers.emplace(vm.name, peer);
  }
  if (claims_kept || (membership.peers.empty() && !started_before)) {
    membership.voter_state = VoterState::kFullState;
  } else if (started_before) {
    membership.voter_state = VoterState::kLostState;
    membership.ever_lost_state = true;
    bb.timers.Set(now.mono, TimerKind::kClaimSync);
  }
  bb.timers.Set(now.mono, TimerKind::kFullRateHeartbeat);
  bb.timers.Set(now.mono, TimerKind::kReducedRateHeartbeat);
}

void OnHeartbeatTimer(Blackboard& bb,
                      bool full_rate,
                      StepTime now,
                      Actions& actions) {
  const wire::Heartbeat heartbeat = MakeHeartbeat(bb);
  for (auto& [vm, peer] : bb.membership.peers) {
    if (peer.full_rate == full_rate) {
      SendHeartbeat(bb, vm, heartbeat, peer.incarnation == 0, now, actions);
    }
  }
  bb.timers.Set(now.mono + HeartbeatPeriod(bb, full_rate),
                full_rate ? TimerKind::kFullRateHeartbeat
                          : TimerKind::kReducedRateHeartbeat);
}

bool RecordPeerContact(Blackboard& bb,
                       const std::string& from,
                       uint64_t incarnation,
                       StepTime now,
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
      peer.incarnation_changed_at = now.mono;
    }
    peer.incarnation = incarnation;
    peer.last_sequence = 0;
    peer.granted_sequence = 0;
    peer.echoed_heartbeat_sent_at = 0;
    peer.lease_heartbeat_sent_at = 0;
    peer.confirmed_first_start = false;
    Log(actions, LogLevel::kInfo, "peer_met",
        {{"vm", from}, {"incarnation", std::to_string(incarnation)}});
  }
  peer.last_message_received_at = now.mono;
  return true;
}

void OnHeartbeat(Blackboard& bb,
                 const std::string& from,
                 const wire::Heartbeat& heartbeat,
                 StepTime now,
                 Actions& actions) {
  Peer& peer = bb.membership.peers[from];
  if (heartbeat.sequence() <= peer.last_sequence) {
    return;
  }
  peer.last_sequence = heartbeat.sequence();
  peer.draining = heartbeat.draining();
  peer.lost_state = heartbeat.amnesiac();
  peer.configuration_version = heartbeat.configuration_version();
  peer.free_slots = heartbeat.free_slots();
  peer.slots = static_cast<int>(heartbeat.slots());
  peer.queued_tasks = heartbeat.queued_tasks();
  peer.max_memory_mb = heartbeat.max_memory_mb();
  peer.max_accelerators = heartbeat.max_accelerators();
  peer.http_address = heartbeat.http_address();
  peer.write_time = heartbeat.write_ms() * kMillisecond;
  bb.workers.max_lease_epoch =
      std::max(bb.workers.max_lease_epoch, heartbeat.max_lease_epoch());
  ProcessEcho(bb, peer, heartbeat, actions);
  GrantServingLease(bb, peer, heartbeat.sequence(), now);
  MarkIfReachable(bb, from, peer, now, actions);
  const bool request_lease =
      peer.full_rate && peer.lease_heartbeat_sent_at == 0 &&
      peer.echoed_heartbeat_sent_at != 0 && !heartbeat.prompt();
  if (heartbeat.prompt() || request_lease) {
    SendHeartbeat(bb, from, MakeHeartbeat(bb), request_lease, now, actions);
  }
  RefreshLease(bb, now, actions);
}

std::vector<std::string> RefreshMembership(Blackboard& bb,
                                           StepTime now,
                                           Actions& actions) {
  std::vector<std::string> became_unreachable;
  for (auto& [vm, peer] : bb.membership.peers) {
    const Micros two_way_contact_at =
        std::min(peer.last_message_received_at, peer.echoed_heartbeat_sent_at);
    if (peer.reachable &&
        now.mono - two_way_contact_at > ReachabilityTimeout(bb, peer)) {
      peer.reachable = false;
      peer.free_slots = 0;
      became_unreachable.push_back(vm);
      Log(actions, LogLevel::kWarning, "peer_unreachable", {{"vm", vm}});
    }
  }
  RefreshLease(bb, now, actions);
  if (bb.membership.voter_state != VoterState::kFullState &&
      now.mono - bb.membership.records_complete_since > RetentionOf(bb)) {
    EnterFullState(bb, "retention_passed", actions);
  }
  return became_unreachable;
}

bool IsReachable(const Blackboard& bb, const std::string& vm) {
  if (vm == bb.deployment.self) {
    return true;
  }
  const auto found = bb.membership.peers.find(vm);
  return found != bb.membership.peers.end() && found->second.reachable;
}

Micros MajorityLastReceivedAt(const Blackboard& bb,
                              const std::vector<std::string>& vms,
                              StepTime now) {
  return LastReceivedAt(bb, vms, MajorityOf(vms.size()), now);
}

Micros AnyLastReceivedAt(const Blackboard& bb,
                         const std::vector<std::string>& vms,
                         StepTime now) {
  return LastReceivedAt(bb, vms, 1, now);
}

bool HoldsServingLease(const Blackboard& bb, StepTime now) {
  return IsDisabled(bb, DisabledMechanism::kNoServingLease) ||
         (bb.membership.lease_valid && bb.membership.lease_until > now.mono);
}

bool GrantMayBeValid(const Blackboard& bb,
                     const std::string& vm,
                     uint64_t incarnation,
                     StepTime now) {
  if (vm == bb.deployment.self) {
    // This VM stores no grant to itself: its current incarnation always counts.
    return incarnation == bb.deployment.incarnation;
  }
  if (EarlierGrantsMayBeValid(bb, now)) {
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

bool AnyGrantMayBeValid(const Blackboard& bb,
                        const std::string& vm,
                        StepTime now) {
  const auto found = bb.membership.peers.find(vm);
  if (found == bb.membership.peers.end()) {
    return vm == bb.deployment.self;
  }
  if (EarlierGrantsMayBeValid(bb, now)) {
    return true;
  }
  return std::any_of(
      found->second.grants.begin(), found->second.grants.end(),
      [&](const LeaseGrant& grant) { return grant.granted_until > now.mono; });
}

bool HasFullStateForGroup(const Blackboard& bb,
                          const std::string& failure_domain) {
  return bb.membership.voter_state == VoterState::kFullState ||
         bb.membership.groups_with_full_state.contains(failure_domain) ||
         IsDisabled(bb, DisabledMechanism::kNoLostStateRule);
}

bool HasFullStateForAllGroups(const Blackboard& bb) {
  const auto groups = VotingGroups(bb);
  return bb.membership.voter_state == VoterState::kFullState ||
         std::all_of(groups.begin(), groups.end(),
                     [&](const ClaimGroup* group) {
                       return HasFullStateForGroup(bb, group->failure_domain);
                     });
}

bool HasFullStateForSubmission(const Blackboard& bb,
                               const std::string& failure_domain,
                               int64_t submitted_wall_ms) {
  return HasFullStateForGroup(bb, failure_domain) ||
         SubmittedAfter(bb, submitted_wall_ms,
                        bb.membership.records_complete_since_wall_ms);
}

bool HeldLeaseSinceSubmission(const Blackboard& bb,
                              int64_t submitted_wall_ms,
                              StepTime now) {
  const Membership& membership = bb.membership;
  if (!HoldsServingLease(bb, now)) {
    return false;
  }
  // A lease counts if it is certainly older than the submission, if it has been
  // held since this VM, which has full state, started, or if it has been held
  // for longer than the retention window.
  const bool since_first_start =
      membership.voter_state == VoterState::kFullState &&
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

void RecordSyncCompleted(Blackboard& bb,
                         const std::string& failure_domain,
                         const std::string& from,
                         Actions& actions) {
  std::set<std::string>& delivered = bb.membership.fetched_from[failure_domain];
  delivered.insert(from);
  const ClaimGroup* group = bb.deployment.GroupOf(failure_domain);
  const bool all = std::all_of(
      group->voters.begin(), group->voters.end(), [&](const std::string& vm) {
        return vm == bb.deployment.self || delivered.contains(vm);
      });
  if (all &&
      bb.membership.groups_with_full_state.insert(failure_domain).second) {
    Log(actions, LogLevel::kInfo, "voter_memory_fetched",
        {{"failure_domain", failure_domain}});
  }
}

}  // namespace goldcrest
