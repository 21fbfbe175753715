#include "goldcrest/claim_owner.h"

#include <algorithm>
#include <utility>

#include "goldcrest/admission.h"
#include "goldcrest/claim_store.h"
#include "goldcrest/claim_voter.h"
#include "goldcrest/forwarding.h"
#include "goldcrest/jobs.h"
#include "goldcrest/membership.h"
#include "goldcrest/placement.h"
#include "goldcrest/submission.h"

namespace goldcrest {
namespace {

// A ballot is a round above and the proposer's position below, so that no two
// VMs share one.
constexpr int kBallotVmBits = 16;
constexpr uint64_t kFirstRound = 1;
constexpr int64_t kMaxBackoffMs = 8;
// An answer that only a slower voter may still hold is waited for this long.
constexpr Micros kAnswerPatience = 300 * kMillisecond;
constexpr int kMaxUpdateSends = 30;
// A job is given up to owners that voters name at most this often.
constexpr int kMaxYields = 4;
// A voter that missed an addition gets it again this often after a majority
// has recorded it.
constexpr int kMaxSendsAfterMajority = 5;
constexpr size_t kTakeOversPerPass = 2000;

const std::vector<std::string>& VotersOf(const Blackboard& bb, const Job& job) {
  return bb.deployment.GroupOf(job.home)->voters;
}

// A record's owner counts only above the ballot at which it was released.
bool IsClaimed(const wire::ClaimRecord& record) {
  return record.accepted() > record.released();
}

wire::ClaimRequest MakeRequest(const Job& job) {
  wire::ClaimRequest request;
  request.set_phase(job.claim.phase);
  request.set_ballot(job.claim.ballot);
  request.set_fast(job.claim.fast);
  wire::ClaimRecord* record = request.mutable_record();
  record->set_submission_id(job.id);
  record->set_home(job.home);
  record->set_submitted_at_ms(job.submission.submitted_at_ms());
  record->set_digest(job.submission.digest());
  record->set_received_wall_ms(job.received_wall_ms);
  record->set_deadline_wall_ms(job.deadline_wall_ms);
  if (job.claim.phase == wire::CLAIM_ACCEPT) {
    *record->mutable_intents() = job.claim.merged.intents();
    record->set_cancelled(job.cancelled);
    *record->mutable_submission() = job.submission;
    record->set_finished(job.claim.merged.finished());
    *record->mutable_result() = job.claim.merged.result();
  }
  return request;
}

// Gives this VM's own vote. With synced claims it counts only when durable.
void VoteForSelf(Blackboard& bb,
                 Job& job,
                 const wire::ClaimRequest& request,
                 Now now,
                 Actions& actions) {
  const std::string id = job.id;
  const wire::ClaimReply reply = VoteOnClaim(
      bb, bb.deployment.self, bb.deployment.incarnation, request, now);
  const bool must_sync = bb.tuning.synced_claims &&
                         request.phase() == wire::CLAIM_ACCEPT &&
                         reply.status() == wire::CLAIM_GRANTED;
  if (!must_sync) {
    OnClaimReply(bb, bb.deployment.self, reply, now, actions);
    return;
  }
  AppendJournal append;
  append.token = NextId(bb);
  *append.record.mutable_claim() = FindClaim(bb, id)->record;
  bb.unsynced_claims[append.token] = {id, reply, wire::ClaimUpdateReply()};
  actions.emplace_back(std::move(append));
}

// A witness keeps neither content nor outputs.
void StripForWitness(wire::ClaimRecord& record) {
  record.clear_submission();
  if (record.finished()) {
    DropOutputs(*record.mutable_result());
  }
}

void SendClaim(Blackboard& bb, Job& job, Now now, Actions& actions) {
  const wire::ClaimRequest request = MakeRequest(job);
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
    if (bb.deployment.Find(voter)->failure_domain != job.home) {
      StripForWitness(*message.mutable_claim_request()->mutable_record());
    }
    ++bb.counters.claim_messages;
    Send(bb, voter, std::move(message), actions);
  }
  if (vote_self) {
    VoteForSelf(bb, job, request, now, actions);
  }
}

// Sets the one claim timer of `job`.
void ArmClaimTimer(Blackboard& bb, Job& job, Micros due) {
  bb.timers.Clear(job.claim_timer_due, TimerKind::kClaim, job.id);
  job.claim_timer_due = due;
  bb.timers.Set(due, TimerKind::kClaim, job.id);
}

// Sets the one timer for unanswered additions of `job`.
void ArmUpdateTimer(Blackboard& bb, Job& job, Micros due) {
  bb.timers.Clear(job.update_timer_due, TimerKind::kClaimUpdate, job.id);
  job.update_timer_due = due;
  bb.timers.Set(due, TimerKind::kClaimUpdate, job.id);
}

// Remembers under which lease a round begins.
void NoteLease(const Blackboard& bb, Job& job, Now now) {
  job.claim.leased = HoldsServingLease(bb, now);
  job.lease_generation = bb.membership.lease_generation;
}

void StartRound(Blackboard& bb,
                Job& job,
                uint64_t round,
                Now now,
                Actions& actions) {
  ClaimAttempt& claim = job.claim;
  claim.phase = wire::CLAIM_PREPARE;
  claim.fast = false;
  claim.ballot = MakeBallot(bb, round);
  claim.granted.clear();
  claim.abstained.clear();
  claim.merged.Clear();
  NoteLease(bb, job, now);
  SendClaim(bb, job, now, actions);
}

// Marks which tasks an earlier owner may have started.
void RestoreTasks(Job& job, const wire::ClaimRecord& merged) {
  for (const wire::TaskIntent& intent : merged.intents()) {
    if (intent.index() >= job.tasks.size()) {
      continue;
    }
    TaskRecord& task = job.tasks[intent.index()];
    if (task.state == TaskState::kDone || task.state == TaskState::kRunning) {
      continue;
    }
    if (intent.attempt() < task.attempts) {
      continue;
    }
    task.attempts = intent.attempt();
    task.state = TaskState::kChecking;
    task.start.worker = intent.worker();
    task.start.address = intent.worker_address();
    task.start.attempt = intent.attempt();
    task.start.lease_epoch = intent.lease_epoch();
    task.start.worker_incarnation = intent.worker_incarnation();
  }
}

// Drops a take-over that found nothing left to run and nobody waiting.
bool DropIfIdle(Blackboard& bb, Job& job, Now now, Actions& actions) {
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

// Answers with a result that an earlier owner left.
void AnswerFromClaim(Blackboard& bb, Job& job, Now now, Actions& actions) {
  ClaimEntry& entry = OpenClaim(bb, job.id, now);
  const std::string earlier_owner = entry.record.owner();
  MergeClaim(entry.record, job.claim.merged);
  IndexClaim(bb, entry, earlier_owner);
  FinishClaim(bb, entry, job.claim.merged.result());
  entry.recorded = true;
  ++bb.counters.attached;
  AnswerAndRemove(bb, job, ResultOfClaim(job.claim.merged), now, actions);
}

void BecomeOwner(Blackboard& bb, Job& job, Now now, Actions& actions) {
  if (job.claim.merged.finished()) {
    AnswerFromClaim(bb, job, now, actions);
    return;
  }
  // Only a lease held from the round's beginning on keeps others from taking
  // the claim over unnoticed; without one the timer starts another round.
  const bool lease_held =
      job.claim.leased &&
      job.lease_generation == bb.membership.lease_generation;
  if (!lease_held && !IsBroken(bb, Break::kNoServingLease)) {
    job.claim.retry_soon_ms = 1;
    return;
  }
  job.ballot = job.claim.ballot;
  job.state = JobState::kActive;
  job.cancelled = job.cancelled || job.claim.merged.cancelled();
  RestoreTasks(job, job.claim.merged);
  if (job.orphan) {
    job.orphan = false;
    ++bb.counters.takeovers;
    Log(actions, LogLevel::kInfo, "claim_taken_over",
        {{"submission", job.id}, {"owner", job.claim.merged.owner()}});
  }
  OnJobOwned(bb, job, now, actions);
}

void AfterPrepare(Blackboard& bb, Job& job, Now now, Actions& actions) {
  ClaimAttempt& claim = job.claim;
  const size_t voters = VotersOf(bb, job).size();
  if (claim.merged.finished()) {
    const bool answer_may_follow =
        IsAnswerDropped(claim.merged.result()) &&
        claim.granted.size() + claim.abstained.size() < voters &&
        now.mono - claim.started_at < kAnswerPatience;
    if (answer_may_follow) {
      return;
    }
    // Perhaps only one voter has this result: a majority must have it before
    // anybody is told.
    claim.phase = wire::CLAIM_ACCEPT;
    claim.granted.clear();
    claim.abstained.clear();
    SendClaim(bb, job, now, actions);
    return;
  }
  if (DropIfIdle(bb, job, now, actions)) {
    return;
  }
  const wire::ClaimRecord& merged = claim.merged;
  if (IsClaimed(merged)) {
    job.taken_over = true;
    job.admitted = true;
    job.any_started = job.any_started || merged.intents_size() > 0;
    if (merged.deadline_wall_ms() != 0) {
      job.deadline_wall_ms = merged.deadline_wall_ms();
    }
  } else {
    claim.merged.clear_intents();
  }
  claim.phase = wire::CLAIM_ACCEPT;
  claim.granted.clear();
  claim.abstained.clear();
  SendClaim(bb, job, now, actions);
}

void EndUnknown(Blackboard& bb,
                Job& job,
                ResultCode code,
                Now now,
                Actions& actions) {
  AnswerAndRemove(bb, job, MakeUnknown(code), now, actions);
}

void OnGranted(Blackboard& bb, Job& job, Now now, Actions& actions) {
  const size_t majority =
      IsBroken(bb, Break::kNoClaim) ? 1 : MajorityOf(VotersOf(bb, job).size());
  if (job.claim.granted.size() < majority) {
    return;
  }
  if (job.claim.phase == wire::CLAIM_PREPARE) {
    AfterPrepare(bb, job, now, actions);
  } else {
    BecomeOwner(bb, job, now, actions);
  }
}

// Another VM holds the submission, or its lease may still run.
void OnHeld(Blackboard& bb,
            Job& job,
            const std::string& holder,
            Now now,
            Actions& actions) {
  // Voters may name two VMs in turn; then the timer, not the messages, sets
  // the pace.
  const bool may_yield = job.yields < kMaxYields;
  if (may_yield && holder != bb.deployment.self && IsReachable(bb, holder)) {
    YieldJob(bb, job, holder, now, actions);
  }
  // Otherwise the timer tries again until the holder's lease has run out.
}

void OnStale(Blackboard& bb, Job& job, const wire::ClaimReply& reply) {
  job.claim.highest_ballot =
      std::max(job.claim.highest_ballot, reply.promised());
  std::uniform_int_distribution<int64_t> backoff(1, kMaxBackoffMs);
  job.claim.retry_soon_ms = backoff(bb.random);
}

// A submission that this VM holds under the same id but with other content.
bool IsReused(const Job& job, const wire::ClaimReply& reply) {
  const std::string& digest = reply.record().digest();
  const bool claimed = reply.record().accepted() > reply.record().released() ||
                       reply.record().finished() ||
                       reply.status() != wire::CLAIM_GRANTED;
  return claimed && !digest.empty() && digest != job.submission.digest();
}

PendingUpdate* FindUpdate(Job& job, uint64_t number) {
  const auto found = job.updates.find(number);
  return found == job.updates.end() ? nullptr : &found->second;
}

void ApplyOwnUpdate(Blackboard& bb,
                    Job& job,
                    const wire::ClaimUpdate& update,
                    Now now,
                    Actions& actions) {
  const std::string id = job.id;
  const wire::ClaimUpdateReply reply =
      VoteOnUpdate(bb, bb.deployment.self, update, now);
  if (!bb.tuning.synced_claims || !reply.applied()) {
    OnClaimUpdateReply(bb, bb.deployment.self, reply, now, actions);
    return;
  }
  AppendJournal append;
  append.token = NextId(bb);
  *append.record.mutable_claim() = FindClaim(bb, id)->record;
  bb.unsynced_claims[append.token] = {id, wire::ClaimReply(), reply};
  actions.emplace_back(std::move(append));
}

// What a witness gets of an update: no outputs.
wire::ClaimUpdate ForWitness(wire::ClaimUpdate update) {
  if (update.finished()) {
    DropOutputs(*update.mutable_result());
  }
  return update;
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
    *message.mutable_claim_update() = at_home ? update : ForWitness(update);
    ++bb.counters.claim_messages;
    Send(bb, voter, std::move(message), actions);
  }
  if (vote_self) {
    ApplyOwnUpdate(bb, job, update, now, actions);
  }
}

// Ends an addition that was sent often enough. Returns whether it did.
bool GiveUpUpdate(Blackboard& bb,
                  Job& job,
                  uint64_t number,
                  Now now,
                  Actions& actions) {
  const std::string id = job.id;
  const PendingUpdate& pending = job.updates[number];
  const bool reached = pending.majority_reached;
  const int limit = reached ? kMaxSendsAfterMajority : kMaxUpdateSends;
  if (pending.sends < limit) {
    if (!reached) {
      OnUpdateSlow(bb, job, number, now, actions);
    }
    return FindJob(bb, id) == nullptr;
  }
  if (!reached) {
    OnUpdateTimeout(bb, job, number, now, actions);
  }
  Job* left = FindJob(bb, id);
  if (left != nullptr) {
    left->updates.erase(number);
    RemoveIfRecorded(bb, *left);
  }
  return true;
}

// Gives the claim itself to a voter that missed it.
void RepairVoter(Blackboard& bb,
                 Job& job,
                 const std::string& voter,
                 Actions& actions) {
  wire::ClaimRequest request = MakeRequest(job);
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

// Whether this VM should take over a record of `owner`: the owner's lease has
// run out and no better placed VM of the domain is there.
bool IsNextOwner(const Blackboard& bb,
                 const wire::ClaimRecord& record,
                 Now now) {
  const bool lease_may_run =
      GrantMayRun(bb, record.owner(), record.owner_incarnation(), now) &&
      !IsBroken(bb, Break::kNoWaitForLease);
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

void TakeOver(Blackboard& bb,
              const wire::ClaimRecord& record,
              Now now,
              Actions& actions) {
  const int64_t elapsed_ms = now.wall_ms - record.received_wall_ms();
  Job& job =
      CreateJob(bb, record.submission(), std::max<int64_t>(elapsed_ms, 0), now);
  job.orphan = true;
  StartClaim(bb, job, now, actions);
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

void StartClaim(Blackboard& bb, Job& job, Now now, Actions& actions) {
  const std::vector<std::string> ranking =
      OwnerRanking(bb.deployment, job.home, job.id);
  const ClaimEntry* entry = FindClaim(bb, job.id);
  const bool untouched = entry == nullptr || (entry->record.promised() == 0 &&
                                              entry->record.accepted() == 0);
  const bool preferred = ranking.front() == bb.deployment.self;
  const bool remembers =
      RemembersSubmission(bb, job.home, job.submission.submitted_at_ms());
  SuspendTasks(bb, job);
  job.state = JobState::kClaiming;
  job.claim = ClaimAttempt();
  job.claim.started_at = now.mono;
  NoteLease(bb, job, now);
  ArmClaimTimer(bb, job, now.mono + bb.tuning.claim_resend);
  if (preferred && untouched && remembers && !job.taken_over) {
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
                  Now now,
                  Actions& actions) {
  Job* job = FindJob(bb, reply.submission_id());
  if (job == nullptr || job->state != JobState::kClaiming ||
      reply.ballot() != job->claim.ballot ||
      reply.phase() != job->claim.phase) {
    return;
  }
  if (IsReused(*job, reply)) {
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
      OnGranted(bb, *job, now, actions);
      return;
    case wire::CLAIM_HELD:
      OnHeld(bb, *job, reply.record().owner(), now, actions);
      return;
    case wire::CLAIM_STALE:
      OnStale(bb, *job, reply);
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
                  Now now,
                  Actions& actions) {
  Job* job = FindJob(bb, id);
  if (job == nullptr || job->state != JobState::kClaiming) {
    return;
  }
  ClaimAttempt& claim = job->claim;
  if (now.mono - claim.started_at > bb.tuning.claim_timeout) {
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
  if (claim.phase == wire::CLAIM_PREPARE && claim.merged.finished() &&
      claim.granted.size() >= MajorityOf(VotersOf(bb, *job).size())) {
    AfterPrepare(bb, *job, now, actions);
    return;
  }
  SendClaim(bb, *job, now, actions);
}

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
    if (now.mono - pending.sent_at >= bb.tuning.claim_resend) {
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

void OnClaimSynced(Blackboard& bb,
                   uint64_t token,
                   bool ok,
                   Now now,
                   Actions& actions) {
  const auto found = bb.unsynced_claims.find(token);
  if (found == bb.unsynced_claims.end()) {
    return;
  }
  const UnsyncedVote vote = std::move(found->second);
  bb.unsynced_claims.erase(found);
  if (!ok) {
    return;
  }
  if (!vote.reply.submission_id().empty()) {
    OnClaimReply(bb, bb.deployment.self, vote.reply, now, actions);
  } else {
    OnClaimUpdateReply(bb, bb.deployment.self, vote.update_reply, now, actions);
  }
}

void TakeOverOrphans(Blackboard& bb, Now now, Actions& actions) {
  std::vector<std::string> orphans;
  for (const auto& [owner, ids] : bb.claims.unfinished_by_owner) {
    for (const std::string& id : ids) {
      const ClaimEntry* entry = FindClaim(bb, id);
      const bool mine =
          owner == bb.deployment.self &&
          entry->record.owner_incarnation() == bb.deployment.incarnation;
      if (mine || FindJob(bb, id) != nullptr ||
          !entry->record.has_submission()) {
        continue;
      }
      if (IsNextOwner(bb, entry->record, now)) {
        orphans.push_back(id);
      }
      if (orphans.size() >= kTakeOversPerPass) {
        break;
      }
    }
  }
  for (const std::string& id : orphans) {
    const wire::ClaimRecord record = FindClaim(bb, id)->record;
    TakeOver(bb, record, now, actions);
  }
}

void ReclaimAfterLapse(Blackboard& bb, Now now, Actions& actions) {
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
