#include "pool/workers/process_claims.h"

#include <utility>

#include "pool/workers/crash_news.h"
#include "pool/workers/run_ends.h"
#include "pool/workers/worker_lease.h"
#include "pool/workers/worker_loss.h"
#include "pool/workers/worker_report.h"
#include "pool/workers/worker_roster.h"
#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

void LogClaim(const PoolWorker& worker,
              const char* event,
              const ProcessClaim& claim,
              PoolActions& actions) {
  LogPoolEvent(
      actions, LogLevel::kInfo, event,
      {{"worker", worker.status.id()},
       {"reason", std::string(ToString(claim.reason))},
       {"address", worker.status.address()},
       {"born_ms", std::to_string(worker.status.born_ms())},
       {"claimed_address", claim.report ? claim.report->address() : ""},
       {"claimed_born_ms",
        std::to_string(claim.report ? claim.report->born_ms() : 0)},
       {"runs", std::to_string(worker.attempts.size())}});
}

// Records what the claim says. The worker has no session.
void Record(PoolBoard& board,
            PoolWorker& worker,
            const ProcessClaim& claim,
            Micros now,
            PoolActions& actions) {
  if (claim.report) {
    AdoptReport(board, worker, *claim.report, now, actions);
  } else {
    worker.status.set_gone(true);
  }
}

// Whether both claims are about the same process.
bool IsSameClaim(const ProcessClaim& a, const ProcessClaim& b) {
  return a.reason == b.reason && a.report.has_value() == b.report.has_value() &&
         (!a.report || (a.report->born_ms() == b.report->born_ms() &&
                        a.report->address() == b.report->address()));
}

// Makes the process that has answered the worker's present one, and forgets
// what was learned of its predecessor.
void AdoptProcess(PoolBoard& board,
                  PoolWorker& worker,
                  const WorkerAnswer& answer,
                  Micros now,
                  PoolActions& actions) {
  const bool later = answer.worker_started_ms > worker.status.born_ms();
  if (later) {
    OnWorkerProcessLost(board, worker, true, now, actions);
  }
  EndRunsOfEarlierProcess(board, worker, answer, now, actions);
  ForgetProcess(worker);
  worker.status.set_born_ms(answer.worker_started_ms);
  worker.status.set_sequence(0);
  worker.unreported = true;
  // It may have carried out orders for its predecessor.
  worker.lease_expires_at =
      std::max(worker.lease_expires_at, LongestLeaseEnd(board.options, now));
  worker.clock_ms = answer.clock_ms;
  worker.clock_at = now;
  LogPoolEvent(actions, LogLevel::kInfo, "worker_process_changed",
               {{"worker", worker.status.id()},
                {"born_ms", std::to_string(answer.worker_started_ms)},
                {"runs", std::to_string(worker.attempts.size())}});
}

}  // namespace

void ClaimProcessEnd(PoolBoard& board,
                     PoolWorker& worker,
                     ProcessClaim claim,
                     Micros now,
                     PoolActions& actions) {
  if (worker.session == SessionState::kNone) {
    const bool new_process = claim.reason == ProcessEnd::kRestarted ||
                             claim.reason == ProcessEnd::kReplaced;
    // Other daemons count its crash, too, until it has a successor.
    OnWorkerProcessLost(board, worker, new_process, now, actions);
    Record(board, worker, claim, now, actions);
    // Reports reach all daemons; if each passed on what it concludes, one
    // worker that replaces another would cost the square of their number in
    // messages. Only this daemon has received the worker's own call.
    if (claim.reason == ProcessEnd::kLeft) {
      AnnounceWorker(board, worker, now, actions);
    }
    return;
  }
  const bool is_known = worker.claim && IsSameClaim(*worker.claim, claim);
  claim.made_at = is_known ? worker.claim->made_at : now;
  worker.claim = std::move(claim);
  if (is_known) {
    return;
  }
  LogClaim(worker, "process_end_claimed", *worker.claim, actions);
  ReconcileWorker(board, worker, "process_end_claimed", now, actions);
}

void OnProcessListed(PoolBoard& board,
                     PoolWorker& worker,
                     const WorkerAnswer& list,
                     Micros now,
                     PoolActions& actions) {
  const std::optional<ProcessClaim> claim =
      std::exchange(worker.claim, std::nullopt);
  const int64_t born_ms = list.worker_started_ms;
  const bool other_process = born_ms != 0 && worker.status.born_ms() != 0 &&
                             born_ms != worker.status.born_ms();
  if (other_process) {
    AdoptProcess(board, worker, list, now, actions);
  }
  if (born_ms != 0) {
    OnLaterProcessAnswered(board, worker.status.address(), born_ms, now,
                           actions);
    OnProcessAlive(board, {worker.status.address(), born_ms}, now, actions);
  }
  if (!claim) {
    return;
  }
  const bool reports_it = claim->report && !claim->report->gone() &&
                          claim->report->address() == worker.status.address();
  if (reports_it && (born_ms == 0 || claim->report->born_ms() == born_ms)) {
    AdoptReport(board, worker, *claim->report, now, actions);
  } else if (!other_process) {
    ++board.counters.claims_refuted;
    LogClaim(worker, "process_end_refuted", *claim, actions);
  }
}

bool AcceptUnansweredClaim(PoolBoard& board,
                           PoolWorker& worker,
                           Micros now,
                           PoolActions& actions) {
  if (!worker.claim || HasConfirmedRun(worker) ||
      worker.ask_failed_at < worker.claim->made_at) {
    return false;
  }
  const ProcessClaim claim = *worker.claim;
  LogClaim(worker, "process_end_accepted", claim, actions);
  EndProcessSession(board, worker, claim.reason, now, actions);
  Record(board, worker, claim, now, actions);
  AnnounceWorker(board, worker, now, actions);
  board.ownership_due = now;
  return true;
}

}  // namespace goldcrest
