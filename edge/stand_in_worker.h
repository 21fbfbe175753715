#ifndef EDGE_STAND_IN_WORKER_H_
#define EDGE_STAND_IN_WORKER_H_

// A simulated backend server for tests and measurements.
//
// It announces itself, renews its lease at the entry VM that the lease response
// names, accepts tasks within its slots and its lease epoch, and "runs" a task
// by waiting for the time in its payload:
//
//   sleep:MS            returns the payload as output after MS milliseconds
//   sleep:MS;out:TEXT   returns TEXT as output after MS milliseconds
//   fail                fails immediately
//   crash               discards its state, closes its server connections, and
//                       restarts as a new incarnation
//
// Any other payload runs for the run_ms of the start request and is returned as
// output. Every start, end, stop and refusal is a line in the attempt log,
// which tests check to verify that no task ran twice.

#include <cstdint>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "edge/http_client.h"
#include "edge/http_server.h"
#include "edge/socket_loop.h"

namespace goldcrest {

// The log file of starts, ends, stops and refusals of attempts, one JSON object
// per line.
class AttemptLog {
 public:
  AttemptLog() = default;
  AttemptLog(const AttemptLog&) = delete;
  AttemptLog& operator=(const AttemptLog&) = delete;
  ~AttemptLog() { Close(); }

  // Opens `path` for appending. Returns true on success.
  bool Open(const std::string& path);

  // Appends a line; does nothing if no file is open.
  void Write(const std::string& line);

  // Syncs and closes the file.
  void Close();

 private:
  std::FILE* file_ = nullptr;
};

// Settings of a stand-in worker.
struct StandInOptions {
  std::string name;
  std::string address;                       // "ip:port" to listen on
  std::vector<std::string> entry_addresses;  // HTTP addresses of the entry VMs
  std::string failure_domain;
  std::string rack;
  int slots = 8;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  double fail_rate = 0;      // share of attempts that fail, 0 to 1
  double straggle_rate = 0;  // share of attempts that run 10 times as long
  uint64_t seed = 1;
};

class StandInWorker {
 public:
  StandInWorker(SocketLoop& loop, AttemptLog& log, StandInOptions options);

  // Performs the work that is due at `now`: ends tasks, renews the lease,
  // restarts after a crash. Returns the time of the next such work.
  Micros Advance(Micros now);

  // Announces that the worker is leaving. has_left() returns true once the
  // announcement was sent and all tasks have ended.
  void Leave();

  bool has_left() const {
    return leaving_ && leaving_announced_ && running_.empty();
  }

 private:
  // A running task.
  struct RunningTask {
    std::string task_id;
    uint64_t attempt = 0;
    RequestToken token = 0;
    std::string output;
    bool fails = false;
    Micros ends_at = 0;
  };

  // The result of an ended task, kept for lookups.
  struct EndedTask {
    bool failed = false;
    std::string output;
  };

  void OnRequest(RequestToken token, const HttpRequest& request);
  void OnStart(RequestToken token, const HttpRequest& request);
  void OnLookup(RequestToken token, const std::string& task_id);
  void OnStop(RequestToken token, const std::string& task_id);
  void Reply(RequestToken token, int status, std::string body);
  void EndTask(const RunningTask& run, Micros now);
  void RecordEnd(const std::string& task_id, EndedTask ended);
  // Sends an announcement, which also renews the lease.
  void Announce(Micros now);
  void OnLeaseResponse(CallEnd end, const HttpResponse& response);
  void Crash(Micros now);
  void Listen();
  void WriteLine(const char* event,
                 const std::string& task_id,
                 uint64_t attempt,
                 uint64_t lease_epoch);

  SocketLoop& loop_;
  AttemptLog& log_;
  StandInOptions options_;
  std::mt19937_64 random_;
  std::unique_ptr<HttpServer> server_;
  HttpClient client_;
  std::map<std::string, RunningTask> running_;
  std::map<std::string, EndedTask> ended_tasks_;
  std::deque<std::string> ended_task_order_;
  uint64_t incarnation_;
  uint64_t lease_epoch_ = 0;
  std::string
      current_entry_;  // address for announcements; empty: try the next entry
  size_t next_entry_ = 0;
  bool announcing_ = false;
  bool leaving_ = false;
  bool leaving_announced_ = false;
  Micros announce_at_ = 0;
  Micros restart_at_ = 0;  // time of the restart after a crash; 0: not crashed
  Micros last_stale_check_at_ = 0;
};

}  // namespace goldcrest

#endif  // EDGE_STAND_IN_WORKER_H_
