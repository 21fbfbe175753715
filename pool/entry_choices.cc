// The stateless choices of an entry daemon: the queue of a request and the
// control daemon of a job.

#include <tuple>

#include "pool/entry.h"
#include "pool/load_report.h"
#include "pool/pool_choice.h"

namespace goldcrest {
namespace {

// Returns the control daemons that accept jobs and whose load is recent, except
// those in `tried`.
std::vector<const MeshMember*> FindCandidates(
    const Mesh& mesh,
    Micros now,
    const std::set<std::string>& tried,
    bool own_domain_only) {
  std::vector<const MeshMember*> candidates;
  for (const auto& [address, member] : mesh.members) {
    const wire::Presence& presence = member.last_heartbeat;
    const bool in_domain = !own_domain_only || presence.failure_domain() ==
                                                   mesh.options.failure_domain;
    const bool accepts_jobs = presence.control() && !presence.draining() &&
                              presence.load().workers() > 0;
    if (in_domain && accepts_jobs && !tried.contains(address) &&
        IsLoadFresh(member, now) && IsPeerReachable(mesh, address, now)) {
      candidates.push_back(&member);
    }
  }
  return candidates;
}

}  // namespace

const wire::Queue* FindQueue(const wire::Routing& routing,
                             const std::string& host,
                             const std::string& path) {
  const wire::Queue* best = nullptr;
  for (const wire::Queue& queue : routing.queues()) {
    const bool matches =
        queue.host() == host && path.starts_with(queue.path_prefix());
    if (matches && (best == nullptr ||
                    queue.path_prefix().size() > best->path_prefix().size())) {
      best = &queue;
    }
  }
  return best;
}

std::optional<std::string> ChooseControl(const Mesh& mesh,
                                         Micros now,
                                         const std::set<std::string>& tried) {
  std::optional<std::string> best;
  std::tuple<bool, bool, int64_t> best_rank;
  for (const auto& [address, member] : mesh.members) {
    const wire::Presence& presence = member.last_heartbeat;
    if (!presence.control() || presence.draining() || tried.contains(address) ||
        !IsPeerReachable(mesh, address, now)) {
      continue;
    }
    const bool has_workers = presence.load().workers() > 0;
    const bool same_domain =
        presence.failure_domain() == mesh.options.failure_domain;
    const std::tuple rank(has_workers, same_domain,
                          presence.load().free_cpu_millis());
    if (!best || rank > best_rank) {
      best = address;
      best_rank = rank;
    }
  }
  return best && std::get<0>(best_rank) ? best : std::nullopt;
}

std::optional<std::string> ChooseControlForOrder(
    const EntryBoard& board,
    const wire::JobOrder& order,
    Micros now,
    const std::set<std::string>& tried) {
  const Mesh& mesh = board.pool.mesh;
  if (!board.options.features.move_waiting_jobs) {
    return ChooseControl(mesh, now, tried);
  }
  // Heartbeats from other domains come at the reduced rate. The control daemons
  // of this domain have newer loads of them, and forward the job if one of them
  // is better.
  std::vector<const MeshMember*> candidates =
      FindCandidates(mesh, now, tried, true);
  if (candidates.empty()) {
    candidates = FindCandidates(mesh, now, tried, false);
  }
  const InitialTasks initial = InitialTasksOf(order);
  std::vector<PoolOffer> offers;
  offers.reserve(candidates.size());
  for (const MeshMember* candidate : candidates) {
    offers.push_back(MakePoolOffer(*candidate, initial, order.priority(),
                                   mesh.options, order.job_id()));
  }
  const std::optional<size_t> chosen = ChoosePool(offers);
  return chosen ? candidates[*chosen]->address
                : ChooseControl(mesh, now, tried);
}

void AddSentJob(const EntryBoard& board,
                const wire::JobOrder& order,
                MeshMember& control) {
  if (board.options.features.move_waiting_jobs) {
    AddJobToLoad(*control.last_heartbeat.mutable_load(), InitialTasksOf(order),
                 order.priority(), 1);
  }
}

bool ApplyJobMoved(PendingJob& job,
                   const wire::JobMoved& moved,
                   const std::string& from,
                   Micros now) {
  if (moved.moves() == 0) {
    return true;  // no confirmation follows
  }
  const bool confirms = from == moved.to();
  const bool outdated = confirms ? moved.moves() < job.message.moves()
                                 : moved.moves() <= job.message.moves();
  if (outdated) {
    return false;
  }
  if (moved.moves() > job.message.moves()) {
    // A job moves only if it has not started, and its previous control daemon
    // has forgotten it.
    job.start_permitted = false;
  }
  job.message.set_moves(moved.moves());
  job.transfer_since = confirms ? 0 : now;
  return true;
}

}  // namespace goldcrest
