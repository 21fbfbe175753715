#include "pool/workers/worker_ownership.h"

#include <algorithm>
#include <limits>

#include "goldcrest/digest.h"
#include "pool/entry/standby.h"
#include "pool/workers/handover.h"
#include "pool/workers/process_claims.h"
#include "pool/workers/run_ends.h"
#include "pool/workers/start_bindings.h"
#include "pool/workers/worker_record.h"
#include "pool/workers/worker_roster.h"
#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

// Minimum time between two handover requests for a worker, and between its
// release and a new claim by this daemon.
constexpr Micros kRequestRetryDelay = 600 * kMillisecond;
// The same between two requests if the owner decides when to hand it over; less
// than a review's period, so that each review repeats the request.
constexpr Micros kPacedRequestPeriod = 150 * kMillisecond;
// Handovers requested from known owners per review (one OwnershipTick()): a
// requested worker accepts no start orders until it is idle and the new owner
// has reconciled it, so not many may be unavailable to the pool at a time.
constexpr int kMaxHandoverRequestsPerReview = 3;

// Returns whether another daemon may own workers: a control daemon that is
// reachable or, if this is an entry daemon in standby, a reachable entry daemon
// of its own failure domain.
bool IsOwnerCandidate(const PoolBoard& board,
                      const MeshMember& member,
                      Micros now) {
  if (member.incarnation == 0 || member.last_heartbeat.draining()) {
    return false;
  }
  if (member.last_heartbeat.control()) {
    return !IsQuickStandby(board) &&
           IsReachableByAny(board.mesh, member.address, now);
  }
  return board.standby && IsPeerReachable(board.mesh, member.address, now) &&
         member.last_heartbeat.failure_domain() ==
             board.mesh.options.failure_domain;
}

// Returns whether this daemon may own workers.
bool MayOwnWorkers(const PoolBoard& board) {
  return !board.draining && (board.mesh.options.control || board.standby);
}

// Selects the best candidate for a worker: those of the worker's failure domain
// come first, then those of the greater rendezvous weight.
struct OwnerSelection {
  std::string address;
  bool in_worker_domain = false;
  uint64_t weight = 0;

  void Consider(const std::string& candidate,
                bool candidate_in_worker_domain,
                uint64_t candidate_weight) {
    const bool better =
        address.empty() || (candidate_in_worker_domain != in_worker_domain
                                ? candidate_in_worker_domain
                                : candidate_weight > weight);
    if (better) {
      *this = {candidate, candidate_in_worker_domain, candidate_weight};
    }
  }
};

// Returns whether this daemon reaches an entry daemon: one of this daemon's
// failure domain if that has any, since those send heartbeats at the full rate.
bool ReachesEntryDaemon(const PoolBoard& board, Micros now) {
  bool knows_own_domain = false;
  bool reaches_own_domain = false;
  bool reaches_other_domain = false;
  for (const auto& [address, member] : board.mesh.members) {
    if (member.last_heartbeat.control()) {
      continue;
    }
    const bool in_own_domain = member.last_heartbeat.failure_domain() ==
                               board.mesh.options.failure_domain;
    const bool reachable = IsPeerReachable(board.mesh, address, now);
    knows_own_domain = knows_own_domain || in_own_domain;
    reaches_own_domain = reaches_own_domain || (in_own_domain && reachable);
    reaches_other_domain =
        reaches_other_domain || (!in_own_domain && reachable);
  }
  return knows_own_domain ? reaches_own_domain : reaches_other_domain;
}

// Returns whether this daemon may conclude from its own view that another one
// has failed. A daemon that is itself cut off from the entry daemons must not
// claim workers that others are using; for workers of another failure domain
// (`other_domain`) it must also reach at least half of the control daemons,
// itself included. Both sides of an even split may pass; a worker that both
// claim obeys the higher token.
bool MayJudgeReachability(const PoolBoard& board,
                          bool other_domain,
                          Micros now) {
  size_t controls = 1;
  size_t controls_reachable = 1;
  for (const auto& [address, member] : board.mesh.members) {
    if (member.last_heartbeat.control()) {
      controls += 1;
      controls_reachable += IsPeerReachable(board.mesh, address, now) ? 1 : 0;
    }
  }
  return ReachesEntryDaemon(board, now) &&
         (!other_domain || 2 * controls_reachable >= controls);
}

