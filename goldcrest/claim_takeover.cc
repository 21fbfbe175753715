#include "goldcrest/claim_takeover.h"

#include <algorithm>
#include <string>
#include <vector>

#include "goldcrest/claim_owner.h"
#include "goldcrest/claim_store.h"
#include "goldcrest/jobs.h"
#include "goldcrest/membership.h"

namespace goldcrest {
namespace {

constexpr size_t kMaxTakeoversPerPass = 2000;

// Returns whether this VM should take over the claim in `record`: the owner's
// lease has expired and no VM that ranks before this one is reachable.
bool IsNextOwner(const Blackboard& bb,
                 const wire::ClaimRecord& record,
                 StepTime now) {
  const bool lease_may_run =
      GrantMayBeValid(bb, record.owner(), record.owner_incarnation(), now) &&
      !IsDisabled(bb, DisabledMechanism::kNoWaitForLease);
  if (record.home() != bb.deployment.failure_domain || lease_may_run) {
    return false;
  }
  for (const std::string& vm :
       OwnerRanking(bb.deployment, record.home(), record.submission_id())) {
    if (vm == bb.deployment.self) {
      return true;
    }
    if (IsReachable(bb, vm)) {
      return false;
    }
  }
  return false;
}

// Creates a job from the content in `record` and claims it.
void TakeOver(Blackboard& bb,
              const wire::ClaimRecord& record,
              StepTime now,
              Actions& actions) {
  const int64_t elapsed_ms = now.wall_ms - record.received_wall_ms();
  Job& job =
      CreateJob(bb, record.submission(), std::max<int64_t>(elapsed_ms, 0), now);
  job.created_by_takeover = true;
  StartClaim(bb, job, now, actions);
}

}  // namespace

void TakeOverOrphans(Blackboard& bb, StepTime now, Actions& actions) {
  std::vector<std::string> orphans;
  for (const auto& [owner, ids] : bb.claims.unfinished_by_owner) {
    for (const std::string& id : ids) {
      const ClaimEntry* entry = FindClaim(bb, id);
      const bool owned_here =
          owner == bb.deployment.self &&
          entry->record.owner_incarnation() == bb.deployment.incarnation;
      if (owned_here || FindJob(bb, id) != nullptr ||
          !entry->record.has_submission()) {
        continue;
      }
      if (IsNextOwner(bb, entry->record, now)) {
        orphans.push_back(id);
      }
      if (orphans.size() >= kMaxTakeoversPerPass) {
        break;
      }
    }
  }
  for (const std::string& id : orphans) {
    const wire::ClaimRecord record = FindClaim(bb, id)->record;
    TakeOver(bb, record, now, actions);
  }
}

void ReclaimAfterLeaseExpiry(Blackboard& bb, StepTime now, Actions& actions) {
  const uint64_t generation = bb.membership.lease_generation;
  if (generation == bb.reclaimed_generation || !HoldsServingLease(bb, now)) {
    return;
  }
  bb.reclaimed_generation = generation;
  std::vector<std::string> ids;
  for (const auto& [id, job] : bb.jobs) {
    if (job->state == JobState::kActive &&
        job->lease_generation != bb.membership.lease_generation) {
      ids.push_back(id);
    }
  }
  for (const std::string& id : ids) {
    Job* job = FindJob(bb, id);
    if (job != nullptr) {
      StartClaim(bb, *job, now, actions);
    }
  }
}

}  // namespace goldcrest
