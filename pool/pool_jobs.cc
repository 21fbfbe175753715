#include "pool/pool_jobs.h"

#include <algorithm>
#include <utility>

#include "pool/admission/overload_control.h"
#include "pool/admission/retry_after.h"
#include "pool/job_contact.h"
#include "pool/job_outcome.h"
#include "pool/workers/run_ends.h"
#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

// An answer has little value for its caller after this many times the latency
// objective.
constexpr int kLateObjectiveFactor = 3;
// A request for a start permission is repeated after this long without answer.
constexpr Micros kPermissionRetryDelay = 100 * kMillisecond;

bool IsUnblocked(const PoolJob& job, uint32_t step) {
  const auto& after = job.order.steps(static_cast<int>(step)).after();
  return std::all_of(after.begin(), after.end(), [&](uint32_t earlier) {
    return job.steps[earlier].open_tasks == 0;
  });
}

// Removes the job's waiting tasks from the queue.
void RemoveFromQueue(PoolBoard& board, PoolJob& job) {
  for (uint32_t step = 0; step < job.steps.size(); ++step) {
    for (uint32_t i = 0; i < job.steps[step].tasks.size(); ++i) {
      if (job.steps[step].tasks[i].phase == TaskPhase::kWaiting) {
        board.waiting.erase(WaitingKeyOf(job, step, i));
      }
    }
  }
}

// Returns how late a job will be if it starts now. It is at risk if it would be
// late with run times that are longer than estimated by the part `margin`.
// There is no margin if the objective leaves none even to a job that starts
// when it arrives: all jobs of its queue would always be at risk.
ExpectedLateness ExpectedLatenessOf(const PoolJob& job,
                                    double margin,
                                    Micros now) {
  const Micros expected = RemainingSequentialRunTime(job);
  const auto longest =
      static_cast<Micros>((1 + margin) * static_cast<double>(expected));
  const bool has_margin = job.received_at + longest < job.objective_at;
  if (now + (has_margin ? longest : expected) <= job.objective_at) {
    return ExpectedLateness::kOnTime;
  }
  if (now + expected <= job.objective_at) {
    return ExpectedLateness::kAtRisk;
  }
  return now + expected <= ValueEndsAt(job) ? ExpectedLateness::kLate
                                            : ExpectedLateness::kVeryLate;
}

}  // namespace

WaitingKey WaitingKeyOf(const PoolJob& job, uint32_t step, uint32_t index) {
  return {job.expected_lateness,
          job.rank,
          job.order.priority(),
          job.objective_at,
          job.sequence,
          step,
          index};
}

Micros RemainingSequentialRunTime(const PoolJob& job) {
  Micros expected = 0;
  for (const PoolJobStep& step : job.steps) {
    expected += step.open_tasks > 0 ? step.expected_run_time : 0;
  }
  return expected;
}

Micros ValueEndsAt(const PoolJob& job) {
  return job.received_at +
         kLateObjectiveFactor * (job.objective_at - job.received_at);
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

PoolJob* FindPoolJob(PoolBoard& board, const std::string& key) {
  const auto found = board.jobs.find(key);
  return found == board.jobs.end() ? nullptr : found->second.get();
}

PoolJob* FindJobOfTask(PoolBoard& board, const TaskName& name) {
  const auto key = board.job_keys.find(name.job_id);
  PoolJob* job =
      key == board.job_keys.end() ? nullptr : FindPoolJob(board, key->second);
  const bool has_task = job != nullptr && name.step < job->steps.size() &&
                        name.index < job->steps[name.step].tasks.size();
  return has_task ? job : nullptr;
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

void RequestStartPermission(PoolJob& job, Micros now, PoolActions& actions) {
  if (job.last_permission_request_at != 0 &&
      now - job.last_permission_request_at < kPermissionRetryDelay) {
    return;
  }
  job.last_permission_request_at = now;
  job.first_permission_request_at = job.first_permission_request_at == 0
                                        ? now
                                        : job.first_permission_request_at;
  wire::PoolMessage message;
  message.mutable_job_ask()->set_order(job.order.order());
  message.mutable_job_ask()->set_job_id(job.order.job_id());
  SendTo(actions, job.order.entry(), std::move(message));
}

void OnStartPermitted(PoolBoard& board,
                      const std::string& entry,
                      const wire::JobGo& go) {
  const auto found = board.job_keys.find(go.job_id());
  PoolJob* job = found == board.job_keys.end()
                     ? nullptr
                     : FindPoolJob(board, found->second);
  if (job == nullptr || job->order.order() != go.order() ||
      job->order.entry() != entry) {
    return;  // the job has ended, or belongs to another order
  }
  if (IsContactGivenUp(board, entry, go.contact())) {
    return;  // the job ends in the next tick
  }
  job->start_permitted = true;
  job->contact = go.contact();
  // The entry daemon may have answered any of the repeated requests, so only
  // the time of the first is certain to be no later than its answer.
  job->last_contact_at = job->first_permission_request_at;
  if (go.budget_ms() != 0) {
    // The order may have been delayed, and with it this daemon's deadline.
    job->deadline = std::min(job->deadline, job->first_permission_request_at +
                                                go.budget_ms() * kMillisecond);
  }
  board.placement_due = true;
}

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
    board.cancelled_until[cancel.job_id()] = now + kCancelMemory;
  }
  const bool matches =
      job != nullptr && (any_order || (cancel.order() == job->order.order() &&
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

void JobsTick(PoolBoard& board, Micros now, PoolActions& actions) {
  const double margin = LatenessMargin(board.options.features);
  // The keys of the jobs, and what ended the contact; kNone: their time is up.
  std::vector<std::pair<std::string, ContactEnd>> ending;
  for (const auto& [key, job] : board.jobs) {
    const ContactEnd contact_end = FindContactEnd(board, *job, now);
    if (contact_end != ContactEnd::kNone || now > job->deadline) {
      ending.emplace_back(key, contact_end);
      continue;
    }
    if (job->last_permission_request_at != 0 && !job->start_permitted) {
      RequestStartPermission(*job, now, actions);
    }
    // A started job keeps its place in the queue: the work already done is of
    // use to its caller only if the whole job is completed.
    const ExpectedLateness lateness =
        job->started ? job->expected_lateness
                     : ExpectedLatenessOf(*job, margin, now);
    if (lateness != job->expected_lateness) {
      MoveInQueue(board, *job, lateness, job->rank);
    }
  }
  for (const auto& [key, contact_end] : ending) {
    if (contact_end != ContactEnd::kNone) {
      EndAbandonedJob(board, key, std::string(ToString(contact_end)), now,
                      actions);
      continue;
    }
    const PoolJob* job = FindPoolJob(board, key);
    const bool started = job != nullptr && job->started;
    EndJob(board, key, started ? wire::JOB_TIMED_OUT : wire::JOB_REFUSED,
           "time_is_up", now, actions);
  }
  std::erase_if(board.cancelled_until,
                [&](const auto& entry) { return now >= entry.second; });
  OverloadTick(board, now, actions);
}

}  // namespace goldcrest
