#ifndef POOL_WORKER_ORDER_H_
#define POOL_WORKER_ORDER_H_

// The orders that a daemon sends to a worker, and the worker's answers.
//
// A worker obeys the daemon with the highest fencing token it has seen. Every
// order carries the token; one that arrives late with a lower token has no
// effect. All attempts on a worker run under one lease, which ends at a time on
// the worker's own clock; start orders and lease renewals extend it.

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrest/time_units.h"

namespace goldcrest {

enum class OrderKind : uint8_t {
  // List running and ended attempts, and renew the lease unless
  // `lease_until_ms` is 0. Also sent to reconcile and to check the ownership.
  kRenew,
  kStart,  // start one attempt of a task
  kStop,   // stop one attempt of a task
};

enum class OrderOutcome : uint8_t {
  kDone,
  kFenced,            // another daemon has used a higher token
  kStaleAttempt,      // this or a later attempt of the task has ended there
  kTooLate,           // the lease in the order has already expired
  kNoCapacity,        // the worker lacks the free capacity for the task
  kUnhealthy,         // the worker is unhealthy and did not execute the order
  kOtherIncarnation,  // the worker has restarted
  kInvalid,           // the worker does not accept the order's form
  kNotSent,           // nothing was sent, so it is certainly not executed
  kNoAnswer,          // unknown whether it was or will be executed
};

// Names in logs and metrics. They are fixed and differ from some enumerators.
inline constexpr std::array<std::string_view, 10> kOrderOutcomeNames = {
    "done",     "fenced",    "stale_run",         "too_late",
    "no_room",  "unhealthy", "other_incarnation", "invalid",
    "not_sent", "no_answer"};

inline std::string_view ToString(OrderOutcome outcome) {
  return kOrderOutcomeNames[static_cast<size_t>(outcome)];
}

// Why an order has no answer.
enum class CallFailure : uint8_t {
  kNone,     // it has one
  kTimeout,  // nothing came in time: the worker is slow, frozen or cut off
  kRefused,  // no process accepts connections at the worker's address
  kClosed,   // the worker's side closed or reset the connection
  kOther,    // this daemon could not send it
};

// How an attempt ended.
enum class AttemptEnd : uint8_t {
  kDone,
  kFailed,
  kStopped,
  // The lease expired, or the attempt no longer runs and the worker did not
  // report how it ended.
  kLeaseExpired,
  // The worker reported an end that this version has no name for (as those of
  // gangs, tasks that other versions start together), or the start order was
  // refused or not sent.
  kOther,
};

// Names in logs and metrics. They are fixed and differ from some enumerators.
inline constexpr std::array<std::string_view, 5> kAttemptEndNames = {
    "done", "failed", "stopped", "lapsed", "other"};

inline std::string_view ToString(AttemptEnd end) {
  return kAttemptEndNames[static_cast<size_t>(end)];
}

// Identifies one task of a job. `occurrence` numbers the executions of a
// scheduled job; it is 0 for all other jobs.
struct TaskName {
  std::string job_id;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  friend auto operator<=>(const TaskName&, const TaskName&) = default;
};

// Returns the name as written to logs, "JOB/OCCURRENCE/STEP/INDEX".
inline std::string ToString(const TaskName& name) {
  return name.job_id + '/' + std::to_string(name.occurrence) + '/' +
         std::to_string(name.step) + '/' + std::to_string(name.index);
}

struct WorkerOrder {
  OrderKind kind = OrderKind::kRenew;
  std::string worker;   // id
  std::string address;  // "ip:port"
  uint64_t token = 0;   // fencing token
  // Number of the owner's session with the worker; answers to orders of an
  // earlier session are ignored.
  uint64_t session = 0;
  // New end of the lease on the worker's clock, in milliseconds; 0 leaves the
  // lease unchanged.
  int64_t lease_until_ms = 0;

  // For stop orders: the number under which it is repeated
  // (unanswered_orders.h).
  uint64_t number = 0;

  // For start and stop orders.
  TaskName task;
  uint32_t attempt = 0;
  // Start orders only: the job's spec, passed to the worker unchanged.
  std::string spec;

  // For lease renewals. Ended attempts up to this number need not be listed
  // again.
  uint64_t acknowledged_end = 0;
  // Longest time that the worker may wait for another attempt to end before it
  // answers.
  int64_t wait_ms = 0;

  Micros timeout = 0;
  Micros sent_at = 0;
};

// A running attempt, as the worker lists it.
struct RunningAttempt {
  TaskName task;
  uint32_t attempt = 0;
  int progress_percent = 0;
};

// An ended attempt, as the worker lists it. The worker numbers the attempts
// that ended since its start from 1, in the order of their ends.
struct EndedAttempt {
  uint64_t number = 0;
  TaskName task;
  uint32_t attempt = 0;
  AttemptEnd end = AttemptEnd::kOther;
};

struct WorkerAnswer {
  WorkerOrder order;
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  CallFailure failure = CallFailure::kNone;
  int64_t clock_ms = 0;           // the worker's clock; 0 if not reported
  int64_t worker_started_ms = 0;  // when the worker started; 0 if not reported
  std::vector<RunningAttempt> running;
  std::vector<EndedAttempt> ended;
};

}  // namespace goldcrest

#endif  // POOL_WORKER_ORDER_H_
