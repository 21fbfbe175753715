#ifndef GOLDCREST_BLACKBOARD_H_
#define GOLDCREST_BLACKBOARD_H_

// Everything that one daemon knows.
//
// The blackboard is plain data. Controllers are free functions that read and
// write it; each part below names the controller that owns it. Nothing here
// holds a clock, a thread, a socket or a file, so one process may hold many
// blackboards, as the randomised tests do.

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "goldcrest/action.h"
#include "goldcrest/configuration.h"
#include "goldcrest/deployment.h"
#include "goldcrest/event.h"
#include "goldcrest/outcome.h"
#include "goldcrest/run_time_model.h"
#include "goldcrest/time_units.h"
#include "goldcrest/timers.h"
#include "goldcrest/tuning.h"
#include "proto/goldcrest.pb.h"

namespace goldcrest {

// ---------------------------------------------------------------- jobs

// Where one task of an owned job stands.
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

// ---------------------------------------------------------------- queue

struct QueuedTask {
  Job* job = nullptr;
  uint32_t index = 0;
};

// What a task needs of a worker.
struct TaskShape {
  uint32_t memory_mb = 0;
  uint32_t accelerators = 0;

  friend auto operator<=>(const TaskShape&, const TaskShape&) = default;
};

// The queued tasks of one team that need the same of a worker.
struct Lane {
  std::string team;
  TaskShape shape;
  std::map<QueueKey, QueuedTask> tasks;
  // The lane's place among the ready lanes, when it has one.
  bool listed = false;
  bool listed_over_share = false;
  QueueKey listed_key;
};

struct LaneKey {
  std::string team;
  TaskShape shape;

  friend auto operator<=>(const LaneKey&, const LaneKey&) = default;
};

// Places a lane among the ready lanes: urgent kinds first, then teams within
// their fair share, then the head's latest start.
struct ReadyKey {
  int64_t priority = 0;
  bool over_share = false;
  QueueKey head;
  Lane* lane = nullptr;

  friend auto operator<=>(const ReadyKey&, const ReadyKey&) = default;
};

// A team's use of the service at this VM, and its rate bucket.
struct TeamUse {
  int64_t running_tasks = 0;
  int64_t queued_tasks = 0;
  double submission_tokens = 0;
  Micros tokens_at = 0;
  bool bucket_started = false;
  std::vector<Lane*> lanes;
};

// Owned by placement.
struct TaskQueue {
  std::map<LaneKey, std::unique_ptr<Lane>> lanes;
  std::set<ReadyKey> ready;
  std::unordered_map<std::string, TeamUse> teams;
  uint64_t next_sequence = 1;
  size_t queued_tasks = 0;
  size_t active_teams = 0;
  // Expected run time of all queued tasks, by priority.
  std::array<Micros, kLeastPriority + 1> queued_work = {};
};

// ---------------------------------------------------------------- workers

// The record of a worker's failures. Owned by outlier detection.
struct OutlierState {
  int failures_in_row = 0;
  int ejections = 0;
  Micros ejected_until = 0;
  // After an ejection the worker gets one idempotent task at a time until one
  // succeeds.
  bool probation = false;
};

// Slots of one worker lent to one VM.
struct LentSlots {
  int slots = 0;
  Micros expires_at = 0;
};

// A worker whose slots this VM may use: leased to it, or lent by a neighbour.
struct Worker {
  std::string name;
  std::string address;
  std::string rack;
  std::string failure_domain;
  int slots = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  uint64_t incarnation = 0;
  bool leaving = false;
  uint64_t lease_epoch = 0;
  Micros lease_until = 0;
  // The VM that lends the slots; empty when the lease is this VM's.
  std::string lender;
  // Starts of this VM that hold a slot, and what they use.
  int busy = 0;
  int64_t busy_memory_mb = 0;
  int64_t busy_accelerators = 0;
  // Tasks of other VMs that the worker last reported, beyond what was lent.
  int foreign = 0;
  // Tasks that the worker itself last reported.
  int reported_running = 0;
  std::map<std::string, LentSlots> lent;
  OutlierState outlier;
  // Another VM is to hold the lease: nothing new is started here.
  bool released = false;
  // The next renewal gets a new epoch, which fences starts still on their way.
  bool renew_epoch = false;
  // The newest epoch that the worker is known to have received.
  uint64_t confirmed_epoch = 0;
  // Lent by another domain, for tasks that may be repeated.
  bool idempotent_only = false;
  // A borrowed slot is given back at the first pause after this time.
  Micros borrowed_until = 0;
  // Place in the index of free workers.
  uint64_t rank = 0;
  bool indexed = false;
  int indexed_free = 0;

