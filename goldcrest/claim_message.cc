#include "goldcrest/claim_message.h"

#include "goldcrest/claim_store.h"

namespace goldcrest {

const std::vector<std::string>& VotersOf(const Blackboard& bb, const Job& job) {
  return bb.deployment.GroupOf(job.home)->voters;
}

wire::ClaimRequest MakeClaimRequest(const Job& job) {
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

void StripForWitness(wire::ClaimRecord& record) {
  record.clear_submission();
  if (record.finished()) {
    DropOutputs(*record.mutable_result());
  }
}

wire::ClaimUpdate StripForWitness(wire::ClaimUpdate update) {
  if (update.finished()) {
    DropOutputs(*update.mutable_result());
  }
  return update;
}

}  // namespace goldcrest
