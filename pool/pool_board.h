#ifndef POOL_POOL_BOARD_H_
#define POOL_POOL_BOARD_H_

// Everything that one control daemon knows about its pool of workers.
//
// The board is plain data. Controllers are free functions that read and write
// it: worker_roster (which workers there are and who orders them),
// worker_session (the orders to one worker and what its answers mean),
// pool_jobs (jobs from order to end) and pool_placement (which task goes where
// next). Nothing here holds a clock, thread, socket or file.

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
#include "pool/mesh.h"
#include "pool/pool_action.h"
#include "pool/worker_order.h"
#include "proto/pool.pb.h"

namespace goldcrest {

struct PoolOptions {
  // Bounds of the lease that orders give to everything on a worker: half of the
  // longest expected run time there. What was lost with a worker runs again
  // when its lease is over, so short tasks get short leases; what has run for
  // seconds outlives a worker that is silent for a moment. A job that its entry
  // daemon lost must have ended on all workers before its caller sends it
  // again: entry_silence + lease + clock drift stay below that.
  Micros shortest_lease = 450 * kMillisecond;
  Micros longest_lease = 850 * kMillisecond;
  // A worker's clock may be this much slower, in percent.
  int64_t clock_drift_percent = 2;
  // Added to a lease before it counts as over.
  Micros lease_slack = 15 * kMillisecond;
  // An entry daemon that was not heard for this long has lost its callers.
  Micros entry_silence = 400 * kMillisecond;
  // So has one that has not heard this daemon for this long.
  Micros entry_deafness = 700 * kMillisecond;
  // An order is not taken whose sender last heard this daemon this much longer
  // ago than the silence after which it would have called it lost.
  Micros stale_order_slack = 50 * kMillisecond;
  // How long an answer to a hold may wait for the end of a run.
  int64_t hold_wait_ms = 150;
  // An end is acknowledged with the next hold, or after this long.
  Micros acknowledge_after = 150 * kMillisecond;
  // An idle worker is asked this often whether it is still ours, so that no
  // job has to find out.
  Micros idle_check = 2 * kSecond;
  // A worker answers within a few milliseconds. Asking again costs one round
  // trip more, waiting costs the tasks whose fate is open.
  Micros order_timeout = 80 * kMillisecond;
  // Pause between two tries to reach a worker that does not answer.
  Micros settle_retry = 60 * kMillisecond;
  // What ran on a worker that does not settle is over with its lease, but not
  // before the worker was asked for this long: it may be this daemon that was
  // slow, and the worker may tell how the runs ended.
  Micros settle_patience = 220 * kMillisecond;
  Micros settle_retry_max = 1000 * kMillisecond;
  // Workers that were not heard for this long are forgotten.
  Micros worker_silence = 6 * kSecond;
  // After its start, a daemon leaves the workers of other failure domains
  // alone for this long: their own daemons may only be starting too.
  Micros foreign_claims_after = 2500 * kMillisecond;
  // Nor does it claim any before others had time to say which are theirs.
  Micros claims_after = 500 * kMillisecond;
  // A worker that refused this daemon's token is another's; if nobody says so
  // for this long, that one is lost.
  Micros unknown_owner_for = 1500 * kMillisecond;
  Micros ownership_period = 200 * kMillisecond;
  // A pause of the process longer than this makes all sessions settle anew.
  Micros frozen_after = 400 * kMillisecond;
};

struct Need {
  int64_t cpu_millis = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  friend bool operator==(const Need&, const Need&) = default;
};

// ------------------------------------------------------------ workers

enum class SessionState : uint8_t {
  kNone,       // this daemon does not order the worker
  kSettling,   // asks, under a new token, what runs there
  kReady,      // takes starts
  kReleasing,  // takes no starts; is handed over when nothing runs
};

enum class RunState : uint8_t {
  kSent,  // the start has no answer yet
  kRunning,
  kStopping,  // its end is not known yet
};

// One run that may hold room on a worker.
struct WorkerRun {
  std::string job_key;  // empty: nobody's here any more
  uint32_t run = 0;
  RunState state = RunState::kSent;
  Need need;
  Micros sent_at = 0;
  Micros answered_at = 0;
  Micros expected = 0;  // run time
  // As the worker last told it, and when.
  int progress_percent = 0;
  Micros progress_at = 0;
};

// A worker's record of failures.
struct WorkerHealth {
  int failures_in_row = 0;
  int ejections = 0;
  Micros ejected_until = 0;
  // After an ejection: one task at a time until one is done.
  bool probation = false;
  // A run has taken far longer there than was expected, and none has been done
  // in good time since.
  bool slow = false;
};

struct PoolWorker {
  wire::WorkerNews facts;
  Micros last_heard = 0;  // of a report of the worker or of its owner
  // This daemon's session with it.
  SessionState session = SessionState::kNone;
  uint64_t session_number = 0;
  uint64_t token = 0;
  Micros settling_since = 0;
  // Settling first asks under the old token whether the worker is still ours.
  bool verifying = false;
  Micros settle_due = 0;
  Micros settle_pause = 0;
  bool settle_in_flight = false;
  uint64_t acknowledged_end = 0;
  uint64_t newest_end = 0;
  Micros newest_end_at = 0;
  bool hold_in_flight = false;
  int64_t clock_ms = 0;  // the worker's clock at clock_at; 0: not known
  Micros clock_at = 0;
  Micros lease_over_at = 0;  // nothing runs on after this without an order
  Micros last_answer = 0;    // to an order of this daemon
  std::map<TaskName, WorkerRun> runs;
  Need used;
  WorkerHealth health;
  Micros asked_at = 0;     // for a hand-over
  Micros claim_after = 0;  // not claimed before
  // When the worker refused this daemon's token; 0 once its owner is known.
  Micros fenced_at = 0;
  // The daemon that is to order the worker, worked out among the candidates of
  // that number; 0: not yet.
  std::string preferred_owner;
  uint64_t preferred_among = 0;
};

// A daemon that may order workers.
struct OwnerCandidate {
  std::string address;
  std::string failure_domain;

