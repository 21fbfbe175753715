#include "review/testing/stand_ins.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace goldcrest::review {
namespace {

// The bounds and figures of the site nadamani-sched.
constexpr Micros kHeartbeat = 1500 * kMillisecond;
constexpr Micros kResend = 1300 * kMillisecond;
constexpr int64_t kLongestHoldMs = 1000;
constexpr Micros kStopTime = 20 * kMillisecond;
constexpr Micros kReportTimeout = kSecond;
constexpr int64_t kWorkerCpu = 16'000;
constexpr int64_t kWorkerMemoryMb = 32'768;
constexpr char kHost[] = "nony24.example";
constexpr char kService[] = "toll-dispatch";

constexpr Micros kMaintenancePeriod = 20 * kMillisecond;
constexpr Micros kPollTime = 1 * kMillisecond;
constexpr Micros kStartTimeout = 20 * kSecond;
constexpr Micros kSettleTime = 6 * kSecond;

int64_t WallMs() {
  return ReadClock().wall_ms;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void ReplaceAll(std::string& text,
                const std::string& from,
                const std::string& to) {
  for (size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

volatile std::sig_atomic_t stop_requested = 0;

void RequestStop(int /*signal*/) {
  stop_requested = 1;
}

std::string NameOf(OrderKind kind) {
  switch (kind) {
    case OrderKind::kRenew:
      return "hold";
    case OrderKind::kStart:
      return "run-start";
    case OrderKind::kStop:
      return "run-stop";
  }
  return "";
}

std::string PageNameOf(const TaskName& task) {
  return task.job_id + '.' + std::to_string(task.occurrence) + '.' +
         std::to_string(task.step) + '.' + std::to_string(task.index);
}

}  // namespace

Worker::Worker(World& world,
               std::string id,
               std::string zone,
               std::string address)
    : world_(world),
      id_(std::move(id)),
      zone_(std::move(zone)),
      address_(std::move(address)) {}

void Worker::Start(size_t report_to) {
  ++boot_;
  born_ms_ = WallMs();
  started_at_ = world_.now();
  token_ = 0;
  lease_until_ms_ = 0;
  running_.clear();
  highest_ended_.clear();
  ended_.clear();
  next_end_ = 1;
  waiting_.clear();
  sequence_ = 0;
  draining_ = false;
  report_in_flight_ = false;
  report_due_ = 0;
  report_confirmed_at_ = 0;
  report_to_.clear();
  control_index_ = report_to;
  server_ = std::make_unique<HttpServer>(
      world_.loop, Poco::Net::SocketAddress(address_), HttpServerOptions(),
      [this](RequestToken token, const HttpRequest& request) {
        OnRequest(token, request);
      },
      [](RequestToken) {});
  world_.Record("worker " + id_ + " starts, boot " + std::to_string(boot_) +
                ", born " + std::to_string(born_ms_));
}

void Worker::End() {
  world_.Record("worker " + id_ + " ends, boot " + std::to_string(boot_) +
                ", with " + std::to_string(running_.size()) + " runs");
  for (auto& [task, running] : running_) {
    running.run->ended = world_.now();
    running.run->end = "worker ended";
  }
  running_.clear();
  waiting_.clear();
  server_->CloseAll();
  server_.reset();
}

bool Worker::Runs(const std::string& job_id) const {
  return std::any_of(running_.begin(), running_.end(), [&](const auto& entry) {
    return entry.first.job_id == job_id;
  });
}

int64_t Worker::ClockMs(Micros now) const {
  return 1000 + static_cast<int64_t>(static_cast<double>(now - started_at_) *
                                     clock_rate / kMillisecond);
}

void Worker::OnRequest(RequestToken token, const HttpRequest& request) {
  const Micros now = world_.now();
  if (cut_off) {
    return;  // no byte has reached it
  }
  ++world_.orders;
  const auto order = world_.wire.DecodeOrder(request);
  if (!order) {
    HttpReply bad;
    bad.status = 400;
    server_->Respond(token, bad);
    return;
  }
  last_order_at_ = now;
  const Micros held = hold_back ? hold_back(*order) : 0;
  if (held == 0) {
    const WorkerAnswer answer = CarryOut(*order, now);
    if (order->kind == OrderKind::kRenew && order->wait_ms > 0 &&
        answer.outcome == OrderOutcome::kDone && ended_.empty()) {
      waiting_.push_back({token, *order, now + order->wait_ms * kMillisecond});
      return;
    }
    Answer(token, answer);
    return;
  }
  world_.Record("worker " + id_ + " leaves " + NameOf(order->kind) + " of " +
                PageNameOf(order->task) + " run " +
                std::to_string(order->attempt) + " unanswered");
  if (held == kNeverCarriedOut) {
    return;
  }
  const int boot = boot_;
  world_.After(held, [this, order = *order, boot] {
    if (boot != boot_ || !up()) {
      return;
    }
    const WorkerAnswer answer = CarryOut(order, world_.now());
    world_.Record("worker " + id_ + " carries out the late " +
                  NameOf(order.kind) + " of " + PageNameOf(order.task) + ": " +
                  std::string(ToString(answer.outcome)));
  });
}

WorkerAnswer Worker::CarryOut(const WorkerOrder& order, Micros now) {
  WorkerAnswer answer;
  answer.order = order;
  answer.clock_ms = ClockMs(now);
  answer.worker_started_ms = born_ms_;
  if (order.worker != id_) {
    answer.outcome = OrderOutcome::kOtherIncarnation;
    return answer;
  }
  if (order.token < token_) {
    answer.outcome = OrderOutcome::kFenced;
    return answer;
  }
  token_ = order.token;
  const int64_t clock_ms = ClockMs(now);
  lease_until_ms_ =
      std::max(lease_until_ms_,
               std::min(order.lease_until_ms, clock_ms + kLongestHoldMs));
  answer.outcome = OrderOutcome::kDone;
  if (order.kind == OrderKind::kStart) {
    answer.outcome = order.lease_until_ms <= clock_ms ? OrderOutcome::kTooLate
                                                      : StartRun(order, now);
  } else if (order.kind == OrderKind::kStop) {
    uint32_t& highest = highest_ended_[order.task];
    highest = std::max(highest, order.attempt);
    const auto found = running_.find(order.task);
    if (found != running_.end() && found->second.number <= order.attempt) {
      found->second.stopping = true;
      found->second.ends_at = std::min(found->second.ends_at, now + kStopTime);
    }
    world_.Record("worker " + id_ + " told to stop " + PageNameOf(order.task) +
                  " run " + std::to_string(order.attempt));
  } else {
    std::erase_if(ended_, [&](const Ended& row) {
      return row.number <= order.acknowledged_end;
    });
    List(now, answer);
  }
  return answer;
}

OrderOutcome Worker::StartRun(const WorkerOrder& order, Micros now) {
  const auto running = running_.find(order.task);
  if (running != running_.end()) {
    return running->second.number == order.attempt
               ? OrderOutcome::kDone
               : OrderOutcome::kStaleAttempt;
  }
  const auto ended = highest_ended_.find(order.task);
  if (ended != highest_ended_.end() && order.attempt <= ended->second) {
    return OrderOutcome::kStaleAttempt;
  }
  // The spec is "RUN_MS/CPU".
  const int64_t run_ms = std::stoll(order.spec);
  const int64_t cpu = std::stoll(order.spec.substr(order.spec.find('/') + 1));
  int64_t used = cpu;
  for (const auto& [task, other] : running_) {
    used += other.cpu;
  }
  if (used > kWorkerCpu) {
    return OrderOutcome::kNoCapacity;
  }
  Run& run = *world_.runs.emplace_back(std::make_unique<Run>());
  run.task = PageNameOf(order.task);
  run.number = order.attempt;
  run.worker = id_ + "/" + std::to_string(boot_);
  run.began = now;
  running_[order.task] = {
      &run, order.attempt, cpu, now, now + run_ms * kMillisecond, false};
  return OrderOutcome::kDone;
}

void Worker::EndRun(const TaskName& task, AttemptEnd end, Micros now) {
  const Running running = running_.at(task);
  running_.erase(task);
  running.run->ended = now;
  running.run->end = std::string(ToString(end));
  uint32_t& highest = highest_ended_[task];
  highest = std::max(highest, running.number);
  ended_.push_back({next_end_++, task, running.number, end});
}

void Worker::List(Micros now, WorkerAnswer& answer) {
  for (const auto& [task, running] : running_) {
    const Micros length = std::max<Micros>(running.ends_at - running.began, 1);
    answer.running.push_back(
        {task, running.number,
         static_cast<int>(100 * (now - running.began) / length)});
  }
  for (const Ended& row : ended_) {
    answer.ended.push_back({row.number, row.task, row.run, row.end});
  }
}

void Worker::Answer(RequestToken token, const WorkerAnswer& answer) {
  server_->Respond(token, world_.wire.EncodeOrderReply(answer));
}

void Worker::Advance(Micros now) {
  if (!up()) {
    return;
  }
  std::vector<std::pair<TaskName, AttemptEnd>> ends;
  for (const auto& [task, running] : running_) {
    if (ClockMs(now) > lease_until_ms_) {
      ends.emplace_back(task, AttemptEnd::kLeaseExpired);
    } else if (now >= running.ends_at) {
      ends.emplace_back(
          task, running.stopping ? AttemptEnd::kStopped : AttemptEnd::kDone);
    }
  }
  for (const auto& [task, end] : ends) {
    EndRun(task, end, now);
  }
  if (cut_off) {
    waiting_.clear();
  }
  for (size_t i = 0; i < waiting_.size();) {
    if (ended_.empty() && now < waiting_[i].until) {
      ++i;
      continue;
    }
    WorkerAnswer answer;
    answer.order = waiting_[i].order;
    answer.clock_ms = ClockMs(now);
    answer.worker_started_ms = born_ms_;
    answer.outcome = OrderOutcome::kDone;
    List(now, answer);
    const RequestToken token = waiting_[i].token;
    waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
    Answer(token, answer);
  }
  if (!report_in_flight_ && now >= report_due_) {
    SendReport(now);
  }
}

void Worker::SendReport(Micros now) {
  report_due_ = now + kHeartbeat;
  report_in_flight_ = true;
  const int boot = boot_;
  if (cut_off) {
    world_.After(kReportTimeout, [this, boot] {
      if (boot == boot_) {
        report_in_flight_ = false;
        report_due_ = 0;
        ++control_index_;
      }
    });
    return;
  }
  std::ostringstream body;
  body << R"({"service":")" << kService << R"(","address":")" << address_
       << R"(","zone":")" << zone_ << R"(","version":"v1","slots":8,"state":")"
       << (draining_ ? "draining" : "ready")
       << R"(","cold_remaining_ms":0,"capacity":{"cpu":)" << kWorkerCpu
       << R"(,"mem_mb":)" << kWorkerMemoryMb
       << R"(,"gpu":0},"labels":["a","r1-1"],"clock_ms":)" << ClockMs(now)
       << R"(,"born":)" << born_ms_ << R"(,"seq":)" << ++sequence_;
  if (draining_) {
    body << R"(,"drain_remaining_ms":2000)";
  }
  body << "}";
  HttpCall call;
  call.address = report_to_.empty()
                     ? world_.controls[control_index_ % world_.controls.size()]
                           .http_address()
                     : report_to_;
  call.method = "POST";
  call.path = "/v1/Instances.Heartbeat/" + id_;
  call.body = body.str();
  call.timeout = kReportTimeout;
  const bool first = sequence_ == 1;
  if (first || draining_) {
    world_.Record("worker " + id_ + " reports " +
                  (draining_ ? "draining" : "ready") + " to " + call.address);
  }
  world_.Call(call, [this, boot, first, draining = draining_](
                        int status, const std::string& answer) {
    if (boot != boot_ || !up()) {
      return;
    }
    report_in_flight_ = false;
    if (status / 100 != 2) {
      report_to_.clear();
      ++control_index_;
      report_due_ = 0;
      world_.Record("a report of worker " + id_ + " was not confirmed");
      return;
    }
    if (first || draining || report_confirmed_at_ == 0) {
      world_.Record("a report of worker " + id_ + " was confirmed");
      report_confirmed_at_ =
          report_confirmed_at_ == 0 ? world_.now() : report_confirmed_at_;
    }
    if (draining && draining_confirmed_at_ == 0) {
      draining_confirmed_at_ = world_.now();
    }
    HttpResponse response;
    response.body = answer;
    report_to_ = world_.wire.DecodeReportAddress(response);
  });
}

std::string Worker::ReportOfAnotherWriter() const {
  std::ostringstream body;
  body << R"({"service":")" << kService << R"(","address":")" << address_
       << R"(","zone":")" << zone_ << R"(","state":"ready","capacity":{"cpu":)"
       << kWorkerCpu << R"(,"mem_mb":)" << kWorkerMemoryMb
       << R"(,"gpu":0},"born":)" << born_ms_ << R"(,"seq":1000000})";
  return body.str();
}

std::string Worker::ReportOfAnotherService() const {
  std::ostringstream body;
  body << R"({"service":"stock-check","address":")" << address_
       << R"(","zone":")" << zone_
       << R"(","version":"v1","slots":8,"state":"ready",)"
       << R"("cold_remaining_ms":0,"capacity":{"cpu":)" << kWorkerCpu
       << R"(,"mem_mb":)" << kWorkerMemoryMb
       << R"(,"gpu":0},"labels":["a","r1-1"],"clock_ms":1000,"born":)"
       << WallMs() << R"(,"seq":1})";
  return body.str();
}

