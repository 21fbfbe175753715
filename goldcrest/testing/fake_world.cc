#include "goldcrest/testing/fake_world.h"

#include <algorithm>
#include <iostream>
#include <utility>

#include "edge/journal.h"
#include "goldcrest/digest.h"
#include "goldcrest/json_reader.h"
#include "goldcrest/membership.h"
#include "goldcrest/submission.h"
#include "goldcrest/testing/test_options.h"

namespace goldcrest {
namespace {

constexpr Micros kStopAfterLeaving = 2 * kSecond;
constexpr int64_t kWallStart = 1'800'000'000'000;
constexpr Micros kRestartAfterCrash = kSecond;
constexpr Micros kConnectTimeout = kSecond;

}  // namespace

// Actions to run later, in order of time.
struct FakeWorld::Scheduled {
  Micros time = 0;
  uint64_t sequence = 0;
  std::function<void()> action;

  friend bool operator<(const Scheduled& a, const Scheduled& b) {
    return std::tie(a.time, a.sequence) > std::tie(b.time, b.sequence);
  }
};

struct FakeWorld::Later {
  std::priority_queue<Scheduled> queue;
};

struct FakeWorld::Vm {
  std::string name;
  std::string domain;
  std::optional<Blackboard> board;
  uint64_t incarnation = 0;
  int64_t skew_ms = 0;
  bool has_disk = false;
  std::vector<wire::JournalRecord> disk;
  uint64_t highest_version = 0;
  // The highest version that this VM answered an operator with.
  uint64_t acknowledged = 0;
  // When the last append that was asked for is synced: appends keep their
  // order.
  Micros disk_busy_until = 0;
  Micros tick_at = 0;
};

struct FakeWorld::Worker {
  std::string name;
  std::string domain;
  std::string address;
  uint64_t incarnation = 1;
  uint64_t lease_epoch = 0;
  std::string entry;
  bool up = true;
  bool leaving = false;
  Micros left_at = 0;
  std::map<std::string, StartTask> running;
  std::map<std::string, std::string> done;
};

FakeWorld::FakeWorld(WorldOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      later_(std::make_unique<Later>()) {
  std::vector<std::string> names;
  int number = 0;
  for (size_t d = 0; d < options_.vms_per_domain.size(); ++d) {
    const std::string domain = std::string("d") + static_cast<char>('a' + d);
    for (int i = 0; i < options_.vms_per_domain[d]; ++i) {
      auto vm = std::make_unique<Vm>();
      vm->name = domain + std::to_string(i + 1);
      vm->domain = domain;
      vm->has_disk =
          options_.disk_every > 0 && number % options_.disk_every == 0;
      std::uniform_int_distribution<int64_t> skew(-options_.clock_skew_ms,
                                                  options_.clock_skew_ms);
      vm->skew_ms = skew(random_);
      names.push_back(vm->name);
      vms_[vm->name] = std::move(vm);
      ++number;
    }
    for (int i = 0; i < options_.workers_per_domain; ++i) {
      auto worker = std::make_unique<Worker>();
      worker->name = "w" + domain + std::to_string(i + 1);
      worker->domain = domain;
      worker->address = worker->name + ":1";
      workers_[worker->name] = std::move(worker);
    }
  }
  for (const std::string& name : names) {
    BootVm(name, true);
  }
  for (auto& [name, worker] : workers_) {
    Worker* started = worker.get();
    At(now_ + Delay(), [this, started] { Announce(*started); });
  }
}

FakeWorld::~FakeWorld() = default;

std::string FakeWorld::ExpectedOutput(const std::string& id, uint32_t index) {
  return "out:" + id + ":" + std::to_string(index);
}

void FakeWorld::At(Micros time, std::function<void()> action) {
  later_->queue.push({time, next_sequence_++, std::move(action)});
}

Micros FakeWorld::Delay() {
  std::uniform_int_distribution<Micros> delay(options_.min_delay,
                                              options_.max_delay);
  return delay(random_);
}

bool FakeWorld::Chance(double probability) {
  std::uniform_real_distribution<double> chance(0, 1);
  return chance(random_) < probability;
}

Now FakeWorld::ClockOf(const Vm& vm) const {
  return {now_, kWallStart + now_ / kMillisecond + vm.skew_ms};
}

void FakeWorld::RunUntil(Micros time) {
  while (!later_->queue.empty() && later_->queue.top().time <= time) {
    const Scheduled next = later_->queue.top();
    later_->queue.pop();
    now_ = next.time;
    next.action();
  }
  now_ = time;
}

// ------------------------------------------------------------------ VMs

bool FakeWorld::IsUp(const std::string& vm) const {
  return vms_.at(vm)->board.has_value();
}

Blackboard& FakeWorld::Board(const std::string& vm) {
  return *vms_.at(vm)->board;
}

Blackboard& FakeWorld::AnyBoard() {
  const auto up = std::find_if(vms_.begin(), vms_.end(), [](const auto& entry) {
    return entry.second->board.has_value();
  });
  return *up->second->board;
}

std::vector<std::string> FakeWorld::Vms() const {
  std::vector<std::string> names;
  for (const auto& [name, vm] : vms_) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> FakeWorld::VmsOf(const std::string& domain) const {
  std::vector<std::string> names;
  for (const auto& [name, vm] : vms_) {
    if (vm->domain == domain) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string> FakeWorld::Workers() const {
  std::vector<std::string> names;
  for (const auto& [name, worker] : workers_) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> FakeWorld::Domains() const {
  std::set<std::string> domains;
  for (const auto& [name, vm] : vms_) {
    domains.insert(vm->domain);
  }
  return {domains.begin(), domains.end()};
}

void FakeWorld::Record(TraceVerb verb, const std::string& target) {
  TraceStep step;
  step.verb = verb;
  step.target = target;
  Record(std::move(step));
}

void FakeWorld::Record(TraceStep step) {
  step.at = now_;
  recording.push_back(std::move(step));
}

void FakeWorld::StartVm(const std::string& name, bool keep_disk) {
  TraceStep step;
  step.verb = TraceVerb::kStart;
  step.target = name;
  step.keep_disk = keep_disk ? 1 : 0;
  Record(std::move(step));
  BootVm(name, keep_disk);
}

void FakeWorld::BootVm(const std::string& name, bool keep_disk) {
  Vm& vm = *vms_.at(name);
  if (vm.board) {
    return;
  }
  if (!keep_disk) {
    vm.disk.clear();
    ForgetLostChanges();
  }
  Trace(name + " starts" + (vm.has_disk ? " with a disk" : "") +
        (keep_disk ? "" : ", emptied"));
  Deployment deployment;
  deployment.self = name;
  deployment.failure_domain = vm.domain;
  deployment.http_address = name;
  for (const auto& [other, state] : vms_) {
    deployment.vms.push_back({other, state->domain, other});
  }
  AssignRoles(deployment);
  vm.incarnation = static_cast<uint64_t>(now_) + 1;
  deployment.incarnation = vm.incarnation;
  deployment.has_disk = vm.has_disk;
  deployment.seed = random_();
  const Recovered recovered = Replay(vm.disk);
  if (vm.has_disk) {
    wire::JournalRecord start;
    start.mutable_start()->set_incarnation(vm.incarnation);
    vm.disk.push_back(start);
  }
  if (recovered.in_force.version() < vm.acknowledged && vm.has_disk &&
      keep_disk) {
    faults.push_back(name + " came back below what it had acknowledged");
  }
  vm.highest_version = 0;
  vm.acknowledged = 0;
  vm.board = MakeBlackboard(deployment, options_.tuning);
  vm.board->configuration.first_document =
      ConfigurationJson(options_.configuration);
  Actions actions;
  Start(*vm.board, recovered, ClockOf(vm), actions);
  Perform(vm, actions);
  ScheduleTick(vm);
}

void FakeWorld::CrashVm(const std::string& name) {
  Record(TraceVerb::kCrash, name);
  EndVm(name);
}

void FakeWorld::EndVm(const std::string& name) {
  Vm& vm = *vms_.at(name);
  vm.board.reset();
  vm.tick_at = 0;
  Trace(name + " crashes");
  ForgetLostChanges();
}

void FakeWorld::Drain(const std::string& name) {
  Record(TraceVerb::kDrain, name);
  if (IsUp(name)) {
    StepVm(*vms_.at(name), DrainRequest());
  }
}

void FakeWorld::ScheduleTick(Vm& vm) {
  if (!vm.board) {
    return;
  }
  const Micros due = std::max(NextWakeUp(*vm.board, ClockOf(vm)), now_ + 1);
  if (vm.tick_at != 0 && vm.tick_at <= due) {
    return;
  }
  vm.tick_at = due;
  const uint64_t incarnation = vm.incarnation;
  Vm* ticking = &vm;
  At(due, [this, ticking, incarnation, due] {
    if (ticking->board && ticking->incarnation == incarnation &&
        ticking->tick_at == due) {
      ticking->tick_at = 0;
      StepVm(*ticking, Tick());
    }
  });
}

void FakeWorld::StepVm(Vm& vm, const Event& event) {
  Actions actions;
  Step(*vm.board, event, ClockOf(vm), actions);
  Perform(vm, actions);
  if (!vm.board) {
    return;
  }
  vm.board->observations.clear();
  CheckVersions(vm);
  if (vm.board->counters.invariant_failures > 0) {
    faults.push_back(vm.name + " failed an invariant");
    vm.board->counters.invariant_failures = 0;
  }
  if (vm.board->drained) {
    if (!vm.board->callers.empty()) {
      faults.push_back(vm.name + " drained and left callers without an answer");
    }
    EndVm(vm.name);
    return;
  }
  ScheduleTick(vm);
}

uint64_t FakeWorld::VersionHeldBy(const Vm& vm) const {
  if (vm.board) {
    const ConfigurationBoard& board = vm.board->configuration;
    return std::max(board.in_force.version(), board.vote.state().version());
  }
  uint64_t version = 0;
  for (const wire::JournalRecord& record : vm.disk) {
    version = std::max({version, record.configuration_in_force().version(),
                        record.configuration_vote().state().version()});
  }
  return version;
}

// An accepted change must be held by a majority of the voters.
void FakeWorld::CheckHolders(const AcceptedChange& change) {
  const auto& voters = AnyBoard().deployment.configuration_voters;
  const auto holders =
      std::count_if(voters.begin(), voters.end(), [&](const auto& voter) {
        return VersionHeldBy(*vms_.at(voter)) >= change.version;
      });
  const bool known_before = std::any_of(
      accepted_changes_.begin(), accepted_changes_.end(),
      [&](const auto& other) { return other.version >= change.version; });
  if (!known_before &&
      static_cast<size_t>(holders) < MajorityOf(voters.size())) {
    faults.push_back("a change was accepted without a majority of holders");
  }
}

// When the last VM and the last disk that held a version are gone, nothing can
// bring it back, and nothing is promised about it.
void FakeWorld::ForgetLostChanges() {
  uint64_t held = 0;
  for (const auto& [name, vm] : vms_) {
    held = std::max(held, VersionHeldBy(*vm));
  }
  std::erase_if(accepted_changes_, [&](const AcceptedChange& change) {
    return change.version > held;
  });
}

void FakeWorld::CheckVersions(Vm& vm) {
  const uint64_t version = vm.board->configuration.in_force.version();
  if (version < vm.highest_version) {
    faults.push_back(vm.name + " reverted its configuration");
  }
  vm.highest_version = std::max(vm.highest_version, version);
}

void FakeWorld::Perform(Vm& vm, const Actions& actions) {
  for (const Action& action : actions) {
    std::visit([&](const auto& one) { PerformOne(vm, one); }, action);
  }
}

void FakeWorld::PerformOne(Vm& vm, const ReplyResult& action) {
  const auto found = waiting_.find(action.token);
  if (found == waiting_.end()) {
    return;
  }
  const auto handler = std::move(found->second);
  waiting_.erase(found);
  (void)vm;
  handler(action);
}

void FakeWorld::PerformOne(Vm& /*vm*/, const ReplyJson& action) {
  const auto found = waiting_.find(action.token);
  if (found == waiting_.end()) {
    return;
  }
  const auto handler = std::move(found->second);
  waiting_.erase(found);
  handler(action);
}

void FakeWorld::PerformOne(Vm& vm, const SendPeer& action) {
  ++messages_sent;
  const auto target = vms_.find(action.vm);
  if (target == vms_.end() || Chance(options_.loss)) {
    ++messages_lost;
    return;
  }
  const int copies = Chance(options_.duplication) ? 2 : 1;
  const std::string from = vm.name;
  const std::string to = action.vm;
  for (int i = 0; i < copies; ++i) {
    At(now_ + Delay(), [this, from, to, message = action.message] {
      Vm& receiver = *vms_.at(to);
      if (!receiver.board || IsCut(from, to)) {
        ++messages_lost;
        return;
      }
      StepVm(receiver, PeerReceived{message});
    });
  }
}

void FakeWorld::PerformOne(Vm& vm, const AppendJournal& action) {
  const uint64_t incarnation = vm.incarnation;
  const std::string name = vm.name;
  const bool has_disk = vm.has_disk;
  vm.disk_busy_until = std::max(vm.disk_busy_until + 1, now_ + 2 * Delay());
  At(vm.disk_busy_until, [this, name, incarnation, action, has_disk] {
    Vm& writer = *vms_.at(name);
    if (!writer.board || writer.incarnation != incarnation) {
      return;  // the crash came before the sync
    }
    if (has_disk) {
      writer.disk.push_back(action.record);
    }
    if (action.token != 0) {
      StepVm(writer, JournalSynced{action.token, has_disk});
    }
  });
}

void FakeWorld::Trace(const std::string& line) const {
  if (Options().trace) {
    std::cout << now_ / kMillisecond << " ms: " << line << "\n";
  }
}

void FakeWorld::PerformOne(Vm& vm, const LogEvent& action) {
  std::string line = vm.name + " " + std::string(action.event);
  for (const LogField& field : action.fields) {
    line += " " + std::string(field.key) + "=" + field.value;
  }
  Trace(line);
  if (action.event == "invariant_failed") {
    faults.push_back("invariant: " + action.fields.front().value);
  }
}

// ------------------------------------------------------------------ network

bool FakeWorld::IsCut(const std::string& from, const std::string& to) const {
  return cuts_.contains({from, to});
}

void FakeWorld::Cut(const std::string& from, const std::string& to) {
  TraceStep step;
  step.verb = TraceVerb::kCut;
  step.target = from;
  step.other = to;
  Record(std::move(step));
  CutLink(from, to);
}

void FakeWorld::CutLink(const std::string& from, const std::string& to) {
  cuts_.insert({from, to});
  Trace("cut " + from + " -> " + to);
}

void FakeWorld::CutVm(const std::string& vm) {
  Record(TraceVerb::kCutVm, vm);
  for (const auto& [other, state] : vms_) {
    CutLink(vm, other);
    CutLink(other, vm);
  }
  for (const auto& [worker, state] : workers_) {
    CutLink(vm, worker);
    CutLink(worker, vm);
  }
}

void FakeWorld::CutDomain(const std::string& domain) {
  Record(TraceVerb::kCutDomain, domain);
  for (const auto& [vm, state] : vms_) {
    for (const auto& [other, other_state] : vms_) {
      if ((state->domain == domain) != (other_state->domain == domain)) {
        CutLink(vm, other);
      }
    }
    for (const auto& [worker, worker_state] : workers_) {
      if ((state->domain == domain) != (worker_state->domain == domain)) {
        CutLink(vm, worker);
        CutLink(worker, vm);
      }
    }
  }
}

void FakeWorld::HealCuts() {
  Record(TraceVerb::kHeal, "");
  cuts_.clear();
  Trace("cuts healed");
}

void FakeWorld::DeliverTo(const std::string& name,
                          uint64_t incarnation,
                          Event event) {
  Vm& vm = *vms_.at(name);
  if (vm.board && vm.incarnation == incarnation) {
    StepVm(vm, event);
  }
}

// ------------------------------------------------------------------ workers

FakeWorld::Worker* FakeWorld::WorkerAt(const std::string& address) {
  for (auto& [name, worker] : workers_) {
    if (worker->address == address) {
      return worker.get();
    }
  }
  return nullptr;
}

void FakeWorld::Announce(Worker& worker) {
  Worker* announcing = &worker;
  At(now_ + options_.tuning.worker_renew,
     [this, announcing] { Announce(*announcing); });
  if (!worker.up) {
    return;
  }
  const std::vector<std::string> entries = VmsOf(worker.domain);
  std::string entry = worker.entry;
  if (entry.empty()) {
    std::uniform_int_distribution<size_t> pick(0, entries.size() - 1);
    entry = entries[pick(random_)];
  }
  const bool reachable = IsUp(entry) && !IsCut(worker.name, entry);
  if (!reachable) {
    worker.entry.clear();
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
  waiting_[request.token] = [this, announcing, incarnation,
                             vm](const Action& action) {
    const auto* reply = std::get_if<ReplyJson>(&action);
    if (reply == nullptr || IsCut(vm, announcing->name)) {
      return;
    }
    const ReplyJson copy = *reply;
    At(now_ + Delay(), [this, announcing, incarnation, copy] {
      OnLeaseReply(*announcing, incarnation, copy);
    });
  };
  const uint64_t vm_incarnation = vms_.at(entry)->incarnation;
  At(now_ + Delay(), [this, vm, vm_incarnation, request] {
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
    worker.entry.clear();
    return;
  }
  const auto json = ParseJson(reply.body);
  FieldErrors errors;
  ObjectReader reader(*json, "", errors);
  const auto epoch =
      static_cast<uint64_t>(reader.Integer("lease_epoch", {0, INT64_MAX}));
  worker.lease_epoch = std::max(worker.lease_epoch, epoch);
  if (worker.leaving && worker.left_at == 0) {
    worker.left_at = now_;  // the announcement has arrived
  }
  worker.entry = reader.Text("entry", {0, 100});
}

void FakeWorld::AnswerVm(const Worker& worker,
                         const std::string& vm,
                         uint64_t vm_incarnation,
                         TaskAnswer answer) {
  const std::string from = worker.name;
  answer.worker = from;
  At(now_ + Delay(), [this, from, vm, vm_incarnation, answer] {
    TaskAnswer arrived = answer;
    if (IsCut(from, vm)) {
      // The connection breaks and the VM learns nothing else.
      arrived.outcome =
          arrived.is_lookup ? TaskOutcome::kLookupFailed : TaskOutcome::kLost;
      At(now_ + kConnectTimeout, [this, vm, vm_incarnation, arrived] {
        DeliverTo(vm, vm_incarnation, arrived);
      });
      return;
    }
    DeliverTo(vm, vm_incarnation, arrived);
  });
}

void FakeWorld::PerformOne(Vm& vm, const StartTask& action) {
  const Job* job = FindJob(*vm.board, action.submission_id);
  uint64_t& highest_ballot = ballots_[action.submission_id];
  if (job != nullptr && job->ballot < highest_ballot) {
    faults.push_back(action.submission_id +
                     " was started by a former owner after a later one");
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
    At(now_ + Delay(), [this, name, incarnation, answer] {
      DeliverTo(name, incarnation, answer);
    });
    return;
  }
  // Now and then the connection breaks and the start arrives all the same,
  // long after the VM was told that it is lost.
  const bool breaks = Chance(0.02);
  std::uniform_int_distribution<Micros> late(100 * kMillisecond,
                                             1500 * kMillisecond);
  const Micros delay = breaks ? late(random_) : Delay();
  if (breaks) {
    answer.outcome = TaskOutcome::kLost;
    At(now_ + Delay(), [this, name, incarnation, answer] {
      DeliverTo(name, incarnation, answer);
    });
  }
  At(now_ + delay, [this, worker, name, incarnation, action] {
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
    answer.outcome = TaskOutcome::kLost;
    AnswerVm(worker, vm, vm_incarnation, answer);
    return;
  }
  const std::string id = TaskKey(start.submission_id, start.index);
  if (worker.lease_epoch == 0 || start.lease_epoch < worker.lease_epoch) {
    answer.outcome = TaskOutcome::kStaleEpoch;
  } else if (worker.leaving) {
    answer.outcome = TaskOutcome::kLeaving;
    if (worker.left_at != 0 && now_ - worker.left_at > kStopAfterLeaving) {
      faults.push_back("a leaving worker got " + id + " after 2 s");
    }
  } else if (worker.running.contains(id) ||
             worker.running.size() >= static_cast<size_t>(options_.slots)) {
    answer.outcome = TaskOutcome::kNoSlot;
  } else {
    worker.running[id] = start;
    CheckStart({start.submission_id, start.index, now_, worker.name,
                start.lease_epoch});
    const uint64_t incarnation = worker.incarnation;
    Worker* runner = &worker;
    At(now_ + static_cast<Micros>(start.run_ms) * kMillisecond,
       [this, runner, incarnation, id, vm, vm_incarnation, answer] {
         TaskAnswer end = answer;
         if (runner->incarnation != incarnation ||
             runner->running.erase(id) == 0) {
           end.outcome = TaskOutcome::kLost;
         } else {
           end.outcome = TaskOutcome::kDone;
           end.output = ExpectedOutput(end.submission_id, end.index);
           runner->done[id] = end.output;
         }
         AnswerVm(*runner, vm, vm_incarnation, end);
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
  At(now_ + Delay(), [worker, id] { worker->running.erase(id); });
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
    At(now_ + Delay(), [this, name, incarnation, answer] {
      DeliverTo(name, incarnation, answer);
    });
    return;
  }
  At(now_ + Delay(), [this, worker, name, incarnation, answer] {
    TaskAnswer found = answer;
    const std::string id = TaskKey(answer.submission_id, answer.index);
    found.lease_epoch = worker->lease_epoch;
    found.worker_incarnation = worker->incarnation;
    found.outcome = TaskOutcome::kNeverSeen;
    if (worker->running.contains(id)) {
      found.outcome = TaskOutcome::kRunning;
    } else if (worker->done.contains(id)) {
      found.outcome = TaskOutcome::kDone;
      found.output = worker->done[id];
    }
    AnswerVm(*worker, name, incarnation, found);
  });
}

void FakeWorld::CrashWorker(const std::string& name) {
  Record(TraceVerb::kCrashWorker, name);
  EndWorker(name);
}

void FakeWorld::EndWorker(const std::string& name) {
  Worker& worker = *workers_.at(name);
  if (!worker.up) {
    return;
  }
  worker.up = false;
  worker.running.clear();
  worker.done.clear();
  worker.lease_epoch = 0;
  worker.entry.clear();
  ++worker.incarnation;
  At(now_ + kRestartAfterCrash, [&worker] { worker.up = true; });
}

void FakeWorld::LeaveWorker(const std::string& name) {
  Record(TraceVerb::kLeaveWorker, name);
  Worker& worker = *workers_.at(name);
  worker.leaving = true;
  worker.left_at = 0;
}

void FakeWorld::ReturnWorker(const std::string& name) {
  Record(TraceVerb::kReturnWorker, name);
  Worker& worker = *workers_.at(name);
  if (worker.leaving) {
    EndWorker(name);
    worker.leaving = false;
  }
}

bool FakeWorld::IsLastWhole(const std::string& name) const {
  return std::none_of(vms_.begin(), vms_.end(), [&](const auto& entry) {
    return entry.first != name && entry.second->board.has_value() &&
           RemembersAll(*entry.second->board) &&
           !entry.second->board->configuration.recovering;
  });
}

// ------------------------------------------------------------------ callers

void FakeWorld::SetLoss(double loss) {
  TraceStep step;
  step.verb = TraceVerb::kLoss;
  step.loss = loss;
  Record(std::move(step));
  options_.loss = loss;
}

bool FakeWorld::HasFinalAnswer(const std::string& id) const {
  const auto& answers = callers_.at(id).answers;
  return std::any_of(
      answers.begin(), answers.end(), [](const WitnessedAnswer& answer) {
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
  CallerRecord& record = callers_[submission.submission_id()];
  if (record.sent == 0) {
    record.submission = submission;
    const KindPolicy* kind = options_.configuration.FindKind(submission.kind());
    record.idempotent = kind->idempotent;
  }
  ++record.sent;
  record.last_sent_at = now_;
  record.refused = false;
  if (!IsUp(vm)) {
    return;
  }
  ++record.outstanding;
  SubmitRequest request;
  request.token = next_token_++;
  request.submission = submission;
  const std::string id = submission.submission_id();
  waiting_[request.token] = [this, id, vm](const Action& action) {
    WitnessedAnswer answer;
    answer.at = now_;
    answer.vm = vm;
    if (const auto* result = std::get_if<ReplyResult>(&action)) {
      answer.result = result->result;
      answer.status = ResultStatus(result->result);
    } else if (const auto* json = std::get_if<ReplyJson>(&action)) {
      answer.status = json->status;
    }
    CallerRecord& waiting = callers_[id];
    --waiting.outstanding;
    CheckAnswer(waiting, answer);
    waiting.answers.push_back(answer);
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
  waiting_[request.token] = [](const Action&) {};
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
  waiting_[put.token] = [this, digest, vm](const Action& action) {
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
    change.at = now_;
    uint64_t& acknowledged = vms_.at(vm)->acknowledged;
    acknowledged = std::max(acknowledged, change.version);
    if (change.digest != digest) {
      faults.push_back("a change was answered with another digest");
    }
    for (const AcceptedChange& other : accepted_changes_) {
      if (other.version == change.version && other.digest != change.digest) {
        faults.push_back("version " + std::to_string(change.version) +
                         " was accepted twice with other content");
      }
    }
    Trace("accepted version " + std::to_string(change.version));
    CheckHolders(change);
    accepted_changes_.push_back(change);
  };
  StepVm(*vms_.at(vm), put);
}

int FakeWorld::StartsOf(const std::string& id, uint32_t index) const {
  const auto found = starts_by_task_.find(TaskKey(id, index));
  return found == starts_by_task_.end() ? 0 : found->second;
}

const wire::JobResult* FakeWorld::LastAnswer(const std::string& id) const {
  const auto found = callers_.find(id);
  if (found == callers_.end() || found->second.answers.empty()) {
    return nullptr;
  }
  return &found->second.answers.back().result;
}

// ------------------------------------------------------------------ checks

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
