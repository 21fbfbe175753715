#include "goldcrest/claim_voter.h"

#include <algorithm>
#include <utility>

#include "goldcrest/claim_store.h"
#include "goldcrest/membership.h"

namespace goldcrest {
namespace {

// A page of records for a co-voter ends at the first of these limits.
constexpr int kSyncPageRecords = 256;
constexpr size_t kSyncPageBytes = 512 * 1024;
// Interval between requests for the records of co-voters.
constexpr Micros kSyncPeriod = 500 * kMillisecond;

wire::ClaimReply MakeReply(const wire::ClaimRequest& request,
                           wire::ClaimStatus status) {
  wire::ClaimReply reply;
  reply.set_phase(request.phase());
  reply.set_ballot(request.ballot());
  reply.set_status(status);
  reply.set_submission_id(request.record().submission_id());
  return reply;
}

// Returns the VM whose unexpired serving lease forbids a promise to `from`, or
// an empty name: the owner or, if no owner is recorded, the preferred owner.
std::string BlockingLeaseHolder(const Blackboard& bb,
                                const std::string& from,
                                const ClaimEntry* entry,
                                const wire::ClaimRequest& request,
                                StepTime now) {
  if (IsDisabled(bb, DisabledMechanism::kNoWaitForLease)) {
    return "";
  }
  if (entry != nullptr && entry->record.finished()) {
    return "";  // no more tasks run under this claim
  }
  if (entry != nullptr && entry->record.accepted() != 0) {
    const wire::ClaimRecord& record = entry->record;
    const bool blocks =
        record.owner() != from &&
        GrantMayBeValid(bb, record.owner(), record.owner_incarnation(), now);
    return blocks ? record.owner() : "";
  }
  const std::string& domain = request.record().home();
  const std::vector<std::string> ranking =
      OwnerRanking(bb.deployment, domain, request.record().submission_id());
  if (ranking.empty() || ranking.front() == from ||
      ranking.front() == bb.deployment.self) {
    return "";
  }
  const auto preferred = bb.membership.peers.find(ranking.front());
  if (preferred != bb.membership.peers.end() && preferred->second.draining) {
    return "";  // a draining VM admits no new job
  }
  return AnyGrantMayBeValid(bb, ranking.front(), now) ? ranking.front() : "";
}

wire::ClaimReply VoteOnPrepare(Blackboard& bb,
                               const std::string& from,
                               const wire::ClaimRequest& request,
                               StepTime now) {
  const std::string& id = request.record().submission_id();
  ClaimEntry* entry = FindClaim(bb, id);
  const std::string holder = BlockingLeaseHolder(bb, from, entry, request, now);
  if (!holder.empty()) {
    wire::ClaimReply reply = MakeReply(request, wire::CLAIM_HELD);
    reply.mutable_record()->set_owner(holder);
    if (entry != nullptr) {
      reply.mutable_record()->set_digest(entry->record.digest());
    }
    return reply;
  }
  if (entry == nullptr) {
    entry = &FindOrCreateClaim(bb, id, now);
  }
  if (request.ballot() < entry->record.promised()) {
    wire::ClaimReply reply = MakeReply(request, wire::CLAIM_STALE);
    reply.set_promised(entry->record.promised());
    return reply;
  }
  entry->record.set_promised(request.ballot());
  wire::ClaimReply reply = MakeReply(request, wire::CLAIM_GRANTED);
  *reply.mutable_record() = entry->record;
  return reply;
}

// Returns whether a voter may accept `ballot` without a prepare phase: its
// record has neither a promised nor an accepted ballot, or this is a resend of
// the accept request that it has recorded.
bool MayAcceptFast(const ClaimEntry& entry,
                   const std::string& from,
                   uint64_t from_incarnation,
                   uint64_t ballot) {
  const wire::ClaimRecord& record = entry.record;
  if (record.promised() == 0 && record.accepted() == 0) {
    return true;
  }
  return record.accepted() == ballot && record.promised() == ballot &&
         record.owner() == from &&
         record.owner_incarnation() == from_incarnation && !record.finished();
}

// Records `from` as the owner, with the content or the result of the request.
void Accept(Blackboard& bb,
            const std::string& from,
            uint64_t from_incarnation,
            const wire::ClaimRequest& request,
            ClaimEntry& entry) {
  wire::ClaimRecord& record = entry.record;
  const std::string earlier_owner = record.owner();
  record.set_promised(request.ballot());
  record.set_accepted(request.ballot());
  record.set_owner(from);
  record.set_owner_incarnation(from_incarnation);
  MergeClaim(record, request.record());
  IndexClaim(bb, entry, earlier_owner);
  if (record.finished() && !request.record().finished()) {
    // The new owner runs the job again.
    ReopenClaim(bb, entry);
  }
  if (request.record().finished()) {
    FinishClaim(bb, entry, request.record().result());
  }
}

wire::ClaimReply VoteOnAccept(Blackboard& bb,
                              const std::string& from,
                              uint64_t from_incarnation,
                              const wire::ClaimRequest& request,
                              StepTime now) {
  ClaimEntry& entry =
      FindOrCreateClaim(bb, request.record().submission_id(), now);
  const wire::ClaimRecord& record = entry.record;
  const bool same_content =
      record.digest().empty() || record.digest() == request.record().digest();
  const bool may_accept =
      request.fast()
          ? MayAcceptFast(entry, from, from_incarnation, request.ballot())
          : request.ballot() >= record.promised();
  // The reply is "stale" after a promise of a higher ballot, for a request
  // without a prepare phase that MayAcceptFast() rejects, and for a submission
  // of other content.
  if (!may_accept || !same_content) {
    wire::ClaimReply reply = MakeReply(request, wire::CLAIM_STALE);
    reply.set_promised(std::max(record.promised(), record.accepted()));
    reply.mutable_record()->set_digest(record.digest());
    return reply;
  }
  Accept(bb, from, from_incarnation, request, entry);
  return MakeReply(request, wire::CLAIM_GRANTED);
}

// Returns a copy of `record` for a co-voter. Finished records are sent without
// outputs: a resubmission finds the outputs at the voters with full state.
wire::ClaimRecord CopyForSync(const wire::ClaimRecord& record) {
  wire::ClaimRecord copy = record;
  if (copy.finished()) {
    DropOutputs(*copy.mutable_result());
  }
  return copy;
}

void SendSyncRequest(Blackboard& bb,
                     const std::string& domain,
                     const std::string& voter,
                     const std::string& after,
                     Actions& actions) {
  wire::PeerMessage message;
  message.mutable_claim_sync()->set_failure_domain(domain);
  message.mutable_claim_sync()->set_after(after);
  SendToPeer(bb, voter, std::move(message), actions);
}

// Returns whether a record belongs to the claim group of `domain`.
bool BelongsToGroup(const wire::ClaimRecord& record,
                    const std::string& domain) {
  return record.home() == domain;
}

}  // namespace

std::string HomeOf(const Blackboard& bb, const wire::Submission& submission) {
  return submission.home().empty()
             ? DerivedHome(bb.deployment, submission.submission_id())
             : submission.home();
}

wire::ClaimReply VoteOnClaim(Blackboard& bb,
                             const std::string& from,
                             uint64_t from_incarnation,
                             const wire::ClaimRequest& request,
                             StepTime now) {
  const bool has_full_state = HasFullStateForSubmission(
      bb, request.record().home(), request.record().submitted_at_ms());
  if (!has_full_state) {
    return MakeReply(request, wire::CLAIM_ABSTAIN);
  }
  if (request.phase() == wire::CLAIM_PREPARE) {
    return VoteOnPrepare(bb, from, request, now);
  }
  return VoteOnAccept(bb, from, from_incarnation, request, now);
}

wire::ClaimUpdateReply VoteOnUpdate(Blackboard& bb,
                                    const std::string& from,
                                    const wire::ClaimUpdate& update,
                                    StepTime /*now*/) {
  wire::ClaimUpdateReply reply;
  reply.set_submission_id(update.submission_id());
  reply.set_ballot(update.ballot());
  reply.set_update(update.update());
  ClaimEntry* entry = FindClaim(bb, update.submission_id());
  if (entry == nullptr) {
    return reply;
  }
  reply.set_promised(entry->record.promised());
  const bool released_already =
      update.released() && entry->record.released() >= update.ballot();
  if (released_already) {
    reply.set_applied(true);
    return reply;
  }
  if (entry->record.promised() > update.ballot() ||
      entry->record.accepted() != update.ballot() ||
      entry->record.owner() != from) {
    return reply;
  }
  reply.set_applied(true);
  wire::ClaimRecord update_record;
  *update_record.mutable_intents() = update.intents();
  update_record.set_cancelled(update.cancelled());
  MergeClaim(entry->record, update_record);
  if (update.finished()) {
    FinishClaim(bb, *entry, update.result());
  }
  if (update.released()) {
    ReleaseClaim(bb, *entry, update.ballot());
  }
  return reply;
}

void OnClaimSync(Blackboard& bb,
                 const std::string& from,
                 const wire::ClaimSync& request,
                 Actions& actions) {
  std::vector<const wire::ClaimRecord*> records;
  for (const auto& [id, entry] : bb.claims.entries) {
    if (id > request.after() &&
        BelongsToGroup(entry.record, request.failure_domain())) {
      records.push_back(&entry.record);
    }
  }
  const size_t page = std::min<size_t>(records.size(), kSyncPageRecords);
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(page),
                    records.end(), [](const auto* a, const auto* b) {
                      return a->submission_id() < b->submission_id();
                    });
  wire::PeerMessage message;
  wire::ClaimSyncPage* reply = message.mutable_claim_sync_page();
  reply->set_failure_domain(request.failure_domain());
  reply->set_after(request.after());
  reply->set_amnesiac(!HasFullStateForGroup(bb, request.failure_domain()));
  size_t sent = 0;
  for (; sent < page && reply->ByteSizeLong() < kSyncPageBytes; ++sent) {
    *reply->add_records() = CopyForSync(*records[sent]);
  }
  reply->set_last(sent == records.size());
  SendToPeer(bb, from, std::move(message), actions);
}

