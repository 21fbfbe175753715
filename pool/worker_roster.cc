#include "pool/worker_roster.h"

#include <algorithm>

#include "goldcrest/digest.h"
#include "pool/worker_session.h"

namespace goldcrest {
namespace {

// Minimum time between two handover requests for a worker, and between its
// release and a new claim by this daemon.
constexpr Micros kRequestRetryDelay = 600 * kMillisecond;
// Handovers requested per round: the requested workers accept no start orders
// until they are idle, so not many may be unavailable to the pool at a time.
constexpr int kMaxHandoversPerRound = 3;

bool IsNewerReport(const wire::WorkerNews& report,
                   const wire::WorkerNews& known) {
  return report.born_ms() != known.born_ms()
             ? report.born_ms() > known.born_ms()
             : report.sequence() > known.sequence();
}

bool DiffersInContent(const wire::WorkerNews& a, const wire::WorkerNews& b) {
  return a.address() != b.address() || a.leaving() != b.leaving() ||
         a.gone() != b.gone() || a.born_ms() != b.born_ms() ||
         a.cpu_millis() != b.cpu_millis() || a.memory_mb() != b.memory_mb() ||
         a.service() != b.service() ||
         !std::equal(a.labels().begin(), a.labels().end(), b.labels().begin(),
                     b.labels().end());
}

// Copies everything but the owner and its token.
void CopyReport(const wire::WorkerNews& report, wire::WorkerNews& facts) {
  const std::string owner = facts.owner();
  const uint64_t token = facts.token();
  facts = report;
  facts.set_owner(owner);
  facts.set_token(token);
}

// Removes workers that the reporting one has replaced: those at the same
// address that started earlier.
void DropReplaced(PoolBoard& board,
                  const wire::WorkerNews& report,
                  Micros now,
                  PoolActions& actions) {
  for (auto& [id, other] : board.workers) {
    if (id != report.id() && IsPresent(other) &&
        other.facts.address() == report.address() &&
        other.facts.born_ms() < report.born_ms()) {
      ForgetProcess(board, other, "replaced", now, actions);
      other.facts.set_gone(true);
    }
  }
}

// Applies a newer report; returns whether its content differs.
bool ApplyReport(PoolBoard& board,
                 const wire::WorkerNews& report,
                 Micros now,
                 PoolActions& actions) {
  const auto found = board.workers.find(report.id());
  const bool is_new = found == board.workers.end();
  PoolWorker& worker = board.workers[report.id()];
  if (!is_new && !IsNewerReport(report, worker.facts)) {
    return false;
  }
  const bool changed = is_new || DiffersInContent(report, worker.facts);
  const bool restarted = !is_new && report.born_ms() > worker.facts.born_ms();
  const bool moved = !is_new && report.address() != worker.facts.address();
  if (report.failure_domain() != worker.facts.failure_domain()) {
    worker.preferred_among = 0;
  }
  CopyReport(report, worker.facts);
  worker.last_heard = now;
  if (restarted || moved || report.gone()) {
    ForgetProcess(board, worker, report.gone() ? "left" : "restarted", now,
                  actions);
  }
  if (changed) {
    DropReplaced(board, report, now, actions);
    LogPool(actions, LogLevel::kInfo, "worker_changed",
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
  return changed;
}

// Returns whether another daemon may order workers: a control daemon that is
// reachable or, if this is an entry daemon in standby, a reachable entry daemon
// of its own failure domain.
bool IsOwnerCandidate(const PoolBoard& board,
                      const MeshMember& member,
                      Micros now) {
  if (member.incarnation == 0 || member.presence.draining()) {
    return false;
  }
  if (member.presence.control()) {
    return IsAlive(board.mesh, member.address, now);
  }
  return board.standby && IsHeard(board.mesh, member.address, now) &&
         member.presence.failure_domain() == board.mesh.options.failure_domain;
}

// Returns whether this daemon may order workers.
bool MayOrderWorkers(const PoolBoard& board) {
  return !board.draining && (board.mesh.options.control || board.standby);
}

// Returns whether a daemon receives updates of a worker: all control daemons
// do, and the entry daemons of the worker's failure domain.
bool ReceivesUpdatesOf(const MeshMember& member,
                       const wire::WorkerNews& worker) {
  return member.presence.control() ||
         (member.incarnation != 0 &&
          member.presence.failure_domain() == worker.failure_domain());
}

// Selects the best candidate for a worker: those of its own failure domain come
// first, then those of the greater rendezvous weight.
struct OwnerSelection {
  std::string address;
  bool in_own_domain = false;
  uint64_t weight = 0;

  void Consider(const std::string& candidate,
                bool candidate_in_own_domain,
                uint64_t candidate_weight) {
    const bool better =
        address.empty() ||
        (candidate_in_own_domain != in_own_domain ? candidate_in_own_domain
                                                  : candidate_weight > weight);
    if (better) {
      *this = {candidate, candidate_in_own_domain, candidate_weight};
    }
  }
};

// Returns whether this daemon reaches an entry daemon: of its own failure
// domain if that has any, since those send heartbeats at the full rate.
bool ReachesEntryDaemon(const PoolBoard& board, Micros now) {
  bool knows_own_domain = false;
  bool reaches_own_domain = false;
  bool reaches_other_domain = false;
  for (const auto& [address, member] : board.mesh.members) {
    if (member.presence.control()) {
      continue;
    }
    const bool in_own_domain =
        member.presence.failure_domain() == board.mesh.options.failure_domain;
    const bool reachable = IsHeard(board.mesh, address, now);
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
// itself included.
bool MayJudgeReachability(const PoolBoard& board,
                          bool other_domain,
                          Micros now) {
  size_t controls = 1;
  size_t controls_reachable = 1;
  for (const auto& [address, member] : board.mesh.members) {
    if (member.presence.control()) {
      controls += 1;
      controls_reachable += IsHeard(board.mesh, address, now) ? 1 : 0;
    }
  }
  return ReachesEntryDaemon(board, now) &&
         (!other_domain || 2 * controls_reachable >= controls);
}

// Claims a worker that has no reachable owner, unless this daemon is not
// allowed to yet.
void Claim(PoolBoard& board,
           PoolWorker& worker,
           Micros now,
           PoolActions& actions) {
  const bool other_domain =
      worker.facts.failure_domain() != board.mesh.options.failure_domain;
  if (now < worker.claim_after || worker.facts.leaving()) {
    return;
  }
  if (other_domain &&
      now - board.started_at < board.options.foreign_claims_after) {
    return;
  }
  const std::string& owner = worker.facts.owner();
  const bool owned_by_other =
      !owner.empty() && owner != board.mesh.options.self;
  if (board.mesh.options.control && (owned_by_other || other_domain) &&
      !MayJudgeReachability(board, other_domain, now)) {
    return;
  }
  if (!board.mesh.options.control && other_domain) {
    return;
  }
  // The worker reported to its previous owner only, so the timeout for its
  // reports starts now.
  worker.last_heard = now;
  Settle(board, worker, "claim", now, actions);
}

int CountReadyWorkers(const PoolBoard& board) {
  return static_cast<int>(std::count_if(
      board.ordered.begin(), board.ordered.end(), [](const auto& entry) {
        return entry.second->session == SessionState::kReady;
      }));
}

// Removes an own worker whose reports have timed out.
void RemoveIfNotReporting(PoolBoard& board,
                          PoolWorker& worker,
                          Micros now,
                          PoolActions& actions) {
  // Workers report to control daemons only.
  if (worker.session == SessionState::kNone || !board.mesh.options.control ||
      now - worker.last_heard < board.options.worker_silence) {
    return;
  }
  ForgetProcess(board, worker, "silent", now, actions);
  worker.facts.set_gone(true);
  AnnounceWorker(board, worker, now, actions);
}

// Applies the owner named in an update; the highest token wins.
void ApplyOwner(PoolBoard& board,
                const wire::WorkerNews& row,
                PoolWorker& worker,
                Micros now) {
  const bool newer =
      row.token() > worker.facts.token() ||
      (row.token() == worker.facts.token() && row.owner().empty());
  const bool owned_here = worker.session != SessionState::kNone;
  if (!newer || (owned_here && row.token() <= worker.token)) {
    return;
  }
  worker.facts.set_owner(row.owner());
  worker.facts.set_token(row.token());
  if (row.owner().empty()) {
    board.ownership_due = now;  // it has been handed over
  }
}

// If the believed owner of a worker sends an update of it without naming itself
// the owner, it is not: it has restarted, and may not know the token under
// which it owned the worker.
void ApplyDenial(PoolBoard& board,
                 const std::string& from,
                 const wire::WorkerNews& row,
                 PoolWorker& worker,
                 Micros now) {
  const std::string& owner = worker.facts.owner();
  if (from.empty() || owner != from || row.owner() == from) {
    return;
  }
  worker.facts.clear_owner();
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
      worker.facts.owner() != board.mesh.options.self) {
    return;
  }
  LogPool(actions, LogLevel::kInfo, "ownership_denied",
          {{"worker", worker.facts.id()},
           {"token", std::to_string(worker.facts.token())}});
  worker.facts.clear_owner();
  board.ownership_due = now;
  AnnounceWorker(board, worker, now, actions);
}

}  // namespace

void OnWorkerReport(PoolBoard& board,
                    const wire::WorkerNews& report,
                    Micros now,
                    PoolActions& actions) {
  const bool changed = ApplyReport(board, report, now, actions);
  PoolWorker& worker = board.workers[report.id()];
  worker.last_heard = now;
  if (changed) {
    AnnounceWorker(board, worker, now, actions);
    board.ownership_due = now;
    return;
  }
  const std::string owner = worker.facts.owner().empty()
                                ? PreferredOwner(board, worker)
                                : worker.facts.owner();
  if (!owner.empty() && owner != board.mesh.options.self) {
    wire::PoolMessage message;
    *message.mutable_worker_news()->add_workers() = worker.facts;
    SendTo(actions, owner, std::move(message));
  }
}

void OnWorkerLeft(PoolBoard& board,
                  const std::string& id,
                  Micros now,
                  PoolActions& actions) {
  const auto found = board.workers.find(id);
  if (found == board.workers.end() || !IsPresent(found->second)) {
    return;
  }
  PoolWorker& worker = found->second;
  ForgetProcess(board, worker, "left", now, actions);
  worker.facts.set_gone(true);
  AnnounceWorker(board, worker, now, actions);
}

void OnWorkerNews(PoolBoard& board,
                  const std::string& from,
                  const wire::WorkerTableNews& update,
                  Micros now,
                  PoolActions& actions) {
  for (const wire::WorkerNews& row : update.workers()) {
    ApplyReport(board, row, now, actions);
    PoolWorker& worker = board.workers[row.id()];
    if (row.born_ms() == worker.facts.born_ms()) {
      worker.last_heard = now;
      if (row.gone() && IsPresent(worker) &&
          row.sequence() >= worker.facts.sequence()) {
        ForgetProcess(board, worker, "gone", now, actions);
        worker.facts.set_gone(true);
      }
    }
    if (!row.owner().empty()) {
      worker.fenced_at = 0;
    }
    ApplyOwner(board, row, worker, now);
    ApplyDenial(board, from, row, worker, now);
    DenyOwnership(board, worker, now, actions);
  }
}

void OnWorkerRequest(PoolBoard& board,
                     const wire::WorkerRequest& request,
                     Micros now,
                     PoolActions& actions) {
  for (const std::string& id : request.ids()) {
    const auto found = board.workers.find(id);
    if (found == board.workers.end()) {
      continue;
    }
    PoolWorker& worker = found->second;
    if (worker.session == SessionState::kReady) {
      if (!board.waiting.empty() && CountReadyWorkers(board) == 1) {
        continue;  // waiting tasks need it; the request will be repeated
      }
      worker.session = SessionState::kReleasing;
      SessionTick(board, worker, now, actions);
    } else if (worker.session == SessionState::kNone) {
      // The requester has outdated data.
      AnnounceWorker(board, worker, now, actions);
    }
  }
}

void AnnounceWorker(PoolBoard& board,
                    const PoolWorker& worker,
                    Micros now,
                    PoolActions& actions) {
  for (const auto& [address, member] : board.mesh.members) {
    if (!ReceivesUpdatesOf(member, worker.facts) ||
        !IsHeard(board.mesh, address, now)) {
      continue;
    }
    wire::PoolMessage message;
    *message.mutable_worker_news()->add_workers() = worker.facts;
    SendTo(actions, address, std::move(message));
  }
}

void SendWorkerTable(PoolBoard& board,
                     const std::string& to,
                     PoolActions& actions) {
  wire::PoolMessage message;
  const auto member = board.mesh.members.find(to);
  for (const auto& [id, worker] : board.workers) {
    if (IsPresent(worker) && member != board.mesh.members.end() &&
        ReceivesUpdatesOf(member->second, worker.facts)) {
      *message.mutable_worker_news()->add_workers() = worker.facts;
    }
  }
  if (message.worker_news().workers_size() > 0) {
    SendTo(actions, to, std::move(message));
  }
}

void ReleaseWorker(PoolBoard& board,
                   PoolWorker& worker,
                   Micros now,
                   PoolActions& actions) {
  EndSession(board, worker, "released", now, actions);
  worker.facts.set_token(worker.token);
  worker.facts.clear_owner();
  worker.claim_after = now + kRequestRetryDelay;
  AnnounceWorker(board, worker, now, actions);
}

void UpdateOwnerCandidates(PoolBoard& board, Micros now) {
  std::vector<OwnerCandidate> all;
  if (MayOrderWorkers(board)) {
    all.push_back({board.mesh.options.self, board.mesh.options.failure_domain});
  }
  for (const auto& [address, member] : board.mesh.members) {
    if (IsOwnerCandidate(board, member, now)) {
      all.push_back({address, member.presence.failure_domain()});
    }
  }
  if (all != board.owner_candidates.all) {
    board.owner_candidates.all = std::move(all);
    ++board.owner_candidates.number;
  }
}

const std::string& PreferredOwner(const PoolBoard& board, PoolWorker& worker) {
  if (worker.preferred_among == board.owner_candidates.number) {
    return worker.preferred_owner;
  }
  OwnerSelection selection;
  for (const OwnerCandidate& candidate : board.owner_candidates.all) {
    selection.Consider(
        candidate.address,
        candidate.failure_domain == worker.facts.failure_domain(),
        RendezvousWeight(worker.facts.id(), candidate.address));
  }
  worker.preferred_owner = selection.address;
  worker.preferred_among = board.owner_candidates.number;
  return worker.preferred_owner;
}

std::string ReportAddress(const PoolBoard& board,
                          const std::string& worker_id,
                          Micros now) {
  const auto found = board.workers.find(worker_id);
  if (found == board.workers.end()) {
    return "";
  }
  const std::string& owner = found->second.facts.owner();
  if (owner == board.mesh.options.self) {
    return board.mesh.options.control_address;
  }
  const auto member = board.mesh.members.find(owner);
  return member != board.mesh.members.end() && IsHeard(board.mesh, owner, now)
             ? member->second.presence.control_address()
             : "";
}

void OwnershipTick(PoolBoard& board, Micros now, PoolActions& actions) {
  if (now < board.ownership_due) {
    return;
  }
  board.ownership_due = now + board.options.ownership_period;
  if (now - board.started_at < board.options.claims_after) {
    return;  // other daemons have not had time to report their workers
  }
  UpdateOwnerCandidates(board, now);
  const std::string& self = board.mesh.options.self;
  std::map<std::string, wire::WorkerRequest> requests;
  int request_count = 0;
  for (auto& [id, worker] : board.workers) {
    if (!IsPresent(worker)) {
      continue;
    }
    RemoveIfNotReporting(board, worker, now, actions);
    if (worker.session != SessionState::kNone || !IsPresent(worker)) {
      continue;
    }
    if (PreferredOwner(board, worker) != self) {
      continue;
    }
    const std::string& owner = worker.facts.owner();
    const bool requests_from_all =
        worker.fenced_at != 0 &&
        now - worker.fenced_at < board.options.unknown_owner_for;
    if (requests_from_all) {
      for (const auto& [address, member] : board.mesh.members) {
        if (member.presence.control() && IsHeard(board.mesh, address, now)) {
          requests[address].add_ids(id);
        }
      }
    } else if (owner.empty() || owner == self ||
               !IsAlive(board.mesh, owner, now)) {
      Claim(board, worker, now, actions);
    } else if (now - worker.asked_at > kRequestRetryDelay &&
               request_count < kMaxHandoversPerRound) {
      worker.asked_at = now;
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
