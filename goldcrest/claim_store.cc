#include "goldcrest/claim_store.h"

#include <algorithm>
#include <utility>

#include "goldcrest/submission.h"

namespace goldcrest {
namespace {

// Returns the total size of the outputs.
size_t AnswerBytes(const wire::JobResult& result) {
  size_t bytes = 0;
  for (const std::string& output : result.outputs()) {
    bytes += output.size();
  }
  return bytes;
}

void DropAnswer(ClaimStore& store, ClaimEntry& entry) {
  store.answer_bytes -= entry.answer_bytes;
  entry.answer_bytes = 0;
  DropOutputs(*entry.record.mutable_result());
}

// Drops the oldest outputs until the rest fits the byte budget.
void EvictAnswers(Blackboard& bb) {
  ClaimStore& store = bb.claims;
  const auto budget =
      static_cast<size_t>(bb.configuration.active.limits.answer_bytes);
  while (store.answer_bytes > budget && !store.answers.empty()) {
    ClaimEntry* entry = FindClaim(bb, store.answers.front());
    store.answers.pop_front();
    if (entry != nullptr && entry->answer_bytes > 0) {
      DropAnswer(store, *entry);
    }
  }
}

void RemoveFromIndex(ClaimStore& store,
                     const std::string& owner,
                     const std::string& id) {
  const auto found = store.unfinished_by_owner.find(owner);
  if (found == store.unfinished_by_owner.end()) {
    return;
  }
  found->second.erase(id);
  if (found->second.empty()) {
    store.unfinished_by_owner.erase(found);
  }
}

bool SameIntent(const wire::TaskIntent& a, const wire::TaskIntent& b) {
  return a.index() == b.index() && a.attempt() == b.attempt() &&
         a.worker() == b.worker() && a.lease_epoch() == b.lease_epoch();
}

}  // namespace

ClaimEntry* FindClaim(Blackboard& bb, const std::string& id) {
  const auto found = bb.claims.entries.find(id);
  return found == bb.claims.entries.end() ? nullptr : &found->second;
}

ClaimEntry& FindOrCreateClaim(Blackboard& bb,
                              const std::string& id,
                              StepTime now) {
  const auto [found, created] = bb.claims.entries.try_emplace(id);
  ClaimEntry& entry = found->second;
  if (created) {
    const Micros retention =
        bb.configuration.active.limits.retention_s * kSecond;
    entry.record.set_submission_id(id);
    entry.created_at = now.mono;
    entry.expires_at = now.mono + retention;
    bb.claims.expiry.push_back({entry.expires_at, id});
  }
  return entry;
}

void IndexClaim(Blackboard& bb,
                const ClaimEntry& entry,
                const std::string& earlier_owner) {
  const wire::ClaimRecord& record = entry.record;
  if (!earlier_owner.empty()) {
    RemoveFromIndex(bb.claims, earlier_owner, record.submission_id());
  }
  if (record.accepted() != 0 && !record.finished() && !record.owner().empty()) {
    bb.claims.unfinished_by_owner[record.owner()].insert(
        record.submission_id());
  }
}

void FinishClaim(Blackboard& bb,
                 ClaimEntry& entry,
                 const wire::JobResult& result) {
  const bool better =
      result.outputs_size() > entry.record.result().outputs_size();
  if (entry.record.finished() && !better) {
    return;
  }
  bb.claims.answer_bytes -= entry.answer_bytes;
  entry.record.set_finished(true);
  *entry.record.mutable_result() = result;
  entry.record.clear_submission();
  entry.record.clear_intents();
  entry.answer_bytes = AnswerBytes(result);
  if (entry.answer_bytes > 0) {
    bb.claims.answer_bytes += entry.answer_bytes;
    bb.claims.answers.push_back(entry.record.submission_id());
    EvictAnswers(bb);
  }
  IndexClaim(bb, entry, entry.record.owner());
}

void ReopenClaim(Blackboard& bb, ClaimEntry& entry) {
  bb.claims.answer_bytes -= entry.answer_bytes;
  entry.answer_bytes = 0;
  entry.recorded = false;
  entry.record.set_finished(false);
  entry.record.clear_result();
  IndexClaim(bb, entry, entry.record.owner());
}

void ReleaseClaim(Blackboard& bb, ClaimEntry& entry, uint64_t ballot) {
  wire::ClaimRecord& record = entry.record;
  const std::string owner = record.owner();
  record.set_released(std::max(record.released(), ballot));
  if (record.accepted() > record.released()) {
    return;
  }
  record.set_accepted(0);
  record.clear_owner();
  record.clear_digest();
  record.clear_submission();
  record.clear_intents();
  IndexClaim(bb, entry, owner);
}

// A record that looks unfinished is kept for a second window: its owner may
// still run the job, or the message with its result may have been lost.
void ExpireClaims(Blackboard& bb, StepTime now) {
  ClaimStore& store = bb.claims;
  while (!store.expiry.empty() && store.expiry.front().due <= now.mono) {
    const std::string id = std::move(store.expiry.front().id);
    store.expiry.pop_front();
    ClaimEntry* entry = FindClaim(bb, id);
    if (entry == nullptr) {
      continue;
    }
    const bool open =
        entry->record.accepted() != 0 && !entry->record.finished();
    const Micros retention =
        bb.configuration.active.limits.retention_s * kSecond;
    const bool first_window = now.mono - entry->created_at < 2 * retention;
    if ((open && first_window) || FindJob(bb, id) != nullptr) {
      entry->expires_at = now.mono + retention;
      store.expiry.push_back({entry->expires_at, id});
      continue;
    }
    store.answer_bytes -= entry->answer_bytes;
    RemoveFromIndex(store, entry->record.owner(), id);
    store.entries.erase(id);
  }
  while (!store.answers.empty() &&
         FindClaim(bb, store.answers.front()) == nullptr) {
    store.answers.pop_front();
  }
}

void MergeClaim(wire::ClaimRecord& record, const wire::ClaimRecord& other) {
  for (const wire::TaskIntent& intent : other.intents()) {
    const bool known = std::any_of(
        record.intents().begin(), record.intents().end(),
        [&](const wire::TaskIntent& have) { return SameIntent(have, intent); });
    if (!known) {
      *record.add_intents() = intent;
    }
  }
  const bool later = other.accepted() > record.accepted();
  const bool same = other.accepted() == record.accepted();
  if (later) {
    record.set_accepted(other.accepted());
    record.set_owner(other.owner());
    record.set_owner_incarnation(other.owner_incarnation());
  }
  // A witness keeps no outputs, so a result with outputs replaces one without.
  const bool more_outputs =
      other.result().outputs_size() > record.result().outputs_size();
  const bool better = other.finished() && (!record.finished() || more_outputs);
  if (later || (same && better)) {
    record.set_finished(other.finished());
    *record.mutable_result() = other.result();
  }
  record.set_promised(std::max(record.promised(), other.promised()));
  record.set_released(std::max(record.released(), other.released()));
  record.set_cancelled(record.cancelled() || other.cancelled());
  if (record.digest().empty()) {
    record.set_digest(other.digest());
  }
  if (!record.has_submission() && other.has_submission()) {
    *record.mutable_submission() = other.submission();
  }
  if (record.deadline_wall_ms() == 0) {
    record.set_deadline_wall_ms(other.deadline_wall_ms());
    record.set_received_wall_ms(other.received_wall_ms());
  }
  if (record.home().empty()) {
    record.set_home(other.home());
    record.set_submitted_at_ms(other.submitted_at_ms());
  }
}

bool IsAnswerDropped(const wire::JobResult& result) {
  return CodeOf(result) == ResultCode::kAnswerDropped;
}

void DropOutputs(wire::JobResult& result) {
  if (result.outputs_size() > 0) {
    result.clear_outputs();
    result.set_code(static_cast<uint32_t>(ResultCode::kAnswerDropped));
  }
}

wire::JobResult ResultOfClaim(const wire::ClaimRecord& record) {
  wire::JobResult result = record.result();
  if (OutcomeOf(result) == Outcome::kComplete && IsAnswerDropped(result)) {
    return MakeResult(Outcome::kFailed, Ran::kAll, ResultCode::kAnswerDropped);
  }
  return result;
}

}  // namespace goldcrest
