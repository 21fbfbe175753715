// The workers of a FakeWorld: leases, attempts, answers to start orders and
// lookups, crashes and leaving.

#include <algorithm>
#include <utility>

#include "goldcrest/testing/fake_world_parts.h"

namespace goldcrest {
namespace {

// A start order that arrives later than this after the VM has confirmed the
// worker's announcement that it leaves is a violation.
constexpr Micros kLeavingStartGrace = 2 * kSecond;
// Delay between the end of a worker and its next incarnation.
constexpr Micros kRestartDelay = kSecond;
// Delay until a VM notices that an answer cannot arrive over a cut link.
constexpr Micros kConnectionTimeout = kSecond;

}  // namespace

FakeWorld::Worker* FakeWorld::WorkerAt(const std::string& address) {
  for (auto& [name, worker] : workers_) {
    if (worker->address == address) {
      return worker.get();
    }
  }
  return nullptr;
}

void FakeWorld::Announce(Worker& worker) {
  Worker* announcing_worker = &worker;
  ScheduleAt(now_ + options_.tuning.worker_renew,
             [this, announcing_worker] { Announce(*announcing_worker); });
  if (!worker.up) {
    return;
  }
  const std::vector<std::string> entries = VmsOf(worker.domain);
  std::string entry = worker.entry_vm;
  if (entry.empty()) {
    std::uniform_int_distribution<size_t> pick(0, entries.size() - 1);
    entry = entries[pick(random_)];
  }
  const bool reachable = IsUp(entry) && !IsCut(worker.name, entry);
  if (!reachable) {
    worker.entry_vm.clear();
    return;
  }
  AnnounceRequest request;
  request.token = next_token_++;
  WorkerAnnouncement& body = request.announcement;
  body.name = worker.name;
  body.address = worker.address;
  body.failure_domain = worker.domain;
  body.rack = "rack";
  body.slots = options_.slots;
  body.memory_mb = 1000;
  body.incarnation = worker.incarnation;
  body.leaving = worker.leaving;
  body.lease_epoch = worker.lease_epoch;
  std::string running;
  for (const auto& [id, start] : worker.running) {
    body.running.push_back(id);
    running += (running.empty() ? "" : ",") + JsonQuote(id);
  }
  request.json = "{\"name\":" + JsonQuote(body.name) +
                 ",\"address\":" + JsonQuote(body.address) +
                 ",\"failure_domain\":" + JsonQuote(body.failure_domain) +
                 ",\"slots\":" + std::to_string(body.slots) +
                 ",\"memory_mb\":1000,\"incarnation\":" +
                 std::to_string(body.incarnation) + ",\"state\":\"" +
                 (body.leaving ? "leaving" : "serving") +
                 "\",\"lease_epoch\":" + std::to_string(body.lease_epoch) +
                 ",\"running\":[" + running + "]}";
  const uint64_t incarnation = worker.incarnation;
  const std::string vm = entry;
  reply_handlers_[request.token] = [this, announcing_worker, incarnation,
                                    vm](const Action& action) {
    const auto* reply = std::get_if<ReplyJson>(&action);
    if (reply == nullptr || IsCut(vm, announcing_worker->name)) {
      return;
    }
    const ReplyJson copy = *reply;
    ScheduleAt(now_ + RandomDelay(),
               [this, announcing_worker, incarnation, copy] {
                 OnLeaseReply(*announcing_worker, incarnation, copy);
               });
  };
  const uint64_t vm_incarnation = vms_.at(entry)->incarnation;
  ScheduleAt(now_ + RandomDelay(), [this, vm, vm_incarnation, request] {
    DeliverTo(vm, vm_incarnation, request);
  });
}

void FakeWorld::OnLeaseReply(Worker& worker,
                             uint64_t incarnation,
                             const ReplyJson& reply) {
  if (worker.incarnation != incarnation || !worker.up) {
    return;
  }
  if (reply.status != 200) {
    worker.entry_vm.clear();
    return;
  }
  const auto json = ParseJson(reply.body);
  FieldErrors errors;
  ObjectReader reader(*json, "", errors);
  const auto epoch =
      static_cast<uint64_t>(reader.Integer("lease_epoch", {0, INT64_MAX}));
  worker.lease_epoch = std::max(worker.lease_epoch, epoch);
  if (worker.leaving && worker.leave_confirmed_at == 0) {
    worker.leave_confirmed_at =
        now_;  // the VM has confirmed that the worker leaves
  }
  worker.entry_vm = reader.Text("entry", {0, 100});
}

void FakeWorld::AnswerVm(const Worker& worker,
                         const std::string& vm,
                         uint64_t vm_incarnation,
                         TaskAnswer answer) {
  const std::string from = worker.name;
  answer.worker = from;
  ScheduleAt(now_ + RandomDelay(), [this, from, vm, vm_incarnation, answer] {
    TaskAnswer received = answer;
    if (IsCut(from, vm)) {
      // The connection fails, and this failure is all that the VM learns.
      received.outcome = received.is_lookup ? TaskOutcome::kLookupFailed
                                            : TaskOutcome::kUnanswered;
      ScheduleAt(now_ + kConnectionTimeout,
                 [this, vm, vm_incarnation, received] {
                   DeliverTo(vm, vm_incarnation, received);
                 });
      return;
    }
    DeliverTo(vm, vm_incarnation, received);
  });
}

void FakeWorld::PerformOne(Vm& vm, const StartTask& action) {
  const Job* job = FindJob(*vm.board, action.submission_id);
  uint64_t& highest_ballot = highest_ballots_[action.submission_id];
  if (job != nullptr && job->ballot < highest_ballot) {
    violations.push_back(
        action.submission_id +
        " was started by a former owner after a start by a newer owner");
  }
  if (job != nullptr) {
    highest_ballot = std::max(highest_ballot, job->ballot);
  }
  Worker* worker = WorkerAt(action.address);
  const std::string name = vm.name;
  const uint64_t incarnation = vm.incarnation;
  TaskAnswer answer;
  answer.submission_id = action.submission_id;
  answer.index = action.index;
  answer.attempt = action.attempt;
  answer.worker = action.worker;
  if (worker == nullptr || !worker->up || IsCut(name, worker->name)) {
    answer.outcome = TaskOutcome::kNotSent;
    ScheduleAt(now_ + RandomDelay(), [this, name, incarnation, answer] {
      DeliverTo(name, incarnation, answer);
    });
    return;
  }
  // With a probability of 2 %, the connection breaks and the start order is
  // still delivered, 100 ms to 1500 ms later, when the VM already counts it as
  // lost.
  const bool connection_breaks = RandomChance(0.02);
  std::uniform_int_distribution<Micros> late_delay(100 * kMillisecond,
                                                   1500 * kMillisecond);
  const Micros delay = connection_breaks ? late_delay(random_) : RandomDelay();
  if (connection_breaks) {
    answer.outcome = TaskOutcome::kUnanswered;
    ScheduleAt(now_ + RandomDelay(), [this, name, incarnation, answer] {
      DeliverTo(name, incarnation, answer);
    });
  }
  ScheduleAt(now_ + delay, [this, worker, name, incarnation, action] {
    ReceiveStart(*worker, name, incarnation, action);
  });
}

void FakeWorld::ReceiveStart(Worker& worker,
                             const std::string& vm,
                             uint64_t vm_incarnation,
                             const StartTask& start) {
  TaskAnswer answer;
  answer.submission_id = start.submission_id;
  answer.index = start.index;
  answer.attempt = start.attempt;
  if (!worker.up) {
    answer.outcome = TaskOutcome::kUnanswered;
    AnswerVm(worker, vm, vm_incarnation, answer);
    return;
  }
  const std::string id = TaskKey(start.submission_id, start.index);
  if (worker.lease_epoch == 0 || start.lease_epoch < worker.lease_epoch) {
    answer.outcome = TaskOutcome::kStaleEpoch;
  } else if (worker.leaving) {
    answer.outcome = TaskOutcome::kLeaving;
    if (worker.leave_confirmed_at != 0 &&
        now_ - worker.leave_confirmed_at > kLeavingStartGrace) {
      violations.push_back("a leaving worker received a start order for " + id +
                           " more than 2 s after its announcement");
    }
  } else if (worker.running.contains(id) ||
             worker.running.size() >= static_cast<size_t>(options_.slots)) {
    answer.outcome = TaskOutcome::kNoSlot;
  } else {
    worker.running[id] = start;
    CheckAttempt({start.submission_id, start.index, now_, worker.name,
                  start.lease_epoch});
    const uint64_t incarnation = worker.incarnation;
    Worker* executing_worker = &worker;
    ScheduleAt(
        now_ + static_cast<Micros>(start.run_ms) * kMillisecond,
        [this, executing_worker, incarnation, id, vm, vm_incarnation, answer] {
          TaskAnswer end_answer = answer;
          if (executing_worker->incarnation != incarnation ||
              executing_worker->running.erase(id) == 0) {
            end_answer.outcome = TaskOutcome::kUnanswered;
          } else {
            end_answer.outcome = TaskOutcome::kDone;
            end_answer.output =
                ExpectedOutput(end_answer.submission_id, end_answer.index);
            executing_worker->completed_outputs[id] = end_answer.output;
          }
          AnswerVm(*executing_worker, vm, vm_incarnation, end_answer);
        });
    return;
  }
  AnswerVm(worker, vm, vm_incarnation, answer);
}

void FakeWorld::PerformOne(Vm& vm, const StopTask& action) {
  Worker* worker = WorkerAt(action.address);
  if (worker == nullptr || IsCut(vm.name, worker->name)) {
    return;
  }
  const std::string id = TaskKey(action.submission_id, action.index);
  ScheduleAt(now_ + RandomDelay(), [worker, id] { worker->running.erase(id); });
}

void FakeWorld::PerformOne(Vm& vm, const LookupTask& action) {
  Worker* worker = WorkerAt(action.address);
  const std::string name = vm.name;
  const uint64_t incarnation = vm.incarnation;
  TaskAnswer answer;
  answer.is_lookup = true;
  answer.submission_id = action.submission_id;
  answer.index = action.index;
  answer.attempt = action.attempt;
  answer.outcome = TaskOutcome::kLookupFailed;
  if (worker == nullptr || !worker->up || IsCut(name, worker->name)) {
    ScheduleAt(now_ + RandomDelay(), [this, name, incarnation, answer] {
      DeliverTo(name, incarnation, answer);
    });
    return;
  }
  ScheduleAt(now_ + RandomDelay(), [this, worker, name, incarnation, answer] {
    TaskAnswer found = answer;
    const std::string id = TaskKey(answer.submission_id, answer.index);
    found.lease_epoch = worker->lease_epoch;
    found.worker_incarnation = worker->incarnation;
    found.outcome = TaskOutcome::kNeverSeen;
    if (worker->running.contains(id)) {
      found.outcome = TaskOutcome::kRunning;
    } else if (worker->completed_outputs.contains(id)) {
      found.outcome = TaskOutcome::kDone;
      found.output = worker->completed_outputs[id];
    }
    AnswerVm(*worker, name, incarnation, found);
  });
}

void FakeWorld::CrashWorker(const std::string& name) {
  RecordStep(TraceVerb::kCrashWorker, name);
  RestartWorker(name);
}

void FakeWorld::RestartWorker(const std::string& name) {
  Worker& worker = *workers_.at(name);
  if (!worker.up) {
    return;
  }
  worker.up = false;
  worker.running.clear();
  worker.completed_outputs.clear();
  worker.lease_epoch = 0;
  worker.entry_vm.clear();
  ++worker.incarnation;
  ScheduleAt(now_ + kRestartDelay, [&worker] { worker.up = true; });
}

void FakeWorld::AnnounceLeaving(const std::string& name) {
  RecordStep(TraceVerb::kLeaveWorker, name);
  Worker& worker = *workers_.at(name);
  worker.leaving = true;
  worker.leave_confirmed_at = 0;
}

void FakeWorld::RestartLeftWorker(const std::string& name) {
  RecordStep(TraceVerb::kReturnWorker, name);
  Worker& worker = *workers_.at(name);
  if (worker.leaving) {
    RestartWorker(name);
    worker.leaving = false;
  }
}

}  // namespace goldcrest
