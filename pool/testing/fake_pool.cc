#include "pool/testing/fake_pool.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <memory>

#include "goldcrest/digest.h"

namespace goldcrest {
namespace {

constexpr Micros kTickPeriod = 20 * kMillisecond;
constexpr uint64_t kFirstVersion = 1;
constexpr char kFakeHost[] = "bells.example";

wire::Routing MakeRouting(uint64_t version) {
  wire::Routing routing;
  routing.set_version(version);
  for (size_t i = 0; i < kFakeQueues.size(); ++i) {
    wire::Queue& queue = *routing.add_queues();
    queue.set_name(kFakeQueues[i]);
    queue.set_host(kFakeHost);
    queue.set_path_prefix("/" + queue.name() + "/");
    queue.set_service("bells");
    queue.set_timeout_ms(1500);
    queue.set_target_ms(60);
    queue.set_priority(static_cast<int32_t>(i));
    queue.set_max_attempts(3);
    queue.set_stretch(1.6);
  }
  return routing;
}

std::string QueueKeyOf(const FakeJob& job) {
  return std::string(kFakeHost) + ":/" + kFakeQueues[job.queue] + "/";
}

}  // namespace

FakePool::FakePool(const FakePoolOptions& options)
    : options_(options), random_(options.seed) {
  for (int i = 0; i < options.controls_per_domain; ++i) {
    for (const std::string& domain : options.domains) {
      FakeControl& control = controls_.emplace_back();
      control.address =
          "control-" + domain + (i == 0 ? "" : std::to_string(i + 1));
      control.domain = domain;
      control.disk_write_time = options.disk_write_time;
      domain_of_address_[control.address] = control.domain;
    }
  }
  for (const std::string& domain : options.domains) {
    for (int i = 0; i < options.entries_per_domain; ++i) {
      FakeEntry& entry = entries_.emplace_back();
      entry.address = "entry-" + domain + std::to_string(i);
      entry.domain = domain;
      domain_of_address_[entry.address] = domain;
    }
    for (int i = 0; i < options.workers_per_domain; ++i) {
      FakeWorker& worker = workers_.all.emplace_back();
      worker.status.set_id("w-" + domain + std::to_string(i));
      worker.status.set_address("10.0.0.1:" +
                                std::to_string(workers_.all.size()));
      worker.status.set_service("bells");
      worker.status.set_failure_domain(domain);
      worker.status.set_cpu_millis(
          static_cast<uint32_t>(options.worker_cpu_millis));
      worker.status.set_memory_mb(32'000);
      worker.status.set_born_ms(Clock().wall_ms);
      worker.born_at = now_;
      worker.report_due =
          now_ + static_cast<Micros>(workers_.all.size()) * 30 * kMillisecond;
    }
  }
  for (size_t i = 0; i < controls_.size(); ++i) {
    BootControl(i, true);
  }
  for (size_t i = 0; i < entries_.size(); ++i) {
    BootEntry(i);
  }
}

void FakePool::Schedule(Micros when, std::function<void()> what) {
  queue_[{std::max(when, now_), next_event_++}] = std::move(what);
}

void FakePool::BootControl(size_t index, bool first_start) {
  FakeControl& control = controls_[index];
  const int life = ++control.incarnation;
  control.running = true;
  control.paused = false;
  control.is_writing = false;
  control.queued_write.reset();
  PoolStartParams start;
  start.options.features = options_.features;
  start.mesh.rates = options_.rates;
  start.mesh.self = control.address;
  start.mesh.incarnation = static_cast<uint64_t>(Clock().wall_ms);
  start.mesh.control = true;
  start.mesh.failure_domain = control.domain;
  start.mesh.control_address = control.address;
  for (size_t i = 0; i < std::min<size_t>(controls_.size(), 3); ++i) {
    start.mesh.seeds.push_back(controls_[i].address);
  }
  start.agreement.self = control.address;
  start.agreement.failure_domain = control.domain;
  start.agreement.tolerated_losses = options_.tolerated_losses;
  start.stored = control.disk;
  start.first_start = first_start;
  start.random_seed = random_();
  PoolActions actions;
  control.board = MakePoolBoard(start, Clock(), actions);
  Perform(index, true, std::move(actions));
  // Periodic events of this incarnation.
  auto tick = std::make_shared<std::function<void()>>();
  *tick = [this, index, life, tick] {
    FakeControl& daemon = controls_[index];
    if (daemon.incarnation != life || !daemon.running) {
      return;
    }
    StepControl(index, PoolTimeAdvanced());
    Schedule(now_ + kTickPeriod, *tick);
  };
  Schedule(now_ + static_cast<Micros>(index) * kMillisecond, *tick);
}

void FakePool::BootEntry(size_t index) {
  FakeEntry& entry = entries_[index];
  const int life = ++entry.incarnation;
  entry.running = true;
  entry.paused = false;
  MeshOptions mesh;
  mesh.rates = options_.rates;
  mesh.self = entry.address;
  mesh.incarnation = static_cast<uint64_t>(Clock().wall_ms);
  mesh.failure_domain = entry.domain;
  for (size_t i = 0; i < std::min<size_t>(controls_.size(), 3); ++i) {
    mesh.seeds.push_back(controls_[i].address);
  }
  EntryOptions entry_options;
  entry_options.features = options_.features;
  entry.board = MakeEntryBoard(entry_options, mesh);
  auto tick = std::make_shared<std::function<void()>>();
  *tick = [this, index, life, tick] {
    FakeEntry& daemon = entries_[index];
    if (daemon.incarnation != life || !daemon.running) {
      return;
    }
    StepEntry(index, EntryTimeAdvanced());
    Schedule(now_ + kTickPeriod, *tick);
  };
  Schedule(now_, *tick);
}

void FakePool::StepControl(size_t index, const PoolEvent& event) {
  FakeControl& control = controls_[index];
  if (!control.running) {
    return;
  }
  if (control.paused) {
    // A paused process handles the queued events when it resumes.
    const int life = control.incarnation;
    Schedule(now_ + 5 * kMillisecond, [this, index, event, life] {
      if (controls_[index].incarnation == life &&
          !std::holds_alternative<PoolTimeAdvanced>(event)) {
        StepControl(index, event);
      }
    });
    return;
  }
  PoolActions actions;
  HandlePoolEvent(control.board, event, Clock(), actions);
  Perform(index, true, std::move(actions));
  PlaceAfterEvents(index);
}

void FakePool::PlaceAfterEvents(size_t index) {
  if (std::exchange(controls_[index].placement_scheduled, true)) {
    return;
  }
  Schedule(now_, [this, index] {
    FakeControl& control = controls_[index];
    control.placement_scheduled = false;
    if (!control.running || control.paused) {
      return;
    }
    PoolActions actions;
    PlaceTasks(control.board, Clock(), actions);
    Perform(index, true, std::move(actions));
  });
}

void FakePool::StepEntry(size_t index, const EntryEvent& event) {
  FakeEntry& entry = entries_[index];
  if (!entry.running || entry.paused) {
    return;
  }
  PoolActions actions;
  HandleEntryEvent(entry.board, event, Clock(), actions);
  entry.board.observations.clear();
  Perform(index, false, std::move(actions));
  PlaceAfterEntryEvents(index);
}

void FakePool::PlaceAfterEntryEvents(size_t index) {
  if (std::exchange(entries_[index].placement_scheduled, true)) {
    return;
  }
  Schedule(now_, [this, index] {
    FakeEntry& entry = entries_[index];
    entry.placement_scheduled = false;
    if (!entry.running || entry.paused) {
      return;
    }
    PoolActions actions;
    PlaceEntryTasks(entry.board, Clock(), actions);
    entry.board.observations.clear();
    Perform(index, false, std::move(actions));
  });
}

void FakePool::Perform(size_t index, bool is_control, PoolActions actions) {
  const Mesh& mesh = is_control ? controls_[index].board.mesh
                                : entries_[index].board.pool.mesh;
  const uint64_t incarnation = mesh.options.incarnation;
  const std::string self = mesh.options.self;
  for (PoolAction& action : actions) {
    if (auto* send = std::get_if<SendMessage>(&action)) {
      Deliver(self, std::move(*send), incarnation);
    } else if (auto* order = std::get_if<SendOrder>(&action)) {
      const int life = is_control ? controls_[index].incarnation
                                  : entries_[index].incarnation;
      SendToWorker({is_control, index, life}, std::move(order->order));
    } else if (const auto* reply = std::get_if<ReplyJob>(&action)) {
      const auto cancel = cancels_.find(reply->token);
      if (reply->answers_cancel_request && cancel != cancels_.end()) {
        *cancel->second = {reply->fate, now_};
      }
      const auto job = job_of_token_.find(reply->token);
      if (job != job_of_token_.end()) {
        answers_[job->second].fate = reply->fate;
        answers_[job->second].answered_at = now_;
        answers_[job->second].retry_after_ms = reply->retry_after_ms;
      }
    } else if (const auto* change = std::get_if<ReplyChange>(&action)) {
      const auto pending_change = changes_.find(change->token);
      if (pending_change != changes_.end()) {
        *pending_change->second = change->result;
      }
    } else if (const auto* read = std::get_if<ReplyRead>(&action)) {
      const auto pending_read = reads_.find(read->token);
      if (pending_read != reads_.end()) {
        const wire::Routing& routing =
            controls_[index].board.agreement.committed.routing();
        *pending_read->second = read->newest ? routing.version() : 0;
      }
    } else if (auto* persist = std::get_if<PersistRegister>(&action)) {
      controls_[index].queued_write = std::move(*persist);
      WriteToDisk(index);
    } else if (const auto* line = std::get_if<LogEvent>(&action)) {
      ++logged_[std::string(line->event)];
      if (options_.print_log) {
        std::cout << now_ / kMillisecond << ' ' << self << ' ' << line->event;
        for (const LogField& field : line->fields) {
          std::cout << ' ' << field.key << '=' << field.value;
        }
        std::cout << '\n';
      }
    }
  }
}

void FakePool::WriteToDisk(size_t index) {
  FakeControl& control = controls_[index];
  if (control.is_writing || !control.queued_write) {
    return;
  }
  control.is_writing = true;
  const int life = control.incarnation;
  Schedule(now_ + control.disk_write_time,
           [this, index, life, write = *control.queued_write] {
             if (controls_[index].incarnation == life) {
               EndWrite(index, write);
             }
           });
  control.queued_write.reset();
}

void FakePool::EndWrite(size_t index, const PersistRegister& write) {
  FakeControl& control = controls_[index];
  const bool ok = !control.disk_write_fails;
  if (ok) {
    control.disk = write.stored;
  }
  control.is_writing = false;
  WriteToDisk(index);
  StepControl(index, RegisterStored{write.sequence, ok});
}

void FakePool::SetDiskWriteTime(Micros duration) {
  for (FakeControl& control : controls_) {
    control.disk_write_time = duration;
  }
}

void FakePool::Deliver(const std::string& from,
                       SendMessage send,
                       uint64_t incarnation) {
  send.message.set_from(from);
  send.message.set_incarnation(incarnation);
  ++messages_[send.message.body_case()];
  routings_sent_ += send.message.has_routing() ? 1 : 0;
  const bool entry_to_control =
      from.starts_with("entry") != send.to.starts_with("entry");
  if (send.message.has_presence() && entry_to_control &&
      domain_of_address_[from] != domain_of_address_[send.to]) {
    ++cross_domain_heartbeats_;
  }
  if (options_.message_loss > 0 && std::uniform_real_distribution<double>(
                                       0, 1)(random_) < options_.message_loss) {
    return;
  }
  const auto reset = open_again_at_.find({from, send.to});
  if (reset != open_again_at_.end() && now_ < reset->second) {
    return;
  }
  Schedule(now_ + options_.message_delay,
           [this, from, send = std::move(send)] { Receive(from, send); });
}

void FakePool::Receive(const std::string& from, const SendMessage& send) {
  if (cuts_.contains({from, send.to})) {
    return;
  }
  const auto held_up = held_up_.find({from, send.to});
  if (held_up != held_up_.end()) {
    held_up->second.push_back(send);
    return;
  }
  for (size_t i = 0; i < controls_.size(); ++i) {
    if (controls_[i].address == send.to) {
      StepControl(i, PoolMessageReceived{send.message});
    }
  }
  for (size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i].address == send.to) {
      StepEntry(i, EntryMessageReceived{send.message});
    }
  }
}

