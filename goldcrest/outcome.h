#ifndef GOLDCREST_OUTCOME_H_
#define GOLDCREST_OUTCOME_H_

// Outcomes of submissions and tasks, and the names under which they appear in
// requests, answers, logs and metrics. The numbers are part of the peer
// protocol.

#include <cstdint>
#include <string_view>

namespace goldcrest {

// The outcome of a submission, or kPending while it has none.
enum class Outcome : uint32_t {
  kPending = 0,
  kComplete = 1,
  kFailed = 2,
  kRefused = 3,
  kUnknown = 4,
  kCancelled = 5,
};

// How many tasks of a submission ran.
enum class Ran : uint32_t {
  kNone = 0,
  kPartly = 1,
  kAll = 2,
  kUnknown = 3,
};

// The outcome of an attempt or of a lookup, as the edge to the workers saw it.
enum class TaskOutcome : uint32_t {
  kDone = 0,          // ran, with output
  kFailed = 1,        // ran and failed
  kStaleEpoch = 2,    // refused by the worker, did not run
  kNoSlot = 3,        // refused by the worker, did not run
  kLeaving = 4,       // refused by the worker, did not run
  kNotSent = 5,       // the request was not sent, did not run
  kUnanswered = 6,    // sent but not answered, may have run
  kRunning = 7,       // answer to a lookup: still running
  kNeverSeen = 8,     // answer to a lookup: unknown to the worker
  kLookupFailed = 9,  // a lookup without an answer
};

// Returns the name of `outcome` in JSON bodies.
constexpr std::string_view ToString(Outcome outcome) {
  constexpr std::string_view kNames[] = {"pending", "complete", "failed",
                                         "refused", "unknown",  "cancelled"};
  return kNames[static_cast<uint32_t>(outcome) % 6];
}

// Returns the name of `ran` in JSON bodies.
constexpr std::string_view ToString(Ran ran) {
  constexpr std::string_view kNames[] = {"none", "partly", "all", "unknown"};
  return kNames[static_cast<uint32_t>(ran) % 4];
}

// Returns the name of `outcome` in logs and metrics.
constexpr std::string_view ToString(TaskOutcome outcome) {
  constexpr std::string_view kNames[] = {
      "done",     "failed", "stale_epoch", "no_slot",    "leaving",
      "not_sent", "lost",   "running",     "never_seen", "lookup_failed"};
  return kNames[static_cast<uint32_t>(outcome) % 10];
}

// Returns true if `outcome` proves that the attempt did not run.
constexpr bool ProvesNotRun(TaskOutcome outcome) {
  return outcome == TaskOutcome::kStaleEpoch ||
         outcome == TaskOutcome::kNoSlot || outcome == TaskOutcome::kLeaving ||
         outcome == TaskOutcome::kNotSent;
}

}  // namespace goldcrest

#endif  // GOLDCREST_OUTCOME_H_
