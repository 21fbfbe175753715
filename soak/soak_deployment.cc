#include "soak/soak_deployment.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <utility>

namespace goldcrest {
namespace {

// Third byte of the addresses of relays, and of the addresses where daemons and
// workers listen.
constexpr int kRelaySide = 0;
constexpr int kListenSide = 1;
// Fourth byte of the address of the first daemon or worker of each kind.
constexpr int kFirstControlHost = 10;
constexpr int kFirstEntryHost = 40;
constexpr int kFirstWorkerHost = 100;
constexpr char kMeshPort[] = ":7720";
constexpr char kHttpPort[] = ":8080";
constexpr char kReadinessPort[] = ":8081";
constexpr char kMetricsPort[] = ":9464";
// Suffix of the name of a disk's folder while its writes fail.
constexpr char kAwaySuffix[] = "-away";

// Returns the IP address of "ip:port".
std::string IpOf(const std::string& address) {
  return address.substr(0, address.find(':'));
}

// Returns whether `ip` is in `set`; an empty set contains all addresses.
bool Contains(const std::set<std::string>& set, const std::string& ip) {
  return set.empty() || set.contains(ip);
}

// Returns the combined state of all faults of a connection.
RelayState CombineFaults(const std::vector<LinkFault>& faults,
                         const std::string& from,
                         const std::string& to) {
  RelayState state;
  for (const LinkFault& fault : faults) {
    if (!Contains(fault.from, from) || !Contains(fault.to, to)) {
      continue;
    }
    state.hold_from_client |= fault.state.hold_from_client;
    state.hold_to_client |= fault.state.hold_to_client;
    state.delay = std::max(state.delay, fault.state.delay);
  }
  return state;
}

}  // namespace

SoakDeployment::SoakDeployment(SoakDeploymentOptions options)
    : options_(std::move(options)) {
  std::filesystem::remove_all(options_.folder);
  std::filesystem::create_directories(options_.folder);
  int control_host = kFirstControlHost;
  int entry_host = kFirstEntryHost;
  int worker_host = kFirstWorkerHost;
  for (const std::string& domain : options_.domains) {
    AddDaemon(domain, true, control_host++);
    for (int i = 0; i < options_.entries_per_domain; ++i) {
      AddDaemon(domain, false, entry_host++);
    }
    for (int i = 0; i < options_.workers_per_domain; ++i) {
      AddWorker(domain, worker_host++);
    }
  }
}

std::string SoakDeployment::Ip(int side, int host) const {
  return "127." + std::to_string(options_.network) + "." +
         std::to_string(side) + "." + std::to_string(host);
}

void SoakDeployment::AddDaemon(const std::string& domain,
                               bool control,
                               int host) {
  SoakDaemon daemon;
  daemon.name = (control ? "control-" : "entry-") + std::to_string(host);
  daemon.domain = domain;
  daemon.control = control;
  daemon.ip = Ip(kListenSide, host);
  daemon.relay_ip = Ip(kRelaySide, host);
  for (const char* port : {kMeshPort, kHttpPort}) {
    relays_.AddAt(daemon.relay_ip + port, daemon.ip, daemon.ip + port);
  }
  if (control) {
    std::filesystem::create_directories(DiskOf(daemon));
  }
  daemons_.push_back(std::move(daemon));
}

void SoakDeployment::AddWorker(const std::string& domain, int host) {
  SoakWorkerPlace worker;
  worker.id = "worker-" + std::to_string(host);
  worker.domain = domain;
  worker.listen = Ip(kListenSide, host) + kHttpPort;
  worker.advertised = Ip(kRelaySide, host) + kHttpPort;
  relays_.AddAt(worker.advertised, IpOf(worker.listen), worker.listen);
  workers_.push_back(std::move(worker));
}

std::vector<SoakDaemon*> SoakDeployment::Select(bool control) {
  std::vector<SoakDaemon*> selected;
  for (SoakDaemon& daemon : daemons_) {
    if (daemon.control == control) {
      selected.push_back(&daemon);
    }
  }
  return selected;
}

std::string SoakDeployment::DiskOf(const SoakDaemon& daemon) const {
  return options_.folder + "/" + daemon.name + "-disk";
}

std::string SoakDeployment::LogOf(const SoakDaemon& daemon) const {
  return options_.folder + "/" + daemon.name + ".log";
}

std::string SoakDeployment::CallersAddress(const SoakDaemon& entry) const {
  return entry.relay_ip + kHttpPort;
}

std::string SoakDeployment::ControlAddress(const SoakDaemon& control) const {
  return control.relay_ip + kHttpPort;
}

std::string SoakDeployment::MetricsAddress(const SoakDaemon& daemon) const {
  return daemon.relay_ip + kMetricsPort;
}

std::string SoakDeployment::Relayed(const std::string& address) const {
  for (const SoakDaemon& daemon : daemons_) {
    if (IpOf(address) == daemon.ip) {
      return daemon.relay_ip + address.substr(address.find(':'));
    }
  }
  return address;
}

std::vector<std::string> SoakDeployment::Arguments(const SoakDaemon& daemon,
                                                   bool first_start) {
  std::string seeds;
  for (const SoakDaemon* control : controls()) {
    seeds += (seeds.empty() ? "" : ",") + ControlAddress(*control);
  }
  std::vector<std::string> arguments = {
      daemon.control ? options_.control_program : options_.entry_program,
      "--name=" + daemon.name,
      "--domain=" + daemon.domain,
      "--ip=" + daemon.relay_ip,
      "--mesh_bind=" + daemon.ip + kMeshPort,
      "--seeds=" + seeds,
      "--metrics_port=" + std::string(kMetricsPort + 1)};
  if (daemon.control) {
    arguments.push_back("--control_address=" + daemon.ip + kHttpPort);
    arguments.push_back("--disk=" + DiskOf(daemon));
    arguments.push_back(first_start ? "--first_start=true"
                                    : "--first_start=false");
  } else {
    arguments.push_back("--callers_address=" + daemon.ip + kHttpPort);
    arguments.push_back("--readiness_address=" + daemon.ip + kReadinessPort);
  }
  return arguments;
}

void SoakDeployment::StartAll() {
  for (SoakDaemon& daemon : daemons_) {
    Start(daemon, true);
  }
}

void SoakDeployment::Start(SoakDaemon& daemon, bool first_start) {
  if (daemon.process != 0 || daemon.disk_away) {
    daemon.restart = true;
    return;
  }
  daemon.killed = false;
  daemon.restart = false;
  daemon.told_to_end = 0;
  daemon.paused_for = 0;
  daemon.paused_since = 0;
  daemon.process =
      processes_.Start(Arguments(daemon, first_start), LogOf(daemon));
}

void SoakDeployment::Kill(SoakDaemon& daemon) {
  daemon.killed = true;
  processes_.Signal(daemon.process, SIGKILL);
}

void SoakDeployment::Drain(SoakDaemon& daemon, Micros now) {
  daemon.restart = true;
  if (daemon.told_to_end == 0) {
    daemon.told_to_end = now;
    daemon.paused_for = 0;
    processes_.Signal(daemon.process, SIGTERM);
  }
}

void SoakDeployment::Pause(SoakDaemon& daemon, Micros now) {
  if (daemon.paused_since == 0) {
    daemon.paused_since = now;
    processes_.Signal(daemon.process, SIGSTOP);
  }
}

void SoakDeployment::Resume(SoakDaemon& daemon, Micros now) {
  if (daemon.paused_since != 0) {
    daemon.paused_for += now - daemon.paused_since;
    daemon.paused_since = 0;
    processes_.Signal(daemon.process, SIGCONT);
  }
}

void SoakDeployment::EmptyDisk(const SoakDaemon& daemon) {
  const std::string disk =
      DiskOf(daemon) + (daemon.disk_away ? kAwaySuffix : "");
  for (const auto& entry : std::filesystem::directory_iterator(disk)) {
    std::filesystem::remove_all(entry);
  }
}

void SoakDeployment::RefuseWrites(SoakDaemon& daemon, bool refuse) {
  const std::string disk = DiskOf(daemon);
  const std::string away = disk + kAwaySuffix;
  daemon.disk_away = refuse;
  // Ignored: the folder may have been renamed already.
  std::error_code error;
  if (refuse) {
    std::filesystem::rename(disk, away, error);
  } else {
    std::filesystem::rename(away, disk, error);
  }
}

void SoakDeployment::OnEnded(const ProcessEnd& end) {
  for (SoakDaemon& daemon : daemons_) {
    if (daemon.process != end.process) {
      continue;
    }
    daemon.process = 0;
    daemon.paused_since = 0;
    const bool drained =
        daemon.told_to_end != 0 && end.signal == 0 && end.exit_code == 0;
    if (!daemon.killed && !drained) {
      violations_.push_back(daemon.name + " exited unexpectedly: exit code " +
                            std::to_string(end.exit_code) + ", signal " +
                            std::to_string(end.signal));
      daemon.restart = true;
    }
    daemon.told_to_end = 0;
  }
}

void SoakDeployment::Advance(Micros now) {
  for (const ProcessEnd& end : processes_.Reap()) {
    OnEnded(end);
  }
  for (SoakDaemon& daemon : daemons_) {
    if (daemon.process == 0 && daemon.restart && !daemon.disk_away) {
      Start(daemon, false);
    }
    const Micros drain_time = now - daemon.told_to_end - daemon.paused_for;
    const bool stuck = daemon.told_to_end != 0 && daemon.paused_since == 0 &&
                       daemon.process != 0 && !daemon.killed &&
                       drain_time > options_.longest_drain;
    if (stuck) {
      violations_.push_back(daemon.name +
                            " did not exit in time after SIGTERM");
      Kill(daemon);
    }
  }
}

int SoakDeployment::Break(LinkFault fault) {
  fault.id = next_fault_++;
  faults_.push_back(std::move(fault));
  ApplyFaults();
  return faults_.back().id;
}

void SoakDeployment::Heal(int fault) {
  std::erase_if(faults_,
                [&](const LinkFault& active) { return active.id == fault; });
  ApplyFaults();
}

void SoakDeployment::ApplyFaults() {
  relays_.Set(
      [faults = faults_](const std::string& from, const std::string& to) {
        return CombineFaults(faults, from, to);
      });
}

void SoakDeployment::Reset(const std::set<std::string>& ips) {
  relays_.Reset([&](const std::string& from, const std::string& to) {
    return ips.contains(from) || ips.contains(to);
  });
}

}  // namespace goldcrest
