#ifndef EDGE_TESTING_LOOPBACK_DEPLOYMENT_H_
#define EDGE_TESTING_LOOPBACK_DEPLOYMENT_H_

// Whole daemons and stand-in workers on loopback, in one process.
//
// Each daemon runs on a thread of its own with real sockets between them; the
// peers' connections pass through relays that can be cut. Stand-in workers
// share one thread. The start log is the witness of what ran. It lies, with the
// data folders, in a temporary folder that goes with the deployment.

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <Poco/TemporaryFile.h>

#include "edge/daemon.h"
#include "edge/http_ask.h"
#include "edge/stand_in_worker.h"
#include "edge/testing/relay.h"

namespace goldcrest {

struct LoopbackOptions {
  std::vector<std::string> failure_domains = {"north", "south"};
  int vms_per_domain = 2;
  int workers_per_domain = 2;
  int slots = 8;
  bool disks = false;
  // Whether peers talk through relays, which can be cut and add latency.
  bool relays = true;
  HttpServerOptions http = {};
  Tuning tuning = {};
};

// One line of the start log.
struct StartLine {
  std::string event;
  std::string task_id;
};

class LoopbackDeployment {
 public:
  explicit LoopbackDeployment(LoopbackOptions options);
  ~LoopbackDeployment();
  LoopbackDeployment(const LoopbackDeployment&) = delete;
  LoopbackDeployment& operator=(const LoopbackDeployment&) = delete;

  // Waits until every slot is leased. Returns whether that came to pass.
  bool WaitUntilServing();

  // Returns the names of all VMs, in the order of the failure domains.
  const std::vector<std::string>& vms() const { return names_; }

  // Returns the HTTP address of a VM.
  std::string AddressOf(const std::string& vm) const;

  // Ends a VM's daemon at once, as SIGKILL would.
  void Kill(const std::string& vm);

  // Starts a VM's daemon again, with a new incarnation and without memory but
  // for its data folder.
  void Restart(const std::string& vm);

  // Asks a VM to drain. Wait for it with WaitForEnd().
  void Drain(const std::string& vm);

  // Waits until a daemon has ended by itself.
  void WaitForEnd(const std::string& vm);

  // Cuts a failure domain off from all others, silently.
  void CutDomain(const std::string& failure_domain);

  // Cuts one VM off from all others, silently; its workers still reach it.
  void CutVm(const std::string& vm);

  void Heal();

  // Posts a submission to a VM. Status 0 means that no answer came.
  AskAnswer Submit(const std::string& vm, const std::string& body);

  // Makes any request to a VM. Status 0 means that no answer came.
  AskAnswer Request(const std::string& vm, const AskOptions& options);

  // Returns what the workers have logged so far.
  std::vector<StartLine> StartLog() const;

  // Returns how often each task was started.
  std::map<std::string, int> Starts() const;

 private:
  struct Vm {
    std::string failure_domain;
    std::string http_address;
    std::string peer_address;
    std::unique_ptr<Daemon> daemon;
    std::thread thread;
  };

  void StartDaemon(const std::string& name);
  void StartWorkers();
  void ServeWorkers();
  std::string LogPath() const;

  LoopbackOptions options_;
  Poco::TemporaryFile folder_;
  Relays relays_;
  std::vector<std::string> names_;
  std::map<std::string, Vm> vms_;
  goldcrest::StartLog log_;
  SocketLoop worker_loop_;
  std::vector<std::unique_ptr<StandInWorker>> workers_;
  std::atomic<bool> stopping_{false};
  std::thread worker_thread_;
};

// The parts of a submission's body that tests set.
struct BodyOptions {
  std::string submission_id;
  std::string kind = "knell";
  std::string home = "north";
  int tasks = 1;
  int run_ms = 20;
};

// Returns a body whose task I answers "answer I".
std::string SubmissionBody(const BodyOptions& options);

// Returns the answers that a complete job of `tasks` tasks has, as JSON.
std::string WholeAnswers(int tasks);

}  // namespace goldcrest

#endif  // EDGE_TESTING_LOOPBACK_DEPLOYMENT_H_
