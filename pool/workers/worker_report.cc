#include "pool/workers/worker_report.h"

#include <algorithm>

#include "pool/workers/process_claims.h"
#include "pool/workers/worker_loss.h"
#include "pool/workers/worker_session.h"
#include "pool/workers/worker_table.h"

namespace goldcrest {
namespace {

// The clocks of VMs and workers differ by less than this.
constexpr int64_t kMaxClockDifferenceMs = 3'600'000;

// Returns whether a report names a start time that has not come yet.
bool IsFromTheFuture(const PoolBoard& board, const wire::WorkerNews& report) {
  return report.born_ms() > board.wall_ms + kMaxClockDifferenceMs;
}

// A start time in the future counts as older than any other: else one malformed
// report would hide all sound reports of the worker.
bool IsNewerReport(const PoolBoard& board,
                   const wire::WorkerNews& report,
                   const wire::WorkerNews& known) {
  if (IsFromTheFuture(board, report) != IsFromTheFuture(board, known)) {
    return IsFromTheFuture(board, known);
  }
  return report.born_ms() != known.born_ms()
             ? report.born_ms() > known.born_ms()
             : report.sequence() > known.sequence();
}

bool DiffersInContent(const wire::WorkerNews& a, const wire::WorkerNews& b) {
  return a.address() != b.address() || a.leaving() != b.leaving() ||
         a.gone() != b.gone() || a.born_ms() != b.born_ms() ||
         a.cpu_millis() != b.cpu_millis() || a.memory_mb() != b.memory_mb() ||
         a.accelerators() != b.accelerators() || a.service() != b.service() ||
         !std::equal(a.labels().begin(), a.labels().end(), b.labels().begin(),
                     b.labels().end());
}

bool IsOfSameProcess(const wire::WorkerNews& a, const wire::WorkerNews& b) {
  return a.born_ms() == b.born_ms() && a.address() == b.address();
}

// A process that drains does so until it ends, so a report of that counts
// whatever its sequence: another writer's may be larger. Returns whether it
// changed anything.
bool ApplyLateDrain(PoolBoard& board,
                    PoolWorker& worker,
                    const wire::WorkerNews& report) {
  const bool drains = report.leaving() && !worker.status.leaving() &&
                      IsOfSameProcess(report, worker.status);
  if (drains) {
    worker.status.set_leaving(true);
    board.placement_due = true;
  }
  return drains;
}

// Copies everything but the owner and its token.
void CopyReport(const wire::WorkerNews& report, wire::WorkerNews& status) {
  const std::string owner = status.owner();
  const uint64_t token = status.token();
  const bool drains = status.leaving() && IsOfSameProcess(report, status);
  status = report;
  status.set_leaving(report.leaving() || drains);
  status.set_owner(owner);
  status.set_token(token);
}

// Keeps the largest capacity that a process of the worker has reported.
void RecordCapacity(PoolWorker& worker, bool new_process) {
  if (new_process) {
    worker.largest_capacity = {};
  }
  Resources& largest = worker.largest_capacity;
  largest.cpu_millis =
      std::max<int64_t>(largest.cpu_millis, worker.status.cpu_millis());
  largest.memory_mb =
      std::max<int64_t>(largest.memory_mb, worker.status.memory_mb());
  largest.accelerators =
      std::max<int64_t>(largest.accelerators, worker.status.accelerators());
}

// Claims the end of the workers that the reporting one has replaced: those at
// the same address that started earlier.
void ClaimEndOfReplaced(PoolBoard& board,
                        const wire::WorkerNews& report,
                        Micros now,
                        PoolActions& actions) {
  for (PoolWorker* other : WorkersAt(board, report.address())) {
    if (other->status.id() != report.id() && IsInPool(*other) &&
        other->status.born_ms() < report.born_ms()) {
      ClaimProcessEnd(board, *other, {ProcessEnd::kReplaced, std::nullopt, 0},
                      now, actions);
    }
  }
}

}  // namespace

void AdoptReport(PoolBoard& board,
                 PoolWorker& worker,
                 const wire::WorkerNews& report,
                 Micros now,
                 PoolActions& actions) {
  const bool is_new = worker.status.id().empty();
  const bool changed = is_new || DiffersInContent(report, worker.status);
  const bool new_process = is_new ||
                           report.born_ms() != worker.status.born_ms() ||
                           report.address() != worker.status.address();
  if (report.failure_domain() != worker.status.failure_domain()) {
    worker.preferred_owner_generation = 0;
  }
  RecordWorkerAddress(board, report.id(), worker.status.address(),
                      report.address());
  CopyReport(report, worker.status);
  RecordCapacity(worker, new_process || worker.unreported);
  worker.unreported = false;
  worker.last_received_at = now;
  if (!changed) {
    return;
  }
  ClaimEndOfReplaced(board, report, now, actions);
  LogPoolEvent(actions, LogLevel::kInfo, "worker_changed",
               {{"worker", report.id()},
                {"address", report.address()},
                {"service", report.service()},
                {"failure_domain", report.failure_domain()},
                {"leaving", report.leaving() ? "1" : "0"},
                {"gone", report.gone() ? "1" : "0"},
                {"born_ms", std::to_string(report.born_ms())},
                {"sequence", std::to_string(report.sequence())}});
  board.placement_due = true;
}

bool ApplyReport(PoolBoard& board,
                 const wire::WorkerNews& report,
                 Micros now,
                 PoolActions& actions) {
  const auto found = board.workers.find(report.id());
  const bool is_new = found == board.workers.end();
  PoolWorker& worker = board.workers[report.id()];
  if (!is_new && !IsNewerReport(board, report, worker.status)) {
    return ApplyLateDrain(board, worker, report);
  }
  const bool restarted = !is_new && report.born_ms() > worker.status.born_ms();
  const bool moved = !is_new && report.address() != worker.status.address();
  const bool claims_end = restarted || moved || report.gone();
  if (worker.session != SessionState::kNone && claims_end) {
    // A change of the address counts as a restart, also in the log.
    const ProcessEnd reason =
        report.gone() ? ProcessEnd::kGone : ProcessEnd::kRestarted;
    ClaimProcessEnd(board, worker, {reason, report, 0}, now, actions);
    return false;
  }
  const bool changed = is_new || DiffersInContent(report, worker.status);
  if (claims_end) {
    OnWorkerProcessLost(board, worker, restarted, now, actions);
    ForgetProcess(worker);
  }
  AdoptReport(board, worker, report, now, actions);
  return changed;
}

}  // namespace goldcrest
