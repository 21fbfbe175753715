#include "pool/placement/placement_start.h"

#include <utility>
#include <vector>

#include "pool/admission/retry_after.h"
#include "pool/jobs/job_end.h"
#include "pool/jobs/task_queue.h"
#include "pool/placement/task_requirements.h"
#include "pool/workers/crash_limit.h"
#include "pool/workers/run_ends.h"
#include "pool/workers/run_times.h"
#include "pool/workers/worker_health.h"
#include "pool/workers/worker_profile.h"
#include "pool/workers/worker_session.h"

namespace goldcrest::detail {
namespace {

// Returns true if even half of the task's expected run time would end after the
// job's deadline.
bool IsTooLateToStart(const PoolJob& job, uint32_t step, Micros now) {
  return now + job.steps[step].expected_run_time / 2 > job.deadline;
}

// Refuses an unstarted job that the crash limit of its queue delays beyond its
// deadline. Returns whether it did.
bool RefuseIfLimited(PoolBoard& board,
                     PoolJob& job,
                     const WaitingKey& key,
                     Micros limit,
                     Micros now,
                     PoolActions& actions) {
  const Micros run_time = job.steps[key.step].expected_run_time;
  if (job.started || now + limit + run_time / 2 <= job.deadline) {
    return false;
  }
  ++board.counters.crash_limit_refusals;
  RefuseUnstartedJob(board, job.key, "crash_limit",
                     RetryAfterMs(board, job.order, limit + run_time, now),
                     false, now, actions);
  return true;
}

}  // namespace

void StartTaskOn(PoolBoard& board,
                 PoolWorker& worker,
                 PoolJob& job,
                 const WaitingKey& key,
                 bool ahead,
                 Micros now,
                 PoolActions& actions) {
  const TaskName name{job.order.job_id(), 0, key.step, key.index};
  if (!CheckNoRunIsOpen(board, name, actions)) {
    QueueTask(board, job, key.step, key.index);
    return;
  }
  PoolTask& task = job.steps[key.step].tasks[key.index];
  task.phase = TaskPhase::kRunning;
  task.worker = worker.status.id();
  ++task.attempt_count;
  if (!job.started) {
    job.started = true;
    job.first_start_at = now;
  }
  WorkerAttempt attempt;
  attempt.job_key = job.key;
  attempt.attempt_number = task.attempt_count;
  attempt.resources = ResourcesOf(job.order.steps(static_cast<int>(key.step)));
  attempt.sent_at = now;
  attempt.alone = IsCrashSuspect(board.crashes, name);
  attempt.expected_run_time = static_cast<Micros>(
      static_cast<double>(job.steps[key.step].expected_run_time) *
      RunTimeFactor(board, worker));
  std::vector<LogField> fields = {
      {"job", job.order.job_id()},
      {"step", std::to_string(key.step)},
      {"index", std::to_string(key.index)},
      {"run", std::to_string(attempt.attempt_number)},
      {"worker", task.worker},
      {"token", std::to_string(worker.token)},
      {"waited_ms", std::to_string((now - job.received_at) / kMillisecond)},
      {"expected_ms", std::to_string(attempt.expected_run_time / kMillisecond)},
      {"free_cpu", std::to_string(FreeCapacity(worker).cpu_millis)},
      {"clock_ms_old", std::to_string((now - worker.clock_at) / kMillisecond)}};
  if (ahead) {
    fields.push_back({"ahead", "1"});
    ++board.counters.starts_ahead;
  }
  if (attempt.alone) {
    fields.push_back({"alone", "1"});
  }
  LogPoolEvent(actions, LogLevel::kInfo, "task_started", std::move(fields));
  StartAttempt(board, worker, name, attempt, job.order.spec(), now, actions);
}

bool IsSuspectTask(const PoolBoard& board,
                   const PoolJob& job,
                   const WaitingKey& key) {
  return !board.crashes.jobs.empty() &&
         IsCrashSuspect(board.crashes,
                        {job.order.job_id(), 0, key.step, key.index});
}

bool EndIfTooLate(PoolBoard& board,
                  PoolJob& job,
                  const WaitingKey& key,
                  Micros now,
                  PoolActions& actions) {
  if (!IsTooLateToStart(job, key.step, now)) {
    return false;
  }
  EndJob(board, job.key, job.started ? wire::JOB_TIMED_OUT : wire::JOB_REFUSED,
         "no_time_left", now, actions);
  return true;
}

CrashVerdict CheckCrashLimit(PoolBoard& board,
                             PoolJob& job,
                             const WaitingKey& key,
                             Micros now,
                             PoolActions& actions) {
  if (IsSuspectTask(board, job, key)) {
    return CrashVerdict::kWait;
  }
  const Micros limit = CrashLimitEndsIn(board, job.order.queue(), now);
  if (limit == 0) {
    return CrashVerdict::kNone;
  }
  return RefuseIfLimited(board, job, key, limit, now, actions)
             ? CrashVerdict::kJobEnded
             : CrashVerdict::kWait;
}

}  // namespace goldcrest::detail