World::World(WorldOptions world_options)
    : options(std::move(world_options)), client_(loop, HttpClientOptions()) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, RequestStop);
  std::signal(SIGINT, RequestStop);
  began_at_ = MonotonicMicros();
  processes_ = std::make_unique<Processes>();
  std::filesystem::create_directories(options.folder);
  ChooseNetwork();
  if (options.relay_mesh) {
    relays = std::make_unique<Relays>();
  }
  for (int i = 0; i < options.controls; ++i) {
    AddDaemon(true, i);
  }
  for (int i = 0; i < options.entries; ++i) {
    AddDaemon(false, i);
  }
  for (int zone = 0; zone < options.controls; ++zone) {
    for (int i = 0; i < options.workers_per_zone; ++i) {
      const int host = 100 + zone * options.workers_per_zone + i;
      workers.push_back(std::make_unique<Worker>(
          *this, "i-" + std::to_string(host), "zone-" + std::to_string(zone),
          "127." + std::to_string(network_) + ".1." + std::to_string(host) +
              ":8080"));
      workers.back()->clock_rate = options.clock_rate;
    }
  }
}

World::~World() {
  processes_.reset();
}

void World::Finish() {
  std::ofstream(options.record_path) << record_;
  processes_.reset();
}

// Chooses a loopback network whose first address has free ports.
void World::ChooseNetwork() {
  for (int i = 0; i < 200; ++i) {
    network_ = 20 + (static_cast<int>(::getpid()) + i) % 200;
    try {
      for (const char* port : {":7720", ":8080"}) {
        Poco::Net::ServerSocket probe;
        probe.bind(Poco::Net::SocketAddress("127." + std::to_string(network_) +
                                            ".1.10" + port),
                   false);
      }
      return;
    } catch (const Poco::Exception&) {
      continue;
    }
  }
}

