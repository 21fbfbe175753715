#include "goldcrest/admission.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "goldcrest/claim_owner.h"
#include "goldcrest/claim_store.h"
#include "goldcrest/claim_voter.h"
#include "goldcrest/forwarding.h"
#include "goldcrest/jobs.h"
#include "goldcrest/membership.h"
#include "goldcrest/placement.h"
#include "goldcrest/submission.h"
#include "goldcrest/task_results.h"
#include "goldcrest/worker_lease.h"

namespace goldcrest {
namespace {

// The longest retry delay that a refusal names to a caller.
constexpr int64_t kMaxRetryAfterMs = 10'000;
// Capacity of a team's token bucket, as the number of seconds of its rate that
// it can accumulate while the team submits nothing.
constexpr double kBucketCapacitySeconds = 1;

wire::JobResult Refusal(ResultCode code, int64_t retry_after_ms) {
  wire::JobResult result = MakeResult(Outcome::kRefused, Ran::kNone, code);
  result.set_retry_after_ms(
      std::clamp(retry_after_ms, kMinRetryAfterMs, kMaxRetryAfterMs));
  return result;
}

// The rate limit of a team holds for the whole service; each VM enforces an
// equal share of it.
double RateShare(const Blackboard& bb, const TeamPolicy& policy) {
  return policy.max_submissions_per_s /
         static_cast<double>(bb.deployment.vms.size());
}

// Takes the token for one submission from the team's bucket. Returns 0, or the
// time in milliseconds until the bucket has a token if it has none.
int64_t TakeSubmissionToken(Blackboard& bb,
                            const std::string& team,
                            StepTime now) {
  const TeamPolicy* policy = bb.configuration.active.FindTeam(team);
  if (policy == nullptr) {
    return 0;
  }
  TeamUse& use = bb.queue.teams[team];
  const double rate = RateShare(bb, *policy);
  const double capacity = std::max(1.0, rate * kBucketCapacitySeconds);
  const double elapsed = static_cast<double>(now.mono - use.tokens_at) /
                         static_cast<double>(kSecond);
  use.submission_tokens =
      use.bucket_started
          ? std::min(capacity, use.submission_tokens + elapsed * rate)
          : capacity;
  use.bucket_started = true;
  use.tokens_at = now.mono;
  if (use.submission_tokens >= 1) {
    use.submission_tokens -= 1;
    return 0;
  }
  return static_cast<int64_t>((1 - use.submission_tokens) / rate * 1000) + 1;
}

// Returns true if `submission` has a task that no worker can ever run.
bool NeverFits(const Blackboard& bb, const wire::Submission& submission) {
  return std::any_of(
      submission.tasks().begin(), submission.tasks().end(),
      [&](const wire::Task& task) { return !CouldEverFit(bb, ShapeOf(task)); });
}

// Returns the shortest time in which `job` can run on `slots` slots, by the
// median estimates of the run-time model: the longest task or the total divided
// by the slots, whichever is longer.
Micros IdealTime(const Blackboard& bb, const Job& job, int slots) {
  Micros longest = 0;
  Micros total = 0;
  for (const wire::Task& task : job.submission.tasks()) {
    const Micros estimate =
        bb.run_times.Estimate(job.kind.name, task.run_ms()).median;
    longest = std::max(longest, estimate);
    total += estimate;
  }
  return std::max(longest, total / std::max(1, slots));
}

// Returns a refusal if no worker can run `job`.
std::optional<wire::JobResult> CheckWorkers(const Blackboard& bb,
                                            const Job& job,
                                            StepTime now) {
  if (KnowsWorkers(bb)) {
    if (NeverFits(bb, job.submission)) {
      return MakeResult(Outcome::kRefused, Ran::kNone, ResultCode::kNeverFits);
    }
    return std::nullopt;
  }
  const Micros last_seen =
      std::max(bb.workers.last_worker_seen_at, bb.membership.started_at);
  if (now.mono - last_seen > bb.tuning.no_worker_timeout) {
    return Refusal(ResultCode::kNoWorkers,
                   bb.tuning.worker_renew / kMillisecond);
  }
  return std::nullopt;
}

// Returns a refusal if the queue is full or the deadline can't be met.
std::optional<wire::JobResult> CheckLoad(const Blackboard& bb,
                                         const Job& job,
                                         StepTime now) {
  const auto queued = static_cast<int64_t>(bb.queue.queued_tasks);
  const Micros wait = ExpectedWait(bb, job.kind.priority);
  if (queued + job.submission.tasks_size() >
      bb.configuration.active.limits.max_queued_tasks) {
    return Refusal(ResultCode::kQueueFull, wait / kMillisecond / 2);
  }
  // The estimates depend on declared run times, which are often too long. So
  // only half of the ideal time counts against the deadline, but the whole
  // expected wait does.
  const Micros finish =
      now.mono + wait + IdealTime(bb, job, CapacitySlots(bb)) / 2;
  if (finish > job.deadline_at) {
    return Refusal(ResultCode::kDeadlineUnreachable,
                   (finish - job.deadline_at) / kMillisecond);
  }
  return std::nullopt;
}

// Returns a refusal if `job` may not run now.
std::optional<wire::JobResult> CheckAdmission(Blackboard& bb,
                                              const Job& job,
                                              StepTime now) {
  if (bb.draining) {
    return Refusal(ResultCode::kDraining, kMinRetryAfterMs);
  }
  if (auto refusal = CheckWorkers(bb, job, now)) {
    return refusal;
  }
  if (auto refusal = CheckLoad(bb, job, now)) {
    return refusal;
  }
  const int64_t wait_ms = TakeSubmissionToken(bb, job.submission.team(), now);
  if (wait_ms > 0) {
    return Refusal(ResultCode::kTeamRate, wait_ms);
  }
  return std::nullopt;
}

// Lowers the time by which the job should be answered to `target_stretch` times
// its ideal time after its arrival, if that is earlier. EnqueueTask() derives
// the latest start of a task, which is part of the queue order, from it. This
// bounds the stretch, the ratio of response time to ideal time, which lets
// short jobs overtake long ones without starving the long ones: deadlines of
// this form keep the greatest stretch low (M. Bender, S. Chakrabarti, S.
// Muthukrishnan, "Flow and stretch metrics for scheduling continuous job
// streams", 1998).
void BoundObjectiveTime(Blackboard& bb, Job& job) {
  const auto ideal = static_cast<double>(IdealTime(bb, job, DomainSlots(bb)));
  const auto stretched = static_cast<Micros>(bb.tuning.target_stretch * ideal);
  job.objective_time =
      std::min(job.objective_time, job.received_at + stretched);
}

// Queues the tasks of an admitted job, and starts the lookups of those that
// may have run before a takeover.
void QueueTasks(Blackboard& bb, Job& job, StepTime now, Actions& actions) {
  BoundObjectiveTime(bb, job);
  const std::string id = job.id;
  const size_t count = job.tasks.size();
  for (uint32_t index = 0; index < count; ++index) {
    const TaskRecord& task = job.tasks[index];
    if (task.state == TaskState::kQueued) {
      EnqueueTask(bb, job, index);
    } else if (task.state == TaskState::kLookingUp) {
      StartTaskLookup(bb, job, index, now, actions);
      if (FindJob(bb, id) != &job) {
        return;
      }
    }
  }
}

// Returns true if it is certain, without a query to other voters, that no VM
// has claimed the submission of `job`.
bool IsCertainlyUnclaimed(const Blackboard& bb, const Job& job, StepTime now) {
  if (IsDisabled(bb, DisabledMechanism::kRefuseWithoutQuery)) {
    return true;
  }
  const auto entry = bb.claims.entries.find(job.id);
  const bool has_vote = entry != bb.claims.entries.end() &&
                        (entry->second.record.accepted() != 0 ||
                         entry->second.record.promised() != 0);
  const std::vector<std::string> ranking =
      OwnerRanking(bb.deployment, job.home, job.id);
  // Voters don't wait for the lease of a preferred owner that is draining, so
  // another VM may have claimed the job then.
  return !has_vote && !bb.draining && ranking.front() == bb.deployment.self &&
         HeldLeaseSinceSubmission(bb, job.submission.submitted_at_ms(), now);
}

// Refuses `job` without a claim if it is certain that no VM has claimed it;
// else starts the claim.
void ClaimOrRefuse(Blackboard& bb, Job& job, StepTime now, Actions& actions) {
  if (IsCertainlyUnclaimed(bb, job, now)) {
    const auto refusal = CheckAdmission(bb, job, now);
    if (refusal) {
      AnswerAndRemove(bb, job, *refusal, now, actions);
      return;
    }
    job.admitted = true;
  }
  StartClaim(bb, job, now, actions);
}

// If a job or a finished claim with the id of `submission` exists, answers
// `waiter` from it or adds `waiter` to the job. Returns true if it did.
bool AnswerExisting(Blackboard& bb,
                    const wire::Submission& submission,
                    const Waiter& waiter,
                    Actions& actions) {
  const std::string& id = submission.submission_id();
  const wire::JobResult reused =
      MakeResult(Outcome::kFailed, Ran::kNone, ResultCode::kReusedId);
  if (Job* job = FindJob(bb, id); job != nullptr) {
    ++bb.counters.attached;
    if (job->submission.digest() != submission.digest()) {
      Answer(bb, id, submission.digest(), waiter, reused, actions);
    } else if (job->final_result_sent && job->state == JobState::kFinishing) {
      Answer(bb, id, submission.digest(), waiter, job->result, actions);
    } else {
      AddWaiter(bb, *job, waiter, actions);
    }
    return true;
  }
  const ClaimEntry* entry = FindClaim(bb, id);
  if (entry == nullptr || !entry->record.finished() || !entry->recorded) {
    return false;  // the claim voters must be queried
  }
  if (IsAnswerDropped(entry->record.result())) {
    return false;  // another voter may still have the answer
  }
  ++bb.counters.attached;
  const bool same_content = entry->record.digest() == submission.digest();
  Answer(bb, id, submission.digest(), waiter,
         same_content ? ResultOfClaim(entry->record) : reused, actions);
  return true;
}

// Returns an error if the configuration lacks the kind, team or home domain of
// `submission`.
std::optional<FieldError> CheckDeclaredNames(
    const Blackboard& bb,
    const wire::Submission& submission) {
  const Configuration& active = bb.configuration.active;
  if (active.FindKind(submission.kind()) == nullptr) {
    return FieldError{ResultCode::kUnknownKind, "kind",
                      "'" + submission.kind() + "' is not a declared kind"};
  }
  if (active.FindTeam(submission.team()) == nullptr) {
    return FieldError{ResultCode::kUnknownTeam, "team",
                      "'" + submission.team() + "' is not a declared team"};
  }
  const std::string home = HomeOf(bb, submission);
  if (bb.deployment.GroupOf(home) == nullptr) {
    return FieldError{ResultCode::kUnknownDomain, "home",
                      "'" + home + "' has no entry VM"};
  }
  return std::nullopt;
}

// Returns true if this VM ranks before `other` in the owner ranking of `job`.
bool RanksHigherThan(const Blackboard& bb,
                     const Job& job,
                     const std::string& other) {
  const std::vector<std::string> ranking =
      OwnerRanking(bb.deployment, job.home, job.id);
  const auto self =
      std::find(ranking.begin(), ranking.end(), bb.deployment.self);
  return self < std::find(ranking.begin(), ranking.end(), other);
}

// Claims or refuses `job` if this VM should own it, else forwards it.
void Route(Blackboard& bb, Job& job, StepTime now, Actions& actions) {
  const std::string target = ChooseOwner(bb, job);
  if (target == bb.deployment.self) {
    ClaimOrRefuse(bb, job, now, actions);
  } else {
    ForwardJob(bb, job, target, now, actions);
  }
}

}  // namespace

void OnSubmit(Blackboard& bb,
              const SubmitRequest& request,
              StepTime now,
              Actions& actions) {
  ++bb.counters.submissions;
  const wire::Submission& submission = request.submission;
  const std::string& id = submission.submission_id();
  Waiter waiter;
  waiter.token = request.token;
  waiter.until_accepted = request.wait_ms == 0;
  if (request.wait_ms > 0) {
    bb.timers.Set(now.mono + request.wait_ms * kMillisecond,
                  TimerKind::kCallerWait, std::to_string(request.token));
  }
  if (AnswerExisting(bb, submission, waiter, actions)) {
    return;
  }
  if (bb.drained) {
    actions.emplace_back(ReplyResult{
        request.token, id, MakeUnknown(ResultCode::kOwnerUnreachable)});
    return;
  }
  if (bb.configuration.in_force.version() == 0) {
    actions.emplace_back(ReplyResult{
        request.token, id, MakeUnknown(ResultCode::kNoConfiguration)});
    return;
  }
  if (const auto error = CheckDeclaredNames(bb, submission)) {
    actions.emplace_back(ReplyJson{
        request.token, RowOf(error->code).http_status, ErrorJson(*error)});
    return;
  }
  if (bb.jobs.size() >= static_cast<size_t>(bb.tuning.max_jobs)) {
    actions.emplace_back(
        ReplyResult{request.token, id, MakeUnknown(ResultCode::kOverloaded)});
    return;
  }
  Job& job = CreateJob(bb, submission, 0, now);
  AddWaiter(bb, job, waiter, actions);
  Route(bb, job, now, actions);
}

void OnForward(Blackboard& bb,
               const std::string& from,
               const wire::Forward& forward,
               StepTime now,
               Actions& actions) {
  if (bb.drained) {
    return;  // the sender forwards it to another VM when this one is gone
  }
  const wire::Submission& submission = forward.submission();
  Waiter waiter;
  waiter.vm = from;
  waiter.until_accepted = forward.want_accepted();
  if (!waiter.until_accepted) {
    bb.timers.Set(now.mono + bb.tuning.accepted_notice_delay,
                  TimerKind::kAcceptedNotice, submission.submission_id());
  }
  Job* existing = FindJob(bb, submission.submission_id());
  if (existing != nullptr && existing->state == JobState::kForwarded &&
      existing->forwarded_to == from) {
    // Each of the two VMs forwarded the job to the other. The one that a voter
    // named as the owner claims it, otherwise the one that ranks higher.
    AddWaiter(bb, *existing, waiter, actions);
    if (forward.named_owner() || RanksHigherThan(bb, *existing, from)) {
      ClaimForwardedJob(bb, *existing, now, actions);
    }
    return;
  }
  if (AnswerExisting(bb, submission, waiter, actions)) {
    return;
  }
  if (bb.configuration.in_force.version() == 0 ||
      HomeOf(bb, submission) != bb.deployment.failure_domain ||
      bb.jobs.size() >= static_cast<size_t>(bb.tuning.max_jobs)) {
    Answer(bb, submission.submission_id(), submission.digest(), waiter,
           MakeUnknown(ResultCode::kOwnerUnreachable), actions);
    return;
  }
  Job& job = CreateJob(bb, submission, forward.elapsed_ms(), now);
  AddWaiter(bb, job, waiter, actions);
  ClaimOrRefuse(bb, job, now, actions);
}

void ClaimForwardedJob(Blackboard& bb,
                       Job& job,
                       StepTime now,
                       Actions& actions) {
  job.accepted = false;
  ClaimOrRefuse(bb, job, now, actions);
}

void OnJobOwned(Blackboard& bb, Job& job, StepTime now, Actions& actions) {
  if (job.cancelled) {
    FinishJob(
        bb, job,
        MakeResult(Outcome::kCancelled, RanOfJob(job), ResultCode::kCancelled),
        now, actions);
    return;
  }
  if (!job.admitted) {
    const auto refusal = CheckAdmission(bb, job, now);
    if (refusal) {
      RefuseClaimed(bb, job, *refusal, now, actions);
      return;
    }
    job.admitted = true;
  }
  MarkAccepted(bb, job, actions);
  if (now.mono >= job.deadline_at) {
    OnJobDeadline(bb, job.id, now, actions);
    return;
  }
  if (job.done_tasks == job.tasks.size()) {
    CompleteJob(bb, job, now, actions);
    return;
  }
  QueueTasks(bb, job, now, actions);
}

void OnRequestConnectionClosed(Blackboard& bb,
                               const RequestConnectionClosed& disconnected) {
  const auto found = bb.submission_of_request.find(disconnected.token);
  if (found == bb.submission_of_request.end()) {
    return;
  }
  Job* job = FindJob(bb, found->second);
  bb.submission_of_request.erase(found);
  if (job != nullptr) {
    std::erase_if(job->waiters, [&](const Waiter& waiter) {
      return waiter.token == disconnected.token;
    });
  }
}

}  // namespace goldcrest
