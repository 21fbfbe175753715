#ifndef REVIEW_STANDINS_2_TESTING_DEPLOYMENT_H_
#define REVIEW_STANDINS_2_TESTING_DEPLOYMENT_H_

// A small deployment of the project's programs for the cases of this review:
// one control daemon and one entry daemon in each of three failure domains, as
// processes of their own that are started with the commands and the templates
// of the deploy file, on loopback addresses. Workers are the soak's stand-ins;
// callers and the operator are HTTP clients on the same loop.
//
// Daemons reach each other through relays, so that a case can block one
// direction between two of them or reset their channels.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "edge/http_client.h"
#include "edge/socket_loop.h"
#include "edge/testing/relay.h"
#include "platform/testing/soak_wire.h"
#include "review/standins-2/testing/late_worker.h"
#include "soak/processes.h"
#include "soak/soak_workers.h"

namespace goldcrest {

// What was sent, answered and run, one line each with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Write(const std::string& line);

 private:
  std::FILE* file_;
  Micros began_at_;
};

// One daemon of the deployment.
struct Daemon {
  std::string name;
  std::string domain;
  bool is_control = false;
  std::string ip;        // where it listens
  std::string relay_ip;  // where other daemons connect to it
  pid_t process = 0;
  bool is_lost = false;  // gone for good; not among the seeds of later starts
};

// A caller's request and its answer.
struct Answer {
  bool done = false;
  int status = 0;  // 0: the channel ended without an answer, or none came
  Micros at = 0;
};

// A route of the configuration.
struct Route {
  std::string name;
  std::string path_prefix;
  std::string service;
};

inline constexpr char kService[] = "order-desk";
inline constexpr char kPrefix[] = "/orders/";

struct DeploymentOptions {
  std::string root;    // of the repository
  std::string folder;  // for disks, settings and logs
  std::string record;
  int workers_per_domain = 2;
  int64_t timeout_ms = 1500;  // of each route
  // The services, each with workers of its own, and the first configuration.
  std::vector<std::string> services = {kService};
  std::vector<Route> routes = {{"r-orders", kPrefix, kService}};
  // Whether the first domain has a LateWorker instead of the other workers.
  bool has_late_worker = false;
};

class Deployment {
 public:
  explicit Deployment(const DeploymentOptions& options);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts all daemons and workers and sends the configuration until it is
  // acknowledged. Returns whether the deployment serves a first job.
  bool Start();

  // Runs the loop until `done` returns true, at most for `duration`. Returns
  // whether it did.
  bool RunUntil(Micros duration, const std::function<bool()>& done);
  void Run(Micros duration);

  // Sends a job, or a request to cancel one, to an entry daemon. The answer
  // stays valid as long as the deployment.
  const Answer& Submit(const Daemon& entry,
                       const std::string& id,
                       int64_t run_ms,
                       int64_t timeout_ms,
                       const std::string& path_prefix = kPrefix);
  const Answer& Cancel(const Daemon& entry, const std::string& id);

  // Sends a configuration until it is acknowledged, at most for kChangeTime.
  bool Configure(uint64_t version, const std::vector<Route>& routes);

  // Kills the control daemon of a domain for good.
  void Lose(Daemon& daemon);
  // Starts a control daemon with an empty disk at a new address of the domain.
  void AddControl(const std::string& domain);
  // Holds up what the daemon sends to all other daemons, until Unblock().
  void BlockAllFrom(const Daemon& daemon);
  void Unblock();
  // Resets the open channels that the daemon has opened to other daemons.
  void ResetAllFrom(const Daemon& daemon);

  // Returns on how many workers a task of the job runs now.
  int CountRunning(const std::string& job_id);
  // Returns the services on whose workers tasks of the job have started.
  std::set<std::string> ServicesThatStarted(const std::string& job_id);

  LateWorker& late_worker() { return *late_worker_; }
  Daemon& control(size_t i) { return daemons_[2 * i]; }
  Daemon& entry(size_t i) { return daemons_[2 * i + 1]; }
  Record& record() { return record_; }

 private:
  class RecordingWire;

  // Returns the new daemon; the relay to its mesh address is open.
  Daemon MakeDaemon(const std::string& domain, bool is_control);
  // `first_start`: of the whole deployment, with empty disks.
  void StartDaemon(Daemon& daemon, bool first_start);
  std::string SettingsOf(const Daemon& daemon, bool first_start) const;
  std::string DiskOf(const Daemon& daemon) const;
  void Call(HttpCall call, const std::string& line, Answer& answer);
  void AddWorkers(const std::string& service);

  DeploymentOptions options_;
  Record record_;
  int network_ = 0;  // second byte of the loopback addresses
  int next_host_ = 10;
  int next_worker_host_ = 10;
  Relays relays_;
  Processes processes_;
  SocketLoop loop_;
  std::unique_ptr<RecordingWire> wire_;
  HttpClient client_;
  std::vector<Daemon> daemons_;  // of each domain the control daemon first
  // By service.
  std::map<std::string, std::unique_ptr<SoakWorkers>> workers_;
  std::unique_ptr<LateWorker> late_worker_;
  std::vector<std::unique_ptr<Answer>> answers_;
  Micros close_stale_at_ = 0;
};

// Reads "--name=value" from the arguments; returns `fallback` if it is not
// there.
std::string Argument(int argc,
                     char** argv,
                     const std::string& name,
                     const std::string& fallback);

// Exit codes of the cases.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

}  // namespace goldcrest

#endif  // REVIEW_STANDINS_2_TESTING_DEPLOYMENT_H_