void FakePool::Run(Micros duration) {
  const Micros until = now_ + duration;
  Micros next_workers = now_;
  while (now_ < until) {
    const Micros next_event =
        queue_.empty() ? until : queue_.begin()->first.first;
    now_ = std::min({until, next_event, next_workers});
    if (now_ >= next_workers) {
      TickWorkers();
      next_workers = now_ + kMillisecond;
    }
    while (!queue_.empty() && queue_.begin()->first.first <= now_) {
      const std::function<void()> what = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      what();
    }
  }
}

std::string FakePool::IdOf(int job) const {
  const std::string& id = jobs_.at(job).id;
  return id.empty() ? "job" + std::to_string(job) : id;
}

void FakePool::SendJob(int job, size_t entry) {
  const FakeJob& sent = jobs_.at(job);
  CallerJob request;
  request.token = next_token_++;
  request.queue = QueueKeyOf(sent);
  request.job_id = IdOf(job);
  // The same for each submission of the job.
  std::mt19937_64 errors(options_.seed + static_cast<uint64_t>(job));
  std::normal_distribution<double> deviation(0, options_.estimate_deviation);
  std::uniform_real_distribution<double> uniform(0, 1);
  const double error = std::exp(deviation(errors)) *
                       (uniform(errors) < options_.long_job_share ? 7 : 1);
  const auto real_run_ms =
      static_cast<int64_t>(static_cast<double>(sent.run_ms) * error);
  answers_[job].run_ms = real_run_ms;
  request.spec =
      std::to_string(real_run_ms) + '/' + std::to_string(sent.cpu_millis);
  if (sent.crashing_task >= 0) {
    request.spec += '/' + std::to_string(sent.crashing_task);
  }
  request.caller_timeout_ms = sent.timeout_ms;
  wire::JobStep step;
  step.set_tasks(static_cast<uint32_t>(sent.tasks));
  step.set_cpu_millis(static_cast<uint32_t>(sent.cpu_millis));
  step.set_memory_mb(64);
  step.set_estimate_ms(static_cast<uint32_t>(sent.estimate_ms));
  request.steps.push_back(step);
  job_of_token_[request.token] = job;
  answers_[job].fate = wire::JOB_FATE_UNSPECIFIED;
  StepEntry(entry, request);
}

