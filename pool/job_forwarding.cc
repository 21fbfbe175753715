#include "pool/job_forwarding.h"

#include <algorithm>

#include "pool/load_report.h"
#include "pool/pool_choice.h"
#include "pool/standby.h"

namespace goldcrest {
namespace {

// A job is forwarded if the neighbour's wait plus the forwarding delay is at
// least this many times shorter than the wait here.
constexpr int64_t kMinWaitRatio = 2;

// Returns whether jobs may be forwarded to the member: a control daemon, or
// another entry daemon if this one is a standby (standby.h).
bool TakesForwardedJobs(const PoolBoard& board, const MeshMember& member) {
  return !member.last_heartbeat.draining() &&
         (member.last_heartbeat.control() || IsQuickStandby(board));
}

// Returns the neighbour with the shortest queue, if that is so much shorter
// than the queue of this pool that it outweighs the forwarding delay; else
// null.
MeshMember* FindNeighbourWithShorterQueue(PoolBoard& board, Micros now) {
  MeshMember* best = nullptr;
  const int64_t own_wait_ms =
      board.draining ? kNoServiceWaitMs : board.mesh.load.wait_ms();
  for (auto& [address, member] : board.mesh.members) {
    const wire::PoolLoad& load = member.last_heartbeat.load();
    const bool eligible = TakesForwardedJobs(board, member) &&
                          load.workers() > 0 && IsLoadFresh(member, now) &&
                          OutweighsForwarding(load.wait_ms(), own_wait_ms);
    if (eligible && (best == nullptr ||
                     load.wait_ms() < best->last_heartbeat.load().wait_ms())) {
      best = &member;
    }
  }
  return best;
}

// Returns the neighbour with the most free capacity of those that can start all
// of the job at once, or null if there is none.
MeshMember* FindNeighbourWithCapacity(PoolBoard& board,
                                      const wire::JobOrder& order,
                                      Micros now) {
  MeshMember* best = nullptr;
  const int64_t cpu = InitialTasksOf(order).cpu_millis;
  for (auto& [address, member] : board.mesh.members) {
    const wire::PoolLoad& load = member.last_heartbeat.load();
    const bool eligible = TakesForwardedJobs(board, member) &&
                          IsLoadFresh(member, now) && load.wait_ms() == 0 &&
                          load.free_cpu_millis() >= cpu + cpu / 4;
    if (eligible && (best == nullptr ||
                     load.free_cpu_millis() >
                         best->last_heartbeat.load().free_cpu_millis())) {
      best = &member;
    }
  }
  return best;
}

// Returns the wait of a job of this priority that is queued here now.
int64_t OwnWaitMs(const PoolBoard& board, int32_t priority) {
  const QueueWork& queue = board.queue_work;
  if (board.draining || queue.cpu_millis == 0) {
    return kNoServiceWaitMs;
  }
  int64_t work = queue.first;
  for (const auto& [other_priority, other_work] : queue.by_priority) {
    work += other_priority <= priority ? other_work : 0;
  }
  return work / queue.cpu_millis;
}

// Returns how often the job was forwarded under its present order number.
uint32_t MovesOfNumber(const wire::JobOrder& order) {
  return std::max<uint32_t>(order.moves(), order.forwarded() ? 1 : 0);
}

// Reports to the entry daemon of the order that the daemon `to` holds the job.
void SendJobMoved(const PoolBoard& board,
                  const wire::JobOrder& order,
                  const std::string& to,
                  uint32_t moves,
                  PoolActions& actions) {
  wire::PoolMessage message;
  wire::JobMoved& moved = *message.mutable_job_moved();
  moved.set_order(order.order());
  moved.set_to(to);
  moved.set_moves(moves);
  if (board.options.features.move_waiting_jobs || moves > 0) {
    moved.set_job_id(order.job_id());
    moved.set_entry_incarnation(order.entry_incarnation());
  }
  SendTo(actions, order.entry(), std::move(message));
}

// Returns the neighbour that can start all of the job at once, or that has so
// much shorter a wait for its priority that it outweighs the cost; else null.
MeshMember* FindBetterNeighbour(PoolBoard& board,
                                const wire::JobOrder& order,
                                Micros now) {
  if (MovesOf(order) >= kMaxMoves) {
    return nullptr;
  }
  const InitialTasks initial = InitialTasksOf(order);
  const int64_t own_wait_ms = OwnWaitMs(board, order.priority());
  std::vector<MeshMember*> neighbours;
  std::vector<PoolOffer> offers;
  for (MeshMember* member : FindAvailableNeighbours(board, now)) {
    const PoolOffer offer = MakePoolOffer(*member, initial, order.priority(),
                                          board.mesh.options, order.job_id());
    if (offer.holds_at_once ||
        OutweighsForwarding(offer.wait_ms, own_wait_ms)) {
      neighbours.push_back(member);
      offers.push_back(offer);
    }
  }
  const std::optional<size_t> chosen = ChoosePool(offers);
  return chosen ? neighbours[*chosen] : nullptr;
}

}  // namespace

void SendForwardedOrder(PoolBoard& board,
                        const wire::JobOrder& order,
                        MeshMember& to,
                        Micros waited,
                        PoolActions& actions) {
  ++board.counters.jobs_forwarded;
  const wire::PoolLoad& load = to.last_heartbeat.load();
  // Only a receiver with this feature confirms.
  const uint32_t moves =
      board.options.features.move_waiting_jobs && StatesHolesAndWaits(load)
          ? MovesOfNumber(order) + 1
          : 0;
  wire::PoolMessage message;
  wire::JobOrder& forwarded = *message.mutable_job_order();
  forwarded = order;
  forwarded.set_forwarded(true);
  forwarded.set_seen_sequence(to.last_heartbeat.sequence());
  forwarded.set_moves(moves);
  forwarded.set_waited_ms(static_cast<uint32_t>(waited / kMillisecond));
  SendTo(actions, to.address, std::move(message));
  SendJobMoved(board, order, to.address, moves, actions);
}

void ConfirmForwardedOrder(const PoolBoard& board,
                           const wire::JobOrder& order,
                           PoolActions& actions) {
  if (order.moves() == 0) {
    return;
  }
  SendJobMoved(board, order, board.mesh.options.self, order.moves(), actions);
}

uint32_t MovesOf(const wire::JobOrder& order) {
  return MovesOfNumber(order) + order.moves_before();
}

std::vector<MeshMember*> FindAvailableNeighbours(PoolBoard& board, Micros now) {
  std::vector<MeshMember*> available;
  for (auto& [address, member] : board.mesh.members) {
    if (TakesForwardedJobs(board, member) &&
        member.last_heartbeat.load().workers() > 0 &&
        IsLoadFresh(member, now)) {
      available.push_back(&member);
    }
  }
  return available;
}

bool OutweighsForwarding(int64_t their_wait_ms, int64_t own_wait_ms) {
  return kMinWaitRatio * (their_wait_ms + kForwardingCostMs) < own_wait_ms;
}

bool ForwardJob(PoolBoard& board,
                const wire::JobOrder& order,
                Micros now,
                PoolActions& actions) {
  MeshMember* neighbour = nullptr;
  if (board.options.features.move_waiting_jobs) {
    neighbour = FindBetterNeighbour(board, order, now);
  } else {
    neighbour = FindNeighbourWithCapacity(board, order, now);
    neighbour = neighbour != nullptr
                    ? neighbour
                    : FindNeighbourWithShorterQueue(board, now);
  }
  if (neighbour == nullptr) {
    return false;
  }
  SendForwardedOrder(board, order, *neighbour, order.waited_ms() * kMillisecond,
                     actions);
  wire::PoolLoad& load = *neighbour->last_heartbeat.mutable_load();
  LogPoolEvent(
      actions, LogLevel::kInfo, "job_forwarded",
      {{"job", order.job_id()},
       {"to", neighbour->address},
       {"their_free_cpu_millis", std::to_string(load.free_cpu_millis())},
       {"waiting_here", std::to_string(board.waiting.size())}});
  // Until the neighbour's next heartbeat, its known load is adjusted by the
  // forwarded job.
  AddJobToLoad(load, InitialTasksOf(order), order.priority(), 1);
  return true;
}

}  // namespace goldcrest
