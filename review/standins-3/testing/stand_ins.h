#ifndef REVIEW_STANDINS_3_TESTING_STAND_INS_H_
#define REVIEW_STANDINS_3_TESTING_STAND_INS_H_

// Stand-ins for the scripts of the third review: HTTP calls and servers, the
// processes of a small deployment, and workers. Everything runs on loopback
// addresses and the real clock.

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Steady clock, in milliseconds.
int64_t NowMs();
// Wall clock, in milliseconds since 1970.
int64_t WallMs();
void SleepMs(int64_t ms);

// Writes lines with the time since its creation. Callable from any thread.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  int64_t began_ms_;
};

struct Reply {
  int status = 0;  // 0: no response
  std::string body;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

// Sends one request on a new connection.
Reply Call(const std::string& address,
           const std::string& method,
           const std::string& path,
           const Headers& headers,
           const std::string& body,
           int64_t timeout_ms);

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

// An HTTP server with one thread for each connection.
class Server {
 public:
  using Handler = std::function<Reply(const Request&)>;
  Server(const std::string& ip, int port, Handler handler);
  ~Server();
  // Resets all connections and stops listening, as when a process crashes.
  void Stop();
  bool ok() const { return listener_ >= 0; }

 private:
  void Accept();
  void Serve(int socket);

  Handler handler_;
  std::atomic<int> listener_{-1};
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::set<int> sockets_;
  std::vector<std::thread> threads_;
};

// One process of the system.
struct Daemon {
  std::string name;
  std::string zone;
  std::string ip;
  bool control = false;
  pid_t process = 0;
};

// The processes of a deployment with one control daemon and one entry daemon
// in each zone, started with the commands and templates of the deploy file.
class Deployment {
 public:
  // `folder` is a temporary folder for settings, logs and disks.
  Deployment(std::string folder, std::vector<std::string> zones);
  ~Deployment();

  // Returns false if a process could not be started.
  bool Start(Daemon& daemon, bool first_start);
  bool StartAll();
  static void Signal(const Daemon& daemon, int signal);
  // Returns whether the process has ended; collects it.
  static bool HasEnded(Daemon& daemon);
  void KillAll();

  // Sends the configuration until it is acknowledged.
  bool Configure(const std::string& document, int64_t timeout_ms);
  // Waits until all entry daemons report that they are ready.
  bool AwaitReady(int64_t timeout_ms);

  const std::vector<Daemon>& controls() const { return controls_; }
  std::vector<Daemon>& controls() { return controls_; }
  std::vector<Daemon>& entries() { return entries_; }
  std::string ControlAddress(const Daemon& daemon) const;
  std::string FrontAddress(const Daemon& daemon) const;
  std::string WorkerIp(int index) const;
  int network() const { return network_; }

 private:
  std::string folder_;
  int network_ = 0;  // second byte of all addresses
  std::vector<Daemon> controls_;
  std::vector<Daemon> entries_;
};

// What a worker was told to start.
struct Start {
  std::string task;
  int64_t run = 0;
  std::string spec;
};

// A worker as the pages describe it, with guards: it rejects what does not fit.
class Worker {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    std::string ip;
    int port = 8080;
    std::vector<std::string> labels;
    int64_t cpu = 64000;
    int64_t memory_mb = 131072;
    int64_t heartbeat_ms = 1500;
    // The control daemons, in the order in which reports are tried.
    std::vector<std::string> control;
  };
  // Called for each start that the worker carries out. A spec begins with the
  // task's cpu and its milliseconds of work.
  using StartHandler = std::function<void(Worker&, const Start&)>;

  Worker(Options options, Record& record, StartHandler on_start);
  ~Worker();

  void Boot();
  void Crash();

  const Options& options() const { return options_; }
  // Changes what the next boot is.
  void SetLabels(std::vector<std::string> labels);
  std::vector<std::string> labels();
  int boots() const { return boots_; }
  int64_t born_ms() const { return born_ms_; }
  // When a report of the present boot was first acknowledged; 0: never.
  int64_t acknowledged_at() const { return acknowledged_at_; }

 private:
  struct Run {
    int64_t number = 0;
    int64_t ends_at = 0;
    int64_t stops_at = 0;
    int64_t began_at = 0;
    int64_t cpu = 0;
  };
  struct End {
    int64_t number = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
  };

  Reply OnRequest(const Request& request);
  Reply OnOrder(const std::string& path, const std::string& body);
  // Both with the mutex held.
  void Advance();
  int64_t Clock() const;
  void Report(int boot);

  Options options_;
  Record& record_;
  StartHandler on_start_;
  std::mutex mutex_;
  std::unique_ptr<Server> server_;
  std::thread reporter_;
  std::atomic<int> boots_{0};
  std::atomic<bool> up_{false};
  std::atomic<int64_t> acknowledged_at_{0};
  int64_t boot_at_ = 0;
  std::atomic<int64_t> born_ms_{0};
  int64_t sequence_ = 0;
  int64_t token_ = 0;
  int64_t lease_until_ = 0;  // on the worker's clock
  int64_t next_end_ = 1;
  std::map<std::string, Run> runs_;
  std::map<std::string, int64_t> ended_;
  std::vector<End> ends_;
  std::string report_to_;
};

// Returns `count` random hexadecimal digits.
std::string RandomHex(int count);

// The one route of the scripts' configuration, and its service.
inline constexpr char kHost[] = "nony24.example";
inline constexpr char kPrefix[] = "/lohu930/";
inline constexpr char kService[] = "huvo11a";

// Returns a configuration with this route and service.
std::string Configuration(int version);

// Returns workers that are not started yet: `per_zone` in each zone, of which
// the first two are of kind "a" and the others of kind "b".
std::vector<std::unique_ptr<Worker>> MakeWorkers(
    const Deployment& deployment,
    const std::vector<std::string>& zones,
    int per_zone,
    Record& record,
    const Worker::StartHandler& on_start);

// Returns whether the environment asks for the case without its disruptions.
bool IsWithoutTrouble();

}  // namespace review

#endif  // REVIEW_STANDINS_3_TESTING_STAND_INS_H_
