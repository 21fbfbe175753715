#include "goldcrest/worker_table.h"

#include <algorithm>
#include <utility>

namespace goldcrest {
namespace {

std::set<FreeWorkerKey>& IndexOf(Blackboard& bb, const Worker& worker) {
  return worker.accelerators > 0 ? bb.workers.free_accelerated
                                 : bb.workers.free_plain;
}

void Unindex(Blackboard& bb, Worker& worker) {
  if (!worker.indexed) {
    return;
  }
  IndexOf(bb, worker).erase({-worker.indexed_free, worker.rank, &worker});
  bb.workers.free_slots -= worker.indexed_free;
  worker.indexed = false;
}

}  // namespace

std::string WorkerKey(const Worker& worker) {
  return worker.borrowed() ? worker.name + "@" + worker.lender : worker.name;
}

Worker* FindWorker(Blackboard& bb, const std::string& key) {
  const auto found = bb.workers.workers.find(key);
  return found == bb.workers.workers.end() ? nullptr : found->second.get();
}

Worker& AddWorker(Blackboard& bb, Worker worker) {
  worker.rank = bb.workers.next_rank++;
  worker.indexed = false;
  const std::string key = WorkerKey(worker);
  if (worker.borrowed()) {
    bb.workers.borrowed.insert(key);
  }
  std::unique_ptr<Worker>& entry = bb.workers.workers[key];
  entry = std::make_unique<Worker>(std::move(worker));
  ReindexWorker(bb, *entry);
  return *entry;
}

bool IsUsable(const Worker& worker) {
  return !worker.leaving && !worker.released &&
         worker.outlier.ejected_until == 0;
}

void ReindexWorker(Blackboard& bb, Worker& worker) {
  Unindex(bb, worker);
  const int free = worker.free_slots();
  const bool usable = IsUsable(worker) ||
                      (IsDisabled(bb, DisabledMechanism::kUseLeavingWorkers) &&
                       worker.leaving && !worker.released);
  if (free <= 0 || !usable) {
    return;
  }
  IndexOf(bb, worker).insert({-free, worker.rank, &worker});
  bb.workers.free_slots += free;
  worker.indexed = true;
  worker.indexed_free = free;
  bb.placement_due = true;
}

void RemoveWorker(Blackboard& bb, const std::string& key) {
  Worker* worker = FindWorker(bb, key);
  if (worker == nullptr) {
    return;
  }
  Unindex(bb, *worker);
  if (!worker->borrowed()) {
    bb.workers.leased_slots -= worker->slots;
  }
  bb.workers.borrowed.erase(key);
  bb.workers.workers.erase(key);
}

int CountFreeSlots(const Blackboard& bb) {
  int free = 0;
  for (const auto& [key, worker] : bb.workers.workers) {
    free += IsUsable(*worker) ? std::max(0, worker->free_slots()) : 0;
  }
  return free;
}

}  // namespace goldcrest
