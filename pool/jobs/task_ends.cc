#include "pool/jobs/task_ends.h"

#include "pool/jobs/job_end.h"
#include "pool/jobs/pool_jobs.h"
#include "pool/jobs/task_queue.h"
#include "pool/workers/run_ends.h"
#include "pool/workers/run_times.h"
#include "pool/workers/start_bindings.h"
#include "pool/workers/worker_health.h"
#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

// Counts the failure of an attempt against its worker, unless the job has
// already failed on another worker and thus is likely to be at fault itself.
void CountWorkerFailure(PoolBoard& board,
                        PoolWorker& worker,
                        const PoolJob& job,
                        Micros now,
                        PoolActions& actions) {
  const bool fails_elsewhere =
      !job.failed_on.empty() && (job.failed_on.size() > 1 ||
                                 *job.failed_on.begin() != worker.status.id());
  if (fails_elsewhere || !RecordFailure(worker, now)) {
    return;
  }
  ++board.counters.ejections;
  LogPoolEvent(actions, LogLevel::kWarning, "worker_ejected",
               {{"worker", worker.status.id()},
                {"failures", std::to_string(worker.health.failures_in_row)},
                {"for_ms", std::to_string((worker.health.ejected_until - now) /
                                          kMillisecond)}});
}

void OnTaskDone(PoolBoard& board,
                PoolWorker& worker,
                PoolJob& job,
                const TaskName& name,
                const WorkerAttempt& attempt,
                Micros now,
                PoolActions& actions) {
  // 0: unknown, since the start was not confirmed or the completion was
  // reported late.
  const Micros took = attempt.answered_at != 0 ? now - attempt.answered_at : 0;
  RecordSuccess(worker, took, attempt.expected_run_time);
  if (took != 0) {
    LearnRunTime(board, job, name.step, worker, took);
  }
  job.steps[name.step].tasks[name.index].phase = TaskPhase::kDone;
  UnbindTask(board, name);
  --job.steps[name.step].open_tasks;
  --job.open_tasks;
  if (job.open_tasks == 0) {
    EndJob(board, job.key, wire::JOB_COMPLETED, "", now, actions);
  } else if (job.steps[name.step].open_tasks == 0) {
    QueueUnblockedTasks(board, job);
  }
}

void OnTaskFailed(PoolBoard& board,
                  PoolWorker& worker,
                  PoolJob& job,
                  const TaskName& name,
                  Micros now,
                  PoolActions& actions) {
  CountWorkerFailure(board, worker, job, now, actions);
  job.failed_on.insert(worker.status.id());
  PoolTask& task = job.steps[name.step].tasks[name.index];
  ++task.failures;
  if (task.failures >= job.order.max_attempts()) {
    EndJob(board, job.key, wire::JOB_FAILED, "attempts_used_up", now, actions);
    return;
  }
  QueueTask(board, job, name.step, name.index);
}

}  // namespace

void OnAttemptEnded(PoolBoard& board,
                    PoolWorker& worker,
                    const TaskName& name,
                    const WorkerAttempt& run,
                    const RunEndProof& proof,
                    bool never_ran,
                    Micros now,
                    PoolActions& actions) {
  const AttemptEnd end = proof.end();
  PoolJob* job = FindPoolJob(board, run.job_key);
  if (job == nullptr) {
    return;
  }
  PoolTask& task = job->steps[name.step].tasks[name.index];
  if (task.phase != TaskPhase::kRunning ||
      task.attempt_count != run.attempt_number ||
      task.worker != worker.status.id()) {
    return;
  }
  if (end != AttemptEnd::kDone) {
    task.last_worker = worker.status.id();
    LogPoolEvent(
        actions, LogLevel::kWarning, "run_ended",
        {{"job", name.job_id},
         {"task", ToString(name)},
         {"run", std::to_string(run.attempt_number)},
         {"worker", worker.status.id()},
         {"end", std::string(ToString(end))},
         {"proof", std::string(ToString(proof.cause()))},
         {"confirmed_born_ms", std::to_string(run.process_ms)},
         {"never_ran", never_ran ? "1" : "0"},
         {"age_ms", std::to_string((now - run.sent_at) / kMillisecond)}});
  }
  if (!never_ran && end == AttemptEnd::kDone) {
    OnTaskDone(board, worker, *job, name, run, now, actions);
  } else if (!never_ran && end == AttemptEnd::kFailed) {
    OnTaskFailed(board, worker, *job, name, now, actions);
  } else {
    QueueTask(board, *job, name.step, name.index);
  }
}

void OnLateCompletion(PoolBoard& board,
                      PoolWorker& worker,
                      const TaskName& name,
                      uint32_t run,
                      Micros now,
                      PoolActions& actions) {
  PoolJob* job = FindJobOfTask(board, name);
  if (job == nullptr) {
    return;
  }
  const PoolTask& task = job->steps[name.step].tasks[name.index];
  const std::string& id = worker.status.id();
  const bool waits =
      (task.phase == TaskPhase::kWaiting || task.phase == TaskPhase::kHeld) &&
      task.attempt_count == run && task.last_worker == id;
  // A start that had no answer was carried out after all, and repeated there.
  const bool repeated = task.phase == TaskPhase::kRunning &&
                        task.worker == id && IsBoundTo(board, name, id) &&
                        run < task.attempt_count;
  if (!waits && !repeated) {
    return;
  }
  LogPoolEvent(actions, LogLevel::kInfo, "late_end_taken",
               {{"job", name.job_id},
                {"task", ToString(name)},
                {"run", std::to_string(run)},
                {"worker", worker.status.id()}});
  board.waiting.erase(WaitingKeyOf(*job, name.step, name.index));
  if (repeated) {
    StopAttempt(board, worker, name, StopReason::kJobEnded, now, actions);
  }
  OnTaskDone(board, worker, *job, name, WorkerAttempt(), now, actions);
}

}  // namespace goldcrest
