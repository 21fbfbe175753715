#include "goldcrest/forwarding.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "goldcrest/admission.h"
#include "goldcrest/claim_owner.h"
#include "goldcrest/claim_store.h"
#include "goldcrest/jobs.h"
#include "goldcrest/membership.h"
#include "goldcrest/submission.h"

namespace goldcrest {
namespace {

bool IsDraining(const Blackboard& bb, const std::string& vm) {
  if (vm == bb.deployment.self) {
    return bb.draining;
  }
  return bb.membership.peers.at(vm).draining;
}

uint64_t IncarnationOf(const Blackboard& bb, const std::string& vm) {
  const auto found = bb.membership.peers.find(vm);
  return found == bb.membership.peers.end() ? 0 : found->second.incarnation;
}

// Returns true if the target has not accepted the job, or has restarted and so
// may have lost it.
bool NeedsResend(const Blackboard& bb, const Job& job) {
  return !job.accepted ||
         job.forwarded_incarnation != IncarnationOf(bb, job.forwarded_to);
}

// Sets the single forward timer of `job` to `due`, or to the time of the next
// resend if that is earlier.
void ArmForwardTimer(Blackboard& bb, Job& job, Micros due, StepTime now) {
  bb.timers.Clear(job.forward_timer_due, TimerKind::kForward, job.id);
  const Micros resend = now.mono + bb.tuning.forward_resend;
  job.forward_timer_due = std::clamp(due, now.mono, resend);
  bb.timers.Set(job.forward_timer_due, TimerKind::kForward, job.id);
}

wire::JobResult UnreachableHomeResult(const Job& job) {
  const ResultCode code = job.forwarded_to.empty()
                              ? ResultCode::kHomeUnreachable
                              : ResultCode::kOwnerUnreachable;
  return MakeUnknown(code);
}

wire::JobResult PendingResult() {
  return MakeResult(Outcome::kPending, Ran::kNone, ResultCode::kOk);
}

// Returns the state of a submission as far as this VM knows it: pending or its
// result; nullopt if this VM doesn't know the submission.
std::optional<wire::JobResult> LocalState(Blackboard& bb,
                                          const std::string& id) {
  const Job* job = FindJob(bb, id);
  if (job != nullptr) {
    // A result that is not recorded yet is not final, so it is reported as
    // pending.
    return job->final_result_sent && job->state == JobState::kFinishing
               ? job->result
               : PendingResult();
  }
  const ClaimEntry* entry = FindClaim(bb, id);
  if (entry == nullptr) {
    return std::nullopt;
  }
  if (entry->record.finished() && entry->recorded &&
      !IsAnswerDropped(entry->record.result())) {
    return ResultOfClaim(entry->record);
  }
  return std::nullopt;
}

// Counts a result that `voter` has recorded. Returns the result once a majority
// of the voters has recorded it.
std::optional<wire::JobResult> CountTentative(const Blackboard& bb,
                                              SubmissionLookup& query,
                                              const std::string& voter,
                                              const wire::LookupReply& reply) {
  TentativeResult& tentative = query.tentative[reply.ballot()];
  tentative.home = reply.home();
  tentative.voters.insert(voter);
  if (reply.result().outputs_size() >= tentative.result.outputs_size()) {
    tentative.result = reply.result();
  }
  const ClaimGroup* group = bb.deployment.GroupOf(tentative.home);
  if (group == nullptr ||
      tentative.voters.size() < MajorityOf(group->voters.size())) {
    return std::nullopt;
  }
  wire::ClaimRecord record;
  *record.mutable_result() = tentative.result;
  return ResultOfClaim(record);
}

// Returns the result in this VM's own claim record, as a reply with `tentative`
// set, or nullopt if the record has none.
std::optional<wire::LookupReply> OwnTentativeResult(Blackboard& bb,
                                                    const std::string& id) {
  const ClaimEntry* entry = FindClaim(bb, id);
  if (entry == nullptr || !entry->record.finished()) {
    return std::nullopt;
  }
  wire::LookupReply reply;
  reply.set_tentative(true);
  reply.set_ballot(entry->record.accepted());
  reply.set_home(entry->record.home());
  *reply.mutable_result() = entry->record.result();
  return reply;
}

// Sends a lookup of `id`, and a cancellation if `cancel` is set, to every
// reachable VM. The first VM that knows the submission provides the answer.
void QueryAllVms(Blackboard& bb,
                 ReplyToken token,
                 const std::string& id,
                 bool cancel,
                 StepTime now,
                 Actions& actions) {
  const uint64_t query_id = NextId(bb);
  SubmissionLookup query{token, id, {}, cancel, {}};
  if (const auto own_result = OwnTentativeResult(bb, id)) {
    CountTentative(bb, query, bb.deployment.self, *own_result);
  }
  for (const auto& [vm, peer] : bb.membership.peers) {
    if (!peer.reachable) {
      continue;
    }
    query.waiting_for.insert(vm);
    if (cancel) {
      wire::PeerMessage message;
      message.mutable_cancel()->add_submission_ids(id);
      SendToPeer(bb, vm, std::move(message), actions);
    }
    wire::PeerMessage message;
    message.mutable_lookup()->set_submission_id(id);
    message.mutable_lookup()->set_query(query_id);
    SendToPeer(bb, vm, std::move(message), actions);
  }
  bb.submission_lookups[query_id] = std::move(query);
  bb.timers.Set(now.mono + bb.tuning.lookup_timeout, TimerKind::kLookupQuery,
                std::to_string(query_id));
  if (bb.submission_lookups[query_id].waiting_for.empty()) {
    EndSubmissionLookup(bb, std::to_string(query_id), actions);
  }
}

// Cancels the submission `id` if this VM claims or owns it and it is not
// finishing already. Returns true if this VM claims or owns it.
bool CancelLocally(Blackboard& bb,
                   const std::string& id,
                   StepTime now,
                   Actions& actions) {
  Job* job = FindJob(bb, id);
  if (job == nullptr) {
    return false;
  }
  switch (job->state) {
    case JobState::kForwarded:
      return false;
    case JobState::kClaiming:
      job->cancelled = true;
      return true;
    case JobState::kActive:
      FinishJob(bb, *job,
                MakeResult(Outcome::kCancelled, RanOfJob(*job),
                           ResultCode::kCancelled),
                now, actions);
      return true;
    case JobState::kFinishing:
      return true;
  }
  return false;
}

// Handles the cancellation of a single submission.
void CancelOne(Blackboard& bb,
               const CancelRequest& request,
               StepTime now,
               Actions& actions) {
  const std::string& id = request.submission_ids.front();
  Waiter waiter;
  waiter.token = request.token;
  waiter.cancelling = true;
  Job* job = FindJob(bb, id);
  if (job != nullptr && job->state == JobState::kForwarded) {
    AddWaiter(bb, *job, waiter, actions);
    wire::PeerMessage message;
    message.mutable_cancel()->add_submission_ids(id);
    if (!job->forwarded_to.empty()) {
      SendToPeer(bb, job->forwarded_to, std::move(message), actions);
    }
    job->cancelled = true;
    return;
  }
  if (job != nullptr && !job->final_result_sent) {
    AddWaiter(bb, *job, waiter, actions);
    CancelLocally(bb, id, now, actions);
    return;
  }
  if (const auto state = LocalState(bb, id)) {
    Answer(bb, id, "", waiter, *state, actions);
    return;
  }
  QueryAllVms(bb, request.token, id, true, now, actions);
}

// Handles the cancellation of many submissions. Each other VM gets one message
// with all ids that this VM neither claims nor owns.
void CancelMany(Blackboard& bb,
                const CancelRequest& request,
                StepTime now,
                Actions& actions) {
  wire::Cancel forwarded_cancel;
  size_t handled_here = 0;
  for (const std::string& id : request.submission_ids) {
    if (CancelLocally(bb, id, now, actions)) {
      ++handled_here;
    } else {
      forwarded_cancel.add_submission_ids(id);
    }
  }
  size_t notified_vms = 0;
  for (const auto& [vm, peer] : bb.membership.peers) {
    if (peer.reachable && forwarded_cancel.submission_ids_size() > 0) {
      wire::PeerMessage message;
      *message.mutable_cancel() = forwarded_cancel;
      SendToPeer(bb, vm, std::move(message), actions);
      ++notified_vms;
    }
  }
  actions.emplace_back(ReplyJson{
      request.token, 200,
      "{\"requested\":" + std::to_string(request.submission_ids.size()) +
          ",\"cancelled_here\":" + std::to_string(handled_here) +
          ",\"vms_asked\":" + std::to_string(notified_vms) + "}"});
}

}  // namespace

std::string ChooseOwner(const Blackboard& bb, const Job& job) {
  bool self_is_candidate = false;
  for (const std::string& vm : OwnerRanking(bb.deployment, job.home, job.id)) {
    if (!IsReachable(bb, vm)) {
      continue;
    }
    if (!IsDraining(bb, vm)) {
      return vm;
    }
    self_is_candidate = self_is_candidate || vm == bb.deployment.self;
  }
  return self_is_candidate ? bb.deployment.self : "";
}

void SendForward(Blackboard& bb, Job& job, Actions& actions) {
  if (job.forwarded_to.empty()) {
    return;
  }
  job.forwarded_incarnation = IncarnationOf(bb, job.forwarded_to);
  wire::PeerMessage message;
  wire::Forward* forward = message.mutable_forward();
  *forward->mutable_submission() = job.submission;
  forward->set_elapsed_ms(job.forward_elapsed_ms);
  forward->set_named_owner(job.named_owner);
  const bool wants_accepted =
      std::any_of(job.waiters.begin(), job.waiters.end(),
                  [](const Waiter& waiter) { return waiter.until_accepted; });
  // With `want_accepted` the target reports the acceptance without waiting for
  // `accepted_notice_delay`. A resend always requests this.
  forward->set_want_accepted(wants_accepted || job.forward_sends > 0);
  ++job.forward_sends;
  ++bb.counters.forwards;
  SendToPeer(bb, job.forwarded_to, std::move(message), actions);
  if (job.cancelled) {
    wire::PeerMessage cancel;
    cancel.mutable_cancel()->add_submission_ids(job.id);
    SendToPeer(bb, job.forwarded_to, std::move(cancel), actions);
  }
}

void ForwardJob(Blackboard& bb,
                Job& job,
                const std::string& target,
                StepTime now,
                Actions& actions) {
  job.state = JobState::kForwarded;
  job.named_owner = job.named_owner && job.forwarded_to == target;
  job.forwarded_to = target;
  job.forward_elapsed_ms = (now.mono - job.received_at) / kMillisecond;
  if (target.empty()) {
    const Micros last_contact_at =
        AnyLastReceivedAt(bb, bb.deployment.VmsOf(job.home), now);
    const bool already_unreachable = job.unreachable_since != 0;
    job.unreachable_since =
        std::min(already_unreachable ? job.unreachable_since : now.mono,
                 last_contact_at);
    ArmForwardTimer(bb, job,
                    job.unreachable_since + bb.tuning.unreachable_home_timeout,
                    now);
    return;
  }
  job.unreachable_since = 0;
  ArmForwardTimer(bb, job, now.mono + bb.tuning.forward_resend, now);
  SendForward(bb, job, actions);
}

void OnForwardReply(Blackboard& bb,
                    const std::string& from,
                    const wire::ForwardReply& reply,
                    StepTime now,
                    Actions& actions) {
  Job* job = FindJob(bb, reply.submission_id());
  if (job == nullptr || job->state != JobState::kForwarded ||
      job->submission.digest() != reply.digest()) {
    return;
  }
  if (OutcomeOf(reply.result()) == Outcome::kPending) {
    if (job->forwarded_to == from) {
      MarkAccepted(bb, *job, actions);
    }
    return;
  }
  // "Unknown" from an earlier target, which could not claim the job, is not
  // final while another target has the job.
  const bool final_answer = OutcomeOf(reply.result()) != Outcome::kUnknown;
  if (job->forwarded_to == from || final_answer) {
    AnswerAndRemove(bb, *job, reply.result(), now, actions);
  }
}

void OnForwardTimer(Blackboard& bb,
                    const std::string& id,
                    StepTime now,
                    Actions& actions) {
  Job* job = FindJob(bb, id);
  if (job == nullptr || job->state != JobState::kForwarded) {
    return;
  }
  const bool target_unreachable =
      job->forwarded_to.empty() || !IsReachable(bb, job->forwarded_to);
  if (!target_unreachable) {
    ArmForwardTimer(bb, *job, now.mono + bb.tuning.forward_resend, now);
    if (NeedsResend(bb, *job)) {
      ++bb.counters.forward_resends;
      for (Waiter& waiter : job->waiters) {
        waiter.until_accepted = waiter.until_accepted && !job->accepted;
      }
      job->accepted = false;
      SendForward(bb, *job, actions);
    }
    return;
  }
  const std::string target = ChooseOwner(bb, *job);
  if (target == bb.deployment.self) {
    ClaimForwardedJob(bb, *job, now, actions);
    return;
  }
  const bool timed_out =
      job->unreachable_since != 0 &&
      now.mono - job->unreachable_since >= bb.tuning.unreachable_home_timeout;
  if (target.empty() && timed_out) {
    AnswerAndRemove(bb, *job, UnreachableHomeResult(*job), now, actions);
    return;
  }
  ForwardJob(bb, *job, target, now, actions);
}

void OnLookup(Blackboard& bb,
              const LookupRequest& request,
              StepTime now,
              Actions& actions) {
  if (const auto state = LocalState(bb, request.submission_id)) {
    actions.emplace_back(
        ReplyResult{request.token, request.submission_id, *state});
    return;
  }
  QueryAllVms(bb, request.token, request.submission_id, false, now, actions);
}

void OnPeerLookup(Blackboard& bb,
                  const std::string& from,
                  const wire::Lookup& lookup,
                  Actions& actions) {
  wire::PeerMessage message;
  wire::LookupReply* reply = message.mutable_lookup_reply();
  reply->set_submission_id(lookup.submission_id());
  reply->set_query(lookup.query());
  if (const auto state = LocalState(bb, lookup.submission_id())) {
    reply->set_known(true);
    reply->set_finished(OutcomeOf(*state) != Outcome::kPending);
    *reply->mutable_result() = *state;
  } else if (const auto own_result =
                 OwnTentativeResult(bb, lookup.submission_id())) {
    reply->MergeFrom(*own_result);
  }
  SendToPeer(bb, from, std::move(message), actions);
}

void OnLookupReply(Blackboard& bb,
                   const std::string& from,
                   const wire::LookupReply& reply,
                   Actions& actions) {
  const auto found = bb.submission_lookups.find(reply.query());
  if (found == bb.submission_lookups.end()) {
    return;
  }
  SubmissionLookup& query = found->second;
  query.waiting_for.erase(from);
  if (reply.known()) {
    actions.emplace_back(ReplyResult{query.token, query.submission_id,
                                     reply.result(), query.cancel});
    bb.submission_lookups.erase(found);
    return;
  }
  if (reply.tentative()) {
    if (const auto result = CountTentative(bb, query, from, reply)) {
      actions.emplace_back(
          ReplyResult{query.token, query.submission_id, *result, query.cancel});
      bb.submission_lookups.erase(found);
      return;
    }
  }
  if (query.waiting_for.empty()) {
    EndSubmissionLookup(bb, std::to_string(reply.query()), actions);
  }
}

void EndSubmissionLookup(Blackboard& bb,
                         const std::string& key,
                         Actions& actions) {
  const auto found = bb.submission_lookups.find(std::stoull(key));
  if (found == bb.submission_lookups.end()) {
    return;
  }
  const SubmissionLookup query = std::move(found->second);
  bb.submission_lookups.erase(found);
  const bool is_unknown_everywhere =
      query.waiting_for.empty() && query.tentative.empty() &&
      std::all_of(bb.membership.peers.begin(), bb.membership.peers.end(),
                  [](const auto& entry) { return entry.second.reachable; });
  if (is_unknown_everywhere) {
    const ResultCodeRow& row = RowOf(ResultCode::kNotFound);
    actions.emplace_back(ReplyJson{
        query.token, row.http_status,
        ErrorJson({row.code, "submission_id", "no VM knows this submission"})});
    return;
  }
  actions.emplace_back(ReplyResult{query.token, query.submission_id,
                                   MakeUnknown(ResultCode::kNoQuorum)});
}

void EndAllSubmissionLookups(Blackboard& bb, Actions& actions) {
  while (!bb.submission_lookups.empty()) {
    EndSubmissionLookup(
        bb, std::to_string(bb.submission_lookups.begin()->first), actions);
  }
}

void OnCancel(Blackboard& bb,
              const CancelRequest& request,
              StepTime now,
              Actions& actions) {
  if (request.single && !request.submission_ids.empty()) {
    CancelOne(bb, request, now, actions);
    return;
  }
  CancelMany(bb, request, now, actions);
}

void OnPeerCancel(Blackboard& bb,
                  const wire::Cancel& cancel,
                  StepTime now,
                  Actions& actions) {
  for (const std::string& id : cancel.submission_ids()) {
    CancelLocally(bb, id, now, actions);
  }
}

}  // namespace goldcrest
