#include "goldcrest/claim_updates.h"

#include <utility>

#include "goldcrest/claim_message.h"
#include "goldcrest/claim_owner.h"
#include "goldcrest/claim_vote_delivery.h"
#include "goldcrest/claim_voter.h"
#include "goldcrest/jobs.h"
#include "goldcrest/membership.h"

namespace goldcrest {
namespace {

// Sends of one update while no majority has recorded it.
constexpr int kMaxUpdateSends = 30;
// Sends of one update once a majority has recorded it, for the voters that
// missed it.
constexpr int kMaxSendsAfterMajority = 5;

// Sets the resend timer for updates of `job`, replacing an earlier one.
void ArmUpdateTimer(Blackboard& bb, Job& job, Micros due) {
  bb.timers.Clear(job.update_timer_due, TimerKind::kClaimUpdate, job.id);
  job.update_timer_due = due;
  bb.timers.Set(due, TimerKind::kClaimUpdate, job.id);
}

PendingUpdate* FindUpdate(Job& job, uint64_t number) {
  const auto found = job.updates.find(number);
  return found == job.updates.end() ? nullptr : &found->second;
}

// Sends an update to the voters that have not applied it. Resends skip
// unreachable voters.
void SendUpdate(Blackboard& bb,
                Job& job,
                uint64_t number,
                StepTime now,
                Actions& actions) {
  PendingUpdate& pending = job.updates[number];
  pending.sent_at = now.mono;
  ++pending.sends;
  const wire::ClaimUpdate update = pending.update;
  bool vote_self = false;
  for (const std::string& voter : VotersOf(bb, job)) {
    if (pending.applied.contains(voter)) {
      continue;
    }
    if (voter == bb.deployment.self) {
      vote_self = true;
      continue;
    }
    if (pending.sends > 1 && !IsReachable(bb, voter)) {
      continue;
    }
    const bool at_home = bb.deployment.Find(voter)->failure_domain == job.home;
    wire::PeerMessage message;
    *message.mutable_claim_update() =
        at_home ? update : StripForWitness(update);
    ++bb.counters.claim_messages;
    SendToPeer(bb, voter, std::move(message), actions);
  }
  if (vote_self) {
    DeliverVote(bb, bb.deployment.self,
                VoteOnUpdate(bb, bb.deployment.self, update, now), now,
                actions);
  }
}

// Returns whether a result that no majority has recorded is sent beyond the
// maximum number of sends, until the retention window after the job's deadline
// ends. Otherwise a takeover would have to find out an outcome that this owner
// knows.
bool KeepsResending(const Blackboard& bb,
                    const Job& job,
                    const PendingUpdate& pending,
                    StepTime now) {
  const Micros kept_until =
      job.deadline_at + bb.configuration.active.limits.retention_s * kSecond;
  return pending.update.finished() && !pending.majority_reached &&
         now.mono < kept_until;
}

// Returns whether the update was sent the maximum number of times.
bool IsSendLimitReached(const PendingUpdate& pending) {
  const int limit =
      pending.majority_reached ? kMaxSendsAfterMajority : kMaxUpdateSends;
  return pending.sends >= limit;
}

Micros ResendTime(const Blackboard& bb, const PendingUpdate& pending) {
  return IsSendLimitReached(pending) ? bb.tuning.result_resend
                                     : bb.tuning.claim_resend;
}

// Ends an update that was sent the maximum number of times. Returns whether it
// was ended.
bool EndExhaustedUpdate(Blackboard& bb,
                        Job& job,
                        uint64_t number,
                        StepTime now,
                        Actions& actions) {
  const std::string id = job.id;
  const PendingUpdate& pending = job.updates[number];
  if (!IsSendLimitReached(pending)) {
    return false;
  }
  const bool keeps_resending = KeepsResending(bb, job, pending, now);
  if (!pending.majority_reached) {
    OnUpdateTimeout(bb, job, number, now, actions);
  }
  Job* remaining = FindJob(bb, id);
  if (remaining == nullptr || keeps_resending) {
    return remaining == nullptr;
  }
  remaining->updates.erase(number);
  RemoveIfRecorded(bb, *remaining);
  return true;
}

// Sends the claim itself to a voter that missed it.
void RepairVoter(Blackboard& bb,
                 Job& job,
                 const std::string& voter,
                 Actions& actions) {
  wire::ClaimRequest request = MakeClaimRequest(job);
  request.set_phase(wire::CLAIM_ACCEPT);
  request.set_ballot(job.ballot);
  request.set_fast(false);
  if (bb.deployment.Find(voter)->failure_domain == job.home) {
    *request.mutable_record()->mutable_submission() = job.submission;
  }
  wire::PeerMessage message;
  *message.mutable_claim_request() = std::move(request);
  ++bb.counters.claim_messages;
  SendToPeer(bb, voter, std::move(message), actions);
}

}  // namespace

uint64_t StartClaimUpdate(Blackboard& bb,
                          Job& job,
                          wire::ClaimUpdate update,
                          StepTime now,
                          Actions& actions) {
  const uint64_t number = NextId(bb);
  const std::string id = job.id;
  update.set_submission_id(id);
  update.set_ballot(job.ballot);
  update.set_update(number);
  job.updates[number].update = std::move(update);
  ArmUpdateTimer(bb, job, now.mono + bb.tuning.claim_resend);
  SendUpdate(bb, job, number, now, actions);
  return number;
}

void OnClaimUpdateReply(Blackboard& bb,
                        const std::string& from,
                        const wire::ClaimUpdateReply& reply,
                        StepTime now,
                        Actions& actions) {
  Job* job = FindJob(bb, reply.submission_id());
  if (job == nullptr || reply.ballot() != job->ballot) {
    return;
  }
  PendingUpdate* pending = FindUpdate(*job, reply.update());
  if (pending == nullptr) {
    return;
  }
  if (!reply.applied()) {
    if (reply.promised() > job->ballot) {
      // Another proposer prepared a higher ballot. Claim the job again before
      // continuing with it, or to find out its outcome.
      const bool unanswered =
          job->state == JobState::kActive ||
          (job->state == JobState::kFinishing && !job->final_result_sent);
      if (unanswered) {
        StartClaim(bb, *job, now, actions);
      }
      return;
    }
    if (from != bb.deployment.self) {
      RepairVoter(bb, *job, from, actions);
    }
    return;
  }
  pending->applied.insert(from);
  const size_t voters = VotersOf(bb, *job).size();
  const bool majority = pending->applied.size() >= MajorityOf(voters);
  const bool reached_now = majority && !pending->majority_reached;
  if (majority) {
    pending->majority_reached = true;
  }
  const uint64_t number = reply.update();
  if (reached_now) {
    OnUpdateMajority(bb, *job, number, now, actions);
  }
  job = FindJob(bb, reply.submission_id());
  if (job == nullptr) {
    return;
  }
  pending = FindUpdate(*job, number);
  if (pending != nullptr && pending->applied.size() == voters) {
    job->updates.erase(number);
    RemoveIfRecorded(bb, *job);
  }
}

void OnClaimUpdateTimer(Blackboard& bb,
                        const std::string& id,
                        StepTime now,
                        Actions& actions) {
  Job* job = FindJob(bb, id);
  if (job == nullptr || job->updates.empty()) {
    return;
  }
  std::vector<uint64_t> numbers;
  for (const auto& [number, pending] : job->updates) {
    if (now.mono - pending.sent_at >= ResendTime(bb, pending)) {
      numbers.push_back(number);
    }
  }
  for (const uint64_t number : numbers) {
    job = FindJob(bb, id);
    PendingUpdate* pending =
        job == nullptr ? nullptr : FindUpdate(*job, number);
    if (pending == nullptr) {
      continue;
    }
    if (EndExhaustedUpdate(bb, *job, number, now, actions)) {
      continue;
    }
    ++bb.counters.claim_resends;
    SendUpdate(bb, *job, number, now, actions);
  }
  job = FindJob(bb, id);
  if (job != nullptr && !job->updates.empty()) {
    ArmUpdateTimer(bb, *job, now.mono + bb.tuning.claim_resend);
  }
}

}  // namespace goldcrest
