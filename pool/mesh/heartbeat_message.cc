#include "pool/mesh/heartbeat_message.h"

#include "pool/entry/standby.h"

namespace goldcrest {
namespace {

// Answers to entry daemons list probe peers during one in this many heartbeat
// rounds.
constexpr uint64_t kProbePeersInterval = 8;

bool IsControl(const Mesh& mesh, const std::string& address) {
  const auto found = mesh.members.find(address);
  return found != mesh.members.end() && found->second.last_heartbeat.control();
}

// Returns how recently a control daemon must have been heard to be listed in
// the `hears` of heartbeats to `to`.
Micros HearsTimeout(const Mesh& mesh, const std::string& to) {
  const bool between_entries = !mesh.options.control && !IsControl(mesh, to);
  return between_entries && mesh.options.standby_after != 0
             ? mesh.options.standby_after
             : mesh.options.rates.full_rate_timeout;
}

}  // namespace

wire::PoolMessage MakeHeartbeat(const Mesh& mesh,
                                const std::string& to,
                                Micros now,
                                bool is_answer) {
  wire::PoolMessage message;
  wire::Presence& heartbeat = *message.mutable_presence();
  heartbeat.set_control(mesh.options.control);
  heartbeat.set_failure_domain(mesh.options.failure_domain);
  heartbeat.set_control_address(mesh.options.control_address);
  heartbeat.set_sequence(mesh.sequence);
  heartbeat.set_echoed_sequence(NewestHeartbeatSequence(mesh, to));
  heartbeat.set_contact(ContactNumber(mesh, to));
  heartbeat.set_draining(mesh.draining);
  heartbeat.set_is_answer(is_answer);
  heartbeat.set_routing_version(mesh.routing_version);
  heartbeat.set_store_id(mesh.store_id);
  heartbeat.set_leads(mesh.is_leader);
  heartbeat.set_write_ms(static_cast<uint32_t>(mesh.write_time / kMillisecond));
  heartbeat.set_is_writing(mesh.is_writing);
  heartbeat.set_wants_routing(mesh.routing_request_due && !is_answer &&
                              to == mesh.routing_source);
  const Micros hears_timeout = HearsTimeout(mesh, to);
  for (const auto& [address, member] : mesh.members) {
    if (!member.last_heartbeat.control() || address == to) {
      continue;
    }
    // Other daemons use this to decide whether a daemon has failed, so `hears`
    // lists only daemons that were reachable within the full-rate timeout, or a
    // shorter one.
    if (WasReceivedWithin(member, hears_timeout, now)) {
      heartbeat.add_hears(address);
    } else {
      heartbeat.add_knows(address);
    }
  }
  if (mesh.options.control) {
    heartbeat.set_entry_daemons(mesh.entry_daemons);
  }
  if (mesh.options.control || mesh.options.standby_after != 0) {
    *heartbeat.mutable_load() = mesh.load;
  }
  if (mesh.options.control && is_answer &&
      mesh.sequence % kProbePeersInterval == 0) {
    for (const std::string& address : ProbePeersFor(mesh, to, now)) {
      heartbeat.add_witnesses(address);
    }
  }
  return message;
}

}  // namespace goldcrest
