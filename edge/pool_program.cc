#include "edge/pool_program.h"

#include <sys/stat.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <gflags/gflags.h>

#include "edge/build_info.h"
#include "edge/control_daemon.h"
#include "edge/entry_daemon.h"
#include "edge/logging.h"
#include "edge/settings.h"
#include "edge/stop_signals.h"
#include "goldcrest/digest.h"

DEFINE_string(name, "vm1", "Name of this VM.");
DEFINE_string(domain, "local", "Failure domain of this VM.");
DEFINE_string(ip,
              "127.0.0.1",
              "IP address at which other daemons reach this VM.");
DEFINE_uint64(mesh_port,
              7720,
              "Mesh port for other daemons; must be the same on all VMs.");
DEFINE_string(
    mesh_bind,
    "",
    "IP:PORT at which this daemon listens for other daemons, and from "
    "whose IP it connects to them, if --ip is forwarded to this VM, for "
    "example by a NAT or a proxy; empty: --ip and --mesh_port.");
DEFINE_string(
    seeds,
    "",
    "Comma-separated IP:PORT of the control daemons to contact first. "
    "PORT is that of their --control_address; --mesh_port is used "
    "as their mesh port.");
DEFINE_string(callers_address,
              "",
              "IP:PORT that serves callers (entry daemon).");
DEFINE_string(readiness_address,
              "",
              "IP:PORT that serves the load balancer's readiness probe (entry "
              "daemon).");
DEFINE_string(control_address,
              "",
              "IP:PORT that serves operators and workers (control daemon).");
DEFINE_string(disk, "", "Data folder (control daemon).");
DEFINE_bool(first_start,
            false,
            "This is the first start of the whole deployment: the control "
            "daemons in --seeds become the initial voters, the group that "
            "agrees on the configuration.");
DEFINE_int32(
    tolerated_losses,
    1,
    "Number of control VMs, with their disks, whose simultaneous loss is "
    "tolerated.");
DEFINE_bool(placement_lookahead,
            false,
            "Placement reserves capacity for tasks that wait long, and fills "
            "the remaining capacity of workers with tasks that fit.");
DEFINE_bool(overload_control,
            false,
            "Under overload, capacity is divided by priority and shares, and "
            "jobs that cannot be served any more are refused at once.");
DEFINE_int32(queue_floor_percent,
             0,
             "Part of the capacity, in percent, that --overload_control "
             "divides among the queues by demand; 0 to 50.");
DEFINE_int32(standby_after_ms,
             0,
             "Time without a message of any control daemon after which an "
             "entry daemon prepares to order workers itself; 0 for the "
             "default timeouts, or 200 to 5000.");
DEFINE_int32(hold_requests_ms,
             0,
             "Time for which an entry daemon holds a request that it cannot "
             "serve yet, at the beginning of an outage; 0 to 1000.");
DEFINE_bool(run_times_by_worker,
            false,
            "Run times are learned for each worker, not only for each kind "
            "of worker.");
DEFINE_double(stop_grace_s,
              6,
              "Time from SIGTERM until the platform kills the process, in "
              "seconds; 3 to 3600. Everything that was taken is answered "
              "shortly before.");
DEFINE_int32(task_crash_limit,
             2,
             "Workers that may crash under one task before its job fails; 2 "
             "to 10.");
DEFINE_int32(crash_away_percent,
             25,
             "Part of a control daemon's workers, in percent, that may be away "
             "because tasks of a queue crash them, before the queue's tasks "
             "wait; 1 to 100.");
DEFINE_int32(longest_granted_lease_ms,
             1000,
             "Longest lease that a worker grants, whatever an order asks for, "
             "in milliseconds (100 to 60000).");
DEFINE_int32(longest_order_delay_ms,
             12000,
             "An order without an answer may be carried out until this long "
             "after it was sent, in milliseconds (0 to 600000). Its task waits "
             "for as long while the worker is silent.");
DEFINE_uint64(memory_mb,
              256,
              "Memory that this process may use, in MiB (32 to 1048576). It "
              "bounds what the process holds for its clients.");
DEFINE_uint64(max_descriptors,
              0,
              "Descriptors that this process may open (256 to 1048576); 0: the "
              "limit of the process. They bound the connections of clients.");