int FakePool::Submit(size_t entry,
                     int tasks,
                     int64_t run_ms,
                     int64_t timeout_ms) {
  return Submit(entry, {tasks, run_ms, timeout_ms, run_ms, 0});
}

int FakePool::Submit(size_t entry, const FakeJob& submitted) {
  const int job = static_cast<int>(jobs_.size());
  jobs_[job] = submitted;
  answers_[job].submitted_at = now_;
  SendJob(job, entry);
  return job;
}

void FakePool::Resubmit(int job, size_t entry) {
  SendJob(job, entry);
}

void FakePool::Cancel(int job, size_t entry, FakeCancelAnswer* answer) {
  CancelRequested request;
  request.token = next_token_++;
  request.job_id = IdOf(job);
  request.queue = QueueKeyOf(jobs_.at(job));
  cancels_[request.token] = answer;
  StepEntry(entry, request);
}

void FakePool::ChangeConfiguration(size_t control,
                                   uint64_t version,
                                   ChangeResult* answer) {
  RoutingChangeRequested change;
  change.token = next_token_++;
  change.routing = MakeRouting(std::max(version, kFirstVersion));
  changes_[change.token] = answer;
  StepControl(control, change);
}

uint64_t FakePool::ReadConfiguration(size_t control) {
  PoolActions actions;
  PoolBoard& board = controls_[control].board;
  const ReplyToken token = next_token_++;
  PoolStep(board, RoutingRequested{token}, Clock(), actions);
  uint64_t newest_version = 0;
  for (const PoolAction& action : actions) {
    const auto* reply = std::get_if<ReplyRead>(&action);
    if (reply != nullptr && reply->token == token && reply->newest) {
      newest_version = board.agreement.committed.routing().version();
    }
  }
  Perform(control, true, std::move(actions));
  return newest_version;
}

