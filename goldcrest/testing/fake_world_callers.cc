// The callers and operators of a FakeWorld: their requests and the answers to
// them.

#include <algorithm>
#include <utility>

#include "goldcrest/digest.h"
#include "goldcrest/json_reader.h"
#include "goldcrest/submission.h"
#include "goldcrest/testing/fake_world_parts.h"

namespace goldcrest {

bool FakeWorld::HasFinalAnswer(const std::string& id) const {
  const auto& answers = submissions_.at(id).answers;
  return std::any_of(
      answers.begin(), answers.end(), [](const ObservedAnswer& answer) {
        const Outcome outcome = OutcomeOf(answer.result);
        return outcome == Outcome::kComplete || outcome == Outcome::kFailed ||
               outcome == Outcome::kCancelled;
      });
}

wire::Submission FakeWorld::MakeSubmission(const std::string& id,
                                           const std::string& kind,
                                           int tasks,
                                           uint64_t run_ms) const {
  wire::Submission submission;
  submission.set_submission_id(id);
  submission.set_caller("caller");
  submission.set_team(options_.configuration.teams.front().name);
  submission.set_kind(kind);
  for (int i = 0; i < tasks; ++i) {
    wire::Task* task = submission.add_tasks();
    task->set_run_ms(run_ms);
    task->set_payload("run");
  }
  submission.set_digest(SubmissionDigest(submission));
  return submission;
}

void FakeWorld::Submit(const std::string& vm,
                       const wire::Submission& submission) {
  TraceStep step;
  step.verb = TraceVerb::kSubmit;
  step.target = vm;
  step.id = submission.submission_id();
  step.kind = submission.kind();
  step.home = submission.home();
  step.tasks = submission.tasks_size();
  step.run_ms = static_cast<int64_t>(submission.tasks(0).run_ms());
  step.submitted_at_ms = submission.submitted_at_ms();
  Record(std::move(step));
  SubmissionHistory& record = submissions_[submission.submission_id()];
  if (record.copies_sent == 0) {
    record.submission = submission;
    const KindPolicy* kind = options_.configuration.FindKind(submission.kind());
    record.idempotent = kind->idempotent;
  }
  ++record.copies_sent;
  record.last_sent_at = now_;
  record.refused = false;
  if (!IsUp(vm)) {
    return;
  }
  ++record.copies_outstanding;
  SubmitRequest request;
  request.token = next_token_++;
  request.submission = submission;
  const std::string id = submission.submission_id();
  reply_handlers_[request.token] = [this, id, vm](const Action& action) {
    ObservedAnswer answer;
    answer.answered_at = now_;
    answer.vm = vm;
    if (const auto* result = std::get_if<ReplyResult>(&action)) {
      answer.result = result->result;
      answer.status = ResultStatus(result->result);
    } else if (const auto* json = std::get_if<ReplyJson>(&action)) {
      answer.status = json->status;
    }
    SubmissionHistory& submission_record = submissions_[id];
    --submission_record.copies_outstanding;
    CheckAnswer(submission_record, answer);
    submission_record.answers.push_back(answer);
  };
  StepVm(*vms_.at(vm), request);
}

void FakeWorld::Cancel(const std::string& vm, const std::string& id) {
  TraceStep step;
  step.verb = TraceVerb::kCancel;
  step.target = vm;
  step.id = id;
  Record(std::move(step));
  if (!IsUp(vm)) {
    return;
  }
  CancelRequest request;
  request.token = next_token_++;
  request.submission_ids = {id};
  request.single = true;
  reply_handlers_[request.token] = [](const Action&) {};
  StepVm(*vms_.at(vm), request);
}

void FakeWorld::PutConfiguration(const std::string& vm,
                                 uint64_t if_version,
                                 const Configuration& configuration) {
  TraceStep step;
  step.verb = TraceVerb::kPut;
  step.target = vm;
  step.version = static_cast<int64_t>(if_version);
  step.service = configuration.service;
  step.team_limit = configuration.teams.front().max_running_tasks;
  Record(std::move(step));
  if (!IsUp(vm)) {
    return;
  }
  ConfigurationPut put;
  put.token = next_token_++;
  put.if_version = if_version;
  put.document = ConfigurationJson(configuration);
  put.digest = Sha256Hex(put.document);
  const std::string digest = put.digest;
  reply_handlers_[put.token] = [this, digest, vm](const Action& action) {
    const auto* reply = std::get_if<ReplyJson>(&action);
    if (reply == nullptr || reply->status != 200) {
      return;
    }
    const auto json = ParseJson(reply->body);
    FieldErrors errors;
    ObjectReader reader(*json, "", errors);
    AcceptedChange change;
    change.version =
        static_cast<uint64_t>(reader.Integer("version", {0, INT64_MAX}));
    change.digest = reader.Text("digest", {0, 100});
    change.accepted_at = now_;
    uint64_t& acknowledged = vms_.at(vm)->acknowledged_version;
    acknowledged = std::max(acknowledged, change.version);
    if (change.digest != digest) {
      violations.push_back(
          "a configuration change was confirmed with the digest of other "
          "content");
    }
    for (const AcceptedChange& earlier : accepted_changes_) {
      if (earlier.version == change.version &&
          earlier.digest != change.digest) {
        violations.push_back("version " + std::to_string(change.version) +
                             " was accepted twice with different content");
      }
    }
    Trace("accepted version " + std::to_string(change.version));
    CheckHeldByMajority(change);
    accepted_changes_.push_back(change);
  };
  StepVm(*vms_.at(vm), put);
}

int FakeWorld::CountAttempts(const std::string& id, uint32_t index) const {
  const auto found = attempts_by_task_.find(TaskKey(id, index));
  return found == attempts_by_task_.end() ? 0 : found->second;
}

const wire::JobResult* FakeWorld::LastAnswer(const std::string& id) const {
  const auto found = submissions_.find(id);
  if (found == submissions_.end() || found->second.answers.empty()) {
    return nullptr;
  }
  return &found->second.answers.back().result;
}

}  // namespace goldcrest
