#ifndef POOL_TESTING_FAKE_WORKER_H_
#define POOL_TESTING_FAKE_WORKER_H_

// A model of backend servers that obey orders: fencing tokens, leases, room,
// numbered runs and the list of ends.
//
// Time is handed in, so the model serves simulated deployments and real
// processes alike. It is also the witness of what ran: it notes a task that
// runs twice at the same time, and one that starts again after a daemon has
// acknowledged that it was done. A run may be repeated when its end could not
// be learned: the worker fell silent until its lease had run out.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "pool/worker_order.h"
#include "proto/pool.pb.h"

namespace goldcrest {

struct FakeWorker {
  struct Run {
    uint32_t number = 0;
    Micros begun = 0;
    Micros ends = 0;
    int64_t cpu = 0;
    bool stopping = false;
  };

  wire::WorkerNews facts;
  bool up = true;
  bool reachable = true;
  bool fails_all = false;
  bool hangs = false;
  int slow_factor = 1;    // run times are so many times as long
  double late_share = 0;  // of the orders that are carried out late, unanswered
  Micros clock_offset = 0;  // of its own clock against the model's
  uint64_t highest_token = 0;
  Micros lease_until = 0;  // on its own clock
  std::map<TaskName, Run> runs;
  std::map<TaskName, uint32_t> ended_runs;
  std::vector<EndedRow> ends;
  uint64_t next_end = 1;
  Micros report_due = 0;
  std::string report_to;  // address of a control daemon
};

// What has become of a task on all workers together.
struct TaskRecord {
  int starts = 0;
  int done = 0;
  int done_acknowledged = 0;
  Micros last_start = 0;
};

struct FakeWorkers {
  std::vector<FakeWorker> all;
  int64_t task_cpu = 6800;  // thousandths of a core that each task takes
  std::map<TaskName, TaskRecord> tasks;
  // What must never happen, and did.
  std::vector<std::string> violations;
};

// Carries out an order on a worker. A task runs for the milliseconds in the
// order's spec.
WorkerAnswer Execute(FakeWorkers& workers,
                     FakeWorker& worker,
                     const WorkerOrder& order,
                     Micros now);

// Ends the runs that are over, stopped, or past the worker's lease.
void EndRuns(FakeWorkers& workers, FakeWorker& worker, Micros now);

// Returns the worker with this id; null when there is none.
FakeWorker* FindWorker(FakeWorkers& workers, const std::string& id);

}  // namespace goldcrest

#endif  // POOL_TESTING_FAKE_WORKER_H_
