#include "soak/soak_deployment.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>

#include <Poco/Net/SocketAddress.h>

#include "soak/daemon_log.h"

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
// Suffix of the name of the file with the delay of the disk's syncs.
constexpr char kDelaySuffix[] = "-delay";

// Returns the IP address of "ip:port".
std::string IpOf(const std::string& address) {
  return address.substr(0, address.find(':'));
}

// The IP address from which callers connect.
constexpr char kCallersIp[] = "127.0.0.1";
// Events of a daemon's log: it handles SIGTERM from now on; it has read its
// disk and listens.
constexpr char kStartedEvent[] = "daemon_started";
constexpr char kListeningEvent[] = "daemon_listening";

// Returns whether `ip` is in `set`; an empty set contains all addresses.
bool Contains(const std::set<std::string>& set, const std::string& ip) {
  return set.empty() || set.contains(ip);
}

// Ends the kills and pauses of a daemon that have not ended.
void CloseSpans(SoakDaemon& daemon, Micros now) {
  for (TimeSpan& fault : daemon.history.faults) {
    fault.end = fault.end == kStillOpen ? now : fault.end;
  }
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
    state.block_from_client |= fault.state.block_from_client;
    state.block_to_client |= fault.state.block_to_client;
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

std::string SoakDeployment::LoopbackIp(int side, int host) const {
  return "127." + std::to_string(options_.network) + "." +
         std::to_string(side) + "." + std::to_string(host);
}

void SoakDeployment::AddDaemon(const std::string& domain,
                               bool control,
                               int host) {
  SoakDaemon daemon;
  daemon.name = (control ? "control-" : "entry-") + std::to_string(host);
  daemon.history.name = daemon.name;
  daemon.domain = domain;
  daemon.is_control = control;
  daemon.ip = LoopbackIp(kListenSide, host);
  daemon.relay_ip = LoopbackIp(kRelaySide, host);
  for (const char* port : {kMeshPort, kHttpPort}) {
    relays_.AddAt(daemon.relay_ip + port, daemon.ip, daemon.ip + port);
  }
  if (control) {
    std::filesystem::create_directories(DiskPath(daemon));
  }
  daemons_.push_back(std::move(daemon));
}

void SoakDeployment::AddWorker(const std::string& domain, int host) {
  SoakWorkerConfig worker;
  worker.id = "worker-" + std::to_string(host);
  worker.domain = domain;
  worker.listen_address = LoopbackIp(kListenSide, host) + kHttpPort;
  worker.advertised_address = LoopbackIp(kRelaySide, host) + kHttpPort;
  relays_.AddAt(worker.advertised_address, IpOf(worker.listen_address),
                worker.listen_address);
  workers_.push_back(std::move(worker));
}

std::vector<SoakDaemon*> SoakDeployment::Select(bool control) {
  std::vector<SoakDaemon*> selected;
  for (SoakDaemon& daemon : daemons_) {
    if (daemon.is_control == control) {
      selected.push_back(&daemon);
    }
  }
  return selected;
}

std::string SoakDeployment::DiskPath(const SoakDaemon& daemon) const {
  return options_.folder + "/" + daemon.name + "-disk";
}

std::string SoakDeployment::LogPath(const SoakDaemon& daemon) const {
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

std::string SoakDeployment::RelayedAddress(const std::string& address) const {
  for (const SoakDaemon& daemon : daemons_) {
    if (IpOf(address) == daemon.ip) {
      return daemon.relay_ip + address.substr(address.find(':'));
    }
  }
  return address;
}

std::vector<std::string> SoakDeployment::MakeArguments(const SoakDaemon& daemon,
                                                       bool first_start) {
  std::string seeds;
  for (const SoakDaemon* control : controls()) {
    seeds += (seeds.empty() ? "" : ",") + ControlAddress(*control);
  }
  std::vector<std::string> arguments = {
      daemon.is_control ? options_.control_program : options_.entry_program,
      "--name=" + daemon.name,
      "--domain=" + daemon.domain,
      "--ip=" + daemon.relay_ip,
      "--mesh_bind=" + daemon.ip + kMeshPort,
      "--seeds=" + seeds,
      "--metrics_port=" + std::string(kMetricsPort + 1)};
  arguments.insert(arguments.end(), options_.daemon_flags.begin(),
                   options_.daemon_flags.end());
  if (daemon.is_control) {
    arguments.push_back("--control_address=" + daemon.ip + kHttpPort);
    arguments.push_back("--disk=" + DiskPath(daemon));
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
  if (daemon.process != 0 || daemon.disk_moved_away) {
    daemon.restart_pending = true;
    return;
  }
  daemon.kill_sent = false;
  daemon.restart_pending = false;
  daemon.drain_requested_at = 0;
  daemon.paused_time = 0;
  daemon.paused_since = 0;
  daemon.log_begin = LogSize(LogPath(daemon));
  daemon.process =
      processes_.Start(MakeArguments(daemon, first_start), LogPath(daemon));
  CloseSpans(daemon, MonotonicMicros());
  daemon.history.processes.push_back({MonotonicMicros(), kStillOpen});
}

void SoakDeployment::Kill(SoakDaemon& daemon) {
  daemon.kill_sent = true;
  daemon.history.faults.push_back({MonotonicMicros(), kStillOpen});
  processes_.Signal(daemon.process, SIGKILL);
}

void SoakDeployment::Drain(SoakDaemon& daemon, Micros now) {
  daemon.restart_pending = true;
  if (daemon.drain_requested_at == 0) {
    daemon.drain_requested_at = now;
    daemon.paused_time = 0;
    processes_.Signal(daemon.process, SIGTERM);
  }
}

void SoakDeployment::SignalDraining(SoakDaemon& daemon, int signal) {
  if (daemon.drain_requested_at != 0) {
    processes_.Signal(daemon.process, signal);
  }
}

void SoakDeployment::Pause(SoakDaemon& daemon, Micros now) {
  if (daemon.paused_since == 0) {
    daemon.paused_since = now;
    daemon.history.faults.push_back({now, kStillOpen});
    processes_.Signal(daemon.process, SIGSTOP);
  }
}

void SoakDeployment::Resume(SoakDaemon& daemon, Micros now) {
  if (daemon.paused_since != 0) {
    daemon.paused_time += now - daemon.paused_since;
    daemon.paused_since = 0;
    CloseSpans(daemon, now);
    processes_.Signal(daemon.process, SIGCONT);
  }
}

void SoakDeployment::EmptyDisk(const SoakDaemon& daemon) {
  const std::string disk =
      DiskPath(daemon) + (daemon.disk_moved_away ? kAwaySuffix : "");
  for (const auto& entry : std::filesystem::directory_iterator(disk)) {
    std::filesystem::remove_all(entry);
  }
}

void SoakDeployment::RefuseWrites(SoakDaemon& daemon, bool refuse) {
  daemon.disk_move_pending = refuse && daemon.process != 0 &&
                             !ProcessHasLogged(daemon, kListeningEvent);
  if (!daemon.disk_move_pending) {
    MoveDisk(daemon, refuse);
  }
}

void SoakDeployment::SetSyncDelay(const SoakDaemon& daemon, Micros delay) {
  std::ofstream(DiskPath(daemon) + kDelaySuffix) << delay / kMillisecond;
}

void SoakDeployment::MoveDisk(SoakDaemon& daemon, bool away) {
  const std::string here = DiskPath(daemon);
  const std::string there = here + kAwaySuffix;
  daemon.disk_moved_away = away;
  // Ignored: the folder may have been renamed already.
  std::error_code error;
  if (away) {
    std::filesystem::rename(here, there, error);
  } else {
    std::filesystem::rename(there, here, error);
  }
}

bool SoakDeployment::ProcessHasLogged(const SoakDaemon& daemon,
                                      std::string_view event) const {
  return HasLogged(LogPath(daemon), daemon.log_begin, event);
}

bool SoakDeployment::EndedBeforeItsStart(const SoakDaemon& daemon,
                                         const ProcessEnd& end) const {
  return daemon.drain_requested_at != 0 && end.signal == SIGTERM &&
         !ProcessHasLogged(daemon, kStartedEvent);
}

void SoakDeployment::OnProcessExited(const ProcessEnd& end, Micros now) {
  for (SoakDaemon& daemon : daemons_) {
    if (daemon.process != end.process) {
      continue;
    }
    daemon.process = 0;
    daemon.paused_since = 0;
    daemon.history.processes.back().end = reaped_at_;
    CloseSpans(daemon, now);
    const bool drained =
        daemon.drain_requested_at != 0 && end.signal == 0 && end.exit_code == 0;
    if (!daemon.kill_sent && !drained && !EndedBeforeItsStart(daemon, end)) {
      violations_.push_back(daemon.name + " exited unexpectedly: exit code " +
                            std::to_string(end.exit_code) + ", signal " +
                            std::to_string(end.signal));
      daemon.restart_pending = true;
    }
    daemon.drain_requested_at = 0;
  }
}

void SoakDeployment::Advance(Micros now) {
  for (const ProcessEnd& end : processes_.Reap()) {
    OnProcessExited(end, now);
  }
  reaped_at_ = now;
  for (SoakDaemon& daemon : daemons_) {
    if (daemon.disk_move_pending) {
      RefuseWrites(daemon, true);
    }
    if (daemon.process == 0 && daemon.restart_pending &&
        !daemon.disk_moved_away) {
      Start(daemon, false);
    }
    const Micros drain_time =
        now - daemon.drain_requested_at - daemon.paused_time;
    const bool stuck = daemon.drain_requested_at != 0 &&
                       daemon.paused_since == 0 && daemon.process != 0 &&
                       !daemon.kill_sent &&
                       drain_time > options_.max_drain_time;
    if (stuck) {
      violations_.push_back(daemon.name +
                            " did not exit in time after SIGTERM");
      Kill(daemon);
    }
  }
}

int SoakDeployment::AddLinkFault(LinkFault fault) {
  fault.id = next_link_fault_id_++;
  fault.started_at = MonotonicMicros();
  link_faults_.push_back(std::move(fault));
  ApplyLinkFaults();
  return link_faults_.back().id;
}

void SoakDeployment::RemoveLinkFault(int fault) {
  const auto removed =
      std::find_if(link_faults_.begin(), link_faults_.end(),
                   [&](const LinkFault& active) { return active.id == fault; });
  if (removed == link_faults_.end()) {
    return;
  }
  for (SoakDaemon& daemon : daemons_) {
    if (Contains(removed->from, kCallersIp) &&
        Contains(removed->to, daemon.ip)) {
      daemon.history.faults.push_back({removed->started_at, MonotonicMicros()});
    }
  }
  link_faults_.erase(removed);
  ApplyLinkFaults();
}

void SoakDeployment::ApplyLinkFaults() {
  relays_.SetStates(
      [faults = link_faults_](const std::string& from, const std::string& to) {
        return CombineFaults(faults, from, to);
      });
}

void SoakDeployment::AddRefused(const UnusedConnection& connection) {
  if (!connection.refused || connection.from != kCallersIp) {
    return;
  }
  for (SoakDaemon& daemon : daemons_) {
    if (connection.target == daemon.ip + kHttpPort) {
      const Poco::Net::SocketAddress client(connection.client);
      daemon.history.refused.push_back(
          {client.port(), connection.connect_at, connection.ended_at});
    }
  }
}

void SoakDeployment::TakeRelayRecords() {
  std::ofstream file(options_.folder + "/relay.log");
  for (const InterruptedRequest& request : relays_.TakeInterruptedRequests()) {
    file << "event=request_interrupted from=" << request.from
         << " to=" << request.to << " client=" << request.client
         << " ended_by=\"" << request.ended_by
         << "\" read_bytes=" << request.read_bytes
         << " unsent_bytes=" << request.unsent_bytes
         << " first_read_at=" << request.first_read_at
         << " ended_at=" << request.ended_at << '\n';
  }
  for (const UnusedConnection& unused : relays_.TakeUnusedConnections()) {
    AddRefused(unused);
    file << "event=connection_unused from=" << unused.from
         << " to=" << unused.target << " client=" << unused.client
         << " refused=" << unused.refused << " ended_by=\"" << unused.ended_by
         << "\" read_bytes=" << unused.read_bytes
         << " connect_at=" << unused.connect_at
         << " ended_at=" << unused.ended_at << '\n';
  }
}

void SoakDeployment::ResetConnections(const std::set<std::string>& ips) {
  const Micros begin = MonotonicMicros();
  relays_.Reset([&](const std::string& from, const std::string& to) {
    return ips.contains(from) || ips.contains(to);
  });
  for (SoakDaemon& daemon : daemons_) {
    if (ips.contains(daemon.ip)) {
      daemon.history.faults.push_back({begin, MonotonicMicros()});
    }
  }
}

}  // namespace goldcrest
