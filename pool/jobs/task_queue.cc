#include "pool/jobs/task_queue.h"

#include <algorithm>

#include "pool/jobs/pool_jobs.h"
#include "pool/workers/run_ends.h"

namespace goldcrest {
namespace {

bool IsUnblocked(const PoolJob& job, uint32_t step) {
  const auto& after = job.order.steps(static_cast<int>(step)).after();
  return std::all_of(after.begin(), after.end(), [&](uint32_t earlier) {
    return job.steps[earlier].open_tasks == 0;
  });
}

}  // namespace

void RemoveFromQueue(PoolBoard& board, PoolJob& job) {
  for (uint32_t step = 0; step < job.steps.size(); ++step) {
    for (uint32_t i = 0; i < job.steps[step].tasks.size(); ++i) {
      if (job.steps[step].tasks[i].phase == TaskPhase::kWaiting) {
        board.waiting.erase(WaitingKeyOf(job, step, i));
      }
    }
  }
}

WaitingKey WaitingKeyOf(const PoolJob& job, uint32_t step, uint32_t index) {
  return {job.expected_lateness,
          job.rank,
          job.order.priority(),
          job.objective_at,
          job.sequence,
          step,
          index};
}

void MoveInQueue(PoolBoard& board,
                 PoolJob& job,
                 ExpectedLateness lateness,
                 QueueRank rank) {
  RemoveFromQueue(board, job);
  job.expected_lateness = lateness;
  job.rank = rank;
  for (uint32_t step = 0; step < job.steps.size(); ++step) {
    for (uint32_t i = 0; i < job.steps[step].tasks.size(); ++i) {
      if (job.steps[step].tasks[i].phase == TaskPhase::kWaiting) {
        QueueTask(board, job, step, i);
      }
    }
  }
}

void QueueUnblockedTasks(PoolBoard& board, PoolJob& job) {
  for (uint32_t step = 0; step < job.steps.size(); ++step) {
    if (!IsUnblocked(job, step)) {
      continue;
    }
    for (uint32_t i = 0; i < job.steps[step].tasks.size(); ++i) {
      if (job.steps[step].tasks[i].phase == TaskPhase::kBlocked) {
        QueueTask(board, job, step, i);
      }
    }
  }
}

void QueueHeldTask(PoolBoard& board, const TaskName& name) {
  PoolJob* job = FindJobOfTask(board, name);
  if (job != nullptr &&
      job->steps[name.step].tasks[name.index].phase == TaskPhase::kHeld) {
    QueueTask(board, *job, name.step, name.index);
  }
}

void HoldWaitingTask(PoolBoard& board, const TaskName& name) {
  PoolJob* job = FindJobOfTask(board, name);
  if (job != nullptr &&
      job->steps[name.step].tasks[name.index].phase == TaskPhase::kWaiting) {
    board.waiting.erase(WaitingKeyOf(*job, name.step, name.index));
    job->steps[name.step].tasks[name.index].phase = TaskPhase::kHeld;
  }
}

void QueueTask(PoolBoard& board, PoolJob& job, uint32_t step, uint32_t index) {
  if (IsRunOpen(board, {job.order.job_id(), 0, step, index})) {
    job.steps[step].tasks[index].phase = TaskPhase::kHeld;
    return;
  }
  job.steps[step].tasks[index].phase = TaskPhase::kWaiting;
  board.waiting[WaitingKeyOf(job, step, index)] = {&job};
  board.placement_due = true;
}

}  // namespace goldcrest
