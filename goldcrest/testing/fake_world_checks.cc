// The checks of a FakeWorld: attempts, answers and the state after all faults
// are healed.

#include <algorithm>
#include <utility>

#include "goldcrest/membership.h"
#include "goldcrest/submission.h"
#include "goldcrest/testing/fake_world_parts.h"

namespace goldcrest {

void FakeWorld::CheckAttempt(const ObservedAttempt& start) {
  attempts_.push_back(start);
  Trace(start.worker + " starts " + start.submission_id + "/" +
        std::to_string(start.index) + " epoch " +
        std::to_string(start.lease_epoch));
  const std::string key = TaskKey(start.submission_id, start.index);
  const int count = ++attempts_by_task_[key];
  const auto found = submissions_.find(start.submission_id);
  if (found == submissions_.end()) {
    violations.push_back(key + " started without a submission");
    return;
  }
  const SubmissionHistory& record = found->second;
  if (!record.idempotent && count > 1) {
    violations.push_back(key + " is non-idempotent and was started twice");
  }
  if (record.refused && record.copies_outstanding == 0) {
    violations.push_back(key + " was started after its submission was refused");
  }
}

void FakeWorld::CheckAnswer(SubmissionHistory& record,
                            const ObservedAnswer& answer) {
  const wire::JobResult& result = answer.result;
  const std::string& id = record.submission.submission_id();
  const Outcome outcome = OutcomeOf(result);
  const bool started = std::any_of(
      attempts_.begin(), attempts_.end(),
      [&](const ObservedAttempt& start) { return start.submission_id == id; });
  if (outcome == Outcome::kComplete) {
    bool outputs_correct =
        result.outputs_size() == record.submission.tasks_size();
    for (int i = 0; outputs_correct && i < result.outputs_size(); ++i) {
      outputs_correct =
          result.outputs(i) == ExpectedOutput(id, static_cast<uint32_t>(i));
    }
    if (!outputs_correct) {
      violations.push_back(id + " was answered with partial or wrong outputs");
    }
  } else if (result.outputs_size() > 0) {
    violations.push_back(id + " was answered with outputs but is not complete");
  }
  const bool reused = CodeOf(result) == ResultCode::kReusedId;
  const bool claims_none_ran =
      RanOf(result) == Ran::kNone && !reused &&
      (outcome == Outcome::kRefused || outcome == Outcome::kFailed ||
       outcome == Outcome::kCancelled);
  if (claims_none_ran && started) {
    violations.push_back(
        id + " was answered that no task ran, but one had started: " +
        std::string(RowOf(CodeOf(result)).name));
  }
  if (reused) {
    violations.push_back(id + " was answered that its id was reused");
  }
  Trace(id + " is answered " + std::string(ToString(outcome)) + " (" +
        std::string(RowOf(CodeOf(result)).name) + ") by " + answer.vm);
  record.refused = outcome == Outcome::kRefused;
  for (const ObservedAnswer& earlier : record.answers) {
    const Outcome earlier_outcome = OutcomeOf(earlier.result);
    const bool was_final = earlier_outcome == Outcome::kComplete ||
                           earlier_outcome == Outcome::kFailed ||
                           earlier_outcome == Outcome::kCancelled;
    const bool is_final = outcome == Outcome::kComplete ||
                          outcome == Outcome::kFailed ||
                          outcome == Outcome::kCancelled;
    const bool answer_dropped =
        CodeOf(result) == ResultCode::kAnswerDropped ||
        CodeOf(earlier.result) == ResultCode::kAnswerDropped;
    if (was_final && is_final && earlier_outcome != outcome &&
        !answer_dropped) {
      violations.push_back(
          id + " was answered " + std::string(ToString(earlier_outcome)) +
          " (" + std::string(RowOf(CodeOf(earlier.result)).name) +
          ") and then " + std::string(ToString(outcome)) + " (" +
          std::string(RowOf(CodeOf(result)).name) + ")");
    }
    if (was_final && outcome == Outcome::kRefused) {
      violations.push_back(id + " was refused after a final answer");
    }
  }
}

bool FakeWorld::CanDecideClaims(const std::string& domain) {
  size_t full_state_voters = 0;
  size_t voters = 0;
  for (auto& [name, vm] : vms_) {
    if (!vm->board) {
      continue;
    }
    const ClaimGroup* group = vm->board->deployment.GroupOf(domain);
    voters = group->voters.size();
    const bool is_voter = std::find(group->voters.begin(), group->voters.end(),
                                    name) != group->voters.end();
    full_state_voters += is_voter && HasFullStateForGroup(*vm->board, domain);
  }
  return full_state_voters >= MajorityOf(voters);
}

void FakeWorld::CheckQuiescence() {
  uint64_t highest = 0;
  for (const AcceptedChange& change : accepted_changes_) {
    highest = std::max(highest, change.version);
  }
  for (auto& [name, vm] : vms_) {
    if (!vm->board) {
      continue;
    }
    const Blackboard& board = *vm->board;
    if (board.configuration.in_force.version() < highest) {
      violations.push_back(name +
                           " does not have the latest accepted configuration");
    }
    for (const auto& [id, job] : board.jobs) {
      if (CanDecideClaims(job->home)) {
        violations.push_back(name + " still has job " + id);
      }
    }
    if (board.queue.queued_tasks != 0 || !board.workers.slot_uses.empty()) {
      violations.push_back(name + " still has queued or running tasks");
    }
    for (const auto& [key, worker] : board.workers.workers) {
      if (worker->occupied_slots != 0 || worker->lent_total() != 0 ||
          worker->foreign_tasks != 0) {
        violations.push_back(name + " still counts slots of " + key +
                             " as used");
      }
    }
    for (const auto& [team, usage] : board.queue.teams) {
      if (usage.running_tasks != 0 || usage.queued_tasks != 0) {
        violations.push_back(
            name + " still counts queued or running tasks of team " + team);
      }
    }
  }
}

}  // namespace goldcrest