// Claims a worker that has no reachable owner. Does nothing if the worker is
// leaving or its earliest claim time has not come, if it is of another failure
// domain and this daemon has just started or is a standby, or if this control
// daemon cannot rely on its own view of which daemons are reachable.
void Claim(PoolBoard& board,
           PoolWorker& worker,
           Micros now,
           PoolActions& actions) {
  const bool other_domain =
      worker.status.failure_domain() != board.mesh.options.failure_domain;
  if (now < worker.claim_after || worker.status.leaving()) {
    return;
  }
  if (other_domain &&
      now - board.started_at < board.options.other_domain_claim_delay) {
    return;
  }
  const std::string& owner = worker.status.owner();
  const bool owned_by_other =
      !owner.empty() && owner != board.mesh.options.self;
  if (board.mesh.options.control && (owned_by_other || other_domain) &&
      !MayJudgeReachability(board, other_domain, now)) {
    return;
  }
  if (!board.mesh.options.control && other_domain) {
    return;  // a standby claims workers of its own failure domain only
  }
  // Unchanged reports of the worker were passed on to its previous owner only,
  // so the timeout for its reports starts now.
  worker.last_received_at = now;
  ReconcileWorker(board, worker, "claim", now, actions);
}

int CountReadyWorkers(const PoolBoard& board) {
  return static_cast<int>(std::count_if(
      board.owned.begin(), board.owned.end(), [](const auto& entry) {
        return entry.second->session == SessionState::kReady;
      }));
}

// Marks an owned worker as gone if its reports have timed out.
void MarkGoneIfNotReporting(PoolBoard& board,
                            PoolWorker& worker,
                            Micros now,
                            PoolActions& actions) {
  // Workers report to control daemons only.
  if (worker.session == SessionState::kNone || !board.mesh.options.control ||
      now - worker.last_received_at < board.options.worker_timeout) {
    return;
  }
  EndExpiredRuns(board, worker, now, actions);
  if (HasConfirmedRun(worker)) {
    return;  // its lease is about to expire
  }
  EndProcessSession(board, worker, ProcessEnd::kSilent, now, actions);
  worker.status.set_gone(true);
  AnnounceWorker(board, worker, now, actions);
}

}  // namespace

void OnHandoverRequest(PoolBoard& board,
                       const std::string& from,
                       const wire::WorkerRequest& request,
                       Micros now,
                       PoolActions& actions) {
  if (board.options.features.standby_after != 0) {
    HandOverInTurns(board, from, request, now, actions);
    return;
  }
  wire::PoolMessage answer;
  for (const std::string& id : request.ids()) {
    const auto found = board.workers.find(id);
    if (found == board.workers.end()) {
      continue;
    }
    PoolWorker& worker = found->second;
    if (worker.session == SessionState::kReady) {
      if ((!board.waiting.empty() && CountReadyWorkers(board) == 1) ||
          HasBoundWaitingTask(board, id)) {
        continue;  // waiting tasks need it; the request will be repeated
      }
      worker.session = SessionState::kReleasing;
      SessionTick(board, worker, now, actions);
    } else if (worker.session == SessionState::kNone) {
      // The requester has outdated data. Others ask, too, if they have; all
      // control daemons may have been asked, so to tell all would cost the
      // square of their number.
      *answer.mutable_worker_news()->add_workers() =
          ProfileOf(board, worker, now);
    }
  }
  if (answer.worker_news().workers_size() > 0) {
    SendTo(actions, from, std::move(answer));
  }
}

