#ifndef REVIEW_TESTING_STAND_INS_H_
#define REVIEW_TESTING_STAND_INS_H_

// Stand-ins for clients, workers, the operator and the platform around the
// project's own programs, for the cases of the review.
//
// A World starts control and entry daemons as separate processes with the
// programs and flag templates of the deploy file, on loopback addresses and the
// real clock. Workers, clients and the operator run on the loop of the calling
// thread. All that is sent, answered and run is written to the record.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "edge/http_client.h"
#include "edge/http_server.h"
#include "edge/socket_loop.h"
#include "edge/testing/relay.h"
#include "platform/testing/soak_wire.h"
#include "pool/worker_order.h"
#include "soak/processes.h"

namespace goldcrest::review {

// One run of a task on a worker, as the worker saw it.
struct Run {
  std::string task;
  uint32_t number = 0;
  std::string worker;
  Micros began = 0;
  Micros ended = 0;  // 0: still running
  std::string end;
};

// A daemon under test.
struct Daemon {
  std::string name;
  std::string zone;
  bool control = false;
  std::string listen_ip;  // where the process listens
  std::string ip;         // where the other daemons reach it
  std::string folder;     // of the disk
  std::string settings;   // path of the settings file
  int process = 0;        // 0: not running
  std::string http_address() const { return listen_ip + ":8080"; }
  std::string readiness_address() const { return listen_ip + ":8081"; }
};

class World;

// A worker that follows the pages. A second start with the same id is a new
// boot: it knows nothing of before, and its clock and its counts start anew.
class Worker {
 public:
  Worker(World& world, std::string id, std::string zone, std::string address);

  // Listens, and sends the first report at once to the control daemon with the
  // index `report_to`.
  void Start(size_t report_to);
  // Ends the process: runs, connections and all that it knew are gone.
  void End();
  // Ends runs, answers waiting calls and sends the reports that are due.
  void Advance(Micros now);
  void ReportDraining() { draining_ = true, report_due_ = 0; }

  const std::string& id() const { return id_; }
  const std::string& zone() const { return zone_; }
  bool up() const { return server_ != nullptr; }
  bool idle() const { return running_.empty(); }
  size_t runs() const { return running_.size(); }
  int64_t born_ms() const { return born_ms_; }
  bool Runs(const std::string& job_id) const;
  Micros last_order_at() const { return last_order_at_; }
  Micros first_report_confirmed_at() const { return report_confirmed_at_; }

  // When a report was confirmed that says that the worker drains; 0: none.
  Micros draining_confirmed_at() const { return draining_confirmed_at_; }
  // A report of this worker by another writer: without zone and labels, and
  // with that writer's own count of reports.
  std::string ReportOfAnotherWriter() const;

  // A report of another writer about the same machine, of a service that no
  // configuration names.
  std::string ReportOfAnotherService() const;

  // Rate of the worker's clock; the pages allow 0.98.
  double clock_rate = 1.0;
  // Returns how the worker treats a call: 0: it answers; else it leaves the
  // call unanswered and carries it out after this time. kNeverCarriedOut: the
  // call does not reach it.
  std::function<Micros(const WorkerOrder&)> hold_back;
  static constexpr Micros kNeverCarriedOut = -1;
  // Whether no byte passes between the worker and any machine.
  bool cut_off = false;

 private:
  struct Running {
    Run* run = nullptr;
    uint32_t number = 0;
    int64_t cpu = 0;
    Micros began = 0;
    Micros ends_at = 0;
    bool stopping = false;
  };
  struct Ended {
    uint64_t number = 0;
    TaskName task;
    uint32_t run = 0;
    AttemptEnd end = AttemptEnd::kDone;
  };
  struct Waiting {
    RequestToken token = 0;
    WorkerOrder order;
    Micros until = 0;
  };

  int64_t ClockMs(Micros now) const;
  void OnRequest(RequestToken token, const HttpRequest& request);
  WorkerAnswer CarryOut(const WorkerOrder& order, Micros now);
  OrderOutcome StartRun(const WorkerOrder& order, Micros now);
  void EndRun(const TaskName& task, AttemptEnd end, Micros now);
  void List(Micros now, WorkerAnswer& answer);
  void Answer(RequestToken token, const WorkerAnswer& answer);
  void SendReport(Micros now);

