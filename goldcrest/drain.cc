#include "goldcrest/drain.h"

#include <algorithm>

#include "goldcrest/claim_updates.h"
#include "goldcrest/configuration_agreement.h"
#include "goldcrest/forwarding.h"
#include "goldcrest/jobs.h"
#include "goldcrest/membership.h"
#include "goldcrest/placement.h"
#include "goldcrest/worker_lease.h"

namespace goldcrest {
namespace {

constexpr Micros kDrainPeriod = 50 * kMillisecond;

// Returns whether another VM can take `job` over: no task of it was started.
bool MayHandOver(const Blackboard& bb, const Job& job) {
  const std::string target = ChooseOwner(bb, job);
  return job.state == JobState::kActive && !job.any_started &&
         !job.taken_over && !target.empty() && target != bb.deployment.self;
}

// Releases the claim on `job`; it is handed over once a majority recorded that.
void HandOver(Blackboard& bb, Job& job, StepTime now, Actions& actions) {
  SuspendTasks(bb, job);
  job.state = JobState::kFinishing;
  job.handing_over = true;
  job.accepted = false;
  wire::ClaimUpdate update;
  update.set_released(true);
  StartClaimUpdate(bb, job, update, now, actions);
}

void HandOverQueuedJobs(Blackboard& bb, StepTime now, Actions& actions) {
  std::vector<std::string> ids;
  for (const auto& [id, job] : bb.jobs) {
    if (MayHandOver(bb, *job)) {
      ids.push_back(id);
    }
  }
  for (const std::string& id : ids) {
    Job* job = FindJob(bb, id);
    if (job != nullptr) {
      HandOver(bb, *job, now, actions);
    }
  }
}

// Returns whether the daemon may stop with `job` still present: no caller waits
// for it here and its new owner has accepted it.
bool MayAbandon(const Job& job) {
  return job.state == JobState::kForwarded && job.waiters.empty() &&
         job.accepted;
}

bool IsDrained(const Blackboard& bb) {
  return bb.submission_of_request.empty() && bb.submission_lookups.empty() &&
         bb.forwarded_announcements.empty() && !HasWaitingOperators(bb) &&
         std::all_of(bb.jobs.begin(), bb.jobs.end(), [](const auto& entry) {
           return MayAbandon(*entry.second);
         });
}

}  // namespace

void OnDrain(Blackboard& bb,
             const DrainRequest& request,
             StepTime now,
             Actions& actions) {
  if (request.token != kNoToken) {
    actions.emplace_back(
        ReplyJson{request.token, 202, "{\"state\":\"draining\"}"});
  }
  if (bb.draining) {
    return;
  }
  bb.draining = true;
  bb.drain_started_at = now.mono;
  Log(actions, LogLevel::kInfo, "drain_started",
      {{"jobs", std::to_string(bb.jobs.size())}});
  OnHeartbeatTimer(bb, true, now, actions);
  OnHeartbeatTimer(bb, false, now, actions);
  HandOverQueuedJobs(bb, now, actions);
  bb.timers.Set(now.mono + kDrainPeriod, TimerKind::kDrain);
}

void OnDrainTimer(Blackboard& bb, StepTime now, Actions& actions) {
  const bool out_of_time =
      now.mono - bb.drain_started_at > bb.tuning.drain_timeout;
  if (IsDrained(bb) || out_of_time ||
      IsDisabled(bb, DisabledMechanism::kDropOnDrain)) {
    bb.drained = true;
    Log(actions, LogLevel::kInfo, "drain_finished",
        {{"jobs_left", std::to_string(bb.jobs.size())}});
    return;
  }
  HandOverQueuedJobs(bb, now, actions);
  bb.timers.Set(now.mono + kDrainPeriod, TimerKind::kDrain);
}

void AnswerAllPending(Blackboard& bb, StepTime now, Actions& actions) {
  if (IsDisabled(bb, DisabledMechanism::kDropOnDrain)) {
    return;
  }
  AnswerAllUnknown(bb, now, actions);
  EndAllSubmissionLookups(bb, actions);
  EndForwardedAnnouncements(bb, actions);
  EndProposals(bb, actions);
}

}  // namespace goldcrest
