#include "pool/jobs/job_end.h"

#include <memory>
#include <string>
#include <utility>

#include "pool/admission/retry_after.h"
#include "pool/jobs/job_outcome.h"
#include "pool/jobs/pool_jobs.h"
#include "pool/jobs/task_queue.h"
#include "pool/queue_key.h"
#include "pool/workers/run_ends.h"
#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

// How a job ends. A refused caller is told to return after `retry_after_ms`.
struct JobEnding {
  wire::JobFate fate = wire::JOB_FATE_UNSPECIFIED;
  std::string reason;
  int64_t retry_after_ms = 0;
  bool try_elsewhere = false;
  StopReason stop_reason = StopReason::kJobEnded;
};

// Stops the running attempts of a job that has ended.
void StopAttemptsOf(PoolBoard& board,
                    const PoolJob& job,
                    StopReason reason,
                    Micros now,
                    PoolActions& actions) {
  for (uint32_t step = 0; step < job.steps.size(); ++step) {
    for (uint32_t i = 0; i < job.steps[step].tasks.size(); ++i) {
      const PoolTask& task = job.steps[step].tasks[i];
      const auto worker = board.workers.find(task.worker);
      if (task.phase == TaskPhase::kRunning && worker != board.workers.end()) {
        StopAttempt(board, worker->second, {job.order.job_id(), 0, step, i},
                    reason, now, actions);
      }
    }
  }
}

void EndJobAs(PoolBoard& board,
              const std::string& key,
              JobEnding ending,
              Micros now,
              PoolActions& actions) {
  const auto found = board.jobs.find(key);
  if (found == board.jobs.end()) {
    return;
  }
  const std::unique_ptr<PoolJob> job = std::move(found->second);
  board.jobs.erase(found);
  if (ending.fate == wire::JOB_REFUSED && MayStillRun(board, job->order)) {
    ending.fate = wire::JOB_UNKNOWN;
    ending.retry_after_ms = 0;
    ending.try_elsewhere = false;
  }
  RemoveFromQueue(board, *job);
  const auto by_id = board.job_keys.find(job->order.job_id());
  if (by_id != board.job_keys.end() && by_id->second == key) {
    board.job_keys.erase(by_id);
  }
  ++board.counters.jobs_ended[std::string(ToString(ending.fate))];
  const Micros waited =
      job->started ? job->first_start_at - job->received_at : 0;
  LogPoolEvent(
      actions,
      ending.fate == wire::JOB_COMPLETED ? LogLevel::kInfo : LogLevel::kWarning,
      "job_ended",
      {{"job", job->order.job_id()},
       {"queue", job->order.queue()},
       {"fate", std::string(ToString(ending.fate))},
       {"reason", ending.reason},
       {"started", job->started ? "1" : "0"},
       {"open_tasks", std::to_string(job->open_tasks)},
       {"took_ms", std::to_string((now - job->received_at) / kMillisecond)},
       {"first_start_ms", std::to_string(waited / kMillisecond)}});
  SendOutcome(board, job->order,
              {ending.fate, ending.reason, ending.retry_after_ms,
               ending.try_elsewhere, job->deadline},
              now, actions);
  StopAttemptsOf(board, *job, ending.stop_reason, now, actions);
}

// Ends a job, and tells a refused caller when to return.
void EndJobAndStop(PoolBoard& board,
                   const std::string& key,
                   wire::JobFate fate,
                   const std::string& reason,
                   StopReason stop_reason,
                   Micros now,
                   PoolActions& actions) {
  const PoolJob* job = FindPoolJob(board, key);
  const bool refused = fate == wire::JOB_REFUSED;
  const bool try_elsewhere =
      refused && job != nullptr &&
      now + RemainingSequentialRunTime(*job) < job->deadline;
  const int64_t retry_after_ms = refused && job != nullptr && !try_elsewhere
                                     ? RetryAfterMs(board, *job, now)
                                     : (refused ? kShortestRetryAfterMs : 0);
  EndJobAs(board, key,
           {fate, reason, retry_after_ms, try_elsewhere, stop_reason}, now,
           actions);
}

// Returns whether the job is one of the queue with this key; an empty key means
// any queue.
bool IsInQueue(const PoolJob& job, const std::string& queue_key) {
  return queue_key.empty() || job.order.queue() == queue_key;
}

}  // namespace

void RefuseUnstartedJob(PoolBoard& board,
                        const std::string& key,
                        const std::string& reason,
                        int64_t retry_after_ms,
                        bool try_elsewhere,
                        Micros now,
                        PoolActions& actions) {
  const PoolJob* job = FindPoolJob(board, key);
  if (job != nullptr && !job->started) {
    EndJobAs(board, key,
             {wire::JOB_REFUSED, reason, retry_after_ms, try_elsewhere, {}},
             now, actions);
  }
}

void EndJob(PoolBoard& board,
            const std::string& key,
            wire::JobFate fate,
            const std::string& reason,
            Micros now,
            PoolActions& actions) {
  EndJobAndStop(board, key, fate, reason, StopReason::kJobEnded, now, actions);
}

void EndAbandonedJob(PoolBoard& board,
                     const std::string& key,
                     const std::string& reason,
                     Micros now,
                     PoolActions& actions) {
  const PoolJob* job = FindPoolJob(board, key);
  const bool started = job != nullptr && job->started;
  EndJobAndStop(board, key, started ? wire::JOB_UNKNOWN : wire::JOB_REFUSED,
                reason, StopReason::kJobAbandoned, now, actions);
}

bool OnJobCancel(PoolBoard& board,
                 const wire::JobCancel& cancel,
                 Micros now,
                 PoolActions& actions) {
  const bool any_order = cancel.order() == 0;
  const auto found = board.job_keys.find(cancel.job_id());
  const PoolJob* job = found == board.job_keys.end()
                           ? nullptr
                           : FindPoolJob(board, found->second);
  if (any_order) {
    board.cancelled_until[JobKeyInQueue(cancel.queue(), cancel.job_id())] =
        now + kCancelMemory;
  }
  const bool matches =
      job != nullptr && (any_order ? IsInQueue(*job, cancel.queue())
                                   : (cancel.order() == job->order.order() &&
                                      cancel.entry() == job->order.entry()));
  if (matches) {
    EndJobAndStop(board, found->second, wire::JOB_CANCELLED, "asked_by_entry",
                  StopReason::kJobAbandoned, now, actions);
  } else if (!any_order) {
    LogPoolEvent(actions, LogLevel::kInfo, "cancel_without_effect",
                 {{"job", cancel.job_id()},
                  {"entry", cancel.entry()},
                  {"order", std::to_string(cancel.order())},
                  {"present_order",
                   job == nullptr ? "" : std::to_string(job->order.order())}});
  }
  return matches;
}

}  // namespace goldcrest
