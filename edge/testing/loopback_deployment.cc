#include "edge/testing/loopback_deployment.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <stdexcept>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/ServerSocket.h>

#include "edge/logging.h"
#include "goldcrest/configuration.h"

namespace goldcrest {
namespace {

constexpr int kMaxReadyPolls = 300;
constexpr std::chrono::milliseconds kReadyPollPause{50};

// The ports used are below the system's range for outgoing connections.
// Otherwise an outgoing connection could occupy the port of a VM that is down.
constexpr int kFirstPort = 12'000;
constexpr int kLastPort = 32'000;
constexpr int kPortsPerProcess = 400;

int FirstPort() {
  const int ranges = (kLastPort - kFirstPort) / kPortsPerProcess;
  return kFirstPort + (::getpid() % ranges) * kPortsPerProcess;
}

// Returns a loopback address that no socket is bound to. Each call returns a
// different address.
std::string FreeAddress() {
  static int next_port = FirstPort();
  while (next_port < kLastPort) {
    const std::string address = "127.0.0.1:" + std::to_string(next_port++);
    try {
      Poco::Net::ServerSocket socket;
      socket.bind(Poco::Net::SocketAddress(address), true);
      return address;
    } catch (const Poco::Exception&) {
      continue;
    }
  }
  throw std::runtime_error("no free port for a loopback deployment");
}

std::string JsonField(const std::string& line, const std::string& name) {
  Poco::JSON::Parser parser;
  return parser.parse(line)
      .extract<Poco::JSON::Object::Ptr>()
      ->optValue<std::string>(name, "");
}

}  // namespace

LoopbackDeployment::LoopbackDeployment(LoopbackOptions options)
    : options_(std::move(options)) {
  static const bool logging = StartLogging("error", {});
  static_cast<void>(logging);
  folder_.createDirectories();
  log_.Open(LogPath());
  for (const std::string& domain : options_.failure_domains) {
    for (int i = 1; i <= options_.vms_per_domain; ++i) {
      const std::string name = domain + std::to_string(i);
      names_.push_back(name);
      vms_[name] = {domain, FreeAddress(), FreeAddress(), nullptr, {}};
    }
  }
  for (const std::string& name : names_) {
    StartDaemon(name);
  }
  StartWorkers();
}

LoopbackDeployment::~LoopbackDeployment() {
  stopping_ = true;
  worker_loop_.Wake();
  worker_thread_.join();
  for (const std::string& name : names_) {
    Kill(name);
  }
}

std::string LoopbackDeployment::LogPath() const {
  return folder_.path() + "/starts.log";
}

// Each VM connects to its peers through its own relays.
void LoopbackDeployment::StartDaemon(const std::string& name) {
  Vm& vm = vms_.at(name);
  DaemonOptions daemon;
  Deployment& deployment = daemon.deployment;
  deployment.self = name;
  deployment.failure_domain = vm.failure_domain;
  deployment.http_address = vm.http_address;
  deployment.incarnation = static_cast<uint64_t>(ReadClock().wall_ms);
  deployment.has_disk = options_.disks;
  for (const std::string& other : names_) {
    const Vm& peer = vms_.at(other);
    const std::string address =
        other == name || !options_.use_relays
            ? peer.peer_address
            : relays_.Add(name, other, peer.peer_address);
    deployment.vms.push_back({other, peer.failure_domain, address});
  }
  std::sort(deployment.vms.begin(), deployment.vms.end(),
            [](const EntryVm& a, const EntryVm& b) { return a.name < b.name; });
  AssignRoles(deployment);
  daemon.tuning = options_.tuning;
  daemon.http = options_.http;
  daemon.first_document = ConfigurationJson(DefaultConfiguration());
  if (options_.disks) {
    daemon.data_dir = folder_.path() + "/" + name;
  }
  vm.daemon = std::make_unique<Daemon>(daemon);
  const auto started = vm.daemon->Start();
  if (!started) {
    throw std::runtime_error(started.error());
  }
  vm.thread = std::thread([&vm] { vm.daemon->Run(); });
}

void LoopbackDeployment::StartWorkers() {
  for (const std::string& domain : options_.failure_domains) {
    for (int i = 0; i < options_.workers_per_domain; ++i) {
      StandInOptions worker;
      worker.name = domain + "-worker" + std::to_string(i);
      worker.address = FreeAddress();
      worker.failure_domain = domain;
      worker.rack = "rack0";
      worker.slots = options_.slots;
      worker.memory_mb = 32768;
      for (const std::string& name : names_) {
        if (vms_.at(name).failure_domain == domain) {
          worker.entry_addresses.push_back(vms_.at(name).http_address);
        }
      }
      workers_.push_back(
          std::make_unique<StandInWorker>(worker_loop_, log_, worker));
    }
  }
  worker_thread_ = std::thread([this] { ServeWorkers(); });
}

void LoopbackDeployment::ServeWorkers() {
  constexpr Micros kLongestWait = 50 * kMillisecond;
  while (!stopping_) {
    const Micros now = MonotonicMicros();
    Micros wake = now + kLongestWait;
    for (auto& worker : workers_) {
      wake = std::min(wake, worker->Advance(now));
    }
    worker_loop_.Poll(std::max<Micros>(wake - MonotonicMicros(), 0));
  }
}

bool LoopbackDeployment::WaitUntilServing() {
  const int expected_slots = static_cast<int>(options_.failure_domains.size()) *
                             options_.workers_per_domain * options_.slots;
  for (int i = 0; i < kMaxReadyPolls; ++i) {
    int leased = 0;
    bool serving = true;
    for (const std::string& name : names_) {
      BlockingRequest request;
      request.path = "/metrics";
      const std::string text = Request(name, request).body;
      const std::string key = "\ngoldcrest_leased_slots ";
      const size_t at = text.find(key);
      leased += at == std::string::npos
                    ? 0
                    : std::stoi(text.substr(at + key.size(), 12));
      request.path = "/healthz";
      serving = serving && Request(name, request).status == 200;
    }
    if (serving && leased >= expected_slots) {
      return true;
    }
    std::this_thread::sleep_for(kReadyPollPause);
  }
  return false;
}

std::string LoopbackDeployment::AddressOf(const std::string& vm) const {
  return vms_.at(vm).http_address;
}

void LoopbackDeployment::Kill(const std::string& vm) {
  Vm& stopped_vm = vms_.at(vm);
  if (stopped_vm.daemon == nullptr) {
    return;
  }
  stopped_vm.daemon->Stop();
  WaitForEnd(vm);
}

void LoopbackDeployment::Restart(const std::string& vm) {
  StartDaemon(vm);
}

void LoopbackDeployment::Drain(const std::string& vm) {
  vms_.at(vm).daemon->RequestDrain();
}

void LoopbackDeployment::WaitForEnd(const std::string& vm) {
  Vm& stopped_vm = vms_.at(vm);
  stopped_vm.thread.join();
  stopped_vm.daemon.reset();
}

void LoopbackDeployment::CutDomain(const std::string& failure_domain) {
  const auto inside = [this, failure_domain](const std::string& vm) {
    return vms_.at(vm).failure_domain == failure_domain;
  };
  relays_.Cut([inside](const std::string& from, const std::string& to) {
    return inside(from) != inside(to);
  });
}

void LoopbackDeployment::CutVm(const std::string& vm) {
  relays_.Cut([vm](const std::string& from, const std::string& to) {
    return from == vm || to == vm;
  });
}

void LoopbackDeployment::Heal() {
  relays_.Cut([](const std::string&, const std::string&) { return false; });
}

BlockingResponse LoopbackDeployment::Request(const std::string& vm,
                                             const BlockingRequest& options) {
  BlockingRequest request = options;
  request.server = AddressOf(vm);
  return SendBlockingRequest(request).value_or(BlockingResponse());
}

BlockingResponse LoopbackDeployment::Submit(const std::string& vm,
                                            const std::string& body) {
  BlockingRequest request;
  request.method = "POST";
  request.path = "/v1/jobs";
  request.body = body;
  request.timeout_ms = 30'000;
  return Request(vm, request);
}

std::vector<AttemptLogLine> LoopbackDeployment::ReadAttemptLog() const {
  std::vector<AttemptLogLine> lines;
  std::ifstream file(LogPath());
  for (std::string line; std::getline(file, line);) {
    lines.push_back({JsonField(line, "event"), JsonField(line, "task_id")});
  }
  return lines;
}

std::map<std::string, int> LoopbackDeployment::AttemptsPerTask() const {
  std::map<std::string, int> starts;
  for (const AttemptLogLine& line : ReadAttemptLog()) {
    if (line.event == "start") {
      ++starts[line.task_id];
    }
  }
  return starts;
}

std::string SubmissionBody(const SubmissionBodyOptions& options) {
  std::string tasks;
  for (int i = 0; i < options.tasks; ++i) {
    tasks += (i > 0 ? "," : "") + std::string("{\"run_ms\":") +
             std::to_string(options.run_ms) +
             ",\"payload\":\"sleep:" + std::to_string(options.run_ms) +
             ";out:answer " + std::to_string(i) + "\"}";
  }
  return "{\"submission_id\":\"" + options.submission_id +
         "\",\"caller\":\"test\",\"team\":\"peal\",\"kind\":\"" + options.kind +
         "\",\"home\":\"" + options.home + "\",\"tasks\":[" + tasks + "]}";
}

std::string CompleteAnswersJson(int tasks) {
  std::string answers;
  for (int i = 0; i < tasks; ++i) {
    answers += (i > 0 ? "," : "") + std::string("{\"index\":") +
               std::to_string(i) + ",\"output\":\"answer " + std::to_string(i) +
               "\"}";
  }
  return "\"answers\":[" + answers + "]";
}

}  // namespace goldcrest
