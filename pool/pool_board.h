#ifndef POOL_POOL_BOARD_H_
#define POOL_POOL_BOARD_H_

// The complete in-memory state of a control daemon. An entry daemon has a board
// too, for its mesh and for the workers that it owns as a standby.
//
// The board is plain data. Controllers are free functions that read and write
// it: worker_roster (the known workers and their owners), worker_session
// (orders to one worker and the handling of its answers), pool_jobs (the life
// cycle of a job) and pool_placement (assignment of waiting tasks to workers).
// The board holds no clock, thread, socket or file.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "goldcrest/time_units.h"
#include "pool/agreement.h"
#include "pool/crash_ledger.h"
#include "pool/mesh.h"
#include "pool/pool_action.h"
#include "pool/worker_order.h"
#include "proto/pool.pb.h"

namespace goldcrest {

// Optional features; all are off by default.
struct PoolFeatures {
  // Placement reserves capacity for tasks that wait long and fills holes with
  // tasks that fit (placement_plan.h).
  bool placement_lookahead = false;
  // Under overload, capacity is divided by priority and shares, and jobs that
  // cannot be served any more are refused at once (overload_control.h).
  bool overload_control = false;
  // Part of the pool's capacity, in percent, that overload control divides
  // among the queues by demand, whatever their priority.
  int queue_floor_percent = 0;
  // An entry daemon that has received nothing from any control daemon for this
  // long probes them, and orders workers if its probe peers agree; 0: the
  // default timeouts apply (standby.h).
  Micros standby_after = 0;
  // Run times are learned for each worker, not only for each kind of worker
  // (worker_profile.h).
  bool run_times_by_worker = false;
};

struct PoolOptions {
  PoolFeatures features;
  // All attempts on a worker share one lease, granted by orders: half of the
  // longest expected run time there, within these bounds. Tasks of a failed
  // worker are started again only after its lease has expired, so short tasks
  // get short leases; a task that has run for seconds survives a short
  // communication failure of its worker. A job whose entry daemon failed must
  // have ended on all workers before its caller sends it again, so
  // entry_timeout + longest_lease + clock drift must be less than the time
  // after which callers do that.
  Micros shortest_lease = 450 * kMillisecond;
  Micros longest_lease = 850 * kMillisecond;
  // Maximum by which a worker's clock may run slow, in percent.
  int64_t clock_drift_percent = 2;
  // Added to the length of a lease before it counts as expired.
  Micros lease_slack = 15 * kMillisecond;
  // An entry daemon from which nothing was received for this long is considered
  // to have lost its callers.
  Micros entry_timeout = 400 * kMillisecond;
  // The same holds for an entry daemon that has not received any message of
  // this daemon for this long, by the sequence number that it echoes.
  Micros entry_echo_timeout = 700 * kMillisecond;
  // A job order is refused if the newest heartbeat of this daemon that its
  // sender had received was sent longer ago than this daemon's timeout for
  // contact with the sender plus this.
  Micros stale_order_slack = 50 * kMillisecond;
  // Longest time, in milliseconds, that a worker delays its answer to a lease
  // renewal until an attempt ends.
  int64_t renewal_wait_ms = 150;
  // The end of an attempt is acknowledged with the next lease renewal, or after
  // this long at the latest.
  Micros acknowledge_after = 150 * kMillisecond;
  // Period of the check whether an idle worker is still owned by this daemon,
  // so that a change of owner is not first discovered when a job is started.
  Micros idle_check_period = 2 * kSecond;
  // A worker normally answers within a few milliseconds. A short timeout costs
  // one more round trip; a long one delays the tasks whose outcome is unknown.
  Micros order_timeout = 80 * kMillisecond;
  // First delay before reconciliation with a worker that does not answer is
  // tried again.
  Micros reconcile_min_retry_delay = 60 * kMillisecond;
  // The attempts on a worker that cannot be reconciled end when its lease
  // expires, but not before reconciliation was tried for this long: the answers
  // may be missing because of a delay in this daemon, and the worker may still
  // report how the attempts ended.
  Micros reconcile_timeout = 220 * kMillisecond;
  // Upper bound of the delay between reconciliation orders to a worker that
  // does not answer. The delay starts at reconcile_min_retry_delay and doubles.
  Micros reconcile_max_retry_delay = 1000 * kMillisecond;
  // Workers without a report for this long are removed.
  Micros worker_timeout = 6 * kSecond;
  // After its start, a control daemon does not claim workers of other failure
  // domains for this long: the control daemons of those domains may be
  // starting, too.
  Micros other_domain_claim_delay = 2500 * kMillisecond;
  // After its start, a control daemon claims no workers at all for this long,
  // so that other daemons can report which workers they own.
  Micros claim_delay = 500 * kMillisecond;
  // A worker that refused this daemon's fencing token has another owner. If no
  // daemon reports to be the owner for this long, the owner counts as failed.
  Micros unknown_owner_timeout = 1500 * kMillisecond;
  // Period at which the ownership of workers is reviewed.
  Micros ownership_period = 200 * kMillisecond;
  // After a pause of the process of at least this length, all sessions are
  // reconciled again.
  Micros pause_threshold = 400 * kMillisecond;
  // Time from the request to stop until the platform kills the process.
  Micros stop_grace = 6 * kSecond;
  CrashOptions crashes;
};

// Resources that a task requires, or that a worker has free or in use.
struct Resources {
  int64_t cpu_millis = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};

// ------------------------------------------------------------ workers

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
struct WorkerAttempt {
  std::string job_key;          // empty: belongs to no job of this daemon
  uint32_t attempt_number = 0;  // 1 for the first attempt of the task
  AttemptState state = AttemptState::kSent;
  Resources resources;
  Micros sent_at = 0;
  Micros answered_at = 0;
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
};

// Evidence about a worker that does not answer (worker_loss.h).
struct WorkerLoss {
  Micros closed_at = 0;  // when it closed a connection with a call in progress
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
  // By then the lease has certainly expired and no attempt runs, unless an
  // order renews it.
  Micros lease_expires_at = 0;
  Micros last_answer_at = 0;  // when it last answered an order of this daemon
  std::map<TaskName, WorkerAttempt> attempts;
  Resources used_resources;  // resources occupied by `attempts`
  WorkerHealth health;
  WorkerProfile profile;
  WorkerLoss loss;
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

// A daemon that may own workers.
struct OwnerCandidate {
  std::string address;
  std::string failure_domain;

