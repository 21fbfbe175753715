#ifndef EDGE_STAND_IN_WORKER_H_
#define EDGE_STAND_IN_WORKER_H_

// A backend server made for tests and measurement.
//
// It announces itself, renews its lease where it is told to, takes starts
// within its slots and its lease epoch, and "runs" a task by waiting for the
// time in its payload:
//
//   sleep:MS            answers the payload after MS milliseconds
//   sleep:MS;out:TEXT   answers TEXT
//   fail                fails at once
//   crash               loses its memory and its connections, and comes back
//                       as a new incarnation
//
// Anything else runs for the start's run_ms and answers the payload. Every
// start, end, stop and refusal is a line in the start log, which is the
// witness for checks that nothing ran twice.

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

// The file of starts and ends, one JSON object a line.
class StartLog {
 public:
  StartLog() = default;
  StartLog(const StartLog&) = delete;
  StartLog& operator=(const StartLog&) = delete;
  ~StartLog() { Close(); }

  // Opens `path` for appending. Returns whether that worked.
  bool Open(const std::string& path);

  // Appends a line; does nothing without a file.
  void Write(const std::string& line);

  // Syncs and closes the file.
  void Close();

 private:
  std::FILE* file_ = nullptr;
};

struct StandInOptions {
  std::string name;
  std::string address;
  std::vector<std::string> entries;
  std::string failure_domain;
  std::string rack;
  int slots = 8;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  double fail_rate = 0;
  double straggle_rate = 0;
  uint64_t seed = 1;
};

class StandInWorker {
 public:
  StandInWorker(SocketLoop& loop, StartLog& log, StandInOptions options);

  // Does what is due at `now`: ends tasks, renews the lease, comes back after
  // a crash. Returns when something is due next.
  Micros Advance(Micros now);

  // Announces that the worker is leaving; it is gone when its tasks are done.
  void Leave();

  bool gone() const { return leaving_ && told_leaving_ && running_.empty(); }

 private:
  // One task that runs.
  struct Run {
    std::string task_id;
    uint64_t attempt = 0;
    RequestToken token = 0;
    std::string output;
    bool fails = false;
    Micros ends_at = 0;
  };

  // How a task ended, kept for lookups.
  struct Ended {
    bool failed = false;
    std::string output;
  };

  void OnRequest(RequestToken token, const HttpRequest& request);
  void OnStart(RequestToken token, const HttpRequest& request);
  void OnLookup(RequestToken token, const std::string& task_id);
  void OnStop(RequestToken token, const std::string& task_id);
  void Reply(RequestToken token, int status, std::string body);
  void End(const Run& run, Micros now);
  void Remember(const std::string& task_id, Ended ended);
  void Announce(Micros now);
  void OnLease(CallEnd end, const HttpResponse& response);
  void Crash(Micros now);
  void Listen();
  void WriteLine(const char* event,
                 const std::string& task_id,
                 uint64_t attempt,
                 uint64_t lease_epoch);

  SocketLoop& loop_;
  StartLog& log_;
  StandInOptions options_;
  std::mt19937_64 random_;
  std::unique_ptr<HttpServer> server_;
  HttpClient client_;
  std::map<std::string, Run> running_;
  std::map<std::string, Ended> ended_;
  std::deque<std::string> ended_order_;
  uint64_t incarnation_;
  uint64_t lease_epoch_ = 0;
  std::string entry_;
  size_t next_entry_ = 0;
  bool announcing_ = false;
  bool leaving_ = false;
  bool told_leaving_ = false;
  Micros announce_at_ = 0;
  Micros back_at_ = 0;  // not 0 while crashed
  Micros closed_stale_at_ = 0;
};

}  // namespace goldcrest

#endif  // EDGE_STAND_IN_WORKER_H_
