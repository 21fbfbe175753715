#ifndef POOL_WORKER_ORDER_H_
#define POOL_WORKER_ORDER_H_

// What a control daemon asks of a worker, and what the worker answers.
//
// A worker obeys the daemon with the highest fencing token it has seen. Every
// order carries the token; one that arrives late with a lower token does
// nothing. All runs on a worker live under one lease, a time on the worker's
// own clock, that starts and holds extend.

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrest/time_units.h"

namespace goldcrest {

enum class OrderKind : uint8_t {
  kHold,   // extend the lease, and list what runs and what has ended
  kStart,  // start one run of a task
  kStop,   // stop one run of a task
};

enum class OrderOutcome : uint8_t {
  kDone,
  kFenced,            // another daemon has used a higher token
  kStaleRun,          // the worker has seen this run, or a later one, end
  kTooLate,           // the lease named in the order has passed
  kNoRoom,            // the worker cannot hold the task now
  kUnhealthy,         // the worker is unhealthy and has done nothing
  kOtherIncarnation,  // the worker has restarted
  kInvalid,           // the worker does not accept the order's form
  kNotSent,           // no byte of it left this VM
  kNoAnswer,          // it may be carried out, now or later
};

inline constexpr std::array<std::string_view, 10> kOrderOutcomeNames = {
    "done",     "fenced",    "stale_run",         "too_late",
    "no_room",  "unhealthy", "other_incarnation", "invalid",
    "not_sent", "no_answer"};

inline std::string_view NameOf(OrderOutcome outcome) {
  return kOrderOutcomeNames[static_cast<size_t>(outcome)];
}

// How a run ended.
enum class RunEnd : uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLapsed,  // the lease ran out
  kOther,  // an end that concerns gangs, or one that this version does not know
};

inline constexpr std::array<std::string_view, 5> kRunEndNames = {
    "done", "failed", "stopped", "lapsed", "other"};

inline std::string_view NameOf(RunEnd end) {
  return kRunEndNames[static_cast<size_t>(end)];
}

// Names one task of a job. `occurrence` counts the times at which a job with a
// schedule runs; it is 0 for all others.
struct TaskName {
  std::string job_id;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  friend auto operator<=>(const TaskName&, const TaskName&) = default;
};

// Returns the name as it stands in logs, "JOB/OCCURRENCE/STEP/INDEX".
inline std::string ToText(const TaskName& name) {
  return name.job_id + '/' + std::to_string(name.occurrence) + '/' +
         std::to_string(name.step) + '/' + std::to_string(name.index);
}

struct WorkerOrder {
  OrderKind kind = OrderKind::kHold;
  std::string worker;   // id
  std::string address;  // "ip:port"
  uint64_t token = 0;   // fencing token
  // Number of the control daemon's session with the worker; answers to orders
  // of an earlier session are ignored.
  uint64_t session = 0;
  // End of the lease on the worker's clock, in milliseconds; 0 leaves it.
  int64_t lease_until_ms = 0;

  // Starts and stops.
  TaskName task;
  uint32_t run = 0;
  std::string spec;  // starts only

  // Holds: ends up to this number need not be listed again, and how long the
  // answer may wait for another end.
  uint64_t acknowledged_end = 0;
  int64_t wait_ms = 0;

  Micros timeout = 0;
  Micros sent_at = 0;
};

struct RunningRow {
  TaskName task;
  uint32_t run = 0;
  int progress_percent = 0;
};

struct EndedRow {
  uint64_t number = 0;
  TaskName task;
  uint32_t run = 0;
  RunEnd end = RunEnd::kOther;
};

struct WorkerAnswer {
  WorkerOrder order;
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  int64_t clock_ms = 0;  // the worker's clock; 0 when it was not told
  int64_t born_ms = 0;   // when the worker started; 0 when it was not told
  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;
};

}  // namespace goldcrest

#endif  // POOL_WORKER_ORDER_H_
