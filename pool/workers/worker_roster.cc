#include "pool/workers/worker_roster.h"

#include <algorithm>
#include <limits>

#include "goldcrest/digest.h"
#include "pool/entry/standby.h"
#include "pool/workers/handover.h"
#include "pool/workers/process_claims.h"
#include "pool/workers/run_ends.h"
#include "pool/workers/worker_ownership.h"
#include "pool/workers/worker_record.h"
#include "pool/workers/worker_report.h"
#include "pool/workers/worker_session.h"
#include "pool/workers/worker_table.h"

namespace goldcrest {
namespace {

// Applies the owner named in an update if the update's token is higher than the
// known one, or equal and the update says that there is no owner. While this
// daemon has a session, the token must also be higher than the session's.
void ApplyOwner(PoolBoard& board,
                const wire::WorkerNews& row,
                PoolWorker& worker,
                Micros now) {
  const bool newer =
      row.token() > worker.status.token() ||
      (row.token() == worker.status.token() && row.owner().empty());
  const bool owned_here = worker.session != SessionState::kNone;
  if (!newer || (owned_here && row.token() <= worker.token)) {
    return;
  }
  worker.status.set_owner(row.owner());
  worker.status.set_token(row.token());
  if (row.owner().empty()) {
    board.ownership_due = now;  // it has been handed over
  }
}

// Clears the recorded owner of a worker if that daemon sends an update which
// does not name it as the owner: it has restarted and lost its sessions, and
// may not know the token under which it owned the worker.
void ApplyDenial(PoolBoard& board,
                 const std::string& from,
                 const wire::WorkerNews& row,
                 PoolWorker& worker,
                 Micros now) {
  const std::string& owner = worker.status.owner();
  if (from.empty() || owner != from || row.owner() == from) {
    return;
  }
  worker.status.clear_owner();
  board.ownership_due = now;
}

// Other daemons may name this daemon as the owner of workers that it owned in
// an earlier incarnation. It denies that, since otherwise nobody would claim
// them.
void DenyOwnership(PoolBoard& board,
                   PoolWorker& worker,
                   Micros now,
                   PoolActions& actions) {
  if (worker.session != SessionState::kNone ||
      worker.status.owner() != board.mesh.options.self) {
    return;
  }
  LogPoolEvent(actions, LogLevel::kInfo, "ownership_denied",
               {{"worker", worker.status.id()},
                {"token", std::to_string(worker.status.token())}});
  worker.status.clear_owner();
  board.ownership_due = now;
  AnnounceWorker(board, worker, now, actions);
}

// Adopts the owner's report of the state of its worker, which it has asked,
// over a report that was not confirmed.
void AdoptOwnersReport(PoolBoard& board,
                       const std::string& from,
                       const wire::WorkerNews& row,
                       PoolWorker& worker,
                       Micros now,
                       PoolActions& actions) {
  const bool from_owner = row.owner() == from && !row.gone() &&
                          row.token() >= worker.status.token();
  const bool differs = worker.status.gone() ||
                       row.born_ms() < worker.status.born_ms() ||
                       (row.born_ms() == worker.status.born_ms() &&
                        row.address() != worker.status.address());
  if (from_owner && differs && worker.session == SessionState::kNone) {
    AdoptReport(board, worker, row, now, actions);
  }
}

}  // namespace

bool ReceivesUpdatesOf(const MeshMember& member,
                       const wire::WorkerNews& worker) {
  return member.last_heartbeat.control() ||
         (member.incarnation != 0 &&
          member.last_heartbeat.failure_domain() == worker.failure_domain());
}

void OnWorkerReport(PoolBoard& board,
                    const wire::WorkerNews& report,
                    Micros now,
                    PoolActions& actions) {
  if (!MayKnowWorker(board, report.id())) {
    ++board.counters.workers_refused;
    LogPoolEvent(actions, LogLevel::kWarning, "worker_refused",
                 {{"worker", report.id()},
                  {"known", std::to_string(board.workers.size())}});
    return;
  }
  const bool changed = ApplyReport(board, report, now, actions);
  PoolWorker& worker = board.workers[report.id()];
  worker.last_received_at = now;
  if (changed) {
    AnnounceWorker(board, worker, now, actions);
    board.ownership_due = now;
    return;
  }
  // An unchanged report is passed on only to the owner, whose timeout for the
  // worker's reports it restarts, or if there is none to the preferred owner.
  const std::string owner = worker.status.owner().empty()
                                ? PreferredOwner(board, worker)
                                : worker.status.owner();
  if (!owner.empty() && owner != board.mesh.options.self) {
    wire::PoolMessage message;
    *message.mutable_worker_news()->add_workers() =
        ProfileOf(board, worker, now);
    SendTo(actions, owner, std::move(message));
  }
}

void OnWorkerLeft(PoolBoard& board,
                  const std::string& id,
                  Micros now,
                  PoolActions& actions) {
  const auto found = board.workers.find(id);
  if (found == board.workers.end() || !IsInPool(found->second)) {
    return;
  }
  ClaimProcessEnd(board, found->second, {ProcessEnd::kLeft, std::nullopt, 0},
                  now, actions);
}

void OnWorkerUpdate(PoolBoard& board,
                    const std::string& from,
                    const wire::WorkerTableNews& update,
                    Micros now,
                    PoolActions& actions) {
  for (const wire::WorkerNews& row : update.workers()) {
    if (!MayKnowWorker(board, row.id())) {
      ++board.counters.workers_refused;
      continue;
    }
    ApplyReport(board, row, now, actions);
    PoolWorker& worker = board.workers[row.id()];
    if (row.born_ms() == worker.status.born_ms()) {
      worker.last_received_at = now;
      if (row.gone() && IsInPool(worker) &&
          row.sequence() >= worker.status.sequence()) {
        ClaimProcessEnd(board, worker, {ProcessEnd::kGone, std::nullopt, 0},
                        now, actions);
      }
    }
    AdoptOwnersReport(board, from, row, worker, now, actions);
    if (NamesPresentOwner(board, from, row)) {
      worker.fenced_at = 0;
    }
    if (ReportsRelease(board, from, row, worker)) {
      worker.fenced_at = 0;
      worker.claim_after = 0;
    }
    AdoptProfile(board, from, row, worker, now);
    ApplyOwner(board, row, worker, now);
    ApplyDenial(board, from, row, worker, now);
    DenyOwnership(board, worker, now, actions);
  }
}

void AnnounceWorker(PoolBoard& board,
                    const PoolWorker& worker,
                    Micros now,
                    PoolActions& actions) {
  for (const auto& [address, member] : board.mesh.members) {
    if (!ReceivesUpdatesOf(member, worker.status) ||
        !IsPeerReachable(board.mesh, address, now)) {
      continue;
    }
    wire::PoolMessage message;
    *message.mutable_worker_news()->add_workers() =
        ProfileOf(board, worker, now);
    SendTo(actions, address, std::move(message));
  }
}

void SendWorkerTable(PoolBoard& board,
                     const std::string& to,
                     Micros now,
                     PoolActions& actions) {
  wire::PoolMessage message;
  const auto member = board.mesh.members.find(to);
  for (const auto& [id, worker] : board.workers) {
    if (IsInPool(worker) && member != board.mesh.members.end() &&
        ReceivesUpdatesOf(member->second, worker.status)) {
      *message.mutable_worker_news()->add_workers() =
          ProfileOf(board, worker, now);
    }
  }
  if (message.worker_news().workers_size() > 0) {
    SendTo(actions, to, std::move(message));
  }
}

std::string ReportAddress(const PoolBoard& board,
                          const std::string& worker_id,
                          Micros now) {
  const auto found = board.workers.find(worker_id);
  if (found == board.workers.end()) {
    return "";
  }
  const std::string& owner = found->second.status.owner();
  if (owner == board.mesh.options.self) {
    return board.mesh.options.control_address;
  }
  const auto member = board.mesh.members.find(owner);
  return member != board.mesh.members.end() &&
                 IsPeerReachable(board.mesh, owner, now)
             ? member->second.last_heartbeat.control_address()
             : "";
}

}  // namespace goldcrest