  int lent_total() const {
    int total = 0;
    for (const auto& [vm, part] : lent) {
      total += part.slots;
    }
    return total;
  }
  int free_slots() const { return slots - busy - foreign - lent_total(); }
  bool borrowed() const { return !lender.empty(); }
};

// Orders workers with free slots, the emptiest first.
struct FreeKey {
  int negative_free = 0;
  uint64_t rank = 0;
  Worker* worker = nullptr;

  friend auto operator<=>(const FreeKey&, const FreeKey&) = default;
};

// A start that holds a slot, until its answer arrives.
struct SlotUse {
  std::string worker;  // key in the worker table
  std::string submission_id;
  uint32_t index = 0;
  uint32_t attempt = 0;
  TaskShape shape;
  std::string team;
  std::string kind;
  uint64_t run_ms = 0;
  Micros started_at = 0;
};

// A neighbour's standing request for slots.
struct BorrowRequest {
  int slots = 0;
  TaskShape shape;
  int64_t priority = 0;
  Micros expires_at = 0;
};

// Owned by worker leases and borrowing.
struct WorkerTable {
  // By name; a borrowed worker's key is "name@lender".
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::set<FreeKey> free_plain;
  std::set<FreeKey> free_accelerated;
  // Keys of the workers that others lend.
  std::set<std::string> borrowed;
  // Starts that hold slots, by start key.
  std::unordered_map<std::string, SlotUse> uses;
  int leased_slots = 0;
  int free_slots = 0;
  uint64_t next_rank = 1;
  uint64_t max_lease_epoch = 0;
  Micros last_worker_seen = 0;
  std::map<std::string, BorrowRequest> borrowers;
  // What this VM asked of others, by VM.
  std::map<std::string, BorrowRequest> requests;
  size_t round_robin_next = 0;
};

// An announcement handed to the VM that holds the worker's lease.
struct ForwardedAnnouncement {
  ReplyToken token = kNoToken;
  AnnounceRequest request;
  std::string holder;
};

// ---------------------------------------------------------------- membership

// How much a claim voter remembers. A voter that may have forgotten records
// abstains on submissions that may be older than its memory.
enum class MemoryState : uint8_t {
  kUndetermined,  // has not yet heard whether it lived before
  kWhole,
  kAmnesiac,
};

// The grant of a serving lease to one incarnation of a VM, at its voter.
struct LeaseGrant {
  uint64_t incarnation = 0;
  Micros granted_until = 0;
};

// Another entry VM. Owned by membership.
struct Peer {
  uint64_t incarnation = 0;
  uint64_t earlier_incarnation = 0;
  Micros earlier_heard_at = 0;
  Micros last_heard = 0;
  bool reachable = false;
  bool near = false;
  uint64_t last_sequence = 0;
  bool draining = false;
  bool amnesiac = false;
  // Has said that it knows of no earlier incarnation of this VM.
  bool vouched = false;
  std::vector<LeaseGrant> grants;
  uint64_t configuration_version = 0;
  int free_slots = 0;
  int slots = 0;
  uint32_t queued_tasks = 0;
  uint32_t max_memory_mb = 0;
  uint32_t max_accelerators = 0;
  std::string http_address;
  // Sequence numbers and send times of this VM's latest heartbeats to it.
  std::deque<std::pair<uint64_t, Micros>> sent;
  // Send time of the latest heartbeat that it echoed.
  Micros echoed_from = 0;
  // Send time of the latest heartbeat for which it granted the serving lease.
  Micros lease_from = 0;
  // The latest heartbeat of the peer for which this VM granted it the lease.
  uint64_t granted_sequence = 0;
};

// The records of one claim group at one co-voter.
struct SyncKey {
  std::string failure_domain;
  std::string voter;