void World::AddDaemon(bool control, int index) {
  Daemon daemon;
  const int host = (control ? 10 : 40) + index;
  daemon.name = (control ? "core-" : "front-") + std::to_string(index);
  daemon.zone = "zone-" + std::to_string(index % options.controls);
  daemon.control = control;
  daemon.listen_ip =
      "127." + std::to_string(network_) + ".1." + std::to_string(host);
  daemon.ip = daemon.listen_ip;
  if (relays) {
    daemon.ip =
        "127." + std::to_string(network_) + ".0." + std::to_string(host);
    relays->AddAt(daemon.ip + ":7720", daemon.listen_ip,
                  daemon.listen_ip + ":7720");
  }
  daemon.settings = options.folder + "/" + daemon.name + ".conf";
  daemon.folder = options.folder + "/" + daemon.name + "-disk";
  std::filesystem::create_directories(daemon.folder);
  (control ? controls : entries).push_back(std::move(daemon));
}

std::string World::FillTemplate(const Daemon& daemon, bool first_start) const {
  std::string text =
      ReadFile(daemon.control ? "deploy/control.flags" : "deploy/entry.flags");
  std::string seeds;
  for (const Daemon& control : controls) {
    seeds += (seeds.empty() ? "" : ",") + control.ip + ":8080";
  }
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"{{node_name}}", daemon.name},
      {"{{zone}}", daemon.zone},
      {"{{ip}}", daemon.ip},
      {"{{internal_ports.0}}", "7720"},
      {"{{seeds}}", seeds},
      {"{{listen.control}}", daemon.http_address()},
      {"{{listen.front}}", daemon.http_address()},
      {"{{listen.readiness}}", daemon.readiness_address()},
      {"{{data_dir}}", daemon.folder},
      {"{{bootstrap}}", first_start ? "true" : "false"},
      {"{{fault_tolerance.machines}}", "1"},
      {"{{#bounds.grace_s}}", ""},
      {"{{/bounds.grace_s}}", ""},
      {"{{bounds.grace_s}}", "6"}};
  for (const auto& [from, to] : fields) {
    ReplaceAll(text, from, to);
  }
  if (relays) {
    text += "--mesh_bind=" + daemon.listen_ip + ":7720\n";
  }
  return text;
}

