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

constexpr int64_t kMaxRetryAfterMs = 10'000;
// The longest pause that a team's rate bucket may save up for, in seconds.
constexpr double kBucketSeconds = 1;

wire::JobResult Refusal(ResultCode code, int64_t retry_after_ms) {
  wire::JobResult result = MakeResult(Outcome::kRefused, Ran::kNone, code);
  result.set_retry_after_ms(
      std::clamp(retry_after_ms, kMinRetryAfterMs, kMaxRetryAfterMs));
  return result;
}

// The limits of a team are shared equally between the VMs.
double RateShare(const Blackboard& bb, const TeamPolicy& policy) {
  return policy.max_submissions_per_s /
         static_cast<double>(bb.deployment.vms.size());
}

// Takes one submission out of the team's bucket. Returns 0, or the time in
// milliseconds until there is one.
int64_t TakeFromBucket(Blackboard& bb, const std::string& team, Now now) {
  const TeamPolicy* policy = bb.configuration.active.FindTeam(team);
  if (policy == nullptr) {
    return 0;
  }
  TeamUse& use = bb.queue.teams[team];
  const double rate = RateShare(bb, *policy);
  const double capacity = std::max(1.0, rate * kBucketSeconds);
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

bool NeverFits(const Blackboard& bb, const wire::Submission& submission) {
  return std::any_of(
      submission.tasks().begin(), submission.tasks().end(),
      [&](const wire::Task& task) { return !CouldEverFit(bb, ShapeOf(task)); });
}

// The least time that a job takes on `slots` slots, by learned run times.
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

std::optional<wire::JobResult> RefuseForWorkers(const Blackboard& bb,
                                                const Job& job,
                                                Now now) {
  if (KnowsWorkers(bb)) {
    if (NeverFits(bb, job.submission)) {
      return MakeResult(Outcome::kRefused, Ran::kNone, ResultCode::kNeverFits);
    }
    return std::nullopt;
  }
  const Micros last_seen =
      std::max(bb.workers.last_worker_seen, bb.membership.started_at);
  if (now.mono - last_seen > bb.tuning.worker_patience) {
    return Refusal(ResultCode::kNoWorkers,
                   bb.tuning.worker_renew / kMillisecond);
  }
  return std::nullopt;
}

std::optional<wire::JobResult> RefuseForLoad(const Blackboard& bb,
                                             const Job& job,
                                             Now now) {
  const auto queued = static_cast<int64_t>(bb.queue.queued_tasks);
  const Micros wait = ExpectedWait(bb, job.kind.priority);
  if (queued + job.submission.tasks_size() >
      bb.configuration.active.limits.max_queued_tasks) {
    return Refusal(ResultCode::kQueueFull, wait / kMillisecond / 2);
  }
  // Declared run times are often too long; half of one is held against the
  // deadline, all of the wait is.
  const Micros finish =
      now.mono + wait + IdealTime(bb, job, CapacitySlots(bb)) / 2;
  if (finish > job.deadline_at) {
    return Refusal(ResultCode::kDeadlineUnreachable,
                   (finish - job.deadline_at) / kMillisecond);
  }
  return std::nullopt;
}

// Returns why `job` may not run now, if there is a reason.
std::optional<wire::JobResult> ReasonToRefuse(Blackboard& bb,
                                              const Job& job,
                                              Now now) {
  if (bb.draining) {
    return Refusal(ResultCode::kDraining, kMinRetryAfterMs);
  }
  if (auto refusal = RefuseForWorkers(bb, job, now)) {
    return refusal;
  }
  if (auto refusal = RefuseForLoad(bb, job, now)) {
    return refusal;
  }
  const int64_t wait_ms = TakeFromBucket(bb, job.submission.team(), now);
  if (wait_ms > 0) {
    return Refusal(ResultCode::kTeamRate, wait_ms);
  }
  return std::nullopt;
}

// Sets the time by which the job should be answered. Jobs of one priority are
// ordered by it, and a bound on the stretch, response over ideal time, makes
// short jobs pass long ones without ever starving those: deadlines of this form
// keep the greatest stretch low (M. Bender, S. Chakrabarti, S. Muthukrishnan,
// "Flow and stretch metrics for scheduling continuous job streams", 1998).
void SetDueTime(Blackboard& bb, Job& job) {
  const auto ideal = static_cast<double>(IdealTime(bb, job, DomainSlots(bb)));
  const auto stretched = static_cast<Micros>(bb.tuning.target_stretch * ideal);
  job.due_at = std::min(job.due_at, job.received_at + stretched);
}

void QueueTasks(Blackboard& bb, Job& job, Now now, Actions& actions) {
  SetDueTime(bb, job);
  const std::string id = job.id;
  const size_t count = job.tasks.size();
  for (uint32_t index = 0; index < count; ++index) {
    const TaskRecord& task = job.tasks[index];
    if (task.state == TaskState::kQueued) {
      EnqueueTask(bb, job, index);
    } else if (task.state == TaskState::kChecking) {
      CheckTask(bb, job, index, now, actions);
      if (FindJob(bb, id) != &job) {
        return;
      }
    }
  }
}

// Says whether it is certain, without asking, that nobody owns `submission`.
bool IsSurelyNew(const Blackboard& bb, const Job& job, Now now) {
  if (IsBroken(bb, Break::kRefuseUnasked)) {
    return true;
  }
  const auto entry = bb.claims.entries.find(job.id);
  const bool held = entry != bb.claims.entries.end() &&
                    (entry->second.record.accepted() != 0 ||
                     entry->second.record.promised() != 0);
  const std::vector<std::string> ranking =
      OwnerRanking(bb.deployment, job.home, job.id);
  return !held && !bb.draining && ranking.front() == bb.deployment.self &&
         HeldLeaseSinceSubmission(bb, job.submission.submitted_at_ms(), now);
}

void StartOwnJob(Blackboard& bb, Job& job, Now now, Actions& actions) {
  if (IsSurelyNew(bb, job, now)) {
    const auto refusal = ReasonToRefuse(bb, job, now);
    if (refusal) {
      AnswerAndRemove(bb, job, *refusal, now, actions);
      return;
    }
    job.admitted = true;
  }
  StartClaim(bb, job, now, actions);
}

// Answers from a job or a claim that has this id already. Returns whether it
// did.
bool Attach(Blackboard& bb,
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
    } else if (job->replied && job->state == JobState::kFinishing) {
      Answer(bb, id, submission.digest(), waiter, job->result, actions);
    } else {
      AddWaiter(bb, *job, waiter, actions);
    }
    return true;
  }
  const ClaimEntry* entry = FindClaim(bb, id);
  if (entry == nullptr || !entry->record.finished() || !entry->recorded) {
    return false;  // the claim voters have to be asked
  }
  if (IsAnswerDropped(entry->record.result())) {
    return false;  // another voter may still have the answer
  }
  ++bb.counters.attached;
  const bool same = entry->record.digest() == submission.digest();
  Answer(bb, id, submission.digest(), waiter,
         same ? ResultOfClaim(entry->record) : reused, actions);
  return true;
}