void FakePool::RequestConfiguration(size_t control,
                                    std::optional<uint64_t>* version) {
  const ReplyToken token = next_token_++;
  reads_[token] = version;
  StepControl(control, RoutingRequested{token});
}

void FakePool::KillControl(size_t control) {
  controls_[control].running = false;
  ++controls_[control].incarnation;
}

void FakePool::StartControl(size_t control, bool first_start) {
  BootControl(control, first_start);
}

void FakePool::WipeDisk(size_t control) {
  controls_[control].disk.Clear();
}

void FakePool::KillEntry(size_t entry) {
  entries_[entry].running = false;
  ++entries_[entry].incarnation;
}

void FakePool::StartEntry(size_t entry) {
  BootEntry(entry);
}

void FakePool::DropMessages(const std::string& from, const std::string& to) {
  cuts_.insert({from, to});
}

void FakePool::RestoreMessages(const std::string& from, const std::string& to) {
  cuts_.erase({from, to});
  const auto held_up = held_up_.extract({from, to});
  if (!held_up.empty()) {
    for (const SendMessage& send : held_up.mapped()) {
      Receive(from, send);
    }
  }
}

void FakePool::HoldUpMessages(const std::string& from, const std::string& to) {
  held_up_[{from, to}];
}

void FakePool::ResetChannel(const std::string& from,
                            const std::string& to,
                            Micros reconnect_time) {
  Micros& open_again_at = open_again_at_[{from, to}];
  open_again_at = std::max(open_again_at, now_ + reconnect_time);
}

