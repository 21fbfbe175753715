#include "pool/admission/job_admission.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "pool/admission/job_order_check.h"
#include "pool/admission/overload_control.h"
#include "pool/admission/retry_after.h"
#include "pool/jobs/job_contact.h"
#include "pool/jobs/job_end.h"
#include "pool/jobs/job_forwarding.h"
#include "pool/jobs/job_outcome.h"
#include "pool/jobs/pool_jobs.h"
#include "pool/jobs/task_queue.h"
#include "pool/placement/choose_worker.h"
#include "pool/placement/end_estimate.h"
#include "pool/placement/task_requirements.h"
#include "pool/queue_key.h"
#include "pool/workers/crash_limit.h"
#include "pool/workers/run_ends.h"
#include "pool/workers/run_times.h"

namespace goldcrest {
namespace {

// The key of a cancel of an older entry daemon, which names no queue.
constexpr char kAnyQueue[] = "";

// Returns the key that identifies the order: entry daemon, its incarnation and
// the order number.
std::string JobKeyOf(const wire::JobOrder& order) {
  return order.entry() + '/' + std::to_string(order.entry_incarnation()) + '/' +
         std::to_string(order.order());
}

// Returns the job of another queue that has the id of this order; null if there
// is none.
const PoolJob* JobOfOtherQueue(const PoolBoard& board,
                               const wire::JobOrder& order) {
  const auto key = board.job_keys.find(order.job_id());
  if (key == board.job_keys.end()) {
    return nullptr;
  }
  const auto job = board.jobs.find(key->second);
  const bool is_other =
      job != board.jobs.end() && job->second->order.queue() != order.queue();
  return is_other ? job->second.get() : nullptr;
}

// Returns whether a caller has cancelled the job before this order arrived.
bool WasCancelled(const PoolBoard& board, const wire::JobOrder& order) {
  const auto is_kept = [&](const std::string& queue) {
    return board.cancelled_until.contains(JobKeyInQueue(queue, order.job_id()));
  };
  return is_kept(order.queue()) || is_kept(kAnyQueue);
}

// Answers an order for which no job is created: it is refused, or the job has
// failed because no worker could ever run it.
void EndWithoutJob(PoolBoard& board,
                   const wire::JobOrder& order,
                   wire::JobFate outcome,
                   const std::string& reason,
                   int64_t retry_after_ms,
                   bool try_elsewhere,
                   Micros now,
                   PoolActions& actions) {
  if (outcome == wire::JOB_REFUSED && MayStillRun(board, order) &&
      JobOfOtherQueue(board, order) == nullptr) {
    outcome = wire::JOB_UNKNOWN;
    retry_after_ms = 0;
    try_elsewhere = false;
  }
  ++board.counters.jobs_ended[std::string(ToString(outcome))];
  LogPoolEvent(actions, LogLevel::kWarning, "job_not_taken",
               {{"job", order.job_id()},
                {"queue", order.queue()},
                {"fate", std::string(ToString(outcome))},
                {"reason", reason},
                {"entry", order.entry()},
                {"budget_ms", std::to_string(order.budget_ms())},
                {"waiting", std::to_string(board.waiting.size())},
                {"retry_after_ms", std::to_string(retry_after_ms)}});
  const Micros deadline = now + order.budget_ms() * kMillisecond;
  SendOutcome(board, order,
              {outcome, reason, retry_after_ms, try_elsewhere, deadline}, now,
              actions);
}

// Returns true if the entry daemon that sent the order is reachable and in the
// incarnation known here, so that a start permission can be requested from it.
bool IsKnownEntry(const PoolBoard& board,
                  const wire::JobOrder& order,
                  Micros now) {
  if (order.entry() == board.mesh.options.self) {
    return true;
  }
  const auto found = board.mesh.members.find(order.entry());
  return found != board.mesh.members.end() &&
         found->second.incarnation == order.entry_incarnation() &&
         IsPeerReachable(board.mesh, order.entry(), now);
}

std::unique_ptr<PoolJob> MakeJob(PoolBoard& board,
                                 const wire::JobOrder& order,
                                 Micros now) {
  auto job = std::make_unique<PoolJob>();
  job->key = JobKeyOf(order);
  job->order = order;
  job->sequence = board.next_sequence++;
  job->received_at = now - order.waited_ms() * kMillisecond;
  job->last_contact_at = now;
  job->contact = order.contact();
  job->deadline = now + order.budget_ms() * kMillisecond;
  Micros sequential_run_time = 0;
  for (const wire::JobStep& step : order.steps()) {
    PoolJobStep& new_step = job->steps.emplace_back();
    new_step.tasks.resize(step.tasks());
    new_step.open_tasks = step.tasks();
    new_step.expected_run_time = ExpectedRunTime(board, order, step);
    job->open_tasks += step.tasks();
    sequential_run_time += new_step.expected_run_time;
  }
  job->objective_at =
      job->received_at +
      static_cast<Micros>(order.stretch() *
                          static_cast<double>(sequential_run_time)) +
      order.target_ms() * kMillisecond;
  return job;
}

// Returns true if for each step there is a worker that could run its tasks.
bool CanEverRun(const PoolBoard& board, const wire::JobOrder& order) {
  return std::all_of(order.steps().begin(), order.steps().end(),
                     [&](const wire::JobStep& step) {
                       return std::any_of(
                           board.workers.begin(), board.workers.end(),
                           [&](const auto& entry) {
                             return CouldEverRun(entry.second, order, step);
                           });
                     });
}

// Returns whether a later order of the same entry daemon process has replaced
// `order`.
bool IsSuperseded(const wire::JobOrder& order, const wire::JobOrder& present) {
  return order.entry() == present.entry() &&
         order.entry_incarnation() == present.entry_incarnation() &&
         order.order() < present.order();
}

// Makes `order` the order of the job. What is to run stays as it was first
// sent: tasks of it may be queued or running under the first priority and
// steps.
void ReplaceOrder(PoolJob& job, const wire::JobOrder& order) {
  job.order.set_order(order.order());
  job.order.set_entry(order.entry());
  job.order.set_entry_incarnation(order.entry_incarnation());
  job.order.set_budget_ms(order.budget_ms());
  job.order.set_seen_sequence(order.seen_sequence());
  job.order.set_forwarded(order.forwarded());
}

// Attaches the order to the job that already exists here for the same job id.
// Returns true if the order needs no new job: it was attached, or it repeats
// the order of that job.
bool AttachToExistingJob(PoolBoard& board,
                         const wire::JobOrder& order,
                         Micros now,
                         PoolActions& actions) {
  const auto known = board.job_keys.find(order.job_id());
  if (known == board.job_keys.end()) {
    return false;
  }
  const std::string old_key = known->second;
  const auto found = board.jobs.find(old_key);
  if (found == board.jobs.end() || old_key == JobKeyOf(order) ||
      IsSuperseded(order, found->second->order)) {
    return true;
  }
  std::unique_ptr<PoolJob> job = std::move(found->second);
  board.jobs.erase(found);
  // The earlier order is answered, so that its entry daemon does not send the
  // job to another control daemon.
  SendOutcome(board, job->order,
              {wire::JOB_UNKNOWN, "sent_again", 0, false, job->deadline}, now,
              actions);
  job->key = JobKeyOf(order);
  ReplaceOrder(*job, order);
  job->deadline = now + order.budget_ms() * kMillisecond;
  // The new entry daemon has not given a start permission yet. If the job has
  // started, the permission is requested at once, so that the entry daemon does
  // not assume that the job has not run.
  job->start_permitted = false;
  job->first_permission_request_at = 0;
  job->last_permission_request_at = 0;
  job->last_contact_at = now;
  job->contact = order.contact();
  if (job->started) {
    RequestStartPermission(*job, now, actions);
  }
  for (auto& [id, worker] : board.owned) {
    for (auto& [name, attempt] : worker->attempts) {
      if (attempt.job_key == old_key) {
        attempt.job_key = job->key;
      }
    }
  }
  LogPoolEvent(
      actions, LogLevel::kInfo, "job_attached",
      {{"job", order.job_id()}, {"entry", order.entry()}, {"before", old_key}});
  known->second = job->key;
  const std::string key = job->key;
  board.jobs[key] = std::move(job);
  return true;
}

void LogAccepted(const PoolBoard& board,
                 const PoolJob& job,
                 Micros estimate,
                 PoolActions& actions) {
  LogPoolEvent(actions, LogLevel::kInfo, "job_accepted",
               {{"job", job.order.job_id()},
                {"queue", job.order.queue()},
                {"service", job.order.service()},
                {"entry", job.order.entry()},
                {"tasks", std::to_string(job.open_tasks)},
                {"budget_ms", std::to_string(job.order.budget_ms())},
                {"due_ms", std::to_string((job.objective_at - job.received_at) /
                                          kMillisecond)},
                {"expected_ms", std::to_string(estimate / kMillisecond)},
                {"waiting", std::to_string(board.waiting.size())}});
}

}  // namespace

void OnJobOrder(PoolBoard& board,
                const wire::JobOrder& order,
                Micros now,
                PoolActions& actions) {
  ++board.counters.jobs_received;
  const std::string error = ValidateJobOrder(order);
  if (!error.empty()) {
    EndWithoutJob(board, order, wire::JOB_REFUSED, error, kShortestRetryAfterMs,
                  false, now, actions);
    return;
  }
  // When this daemon sent the newest of its heartbeats that the sender had
  // received.
  const Micros heartbeat_sent_at =
      order.entry() == board.mesh.options.self
          ? now
          : HeartbeatSentAt(board.mesh, order.seen_sequence());
  const Micros stale_after = ContactTimeout(board.mesh, order.entry(), now) +
                             board.options.stale_order_slack;
  if (heartbeat_sent_at == 0 || now - heartbeat_sent_at > stale_after) {
    EndWithoutJob(board, order, wire::JOB_REFUSED, "order_out_of_date",
                  kShortestRetryAfterMs, true, now, actions);
    return;
  }
  if (IsContactGivenUp(board, order.entry(), order.contact())) {
    EndWithoutJob(board, order, wire::JOB_REFUSED, "given_up_by_entry",
                  kShortestRetryAfterMs, true, now, actions);
    return;
  }
  if (!IsKnownEntry(board, order, now)) {
    EndWithoutJob(board, order, wire::JOB_REFUSED, "entry_not_heard",
                  kShortestRetryAfterMs, true, now, actions);
    return;
  }
  if (WasCancelled(board, order)) {
    EndWithoutJob(board, order, wire::JOB_CANCELLED, "asked_by_entry", 0, false,
                  now, actions);
    return;
  }
  if (const PoolJob* other = JobOfOtherQueue(board, order)) {
    // Its tasks have the same names at workers.
    const int64_t ends_in_ms = (other->objective_at - now) / kMillisecond;
    EndWithoutJob(board, order, wire::JOB_REFUSED, "id_in_other_queue",
                  std::max(ends_in_ms, kShortestRetryAfterMs), false, now,
                  actions);
    return;
  }
  if (AttachToExistingJob(board, order, now, actions)) {
    return;
  }
  const TaskName* given_up =
      FindGivenUpTask(board.crashes, board.options.crashes, order.job_id());
  if (given_up != nullptr) {
    EndWithoutJob(board, order, wire::JOB_FAILED, "task_crashed_workers", 0,
                  false, now, actions);
    return;
  }
  // An entry daemon that is a standby knows the workers of its own failure
  // domain only.
  if (board.mesh.options.control &&
      now - board.started_at > kWorkerDiscoveryTime &&
      !CanEverRun(board, order)) {
    EndWithoutJob(board, order, wire::JOB_FAILED, "no_worker_could_hold_it", 0,
                  false, now, actions);
    return;
  }
  if (!order.forwarded() && ForwardToOwnerOfRun(board, order, now, actions)) {
    return;
  }
  std::unique_ptr<PoolJob> job = MakeJob(board, order, now);
  // A draining daemon accepts no new jobs: it forwards them, or refuses them
  // with "no_workers".
  const Micros estimate =
      board.draining ? kNever : EstimateTimeToEnd(board, *job, now);
  const Micros first_step_run_time = job->steps[0].expected_run_time;
  // The estimate covers all steps, and is compared with the run time of the
  // first step: above 5/4 of it, another control daemon is tried.
  if (!order.forwarded() &&
      (estimate > first_step_run_time * 5 / 4 || board.draining)) {
    if (ForwardJob(board, order, now, actions)) {
      return;
    }
  }
  RecordOfferedWork(board, order, now);
  const Micros budget = order.budget_ms() * kMillisecond;
  if (estimate >= kNever) {
    EndWithoutJob(board, order, wire::JOB_REFUSED, "no_workers",
                  RetryAfterMs(board, *job, now), true, now, actions);
    return;
  }
  const Micros limit = CrashLimitEndsIn(board, order.queue(), now);
  if (limit > 0 && limit + first_step_run_time > budget) {
    ++board.counters.crash_limit_refusals;
    EndWithoutJob(board, order, wire::JOB_REFUSED, "crash_limit",
                  RetryAfterMs(board, order, limit + first_step_run_time, now),
                  false, now, actions);
    return;
  }
  if (estimate > budget) {
    EndWithoutJob(board, order, wire::JOB_REFUSED, "no_room_in_time",
                  RetryAfterMs(board, order, estimate, now), false, now,
                  actions);
    return;
  }
  LogAccepted(board, *job, estimate, actions);
  board.job_keys[order.job_id()] = job->key;
  PoolJob& stored_job = *job;
  board.jobs[stored_job.key] = std::move(job);
  QueueUnblockedTasks(board, stored_job);
}

}  // namespace goldcrest
