#ifndef POOL_TESTING_FAKE_WORKER_H_
#define POOL_TESTING_FAKE_WORKER_H_

// A model of backend servers that execute orders, with fencing tokens, leases,
// limited capacity, numbered attempts and a list of ended attempts.
//
// The time is a parameter, so the model is used by simulated deployments and by
// real processes alike. The model also checks invariants: it records a
// violation when two attempts of a task run at the same time, and when a task
// is started again after a daemon has acknowledged that it was done. A task may
// be started again if the end of its attempt could not be reported, because the
// worker was unreachable until its lease expired.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "pool/worker_order.h"
#include "proto/pool.pb.h"

namespace goldcrest {

// Time from the start of a task that crashes its worker to the crash, and from
// the crash until the worker is back.
inline constexpr Micros kTimeToCrash = 10 * kMillisecond;
inline constexpr Micros kOutageOfCrash = 3 * kSecond;

struct FakeWorker {
  // One running attempt of a task.
  struct Attempt {
    uint32_t number = 0;
    Micros started_at = 0;
    Micros ends_at = 0;
    int64_t cpu = 0;
    bool stopping = false;
  };

  wire::WorkerNews status;
  bool up = true;
  // A task has crashed its process: it is not `up`, refuses connections, and
  // starts again at `back_at`.
  bool crashed = false;
  Micros crashes_at = 0;  // 0: no task that crashes it runs there
  Micros back_at = 0;
  // Whether it rejects starts beyond its capacity; such a start is a violation
  // if it does not.
  bool guards_capacity = true;
  // Capacity beyond which a start is a violation; 0: the present one. Right
  // after it has shrunk, the worker's owner cannot know that yet.
  int64_t judged_cpu_millis = 0;
  bool reachable = true;
  // Connections to it pass a proxy, which closes them while no process listens.
  bool behind_proxy = false;
  // The link to it closes and refuses connections, while its process lives.
  bool link_refuses = false;
  bool fails_all = false;
  bool hangs = false;
  int slow_factor = 1;  // multiplies the run times
  double late_order_share =
      0;  // share of orders executed late and not answered
  // Bounds of the time until a late order is executed.
  Micros shortest_delay = 3 * kSecond;
  Micros longest_delay = 3 * kSecond;
  // Shares of the orders that are executed and not answered, executed twice,
  // and neither executed nor answered since the worker closes the connection.
  double lost_answer_share = 0;
  double duplicate_share = 0;
  double closed_share = 0;
  double lost_report_share = 0;  // of its reports that arrive late, or never
  Micros clock_offset = 0;       // of its own clock at the process's start
  double clock_rate = 1;         // of its own clock: below 1 it runs slow
  // Time from the start of a task that crashes it to the crash; 0: it crashes
  // before it answers the start.
  Micros time_to_crash = kTimeToCrash;
  // Each of its processes has an id of its own.
  bool renamed_at_start = false;
  Micros born_at = 0;  // when its process started, on the model's clock
  // When a control daemon first confirmed its report that it drains; 0: never.
  Micros draining_confirmed_at = 0;
  // Longest time from that to the start of a task.
  Micros latest_start_draining = 0;
  uint64_t highest_token = 0;
  Micros lease_until = 0;  // on its own clock
  std::map<TaskName, Attempt> attempts;
  std::map<TaskName, uint32_t> last_ended_attempt;
  std::vector<EndedAttempt> unacknowledged_ends;
  uint64_t next_end = 1;
  Micros report_due = 0;
  // Time from the start of its process to its first report.
  Micros first_report_after = 0;
  std::string report_to;  // address of a control daemon
};

// Counts of the attempts of a task on all workers.
struct TaskRecord {
  int starts = 0;
  int done = 0;
  int done_acknowledged = 0;
  int crashes = 0;  // of workers that started it
  int failures = 0;
  int lost = 0;  // times that its worker's process ended under it
  Micros last_start = 0;
  Micros last_run_until = 0;  // when it was last seen running
};

struct FakeWorkers {
  std::vector<FakeWorker> all;
  std::map<TaskName, TaskRecord> tasks;
  // Descriptions of the invariants that were violated.
  std::vector<std::string> violations;
};

// Executes an order on a worker and returns the answer. The order's spec is the
// run time of the task in milliseconds, a slash, the thousandths of a core that
// it uses, and, for a job with a task that crashes the workers that start it, a
// slash and the index of that task.
WorkerAnswer ExecuteOrder(FakeWorkers& workers,
                          FakeWorker& worker,
                          const WorkerOrder& order,
                          Micros now);

// Ends the process of the worker, which refuses connections until it starts
// again at `back_at`, under its id.
void EndProcess(FakeWorkers& workers, FakeWorker& worker, Micros back_at);

// Crashes the worker if that is due, and starts a crashed one again.
void CrashOrRestart(FakeWorkers& workers, FakeWorker& worker, Micros now);

// Ends the attempts that are finished, stopped, or past the worker's lease.
void EndFinishedAttempts(FakeWorkers& workers, FakeWorker& worker, Micros now);

// Returns the worker at this address, or null if there is none.
FakeWorker* FindWorker(FakeWorkers& workers, const std::string& address);

}  // namespace goldcrest

#endif  // POOL_TESTING_FAKE_WORKER_H_
