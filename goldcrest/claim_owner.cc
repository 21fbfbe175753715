#include "goldcrest/claim_owner.h"

#include <algorithm>
#include <utility>

#include "goldcrest/admission.h"
#include "goldcrest/claim_message.h"
#include "goldcrest/claim_store.h"
#include "goldcrest/claim_vote_delivery.h"
#include "goldcrest/claim_voter.h"
#include "goldcrest/forwarding.h"
#include "goldcrest/jobs.h"
#include "goldcrest/membership.h"
#include "goldcrest/placement.h"
#include "goldcrest/submission.h"

namespace goldcrest {
namespace {

// A ballot holds the round in its high bits and the proposer's position in the
// list of VMs in the low 16 bits, so that no two VMs share a ballot.
constexpr int kBallotVmBits = 16;
// The round of a claim without a prepare phase. Other claims use higher rounds.
constexpr uint64_t kFirstRound = 1;
// Maximum random delay before a claim is retried after a CLAIM_STALE reply.
constexpr int64_t kMaxBackoffMs = 8;
// If no voter so far has the outputs of a finished job, replies from the other
// voters, which may have them, are awaited for this long.
constexpr Micros kOutputsWait = 300 * kMillisecond;
// A job is forwarded to owners named by voters at most this many times.
constexpr int kMaxYields = 4;

// Returns whether the record has an owner: its accepted ballot must be above
// the ballot at which the claim was released.
bool IsClaimed(const wire::ClaimRecord& record) {
  return record.accepted() > record.released();
}

// Sends the request for the current phase to every voter that has not granted
// it yet.
void SendClaim(Blackboard& bb, Job& job, StepTime now, Actions& actions) {
  const wire::ClaimRequest request = MakeClaimRequest(job);
  const std::string id = job.id;
  bool vote_self = false;
  for (const std::string& voter : VotersOf(bb, job)) {
    if (job.claim.granted.contains(voter)) {
      continue;
    }
    if (voter == bb.deployment.self) {
      vote_self = true;
      continue;
    }
    wire::PeerMessage message;
    *message.mutable_claim_request() = request;
    // A voter of another domain is a witness, which gets no content.
    if (bb.deployment.Find(voter)->failure_domain != job.home) {
      StripForWitness(*message.mutable_claim_request()->mutable_record());
    }
    ++bb.counters.claim_messages;
    SendToPeer(bb, voter, std::move(message), actions);
  }
  if (vote_self) {
    DeliverVote(bb, bb.deployment.self,
                VoteOnClaim(bb, bb.deployment.self, bb.deployment.incarnation,
                            request, now),
                now, actions);
  }
}

// Sets the claim timer of `job`, replacing an earlier one.
void ArmClaimTimer(Blackboard& bb, Job& job, Micros due) {
  bb.timers.Clear(job.claim_timer_due, TimerKind::kClaim, job.id);
  job.claim_timer_due = due;
  bb.timers.Set(due, TimerKind::kClaim, job.id);
}

// Records whether this VM holds its serving lease, and the lease generation,
// at the beginning of a round.
void RecordLease(const Blackboard& bb, Job& job, StepTime now) {
  job.claim.leased = HoldsServingLease(bb, now);
  job.lease_generation = bb.membership.lease_generation;
}

// Starts the prepare phase of `round`.
void StartRound(Blackboard& bb,
                Job& job,
                uint64_t round,
                StepTime now,
                Actions& actions) {
  ClaimAttempt& claim = job.claim;
  claim.phase = wire::CLAIM_PREPARE;
  claim.fast = false;
  claim.ballot = MakeBallot(bb, round);
  claim.granted.clear();
  claim.abstained.clear();
  claim.merged.Clear();
  RecordLease(bb, job, now);
  SendClaim(bb, job, now, actions);
}

// Restores the attempts that an earlier owner may have started, as recorded in
// the intents. Their tasks go to kLookingUp.
void RestoreTasks(Job& job, const wire::ClaimRecord& merged) {
  for (const wire::TaskIntent& intent : merged.intents()) {
    if (intent.index() >= job.tasks.size()) {
      continue;
    }
    TaskRecord& task = job.tasks[intent.index()];
    if (task.state == TaskState::kDone || task.state == TaskState::kRunning) {
      continue;
    }
    if (intent.attempt() < task.last_attempt) {
      continue;
    }
    task.last_attempt = intent.attempt();
    task.state = TaskState::kLookingUp;
    task.current_attempt.worker = intent.worker();
    task.current_attempt.address = intent.worker_address();
    task.current_attempt.attempt = intent.attempt();
    task.current_attempt.lease_epoch = intent.lease_epoch();
    task.current_attempt.worker_incarnation = intent.worker_incarnation();
  }
}

// Drops a job without waiters on which the voters hold no claim. A takeover may
// find that the claim was released. Returns whether the job was dropped.
bool DropIfUnclaimed(Blackboard& bb, Job& job, StepTime now, Actions& actions) {
  if (!job.waiters.empty() || IsClaimed(job.claim.merged)) {
    return false;
  }
  ClaimEntry* entry = FindClaim(bb, job.id);
  if (entry != nullptr) {
    ReleaseClaim(bb, *entry, job.claim.merged.released());
  }
  AnswerAndRemove(
      bb, job,
      MakeResult(Outcome::kUnknown, Ran::kUnknown, ResultCode::kNoQuorum), now,
      actions);
  return true;
}

// Answers the job with the result that an earlier owner recorded.
void AnswerFromClaim(Blackboard& bb, Job& job, StepTime now, Actions& actions) {
  ClaimEntry& entry = FindOrCreateClaim(bb, job.id, now);
  const std::string earlier_owner = entry.record.owner();
  MergeClaim(entry.record, job.claim.merged);
  IndexClaim(bb, entry, earlier_owner);
  FinishClaim(bb, entry, job.claim.merged.result());
  entry.recorded = true;
  ++bb.counters.attached;
  AnswerAndRemove(bb, job, ResultOfClaim(job.claim.merged), now, actions);
}

// Handles a majority for the accept phase: answers a finished job, else becomes
// the owner if the serving lease was held since the round began.
void OnAcceptMajority(Blackboard& bb,
                      Job& job,
                      StepTime now,
                      Actions& actions) {
  if (job.claim.merged.finished()) {
    AnswerFromClaim(bb, job, now, actions);
    return;
  }
  // If the lease was interrupted since the round began, another VM may have
  // taken the claim over without this VM's knowledge, so the claim timer starts
  // another round.
  const bool lease_held =
      job.claim.leased &&
      job.lease_generation == bb.membership.lease_generation;
  if (!lease_held && !IsDisabled(bb, DisabledMechanism::kNoServingLease)) {
    job.claim.retry_soon_ms = 1;
    return;
  }
  job.ballot = job.claim.ballot;
  job.state = JobState::kActive;
  job.cancelled = job.cancelled || job.claim.merged.cancelled();
  RestoreTasks(job, job.claim.merged);
  if (job.created_by_takeover) {
    job.created_by_takeover = false;
    ++bb.counters.takeovers;
    Log(actions, LogLevel::kInfo, "claim_taken_over",
        {{"submission", job.id}, {"owner", job.claim.merged.owner()}});
  }
  OnJobOwned(bb, job, now, actions);
}

// Handles a majority for the prepare phase.
void OnPrepareMajority(Blackboard& bb,
                       Job& job,
                       StepTime now,
                       Actions& actions) {
  ClaimAttempt& claim = job.claim;
  const size_t voters = VotersOf(bb, job).size();
  if (claim.merged.finished()) {
    const bool outputs_may_follow =
        IsAnswerDropped(claim.merged.result()) &&
        claim.granted.size() + claim.abstained.size() < voters &&
        now.mono - claim.started_at < kOutputsWait;
    if (outputs_may_follow) {
      return;
    }
    // This result may be recorded at a single voter. A majority must have it
    // before any caller receives it.
    claim.phase = wire::CLAIM_ACCEPT;
    claim.granted.clear();
    claim.abstained.clear();
    SendClaim(bb, job, now, actions);
    return;
  }
  if (DropIfUnclaimed(bb, job, now, actions)) {
    return;
  }
  const wire::ClaimRecord& merged = claim.merged;
  if (IsClaimed(merged)) {
    // An earlier owner may have started tasks, so OnJobOwned() skips the
    // admission check.
    job.taken_over = true;
    job.admitted = true;
    job.any_started = job.any_started || merged.intents_size() > 0;
    if (merged.deadline_wall_ms() != 0) {
      job.deadline_wall_ms = merged.deadline_wall_ms();
    }
  } else {
    // The claim was released or never accepted, so its intents are dropped.
    claim.merged.clear_intents();
  }
  claim.phase = wire::CLAIM_ACCEPT;
  claim.granted.clear();
  claim.abstained.clear();
  SendClaim(bb, job, now, actions);
}

// Ends the job with an unknown outcome.
void EndUnknown(Blackboard& bb,
                Job& job,
                ResultCode code,
                StepTime now,
                Actions& actions) {
  AnswerAndRemove(bb, job, MakeUnknown(code), now, actions);
}

// Continues the claim if a majority has granted the current phase.
void OnClaimGranted(Blackboard& bb, Job& job, StepTime now, Actions& actions) {
  const size_t majority = IsDisabled(bb, DisabledMechanism::kNoClaim)
                              ? 1
                              : MajorityOf(VotersOf(bb, job).size());
  if (job.claim.granted.size() < majority) {
    return;
  }
  if (job.claim.phase == wire::CLAIM_PREPARE) {
    OnPrepareMajority(bb, job, now, actions);
  } else {
    OnAcceptMajority(bb, job, now, actions);
  }
}

// Handles a refusal because `holder`, the owner or the preferred owner of the
// submission, may still hold its serving lease.
void OnClaimHeld(Blackboard& bb,
                 Job& job,
                 const std::string& holder,
                 StepTime now,
                 Actions& actions) {
  // Voters may name two VMs alternately. The limit keeps the job from moving
  // between them with every reply; after it, claims are retried by the timer.
  const bool may_yield = job.yield_count < kMaxYields;
  if (may_yield && holder != bb.deployment.self && IsReachable(bb, holder)) {
    YieldJob(bb, job, holder, now, actions);
  }
  // Otherwise the timer retries until the holder's lease has expired.
}

// Handles a refusal because the voter's record does not permit this ballot: the
// claim is retried after a random delay.
void OnClaimStale(Blackboard& bb, Job& job, const wire::ClaimReply& reply) {
  job.claim.highest_ballot =
      std::max(job.claim.highest_ballot, reply.promised());
  std::uniform_int_distribution<int64_t> backoff(1, kMaxBackoffMs);
  job.claim.retry_soon_ms = backoff(bb.random);
}

// Returns whether the voter holds a claim on the same submission id with
// different content.
bool IsIdReused(const Job& job, const wire::ClaimReply& reply) {
  const std::string& digest = reply.record().digest();
  const bool claimed = reply.record().accepted() > reply.record().released() ||
                       reply.record().finished() ||
                       reply.status() != wire::CLAIM_GRANTED;
  return claimed && !digest.empty() && digest != job.submission.digest();
}

}  // namespace

uint64_t RoundOf(uint64_t ballot) {
  return ballot >> kBallotVmBits;
}

uint64_t MakeBallot(const Blackboard& bb, uint64_t round) {
  const auto position =
      static_cast<uint64_t>(bb.deployment.IndexOf(bb.deployment.self)) + 1;
  return (round << kBallotVmBits) | position;
}

void StartClaim(Blackboard& bb, Job& job, StepTime now, Actions& actions) {
  const std::vector<std::string> ranking =
      OwnerRanking(bb.deployment, job.home, job.id);
  const ClaimEntry* entry = FindClaim(bb, job.id);
  const bool has_no_vote = entry == nullptr || (entry->record.promised() == 0 &&
                                                entry->record.accepted() == 0);
  const bool is_preferred_owner = ranking.front() == bb.deployment.self;
  const bool has_full_state =
      HasFullStateForSubmission(bb, job.home, job.submission.submitted_at_ms());
  SuspendTasks(bb, job);
  job.state = JobState::kClaiming;
  job.claim = ClaimAttempt();
  job.claim.started_at = now.mono;
  RecordLease(bb, job, now);
  ArmClaimTimer(bb, job, now.mono + bb.tuning.claim_resend);
  if (is_preferred_owner && has_no_vote && has_full_state && !job.taken_over) {
    job.claim.phase = wire::CLAIM_ACCEPT;
    job.claim.fast = true;
    job.claim.ballot = MakeBallot(bb, kFirstRound);
    SendClaim(bb, job, now, actions);
    return;
  }
  const uint64_t seen = entry == nullptr ? 0 : entry->record.promised();
  StartRound(bb, job, std::max(RoundOf(seen), kFirstRound) + 1, now, actions);
}

void OnClaimReply(Blackboard& bb,
                  const std::string& from,
                  const wire::ClaimReply& reply,
                  StepTime now,
                  Actions& actions) {
  Job* job = FindJob(bb, reply.submission_id());
  if (job == nullptr || job->state != JobState::kClaiming ||
      reply.ballot() != job->claim.ballot ||
      reply.phase() != job->claim.phase) {
    return;
  }
  if (IsIdReused(*job, reply)) {
    AnswerAndRemove(
        bb, *job,
        MakeResult(Outcome::kFailed, Ran::kNone, ResultCode::kReusedId), now,
        actions);
    return;
  }
  switch (reply.status()) {
    case wire::CLAIM_GRANTED:
      job->claim.granted.insert(from);
      MergeClaim(job->claim.merged, reply.record());
      OnClaimGranted(bb, *job, now, actions);
      return;
    case wire::CLAIM_HELD:
      OnClaimHeld(bb, *job, reply.record().owner(), now, actions);
      return;
    case wire::CLAIM_STALE:
      OnClaimStale(bb, *job, reply);
      ArmClaimTimer(bb, *job,
                    now.mono + job->claim.retry_soon_ms * kMillisecond);
      return;
    default:
      job->claim.abstained.insert(from);
      return;
  }
}

void OnClaimTimer(Blackboard& bb,
                  const std::string& id,
                  StepTime now,
                  Actions& actions) {
  Job* job = FindJob(bb, id);
  if (job == nullptr || job->state != JobState::kClaiming) {
    return;
  }
  ClaimAttempt& claim = job->claim;
  const Micros majority_last_received_at =
      MajorityLastReceivedAt(bb, VotersOf(bb, *job), now);
  const Micros timeout_starts_at =
      std::min(claim.started_at, majority_last_received_at);
  if (now.mono - timeout_starts_at > bb.tuning.claim_timeout) {
    EndUnknown(bb, *job, ResultCode::kNoQuorum, now, actions);
    return;
  }
  ++bb.counters.claim_resends;
  ArmClaimTimer(bb, *job, now.mono + bb.tuning.claim_resend);
  if (claim.highest_ballot > claim.ballot || claim.retry_soon_ms > 0) {
    claim.retry_soon_ms = 0;
    const uint64_t seen = std::max(claim.highest_ballot, claim.ballot);
    StartRound(bb, *job, std::max(RoundOf(seen), kFirstRound) + 1, now,
               actions);
    return;
  }
  // The wait for outputs (kOutputsWait) may have ended.
  if (claim.phase == wire::CLAIM_PREPARE && claim.merged.finished() &&
      claim.granted.size() >= MajorityOf(VotersOf(bb, *job).size())) {
    OnPrepareMajority(bb, *job, now, actions);
    return;
  }
  SendClaim(bb, *job, now, actions);
}

}  // namespace goldcrest
