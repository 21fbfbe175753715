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
  bool fails_all = false;
  bool hangs = false;
  int slow_factor = 1;  // multiplies the run times
  double late_order_share =
      0;                    // share of orders executed late and not answered
  Micros clock_offset = 0;  // of its own clock relative to the model's
  uint64_t highest_token = 0;
  Micros lease_until = 0;  // on its own clock
  std::map<TaskName, Attempt> attempts;
  std::map<TaskName, uint32_t> last_ended_attempt;
  std::vector<EndedAttempt> unacknowledged_ends;
  uint64_t next_end = 1;
  Micros report_due = 0;
  std::string report_to;  // address of a control daemon
};

// Counts of the attempts of a task on all workers.
struct TaskRecord {
  int starts = 0;
  int done = 0;
  int done_acknowledged = 0;
  int crashes = 0;  // of workers that started it
  Micros last_start = 0;
};

struct FakeWorkers {
  std::vector<FakeWorker> all;
  std::map<TaskName, TaskRecord> tasks;
  // Descriptions of the invariants that were violated.
  std::vector<std::string> violations;
};

// Time from the start of a task that crashes its worker to the crash, and from
// the crash until the worker is back.
inline constexpr Micros kTimeToCrash = 10 * kMillisecond;
inline constexpr Micros kOutageOfCrash = 3 * kSecond;

// Executes an order on a worker and returns the answer. The order's spec is the
// run time of the task in milliseconds, a slash, the thousandths of a core that
// it uses, and, for a job with a task that crashes the workers that start it, a
// slash and the index of that task.
WorkerAnswer ExecuteOrder(FakeWorkers& workers,
                          FakeWorker& worker,
                          const WorkerOrder& order,
                          Micros now);

// Crashes the worker if that is due, and starts a crashed one again.
void CrashOrRestart(FakeWorker& worker, Micros now);

// Ends the attempts that are finished, stopped, or past the worker's lease.
void EndFinishedAttempts(FakeWorkers& workers, FakeWorker& worker, Micros now);

// Returns the worker with this id, or null if there is none.
FakeWorker* FindWorker(FakeWorkers& workers, const std::string& id);

}  // namespace goldcrest

#endif  // POOL_TESTING_FAKE_WORKER_H_
