#ifndef GOLDCREST_WORKER_RECORD_H_
#define GOLDCREST_WORKER_RECORD_H_

// The workers whose slots this VM may use, the starts that hold them, and what
// is lent and borrowed. Plain data on the blackboard; written by worker leases,
// borrowing, placement and outlier detection.

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "goldcrest/event.h"
#include "goldcrest/task_queue.h"
#include "goldcrest/time_units.h"

namespace goldcrest {

// The record of a worker's failures. Owned by outlier detection.
struct OutlierState {
  int failures_in_row = 0;
  int ejections = 0;
  Micros ejected_until = 0;
  // After an ejection the worker gets one idempotent task at a time until one
  // succeeds.
  bool probation = false;
};

// Slots of one worker lent to one VM.
struct LentSlots {
  int slots = 0;
  Micros expires_at = 0;
};

// A worker whose slots this VM may use: leased to it, or lent by a neighbour.
struct Worker {
  std::string name;
  std::string address;
  std::string rack;
  std::string failure_domain;
  int slots = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  uint64_t incarnation = 0;
  bool leaving = false;
  uint64_t lease_epoch = 0;
  Micros lease_until = 0;
  // The VM that lends the slots; empty when the lease is this VM's.
  std::string lender;
  // Starts of this VM that hold a slot, and what they use.
  int busy = 0;
  int64_t busy_memory_mb = 0;
  int64_t busy_accelerators = 0;
  // Tasks of other VMs that the worker last reported, beyond what was lent.
  int foreign = 0;
  // Tasks that the worker itself last reported.
  int reported_running = 0;
  std::map<std::string, LentSlots> lent;
  OutlierState outlier;
  // Another VM is to hold the lease: nothing new is started here.
  bool released = false;
  // The next renewal gets a new epoch, which fences starts still on their way.
  bool renew_epoch = false;
  // The newest epoch that the worker is known to have received.
  uint64_t confirmed_epoch = 0;
  // Lent by another domain, for tasks that may be repeated.
  bool idempotent_only = false;
  // A borrowed slot is given back at the first pause after this time.
  Micros borrowed_until = 0;
  // Place in the index of free workers.
  uint64_t rank = 0;
  bool indexed = false;
  int indexed_free = 0;

  int lent_total() const {
    int total = 0;
    for (const auto& [vm, part] : lent) {
      total += part.slots;
    }
    return total;
  }
  int free_slots() const { return slots - busy - foreign - lent_total(); }
  bool borrowed() const { return !lender.empty(); }
};

// Orders workers with free slots, the emptiest first.
struct FreeKey {
  int negative_free = 0;
  uint64_t rank = 0;
  Worker* worker = nullptr;

  friend auto operator<=>(const FreeKey&, const FreeKey&) = default;
};

// A start that holds a slot, until its answer arrives.
struct SlotUse {
  std::string worker;  // key in the worker table
  std::string submission_id;
  uint32_t index = 0;
  uint32_t attempt = 0;
  TaskShape shape;
  std::string team;
  std::string kind;
  uint64_t run_ms = 0;
  Micros started_at = 0;
};

// A neighbour's standing request for slots.
struct BorrowRequest {
  int slots = 0;
  TaskShape shape;
  int64_t priority = 0;
  Micros expires_at = 0;
};

// Owned by worker leases and borrowing.
struct WorkerTable {
  // By name; a borrowed worker's key is "name@lender".
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::set<FreeKey> free_plain;
  std::set<FreeKey> free_accelerated;
  // Keys of the workers that others lend.
  std::set<std::string> borrowed;
  // Starts that hold slots, by start key.
  std::unordered_map<std::string, SlotUse> uses;
  int leased_slots = 0;
  int free_slots = 0;
  uint64_t next_rank = 1;
  uint64_t max_lease_epoch = 0;
  Micros last_worker_seen = 0;
  std::map<std::string, BorrowRequest> borrowers;
  // What this VM asked of others, by VM.
  std::map<std::string, BorrowRequest> requests;
  size_t round_robin_next = 0;
};

// An announcement handed to the VM that holds the worker's lease.
struct ForwardedAnnouncement {
  ReplyToken token = kNoToken;
  AnnounceRequest request;
  std::string holder;
};

}  // namespace goldcrest

#endif  // GOLDCREST_WORKER_RECORD_H_