void World::StartDaemon(Daemon& daemon, bool first_start) {
  std::ofstream(daemon.settings) << FillTemplate(daemon, first_start);
  ::setenv("GOLDCRESTPLANK_NODE_FILE", daemon.settings.c_str(), 1);
  const std::string program =
      daemon.control ? "target/goldcrest_control" : "target/goldcrest_entry";
  daemon.process =
      processes_->Start({program}, options.folder + "/" + daemon.name + ".log");
  Record("start " + daemon.name);
}

void World::Signal(Daemon& daemon, int signal) {
  Record("signal " + std::to_string(signal) + " to " + daemon.name);
  processes_->Signal(daemon.process, signal);
}

bool World::StartAll() {
  for (Daemon& daemon : controls) {
    StartDaemon(daemon, true);
  }
  for (Daemon& daemon : entries) {
    StartDaemon(daemon, true);
  }
  size_t control = 0;
  for (const auto& worker : workers) {
    worker->Start(control++);
  }
  bool configured = false;
  std::function<void(size_t)> configure = [&](size_t index) {
    SendConfiguration(1, false, controls[index % controls.size()],
                      [&, index](int status, const std::string&) {
                        configured = status == 200;
                        if (!configured) {
                          After(100 * kMillisecond,
                                [&, index] { configure(index + 1); });
                        }
                      });
  };
  configure(0);
  if (!RunFor(kStartTimeout, [&] { return configured; })) {
    return false;
  }
  size_t ready = 0;
  std::function<void(size_t)> probe = [&](size_t index) {
    HttpCall call;
    call.address = entries[index].readiness_address();
    call.method = "GET";
    call.path = "/v1/readyz";
    call.timeout = kSecond;
    Call(call, [&, index](int status, const std::string&) {
      if (status == 200) {
        ++ready;
      } else {
        After(100 * kMillisecond, [&, index] { probe(index); });
      }
    });
  };
  for (size_t i = 0; i < entries.size(); ++i) {
    probe(i);
  }
  if (!RunFor(kStartTimeout, [&] { return ready == entries.size(); })) {
    return false;
  }
  RunFor(kSettleTime);
  return true;
}

