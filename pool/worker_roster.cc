#include "pool/worker_roster.h"

#include <algorithm>

#include "goldcrest/digest.h"
#include "pool/worker_session.h"

namespace goldcrest {
namespace {

constexpr Micros kAskAgain = 600 * kMillisecond;
// Hand-overs asked for in one round: the workers asked for take no starts
// until they are idle, so the pool must not lose many at a time.
constexpr int kHandOversPerRound = 3;

bool IsNewerReport(const wire::WorkerNews& report,
                   const wire::WorkerNews& known) {
  return report.born_ms() != known.born_ms()
             ? report.born_ms() > known.born_ms()
             : report.sequence() > known.sequence();
}

bool DiffersInSubstance(const wire::WorkerNews& a, const wire::WorkerNews& b) {
  return a.address() != b.address() || a.leaving() != b.leaving() ||
         a.gone() != b.gone() || a.born_ms() != b.born_ms() ||
         a.cpu_millis() != b.cpu_millis() || a.memory_mb() != b.memory_mb() ||
         a.service() != b.service() ||
         !std::equal(a.labels().begin(), a.labels().end(), b.labels().begin(),
                     b.labels().end());
}

// Copies everything but the owner.
void CopyReport(const wire::WorkerNews& report, wire::WorkerNews& facts) {
  const std::string owner = facts.owner();
  const uint64_t token = facts.token();
  facts = report;
  facts.set_owner(owner);
  facts.set_token(token);
}

// A worker that starts at the address of another one has replaced it.
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

// Takes in newer facts; returns whether they differ in substance.
bool TakeReport(PoolBoard& board,
                const wire::WorkerNews& report,
                Micros now,
                PoolActions& actions) {
  const auto found = board.workers.find(report.id());
  const bool is_new = found == board.workers.end();
  PoolWorker& worker = board.workers[report.id()];
  if (!is_new && !IsNewerReport(report, worker.facts)) {
    return false;
  }
  const bool differs = is_new || DiffersInSubstance(report, worker.facts);
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
  if (differs) {
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
  return differs;
}

// Whether a daemon may order workers: a control daemon that lives; where an
// entry daemon stands in for them, one of its own failure domain.
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

bool MayOrderWorkers(const PoolBoard& board) {
  return !board.draining && (board.mesh.options.control || board.standby);
}

// Whether a daemon is to know about a worker: all control daemons, and the
// entry daemons of its failure domain.
bool IsInterested(const MeshMember& member, const wire::WorkerNews& worker) {
  return member.presence.control() ||
         (member.incarnation != 0 &&
          member.presence.failure_domain() == worker.failure_domain());
}

// Keeps the better of two candidates for a worker: one of its own failure
// domain, then the greater rendezvous weight.
struct OwnerChoice {
  std::string address;
  bool near = false;
  uint64_t weight = 0;

  void Offer(const std::string& candidate, bool is_near, uint64_t its_weight) {
    const bool better =
        address.empty() || (is_near != near ? is_near : its_weight > weight);
    if (better) {
      *this = {candidate, is_near, its_weight};
    }
  }
};

// Whether this daemon hears an entry daemon: of its own failure domain where
// that has any, since those are heard at the full rate.
bool HearsEntry(const PoolBoard& board, Micros now) {
  bool knows_near = false;
  bool hears_near = false;
  bool hears_far = false;
  for (const auto& [address, member] : board.mesh.members) {
    if (member.presence.control()) {
      continue;
    }
    const bool near =
        member.presence.failure_domain() == board.mesh.options.failure_domain;
    const bool heard = IsHeard(board.mesh, address, now);
    knows_near = knows_near || near;
    hears_near = hears_near || (near && heard);
    hears_far = hears_far || (!near && heard);
  }
  return knows_near ? hears_near : hears_far;
}

// Whether this daemon may believe that another one is lost: one that is itself
// cut off from callers, or from most others, must not take workers that others
// are using.
bool MayJudgeOthers(const PoolBoard& board, bool foreign, Micros now) {
  size_t controls = 1;
  size_t controls_heard = 1;
  for (const auto& [address, member] : board.mesh.members) {
    if (member.presence.control()) {
      controls += 1;
      controls_heard += IsHeard(board.mesh, address, now) ? 1 : 0;
    }
  }
  return HearsEntry(board, now) && (!foreign || 2 * controls_heard >= controls);
}

void Claim(PoolBoard& board,
           PoolWorker& worker,
           Micros now,
           PoolActions& actions) {
  const bool foreign =
      worker.facts.failure_domain() != board.mesh.options.failure_domain;
  if (now < worker.claim_after || worker.facts.leaving()) {
    return;
  }
  if (foreign && now - board.started_at < board.options.foreign_claims_after) {
    return;
  }
  const std::string& owner = worker.facts.owner();
  const bool taken = !owner.empty() && owner != board.mesh.options.self;
  if (board.mesh.options.control && (taken || foreign) &&
      !MayJudgeOthers(board, foreign, now)) {
    return;
  }
  if (!board.mesh.options.control && foreign) {
    return;
  }
  // Its reports went to its owner; its silence is counted from now.
  worker.last_heard = now;
  Settle(board, worker, "claim", now, actions);
}

int CountReady(const PoolBoard& board) {
  return static_cast<int>(std::count_if(
      board.ordered.begin(), board.ordered.end(), [](const auto& entry) {
        return entry.second->session == SessionState::kReady;
      }));
}

void ForgetIfSilent(PoolBoard& board,
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

// Takes in who orders a worker, by the highest token.
void TakeOwner(PoolBoard& board,
               const wire::WorkerNews& row,
               PoolWorker& worker,
               Micros now) {
  const bool newer =
      row.token() > worker.facts.token() ||
      (row.token() == worker.facts.token() && row.owner().empty());
  const bool ordered_here = worker.session != SessionState::kNone;
  if (!newer || (ordered_here && row.token() <= worker.token)) {
    return;
  }
  worker.facts.set_owner(row.owner());
  worker.facts.set_token(row.token());
  if (row.owner().empty()) {
    board.ownership_due = now;  // it was handed over
  }
}

// A daemon that is believed to be a worker's owner and tells of the worker
// without saying so is not: it has restarted, and may not know the token under
// which it was.
void TakeDenial(PoolBoard& board,
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

// Others may name this daemon the owner of workers that it ordered in an
// earlier life. It says that it is not, or nobody would claim them.
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
  const bool differs = TakeReport(board, report, now, actions);
  PoolWorker& worker = board.workers[report.id()];
  worker.last_heard = now;
  if (differs) {
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
                  const wire::WorkerTableNews& news,
                  Micros now,
                  PoolActions& actions) {
  for (const wire::WorkerNews& row : news.workers()) {
    TakeReport(board, row, now, actions);
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
    TakeOwner(board, row, worker, now);
    TakeDenial(board, from, row, worker, now);
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
      if (!board.waiting.empty() && CountReady(board) == 1) {
        continue;  // what waits here needs it; it will be asked for again
      }
      worker.session = SessionState::kReleasing;
      SessionTick(board, worker, now, actions);
    } else if (worker.session == SessionState::kNone) {
      AnnounceWorker(board, worker, now, actions);  // the asker is behind
    }
  }
}

void AnnounceWorker(PoolBoard& board,
                    const PoolWorker& worker,
                    Micros now,
                    PoolActions& actions) {
  for (const auto& [address, member] : board.mesh.members) {
    if (!IsInterested(member, worker.facts) ||
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
        IsInterested(member->second, worker.facts)) {
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
  worker.claim_after = now + kAskAgain;
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
  OwnerChoice choice;
  for (const OwnerCandidate& candidate : board.owner_candidates.all) {
    choice.Offer(candidate.address,
                 candidate.failure_domain == worker.facts.failure_domain(),
                 RendezvousWeight(worker.facts.id(), candidate.address));
  }
  worker.preferred_owner = choice.address;
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
    return;  // others have not had time to say which workers are theirs
  }
  UpdateOwnerCandidates(board, now);
  const std::string& self = board.mesh.options.self;
  std::map<std::string, wire::WorkerRequest> requests;
  int asked = 0;
  for (auto& [id, worker] : board.workers) {
    if (!IsPresent(worker)) {
      continue;
    }
    ForgetIfSilent(board, worker, now, actions);
    if (worker.session != SessionState::kNone || !IsPresent(worker)) {
      continue;
    }
    if (PreferredOwner(board, worker) != self) {
      continue;
    }
    const std::string& owner = worker.facts.owner();
    const bool asks_all =
        worker.fenced_at != 0 &&
        now - worker.fenced_at < board.options.unknown_owner_for;
    if (asks_all) {
      for (const auto& [address, member] : board.mesh.members) {
        if (member.presence.control() && IsHeard(board.mesh, address, now)) {
          requests[address].add_ids(id);
        }
      }
    } else if (owner.empty() || owner == self ||
               !IsAlive(board.mesh, owner, now)) {
      Claim(board, worker, now, actions);
    } else if (now - worker.asked_at > kAskAgain &&
               asked < kHandOversPerRound) {
      worker.asked_at = now;
      ++asked;
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
