#include "pool/pool_balance.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

#include "pool/pool_choice.h"
#include "pool/pool_jobs.h"

namespace goldcrest {
namespace {

bool IsMovable(const PoolBoard& board,
               const PoolJob& job,
               const BalanceLimits& limits,
               Micros now) {
  const uint32_t moves = MovesOf(job.order);
  return !job.started && job.order.permits_by_move() &&
         (job.last_permission_request_at == 0 || board.draining) &&
         moves < limits.moves_per_job &&
         (moves == 0 || now - job.accepted_at >= limits.min_stay);
}

// Returns the expected run time of all steps, one after the other.
Micros SequentialRunTime(const PoolJob& job) {
  Micros sum = 0;
  for (const PoolJobStep& step : job.steps) {
    sum += step.expected_run_time;
  }
  return sum;
}

MovableJob MakeMovableJob(const PoolJob& job, int64_t wait_ms, Micros now) {
  MovableJob movable;
  movable.key = job.key;
  movable.job_id = job.order.job_id();
  movable.initial = InitialTasksOf(job.order);
  movable.priority = job.order.priority();
  movable.on_time = job.expected_lateness == ExpectedLateness::kOnTime;
  movable.wait_ms = wait_ms;
  movable.longest_wait_ms =
      (job.deadline - now - SequentialRunTime(job)) / kMillisecond;
  return movable;
}

// Returns how long the job would wait in a pool with this load that cannot hold
// all of it.
int64_t QueueWaitMs(const wire::PoolLoad& load, const MovableJob& job) {
  // A late job is placed after all that can be on time, so it may wait for the
  // whole queue.
  return job.on_time ? ExpectedWaitMs(load, job.priority) : load.wait_ms();
}

// Returns the wait of the job in a pool with this load, or nullopt if a move
// there does not outweigh its cost.
std::optional<int64_t> WaitIfWorthMoving(const wire::PoolLoad& load,
                                         const MovableJob& job) {
  const bool holds_at_once = HoldsAtOnce(load, job.initial);
  const int64_t wait_ms = holds_at_once ? 0 : QueueWaitMs(load, job);
  const bool worth_it = OutweighsForwarding(wait_ms, job.wait_ms) &&
                        wait_ms + kForwardingCostMs <= job.longest_wait_ms;
  return worth_it ? std::optional(wait_ms) : std::nullopt;
}

// Returns the target for the job, or nullopt if no move outweighs its cost.
std::optional<JobMove> ChooseTarget(const MovableJob& job,
                                    const std::vector<BalanceTarget>& targets,
                                    const MeshOptions& self) {
  std::vector<JobMove> moves;
  std::vector<PoolOffer> offers;
  for (size_t i = 0; i < targets.size(); ++i) {
    const MeshMember& member = *targets[i].member;
    const std::optional<int64_t> wait_ms =
        WaitIfWorthMoving(member.last_heartbeat.load(), job);
    // The offer's hash is costly, so it is computed last.
    if (wait_ms) {
      offers.push_back(
          MakePoolOffer(member, job.initial, job.priority, self, job.job_id));
      offers.back().wait_ms = *wait_ms;
      moves.push_back({0, i, *wait_ms});
    }
  }
  const std::optional<size_t> chosen = ChoosePool(offers);
  return chosen ? std::optional(moves[*chosen]) : std::nullopt;
}

// Returns the neighbours that report holes and waits, as targets.
std::vector<BalanceTarget> FindTargets(PoolBoard& board, Micros now) {
  std::vector<BalanceTarget> targets;
  for (MeshMember* member : FindAvailableNeighbours(board, now)) {
    if (StatesHolesAndWaits(member->last_heartbeat.load())) {
      targets.push_back({member, 1});
    }
  }
  for (BalanceTarget& target : targets) {
    const int64_t wait_ms = target.member->last_heartbeat.load().wait_ms();
    target.senders += std::count_if(
        targets.begin(), targets.end(), [&](const BalanceTarget& other) {
          return OutweighsForwarding(
              wait_ms, other.member->last_heartbeat.load().wait_ms());
        });
  }
  return targets;
}

void MoveJob(PoolBoard& board,
             const MovableJob& movable,
             const JobMove& move,
             MeshMember& to,
             Micros now,
             PoolActions& actions) {
  const std::unique_ptr<PoolJob> job = RemoveJob(board, movable.key);
  if (job == nullptr) {
    return;
  }
  const Micros waited = now - job->received_at;
  const Micros left = std::max<Micros>(job->deadline - now, 0);
  job->order.set_budget_ms(static_cast<uint32_t>(left / kMillisecond));
  SendForwardedOrder(board, job->order, to, waited, actions);
  ++board.counters.waiting_jobs_moved;
  LogPoolEvent(actions, LogLevel::kInfo, "waiting_job_moved",
               {{"job", movable.job_id},
                {"queue", job->order.queue()},
                {"to", to.address},
                {"waited_ms", std::to_string(waited / kMillisecond)},
                {"wait_here_ms", std::to_string(movable.wait_ms)},
                {"wait_there_ms", std::to_string(move.their_wait_ms)},
                {"moves", std::to_string(MovesOf(job->order) + 1)},
                {"budget_ms", std::to_string(job->order.budget_ms())},
                {"waiting_here", std::to_string(board.waiting.size())}});
}

}  // namespace

std::vector<MovableJob> FindMovableJobs(const PoolBoard& board,
                                        const BalanceLimits& limits,
                                        Micros now) {
  std::vector<MovableJob> movable;
  const int64_t cpu = WorkingCpuMillis(board, now);
  const bool serves = cpu > 0 && !board.draining;
  int64_t work = 0;  // of the tasks that are placed earlier
  size_t considered = 0;
  uint64_t previous_job = 0;  // its sequence number; 0: none
  for (const auto& [key, waiting] : board.waiting) {
    if (considered++ == limits.tasks_per_tick) {
      break;
    }
    const PoolJob& job = *waiting.job;
    // The tasks of a job are next to each other in the queue.
    if (key.sequence != previous_job && IsMovable(board, job, limits, now)) {
      movable.push_back(
          MakeMovableJob(job, serves ? work / cpu : kNoServiceWaitMs, now));
    }
    previous_job = key.sequence;
    work += WorkOf(key, job);
  }
  return movable;
}

std::vector<JobMove> PlanMoves(const std::vector<MovableJob>& jobs,
                               const std::vector<BalanceTarget>& targets,
                               const MeshOptions& self,
                               const BalanceLimits& limits) {
  std::vector<JobMove> moves;
  for (size_t i = 0; i < jobs.size() && moves.size() < limits.moves_per_tick;
       ++i) {
    std::optional<JobMove> move = ChooseTarget(jobs[i], targets, self);
    if (!move) {
      continue;
    }
    move->job = i;
    const BalanceTarget& target = targets[move->target];
    AddJobToLoad(*target.member->last_heartbeat.mutable_load(), jobs[i].initial,
                 jobs[i].priority, target.senders);
    moves.push_back(*move);
  }
  return moves;
}

void BalanceTick(PoolBoard& board, Micros now, PoolActions& actions) {
  if (!board.options.features.move_waiting_jobs ||
      !board.mesh.options.control || board.waiting.empty()) {
    return;
  }
  const BalanceLimits limits;
  const std::vector<BalanceTarget> targets = FindTargets(board, now);
  if (targets.empty()) {
    return;
  }
  const std::vector<MovableJob> jobs = FindMovableJobs(board, limits, now);
  for (const JobMove& move :
       PlanMoves(jobs, targets, board.mesh.options, limits)) {
    MoveJob(board, jobs[move.job], move, *targets[move.target].member, now,
            actions);
  }
}

}  // namespace goldcrest