bool World::RunFor(Micros time, const std::function<bool()>& done) {
  const Micros until = now() + time;
  while (now() < until) {
    if (done && done()) {
      return true;
    }
    if (stop_requested != 0) {
      throw std::runtime_error("stopped by a signal");
    }
    loop.Poll(kPollTime);
    const Micros at = now();
    for (const auto& worker : workers) {
      worker->Advance(at);
    }
    while (!actions_.empty() && actions_.begin()->first <= at) {
      const std::function<void()> action = actions_.begin()->second;
      actions_.erase(actions_.begin());
      action();
    }
    if (background_rate_ > 0 && at >= next_background_) {
      next_background_ = at + static_cast<Micros>(static_cast<double>(kSecond) /
                                                  background_rate_);
      Job job = background_;
      job.id = NextJobId();
      SubmitWithResend(job, next_background_entry_++ % entries.size(), 1);
    }
    if (at >= maintenance_due_) {
      maintenance_due_ = at + kMaintenancePeriod;
      client_.CloseStale(at);
      processes_->Reap();
    }
  }
  return done && done();
}

void World::After(Micros delay, std::function<void()> action) {
  actions_.emplace(now() + delay, std::move(action));
}

void World::Call(HttpCall call, AnswerHandler on_answer) {
  client_.Call(call, [on_answer = std::move(on_answer)](
                         CallEnd end, const HttpResponse& response) {
    if (end == CallEnd::kResponse) {
      on_answer(response.status, response.body);
    } else {
      on_answer(0, "");
    }
  });
}