  World& world_;
  std::string id_;
  std::string zone_;
  std::string address_;
  std::unique_ptr<HttpServer> server_;
  int boot_ = 0;
  int64_t born_ms_ = 0;
  Micros started_at_ = 0;
  uint64_t token_ = 0;
  Micros lease_until_ms_ = 0;  // on the worker's clock
  std::map<TaskName, Running> running_;
  std::map<TaskName, uint32_t> highest_ended_;
  std::vector<Ended> ended_;
  uint64_t next_end_ = 1;
  std::vector<Waiting> waiting_;
  uint64_t sequence_ = 0;
  bool draining_ = false;
  bool report_in_flight_ = false;
  Micros report_due_ = 0;
  Micros report_confirmed_at_ = 0;
  Micros draining_confirmed_at_ = 0;
  std::string report_to_;
  size_t control_index_ = 0;
  Micros last_order_at_ = 0;
};

// What a client sends.
struct Job {
  std::string id;
  std::string prefix = "/knell/";
  int steps = 1;  // each after the one before it
  int tasks = 1;  // of each step
  int64_t cpu = 6800;
  int64_t estimate_ms = 200;
  int64_t run_ms = 200;
  int64_t timeout_ms = 1500;
};

// A client's answer; status 0: none.
using AnswerHandler = std::function<void(int status, const std::string& body)>;

struct WorldOptions {
  std::string folder;       // for disks, logs and settings
  std::string record_path;  // of record.txt
  int controls = 3;
  int entries = 3;
  int workers_per_zone = 5;
  bool relay_mesh = false;  // the daemons reach each other through relays
  double clock_rate = 1.0;  // of the workers
};

class World {
 public:
  explicit World(WorldOptions options);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  // Starts daemons and workers, sends the first configuration and waits until
  // each entry daemon is ready and all workers have been claimed. Returns false
  // if that takes too long.
  bool StartAll();

  void StartDaemon(Daemon& daemon, bool first_start);
  void Signal(Daemon& daemon, int signal);

  // Runs the loop for this time, or until `done` returns true. Returns whether
  // `done` has returned true.
  bool RunFor(Micros time, const std::function<bool()>& done = nullptr);
  // Calls `action` from the loop after `delay`.
  void After(Micros delay, std::function<void()> action);

  // Hands a job in. A call without an answer ends after the job's timeout.
  void Submit(const Job& job, const Daemon& entry, AnswerHandler on_answer);
  // Hands a job in, and again `resend_ms` later, at the next entry daemon, when
  // the answer was 502 or 504 or none came.
  void SubmitWithResend(const Job& job, size_t entry, int sends_left);
  // Cancels a job.
  void Cancel(const Job& job, const Daemon& entry, AnswerHandler on_answer);
  // Sends a configuration with this version; with `more_routes` it has a route
  // that earlier ones lack.
  void SendConfiguration(uint64_t version,
                         bool more_routes,
                         const Daemon& control,
                         AnswerHandler on_answer);
  void Call(HttpCall call, AnswerHandler on_answer);

  // Sends jobs of one task at this rate from now on; 0 stops them.
  void SetBackground(double jobs_per_second, const Job& job);

  void Record(const std::string& text);
  // Writes the runs to the record and returns the number of pairs of runs of
  // one task that overlap by at least `slack`.
  int CountDoubleRuns(Micros slack);

  // Writes the record and ends all processes.
  void Finish();

  std::string NextJobId();
  Micros now() const { return MonotonicMicros(); }
  Micros since_start(Micros at) const { return at - began_at_; }

  WorldOptions options;
  std::vector<Daemon> controls;
  std::vector<Daemon> entries;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Run>> runs;
  SocketLoop loop;
  platform::PlatformSoakWire wire;
  std::unique_ptr<Relays> relays;
  uint64_t orders = 0;  // calls that workers received

 private:
  void ChooseNetwork();
  void AddDaemon(bool control, int index);
  std::string FillTemplate(const Daemon& daemon, bool first_start) const;

  int network_ = 0;
  std::unique_ptr<Processes> processes_;
  HttpClient client_;
  std::multimap<Micros, std::function<void()>> actions_;
  Micros began_at_ = 0;
  Micros maintenance_due_ = 0;
  uint64_t next_job_ = 0;
  double background_rate_ = 0;
  Job background_;
  Micros next_background_ = 0;
  size_t next_background_entry_ = 0;
  std::string record_;
};

}  // namespace goldcrest::review

#endif  // REVIEW_TESTING_STAND_INS_H_
