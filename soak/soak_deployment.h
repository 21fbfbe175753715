#ifndef SOAK_SOAK_DEPLOYMENT_H_
#define SOAK_SOAK_DEPLOYMENT_H_

// The daemon processes of a soak, and the relays on the connections between
// them.
//
// Each daemon has two loopback addresses: one where it listens, and the address
// of a relay, which everybody else uses. Daemons connect to each other from the
// address where they listen, so a relay knows both sides of a connection.
// Connections of callers and workers, and those that carry orders to workers,
// come from the host's common address.
//
// The deployment also checks the processes: none may exit unless it was killed
// or drained, and a drained one must exit in time.

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "edge/testing/relay.h"
#include "soak/daemon_history.h"
#include "soak/processes.h"
#include "soak/soak_workers.h"

namespace goldcrest {

struct SoakDeploymentOptions {
  std::string entry_program;
  // Further flags of all daemons, as "--name=value".
  std::vector<std::string> daemon_flags;
  std::string control_program;
  std::string folder;  // for logs and disks; emptied at the start
  int network = 10;    // second byte of the loopback addresses 127.NETWORK.x.y
  std::vector<std::string> domains = {"a", "b", "c"};
  int entries_per_domain = 2;
  int workers_per_domain = 4;
  // A draining daemon must exit within this time, in which the time that its
  // process is paused does not count.
  Micros max_drain_time = 6 * kSecond;
};

// One daemon and the state of its process.
struct SoakDaemon {
  std::string name;
  std::string domain;
  bool is_control = false;  // a control daemon; otherwise an entry daemon
  std::string ip;           // where it listens
  std::string relay_ip;     // where others connect to it
  pid_t process = 0;        // 0: not running
  bool kill_sent = false;   // was sent SIGKILL; its exit is expected
  Micros drain_requested_at =
      0;                         // when it was sent SIGTERM; 0: is not draining
  Micros paused_time = 0;        // total time of its pauses during the drain
  Micros paused_since = 0;       // 0: is not paused
  bool disk_moved_away = false;  // its disk is moved away, so it cannot start
  bool restart_pending = false;  // start it when it has exited and has its disk
  bool disk_move_pending = false;  // move its disk away when it has read it
  std::uintmax_t log_begin = 0;    // where its process's lines begin in its log
  DaemonHistory history;
};

// A fault of all connections from one set of IP addresses to another. An empty
// set stands for all addresses.
struct LinkFault {
  int id = 0;                  // set by AddLinkFault()
  std::set<std::string> from;  // IP addresses of the connecting side
  std::set<std::string> to;    // IP addresses of the listening side
  RelayState state;            // what the relays do to these connections
  Micros started_at = 0;       // set by AddLinkFault()
};

// Starts and stops the daemons of one soak and controls the faults of their
// processes, disks and connections.
class SoakDeployment {
 public:
  explicit SoakDeployment(SoakDeploymentOptions options);

  // Starts all daemons, for the first time.
  void StartAll();

  // Handles processes that have exited: starts daemons again and records
  // unexpected exits. Kills daemons whose drain takes too long.
  void Advance(Micros now);

  // Starts a daemon, or has it started as soon as its process has exited and
  // its disk is back. `first_start` is passed on to a control daemon.
  void Start(SoakDaemon& daemon, bool first_start);
  // Sends SIGKILL.
  void Kill(SoakDaemon& daemon);
  // Sends SIGTERM, and starts the daemon again after it has exited.
  void Drain(SoakDaemon& daemon, Micros now);
  // Sends `signal` to a daemon that is draining; does nothing otherwise.
  void SignalDraining(SoakDaemon& daemon, int signal);
  // Pauses a daemon's process with SIGSTOP.
  void Pause(SoakDaemon& daemon, Micros now);
  // Resumes a paused process with SIGCONT.
  void Resume(SoakDaemon& daemon, Micros now);
  // Removes all files from a control daemon's disk.
  void EmptyDisk(const SoakDaemon& daemon);
  // Makes writes to a control daemon's disk fail, or succeed again. While they
  // fail, the folder of the disk has another name. They begin to fail once the
  // daemon's process has read its disk, without which it cannot start.
  void RefuseWrites(SoakDaemon& daemon, bool refuse);
  // Sets the delay of each sync of a control daemon's disk from now on; 0:
  // none. Only variants of the daemons with the stand-in of a slow disk read it
  // (soak/testing/slow_disk.cc).
  void SetSyncDelay(const SoakDaemon& daemon, Micros delay);

  // Applies a fault of connections. Returns its id for RemoveLinkFault().
  int AddLinkFault(LinkFault fault);
  // Ends the fault with the id `fault`.
  void RemoveLinkFault(int fault);
  // Resets all open connections from or to any of the IP addresses `ips`.
  void ResetConnections(const std::set<std::string>& ips);

  std::vector<SoakDaemon>& daemons() { return daemons_; }
  std::vector<SoakDaemon*> controls() { return Select(true); }
  std::vector<SoakDaemon*> entries() { return Select(false); }
  const std::vector<SoakWorkerConfig>& workers() const { return workers_; }

  // These return addresses at relay IPs: where callers connect, where operators
  // and workers connect, and where metrics are served, without a relay.
  std::string CallersAddress(const SoakDaemon& entry) const;
  std::string ControlAddress(const SoakDaemon& control) const;
  std::string MetricsAddress(const SoakDaemon& daemon) const;
  // Replaces the IP address of a daemon in `address` by that of its relay.
  // Returns other addresses unchanged.
  std::string RelayedAddress(const std::string& address) const;
  // Returns the path of a daemon's log.
  std::string LogPath(const SoakDaemon& daemon) const;

  // Writes the requests that the relays saw interrupted and the connections
  // that ended unused to relay.log in the folder, one "key=value" line for
  // each. Times are monotonic microseconds. Adds the refused connections of
  // callers to the histories of the daemons.
  void TakeRelayRecords();

  // Returns one sentence for each unexpected exit and each drain that took too
  // long.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  std::vector<SoakDaemon*> Select(bool control);
  // Returns the loopback address 127.NETWORK.`side`.`host`.
  std::string LoopbackIp(int side, int host) const;
  std::string DiskPath(const SoakDaemon& daemon) const;
  void AddDaemon(const std::string& domain, bool control, int host);
  void AddWorker(const std::string& domain, int host);
  // Passes the current link faults to the relays.
  void ApplyLinkFaults();
  std::vector<std::string> MakeArguments(const SoakDaemon& daemon,
                                         bool first_start);
  // Returns whether the daemon's process, which may have ended, has logged an
  // event.
  bool ProcessHasLogged(const SoakDaemon& daemon, std::string_view event) const;
  // Returns whether a process was stopped before its first line, where SIGTERM
  // still has its default action. It has taken nothing.
  bool EndedBeforeItsStart(const SoakDaemon& daemon,
                           const ProcessEnd& end) const;
  void MoveDisk(SoakDaemon& daemon, bool away);
  // Adds a connection to the history of the daemon that refused it, if a caller
  // opened it.
  void AddRefused(const UnusedConnection& connection);
  void OnProcessExited(const ProcessEnd& end, Micros now);

  SoakDeploymentOptions options_;
  std::vector<SoakDaemon> daemons_;
  std::vector<SoakWorkerConfig> workers_;
  std::vector<LinkFault> link_faults_;
  int next_link_fault_id_ = 1;
  Micros reaped_at_ = 0;  // the last time that processes were reaped
  std::vector<std::string> violations_;
  Relays relays_;
  Processes processes_;
};

}  // namespace goldcrest

#endif  // SOAK_SOAK_DEPLOYMENT_H_
