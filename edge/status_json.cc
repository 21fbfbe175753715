#include "edge/status_json.h"

#include <algorithm>

#include "goldcrest/json_reader.h"
#include "goldcrest/membership.h"

namespace goldcrest {
namespace {

std::string Bool(bool value) {
  return value ? "true" : "false";
}

// Returns the state of this VM as a voter: "whole" for full state, "recovering"
// after its state was lost, "undetermined" while it is not known which.
std::string_view VoterStateName(const Blackboard& bb) {
  if (HasFullStateForAllGroups(bb)) {
    return "whole";
  }
  return bb.membership.voter_state == VoterState::kLostState ? "recovering"
                                                             : "undetermined";
}

std::string PeerJson(const std::string& vm, const Peer& peer) {
  return "{\"vm\":" + JsonQuote(vm) + ",\"reachable\":" + Bool(peer.reachable) +
         ",\"draining\":" + Bool(peer.draining) +
         ",\"incarnation\":" + std::to_string(peer.incarnation) +
         ",\"configuration_version\":" +
         std::to_string(peer.configuration_version) +
         ",\"free_slots\":" + std::to_string(peer.free_slots) +
         ",\"slots\":" + std::to_string(peer.slots) +
         ",\"queued_tasks\":" + std::to_string(peer.queued_tasks) + "}";
}

std::string WorkerJson(const Worker& worker, StepTime now) {
  const char* state = worker.leaving                      ? "leaving"
                      : worker.outlier.ejected_until != 0 ? "ejected"
                      : worker.released                   ? "released"
                      : worker.outlier.probation          ? "probation"
                                                          : "serving";
  return "{\"name\":" + JsonQuote(worker.name) +
         ",\"address\":" + JsonQuote(worker.address) +
         ",\"rack\":" + JsonQuote(worker.rack) + ",\"state\":\"" + state +
         "\",\"slots\":" + std::to_string(worker.slots) +
         ",\"busy\":" + std::to_string(worker.occupied_slots) +
         ",\"lent\":" + std::to_string(worker.lent_total()) +
         ",\"lender\":" + JsonQuote(worker.lender) +
         ",\"lease_epoch\":" + std::to_string(worker.lease_epoch) +
         ",\"lease_left_ms\":" +
         std::to_string((worker.lease_until - now.mono) / kMillisecond) + "}";
}

std::string QueueJson(const Blackboard& bb) {
  return "{\"queued_tasks\":" + std::to_string(bb.queue.queued_tasks) +
         ",\"running_tasks\":" + std::to_string(bb.workers.slot_uses.size()) +
         ",\"jobs\":" + std::to_string(bb.jobs.size()) +
         ",\"slots\":" + std::to_string(bb.workers.leased_slots) +
         ",\"free_slots\":" + std::to_string(bb.workers.free_slots) + "}";
}

std::string ConfigurationStatusJson(const Blackboard& bb) {
  const ConfigurationBoard& board = bb.configuration;
  const auto& voters = bb.deployment.configuration_voters;
  const bool voter = std::find(voters.begin(), voters.end(),
                               bb.deployment.self) != voters.end();
  const char* role = !voter             ? "learner"
                     : board.recovering ? "recovering"
                                        : "voter";
  return "{\"version\":" + std::to_string(board.in_force.version()) +
         ",\"digest\":" + JsonQuote(board.in_force.digest()) + ",\"role\":\"" +
         role + "\",\"voters\":" + std::to_string(voters.size()) + "}";
}

}  // namespace

std::string StatusJson(const Blackboard& bb, StepTime now) {
  const Membership& membership = bb.membership;
  std::string peers;
  for (const auto& [vm, peer] : membership.peers) {
    peers += peers.empty() ? "" : ",";
    peers += PeerJson(vm, peer);
  }
  std::string workers;
  for (const auto& [key, worker] : bb.workers.workers) {
    workers += workers.empty() ? "" : ",";
    workers += WorkerJson(*worker, now);
  }
  const bool leased = HoldsServingLease(bb, now);
  return "{\"vm\":" + JsonQuote(bb.deployment.self) +
         ",\"failure_domain\":" + JsonQuote(bb.deployment.failure_domain) +
         ",\"incarnation\":" + std::to_string(bb.deployment.incarnation) +
         ",\"state\":\"" + (bb.draining ? "draining" : "serving") +
         "\",\"serving_lease\":{\"held\":" + Bool(leased) +
         ",\"generation\":" + std::to_string(membership.lease_generation) +
         "},\"voter_memory\":\"" + std::string(VoterStateName(bb)) +
         "\",\"configuration\":" + ConfigurationStatusJson(bb) +
         ",\"queue\":" + QueueJson(bb) +
         ",\"claims\":" + std::to_string(bb.claims.entries.size()) +
         ",\"invariant_failures\":" +
         std::to_string(bb.counters.invariant_failures) + ",\"peers\":[" +
         peers + "],\"leases\":[" + workers + "]}";
}

}  // namespace goldcrest
