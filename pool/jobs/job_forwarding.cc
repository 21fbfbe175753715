#include "pool/jobs/job_forwarding.h"

#include <algorithm>

#include "pool/entry/standby.h"

namespace goldcrest {
namespace {

// A job is forwarded if the neighbour's wait plus the forwarding delay is at
// least this many times shorter than the wait here.
constexpr int64_t kMinWaitRatio = 2;
// Delay that is assumed for forwarding a job.
constexpr int64_t kForwardingDelayMs = 20;
// The wait that is assumed at this daemon while it drains.
constexpr int64_t kDrainingWaitMs = 10'000;

// Returns whether jobs may be forwarded to the member: a control daemon, or
// another entry daemon if this one is a standby (standby.h). One probe peer
// that hears a control daemon ends that state while workers are still ordered
// here, so with `standby_after` it is enough that this daemon hears none.
bool TakesForwardedJobs(const PoolBoard& board,
                        const MeshMember& member,
                        Micros now) {
  if (member.last_heartbeat.draining()) {
    return false;
  }
  return member.last_heartbeat.control() || IsQuickStandby(board) ||
         (board.options.features.standby_after != 0 &&
          !board.mesh.options.control && !HearsAnyControl(board.mesh, now));
}

// Returns the neighbour with the shortest queue, if that is so much shorter
// than the queue of this pool that it outweighs the forwarding delay; else
// null.
MeshMember* FindNeighbourWithShorterQueue(PoolBoard& board, Micros now) {
  MeshMember* best = nullptr;
  const int64_t own_wait_ms =
      board.draining ? kDrainingWaitMs : board.mesh.load.wait_ms();
  for (auto& [address, member] : board.mesh.members) {
    const wire::PoolLoad& load = member.last_heartbeat.load();
    const bool eligible =
        TakesForwardedJobs(board, member, now) && load.workers() > 0 &&
        IsLoadFresh(member, now) &&
        kMinWaitRatio * (load.wait_ms() + kForwardingDelayMs) < own_wait_ms;
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
  const int64_t cpu = InitialCpuDemand(order);
  for (auto& [address, member] : board.mesh.members) {
    const wire::PoolLoad& load = member.last_heartbeat.load();
    const bool eligible = TakesForwardedJobs(board, member, now) &&
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

void Forward(PoolBoard& board,
             const wire::JobOrder& order,
             MeshMember& to,
             PoolActions& actions) {
  ++board.counters.jobs_forwarded;
  wire::PoolMessage message;
  *message.mutable_job_order() = order;
  message.mutable_job_order()->set_forwarded(true);
  message.mutable_job_order()->set_seen_sequence(to.last_heartbeat.sequence());
  message.mutable_job_order()->clear_contact();
  SendTo(actions, to.address, std::move(message));
  wire::PoolMessage moved;
  moved.mutable_job_moved()->set_order(order.order());
  moved.mutable_job_moved()->set_to(to.address);
  SendTo(actions, order.entry(), std::move(moved));
  LogPoolEvent(actions, LogLevel::kInfo, "job_forwarded",
               {{"job", order.job_id()},
                {"to", to.address},
                {"their_free_cpu_millis",
                 std::to_string(to.last_heartbeat.load().free_cpu_millis())},
                {"waiting_here", std::to_string(board.waiting.size())}});
  AddToKnownLoad(to, order);
}

// Returns a reachable daemon with an open run of the task, or null. The next
// process of a daemon that has announced a run does not have it.
MeshMember* FindOwnerOfRun(PoolBoard& board, const TaskName& task, Micros now) {
  const auto found = board.open_run_news.elsewhere.find(task);
  if (found == board.open_run_news.elsewhere.end()) {
    return nullptr;
  }
  for (const auto& [process, run] : found->second) {
    const auto member = board.mesh.members.find(process.address);
    if (run.open && member != board.mesh.members.end() &&
        member->second.incarnation == process.incarnation &&
        IsPeerReachable(board.mesh, process.address, now) &&
        TakesForwardedJobs(board, member->second, now)) {
      return &member->second;
    }
  }
  return nullptr;
}

}  // namespace

int64_t InitialCpuDemand(const wire::JobOrder& order) {
  int64_t cpu = 0;
  for (const wire::JobStep& step : order.steps()) {
    if (step.after_size() == 0) {
      cpu += static_cast<int64_t>(step.tasks()) * step.cpu_millis();
    }
  }
  return cpu;
}

void AddToKnownLoad(MeshMember& member, const wire::JobOrder& order) {
  wire::PoolLoad& load = *member.last_heartbeat.mutable_load();
  const int64_t cpu = InitialCpuDemand(order);
  const int64_t work_ms =
      order.steps_size() > 0 ? cpu * order.steps(0).estimate_ms() : 0;
  load.set_free_cpu_millis(load.free_cpu_millis() - cpu);
  load.set_wait_ms(load.wait_ms() +
                   work_ms / std::max<int64_t>(load.capacity_cpu_millis(), 1));
}

bool BookNeighbourWithCapacity(PoolBoard& board,
                               const wire::JobOrder& order,
                               Micros now) {
  MeshMember* neighbour = FindNeighbourWithCapacity(board, order, now);
  if (neighbour == nullptr) {
    return false;
  }
  AddToKnownLoad(*neighbour, order);
  return true;
}

bool ForwardToOwnerOfRun(PoolBoard& board,
                         const wire::JobOrder& order,
                         Micros now,
                         PoolActions& actions) {
  if (board.open_run_news.elsewhere.empty()) {
    return false;
  }
  for (int step = 0; step < order.steps_size(); ++step) {
    for (uint32_t i = 0; i < order.steps(step).tasks(); ++i) {
      MeshMember* owner = FindOwnerOfRun(
          board, {order.job_id(), 0, static_cast<uint32_t>(step), i}, now);
      if (owner != nullptr) {
        Forward(board, order, *owner, actions);
        return true;
      }
    }
  }
  return false;
}

bool ForwardJob(PoolBoard& board,
                const wire::JobOrder& order,
                Micros now,
                PoolActions& actions) {
  MeshMember* neighbour = FindNeighbourWithCapacity(board, order, now);
  neighbour = neighbour != nullptr ? neighbour
                                   : FindNeighbourWithShorterQueue(board, now);
  if (neighbour == nullptr) {
    return false;
  }
  Forward(board, order, *neighbour, actions);
  return true;
}

}  // namespace goldcrest
