#include "pool/jobs/pool_jobs.h"

#include <algorithm>
#include <utility>

#include "pool/admission/overload_control.h"
#include "pool/jobs/job_contact.h"
#include "pool/jobs/job_end.h"
#include "pool/jobs/task_queue.h"

namespace goldcrest {
namespace {

// An answer has little value for its caller after this many times the latency
// objective.
constexpr int kLateObjectiveFactor = 3;
// A request for a start permission is repeated after this long without answer.
constexpr Micros kPermissionRetryDelay = 100 * kMillisecond;

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
