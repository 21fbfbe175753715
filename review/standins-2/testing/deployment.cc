#include "review/standins-2/testing/deployment.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace goldcrest {
namespace {

const std::vector<std::string> kDomains = {"a", "b", "c"};
constexpr char kControlPort[] = ":8166";
constexpr char kCallersPort[] = ":8161";
constexpr char kReadinessPort[] = ":8167";
constexpr char kMeshPort[] = ":7720";
constexpr char kWorkerPort[] = ":8080";
constexpr char kHost[] = "desk.example";
constexpr int64_t kTaskCpuMillis = 1000;
constexpr Micros kLoopPeriod = 2 * kMillisecond;
constexpr Micros kCloseStalePeriod = 50 * kMillisecond;
constexpr Micros kChangeTime = 25 * kSecond;

// Set by SIGTERM and SIGINT: the case ends, and with it all its processes.
volatile std::sig_atomic_t stop_requested = 0;

void RequestStop(int /*signal*/) {
  stop_requested = 1;
}

std::string Replaced(std::string text,
                     const std::string& name,
                     const std::string& value) {
  for (size_t at = text.find(name); at != std::string::npos;
       at = text.find(name, at + value.size())) {
    text.replace(at, name.size(), value);
  }
  return text;
}

// Leaves out the lines with placeholders that the cases have no value for: the
// programs' defaults apply.
std::string WithoutUnfilledLines(const std::string& text) {
  std::istringstream lines(text);
  std::string filled;
  std::string line;
  while (std::getline(lines, line)) {
    filled += line.find("{{") == std::string::npos ? line + "\n" : "";
  }
  return filled;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

Record::Record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w")), began_at_(MonotonicMicros()) {}

Record::~Record() {
  if (file_ != nullptr) {
    std::fclose(file_);
  }
}

void Record::Write(const std::string& line) {
  const Micros since = MonotonicMicros() - began_at_;
  const std::string text =
      std::to_string(since / kMillisecond) + " ms  " + line + "\n";
  if (file_ != nullptr) {
    std::fputs(text.c_str(), file_);
    std::fflush(file_);
  }
  std::fputs(text.c_str(), stdout);
}

// Records the starts and stops that workers are ordered.
class Deployment::RecordingWire : public platform::PlatformSoakWire {
 public:
  explicit RecordingWire(Record& record) : record_(record) {}

  std::optional<WorkerOrder> DecodeOrder(
      const HttpRequest& request) const override {
    auto order = PlatformSoakWire::DecodeOrder(request);
    if (order && order->kind != OrderKind::kRenew) {
      record_.Write(
          order->worker +
          (order->kind == OrderKind::kStart ? " is ordered to start "
                                            : " is ordered to stop ") +
          ToString(order->task) + " run " + std::to_string(order->attempt) +
          ", fencing token " + std::to_string(order->token));
    }
    return order;
  }

 private:
  Record& record_;
};

Deployment::Deployment(const DeploymentOptions& options)
    : options_(options),
      record_(options.record),
      network_(20 + static_cast<int>(getpid() % 200)),
      wire_(std::make_unique<RecordingWire>(record_)),
      client_(loop_, HttpClientOptions()) {
  std::signal(SIGTERM, RequestStop);
  std::signal(SIGINT, RequestStop);
  std::filesystem::create_directories(options_.folder);
  for (const std::string& domain : kDomains) {
    for (const bool is_control : {true, false}) {
      daemons_.push_back(MakeDaemon(domain, is_control));
    }
  }
}

Deployment::~Deployment() = default;

Daemon Deployment::MakeDaemon(const std::string& domain, bool is_control) {
  const std::string net = "127." + std::to_string(network_);
  const std::string host = std::to_string(next_host_++);
  Daemon daemon;
  daemon.name = (is_control ? "control-" : "entry-") + domain + host;
  daemon.domain = domain;
  daemon.is_control = is_control;
  daemon.ip = net + ".1." + host;
  daemon.relay_ip = net + ".0." + host;
  relays_.AddAt(daemon.relay_ip + kMeshPort, daemon.ip, daemon.ip + kMeshPort);
  return daemon;
}

std::string Deployment::DiskOf(const Daemon& daemon) const {
  return options_.folder + "/" + daemon.name + "-disk";
}

// Returns the filled template of the deploy file, with the address at which the
// daemon listens behind its relay.
std::string Deployment::SettingsOf(const Daemon& daemon,
                                   bool first_start) const {
  std::string seeds;
  for (const Daemon& seed : daemons_) {
    if (seed.is_control && !seed.is_lost) {
      seeds += (seeds.empty() ? "" : ",") + seed.relay_ip + kControlPort;
    }
  }
  const std::string file =
      daemon.is_control ? "/deploy/control.flags" : "/deploy/entry.flags";
  std::string text = ReadFile(options_.root + file);
  const std::vector<std::pair<std::string, std::string>> values = {
      {"{{#bounds.grace_s}}", ""},
      {"{{/bounds.grace_s}}", ""},
      {"{{#bounds.hold_max_ms}}", ""},
      {"{{/bounds.hold_max_ms}}", ""},
      {"{{bounds.grace_s}}", "6"},
      {"{{bounds.hold_max_ms}}", "1000"},
      {"{{node_name}}", daemon.name},
      {"{{zone}}", daemon.domain},
      {"{{ip}}", daemon.relay_ip},
      {"{{internal_ports.0}}", std::string(kMeshPort + 1)},
      {"{{seeds}}", seeds},
      {"{{listen.control}}", daemon.ip + kControlPort},
      {"{{listen.front}}", daemon.ip + kCallersPort},
      {"{{listen.readiness}}", daemon.ip + kReadinessPort},
      {"{{data_dir}}", DiskOf(daemon)},
      {"{{bootstrap}}", first_start ? "true" : "false"},
      {"{{fault_tolerance.machines}}", "1"}};
  for (const auto& [name, value] : values) {
    text = Replaced(text, name, value);
  }
  return WithoutUnfilledLines(text) + "--mesh_bind=" + daemon.ip + kMeshPort +
         "\n";
}

void Deployment::StartDaemon(Daemon& daemon, bool first_start) {
  const std::string settings = options_.folder + "/" + daemon.name + ".flags";
  std::ofstream(settings) << SettingsOf(daemon, first_start);
  std::filesystem::create_directories(DiskOf(daemon));
  ::setenv("GOLDCRESTPLANK_NODE_FILE", settings.c_str(), 1);
  const std::string program = options_.root + "/target/goldcrest_" +
                              (daemon.is_control ? "control" : "entry");
  daemon.process =
      processes_.Start({program}, options_.folder + "/" + daemon.name + ".log");
  ::unsetenv("GOLDCRESTPLANK_NODE_FILE");
}

bool Deployment::Start() {
  for (Daemon& daemon : daemons_) {
    StartDaemon(daemon, true);
  }
  for (const std::string& service : options_.services) {
    AddWorkers(service);
  }
  if (!Configure(3, options_.routes)) {
    return false;
  }
  Run(3 * kSecond);
  for (size_t i = 0; i < kDomains.size(); ++i) {
    const Answer& first =
        Submit(entry(i), "00000000000000f" + std::to_string(i), 100, 1500);
    RunUntil(3 * kSecond, [&] { return first.done; });
    if (first.status != 200) {
      return false;
    }
  }
  return true;
}

void Deployment::AddWorkers(const std::string& service) {
  SoakWorkersOptions options;
  options.service = service;
  std::vector<SoakWorkerConfig> places;
  for (size_t i = 0; i < kDomains.size(); ++i) {
    options.control_addresses.push_back(control(i).ip + kControlPort);
  }
  for (size_t i = options_.has_late_worker ? 1 : 0; i < kDomains.size(); ++i) {
    for (int w = 0; w < options_.workers_per_domain; ++w) {
      SoakWorkerConfig place;
      place.id = service + "-" + kDomains[i] + std::to_string(w);
      place.domain = kDomains[i];
      place.listen_address = "127." + std::to_string(network_) + ".2." +
                             std::to_string(next_worker_host_++) + kWorkerPort;
      place.advertised_address = place.listen_address;
      places.push_back(place);
    }
  }
  if (options_.has_late_worker) {
    const std::string ip = "127." + std::to_string(network_) + ".2." +
                           std::to_string(next_worker_host_++);
    late_worker_ = std::make_unique<LateWorker>(
        loop_, *wire_,
        LateWorkerOptions{service + "-late", service, kDomains[0],
                          ip + kWorkerPort, options.control_addresses});
  }
  workers_[service] = std::make_unique<SoakWorkers>(
      loop_, *wire_, options, places,
      [](const std::string& address) { return address; });
}

bool Deployment::Configure(uint64_t version, const std::vector<Route>& routes) {
  wire::Routing routing;
  routing.set_version(version);
  for (const std::string& service : options_.services) {
    routing.add_services(service);
  }
  for (const Route& route : routes) {
    wire::Queue& queue = *routing.add_queues();
    queue.set_name(route.name);
    queue.set_host(kHost);
    queue.set_path_prefix(route.path_prefix);
    queue.set_service(route.service);
    queue.set_timeout_ms(static_cast<uint32_t>(options_.timeout_ms));
    queue.set_target_ms(60);
    queue.set_max_attempts(3);
    queue.set_stretch(1.6);
  }
  const Micros until = MonotonicMicros() + kChangeTime;
  for (size_t i = 0; MonotonicMicros() < until; ++i) {
    HttpCall call = wire_->EncodeChangeCall(routing);
    call.address = control(i % kDomains.size()).ip + kControlPort;
    call.timeout = kSecond;
    Answer& answer = *answers_.emplace_back(std::make_unique<Answer>());
    const std::string line = "the configuration " + call.body;
    Call(std::move(call), line, answer);
    RunUntil(3 * kSecond, [&] { return answer.done; });
    if (answer.status == 200) {
      return true;
    }
    if (answer.status / 100 == 4) {
      return false;
    }
    Run(300 * kMillisecond);
  }
  return false;
}

bool Deployment::RunUntil(Micros duration, const std::function<bool()>& done) {
  const Micros until = MonotonicMicros() + duration;
  while (!done()) {
    if (stop_requested != 0) {
      throw std::runtime_error("stopped by a signal");
    }
    const Micros now = MonotonicMicros();
    if (now >= until) {
      return false;
    }
    loop_.Poll(kLoopPeriod);
    for (const auto& [service, workers] : workers_) {
      workers->Advance(MonotonicMicros());
    }
    if (late_worker_) {
      late_worker_->Advance(MonotonicMicros());
    }
    if (now >= close_stale_at_) {
      close_stale_at_ = now + kCloseStalePeriod;
      client_.CloseStale(loop_.polled_at());
    }
  }
  return true;
}

void Deployment::Run(Micros duration) {
  RunUntil(duration, [] { return false; });
}

void Deployment::Call(HttpCall call, const std::string& line, Answer& answer) {
  record_.Write(line + " is sent to " + call.address);
  client_.Call(
      call, [this, &answer, line](CallEnd end, const HttpResponse& response) {
        answer.done = true;
        answer.status = end == CallEnd::kResponse ? response.status : 0;
        answer.at = MonotonicMicros();
        record_.Write(line + " is answered " + std::to_string(answer.status) +
                      " " + response.body);
      });
}

const Answer& Deployment::Submit(const Daemon& entry,
                                 const std::string& id,
                                 int64_t run_ms,
                                 int64_t timeout_ms,
                                 const std::string& path_prefix) {
  SoakJob job;
  job.id = id;
  job.host = kHost;
  job.path_prefix = path_prefix;
  job.run_ms = run_ms;
  job.timeout_ms = timeout_ms;
  job.cpu_millis = kTaskCpuMillis;
  HttpCall call = wire_->EncodeSubmitCall(job);
  call.address = entry.ip + kCallersPort;
  call.timeout = timeout_ms * kMillisecond;
  Answer& answer = *answers_.emplace_back(std::make_unique<Answer>());
  Call(std::move(call), "job " + path_prefix + id, answer);
  return answer;
}

const Answer& Deployment::Cancel(const Daemon& entry, const std::string& id) {
  SoakJob job;
  job.id = id;
  job.host = kHost;
  job.path_prefix = kPrefix;
  HttpCall call = wire_->EncodeCancelCall(job);
  call.address = entry.ip + kCallersPort;
  call.timeout = 3 * kSecond;
  Answer& answer = *answers_.emplace_back(std::make_unique<Answer>());
  Call(std::move(call), "the cancelling of job " + id, answer);
  return answer;
}

void Deployment::Lose(Daemon& daemon) {
  record_.Write(daemon.name + " at " + daemon.ip + " is lost for good");
  processes_.Signal(daemon.process, SIGKILL);
  daemon.is_lost = true;
}

void Deployment::AddControl(const std::string& domain) {
  daemons_.push_back(MakeDaemon(domain, true));
  Daemon& daemon = daemons_.back();
  record_.Write(daemon.name + " starts at " + daemon.ip + ", its disk empty");
  StartDaemon(daemon, false);
}

void Deployment::BlockAllFrom(const Daemon& daemon) {
  record_.Write("what " + daemon.name + " sends to other daemons is held up");
  relays_.SetStates(
      [ip = daemon.ip](const std::string& client, const std::string& server) {
        RelayState state;
        state.block_from_client = client == ip;
        state.block_to_client = server == ip;
        return state;
      });
}

void Deployment::Unblock() {
  record_.Write("all links are whole again");
  relays_.SetStates(
      [](const std::string&, const std::string&) { return RelayState(); });
}

void Deployment::ResetAllFrom(const Daemon& daemon) {
  record_.Write("the channels that " + daemon.name +
                " has opened to other daemons are reset");
  relays_.Reset([&](const std::string& client, const std::string& /*server*/) {
    return client == daemon.ip;
  });
}

int Deployment::CountRunning(const std::string& job_id) {
  int running = 0;
  for (const auto& [service, workers] : workers_) {
    for (const FakeWorker& worker : workers->model().all) {
      const bool runs = std::any_of(
          worker.attempts.begin(), worker.attempts.end(),
          [&](const auto& run) { return run.first.job_id == job_id; });
      running += runs ? 1 : 0;
    }
  }
  running += late_worker_ && late_worker_->Runs(job_id) ? 1 : 0;
  return running;
}

std::set<std::string> Deployment::ServicesThatStarted(
    const std::string& job_id) {
  std::set<std::string> services;
  for (const auto& [service, workers] : workers_) {
    for (const auto& [task, record] : workers->model().tasks) {
      if (task.job_id == job_id && record.starts > 0) {
        services.insert(service);
      }
    }
  }
  return services;
}

std::string Argument(int argc,
                     char** argv,
                     const std::string& name,
                     const std::string& fallback) {
  const std::string prefix = "--" + name + "=";
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    if (argument.starts_with(prefix)) {
      return argument.substr(prefix.size());
    }
  }
  return fallback;
}

}  // namespace goldcrest