DEFINE_uint64(metrics_port, 0, "Port that serves the metrics page; 0: none.");
DEFINE_string(log, "info", "Lowest level logged: debug, info, warning, error.");

namespace goldcrest {
namespace {

constexpr Micros kReloadPeriod = 1 * kSecond;
// Begins a placeholder of the template of a settings file.
constexpr std::string_view kPlaceholder = "{{";
// One crash may be a neighbour's, so it takes two to judge a task.
constexpr int kMinTaskCrashLimit = 2;
constexpr int kMinGrantedLeaseMs = 100;
constexpr int kMaxGrantedLeaseMs = 60'000;
constexpr int kMaxOrderDelayMs = 600'000;
constexpr int kMaxTaskCrashLimit = 10;
constexpr int32_t kMaxToleratedLosses = 10;
constexpr uint64_t kMaxPort = 65535;
constexpr int32_t kMaxQueueFloorPercent = 50;
constexpr int32_t kMaxHoldRequestsMs = 1000;
constexpr int32_t kMinStandbyAfterMs = 200;
constexpr int32_t kMaxStandbyAfterMs = 5000;
// The end of the loop and of the process takes up to 0.7 s of it.
constexpr double kMinStopGraceS = 3;
constexpr double kMaxStopGraceS = 3600;

// Returns the description of a program whose flags are those of this file.
ProgramInfo MakeProgramInfo(const std::string& name,
                            const std::string& summary) {
  return {name, summary, name + " [--name=value ...]", "pool_program.cc"};
}

// Returns the arguments in a settings file, one per line, without empty lines,
// comments, and lines with a placeholder that the platform has no value for:
// their flags have their defaults.
std::vector<std::string> ParseSettingsLines(const std::string& text) {
  std::vector<std::string> arguments;
  std::istringstream stream(text);
  std::string line;
  while (std::getline(stream, line)) {
    const size_t first = line.find_first_not_of(" \t\r");
    if (first == std::string::npos || line[first] == '#' ||
        line.find(kPlaceholder) != std::string::npos) {
      continue;
    }
    const size_t last = line.find_last_not_of(" \t\r");
    arguments.push_back(line.substr(first, last - first + 1));
  }
  return arguments;
}

// Logs the lines of a settings file that have a placeholder left.
void LogUnfilledLines(const std::string& text) {
  std::istringstream stream(text);
  std::string line;
  while (std::getline(stream, line)) {
    if (line.find(kPlaceholder) != std::string::npos) {
      WriteLog({LogLevel::kWarning, "setting_not_filled", {{"line", line}}});
    }
  }
}

// Reads the flags in the settings file, then those on the command line, and
// starts logging. Ends the program with kExitUsage on any error.
void ReadAllSettings(const ProgramInfo& program,
                     int argc,
                     char** argv,
                     const std::string& settings_file) {
  std::vector<std::string> arguments = {argv[0]};
  const std::string settings =
      settings_file.empty() ? "" : ReadFileOrFail(program, settings_file);
  for (std::string& argument : ParseSettingsLines(settings)) {
    arguments.push_back(std::move(argument));
  }
  arguments.insert(arguments.end(), argv + 1, argv + argc);
  std::vector<char*> pointers;
  pointers.reserve(arguments.size());
  for (std::string& argument : arguments) {
    pointers.push_back(argument.data());
  }
  const auto positional =
      ReadSettings(program, static_cast<int>(pointers.size()), pointers.data());
  if (!positional.empty()) {
    FailUsage(program, "unexpected argument '" + positional.front() + "'");
  }
  if (!StartLogging(FLAGS_log, {{"vm", FLAGS_name}})) {
    FailUsage(program, "--log: '" + FLAGS_log +
                           "' is not debug, info, warning or error");
  }
  LogUnfilledLines(settings);
}

// Returns `value`. Ends the program with kExitUsage if it is not IP:PORT.
std::string AddressOrFail(const ProgramInfo& program,
                          const std::string& flag,
                          const std::string& value) {
  if (!IsAddress(value)) {
    FailUsage(program, "--" + flag + ": '" + value + "' is not IP:PORT");
  }
  return value;
}

// Returns the mesh address of the VM whose other address is "ip:port".
std::string ToMeshAddress(const std::string& address) {
  return address.substr(0, address.find(':')) + ':' +
         std::to_string(FLAGS_mesh_port);
}

std::vector<std::string> MeshSeeds(const std::vector<std::string>& seeds) {
  std::vector<std::string> mesh;
  mesh.reserve(seeds.size());
  for (const std::string& seed : seeds) {
    mesh.push_back(ToMeshAddress(seed));
  }
  return mesh;
}

// Returns the mesh options from the flags. The incarnation is the current wall
// clock in milliseconds, so that it differs for each start.
MeshOptions ReadMeshOptions(const ProgramInfo& program) {
  if (FLAGS_mesh_port == 0 || FLAGS_mesh_port > kMaxPort ||
      FLAGS_metrics_port > kMaxPort) {
    FailUsage(
        program,
        "--mesh_port must be in 1 to 65535, --metrics_port in 0 to 65535");
  }
  MeshOptions mesh;
  mesh.self = AddressOrFail(program, "ip", ToMeshAddress(FLAGS_ip));
  mesh.incarnation = static_cast<uint64_t>(ReadClock().wall_ms);
  mesh.failure_domain = FLAGS_domain;
  mesh.seeds = MeshSeeds(AddressesOrFail(program, "seeds", FLAGS_seeds));
  return mesh;
}

// Returns the optional features from the flags.
PoolFeatures ReadFeatures(const ProgramInfo& program) {
  if (FLAGS_queue_floor_percent < 0 ||
      FLAGS_queue_floor_percent > kMaxQueueFloorPercent) {
    FailUsage(program, "--queue_floor_percent: not in 0 to 50");
  }
  if (FLAGS_standby_after_ms != 0 &&
      (FLAGS_standby_after_ms < kMinStandbyAfterMs ||
       FLAGS_standby_after_ms > kMaxStandbyAfterMs)) {
    FailUsage(program, "--standby_after_ms: not 0 or in 200 to 5000");
  }
  if (FLAGS_hold_requests_ms < 0 ||
      FLAGS_hold_requests_ms > kMaxHoldRequestsMs) {
    FailUsage(program, "--hold_requests_ms: not in 0 to 1000");
  }
  PoolFeatures features;
  features.placement_lookahead = FLAGS_placement_lookahead;
  features.overload_control = FLAGS_overload_control;
  features.queue_floor_percent = FLAGS_queue_floor_percent;
  features.standby_after = FLAGS_standby_after_ms * kMillisecond;
  features.run_times_by_worker = FLAGS_run_times_by_worker;
  return features;
}

Micros ReadStopGrace(const ProgramInfo& program) {
  if (!(FLAGS_stop_grace_s >= kMinStopGraceS &&
        FLAGS_stop_grace_s <= kMaxStopGraceS)) {
    FailUsage(program, "--stop_grace_s: not in 3 to 3600");
  }
  return static_cast<Micros>(FLAGS_stop_grace_s * static_cast<double>(kSecond));
}

CrashOptions ReadCrashOptions(const ProgramInfo& program) {
  if (FLAGS_task_crash_limit < kMinTaskCrashLimit ||
      FLAGS_task_crash_limit > kMaxTaskCrashLimit) {
    FailUsage(program, "--task_crash_limit: not in 2 to 10");
  }
  if (FLAGS_crash_away_percent < 1 || FLAGS_crash_away_percent > 100) {
    FailUsage(program, "--crash_away_percent: not in 1 to 100");
  }
  return {FLAGS_task_crash_limit, FLAGS_crash_away_percent};
}

LateOrderBounds ReadLateOrderBounds(const ProgramInfo& program) {
  if (FLAGS_longest_granted_lease_ms < kMinGrantedLeaseMs ||
      FLAGS_longest_granted_lease_ms > kMaxGrantedLeaseMs) {
    FailUsage(program, "--longest_granted_lease_ms: not in 100 to 60000");
  }
  if (FLAGS_longest_order_delay_ms < 0 ||
      FLAGS_longest_order_delay_ms > kMaxOrderDelayMs) {
    FailUsage(program, "--longest_order_delay_ms: not in 0 to 600000");
  }
  return {FLAGS_longest_granted_lease_ms * kMillisecond,
          FLAGS_longest_order_delay_ms * kMillisecond};
}

std::string ReadMeshBind(const ProgramInfo& program) {
  return FLAGS_mesh_bind.empty()
             ? ""
             : AddressOrFail(program, "mesh_bind", FLAGS_mesh_bind);
}

std::string MetricsAddress() {
  return FLAGS_metrics_port == 0
             ? ""
             : FLAGS_ip + ':' + std::to_string(FLAGS_metrics_port);
}

void LogStart(const ProgramInfo& program, const MeshOptions& mesh) {
  WriteLog({LogLevel::kInfo,
            "daemon_started",
            {{"program", program.name},
             {"version", std::string(ProductVersion())},
             {"source", std::string(SourceDigest())},
             {"mesh", mesh.self},
             {"incarnation", std::to_string(mesh.incarnation)},
             {"domain", mesh.failure_domain},
             {"seeds", FLAGS_seeds},
             {"first_start", FLAGS_first_start ? "1" : "0"},
             {"stop_grace_s", std::to_string(FLAGS_stop_grace_s)},
             {"memory_mb", std::to_string(FLAGS_memory_mb)},
             {"max_descriptors", std::to_string(FLAGS_max_descriptors)},
             {"task_crash_limit", std::to_string(FLAGS_task_crash_limit)},
             {"crash_away_percent", std::to_string(FLAGS_crash_away_percent)},
             {"longest_granted_lease_ms",
              std::to_string(FLAGS_longest_granted_lease_ms)},
             {"longest_order_delay_ms",
              std::to_string(FLAGS_longest_order_delay_ms)},
             {"disk", FLAGS_disk.empty() ? "none" : FLAGS_disk}}});
}

// Returns the mesh addresses of the seeds in a settings file, without invalid
// ones. Empty if the file cannot be read or has no seeds.
std::vector<std::string> SeedsInFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  constexpr std::string_view kPrefix = "--seeds=";
  for (const std::string& argument : ParseSettingsLines(text.str())) {
    if (!argument.starts_with(kPrefix)) {
      continue;
    }
    std::vector<std::string> seeds = SplitList(argument.substr(kPrefix.size()));
    std::erase_if(seeds, [](const auto& seed) { return !IsAddress(seed); });
    return MeshSeeds(seeds);
  }
  return {};
}

// Polls the settings file for new --seeds, so that a reload needs no signal.
// Other flags in it are not reloaded.
class SeedsWatcher {
 public:
  explicit SeedsWatcher(std::string path) : path_(std::move(path)) {
    last_stamp_ = ReadStamp();
  }

