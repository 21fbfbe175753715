#include "pool/workers/handover.h"

#include <algorithm>

#include "pool/entry/standby.h"
#include "pool/workers/start_bindings.h"
#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

// Part of its workers that an owner releases at a time: a released worker
// starts nothing until it is idle and its new owner has reconciled it. An entry
// daemon has few workers, and returns all of them in about a second.
constexpr size_t kEntryReleaseDivisor = 3;
constexpr size_t kControlReleaseDivisor = 10;
constexpr size_t kMinReleases = 2;
// After the start of a control daemon, a worker without a known owner is
// claimed when the other daemons have been asked for this long. They answer
// within milliseconds; this allows for a lost message.
constexpr Micros kOwnerQueryTime = 250 * kMillisecond;
// First review after the start: by then, daemons that run have exchanged
// heartbeats. With the time for queries, the earliest claim comes as long after
// the start as without `standby_after`.
constexpr Micros kFirstReview = 250 * kMillisecond;
// Entry daemons need up to 0.7 s to connect to a VM that was without power: the
// longest delay between two attempts, and the timeout of one that is not
// answered. A slow one needs longer.
constexpr Micros kConnectTime = 1500 * kMillisecond;

// Returns how many more workers may be released now.
size_t CountAllowedReleases(const PoolBoard& board) {
  const auto releasing = static_cast<size_t>(std::count_if(
      board.owned.begin(), board.owned.end(), [](const auto& entry) {
        return entry.second->session == SessionState::kReleasing;
      }));
  const size_t divisor = board.mesh.options.control ? kControlReleaseDivisor
                                                    : kEntryReleaseDivisor;
  const size_t allowed =
      std::max(kMinReleases, (board.owned.size() + divisor - 1) / divisor);
  return allowed - std::min(allowed, releasing);
}

size_t CountReadyWorkers(const PoolBoard& board) {
  return static_cast<size_t>(std::count_if(
      board.owned.begin(), board.owned.end(), [](const auto& entry) {
        return entry.second->session == SessionState::kReady;
      }));
}

bool IsEntryInOwnDomain(const PoolBoard& board, const MeshMember& member) {
  return !member.last_heartbeat.control() && member.incarnation != 0 &&
         member.last_heartbeat.failure_domain() ==
             board.mesh.options.failure_domain;
}

bool HasHeardEntryInOwnDomain(const PoolBoard& board) {
  return std::any_of(board.mesh.members.begin(), board.mesh.members.end(),
                     [&](const auto& entry) {
                       return IsEntryInOwnDomain(board, entry.second);
                     });
}

// Returns whether a message of the daemon at `address` has been received.
bool HasBeenHeard(const PoolBoard& board, const std::string& address) {
  const auto found = board.mesh.members.find(address);
  return found != board.mesh.members.end() &&
         found->second.last_received_at != 0;
}

}  // namespace

void HandOverInTurns(PoolBoard& board,
                     const std::string& from,
                     const wire::WorkerRequest& request,
                     Micros now,
                     PoolActions& actions) {
  std::vector<PoolWorker*> requested;
  for (const std::string& id : request.ids()) {
    const auto found = board.workers.find(id);
    if (found != board.workers.end()) {
      requested.push_back(&found->second);
    }
  }
  // Workers with few attempts are idle first.
  std::stable_sort(requested.begin(), requested.end(),
                   [](const PoolWorker* a, const PoolWorker* b) {
                     return a->attempts.size() < b->attempts.size();
                   });
  size_t allowed = CountAllowedReleases(board);
  size_t released = 0;
  // Sent before any release, which the new owner accepts only from a daemon
  // that it knows to be the owner.
  wire::PoolMessage answer;
  for (const PoolWorker* worker : requested) {
    *answer.mutable_worker_news()->add_workers() = worker->status;
  }
  if (answer.worker_news().workers_size() > 0) {
    SendTo(actions, from, std::move(answer));
  }
  for (PoolWorker* worker : requested) {
    const bool last_one =
        !board.waiting.empty() && CountReadyWorkers(board) == 1;
    if (worker->session == SessionState::kReady && allowed > 0 && !last_one &&
        !HasBoundWaitingTask(board, worker->status.id())) {
      --allowed;
      ++released;
      worker->session = SessionState::kReleasing;
      SessionTick(board, *worker, now, actions);
    }
  }
  if (released == 0) {
    return;
  }
  board.counters.handovers_begun += released;
  LogPoolEvent(actions, LogLevel::kInfo, "workers_released",
               {{"to", from},
                {"requested", std::to_string(requested.size())},
                {"released", std::to_string(released)},
                {"left", std::to_string(board.owned.size())}});
}

bool NamesPresentOwner(const PoolBoard& board,
                       const std::string& from,
                       const wire::WorkerNews& row) {
  if (row.owner().empty() || board.options.features.standby_after == 0) {
    return !row.owner().empty();
  }
  // A third daemon's copy may be older than the session of the present owner,
  // whatever token it names.
  return row.owner() != board.mesh.options.self && row.owner() == from;
}

bool ReportsRelease(const PoolBoard& board,
                    const std::string& from,
                    const wire::WorkerNews& row,
                    const PoolWorker& worker) {
  if (board.options.features.standby_after == 0 || !row.owner().empty()) {
    return false;
  }
  // After this daemon was refused by the worker, a third daemon's copy may be
  // older than the session of the present owner.
  if (worker.fenced_at != 0 && worker.status.owner() != from) {
    return false;
  }
  // A token that is not known here is that of a session that has begun and
  // ended since.
  return row.token() > worker.status.token() ||
         (row.token() == worker.status.token() &&
          worker.status.owner() == from);
}

bool IsOwnerReachable(const PoolBoard& board,
                      const std::string& owner,
                      Micros now) {
  const auto found = board.mesh.members.find(owner);
  const bool is_control = found != board.mesh.members.end() &&
                          found->second.last_heartbeat.control();
  return !(is_control && IsQuickStandby(board)) &&
         IsReachableByAny(board.mesh, owner, now);
}

bool IsOwnerQueryDue(const PoolBoard& board, PoolWorker& worker, Micros now) {
  const Micros since_start = now - board.started_at;
  if (board.options.features.standby_after == 0 ||
      !board.mesh.options.control || since_start > kConnectTime) {
    return false;
  }
  if (!HasHeardEntryInOwnDomain(board)) {
    return true;
  }
  if (worker.owner_queried_at == 0) {
    worker.owner_queried_at = now;
  }
  const std::string& owner = worker.status.owner();
  const bool owner_may_connect = !owner.empty() &&
                                 owner != board.mesh.options.self &&
                                 !HasBeenHeard(board, owner);
  return owner_may_connect || now - worker.owner_queried_at < kOwnerQueryTime;
}

Micros ReviewDelay(const PoolBoard& board) {
  return board.options.features.standby_after != 0 ? kFirstReview
                                                   : board.options.claim_delay;
}

bool ReceivesOwnerQueries(const PoolBoard& board, const MeshMember& member) {
  return member.last_heartbeat.control() ||
         (board.options.features.standby_after != 0 &&
          IsEntryInOwnDomain(board, member));
}

}  // namespace goldcrest
