#ifndef GOLDCREST_MEMBERSHIP_STATE_H_
#define GOLDCREST_MEMBERSHIP_STATE_H_

// What this entry VM knows of the others, its serving lease, which permits it
// to start tasks, and the state of its records as a claim voter. Plain data on
// the blackboard; written by membership.

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "goldcrest/time_units.h"

namespace goldcrest {

// Whether a claim voter has all records that it ever made. A voter that may
// have lost records abstains on submissions that may be older than the records
// that it has.
enum class VoterState : uint8_t {
  kUndetermined,  // not known yet whether an earlier incarnation existed
  kFullState,
  kLostState,
};

// The grant of a serving lease to one incarnation of a VM, at its voter.
struct LeaseGrant {
  uint64_t incarnation = 0;
  Micros granted_until = 0;
};

// Another entry VM as this one sees it.
struct Peer {
  // The latest incarnation and the one before it, 0 if there is none.
  uint64_t incarnation = 0;
  uint64_t earlier_incarnation = 0;
  // When the change from `earlier_incarnation` to `incarnation` was seen.
  Micros incarnation_changed_at = 0;
  // When the latest message of any type was received.
  Micros last_message_received_at = 0;
  bool reachable = false;
  // Whether heartbeats are sent at the full rate: the peer is of the same
  // failure domain or of a shared claim group.
  bool full_rate = false;
  // The sequence number of the latest heartbeat received.
  uint64_t last_sequence = 0;
  // Fields of the latest heartbeat, as are the ones below without a comment.
  bool draining = false;
  // Whether the peer, as a claim voter, has lost state.
  bool lost_state = false;
  // Whether the peer reported that it knows of no earlier incarnation of this
  // VM. A peer that has lost state itself can't confirm that.
  bool confirmed_first_start = false;
  // Serving leases that this VM, as a voter, granted to the peer.
  std::vector<LeaseGrant> grants;
  uint64_t configuration_version = 0;
  int free_slots = 0;
  int slots = 0;
  uint32_t queued_tasks = 0;
  uint32_t max_memory_mb = 0;
  uint32_t max_accelerators = 0;
  std::string http_address;
  Micros write_time = 0;  // of the peer's disk
  // Sequence numbers and send times of this VM's latest heartbeats to the peer.
  std::deque<std::pair<uint64_t, Micros>> sent_heartbeat_times;
  // Send time of the latest heartbeat of this VM that the peer echoed.
  Micros echoed_heartbeat_sent_at = 0;
  // Send time of the latest heartbeat of this VM for which the peer granted the
  // serving lease. The lease counts from this time.
  Micros lease_heartbeat_sent_at = 0;
  // Sequence number of the latest heartbeat of the peer for which this VM
  // granted it the serving lease.
  uint64_t granted_sequence = 0;
};

// Identifies the records of one claim group at one co-voter.
struct FetchKey {
  std::string failure_domain;
  std::string voter;

  friend auto operator<=>(const FetchKey&, const FetchKey&) = default;
};

// The membership state of this VM.
struct Membership {
  // All other entry VMs, by name.
  std::map<std::string, Peer> peers;
  // Sequence number of the next heartbeat to any peer.
  uint64_t next_sequence = 1;
  Micros started_at = 0;
  int64_t started_wall_ms = 0;
  VoterState voter_state = VoterState::kUndetermined;
  // Whether this incarnation ever was in kLostState.
  bool ever_lost_state = false;
  // When this incarnation started to record claims. Records of submissions made
  // later are complete, also when earlier ones are lost.
  Micros records_complete_since = 0;
  int64_t records_complete_since_wall_ms = 0;
  // Claim groups whose records were fetched from all co-voters after a restart.
  std::set<std::string> groups_with_full_state;
  // By claim group, the co-voters that have sent all their records of it.
  std::map<std::string, std::set<std::string>> fetched_from;
  // The last submission id received in each of these fetches.
  std::map<FetchKey, std::string> fetch_cursors;
  // This VM's own serving lease. The generation is incremented at each expiry,
  // so that a claim made under an earlier lease is recognised.
  Micros lease_until = 0;
  bool lease_valid = false;
  uint64_t lease_generation = 1;
  // Since when the lease has been held without interruption. The first lease
  // counts as held since the start of this VM, unless the VM was in kLostState
  // when it was granted.
  Micros lease_since = 0;
  int64_t lease_since_wall_ms = 0;
  bool ever_held_lease = false;
};

}  // namespace goldcrest

#endif  // GOLDCREST_MEMBERSHIP_STATE_H_