  // Returns the seeds in the file if it has changed since the last call. Checks
  // at most once per kReloadPeriod.
  std::optional<std::vector<std::string>> PollSeeds(Micros now) {
    if (path_.empty() || now < next_check_) {
      return std::nullopt;
    }
    next_check_ = now + kReloadPeriod;
    const auto stamp = ReadStamp();
    if (stamp == last_stamp_) {
      return std::nullopt;
    }
    last_stamp_ = stamp;
    std::vector<std::string> seeds = SeedsInFile(path_);
    std::string joined;
    for (const std::string& seed : seeds) {
      joined += joined.empty() ? "" : ",";
      joined += seed;
    }
    WriteLog({LogLevel::kInfo, "settings_reloaded", {{"seeds", joined}}});
    return seeds;
  }

 private:
  // Modification time and size; zeros if the file cannot be read.
  struct FileStamp {
    int64_t seconds = 0;
    int64_t nanoseconds = 0;
    int64_t size = 0;
    friend bool operator==(const FileStamp&, const FileStamp&) = default;
  };

  FileStamp ReadStamp() const {
    struct stat info = {};
    if (path_.empty() || stat(path_.c_str(), &info) != 0) {
      return {};
    }
    return {info.st_mtim.tv_sec, info.st_mtim.tv_nsec, info.st_size};
  }

