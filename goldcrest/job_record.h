#ifndef GOLDCREST_JOB_RECORD_H_
#define GOLDCREST_JOB_RECORD_H_

// State of a submission on one VM: its tasks and their attempts, the waiters
// for its result, and its claim. Plain data on the blackboard, written by
// admission, forwarding, claim_owner, placement and task_results.

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "goldcrest/action.h"
#include "goldcrest/configuration.h"
#include "goldcrest/time_units.h"
#include "proto/goldcrest.pb.h"

namespace goldcrest {

enum class TaskState : uint8_t {
  kQueued,           // waits for a slot
  kBackoff,          // waits for the delay before a retry
  kRecordingIntent,  // has a slot; its intent is being recorded at the voters
  kRunning,          // its start was sent to a worker
  kLookingUp,        // may have run; its worker is being queried
  kDone,             // its output has been received
};

// One attempt of a task that has not ended: its worker, lease epoch and start
// time.
struct TaskAttempt {
  std::string worker;
  std::string address;
  uint32_t attempt = 0;
  uint64_t lease_epoch = 0;
  uint64_t worker_incarnation = 0;
  Micros started_at = 0;
};

// Order of queued tasks: by priority, lower numbers first, then by latest start
// time, then by arrival.
struct QueueKey {
  int64_t priority = 0;
  Micros latest_start = 0;
  uint64_t sequence = 0;

  friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
};

struct TaskRecord {
  TaskState state = TaskState::kQueued;
  // Position in the queue and expected run time, while the task is queued.
  QueueKey queue_key;
  Micros expected_duration = 0;
  // Number of the latest attempt; the first attempt has number 1.
  uint32_t last_attempt = 0;
  // Attempts that ran or may have run, which count towards max_attempts.
  int possibly_run_attempts = 0;
  // Attempts that are known not to have run.
  int attempts_not_run = 0;
  // Lookups of the current attempt at its worker that gave no result.
  int unresolved_lookups = 0;
  TaskAttempt current_attempt;
  // The second, concurrent attempt of a hedged task.
  std::optional<TaskAttempt> hedge_attempt;
  std::string output;
};

// State of one submission on this VM.
enum class JobState : uint8_t {
  kForwarded,  // its home or its owner is another VM
  kClaiming,   // this VM requests the claim from the claim voters
  kActive,     // this VM owns it and runs it
  kFinishing,  // its result or the release of its claim is being recorded at
               // the claim voters
};

// A party that waits for the result of a submission: a request at this VM's
// edge (`token`), or another VM that forwarded the submission (`vm`).
struct Waiter {
  ReplyToken token = kNoToken;
  std::string vm;
  // Whether it is sent "pending" as soon as the submission is accepted.
  bool until_accepted = false;
  // Whether it requested the cancellation of the submission.
  bool cancelling = false;
};

// State of a claim in progress.
struct ClaimAttempt {
  wire::ClaimPhase phase = wire::CLAIM_PREPARE;
  uint64_t ballot = 0;
  // Whether the claim began with the accept phase, without a prepare phase.
  bool fast = false;
  // Whether this VM held its serving lease when the current round began. A
  // round is one ballot of this VM: its prepare phase, if any, and accept
  // phase.
  bool leased = false;
  Micros started_at = 0;
  std::set<std::string> granted;
  std::set<std::string> abstained;
  // The voters' claim records, merged.
  wire::ClaimRecord merged;
  uint64_t highest_ballot = 0;
  // If not 0, the claim timer starts another round when it fires. After a
  // CLAIM_STALE reply the timer is set to this many milliseconds; after an
  // interruption of the serving lease (value 1) it keeps its time.
  int64_t retry_soon_ms = 0;
};

// An update of a claim that has not yet been recorded by a majority of voters,
// or not by all of them.
struct PendingUpdate {
  wire::ClaimUpdate update;
  std::set<std::string> applied;
  bool majority_reached = false;
  Micros sent_at = 0;
  int sends = 0;
};

struct Job {
  std::string id;
  wire::Submission submission;
  KindPolicy kind;
  std::string home;
  JobState state = JobState::kClaiming;
  Micros received_at = 0;
  Micros deadline_at = 0;
  // The time by which the job should be answered: the earliest of its deadline,
  // the latency objective of its kind and, once the job is admitted,
  // Tuning::target_stretch times its ideal time. The queue order is derived
  // from it.
  Micros objective_time = 0;
  int64_t received_wall_ms = 0;
  int64_t deadline_wall_ms = 0;
  std::vector<Waiter> waiters;

  // The members below are used while this VM claims or owns the job, and
  // `cancelled` for forwarded jobs too.
  ClaimAttempt claim;
  Micros claim_timer_due = 0;
  Micros update_timer_due = 0;
  // The ballot at which this VM became the owner.
  uint64_t ballot = 0;
  // The generation of the serving lease when the round of the claim began.
  uint64_t lease_generation = 0;
  // Whether another VM, or this VM before its lease expired, may have started
  // tasks of this job that are not recorded.
  bool taken_over = false;
  bool admitted = false;
  bool cancelled = false;
  // Whether the claim is being released so that another VM can run the job.
  bool handing_over = false;
  std::vector<TaskRecord> tasks;
  size_t done_tasks = 0;
  // Whether a task was started or, by the recorded intents, may have been.
  bool any_started = false;
  // Whether a takeover created the job, which may have no waiters, and its
  // claim has not yet succeeded.
  bool created_by_takeover = false;
  std::map<uint64_t, PendingUpdate> updates;
  wire::JobResult result;
  // Whether the waiters were answered with an outcome other than "unknown".
  bool final_result_sent = false;

  // Whether the owner has claimed and admitted the submission.
  bool accepted = false;

  // The members below are used for forwarded jobs.
  std::string forwarded_to;
  uint64_t forwarded_incarnation = 0;
  int64_t forward_elapsed_ms = 0;
  int forward_sends = 0;
  Micros forward_timer_due = 0;
  // Whether a claim voter named the target as the owner.
  bool named_owner = false;
  // How often this VM has forwarded the job to an owner that a voter named.
  int yield_count = 0;
  // Since when no VM of the home domain is reachable; 0 while one is.
  Micros unreachable_since = 0;
};

}  // namespace goldcrest

#endif  // GOLDCREST_JOB_RECORD_H_