  friend bool operator==(const OwnerCandidate&,
                         const OwnerCandidate&) = default;
};

// The daemons that may order workers now, by address, and how often that set
// has changed.
struct OwnerCandidates {
  std::vector<OwnerCandidate> all;
  uint64_t number = 1;
};

// ------------------------------------------------------------ jobs

enum class TaskPhase : uint8_t { kBlocked, kWaiting, kRunning, kDone };

struct PoolTask {
  TaskPhase phase = TaskPhase::kBlocked;
  uint32_t runs = 0;
  uint32_t failures = 0;
  std::string worker;       // where it runs
  std::string last_worker;  // where its last run ended badly
};

struct PoolJob;

// What can still become of a job's answer.
enum class JobHope : uint8_t { kInTime, kLate, kVeryLate };

// Orders the tasks that wait for room: jobs that can be in time, then the
// operator's priority, then the objective's time.
struct WaitingKey {
  JobHope hope = JobHope::kInTime;
  int priority = 0;
  Micros due = 0;
  uint64_t sequence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  friend auto operator<=>(const WaitingKey&, const WaitingKey&) = default;
};

struct PoolStep {
  std::vector<PoolTask> tasks;
  size_t open = 0;      // tasks that are not done
  Micros expected = 0;  // run time of one task on an ordinary worker
};

struct PoolJob {
  std::string key;
  wire::JobOrder order;
  uint64_t sequence = 0;
  Micros received = 0;
  Micros deadline = 0;  // of the caller
  Micros due = 0;       // when callers want it done
  std::vector<PoolStep> steps;
  size_t open = 0;
  JobHope hope = JobHope::kInTime;
  // Whether its entry daemon has agreed to its start, when it was asked first
  // and last.
  bool may_start = false;
  Micros first_asked_at = 0;  // 0: not yet
  Micros asked_at = 0;
  // The entry daemon is known to have heard this one at that time, and to have
  // lived then: by the job's arrival, later by its agreement to the start.
  Micros contact_at = 0;
  // Whether a start was sent for any of its tasks.
  bool started = false;
  Micros first_start = 0;
  std::set<std::string> failed_on;  // workers
};

struct WaitingTask {
  PoolJob* job = nullptr;
};

// How long tasks really run, against the callers' estimates.
struct RunTimes {
  // By queue: actual run time over the estimate, on an ordinary worker.
  std::map<std::string, double> queue_ratio;
  // By kind of worker: run time over that of an ordinary worker.
  std::map<std::string, double> kind_factor;
};

struct PoolCounters {
  std::map<std::string, uint64_t> jobs_ended;  // by fate
  std::map<std::string, uint64_t> order_outcomes;
  std::map<std::string, uint64_t> run_ends;
  uint64_t jobs_received = 0;
  uint64_t jobs_forwarded = 0;
  uint64_t starts = 0;
  uint64_t settles = 0;
  uint64_t ejections = 0;
};

struct PoolBoard {
  PoolOptions options;
  Mesh mesh;
  Agreement agreement;
  std::map<std::string, PoolWorker> workers;
  // Those with a session here, by id: most workers are other daemons'.
  std::map<std::string, PoolWorker*> ordered;
  std::unordered_map<std::string, std::unique_ptr<PoolJob>> jobs;  // by key
  std::unordered_map<std::string, std::string> job_keys;           // by job id
  std::map<WaitingKey, WaitingTask> waiting;
  RunTimes run_times;
  PoolCounters counters;
  int64_t wall_ms = 0;  // at the present step
  Micros started_at = 0;
  Micros last_step = 0;
  Micros ownership_due = 0;
  OwnerCandidates owner_candidates;
  uint64_t next_sequence = 1;
  uint64_t next_session = 1;
  bool placement_due = false;
  // Entry daemons only: stands in for control daemons.
  bool standby = false;
  Micros probing_since = 0;
  bool draining = false;
  Micros drain_started = 0;
  bool drained = false;
};

// Says whether the worker takes part at all.
inline bool IsPresent(const PoolWorker& worker) {
  return !worker.facts.gone();
}

// Returns the room of a worker that nothing holds.
inline Need FreeRoom(const PoolWorker& worker) {
  return {worker.facts.cpu_millis() - worker.used.cpu_millis,
          worker.facts.memory_mb() - worker.used.memory_mb,
          worker.facts.accelerators() - worker.used.accelerators};
}

}  // namespace goldcrest

#endif  // POOL_POOL_BOARD_H_
