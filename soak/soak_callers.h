#ifndef SOAK_SOAK_CALLERS_H_
#define SOAK_SOAK_CALLERS_H_

// The callers and operators of the soak, with a record of the results that they
// received.
//
// Callers send jobs at a constant mean rate. They keep their connections open
// until the daemon process ends, even while the daemon is draining or
// unreachable. A small share of the callers cancels its job. Operators send
// each configuration change, unchanged, to one control daemon after the other
// until it is acknowledged.

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "edge/http_client.h"
#include "edge/socket_loop.h"
#include "soak/soak_wire.h"

namespace goldcrest {

struct SoakCallersOptions {
  std::vector<std::string> entries;   // addresses where callers send jobs
  std::vector<std::string> controls;  // addresses where operators send changes
  std::string service;                // backend service that runs the tasks
  double jobs_per_second = 40;
  int max_tasks_per_job = 4;
  int64_t run_time_range_ms = 250;
  int64_t timeout_ms = 1500;     // the shortest timeout of a job
  int64_t timeout_range_ms = 0;  // random part of a timeout; 0: none
  int64_t task_cpu_millis = 6800;
  // Every so many jobs has a task that crashes the workers that start it, while
  // set_sending_crashing_jobs(true).
  uint64_t crashing_job_period = 25;
  double cancel_share = 0.03;  // share of the jobs that are cancelled
  // A caller stops waiting for an answer after this. It is far longer than any
  // guaranteed response time.
  Micros answer_timeout = 8 * kSecond;
  uint64_t seed = 1;
};

// A job and what its caller observed. Times are monotonic.
struct SoakJobRecord {
  SoakJob job;
  Micros sent_at = 0;
  Micros ended_at = 0;  // when the request ended; 0: not yet
  SoakOutcome outcome = SoakOutcome::kNone;
  CallEnd end = CallEnd::kNotSent;  // how the request ended, if it has ended
  Micros cancel_at = 0;             // when the caller cancels the job; 0: never
  Micros cancel_confirmed_at =
      0;                     // when the cancellation was confirmed; 0: never
  size_t entry_index = 0;    // index of the entry daemon
  uint16_t client_port = 0;  // local port of the request's connection; 0: none
};

// Sends the jobs and configuration changes of one soak. Runs on the thread of
// `loop`; `loop` and `wire` must outlive it.
class SoakCallers {
 public:
  SoakCallers(SocketLoop& loop,
              const SoakWire& wire,
              SoakCallersOptions options);

  // Sends the jobs, cancellations and configuration changes that are due.
  void Advance(Micros now);

  // Starts or stops sending jobs.
  void SetSendingJobs(bool on) { sending_jobs_ = on; }

  // Sends a configuration with the next version, and repeats it until it is
  // acknowledged.
  void ChangeConfiguration();
  // Requests the configuration of the control daemon with the index `control`.
  // Sets read_version() to 0 until the response has arrived.
  void ReadConfiguration(size_t control);

  Micros answer_timeout() const { return options_.answer_timeout; }
  const std::map<std::string, SoakJobRecord>& jobs() const { return jobs_; }
  // Returns the number of jobs whose request has not ended yet.
  size_t open_jobs() const { return open_jobs_; }
  // Returns the newest acknowledged configuration version; 0 if there is none.
  uint64_t acknowledged_version() const { return acknowledged_version_; }
  // Returns the number of configuration changes that are not acknowledged.
  size_t unacknowledged_changes() const { return unacknowledged_changes_; }
  // Returns the configuration version that the last ReadConfiguration() got.
  uint64_t read_version() const { return read_version_; }

  // Whether some of the jobs sent from now on crash workers.
  void set_sending_crashing_jobs(bool sending) {
    sending_crashing_jobs_ = sending;
  }

 private:
  void SendJob(Micros now);
  void SendCancels(Micros now);
  // Sends a configuration to the control daemon with the index `control`, taken
  // modulo their number. `tries` is the number of earlier requests for it.
  void SendChange(uint64_t version, size_t control, int tries);
  wire::Routing MakeRouting(uint64_t version) const;

  const SoakWire& wire_;
  SoakCallersOptions options_;
  HttpClient client_;
  std::mt19937_64 random_;
  std::map<std::string, SoakJobRecord> jobs_;
  std::vector<std::string> to_cancel_;  // ids of jobs
  // Actions to run at a monotonic time.
  std::vector<std::pair<Micros, std::function<void()>>> delayed_actions_;
  bool sending_crashing_jobs_ = false;
  bool sending_jobs_ = false;
  Micros next_job_ = 0;
  Micros close_stale_at_ = 0;  // next call of HttpClient::CloseStale()
  size_t open_jobs_ = 0;
  size_t unacknowledged_changes_ = 0;
  uint64_t last_version_ = 0;  // the newest version sent
  uint64_t acknowledged_version_ = 0;
  uint64_t read_version_ = 0;
};

}  // namespace goldcrest

#endif  // SOAK_SOAK_CALLERS_H_
