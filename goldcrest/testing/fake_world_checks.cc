// What a FakeWorld checks of starts, answers and the state after healing.

#include <algorithm>
#include <utility>

#include "goldcrest/membership.h"
#include "goldcrest/submission.h"
#include "goldcrest/testing/fake_world_parts.h"

namespace goldcrest {

void FakeWorld::CheckStart(const WitnessedStart& start) {
  starts_.push_back(start);
  Trace(start.worker + " starts " + start.submission_id + "/" +
        std::to_string(start.index) + " epoch " +
        std::to_string(start.lease_epoch));
  const std::string key = TaskKey(start.submission_id, start.index);
  const int count = ++starts_by_task_[key];
  const auto found = callers_.find(start.submission_id);
  if (found == callers_.end()) {
    faults.push_back(key + " started and nobody asked for it");
    return;
  }
  const CallerRecord& record = found->second;
  if (!record.idempotent && count > 1) {
    faults.push_back(key + " started twice and may not be repeated");
  }
  if (record.refused && record.outstanding == 0) {
    faults.push_back(key + " started after its refusal");
  }
}

void FakeWorld::CheckAnswer(CallerRecord& record,
                            const WitnessedAnswer& answer) {
  const wire::JobResult& result = answer.result;
  const std::string& id = record.submission.submission_id();
  const Outcome outcome = OutcomeOf(result);
  const bool started = std::any_of(
      starts_.begin(), starts_.end(),
      [&](const WitnessedStart& start) { return start.submission_id == id; });
  if (outcome == Outcome::kComplete) {
    bool whole = result.outputs_size() == record.submission.tasks_size();
    for (int i = 0; whole && i < result.outputs_size(); ++i) {
      whole = result.outputs(i) == ExpectedOutput(id, static_cast<uint32_t>(i));
    }
    if (!whole) {
      faults.push_back(id + " got a partial or wrong answer");
    }
  } else if (result.outputs_size() > 0) {
    faults.push_back(id + " got outputs without being complete");
  }
  const bool reused = CodeOf(result) == ResultCode::kReusedId;
  const bool says_none =
      RanOf(result) == Ran::kNone && !reused &&
      (outcome == Outcome::kRefused || outcome == Outcome::kFailed ||
       outcome == Outcome::kCancelled);
  if (says_none && started) {
    faults.push_back(id + " was told that nothing ran, but it had: " +
                     std::string(RowOf(CodeOf(result)).name));
  }
  if (reused) {
    faults.push_back(id + " was told that its id was reused");
  }
  Trace(id + " is told " + std::string(NameOf(outcome)) + " (" +
        std::string(RowOf(CodeOf(result)).name) + ") by " + answer.vm);
  record.refused = outcome == Outcome::kRefused;
  for (const WitnessedAnswer& earlier : record.answers) {
    const Outcome before = OutcomeOf(earlier.result);
    const bool was_final = before == Outcome::kComplete ||
                           before == Outcome::kFailed ||
                           before == Outcome::kCancelled;
    const bool is_final = outcome == Outcome::kComplete ||
                          outcome == Outcome::kFailed ||
                          outcome == Outcome::kCancelled;
    const bool dropped = CodeOf(result) == ResultCode::kAnswerDropped ||
                         CodeOf(earlier.result) == ResultCode::kAnswerDropped;
    if (was_final && is_final && before != outcome && !dropped) {
      faults.push_back(id + " was told " + std::string(NameOf(before)) + " (" +
                       std::string(RowOf(CodeOf(earlier.result)).name) +
                       ") and then " + std::string(NameOf(outcome)) + " (" +
                       std::string(RowOf(CodeOf(result)).name) + ")");
    }
    if (was_final && outcome == Outcome::kRefused) {
      faults.push_back(id + " was refused after its answer");
    }
  }
}

bool FakeWorld::CanDecide(const std::string& domain) {
  size_t whole = 0;
  size_t voters = 0;
  for (auto& [name, vm] : vms_) {
    if (!vm->board) {
      continue;
    }
    const ClaimGroup* group = vm->board->deployment.GroupOf(domain);
    voters = group->voters.size();
    const bool votes = std::find(group->voters.begin(), group->voters.end(),
                                 name) != group->voters.end();
    whole += votes && RemembersGroup(*vm->board, domain);
  }
  return whole >= MajorityOf(voters);
}

void FakeWorld::CheckSettled() {
  uint64_t highest = 0;
  for (const AcceptedChange& change : accepted_changes_) {
    highest = std::max(highest, change.version);
  }
  for (auto& [name, vm] : vms_) {
    if (!vm->board) {
      continue;
    }
    const Blackboard& bb = *vm->board;
    if (bb.configuration.in_force.version() < highest) {
      faults.push_back(name + " lacks an accepted configuration");
    }
    for (const auto& [id, job] : bb.jobs) {
      if (CanDecide(job->home)) {
        faults.push_back(name + " still has the job " + id);
      }
    }
    if (bb.queue.queued_tasks != 0 || !bb.workers.uses.empty()) {
      faults.push_back(name + " still has tasks");
    }
    for (const auto& [key, worker] : bb.workers.workers) {
      if (worker->busy != 0 || worker->lent_total() != 0 ||
          worker->foreign != 0) {
        faults.push_back(name + " still counts slots of " + key + " as used");
      }
    }
    for (const auto& [team, use] : bb.queue.teams) {
      if (use.running_tasks != 0 || use.queued_tasks != 0) {
        faults.push_back(name + " still counts tasks of " + team);
      }
    }
  }
}

}  // namespace goldcrest
