#ifndef GOLDCREST_MEMBERSHIP_STATE_H_
#define GOLDCREST_MEMBERSHIP_STATE_H_

// The other entry VMs as this one sees them, its serving lease and how much it
// remembers. Plain data on the blackboard; written by membership.

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

// How much a claim voter remembers. A voter that may have forgotten records
// abstains on submissions that may be older than its memory.
enum class MemoryState : uint8_t {
  kUndetermined,  // has not yet heard whether it lived before
  kWhole,
  kAmnesiac,
};

// The grant of a serving lease to one incarnation of a VM, at its voter.
struct LeaseGrant {
  uint64_t incarnation = 0;
  Micros granted_until = 0;
};

// Another entry VM. Owned by membership.
struct Peer {
  uint64_t incarnation = 0;
  uint64_t earlier_incarnation = 0;
  Micros earlier_heard_at = 0;
  Micros last_heard = 0;
  bool reachable = false;
  bool near = false;
  uint64_t last_sequence = 0;
  bool draining = false;
  bool amnesiac = false;
  // Has said that it knows of no earlier incarnation of this VM.
  bool vouched = false;
  std::vector<LeaseGrant> grants;
  uint64_t configuration_version = 0;
  int free_slots = 0;
  int slots = 0;
  uint32_t queued_tasks = 0;
  uint32_t max_memory_mb = 0;
  uint32_t max_accelerators = 0;
  std::string http_address;
  // Sequence numbers and send times of this VM's latest heartbeats to it.
  std::deque<std::pair<uint64_t, Micros>> sent;
  // Send time of the latest heartbeat that it echoed.
  Micros echoed_from = 0;
  // Send time of the latest heartbeat for which it granted the serving lease.
  Micros lease_from = 0;
  // The latest heartbeat of the peer for which this VM granted it the lease.
  uint64_t granted_sequence = 0;
};

// The records of one claim group at one co-voter.
struct SyncKey {
  std::string failure_domain;
  std::string voter;

  friend auto operator<=>(const SyncKey&, const SyncKey&) = default;
};

struct Membership {
  std::map<std::string, Peer> peers;
  uint64_t next_sequence = 1;
  Micros started_at = 0;
  int64_t started_wall_ms = 0;
  MemoryState memory = MemoryState::kUndetermined;
  bool ever_amnesiac = false;
  Micros amnesiac_since = 0;
  int64_t amnesiac_since_wall_ms = 0;
  // Claim groups whose records were all fetched again after a restart.
  std::set<std::string> healed_groups;
  // Groups whose records are being fetched: co-voters that delivered all.
  std::map<std::string, std::set<std::string>> synced_from;
  // The last submission id fetched of each.
  std::map<SyncKey, std::string> sync_cursors;
  // This VM's own serving lease.
  Micros lease_until = 0;
  bool lease_valid = false;
  uint64_t lease_generation = 1;
  Micros lease_since = 0;
  int64_t lease_since_wall_ms = 0;
  bool lease_ever = false;
};

}  // namespace goldcrest

#endif  // GOLDCREST_MEMBERSHIP_STATE_H_
