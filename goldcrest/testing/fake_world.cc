// The VMs and the network of a FakeWorld, and the queue of its scheduled
// callbacks.

#include <algorithm>
#include <iostream>
#include <utility>

#include "edge/journal.h"
#include "goldcrest/digest.h"
#include "goldcrest/json_reader.h"
#include "goldcrest/membership.h"
#include "goldcrest/submission.h"
#include "goldcrest/testing/fake_world_parts.h"
#include "goldcrest/testing/test_options.h"

namespace goldcrest {
namespace {

// Wall-clock time when the simulated clock reads 0, in milliseconds since the
// Unix epoch.
constexpr int64_t kWallClockAtZeroMs = 1'800'000'000'000;

}  // namespace

// A callback to run at `time`. Callbacks of equal time run in the order in
// which they were scheduled.
struct FakeWorld::ScheduledCallback {
  Micros time = 0;
  uint64_t sequence = 0;
  std::function<void()> callback;

  friend bool operator<(const ScheduledCallback& a,
                        const ScheduledCallback& b) {
    return std::tie(a.time, a.sequence) > std::tie(b.time, b.sequence);
  }
};

struct FakeWorld::CallbackQueue {
  std::priority_queue<ScheduledCallback> queue;
};

FakeWorld::FakeWorld(WorldOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      scheduled_callbacks_(std::make_unique<CallbackQueue>()) {
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
    ScheduleAt(now_ + RandomDelay(), [this, started] { Announce(*started); });
  }
}

FakeWorld::~FakeWorld() = default;

std::string FakeWorld::ExpectedOutput(const std::string& id, uint32_t index) {
  return "out:" + id + ":" + std::to_string(index);
}

void FakeWorld::ScheduleAt(Micros time, std::function<void()> callback) {
  scheduled_callbacks_->queue.push(
      {time, next_sequence_++, std::move(callback)});
}

Micros FakeWorld::RandomDelay() {
  std::uniform_int_distribution<Micros> delay(options_.min_message_delay,
                                              options_.max_message_delay);
  return delay(random_);
}

bool FakeWorld::RandomChance(double probability) {
  std::uniform_real_distribution<double> chance(0, 1);
  return chance(random_) < probability;
}

StepTime FakeWorld::ClockOf(const Vm& vm) const {
  return {now_, kWallClockAtZeroMs + now_ / kMillisecond + vm.skew_ms};
}

void FakeWorld::RunUntil(Micros time) {
  while (!scheduled_callbacks_->queue.empty() &&
         scheduled_callbacks_->queue.top().time <= time) {
    const ScheduledCallback next = scheduled_callbacks_->queue.top();
    scheduled_callbacks_->queue.pop();
    now_ = next.time;
    next.callback();
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

void FakeWorld::RecordStep(TraceVerb verb, const std::string& target) {
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
    RemoveUnrecoverableChanges();
  }
  Trace(name + " starts" + (vm.has_disk ? " with a disk" : "") +
        (keep_disk ? "" : ", disk cleared"));
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
  const RecoveredState recovered = Replay(vm.disk);
  if (vm.has_disk) {
    wire::JournalRecord start;
    start.mutable_start()->set_incarnation(vm.incarnation);
    vm.disk.push_back(start);
  }
  if (recovered.in_force.version() < vm.acknowledged_version && vm.has_disk &&
      keep_disk) {
    violations.push_back(
        name +
        " restarted with an older configuration version than it had "
        "acknowledged");
  }
  vm.highest_version = 0;
  vm.acknowledged_version = 0;
  vm.board = MakeBlackboard(deployment, options_.tuning);
  vm.board->configuration.first_document =
      ConfigurationJson(options_.configuration);
  Actions actions;
  Start(*vm.board, recovered, ClockOf(vm), actions);
  Perform(vm, actions);
  ScheduleTick(vm);
}

void FakeWorld::CrashVm(const std::string& name) {
  RecordStep(TraceVerb::kCrash, name);
  StopVm(name);
}

void FakeWorld::StopVm(const std::string& name) {
  Vm& vm = *vms_.at(name);
  vm.board.reset();
  vm.next_tick_at = 0;
  Trace(name + " stops");
  RemoveUnrecoverableChanges();
}

void FakeWorld::Drain(const std::string& name) {
  RecordStep(TraceVerb::kDrain, name);
  if (IsUp(name)) {
    StepVm(*vms_.at(name), DrainRequest());
  }
}

void FakeWorld::ScheduleTick(Vm& vm) {
  if (!vm.board) {
    return;
  }
  const Micros tick_time =
      std::max(NextWakeUp(*vm.board, ClockOf(vm)), now_ + 1);
  if (vm.next_tick_at != 0 && vm.next_tick_at <= tick_time) {
    return;
  }
  vm.next_tick_at = tick_time;
  const uint64_t incarnation = vm.incarnation;
  Vm* ticked_vm = &vm;
  ScheduleAt(tick_time, [this, ticked_vm, incarnation, tick_time] {
    if (ticked_vm->board && ticked_vm->incarnation == incarnation &&
        ticked_vm->next_tick_at == tick_time) {
      ticked_vm->next_tick_at = 0;
      StepVm(*ticked_vm, TimeAdvanced());
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
  CheckConfigurationVersion(vm);
  if (vm.board->counters.invariant_failures > 0) {
    violations.push_back(vm.name + " reported an invariant failure");
    vm.board->counters.invariant_failures = 0;
  }
  if (vm.board->drained) {
    if (!vm.board->submission_of_request.empty()) {
      violations.push_back(vm.name +
                           " ended its drain with unanswered callers");
    }
    StopVm(vm.name);
    return;
  }
  ScheduleTick(vm);
}

uint64_t FakeWorld::ConfigurationVersionOf(const Vm& vm) const {
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

// Checks that a majority of the configuration voters hold an accepted change
// when it is first confirmed to an operator.
void FakeWorld::CheckHeldByMajority(const AcceptedChange& change) {
  const auto& voters = AnyBoard().deployment.configuration_voters;
  const auto holder_count =
      std::count_if(voters.begin(), voters.end(), [&](const auto& voter) {
        return ConfigurationVersionOf(*vms_.at(voter)) >= change.version;
      });
  const bool already_accepted = std::any_of(
      accepted_changes_.begin(), accepted_changes_.end(),
      [&](const auto& other) { return other.version >= change.version; });
  if (!already_accepted &&
      static_cast<size_t>(holder_count) < MajorityOf(voters.size())) {
    violations.push_back(
        "a configuration change was accepted without a majority of voters "
        "that hold it");
  }
}

// Removes the accepted changes that no running VM and no disk holds any more.
// Nothing can recover them, and the product promises nothing about them.
void FakeWorld::RemoveUnrecoverableChanges() {
  uint64_t held = 0;
  for (const auto& [name, vm] : vms_) {
    held = std::max(held, ConfigurationVersionOf(*vm));
  }
  std::erase_if(accepted_changes_, [&](const AcceptedChange& change) {
    return change.version > held;
  });
}

void FakeWorld::CheckConfigurationVersion(Vm& vm) {
  const uint64_t version = vm.board->configuration.in_force.version();
  if (version < vm.highest_version) {
    violations.push_back(vm.name +
                         " went back to an older configuration version");
  }
  vm.highest_version = std::max(vm.highest_version, version);
}

void FakeWorld::Perform(Vm& vm, const Actions& actions) {
  for (const Action& action : actions) {
    std::visit([&](const auto& one) { PerformOne(vm, one); }, action);
  }
}

void FakeWorld::PerformOne(Vm& vm, const ReplyResult& action) {
  const auto found = reply_handlers_.find(action.token);
  if (found == reply_handlers_.end()) {
    return;
  }
  const auto reply_handler = std::move(found->second);
  reply_handlers_.erase(found);
  (void)vm;
  reply_handler(action);
}

void FakeWorld::PerformOne(Vm& /*vm*/, const ReplyJson& action) {
  const auto found = reply_handlers_.find(action.token);
  if (found == reply_handlers_.end()) {
    return;
  }
  const auto reply_handler = std::move(found->second);
  reply_handlers_.erase(found);
  reply_handler(action);
}

void FakeWorld::PerformOne(Vm& vm, const SendPeer& action) {
  ++messages_sent;
  const auto target = vms_.find(action.vm);
  if (target == vms_.end() || RandomChance(options_.loss)) {
    ++messages_lost;
    return;
  }
  const int copies = RandomChance(options_.duplication) ? 2 : 1;
  const std::string from = vm.name;
  const std::string to = action.vm;
  for (int i = 0; i < copies; ++i) {
    ScheduleAt(now_ + RandomDelay(),
               [this, from, to, message = action.message] {
                 Vm& receiver = *vms_.at(to);
                 if (!receiver.board || IsCut(from, to)) {
                   ++messages_lost;
                   return;
                 }
                 StepVm(receiver, PeerReceived{message});
               });
  }
}

Micros FakeWorld::SyncedAt(Vm& vm) {
  const Micros sync_time = options_.sync_time;
  if (sync_time == 0) {
    return std::max(vm.disk_busy_until + 1, now_ + 2 * RandomDelay());
  }
  if (now_ >= vm.disk_busy_until) {
    vm.sync_ends_at = now_ + sync_time;
    return vm.sync_ends_at;
  }
  if (now_ >= vm.sync_ends_at) {
    vm.sync_ends_at = vm.disk_busy_until;  // the next sync has begun
  }
  return vm.sync_ends_at + sync_time;
}

void FakeWorld::PerformOne(Vm& vm, const AppendJournal& action) {
  const uint64_t incarnation = vm.incarnation;
  const std::string name = vm.name;
  const bool has_disk = vm.has_disk;
  vm.disk_busy_until = SyncedAt(vm);
  ScheduleAt(vm.disk_busy_until, [this, name, incarnation, action, has_disk] {
    Vm& writer = *vms_.at(name);
    if (!writer.board || writer.incarnation != incarnation) {
      return;  // the VM crashed before the sync
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
    violations.push_back("invariant: " + action.fields.front().value);
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
  RecordStep(TraceVerb::kCutVm, vm);
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
  RecordStep(TraceVerb::kCutDomain, domain);
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
  RecordStep(TraceVerb::kHeal, "");
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

bool FakeWorld::IsLastWithFullState(const std::string& name) const {
  return std::none_of(vms_.begin(), vms_.end(), [&](const auto& entry) {
    return entry.first != name && entry.second->board.has_value() &&
           HasFullStateForAllGroups(*entry.second->board) &&
           !entry.second->board->configuration.recovering;
  });
}

void FakeWorld::SetLoss(double loss) {
  TraceStep step;
  step.verb = TraceVerb::kLoss;
  step.loss = loss;
  Record(std::move(step));
  options_.loss = loss;
}

}  // namespace goldcrest