  friend auto operator<=>(const SyncKey&, const SyncKey&) = default;
};

struct Membership {
  std::map<std::string, Peer> peers;
  uint64_t next_sequence = 1;
  Micros started_at = 0;
  int64_t started_wall_ms = 0;
  MemoryState memory = MemoryState::kUndetermined;
  bool ever_amnesiac = false;
  Micros amnesiac_since = 0;
  int64_t amnesiac_since_wall_ms = 0;
  // Claim groups whose records were all fetched again after a restart.
  std::set<std::string> healed_groups;
  // Groups whose records are being fetched: co-voters that delivered all.
  std::map<std::string, std::set<std::string>> synced_from;
  // The last submission id fetched of each.
  std::map<SyncKey, std::string> sync_cursors;
  // This VM's own serving lease.
  Micros lease_until = 0;
  bool lease_valid = false;
  uint64_t lease_generation = 1;
  Micros lease_since = 0;
  int64_t lease_since_wall_ms = 0;
  bool lease_ever = false;
};

// ---------------------------------------------------------------- claims

struct ClaimEntry {
  wire::ClaimRecord record;
  // Whether this VM knows that a majority of the voters has the result.
  bool recorded = false;
  Micros created_at = 0;
  Micros expires_at = 0;
  size_t answer_bytes = 0;
};

// A vote of this VM that goes to its proposer when its record is durable.
struct UnsyncedVote {
  std::string proposer;
  wire::PeerMessage message;
};

struct ClaimExpiry {
  Micros due = 0;
  std::string id;
};

// What this VM holds as a voter, and the results of its own jobs.
struct ClaimStore {
  std::unordered_map<std::string, ClaimEntry> entries;
  std::deque<ClaimExpiry> expiry;
  std::deque<std::string> answers;  // oldest first
  size_t answer_bytes = 0;
  // Unfinished records by owner, for take-over.
  std::map<std::string, std::set<std::string>> unfinished_by_owner;
};

// ----------------------------------------------------------------
// configuration

// A change of configuration that this VM proposes.
struct ConfigurationProposal {
  ReplyToken token = kNoToken;
  uint64_t if_version = 0;
  std::string document;
  std::string digest;
  wire::ClaimPhase phase = wire::CLAIM_PREPARE;
  uint64_t ballot = 0;
  std::set<std::string> granted;
  std::set<std::string> refused;
  // The highest accepted state that the prepare phase found.
  uint64_t best_accepted = 0;
  wire::ConfigurationState best;
  // The state being accepted.
  wire::ConfigurationState proposed;
  bool proposing_own = false;
  // Whether any voter may have accepted the caller's document.
  bool maybe_accepted = false;
  Micros started_at = 0;
  Micros resend_at = 0;
};

struct ConfigurationBoard {
  // In force at this VM.
  wire::ConfigurationState in_force;
  Configuration active;
  // This VM's vote, when it is a voter.
  wire::ConfigurationVote vote;
  bool recovering = false;
  std::map<std::string, wire::ConfigurationRecoverReply> recovered;
  std::deque<ConfigurationProposal> proposals;  // the first one is in progress
  uint64_t highest_ballot = 0;
  // Replies that wait until a vote is durable, by journal token.
  std::map<uint64_t, SendPeer> unsynced_replies;
  // Replies to operators that wait until the version that they name is durable
  // here, by journal token.
  std::multimap<uint64_t, ReplyJson> unsynced_answers;
  // The journal token of the version in force, while it is not durable.
  uint64_t unsynced_version = 0;
  // Proposed when nothing is in force; canonical JSON.
  std::string first_document;
  Micros fetched_at = 0;
  // When this VM may propose the first document.
  Micros bootstrap_at = 0;
};

// ---------------------------------------------------------------- the rest

// A result as some voters hold it at one ballot.
struct TentativeResult {
  std::string home;
  wire::JobResult result;
  std::set<std::string> voters;
};

// A query for a submission that this VM does not know.
struct LookupQuery {
  ReplyToken token = kNoToken;
  std::string submission_id;
  std::set<std::string> waiting_for;
  bool cancel = false;
  // Results that single voters hold, each with who holds it.
  std::map<uint64_t, TentativeResult> tentative;
};

// What happened, counted since the start. Every counter is exported.
struct Counters {
  uint64_t submissions = 0;
  uint64_t attached = 0;
  uint64_t completed = 0;
  uint64_t failed = 0;
  uint64_t refused = 0;
  uint64_t unknown = 0;
  uint64_t cancelled = 0;
  uint64_t starts = 0;
  uint64_t refused_starts = 0;
  uint64_t retries = 0;
  uint64_t retries_denied = 0;
  uint64_t hedges = 0;
  uint64_t hedges_lost = 0;
  uint64_t stops = 0;
  uint64_t lookups = 0;
  uint64_t late_answers = 0;
  uint64_t forwards = 0;
  uint64_t forward_resends = 0;
  uint64_t claim_messages = 0;
  uint64_t claim_resends = 0;
  uint64_t takeovers = 0;
  uint64_t lease_lapses = 0;
  uint64_t borrow_requests = 0;
  uint64_t borrowed_slots = 0;
  uint64_t ejections = 0;
  uint64_t control_messages = 0;
  uint64_t control_bytes = 0;
  uint64_t peer_messages = 0;
  uint64_t peer_bytes = 0;
  uint64_t invariant_failures = 0;
};

// One finished submission, for the service-level metrics.
struct Observation {
  std::string kind;
  std::string failure_domain;
  Outcome outcome = Outcome::kPending;
  ResultCode code = ResultCode::kOk;
  int64_t response_ms = 0;
  int64_t target_ms = 0;
  int64_t wall_ms = 0;
};

// Tokens for retries: first starts add a share, retries take one.
inline constexpr double kMaxRetryTokens = 200;

struct RetryBudget {
  double tokens = 20;
};

struct Blackboard {
  Deployment deployment;
  Tuning tuning;
  std::mt19937_64 random;
  TimerQueue timers;
  Membership membership;
  ClaimStore claims;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs;
  // The submissions whose answer each waiting request is for.
  std::unordered_map<ReplyToken, std::string> callers;
  TaskQueue queue;
  WorkerTable workers;
  RunTimeModel run_times;
  RetryBudget retry_budget;
  ConfigurationBoard configuration;
  std::map<uint64_t, ForwardedAnnouncement> announcements;
  std::map<uint64_t, LookupQuery> queries;
  // Votes that wait for a synced journal record, by journal token.
  std::unordered_map<uint64_t, UnsyncedVote> unsynced_votes;
  uint64_t next_id = 1;
  bool draining = false;
  bool drained = false;
  Micros drain_started_at = 0;
  // Whether placement has something new to look at in this step.
  bool placement_due = false;
  // The lease generation for which owned jobs were last claimed again.
  uint64_t reclaimed_generation = 1;
  Counters counters;
  // Drained by the edge after each step.
  std::vector<Observation> observations;
};

// Says whether a test took the mechanism `which` away.
inline bool IsBroken(const Blackboard& bb, Break which) {
  return bb.tuning.break_for_test == which;
}

// Returns a number unique within this run of the daemon.
inline uint64_t NextId(Blackboard& bb) {
  return bb.next_id++;
}

// Returns the key of one task in timers and messages, "id/index".
std::string TaskKey(const std::string& submission_id, uint32_t index);

// Splits a task key. Returns false when `key` is not one.
bool ParseTaskKey(const std::string& key,
                  std::string& submission_id,
                  uint32_t& index);

// Returns the key of one start of one task, "id/index#attempt".
std::string StartKey(const std::string& submission_id,
                     uint32_t index,
                     uint32_t attempt);

// Returns the job of `submission_id`, or null.
Job* FindJob(Blackboard& bb, const std::string& submission_id);

// Queues `message` for the VM `vm`, stamped with this VM's name.
void Send(Blackboard& bb,
          const std::string& vm,
          wire::PeerMessage message,
          Actions& actions);

// Checks an invariant of the program, in every build. A failure is counted and
// logged, and returns false so that the caller can take its safe way out.
bool Ensure(Blackboard& bb,
            bool condition,
            std::string_view invariant,
            Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_BLACKBOARD_H_
