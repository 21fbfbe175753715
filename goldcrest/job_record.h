#ifndef GOLDCREST_JOB_RECORD_H_
#define GOLDCREST_JOB_RECORD_H_

// What one VM knows of a submission: its tasks and their starts, who waits for
// it, and its claim. Plain data on the blackboard; written by admission,
// forwarding, claim_owner, placement and task_results.

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
  kQueued,    // waits for a slot
  kBackoff,   // waits before a retry
  kIntent,    // has a slot, waits until its intent is recorded
  kRunning,   // was sent to its worker
  kChecking,  // may have run; its worker is being asked
  kDone,      // has its output
};

// One start of a task that has not ended: where, under which lease and when.
struct TaskStart {
  std::string worker;
  std::string address;
  uint32_t attempt = 0;
  uint64_t lease_epoch = 0;
  uint64_t worker_incarnation = 0;
  Micros started_at = 0;
};

// Orders queued tasks: priority first, then latest start, then arrival.
struct QueueKey {
  int64_t priority = 0;
  Micros latest_start = 0;
  uint64_t sequence = 0;

  friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
};

struct TaskRecord {
  TaskState state = TaskState::kQueued;
  // Place in the queue and expected run time, while queued.
  QueueKey key;
  Micros queued_work = 0;
  // Number of the latest start.
  uint32_t attempts = 0;
  // Starts that ran or may have run, and that count against max_attempts.
  int possible_runs = 0;
  // Starts that are known not to have run.
  int refused_starts = 0;
  int lookups = 0;
  TaskStart start;
  // The second start of a hedged task.
  std::optional<TaskStart> hedge;
  std::string output;
};

// Where one submission stands on this VM.
enum class JobState : uint8_t {
  kForwarded,  // its home or its owner is another VM
  kClaiming,   // this VM asks the claim voters for it
  kActive,     // this VM owns it and runs it
  kFinishing,  // its result is being recorded
};

// Somebody who waits for the result of a submission: a request at this VM's
// edge, or another VM that forwarded it.
struct Waiter {
  ReplyToken token = kNoToken;
  std::string vm;
  // Is told "pending" as soon as the submission is accepted.
  bool until_accepted = false;
  // Asked for the cancellation of the submission.
  bool cancelling = false;
};

// A claim in progress.
struct ClaimAttempt {
  wire::ClaimPhase phase = wire::CLAIM_PREPARE;
  uint64_t ballot = 0;
  bool fast = false;
  // Whether this VM held its serving lease when the round began.
  bool leased = false;
  Micros started_at = 0;
  std::set<std::string> granted;
  std::set<std::string> abstained;
  // What the voters' records said, merged.
  wire::ClaimRecord merged;
  uint64_t highest_ballot = 0;
  // When not 0, a voter has promised a higher ballot and another round starts
  // after this many milliseconds.
  int64_t retry_soon_ms = 0;
};

// An addition to a claim that waits for a majority of voters.
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
  // When it should be answered; orders the queue.
  Micros due_at = 0;
  int64_t received_wall_ms = 0;
  int64_t deadline_wall_ms = 0;
  std::vector<Waiter> waiters;

  // Owned jobs.
  ClaimAttempt claim;
  Micros claim_timer_due = 0;
  Micros update_timer_due = 0;
  uint64_t ballot = 0;
  uint64_t lease_generation = 0;
  // Whether another VM, or this one before a lapse of its lease, may have
  // started tasks of this job that are not recorded.
  bool taken_over = false;
  bool admitted = false;
  bool cancelled = false;
  // The claim is being released so that another VM can run the job.
  bool handing_over = false;
  std::vector<TaskRecord> tasks;
  size_t done_tasks = 0;
  bool any_started = false;
  // Set by a take-over, which nobody may wait for.
  bool orphan = false;
  std::map<uint64_t, PendingUpdate> updates;
  wire::JobResult result;
  bool replied = false;

  // Whether the submission is in its owner's hands: claimed and admitted.
  bool accepted = false;

  // Forwarded jobs.
  std::string forwarded_to;
  uint64_t forwarded_incarnation = 0;
  int64_t forward_elapsed_ms = 0;
  int forward_sends = 0;
  Micros forward_timer_due = 0;
  // Whether a claim voter named the target as the owner.
  bool named_owner = false;
  // How often this VM gave the job up to an owner that a voter named.
  int yields = 0;
  Micros unreachable_since = 0;
};

}  // namespace goldcrest

#endif  // GOLDCREST_JOB_RECORD_H_