void World::Submit(const Job& job,
                   const Daemon& entry,
                   AnswerHandler on_answer) {
  std::ostringstream body;
  body << R"({"spec":")" << job.run_ms << '/' << job.cpu
       << R"(","best_effort":true,"steps":[)";
  for (int step = 0; step < job.steps; ++step) {
    body << (step > 0 ? "," : "") << R"({"count":)" << job.tasks << R"(,"cpu":)"
         << job.cpu << R"(,"mem_mb":64,"estimate_ms":)" << job.estimate_ms;
    if (step > 0) {
      body << R"(,"depends_on":[)" << step - 1 << "]";
    }
    body << "}";
  }
  body << "]}";
  HttpCall call;
  call.address = entry.http_address();
  call.method = "POST";
  call.path = job.prefix + job.id;
  call.body = body.str();
  // The client's own clock for the timeout starts when it sends.
  call.timeout = job.timeout_ms * kMillisecond + 200 * kMillisecond;
  call.headers.push_back({"Host", kHost});
  call.headers.push_back(
      {"Goldcrestplank-Deadline-Ms", std::to_string(job.timeout_ms)});
  Record("client sends job " + job.id + " to " + entry.name);
  Call(call,
       [this, id = job.id, name = entry.name, on_answer = std::move(on_answer)](
           int status, const std::string& answer) {
         Record("client gets for job " + id + " from " + name + ": " +
                std::to_string(status) + " " + answer);
         on_answer(status, answer);
       });
}

void World::SubmitWithResend(const Job& job, size_t entry, int sends_left) {
  Submit(job, entries[entry], [=, this](int status, const std::string&) {
    const bool again = status == 0 || status == 502 || status == 504;
    if (again && sends_left > 1) {
      After(kResend, [=, this] {
        SubmitWithResend(job, (entry + 1) % entries.size(), sends_left - 1);
      });
    }
  });
}