void ReleaseWorker(PoolBoard& board,
                   PoolWorker& worker,
                   Micros now,
                   PoolActions& actions) {
  EndSession(board, worker, "released", now, actions);
  worker.status.set_token(worker.token);
  worker.status.clear_owner();
  worker.claim_after = now + kRequestRetryDelay;
  AnnounceWorker(board, worker, now, actions);
}

void UpdateOwnerCandidates(PoolBoard& board, Micros now) {
  std::vector<OwnerCandidate> all;
  if (MayOwnWorkers(board)) {
    all.push_back({board.mesh.options.self, board.mesh.options.failure_domain});
  }
  for (const auto& [address, member] : board.mesh.members) {
    if (IsOwnerCandidate(board, member, now)) {
      all.push_back({address, member.last_heartbeat.failure_domain()});
    }
  }
  if (all != board.owner_candidates.all) {
    board.owner_candidates.all = std::move(all);
    ++board.owner_candidates.generation;
  }
}

const std::string& PreferredOwner(const PoolBoard& board, PoolWorker& worker) {
  if (worker.preferred_owner_generation == board.owner_candidates.generation) {
    return worker.preferred_owner;
  }
  OwnerSelection selection;
  for (const OwnerCandidate& candidate : board.owner_candidates.all) {
    selection.Consider(
        candidate.address,
        candidate.failure_domain == worker.status.failure_domain(),
        RendezvousWeight(worker.status.id(), candidate.address));
  }
  worker.preferred_owner = selection.address;
  worker.preferred_owner_generation = board.owner_candidates.generation;
  return worker.preferred_owner;
}

void OwnershipTick(PoolBoard& board, Micros now, PoolActions& actions) {
  if (now < board.ownership_due) {
    return;
  }
  board.ownership_due = now + board.options.ownership_period;
  if (now - board.started_at < ReviewDelay(board)) {
    return;  // other daemons have not had time to report their workers
  }
  UpdateOwnerCandidates(board, now);
  const std::string& self = board.mesh.options.self;
  std::map<std::string, wire::WorkerRequest> requests;
  int request_count = 0;
  // With `standby_after`, the owner decides how many it hands over at a time.
  const bool paced_by_owner = board.options.features.standby_after != 0;
  const Micros retry_delay =
      paced_by_owner ? kPacedRequestPeriod : kRequestRetryDelay;
  const int max_requests = paced_by_owner ? std::numeric_limits<int>::max()
                                          : kMaxHandoverRequestsPerReview;
  for (auto& [id, worker] : board.workers) {
    if (!IsInPool(worker)) {
      continue;
    }
    MarkGoneIfNotReporting(board, worker, now, actions);
    if (worker.session != SessionState::kNone || !IsInPool(worker)) {
      continue;
    }
    if (PreferredOwner(board, worker) != self) {
      continue;
    }
    const std::string& owner = worker.status.owner();
    // The worker refused this daemon's token, so it has an owner that is not
    // known here: in each review, every control daemon is requested to hand it
    // over.
    const bool owner_unknown =
        worker.fenced_at != 0 &&
        now - worker.fenced_at < board.options.unknown_owner_timeout;
    const bool owner_reachable =
        !owner.empty() && owner != self && IsOwnerReachable(board, owner, now);
    const bool owner_query_due =
        !owner_reachable && IsOwnerQueryDue(board, worker, now);
    if (owner_unknown || owner_query_due) {
      for (const auto& [address, member] : board.mesh.members) {
        if (ReceivesOwnerQueries(board, member) &&
            IsPeerReachable(board.mesh, address, now)) {
          requests[address].add_ids(id);
        }
      }
    } else if (!owner_reachable) {
      Claim(board, worker, now, actions);
    } else if (now - worker.handover_requested_at > retry_delay &&
               request_count < max_requests) {
      worker.handover_requested_at = now;
      ++request_count;
      requests[owner].add_ids(id);
    }
  }
  for (const auto& [owner, request] : requests) {
    wire::PoolMessage message;
    *message.mutable_worker_request() = request;
    SendTo(actions, owner, std::move(message));
  }
}

}  // namespace goldcrest