void FakePool::CutDomain(const std::string& domain) {
  std::vector<std::pair<std::string, std::string>> all;  // address, domain
  for (const FakeControl& control : controls_) {
    all.emplace_back(control.address, control.domain);
  }
  for (const FakeEntry& entry : entries_) {
    all.emplace_back(entry.address, entry.domain);
  }
  for (const auto& [a, domain_a] : all) {
    for (const auto& [b, domain_b] : all) {
      if ((domain_a == domain) != (domain_b == domain)) {
        DropMessages(a, b);
      }
    }
    for (const std::string& other : options_.domains) {
      if ((domain_a == domain) != (other == domain)) {
        DropMessages(a, other);  // workers are addressed by their domain
      }
    }
  }
}

void FakePool::EndPartitions() {
  cuts_.clear();
  while (!held_up_.empty()) {
    const auto [from, to] = held_up_.begin()->first;
    RestoreMessages(from, to);
  }
}

int FakePool::ReadyWorkers() const {
  std::set<std::string> ready;
  for (const FakeControl& control : controls_) {
    for (const auto& [id, worker] : control.board.workers) {
      if (control.running && worker.session == SessionState::kReady) {
        ready.insert(id);
      }
    }
  }
  for (const FakeEntry& entry : entries_) {
    for (const auto& [id, worker] : entry.board.pool.workers) {
      if (entry.running && worker.session == SessionState::kReady) {
        ready.insert(id);
      }
    }
  }
  return static_cast<int>(ready.size());
}

int FakePool::CountAnswers(wire::JobFate fate) const {
  return static_cast<int>(std::count_if(
      answers_.begin(), answers_.end(),
      [&](const auto& entry) { return entry.second.fate == fate; }));
}

uint64_t FakePool::NewestVersion() const {
  uint64_t newest = 0;
  for (const FakeControl& control : controls_) {
    if (control.running) {
      newest = std::max(newest,
                        control.board.agreement.committed.routing().version());
    }
  }
  return newest;
}

int FakePool::CountLogged(const std::string& event) const {
  const auto found = logged_.find(event);
  return found == logged_.end() ? 0 : found->second;
}

}  // namespace goldcrest
