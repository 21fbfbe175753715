#ifndef GOLDCREST_WORKER_RECORD_H_
#define GOLDCREST_WORKER_RECORD_H_

// State of the workers whose slots this VM may use, of the attempts that occupy
// slots, and of lent and borrowed slots. Plain data on the blackboard, written
// by worker leases, borrowing, placement and outlier detection.

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

// Failure statistics of a worker. Written by outlier detection.
struct OutlierState {
  int failures_in_row = 0;
  int ejections = 0;
  Micros ejected_until = 0;
  // Set after an ejection: the worker gets one idempotent task at a time until
  // one succeeds.
  bool probation = false;
};

// Slots of one worker that are lent to one VM.
struct LentSlots {
  int slots = 0;
  Micros expires_at = 0;
};

// A worker whose slots this VM may use, because this VM holds its lease or
// another VM lends the slots.
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
  // When the worker's lease or, for a borrowed worker, the right to use it
  // expires.
  Micros lease_until = 0;
  // The VM that lends the slots; empty if this VM holds the lease.
  std::string lender;
  // Slots occupied by attempts of this VM, and the memory and accelerators that
  // those use.
  int occupied_slots = 0;
  int64_t occupied_memory_mb = 0;
  int64_t occupied_accelerators = 0;
  // Tasks of other VMs on this worker beyond the lent slots, by its last
  // report.
  int foreign_tasks = 0;
  // Number of running tasks in the worker's last report.
  int reported_running = 0;
  // Slots lent to other VMs, by VM.
  std::map<std::string, LentSlots> lent;
  OutlierState outlier;
  // Whether this VM has released the worker, so that another VM can hold its
  // lease. No new tasks are started on it.
  bool released = false;
  // Whether the next lease renewal gets a new epoch, so that the worker rejects
  // start requests of an older epoch that are still in transit.
  bool needs_new_epoch = false;
  // The newest lease epoch that the worker is known to have received.
  uint64_t confirmed_epoch = 0;
  // Whether only idempotent tasks may use the slots, because another domain
  // lends them. Not set if this domain had no slots when they were
  // lent.
  bool idempotent_only = false;
  // A borrowed slot that is free after this time is returned to its lender.
  Micros borrowed_until = 0;
  // Position in the index of free workers: `rank` breaks ties between workers
  // with equal free slots; `indexed_free` is the value under which the worker
  // is indexed.
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
  int free_slots() const {
    return slots - occupied_slots - foreign_tasks - lent_total();
  }
  bool borrowed() const { return !lender.empty(); }
};

// Order of the index of workers with free slots, most free slots first.
struct FreeWorkerKey {
  int negative_free = 0;
  uint64_t rank = 0;
  Worker* worker = nullptr;

  friend auto operator<=>(const FreeWorkerKey&, const FreeWorkerKey&) = default;
};

// An attempt that occupies a slot until its answer arrives.
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

// A VM's request to borrow slots of another VM, valid until `expires_at`.
struct BorrowRequest {
  int slots = 0;
  TaskShape shape;
  int64_t priority = 0;
  Micros expires_at = 0;
};

// All workers of this VM and their indexes.
struct WorkerTable {
  // By name; a borrowed worker's key is "name@lender".
  std::map<std::string, std::unique_ptr<Worker>> workers;
  // Workers with free slots, without and with accelerators.
  std::set<FreeWorkerKey> free_plain;
  std::set<FreeWorkerKey> free_accelerated;
  // Keys of the workers that other VMs lend to this one.
  std::set<std::string> borrowed;
  // Attempts that occupy slots, by attempt key.
  std::unordered_map<std::string, SlotUse> slot_uses;
  // Slots of the workers whose lease this VM holds.
  int leased_slots = 0;
  // Free slots of the indexed workers, borrowed ones included.
  int free_slots = 0;
  uint64_t next_rank = 1;
  // The highest worker lease epoch that this VM has assigned or received in a
  // heartbeat.
  uint64_t max_lease_epoch = 0;
  Micros last_worker_seen_at = 0;
  // Borrow requests received from other VMs, by VM.
  std::map<std::string, BorrowRequest> received_borrow_requests;
  // Borrow requests that this VM has sent, by receiving VM.
  std::map<std::string, BorrowRequest> sent_borrow_requests;
  size_t round_robin_next = 0;
};

// A worker's announcement that was forwarded to the VM that holds its lease.
struct ForwardedAnnouncement {
  ReplyToken token = kNoToken;
  AnnounceRequest request;
  std::string holder;
};

}  // namespace goldcrest

#endif  // GOLDCREST_WORKER_RECORD_H_
