#ifndef POOL_WORKERS_OPEN_RUNS_H_
#define POOL_WORKERS_OPEN_RUNS_H_

// Runs that may not be over although nothing is running on a session of this
// daemon. Plain data; run_ends.h, start_bindings.h and open_run_news.h change
// it.

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "goldcrest/time_units.h"
#include "pool/worker_order.h"

namespace goldcrest {

// How late orders may take effect. Both are properties of the workers.
struct LateOrderBounds {
  // Longest lease that a worker grants, whatever the time in an order. It
  // bounds the lease of a run whose order named a time on another process's
  // clock.
  Micros longest_granted_lease = kSecond;
  // An order without an answer may be carried out until this long after it was
  // sent, also by a later process of the worker.
  Micros longest_order_delay = 12 * kSecond;
};

// A run whose session has ended before it.
struct OrphanedRun {
  TaskName task;
  Micros over_at = 0;  // it is certainly over then
};

// The only worker on which a task may be started.
struct StartBinding {
  std::string worker;  // id
  Micros until = 0;
};

// One process of a daemon.
struct DaemonProcess {
  std::string address;  // in the mesh
  uint64_t incarnation = 0;
  auto operator<=>(const DaemonProcess&) const = default;
};

// A run of another daemon's worker, as that daemon has announced it.
struct RunElsewhere {
  Micros over_at = 0;  // the latest that it may be over
  // Of the announcement that this is from; earlier ones are out of date.
  uint64_t sequence = 0;
  bool open = true;
};

// A run that other daemons are told of.
struct AnnouncedRun {
  Micros over_at = 0;
  bool sent = false;
};

// What the daemons of a pool tell each other of open runs.
struct OpenRunNewsState {
  // By task and by the process that has announced it.
  std::map<TaskName, std::map<DaemonProcess, RunElsewhere>> elsewhere;
  std::map<TaskName, AnnouncedRun> announced;
  uint64_t sequence = 0;  // of the last announcement
  Micros send_due = 0;    // earliest time of the next one
};

}  // namespace goldcrest

#endif  // POOL_WORKERS_OPEN_RUNS_H_