void OnClaimSyncPage(Blackboard& bb,
                     const std::string& from,
                     const wire::ClaimSyncPage& page,
                     StepTime now,
                     Actions& actions) {
  const FetchKey key{page.failure_domain(), from};
  const auto cursor = bb.membership.fetch_cursors.find(key);
  if (HasFullStateForGroup(bb, page.failure_domain()) || page.amnesiac() ||
      cursor == bb.membership.fetch_cursors.end() ||
      cursor->second != page.after()) {
    return;
  }
  std::string after = page.after();
  for (const wire::ClaimRecord& record : page.records()) {
    ClaimEntry& entry = FindOrCreateClaim(bb, record.submission_id(), now);
    const std::string earlier_owner = entry.record.owner();
    MergeClaim(entry.record, record);
    IndexClaim(bb, entry, earlier_owner);
    after = record.submission_id();
  }
  if (page.last()) {
    RecordSyncCompleted(bb, page.failure_domain(), from, actions);
    return;
  }
  cursor->second = after;
  SendSyncRequest(bb, page.failure_domain(), from, after, actions);
}

void OnClaimSyncTimer(Blackboard& bb, StepTime now, Actions& actions) {
  if (HasFullStateForAllGroups(bb)) {
    return;
  }
  for (const ClaimGroup* group : VotingGroups(bb)) {
    if (HasFullStateForGroup(bb, group->failure_domain)) {
      continue;
    }
    for (const std::string& voter : group->voters) {
      const auto& done = bb.membership.fetched_from[group->failure_domain];
      if (voter != bb.deployment.self && !done.contains(voter)) {
        const FetchKey key{group->failure_domain, voter};
        SendSyncRequest(bb, group->failure_domain, voter,
                        bb.membership.fetch_cursors[key], actions);
      }
    }
  }
  bb.timers.Set(now.mono + kSyncPeriod, TimerKind::kClaimSync);
}

}  // namespace goldcrest