std::optional<FieldError> CheckDeclared(const Blackboard& bb,
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

bool IsBetterPlaced(const Blackboard& bb,
                    const Job& job,
                    const std::string& other) {
  const std::vector<std::string> ranking =
      OwnerRanking(bb.deployment, job.home, job.id);
  const auto self =
      std::find(ranking.begin(), ranking.end(), bb.deployment.self);
  return self < std::find(ranking.begin(), ranking.end(), other);
}

void Route(Blackboard& bb, Job& job, Now now, Actions& actions) {
  const std::string target = ChooseOwner(bb, job);
  if (target == bb.deployment.self) {
    StartOwnJob(bb, job, now, actions);
  } else {
    ForwardJob(bb, job, target, now, actions);
  }
}

}  // namespace

void OnSubmit(Blackboard& bb,
              const SubmitRequest& request,
              Now now,
              Actions& actions) {
  ++bb.counters.submissions;
  const wire::Submission& submission = request.submission;
  const std::string& id = submission.submission_id();
  Waiter waiter;
  waiter.token = request.token;
  waiter.until_accepted = request.wait_ms == 0;
  if (request.wait_ms > 0) {
    bb.timers.Set(now.mono + request.wait_ms * kMillisecond, TimerKind::kWait,
                  std::to_string(request.token));
  }
  if (Attach(bb, submission, waiter, actions)) {
    return;
  }
  if (bb.configuration.in_force.version() == 0) {
    actions.emplace_back(ReplyResult{
        request.token, id, MakeUnknown(ResultCode::kNoConfiguration)});
    return;
  }
  if (const auto error = CheckDeclared(bb, submission)) {
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
               Now now,
               Actions& actions) {
  const wire::Submission& submission = forward.submission();
  Waiter waiter;
  waiter.vm = from;
  waiter.until_accepted = forward.want_accepted();
  if (!waiter.until_accepted) {
    bb.timers.Set(now.mono + bb.tuning.accepted_notice,
                  TimerKind::kAcceptedNotice, submission.submission_id());
  }
  Job* known = FindJob(bb, submission.submission_id());
  if (known != nullptr && known->state == JobState::kForwarded &&
      known->forwarded_to == from) {
    // Each VM took the other for the owner: the one that a voter named claims
    // it, or else the better placed one.
    AddWaiter(bb, *known, waiter, actions);
    if (forward.named_owner() || IsBetterPlaced(bb, *known, from)) {
      ClaimForwardedJob(bb, *known, now, actions);
    }
    return;
  }
  if (Attach(bb, submission, waiter, actions)) {
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
  StartOwnJob(bb, job, now, actions);
}

void ClaimForwardedJob(Blackboard& bb, Job& job, Now now, Actions& actions) {
  job.accepted = false;
  StartOwnJob(bb, job, now, actions);
}

void OnJobOwned(Blackboard& bb, Job& job, Now now, Actions& actions) {
  if (job.cancelled) {
    FinishJob(
        bb, job,
        MakeResult(Outcome::kCancelled, RanOfJob(job), ResultCode::kCancelled),
        now, actions);
    return;
  }
  if (!job.admitted) {
    const auto refusal = ReasonToRefuse(bb, job, now);
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

void OnCallerGone(Blackboard& bb, const CallerGone& gone) {
  const auto found = bb.callers.find(gone.token);
  if (found == bb.callers.end()) {
    return;
  }
  Job* job = FindJob(bb, found->second);
  bb.callers.erase(found);
  if (job != nullptr) {
    std::erase_if(job->waiters, [&](const Waiter& waiter) {
      return waiter.token == gone.token;
    });
  }
}

}  // namespace goldcrest