  friend bool operator==(const OwnerCandidate&,
                         const OwnerCandidate&) = default;
};

// The daemons that may currently own workers, sorted by address. The generation
// number is incremented when the set changes.
struct OwnerCandidates {
  std::vector<OwnerCandidate> all;
  uint64_t generation = 1;
};

// ------------------------------------------------------------ jobs

// kBlocked: an earlier step is not done. kWaiting: waits for a worker.
enum class TaskPhase : uint8_t { kBlocked, kWaiting, kRunning, kDone };

// One task of a step.
struct PoolTask {
  TaskPhase phase = TaskPhase::kBlocked;
  uint32_t attempt_count = 0;  // attempts so far
  uint32_t failures = 0;
  std::string worker;       // id of the worker of the current attempt
  std::string last_worker;  // where the last attempt ended without success
};

struct PoolJob;

// Whether a job can still meet its objective: on time, on time only if its run
// times are not longer than estimated (used by overload control only), late
// (within kLateObjectiveFactor times the objective, so that the answer still
// has some value) or very late.
enum class ExpectedLateness : uint8_t { kOnTime, kAtRisk, kLate, kVeryLate };

// Whether a job comes before others of the same expected lateness whatever
// their priorities: overload control puts the jobs first that have begun, and
// those that are due to their queue's floor.
enum class QueueRank : uint8_t { kFirst, kByPriority };

// Sort key of the tasks that wait for free capacity: by expected lateness of
// the job, its rank, the operator's priority, then the objective time.
struct WaitingKey {
  ExpectedLateness expected_lateness = ExpectedLateness::kOnTime;
  QueueRank rank = QueueRank::kByPriority;
  int priority = 0;  // 0 is the most urgent
  Micros objective_at = 0;
  uint64_t sequence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  friend auto operator<=>(const WaitingKey&, const WaitingKey&) = default;
};

// Run time of a completed task.
struct RunTimeSample {
  std::string worker;    // id
  int64_t born_ms = 0;   // of the worker's process
  double log_ratio = 0;  // logarithm of the run time divided by the estimate
  double relative = 0;   // run time divided by that expected on this worker
};

// One step of a job, with its tasks.
struct PoolJobStep {
  std::vector<PoolTask> tasks;
  size_t open_tasks = 0;  // tasks that are not done
  // Expected run time of one task on a worker with kind factor 1.
  Micros expected_run_time = 0;
  // Of its completed tasks; kept with run_times_by_worker only.
  std::vector<RunTimeSample> samples;
};

// A job that this control daemon has accepted.
struct PoolJob {
  std::string key;  // unique for an order: entry daemon, incarnation, number
  wire::JobOrder order;
  uint64_t sequence = 0;  // order of arrival; breaks ties among waiting tasks
  Micros received_at = 0;
  Micros deadline = 0;      // when the caller's timeout expires
  Micros objective_at = 0;  // latency objective
  std::vector<PoolJobStep> steps;
  size_t open_tasks = 0;  // tasks that are not done
  ExpectedLateness expected_lateness = ExpectedLateness::kOnTime;
  QueueRank rank = QueueRank::kByPriority;
  // Whether the entry daemon has permitted the start, and when permission was
  // first and last requested.
  bool start_permitted = false;
  Micros first_permission_request_at = 0;  // 0: not requested yet
  Micros last_permission_request_at = 0;
  // Last time at which the entry daemon is known to have been running and to
  // have received messages of this daemon: the arrival of the job, and once the
  // start is permitted, the first request for that, since it is not known which
  // request was answered.
  Micros last_contact_at = 0;
  // Whether a start order was sent for any of its tasks.
  bool started = false;
  Micros first_start_at = 0;
  // Whether a worker was ever reserved for a task of the job.
  bool capacity_reserved = false;
  std::set<std::string> failed_on;  // ids of workers
};

// A task that waits for a worker; its step and index are in its WaitingKey.
struct WaitingTask {
  PoolJob* job = nullptr;
};

// Measured run times of tasks relative to the callers' estimates.
struct RunTimes {
  // By configured queue: measured run time divided by the estimate, on a worker
  // with kind factor 1.
  std::map<std::string, double> queue_ratio;
  // By kind of worker (its first label): run time there divided by that on an
  // average worker, whose factor is 1.
  std::map<std::string, double> kind_factor;
  // The rest is used with run_times_by_worker only (worker_profile.h).
  // Steps from which each queue's ratio was learned.
  std::map<std::string, uint32_t> queue_samples;
  std::map<std::string, std::string> queue_service;  // each queue's service
  // Service of the workers from which each kind's factor was learned.
  std::map<std::string, std::string> kind_service;
  // Variance of the logarithm of the run times of one step's tasks.
  double task_variance = 0.04;
  // Decaying sums over completed steps: of their work (run time times CPU), and
  // of their work times the logarithm of the expected run time.
  double work = 0;
  double work_log_run_time = 0;
};

// Counts since the start of the daemon, for metrics.
struct PoolCounters {
  std::map<std::string, uint64_t> jobs_ended;  // by outcome
  std::map<std::string, uint64_t> order_outcomes;
  std::map<std::string, uint64_t> attempt_ends;
  std::map<std::string, uint64_t> overload_refusals;  // by reason
  uint64_t jobs_received = 0;
  uint64_t jobs_forwarded = 0;
  uint64_t starts = 0;
  uint64_t reconciliations = 0;
  uint64_t ejections = 0;
  uint64_t standbys = 0;         // times that this daemon became a standby
  uint64_t handovers_begun = 0;  // workers that were requested and released
  uint64_t workers_marked_slow = 0;
  uint64_t profiles_adopted = 0;
  // Of placement with lookahead: starts ahead of a task that fits there and
  // comes earlier in the queue, reservations summed over all plans, and plans
  // whose budget did not suffice.
  uint64_t starts_ahead = 0;
  uint64_t reservations = 0;
  uint64_t plans_over_budget = 0;
  std::map<std::string, uint64_t> worker_losses;  // by cause
  uint64_t task_crashes = 0;       // a task was there when its worker crashed
  uint64_t tasks_given_up = 0;     // used up their crashes
  uint64_t crashes_withdrawn = 0;  // the worker turned out to be alive
  uint64_t crash_limit_refusals = 0;
};

// CPU work that jobs of one queue brought lately, as an exponential average of
// the rate, in thousandths of a core.
struct OfferedWork {
  double cpu_millis = 0;
  Micros updated_at = 0;
};

// What overload control remembers; all of it may be lost.
struct OverloadState {
  std::map<std::string, OfferedWork> offered;  // by queue
  // The times at which refused jobs were told to return; see BookReturn().
  std::map<Micros, Micros> returns;
};

// State of one control daemon, or of the part of an entry daemon that owns
// workers as a standby.
struct PoolBoard {
  PoolOptions options;
  Mesh mesh;
  Agreement agreement;
  std::map<std::string, PoolWorker> workers;
  // Workers with a session of this daemon, by id. Most entries of `workers` are
  // owned by other daemons.
  std::map<std::string, PoolWorker*> owned;
  std::unordered_map<std::string, std::unique_ptr<PoolJob>> jobs;  // by key
  std::unordered_map<std::string, std::string> job_keys;           // by job id
  std::map<WaitingKey, WaitingTask> waiting;
  RunTimes run_times;
  OverloadState overload;
  CrashLedger crashes;
  PoolCounters counters;
  int64_t wall_ms = 0;  // wall clock time of the current step
  Micros started_at = 0;
  Micros last_step_at = 0;
  Micros ownership_due = 0;
  Micros profile_update_due = 0;
  OwnerCandidates owner_candidates;
  uint64_t next_sequence = 1;
  uint64_t next_session = 1;
  bool placement_due = false;
  // Entry daemons only: whether it orders workers itself because no control
  // daemon is reachable.
  bool standby = false;
  // Entry daemons only: when they began to probe for reachable control daemons.
  Micros probing_since = 0;
  // Entry daemons only: since when it owns workers although it is no standby
  // any more; 0: it does not.
  Micros owned_since_standby = 0;
  bool draining = false;
  Micros drain_started_at = 0;
  bool drained = false;
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

#endif  // POOL_POOL_BOARD_H_
