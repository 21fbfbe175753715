// goldcrestd: the daemon of an entry VM.

#include <sys/resource.h>

#include <iostream>

#include <gflags/gflags.h>

#include "edge/build_info.h"
#include "edge/daemon.h"
#include "edge/logging.h"
#include "edge/settings.h"
#include "edge/stop_signals.h"
#include "goldcrest/configuration.h"
#include "goldcrest/digest.h"
#include "goldcrest/submission.h"

DEFINE_string(vm, "vm1", "Name of this entry VM.");
DEFINE_string(failure_domain, "local", "Failure domain of this entry VM.");
DEFINE_string(http_address,
              "127.0.0.1:8080",
              "IP:PORT for callers, backend servers and operators.");
DEFINE_string(peer_address,
              "127.0.0.1:8090",
              "IP:PORT for the other entry VMs.");
DEFINE_string(peers,
              "",
              "All entry VMs, this one included, as name/domain/ip:port,... "
              "Empty: this is the only entry VM.");
DEFINE_string(data_dir, "", "Data folder. Empty: this VM has no disk.");
DEFINE_string(configuration,
              "",
              "File with the initial configuration document, used only if no "
              "configuration is in force yet. Empty: the embedded default.");
DEFINE_string(log_level, "info", "debug, info, warning or error.");
DEFINE_uint64(max_body_bytes,
              1048576,
              "Maximum size of a request body, in bytes.");
DEFINE_uint64(max_connections,
              8192,
              "Maximum number of concurrent connections.");
DEFINE_uint64(memory_mb,
              1024,
              "Memory that this process may use, in MiB (32 to 1048576). It "
              "bounds what the process holds for its clients.");
DEFINE_uint64(max_descriptors,
              0,
              "Descriptors that this process may open (256 to 1048576); 0: the "
              "limit of the process. They bound the connections of clients.");
DEFINE_uint64(drain_timeout_ms,
              30000,
              "Timeout of a graceful shutdown, in milliseconds.");
DEFINE_string(placement,
              "slack",
              "Placement policy: slack, or a baseline for comparison: "
              "random, round_robin, least_loaded.");
DEFINE_bool(synced_claims,
            false,
            "Sync a journal record before each claim counts, for comparison. "
            "A single entry VM with a data folder always does.");
DEFINE_uint64(seed, 0, "Seed of random choices. 0: derived from the clock.");