  std::string path_;
  FileStamp last_stamp_;
  Micros next_check_ = 0;
};

// Starts a daemon, runs it until it is drained and returns the exit code.
template <typename DaemonType>
int Serve(const ProgramInfo& program,
          DaemonType& daemon,
          const std::string& settings_file) {
  const auto started = daemon.Start();
  if (!started) {
    WriteLog({LogLevel::kError, "start_failed", {{"error", started.error()}}});
    std::cerr << program.name << ": " << started.error() << "\n";
    return kExitFailure;
  }
  WriteLog({LogLevel::kInfo, "daemon_listening", {{"program", program.name}}});
  SeedsWatcher watcher(settings_file);
  daemon.SetTickHandler([&](Mesh& mesh, Micros now) {
    const auto seeds = watcher.PollSeeds(now);
    if (seeds) {
      AddSeeds(mesh, *seeds);
    }
  });
  {
    const StopSignalWatcher signals([&] { daemon.RequestDrain(); });
    daemon.Run();
  }
  WriteLog({LogLevel::kInfo, "daemon_stopped", {{"program", program.name}}});
  return kExitOk;
}

}  // namespace

int RunEntryProgram(int argc,
                    char** argv,
                    const std::string& settings_file,
                    const CallerProtocol& callers,
                    const WorkerProtocol& workers) {
  BlockStopSignals();
  const ProgramInfo program = MakeProgramInfo(
      "goldcrest_entry",
      "Accepts callers' jobs and forwards them to control daemons.");
  ReadAllSettings(program, argc, argv, settings_file);
  EntryDaemonOptions options;
  options.callers_address =
      AddressOrFail(program, "callers_address", FLAGS_callers_address);
  options.readiness_address =
      AddressOrFail(program, "readiness_address", FLAGS_readiness_address);
  options.metrics_address = MetricsAddress();
  options.machine =
      ReadMachineLimits(program, FLAGS_memory_mb, FLAGS_max_descriptors);
  options.mesh = ReadMeshOptions(program);
  options.entry.features = ReadFeatures(program);
  options.entry.stop_grace = ReadStopGrace(program);
  options.entry.crashes = ReadCrashOptions(program);
  options.entry.late_orders = ReadLateOrderBounds(program);
  options.entry.hold_requests = FLAGS_hold_requests_ms * kMillisecond;
  options.mesh_bind = ReadMeshBind(program);
  LogStart(program, options.mesh);
  EntryDaemon daemon(options, callers, workers);
  return Serve(program, daemon, settings_file);
}