void World::Cancel(const Job& job,
                   const Daemon& entry,
                   AnswerHandler on_answer) {
  HttpCall call;
  call.address = entry.http_address();
  call.method = "DELETE";
  call.path = job.prefix + job.id;
  call.timeout = kSecond;
  call.headers.push_back({"Host", kHost});
  Record("client cancels job " + job.id + " at " + entry.name);
  Call(call, [this, id = job.id, on_answer = std::move(on_answer)](
                 int status, const std::string& answer) {
    Record("client gets for the cancel of job " + id + ": " +
           std::to_string(status));
    on_answer(status, answer);
  });
}

void World::SendConfiguration(uint64_t version,
                              bool more_routes,
                              const Daemon& control,
                              AnswerHandler on_answer) {
  std::ostringstream body;
  body << R"({"version":)" << version << R"(,"routes":[)";
  std::vector<std::string> prefixes = {"/knell/", "/peal/"};
  if (more_routes) {
    prefixes.emplace_back("/added/");
  }
  for (size_t i = 0; i < prefixes.size(); ++i) {
    body << (i > 0 ? "," : "") << R"({"name":"r-)" << i << R"(","host":")"
         << kHost << R"(","path_prefix":")" << prefixes[i]
         << R"(","kind":"non_idempotent","timeout_ms":1500,)"
         << R"("target_latency_ms":60,"priority":)" << i << R"(,"service":")"
         << kService << R"(","max_attempts":3,"stretch":1.6})";
  }
  body << R"(],"services":[{"name":")" << kService
       << R"(","health_path":"/healthz","max_conns":64,"protocol":"h1",)"
       << R"("tls":false,"admission_check":true,"standby":false}],)"
       << R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
       << R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
  HttpCall call;
  call.address = control.http_address();
  call.method = "POST";
  call.path = "/v1/Config.Replace";
  call.body = body.str();
  call.timeout = kSecond;
  Call(call,
       [this, version, name = control.name, on_answer = std::move(on_answer)](
           int status, const std::string& answer) {
         Record("operator gets for configuration " + std::to_string(version) +
                " from " + name + ": " + std::to_string(status));
         on_answer(status, answer);
       });
}

void World::SetBackground(double jobs_per_second, const Job& job) {
  background_rate_ = jobs_per_second;
  background_ = job;
  next_background_ = now();
}

void World::Record(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof time, "%10.3f ms  ",
                static_cast<double>(now() - began_at_) / kMillisecond);
  record_ += time + text + "\n";
}

int World::CountDoubleRuns(Micros slack) {
  std::map<std::string, std::vector<const Run*>> by_task;
  for (const auto& run : runs) {
    by_task[run->task].push_back(run.get());
    char line[200];
    const bool open = run->ended == 0;
    std::snprintf(line, sizeof line, "run %s %u on %s from %.3f to %.3f ms: %s",
                  run->task.c_str(), run->number, run->worker.c_str(),
                  static_cast<double>(run->began - began_at_) / kMillisecond,
                  static_cast<double>((open ? now() : run->ended) - began_at_) /
                      kMillisecond,
                  open ? "still running" : run->end.c_str());
    record_ += std::string(line) + "\n";
  }
  int doubled = 0;
  for (const auto& [task, of_task] : by_task) {
    for (size_t i = 0; i < of_task.size(); ++i) {
      for (size_t j = i + 1; j < of_task.size(); ++j) {
        const Micros a_end = of_task[i]->ended == 0 ? now() : of_task[i]->ended;
        const Micros b_end = of_task[j]->ended == 0 ? now() : of_task[j]->ended;
        const Micros both = std::min(a_end, b_end) -
                            std::max(of_task[i]->began, of_task[j]->began);
        if (both >= slack) {
          ++doubled;
          record_ += "TWICE: " + task + " runs on " + of_task[i]->worker +
                     " and " + of_task[j]->worker + " at the same time for " +
                     std::to_string(both / kMillisecond) + " ms\n";
        }
      }
    }
  }
  return doubled;
}

std::string World::NextJobId() {
  char text[17];
  std::snprintf(
      text, sizeof text, "%016llx",
      static_cast<unsigned long long>(0x5c0e7a2100000000ULL + (++next_job_)));
  return text;
}

}  // namespace goldcrest::review
