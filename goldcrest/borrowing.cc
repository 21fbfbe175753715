#include "goldcrest/borrowing.h"

#include <algorithm>
#include <utility>

#include "goldcrest/membership.h"
#include "goldcrest/placement.h"
#include "goldcrest/task_results.h"
#include "goldcrest/worker_table.h"

namespace goldcrest {
namespace {

// Most slots that one borrow request can ask for.
constexpr int kMaxSlotsRequested = 64;
// How long after its grant a borrowed slot may be used to start a task. When
// that task ends the slot is returned, so that urgent tasks of the lender get
// it first.
constexpr Micros kBorrowTime = 20 * kMillisecond;
// How long a borrower may use a lent worker without a new grant from the
// lender.
constexpr Micros kBorrowedLease = kSecond;
// Time after which the lender ends a loan that was not returned: either the
// grant or the return was lost, or a long task runs on the slot, which the
// worker itself reports. The timeout is longer than kBorrowedLease, after which
// the borrower starts nothing more on the worker without a new grant.
constexpr Micros kLoanTimeout = 2 * kSecond;

// Most ready lanes that are searched for a task that may run in another domain.
constexpr int kMaxLanesTriedForOtherDomain = 8;

// Whether a VM is in this VM's failure domain or in another one.
enum class PeerDomain { kOwn, kOther };

PeerDomain DomainOf(const Blackboard& bb, const std::string& vm) {
  const EntryVm* peer = bb.deployment.Find(vm);
  return peer->failure_domain == bb.deployment.failure_domain
             ? PeerDomain::kOwn
             : PeerDomain::kOther;
}

// Returns how many of `slots` slots a VM reserves for its own domain: a
// quarter.
int ReservedForOwnDomain(int slots) {
  return slots / 4;
}

// Returns the reachable VM of `domain` that can lend the most slots by its last
// report, or an empty name if there is none. A VM of another domain must have
// more free slots than it reserves for its own domain. A VM of this domain is
// returned even without free slots, as it keeps the request for
// `borrow_request_ttl`.
std::string BestLender(const Blackboard& bb, PeerDomain domain) {
  std::string best;
  int best_spare = -1;
  for (const auto& [vm, peer] : bb.membership.peers) {
    const bool other_domain = domain == PeerDomain::kOther;
    const int min_free_to_lend =
        other_domain ? ReservedForOwnDomain(peer.slots) + 1 : 0;
    const int spare = peer.free_slots - min_free_to_lend;
    // DomainOf() comes last, because it searches the list of VMs.
    if (spare > best_spare && peer.reachable && !peer.draining &&
        peer.slots > 0 && DomainOf(bb, vm) == domain) {
      best = vm;
      best_spare = spare;
    }
  }
  return best;
}

const QueuedTask* HeadOfQueue(const Blackboard& bb) {
  if (bb.queue.ready.empty()) {
    return nullptr;
  }
  return &bb.queue.ready.begin()->lane->tasks.begin()->second;
}

void SendRequest(Blackboard& bb,
                 const std::string& vm,
                 const BorrowRequest& request,
                 Actions& actions) {
  wire::PeerMessage message;
  wire::BorrowSlots* body = message.mutable_borrow_slots();
  body->set_slots(static_cast<uint32_t>(request.slots));
  body->set_memory_mb(request.shape.memory_mb);
  body->set_accelerators(request.shape.accelerators);
  body->set_priority(static_cast<uint32_t>(request.priority));
  ++bb.counters.borrow_requests;
  SendToPeer(bb, vm, std::move(message), actions);
}

// Returns true if a pending request to a VM of `domain` has `priority` or a
// more urgent one.
bool HasPendingRequest(const Blackboard& bb,
                       PeerDomain domain,
                       int64_t priority) {
  return std::any_of(bb.workers.sent_borrow_requests.begin(),
                     bb.workers.sent_borrow_requests.end(),
                     [&](const auto& entry) {
                       return DomainOf(bb, entry.first) == domain &&
                              entry.second.priority <= priority;
                     });
}

// Requests as many slots as there are queued tasks, at most kMaxSlotsRequested,
// from the best lender of `domain`, on workers that have the resources of
// `task`. Does nothing if a pending request has the priority of `task` or a
// more urgent one.
void RequestFrom(Blackboard& bb,
                 PeerDomain domain,
                 const QueuedTask& task,
                 StepTime now,
                 Actions& actions) {
  const Job& job = *task.job;
  if (HasPendingRequest(bb, domain, job.kind.priority)) {
    return;
  }
  const std::string lender = BestLender(bb, domain);
  if (lender.empty()) {
    return;
  }
  BorrowRequest request;
  request.slots = static_cast<int>(
      std::min<size_t>(bb.queue.queued_tasks, kMaxSlotsRequested));
  request.shape = ShapeOf(job.submission.tasks(static_cast<int>(task.index)));
  request.priority = job.kind.priority;
  request.expires_at = now.mono + bb.tuning.borrow_request_ttl;
  bb.workers.sent_borrow_requests[lender] = request;
  SendRequest(bb, lender, request, actions);
}

// Returns the first queued task that may run on a worker of another domain, or
// null. A non-idempotent task stays in its home domain, where a network
// partition between domains can't separate it from its answer, unless the home
// domain has no worker.
const QueuedTask* FirstTaskForOtherDomain(const Blackboard& bb) {
  int tried = 0;
  for (const ReadyKey& key : bb.queue.ready) {
    const QueuedTask& head = key.lane->tasks.begin()->second;
    if (head.job->kind.idempotent || CapacitySlots(bb) == 0) {
      return &head;
    }
    if (++tried >= kMaxLanesTriedForOtherDomain) {
      break;
    }
  }
  return nullptr;
}

void WithdrawRequests(Blackboard& bb, StepTime now, Actions& actions) {
  for (const auto& [vm, request] : bb.workers.sent_borrow_requests) {
    if (request.expires_at > now.mono && request.slots > 0) {
      SendRequest(bb, vm, BorrowRequest(), actions);
    }
  }
  bb.workers.sent_borrow_requests.clear();
}

// Returns true if the other VM's request is more urgent than this VM's queue.
bool PrecedesOwnQueue(const Blackboard& bb, const BorrowRequest& request) {
  const QueuedTask* head = HeadOfQueue(bb);
  return head == nullptr || request.priority < head->job->kind.priority;
}

bool CanLend(const Worker& worker, const BorrowRequest& request, StepTime now) {
  return !worker.borrowed() && IsUsable(worker) && worker.free_slots() > 0 &&
         !worker.outlier.probation && worker.lease_until > now.mono &&
         worker.memory_mb - worker.occupied_memory_mb >=
             request.shape.memory_mb &&
         worker.accelerators - worker.occupied_accelerators >=
             request.shape.accelerators;
}

void Lend(Blackboard& bb,
          const std::string& vm,
          Worker& worker,
          int slots,
          StepTime now,
          Actions& actions) {
  LentSlots& lent = worker.lent[vm];
  lent.slots += slots;
  lent.expires_at = now.mono + kLoanTimeout;
  ReindexWorker(bb, worker);
  bb.counters.borrowed_slots += static_cast<uint64_t>(slots);
  wire::PeerMessage message;
  wire::SlotGrant* grant = message.mutable_slot_grant();
  grant->set_worker(worker.name);
  grant->set_address(worker.address);
  grant->set_rack(worker.rack);
  grant->set_lease_epoch(worker.lease_epoch);
  grant->set_slots(static_cast<uint32_t>(slots));
  grant->set_memory_mb(static_cast<uint32_t>(worker.memory_mb));
  grant->set_accelerators(static_cast<uint32_t>(worker.accelerators));
  grant->set_incarnation(worker.incarnation);
  SendToPeer(bb, vm, std::move(message), actions);
}

void ServeBorrower(Blackboard& bb,
                   const std::string& vm,
                   BorrowRequest& request,
                   StepTime now,
                   Actions& actions) {
  std::vector<Worker*> lendable;
  for (const std::set<FreeWorkerKey>* index :
       {&bb.workers.free_plain, &bb.workers.free_accelerated}) {
    for (const FreeWorkerKey& key : *index) {
      if (CanLend(*key.worker, request, now)) {
        lendable.push_back(key.worker);
      }
    }
  }
  const int reserved_for_domain =
      DomainOf(bb, vm) == PeerDomain::kOwn
          ? 0
          : ReservedForOwnDomain(bb.workers.leased_slots);
  const int reserved =
      std::max(reserved_for_domain, ReservedSlots(bb, request.priority));
  for (Worker* worker : lendable) {
    const int spare = bb.workers.free_slots - reserved;
    if (request.slots <= 0 || spare <= 0) {
      return;
    }
    const int slots = std::min({request.slots, worker->free_slots(), spare});
    request.slots -= slots;
    Lend(bb, vm, *worker, slots, now, actions);
  }
}

void SendReturn(Blackboard& bb,
                const Worker& worker,
                int slots,
                Actions& actions) {
  wire::PeerMessage message;
  wire::SlotReturn* slot_return = message.mutable_slot_return();
  slot_return->set_worker(worker.name);
  slot_return->set_lease_epoch(worker.lease_epoch);
  slot_return->set_slots(static_cast<uint32_t>(slots));
  SendToPeer(bb, worker.lender, std::move(message), actions);
}

}  // namespace

void UpdateBorrowRequests(Blackboard& bb, StepTime now, Actions& actions) {
  const QueuedTask* head = HeadOfQueue(bb);
  if (head == nullptr) {
    if (!bb.workers.sent_borrow_requests.empty()) {
      WithdrawRequests(bb, now, actions);
    }
    return;
  }
  if (!HoldsServingLease(bb, now)) {
    return;
  }
  std::erase_if(bb.workers.sent_borrow_requests, [&](const auto& entry) {
    return entry.second.expires_at <= now.mono || entry.second.slots <= 0;
  });
  RequestFrom(bb, PeerDomain::kOwn, *head, now, actions);
  if (const QueuedTask* task = FirstTaskForOtherDomain(bb)) {
    RequestFrom(bb, PeerDomain::kOther, *task, now, actions);
  }
}

void ServeBorrowers(Blackboard& bb, StepTime now, Actions& actions) {
  for (auto it = bb.workers.received_borrow_requests.begin();
       it != bb.workers.received_borrow_requests.end();) {
    auto& [vm, request] = *it;
    if (bb.workers.free_slots > 0 && PrecedesOwnQueue(bb, request)) {
      ServeBorrower(bb, vm, request, now, actions);
    }
    const bool ended = request.slots <= 0 || request.expires_at <= now.mono;
    it = ended ? bb.workers.received_borrow_requests.erase(it) : std::next(it);
  }
}

void ReturnIdleSlots(Blackboard& bb, bool all, StepTime now, Actions& actions) {
  std::vector<std::string> empty;
  for (const std::string& key : bb.workers.borrowed) {
    Worker* worker = FindWorker(bb, key);
    const int free = worker->free_slots();
    const bool borrow_time_over = worker->borrowed_until <= now.mono;
    if (free > 0 && (borrow_time_over || worker->released || all)) {
      worker->slots -= free;
      ReindexWorker(bb, *worker);
      SendReturn(bb, *worker, free, actions);
    }
    if (worker->slots <= 0 && worker->occupied_slots == 0) {
      empty.push_back(key);
    }
  }
  for (const std::string& key : empty) {
    RemoveWorker(bb, key);
  }
}

void OnBorrowSlots(Blackboard& bb,
                   const std::string& from,
                   const wire::BorrowSlots& request,
                   StepTime now) {
  if (request.slots() == 0) {
    bb.workers.received_borrow_requests.erase(from);
    return;
  }
  BorrowRequest& pending = bb.workers.received_borrow_requests[from];
  pending.slots =
      static_cast<int>(std::min<uint32_t>(request.slots(), kMaxSlotsRequested));
  pending.shape = {request.memory_mb(), request.accelerators()};
  pending.priority = request.priority();
  pending.expires_at = now.mono + bb.tuning.borrow_request_ttl;
  bb.placement_due = true;
}

void OnSlotGrant(Blackboard& bb,
                 const std::string& from,
                 const wire::SlotGrant& grant,
                 StepTime now,
                 Actions& actions) {
  const std::string key = grant.worker() + "@" + from;
  Worker* worker = FindWorker(bb, key);
  if (grant.recall()) {
    if (worker != nullptr) {
      worker->released = true;
      ReindexWorker(bb, *worker);
      bb.placement_due = true;
    }
    if (grant.lost()) {
      HandleUnansweredAttempts(bb, key, now, actions);
    }
    return;
  }
  if (worker == nullptr) {
    Worker added;
    added.name = grant.worker();
    added.lender = from;
    added.accelerators = grant.accelerators();
    added.lease_until = now.mono + kBorrowedLease;
    worker = &AddWorker(bb, std::move(added));
  }
  worker->address = grant.address();
  worker->rack = grant.rack();
  worker->failure_domain = bb.deployment.Find(from)->failure_domain;
  worker->lease_epoch = grant.lease_epoch();
  worker->incarnation = grant.incarnation();
  worker->memory_mb = grant.memory_mb();
  worker->idempotent_only =
      DomainOf(bb, from) == PeerDomain::kOther && CapacitySlots(bb) > 0;
  worker->released = false;
  worker->slots += static_cast<int>(grant.slots());
  worker->lease_until = now.mono + kBorrowedLease;
  worker->borrowed_until = now.mono + kBorrowTime;
  ReindexWorker(bb, *worker);
  // If the request has been withdrawn, this adds an entry without slots, which
  // UpdateBorrowRequests() removes.
  BorrowRequest& sent_request = bb.workers.sent_borrow_requests[from];
  sent_request.slots -= static_cast<int>(grant.slots());
  bb.placement_due = true;
}

void OnSlotReturn(Blackboard& bb,
                  const std::string& from,
                  const wire::SlotReturn& slot_return) {
  Worker* worker = FindWorker(bb, slot_return.worker());
  if (worker == nullptr) {
    return;
  }
  const auto lent = worker->lent.find(from);
  if (lent == worker->lent.end()) {
    return;
  }
  lent->second.slots -= static_cast<int>(slot_return.slots());
  if (lent->second.slots <= 0) {
    worker->lent.erase(lent);
  }
  ReindexWorker(bb, *worker);
  bb.placement_due = true;
}

void RecallSlots(Blackboard& bb,
                 Worker& worker,
                 bool worker_lost,
                 Actions& actions) {
  for (const auto& [vm, slots] : worker.lent) {
    wire::PeerMessage message;
    message.mutable_slot_grant()->set_worker(worker.name);
    message.mutable_slot_grant()->set_recall(true);
    message.mutable_slot_grant()->set_lost(worker_lost);
    SendToPeer(bb, vm, std::move(message), actions);
  }
  worker.lent.clear();
  ReindexWorker(bb, worker);
}

void ExpireLoans(Blackboard& bb, StepTime now) {
  for (auto& [key, worker] : bb.workers.workers) {
    const int before = worker->lent_total();
    std::erase_if(worker->lent, [&](const auto& entry) {
      return entry.second.expires_at <= now.mono;
    });
    // The slots of an ended loan count as occupied until the worker's next
    // report, which lists the tasks that still run on them.
    worker->foreign_tasks += before - worker->lent_total();
  }
}

void DropLoansWith(Blackboard& bb, const std::string& vm) {
  bb.workers.received_borrow_requests.erase(vm);
  bb.workers.sent_borrow_requests.erase(vm);
  for (auto& [key, worker] : bb.workers.workers) {
    if (worker->lent.erase(vm) > 0) {
      ReindexWorker(bb, *worker);
    }
    if (worker->lender == vm) {
      worker->released = true;
      ReindexWorker(bb, *worker);
    }
  }
}

}  // namespace goldcrest
