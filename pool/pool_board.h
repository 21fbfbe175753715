#ifndef POOL_POOL_BOARD_H_
#define POOL_POOL_BOARD_H_

// The complete in-memory state of a control daemon. An entry daemon has a board
// too, for its mesh and for the workers that it owns as a standby.
//
// The board is plain data. Controllers are free functions that read and write
// it: worker_roster (the known workers and their owners), worker_session
// (orders to one worker and the handling of its answers), the modules of
// pool/jobs (jobs, their queue and their ends) and pool_placement (assignment
// of waiting tasks to workers).
// The board holds no clock, thread, socket or file.

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "goldcrest/time_units.h"
#include "pool/agreement/agreement.h"
#include "pool/mesh/mesh.h"
#include "pool/pool_action.h"
#include "pool/pool_worker.h"
#include "pool/worker_order.h"
#include "pool/workers/crash_ledger.h"
#include "pool/workers/open_runs.h"
#include "pool/workers/unanswered_orders.h"
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
  // communication failure of its worker. A job whose entry daemon has failed or
  // given it up must have ended on all workers before its caller sends it
  // again: LongestRunAfterGivingUp() must be less than kShortestResendDelay
  // (job_contact.h).
  Micros shortest_lease = 450 * kMillisecond;
  Micros longest_lease = 800 * kMillisecond;
  // Maximum by which a worker's clock may run slow, in percent.
  int64_t clock_drift_percent = 2;
  // Added to the length of a lease before it counts as expired.
  Micros lease_slack = 15 * kMillisecond;
  LateOrderBounds late_orders;
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
  // Workers that have left the pool are forgotten when nothing was received
  // from them for this long. Until then, a report that arrives late is known to
  // be out of date.
  Micros forget_gone_after = 30 * kSecond;
  // Workers beyond this number are not taken in: their reports are refused.
  size_t max_known_workers = 8192;
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

// kBlocked: an earlier step is not done. kHeld: an earlier run of the task may
// not be over (run_ends.h). kWaiting: waits for a worker.
enum class TaskPhase : uint8_t { kBlocked, kHeld, kWaiting, kRunning, kDone };

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
  // Number of the entry daemon's contact in which the job was sent, or its
  // start permitted (job_contact.h); 0: not known.
  uint64_t contact = 0;
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
  // By the queue's key: measured run time divided by the estimate, on a worker
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
  uint64_t workers_refused = 0;  // reports of more workers than may be known
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
  uint64_t plans = 0;
  uint64_t plans_over_budget = 0;
  std::map<std::string, uint64_t> worker_losses;  // by cause
  uint64_t task_crashes = 0;       // a task was there when its worker crashed
  uint64_t tasks_given_up = 0;     // used up their crashes
  uint64_t crashes_withdrawn = 0;  // the worker turned out to be alive
  uint64_t crash_limit_refusals = 0;
  uint64_t claims_refuted = 0;  // of the end of a worker's process
  uint64_t unknown_runs = 0;  // listed by a worker, not started in its session
  uint64_t invariant_failures = 0;
  uint64_t runs_announced = 0;    // without a known end, to other daemons
  uint64_t run_news_dropped = 0;  // beyond kMaxRunsElsewhere
  uint64_t starts_bound = 0;      // tasks bound to a worker
  uint64_t bindings_dropped = 0;  // beyond kMaxStartBindings
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
  // The ids of `workers` by the address that they reported last.
  std::map<std::string, std::set<std::string>> worker_ids_at;
  // Workers with a session of this daemon, by id. Most entries of `workers` are
  // owned by other daemons.
  std::map<std::string, PoolWorker*> owned;
  std::unordered_map<std::string, std::unique_ptr<PoolJob>> jobs;  // by key
  std::unordered_map<std::string, std::string> job_keys;           // by job id
  // Jobs that were cancelled and are not here, by JobKeyInQueue(), and until
  // when an order for them is cancelled, too.
  std::map<std::string, Micros> cancelled_until;
  std::map<WaitingKey, WaitingTask> waiting;
  // The runs that may not be over, by task: those of `owned` workers and
  // `orphans`.
  std::map<TaskName, int> open_runs;
  std::vector<OrphanedRun> orphans;
  // Where tasks may be started whose start had no answer (start_bindings.h).
  std::map<TaskName, StartBinding> start_bindings;
  OpenRunNewsState open_run_news;
  RunTimes run_times;
  OverloadState overload;
  CrashLedger crashes;
  UnansweredOrders unanswered;
  PoolCounters counters;
  int64_t wall_ms = 0;  // wall clock time of the current step
  Micros started_at = 0;
  Micros last_step_at = 0;
  Micros ownership_due = 0;
  Micros forget_due = 0;
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

}  // namespace goldcrest

#endif  // POOL_POOL_BOARD_H_
