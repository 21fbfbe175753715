#ifndef POOL_POOL_WORKER_H_
#define POOL_POOL_WORKER_H_

// What a daemon knows of a worker, of the attempts there, and of its own
// session with it. Plain data; see pool_board.h for the modules that change it.

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "goldcrest/time_units.h"
#include "pool/worker_order.h"
#include "proto/pool.pb.h"

namespace goldcrest {

// Resources that a task requires, or that a worker has free or in use.
struct Resources {
  int64_t cpu_millis = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};

// State of this daemon's session with a worker.
enum class SessionState : uint8_t {
  kNone,         // this daemon does not own the worker
  kReconciling,  // verifies its ownership if it had the worker before, then
                 // queries under a new token what runs there
  kReady,        // accepts starts
  kReleasing,    // accepts no starts; handed over once nothing runs
};

// State of an attempt as known to its owner.
enum class AttemptState : uint8_t {
  kSent,  // the start order is not answered yet
  kRunning,
  kStopping,  // a stop was ordered; the end is not reported yet
};

// One attempt of a task that may occupy resources of a worker.
// Why an attempt is stopped.
enum class StopReason : uint8_t {
  // Its job has ended: the attempt is detached from it, and its end is ignored.
  kJobEnded,
  // The same, and the caller may have been told a while ago that the outcome is
  // unknown, so that it will send the job again sooner.
  kJobAbandoned,
  // Its task is to be started elsewhere: its end is reported to its job.
  kTaskMoves,
};

struct WorkerAttempt {
  std::string job_key;          // empty: belongs to no job of this daemon
  uint32_t attempt_number = 0;  // 1 for the first attempt of the task
  // Fencing token of its start order, or of the order whose answer listed it if
  // this daemon did not start it.
  uint64_t token = 0;
  // Start time of the worker's process that confirmed the attempt, as the
  // worker reports it; 0: not known.
  int64_t process_ms = 0;
  // The worker has refused its start, since this run or a later one of the task
  // has ended there: it is over, or never was, and the next list shows that.
  bool stale = false;
  // The worker's side closed the connection while the start was in progress, so
  // that the start has most likely reached the process.
  bool start_closed = false;
  // Whether the worker's `lease_expires_at` bounds it: a process has confirmed
  // it, on whose clock that lease is counted.
  bool lease_known = false;
  AttemptState state = AttemptState::kSent;
  Resources resources;
  Micros sent_at = 0;
  Micros answered_at = 0;        // when the worker confirmed it; 0: it has not
  Micros expected_run_time = 0;  // on this worker
  // Progress as last reported by the worker, and when it was reported.
  int progress_percent = 0;
  Micros progress_at = 0;
  // Whether this attempt was already considered as evidence that its worker is
  // slow (slow_evidence.h).
  bool judged = false;
  // A worker has crashed under the task before: nothing else runs beside it.
  bool alone = false;
  // Its resources are not known, since this daemon did not start it: nothing
  // starts beside it.
  bool unknown = false;
  // Number of the order to stop it, which is repeated until it is answered
  // (unanswered_orders.h); 0: none is unanswered.
  uint64_t stop_number = 0;
  Micros stopping_since = 0;  // when the stop was first ordered
  // Its job was ended as StopReason::kJobAbandoned.
  bool abandoned = false;
};

// Evidence about a worker that does not answer (worker_loss.h).
struct WorkerLoss {
  Micros closed_at = 0;  // when it closed a connection with a call in progress
  // Others that it closed since then, as the proxy of an ended process does.
  Micros last_closed_at = 0;
  int further_closes = 0;
  // Connections that were refused since then.
  Micros first_refused_at = 0;
  Micros last_refused_at = 0;
  int refusals = 0;
  bool concluded = false;  // the cause is known and was acted on
};

// A worker's record of failures.
struct WorkerHealth {
  int failures_in_row = 0;
  int ejections = 0;
  Micros ejected_until = 0;
  // After an ejection, the worker gets one task at a time until one is done.
  bool probation = false;
  // An attempt took far longer than expected on this worker, and none has been
  // done within its expected time since.
  bool slow = false;
  // Evidence that the worker is slow, since an attempt was last done there
  // within its expected time, and the jobs that it is from (slow_evidence.h).
  int slow_evidence = 0;
  std::set<std::string> slow_evidence_jobs;
};

// A worker's run times relative to those of the average worker, as learned from
// its completed attempts (worker_profile.h).
struct WorkerProfile {
  double log_factor = 0;  // natural logarithm of the run time factor
  double variance = 0;    // of log_factor
  uint32_t samples = 0;   // jobs it was learned from; 0: nothing is known
  // Number of consecutive samples that deviated clearly to the same side,
  // negative if the worker was faster than its profile.
  int same_side = 0;
};

// The part of a worker's record that was last sent to other daemons.
struct AnnouncedRecord {
  uint32_t samples = 0;
  int ejections = 0;
  bool slow = false;

