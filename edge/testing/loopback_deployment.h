#ifndef EDGE_TESTING_LOOPBACK_DEPLOYMENT_H_
#define EDGE_TESTING_LOOPBACK_DEPLOYMENT_H_

// A complete deployment of daemons and stand-in workers on loopback addresses,
// in one process.
//
// Each daemon runs on its own thread, with real sockets between them. The
// connections between peers pass through relays that can be cut. The stand-in
// workers share one thread. The attempt log records every attempt on a worker.
// It is stored, with the data folders, in a temporary folder that is deleted
// with the deployment.

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <Poco/TemporaryFile.h>

#include "edge/blocking_http.h"
#include "edge/daemon.h"
#include "edge/stand_in_worker.h"
#include "edge/testing/relay.h"

namespace goldcrest {

struct LoopbackOptions {
  std::vector<std::string> failure_domains = {"north", "south"};
  int vms_per_domain = 2;
  int workers_per_domain = 2;
  int slots = 8;
  bool disks = false;  // whether the VMs have data folders
  // Whether peers are connected through relays, which can be cut and add
  // latency.
  bool use_relays = true;
  HttpServerOptions http = {};
  Tuning tuning = {};
};

// One line of the attempt log.
struct AttemptLogLine {
  std::string event;
  std::string task_id;
};

class LoopbackDeployment {
 public:
  explicit LoopbackDeployment(LoopbackOptions options);
  ~LoopbackDeployment();
  LoopbackDeployment(const LoopbackDeployment&) = delete;
  LoopbackDeployment& operator=(const LoopbackDeployment&) = delete;

  // Waits until all VMs serve and every slot is leased. Returns false on
  // timeout.
  bool WaitUntilServing();

  // Returns the names of all VMs, in the order of the failure domains.
  const std::vector<std::string>& vms() const { return names_; }

  // Returns the HTTP address of a VM.
  std::string AddressOf(const std::string& vm) const;

  // Ends a VM's daemon immediately, as SIGKILL does.
  void Kill(const std::string& vm);

  // Restarts a VM's daemon as a new incarnation. Of its earlier state it has
  // only the data folder.
  void Restart(const std::string& vm);

  // Requests a VM's daemon to drain and exit; WaitForEnd() waits for the exit.
  void Drain(const std::string& vm);

  // Waits until a VM's daemon has exited by itself.
  void WaitForEnd(const std::string& vm);

  // Partitions a failure domain from all others. Connections stay open.
  void CutDomain(const std::string& failure_domain);

  // Partitions one VM from all others. Connections stay open, and its workers
  // still reach it.
  void CutVm(const std::string& vm);

  // Ends all partitions.
  void Heal();

  // Posts a submission to a VM. The status is 0 if there was no response.
  BlockingResponse Submit(const std::string& vm, const std::string& body);

  // Sends a request to a VM. The status is 0 if there was no response.
  BlockingResponse Request(const std::string& vm,
                           const BlockingRequest& options);

  // Returns the lines that the workers have logged so far.
  std::vector<AttemptLogLine> ReadAttemptLog() const;

  // Returns the number of attempts by task id.
  std::map<std::string, int> AttemptsPerTask() const;

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
  goldcrest::AttemptLog log_;
  SocketLoop worker_loop_;
  std::vector<std::unique_ptr<StandInWorker>> workers_;
  std::atomic<bool> stopping_{false};
  std::thread worker_thread_;
};

// The fields of a submission that tests set.
struct SubmissionBodyOptions {
  std::string submission_id;
  std::string kind = "knell";
  std::string home = "north";
  int tasks = 1;
  int run_ms = 20;
};

// Returns the body of a submission whose task I has the output "answer I".
std::string SubmissionBody(const SubmissionBodyOptions& options);

// Returns the "answers" field (JSON) of the response to a complete job of
// `tasks` tasks.
std::string CompleteAnswersJson(int tasks);

}  // namespace goldcrest

#endif  // EDGE_TESTING_LOOPBACK_DEPLOYMENT_H_
