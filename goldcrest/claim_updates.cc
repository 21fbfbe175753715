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

constexpr int kMaxUpdateSends = 30;
// A voter that missed an addition gets it again this often after a majority
// has recorded it.
constexpr int kMaxSendsAfterMajority = 5;

// Sets the one timer for unanswered additions of `job`.
void ArmUpdateTimer(Blackboard& bb, Job& job, Micros due) {
  bb.timers.Clear(job.update_timer_due, TimerKind::kClaimUpdate, job.id);
  job.update_timer_due = due;
  bb.timers.Set(due, TimerKind::kClaimUpdate, job.id);
}

PendingUpdate* FindUpdate(Job& job, uint64_t number) {
  const auto found = job.updates.find(number);
  return found == job.updates.end() ? nullptr : &found->second;
}

void SendUpdate(Blackboard& bb,
                Job& job,
                uint64_t number,
                Now now,
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
    Send(bb, voter, std::move(message), actions);
  }
  if (vote_self) {
    DeliverVote(bb, bb.deployment.self,
                VoteOnUpdate(bb, bb.deployment.self, update, now), now,
                actions);
  }
}

// Whether an unrecorded result is still worth sending: an owner that knows how
// the job ended must not leave it to a take-over to find out.
bool KeepsTrying(const Blackboard& bb,
                 const Job& job,
                 const PendingUpdate& pending,
                 Now now) {
  const Micros kept_until =
      job.deadline_at + bb.configuration.active.limits.retention_s * kSecond;
  return pending.update.finished() && !pending.majority_reached &&
         now.mono < kept_until;
}

bool IsPatienceOver(const PendingUpdate& pending) {
  const int limit =
      pending.majority_reached ? kMaxSendsAfterMajority : kMaxUpdateSends;
  return pending.sends >= limit;
}

Micros ResendTime(const Blackboard& bb, const PendingUpdate& pending) {
  return IsPatienceOver(pending) ? bb.tuning.finish_resend
                                 : bb.tuning.claim_resend;
}

// Ends an addition that was sent often enough. Returns whether it did.
bool GiveUpUpdate(Blackboard& bb,
                  Job& job,
                  uint64_t number,
                  Now now,
                  Actions& actions) {
  const std::string id = job.id;
  const PendingUpdate& pending = job.updates[number];
  if (!IsPatienceOver(pending)) {
    return false;
  }
  const bool keeps_trying = KeepsTrying(bb, job, pending, now);
  if (!pending.majority_reached) {
    OnUpdateTimeout(bb, job, number, now, actions);
  }
  Job* left = FindJob(bb, id);
  if (left == nullptr || keeps_trying) {
    return left == nullptr;
  }
  left->updates.erase(number);
  RemoveIfRecorded(bb, *left);
  return true;
}

// Gives the claim itself to a voter that missed it.
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
  Send(bb, voter, std::move(message), actions);
}

}  // namespace

uint64_t AddToClaim(Blackboard& bb,
                    Job& job,
                    wire::ClaimUpdate update,
                    Now now,
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
                        Now now,
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
      // Somebody prepared a higher ballot: claim again before going on, or
      // find out what became of the job.
      const bool unanswered =
          job->state == JobState::kActive ||
          (job->state == JobState::kFinishing && !job->replied);
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
                        Now now,
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
    if (GiveUpUpdate(bb, *job, number, now, actions)) {
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
