#ifndef POOL_MESH_MESH_H_
#define POOL_MESH_MESH_H_

// Membership and reachability of the daemons.
//
// Every daemon sends heartbeats to all control daemons that it knows, at the
// rates of heartbeat_rate.h; control daemons answer those of entry daemons. A
// heartbeat lists the control daemons that its sender can reach and the others
// that it knows. A list of seeds is therefore enough to find all of them, and a
// daemon that is cut off from one control daemon still learns from others that
// it is running.
//
// A heartbeat carries a sequence number and the newest number received from the
// other side. An order that echoes a number shows how old its sender's
// information was, measured on the receiver's own clock: a daemon that resumes
// after a pause can tell orders that were queued meanwhile from recent ones.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/time_units.h"
#include "pool/mesh/heartbeat_rate.h"
#include "pool/pool_action.h"
#include "proto/pool.pb.h"

namespace goldcrest {

struct MeshOptions {
  std::string self;  // mesh address
  uint64_t incarnation = 0;
  bool control = false;
  std::string failure_domain;
  std::string control_address;
  std::vector<std::string> seeds;  // mesh addresses of control daemons
  HeartbeatRates rates;
  // How long another daemon's report that it can reach a control daemon is
  // valid.
  Micros indirect_contact_timeout = 700 * kMillisecond;
  // A requested configuration that has not arrived within this time is
  // requested from another daemon.
  Micros routing_request_timeout = 800 * kMillisecond;
  // Daemons that nobody could reach for this long are removed.
  Micros remove_member_after = 30 * kSecond;
  // PoolFeatures::standby_after. If it is not 0, entry daemons report to each
  // other only the control daemons that they have heard within this time, and
  // exchange heartbeats with their probe peers all the time, so that the
  // connections exist when they are needed (standby.h).
  Micros standby_after = 0;
};

struct MeshMember {
  std::string address;
  uint64_t incarnation = 0;
  Micros last_received_at = 0;  // last message of this incarnation; 0: never
  // When `last_heartbeat` was received. Unlike last_received_at, it is not
  // shifted by the length of a pause of this process.
  Micros last_heartbeat_at = 0;
  // When another daemon last reported that it can reach this one.
  Micros indirect_contact_at = 0;
  // Since when this entry daemon exchanges heartbeats with the member at the
  // full rate; 0: at the reduced rate.
  Micros full_rate_since = 0;
  // The full rate is kept at least until then, since a job is shared.
  Micros full_rate_until = 0;
  Micros reduced_rate_due = 0;    // the next heartbeat at the reduced rate
  wire::Presence last_heartbeat;  // the newest heartbeat
  uint64_t contact = 0;  // number of the present contact (job_contact.h)
  bool logged_unreachable = false;  // the log reported it as unreachable
};

struct Mesh {
  MeshOptions options;
  // The highest number of a contact of this process with any daemon.
  uint64_t newest_contact = 1;
  uint64_t sequence = 0;  // of the newest heartbeat round
  std::deque<std::pair<uint64_t, Micros>>
      sent_heartbeats;                        // sequence, time sent
  std::map<std::string, MeshMember> members;  // by address
  Micros next_heartbeat_at = 0;
  Micros reduced_rate_period = 0;  // at the reduced rate; 0: unknown, full rate
  uint32_t entry_daemons = 0;      // number known
  bool draining = false;
  uint64_t routing_version = 0;
  // The control daemon from which an entry daemon requested a newer
  // configuration. It requests from one at a time, since the document may be
  // large and links have little bandwidth.
  std::string routing_source;
  Micros routing_requested_at = 0;
  bool routing_request_due = false;
  // Entry daemons that can be asked whether control daemons are reachable, and
  // whether they are being probed.
  std::vector<std::string> probe_peers;
  bool probing = false;
  // Whether probes are sent at shorter intervals than heartbeats, and the
  // sequence number of the first one since the probing began.
  bool probes_quickly = false;
  uint64_t first_probe = 0;
  uint64_t store_id = 0;
  // Of control daemons: how long the disk takes for a write, and whether one is
  // in progress.
  Micros write_time = 0;
  bool is_writing = false;
  bool is_leader = false;  // this daemon is the leader of the agreement
  wire::PoolLoad load;
};

Mesh MakeMesh(const MeshOptions& options);

// Adds the control daemons at the mesh addresses `seeds`.
void AddSeeds(Mesh& mesh, const std::vector<std::string>& seeds);

// What a received heartbeat changed.
enum class MemberChange : uint8_t { kNone, kAppeared, kRestarted };

// Handles a heartbeat, and answers it if the sender is an entry daemon.
MemberChange OnMeshHeartbeat(Mesh& mesh,
                             const std::string& from,
                             uint64_t incarnation,
                             const wire::Presence& heartbeat,
                             Micros now,
                             PoolActions& actions);

// Records that any other message was received from a known incarnation of a
// daemon.
void RecordContact(Mesh& mesh,
                   const std::string& from,
                   uint64_t incarnation,
                   Micros now);

// Ends the contact with the daemon at `address`: this entry daemon gives up all
// jobs that the other one has, which learns that from the number of the next
// contact (job_contact.h). Does nothing if the daemon is not known.
void EndContact(Mesh& mesh, const std::string& address);

// Returns the number of the present contact with the daemon at `address`; 0 if
// it is not known.
uint64_t ContactNumber(const Mesh& mesh, const std::string& address);

// Switches to the full heartbeat rate with the daemon at `address`. An entry
// daemon calls this when it shares a job with that daemon.
void SwitchToFullRate(Mesh& mesh,
                      const std::string& address,
                      Micros now,
                      PoolActions& actions);

// Tells all known daemons at once that this one drains. Entry daemons would
// else learn it with their next heartbeat, which at the reduced rate comes too
// late.
void AnnounceDrain(Mesh& mesh, Micros now, PoolActions& actions);

// Sends heartbeats when they are due.
void MeshTick(Mesh& mesh, Micros now, PoolActions& actions);

// Excludes a pause of this process from the time since the last contact with
// other daemons.
void ExcludePauseFromTimeouts(Mesh& mesh, Micros pause);

// Returns the time without a message after which the daemon at `address` counts
// as unreachable.
Micros ContactTimeout(const Mesh& mesh, const std::string& address, Micros now);

// Returns whether a message of the member was received within `timeout`.
bool WasReceivedWithin(const MeshMember& member, Micros timeout, Micros now);

// Returns whether a message of the daemon at `address` was received within its
// timeout, which depends on the rate at which heartbeats are exchanged with it.
bool IsPeerReachable(const Mesh& mesh, const std::string& address, Micros now);

// Returns whether the control daemon at `address` is reachable from this
// daemon, or was recently reported as reachable by another one.
bool IsReachableByAny(const Mesh& mesh, const std::string& address, Micros now);

// Returns whether the last heartbeat of `member` is recent enough to rely on
// the load that it reports.
bool IsLoadFresh(const MeshMember& member, Micros now);

// Returns when the heartbeat with `sequence` was sent; 0 if it is no longer
// recorded.
Micros HeartbeatSentAt(const Mesh& mesh, uint64_t sequence);

// Returns how old the newest heartbeat of this daemon is that the other one has
// confirmed to have received: the time since it was sent.
// Returns nothing if it has echoed none that is recorded.
std::optional<Micros> EchoAge(const Mesh& mesh,
                              const MeshMember& member,
                              Micros now);

// Returns the newest heartbeat sequence number received from `address`, 0 if
// none.
uint64_t NewestHeartbeatSequence(const Mesh& mesh, const std::string& address);

}  // namespace goldcrest

#endif  // POOL_MESH_MESH_H_
