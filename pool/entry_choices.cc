// The stateless choices of an entry daemon: the queue of a request and the
// control daemon of a job.

#include <tuple>

#include "pool/entry.h"
#include "pool/load_report.h"
#include "pool/pool_choice.h"

namespace goldcrest {

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
  const InitialTasks initial = InitialTasksOf(order);
  std::vector<std::string> addresses;
  std::vector<PoolOffer> offers;
  for (const auto& [address, member] : mesh.members) {
    const wire::Presence& presence = member.last_heartbeat;
    if (!presence.control() || presence.draining() || tried.contains(address) ||
        presence.load().workers() == 0 || !IsLoadFresh(member, now) ||
        !IsPeerReachable(mesh, address, now)) {
      continue;
    }
    addresses.push_back(address);
    offers.push_back(MakePoolOffer(member, initial, order.priority(),
                                   mesh.options, order.job_id()));
  }
  const std::optional<size_t> chosen = ChoosePool(offers);
  return chosen ? addresses[*chosen] : ChooseControl(mesh, now, tried);
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
