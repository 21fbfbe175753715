#include "pool/workers/worker_table.h"

namespace goldcrest {
namespace {

constexpr Micros kForgetPeriod = kSecond;

void ForgetAddress(PoolBoard& board,
                   const std::string& id,
                   const std::string& address) {
  const auto found = board.worker_ids_at.find(address);
  if (found == board.worker_ids_at.end()) {
    return;
  }
  found->second.erase(id);
  if (found->second.empty()) {
    board.worker_ids_at.erase(found);
  }
}

bool MayForget(const PoolBoard& board, const PoolWorker& worker, Micros now) {
  return !IsInPool(worker) && worker.session == SessionState::kNone &&
         now - worker.last_received_at > board.options.forget_gone_after;
}

}  // namespace

void RecordWorkerAddress(PoolBoard& board,
                         const std::string& id,
                         const std::string& former_address,
                         const std::string& address) {
  if (former_address != address) {
    ForgetAddress(board, id, former_address);
  }
  board.worker_ids_at[address].insert(id);
}

bool MayKnowWorker(const PoolBoard& board, const std::string& id) {
  return board.workers.size() < board.options.max_known_workers ||
         board.workers.contains(id);
}

std::vector<PoolWorker*> WorkersAt(PoolBoard& board,
                                   const std::string& address) {
  std::vector<PoolWorker*> workers;
  const auto ids = board.worker_ids_at.find(address);
  if (ids == board.worker_ids_at.end()) {
    return workers;
  }
  for (const std::string& id : ids->second) {
    const auto worker = board.workers.find(id);
    if (worker != board.workers.end()) {
      workers.push_back(&worker->second);
    }
  }
  return workers;
}

void ForgetGoneWorkers(PoolBoard& board, Micros now) {
  if (now < board.forget_due) {
    return;
  }
  board.forget_due = now + kForgetPeriod;
  for (auto position = board.workers.begin();
       position != board.workers.end();) {
    const auto& [id, worker] = *position;
    if (!MayForget(board, worker, now)) {
      ++position;
      continue;
    }
    ForgetAddress(board, id, worker.status.address());
    position = board.workers.erase(position);
  }
}

}  // namespace goldcrest