int RunControlProgram(int argc,
                      char** argv,
                      const std::string& settings_file,
                      const ControlProtocol& control,
                      const WorkerProtocol& workers) {
  BlockStopSignals();
  const ProgramInfo program =
      MakeProgramInfo("goldcrest_control",
                      "Runs jobs on workers and stores the configuration.");
  ReadAllSettings(program, argc, argv, settings_file);
  if (FLAGS_tolerated_losses < 0 ||
      FLAGS_tolerated_losses > kMaxToleratedLosses) {
    FailUsage(program, "--tolerated_losses: not in 0 to 10");
  }
  if (FLAGS_disk.empty()) {
    FailUsage(program, "--disk: a control daemon needs a data folder");
  }
  ControlDaemonOptions options;
  options.control_address =
      AddressOrFail(program, "control_address", FLAGS_control_address);
  options.metrics_address = MetricsAddress();
  options.machine =
      ReadMachineLimits(program, FLAGS_memory_mb, FLAGS_max_descriptors);
  options.data_dir = FLAGS_disk;
  PoolStartParams& start = options.start;
  start.mesh = ReadMeshOptions(program);
  start.options.features = ReadFeatures(program);
  start.options.max_known_workers = ShareForWorkers(options.machine);
  start.options.stop_grace = ReadStopGrace(program);
  start.options.crashes = ReadCrashOptions(program);
  start.options.late_orders = ReadLateOrderBounds(program);
  options.mesh_bind = ReadMeshBind(program);
  start.mesh.control = true;
  start.mesh.control_address = options.control_address;
  start.agreement.self = start.mesh.self;
  start.agreement.failure_domain = start.mesh.failure_domain;
  start.agreement.tolerated_losses = FLAGS_tolerated_losses;
  start.first_start = FLAGS_first_start;
  start.random_seed =
      StableHash(start.mesh.self + std::to_string(start.mesh.incarnation));
  LogStart(program, start.mesh);
  ControlDaemon daemon(options, control, workers);
  return Serve(program, daemon, settings_file);
}

}  // namespace goldcrest