  friend bool operator==(const AnnouncedRecord&,
                         const AnnouncedRecord&) = default;
};

// Why a worker's process is said to have ended.
enum class ProcessEnd : uint8_t {
  kRestarted,  // a later process reports under the same id
  kReplaced,   // a later process reports from the same address
  kLeft,       // it announced its end
  kGone,       // another daemon reports its end
  kSilent,     // its reports have timed out
};

// Names in logs.
inline constexpr std::array<std::string_view, 5> kProcessEndNames = {
    "restarted", "replaced", "left", "gone", "silent"};

inline std::string_view ToString(ProcessEnd end) {
  return kProcessEndNames[static_cast<size_t>(end)];
}

// A claim that a worker's process has ended, which the worker has neither
// confirmed nor refuted (process_claims.h).
struct ProcessClaim {
  ProcessEnd reason = ProcessEnd::kRestarted;
  // The report that makes the claim; none for a notice without a report.
  std::optional<wire::WorkerNews> report;
  Micros made_at = 0;
};

// A known worker, and this daemon's session with it if this daemon owns it.
struct PoolWorker {
  wire::WorkerNews status;  // from the newest report or update
  // The largest capacity that the present process has reported.
  Resources largest_capacity;
  // Start of the timeout for the worker's reports: when its last report, its
  // last executed order's answer or another daemon's last update about it was
  // received, or when this daemon claimed it. Moved by pauses of the process.
  Micros last_received_at = 0;
  // This daemon's session with it. Answers to orders of an earlier
  // `session_number` are ignored. The worker refuses orders with a fencing
  // token below the highest that it has seen. `token` is that of this daemon's
  // newest session, or after a refusal a lower bound for the next one;
  // status.token() belongs to the announced owner.
  SessionState session = SessionState::kNone;
  uint64_t session_number = 0;
  uint64_t token = 0;
  Micros reconciling_since = 0;
  // Reconciliation first queries, under the old token, whether this daemon
  // still owns the worker.
  bool verifying_ownership = false;
  Micros reconcile_due = 0;
  Micros reconcile_retry_delay = 0;
  bool reconcile_in_flight = false;
  Micros ask_failed_at = 0;  // when a reconciliation order last had no answer
  // The worker numbers its ended attempts. This is the highest number whose
  // acknowledgement has reached the worker.
  uint64_t acknowledged_end = 0;
  // The highest number of an end that was processed here, and when it was.
  uint64_t newest_processed_end = 0;
  Micros newest_processed_end_at = 0;
  bool renewal_in_flight = false;
  AnnouncedRecord announced;
  int64_t clock_ms = 0;  // the worker's clock at clock_at; 0: unknown
  Micros clock_at = 0;
  // By then the lease has certainly expired on the present process, unless an
  // order renews it, and no attempt with `lease_known` runs.
  Micros lease_expires_at = 0;
  Micros last_answer_at = 0;  // when it last answered an order of this daemon
  std::map<TaskName, WorkerAttempt> attempts;
  Resources used_resources;  // resources occupied by `attempts`
  WorkerHealth health;
  WorkerProfile profile;
  WorkerLoss loss;
  std::optional<ProcessClaim> claim;
  // When a list last had a run of a task beside another one of that task here,
  // which was stopped.
  Micros second_run_at = 0;
  // Its present process has answered an order and has not reported yet, so that
  // its capacity is not known: it gets no tasks.
  bool unreported = false;
  // Gets no tasks until it is idle and the suspect that waits for it starts.
  bool held_for_suspect = false;
  Micros handover_requested_at =
      0;                   // when a handover was last requested from the owner
  Micros claim_after = 0;  // earliest time of a claim
  // When the other daemons were first asked who owns the worker, which has no
  // known owner; 0: not asked. Used only after the start of this daemon.
  Micros owner_queried_at = 0;
  // When the worker refused this daemon's token; 0 when its owner is known.
  Micros fenced_at = 0;
  // The daemon that should own the worker, as computed for the set of owner
  // candidates of the given generation; generation 0: not computed yet.
  std::string preferred_owner;
  uint64_t preferred_owner_generation = 0;
};

// Returns true if the worker has not left the pool.
inline bool IsInPool(const PoolWorker& worker) {
  return !worker.status.gone();
}

// Returns the free capacity of a worker.
inline Resources FreeCapacity(const PoolWorker& worker) {
  return {worker.status.cpu_millis() - worker.used_resources.cpu_millis,
          worker.status.memory_mb() - worker.used_resources.memory_mb,
          worker.status.accelerators() - worker.used_resources.accelerators};
}

}  // namespace goldcrest

#endif  // POOL_POOL_WORKER_H_