namespace goldcrest {
namespace {

const ProgramInfo kProgram = {
    "goldcrestd",
    "Dispatches sub-second tasks from callers to backend servers. Run one on "
    "each entry VM.",
    "goldcrestd [--name=value ...]",
    "goldcrestd.cc",
};

// File descriptors reserved beyond those for connections.
constexpr size_t kSpareDescriptors = 256;

// A placement policy and its value of --placement.
struct PlacementRow {
  std::string_view name;
  PlacementPolicy policy;
};

constexpr PlacementRow kPlacements[] = {
    {"slack", PlacementPolicy::kSlack},
    {"random", PlacementPolicy::kRandom},
    {"round_robin", PlacementPolicy::kRoundRobin},
    {"least_loaded", PlacementPolicy::kLeastLoaded},
};

void CheckName(const std::string& flag, const std::string& value) {
  if (!IsValidName(value)) {
    FailUsage(kProgram, "--" + flag + ": '" + value + "' is not a name");
  }
}

void CheckAddress(const std::string& flag, const std::string& value) {
  if (!IsAddress(value)) {
    FailUsage(kProgram, "--" + flag + ": '" + value + "' is not IP:PORT");
  }
}

// Returns the deployment given by the flags. Exits if they are inconsistent.
Deployment ReadDeployment(const StepTime& now) {
  CheckName("vm", FLAGS_vm);
  CheckName("failure_domain", FLAGS_failure_domain);
  CheckAddress("http_address", FLAGS_http_address);
  CheckAddress("peer_address", FLAGS_peer_address);
  Deployment deployment;
  deployment.self = FLAGS_vm;
  deployment.failure_domain = FLAGS_failure_domain;
  deployment.http_address = FLAGS_http_address;
  deployment.incarnation = static_cast<uint64_t>(now.wall_ms);
  deployment.has_disk = !FLAGS_data_dir.empty();
  deployment.seed = FLAGS_seed != 0
                        ? FLAGS_seed
                        : StableHash(FLAGS_vm + std::to_string(now.wall_ms));
  if (FLAGS_peers.empty()) {
    deployment.vms = {{FLAGS_vm, FLAGS_failure_domain, FLAGS_peer_address}};
    AssignRoles(deployment);
    return deployment;
  }
  auto peers = ParsePeers(FLAGS_peers);
  if (!peers) {
    FailUsage(kProgram, "--peers: " + peers.error());
  }
  deployment.vms = *peers;
  for (const EntryVm& vm : deployment.vms) {
    CheckAddress("peers", vm.peer_address);
  }
  AssignRoles(deployment);
  const EntryVm* self = deployment.Find(FLAGS_vm);
  if (self == nullptr) {
    FailUsage(kProgram, "--peers does not list this VM, '" + FLAGS_vm + "'");
  }
  if (self->failure_domain != FLAGS_failure_domain ||
      self->peer_address != FLAGS_peer_address) {
    FailUsage(kProgram, "--peers lists '" + FLAGS_vm +
                            "' with another failure domain or address");
  }
  return deployment;
}

// Returns the initial configuration document. Exits if --configuration is not
// valid.
std::string ReadInitialDocument() {
  if (FLAGS_configuration.empty()) {
    return ConfigurationJson(DefaultConfiguration());
  }
  const auto configuration =
      ParseConfiguration(ReadFileOrFail(kProgram, FLAGS_configuration));
  if (!configuration) {
    const FieldError& error = configuration.error().front();
    FailUsage(kProgram,
              "--configuration: " + error.field + ": " + error.message);
  }
  return ConfigurationJson(*configuration);
}

Tuning ReadTuning(const Deployment& deployment) {
  Tuning tuning;
  tuning.drain_timeout =
      static_cast<Micros>(FLAGS_drain_timeout_ms) * kMillisecond;
  tuning.synced_claims =
      FLAGS_synced_claims || (deployment.IsSingleVm() && deployment.has_disk);
  if (FLAGS_synced_claims && !deployment.has_disk) {
    FailUsage(kProgram, "--synced_claims needs --data_dir");
  }
  for (const PlacementRow& row : kPlacements) {
    if (row.name == FLAGS_placement) {
      tuning.placement = row.policy;
      return tuning;
    }
  }
  FailUsage(kProgram, "--placement: '" + FLAGS_placement +
                          "' is not slack, random, round_robin or "
                          "least_loaded");
}

// Raises the soft limit of open file descriptors to
// 2 * --max_connections + kSpareDescriptors, but not above the hard limit.
void RaiseDescriptorLimit() {
  rlimit limit = {};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return;
  }
  const rlim_t wanted = 2 * FLAGS_max_connections + kSpareDescriptors;
  limit.rlim_cur =
      std::min<rlim_t>(std::max(limit.rlim_cur, wanted), limit.rlim_max);
  setrlimit(RLIMIT_NOFILE, &limit);
}

int RunDaemon(int argc, char** argv) {
  BlockStopSignals();
  const auto rest = ReadSettings(kProgram, argc, argv);
  if (!rest.empty()) {
    FailUsage(kProgram, "unexpected argument '" + rest.front() + "'");
  }
  const StepTime now = ReadClock();
  DaemonOptions options;
  options.deployment = ReadDeployment(now);
  options.tuning = ReadTuning(options.deployment);
  options.data_dir = FLAGS_data_dir;
  options.first_document = ReadInitialDocument();
  options.http.limits.max_body_bytes = FLAGS_max_body_bytes;
  options.http.max_connections = FLAGS_max_connections;
  if (!StartLogging(FLAGS_log_level, {{"vm", FLAGS_vm}})) {
    FailUsage(kProgram, "--log_level: '" + FLAGS_log_level +
                            "' is not debug, info, warning or error");
  }
  RaiseDescriptorLimit();
  options.machine =
      ReadMachineLimits(kProgram, FLAGS_memory_mb, FLAGS_max_descriptors);

  Daemon daemon(options);
  const auto started = daemon.Start();
  if (!started) {
    std::cerr << "goldcrestd: " << started.error() << "\n";
    return kExitFailure;
  }
  WriteLog({LogLevel::kInfo,
            "daemon_started",
            {{"version", std::string(ProductVersion())},
             {"source", std::string(SourceDigest())},
             {"http", FLAGS_http_address},
             {"failure_domain", FLAGS_failure_domain},
             {"vms", std::to_string(options.deployment.vms.size())},
             {"disk", FLAGS_data_dir.empty() ? "none" : FLAGS_data_dir}}});
  {
    const StopSignalWatcher watcher([&] { daemon.RequestDrain(); });
    daemon.Run();
  }
  WriteLog({LogLevel::kInfo, "daemon_stopped", {}});
  return kExitOk;
}

}  // namespace
}  // namespace goldcrest

int main(int argc, char** argv) {
  return goldcrest::RunDaemon(argc, argv);
}
