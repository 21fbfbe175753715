#ifndef GOLDCREST_BLACKBOARD_H_
#define GOLDCREST_BLACKBOARD_H_

// The whole state of one daemon's decision code.
//
// The blackboard is plain data. The functions that read and write it are free
// functions, grouped into controllers, one for each header. Each part of the
// blackboard has its own header, which names the controllers that write it. It
// contains no clock, thread, socket or file, so one process can hold many
// blackboards, as the randomised tests do.

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "goldcrest/action.h"
#include "goldcrest/claim_records.h"
#include "goldcrest/configuration.h"
#include "goldcrest/configuration_board.h"
#include "goldcrest/deployment.h"
#include "goldcrest/event.h"
#include "goldcrest/job_record.h"
#include "goldcrest/membership_state.h"
#include "goldcrest/outcome.h"
#include "goldcrest/run_time_model.h"
#include "goldcrest/task_queue.h"
#include "goldcrest/time_units.h"
#include "goldcrest/timers.h"
#include "goldcrest/tuning.h"
#include "goldcrest/worker_record.h"
#include "proto/goldcrest.pb.h"

namespace goldcrest {

// A result that some claim voters have recorded at one ballot, but that is not
// known to be recorded by a majority.
struct TentativeResult {
  std::string home;
  wire::JobResult result;
  std::set<std::string> voters;
};

// A lookup of a submission that this VM does not know, sent to the other VMs.
struct SubmissionLookup {
  ReplyToken token = kNoToken;
  std::string submission_id;
  std::set<std::string> waiting_for;
  bool cancel = false;
  // Results that some voters have recorded, but that are not known to be
  // recorded by a majority, by ballot.
  std::map<uint64_t, TentativeResult> tentative;
};

// Event counts since the daemon started. Every counter is exported as a metric.
struct Counters {
  uint64_t submissions = 0;
  uint64_t attached = 0;
  uint64_t completed = 0;
  uint64_t failed = 0;
  uint64_t refused = 0;
  uint64_t unknown = 0;
  uint64_t cancelled = 0;
  uint64_t starts = 0;
  // Attempts that are known not to have run.
  uint64_t refused_starts = 0;
  uint64_t retries = 0;
  uint64_t retries_denied = 0;
  uint64_t hedges = 0;
  // Tasks that completed while they had a hedge attempt, whichever of the two
  // attempts completed.
  uint64_t hedges_lost = 0;
  uint64_t stops = 0;
  // Lookups of task attempts at their workers.
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

// One finished submission, as input to the service-level metrics.
struct Observation {
  std::string kind;
  std::string failure_domain;
  Outcome outcome = Outcome::kPending;
  ResultCode code = ResultCode::kOk;
  int64_t response_ms = 0;
  int64_t target_ms = 0;
  int64_t wall_ms = 0;
};

// Upper bound of RetryBudget::tokens.
inline constexpr double kMaxRetryTokens = 200;

// Token bucket that limits retries: each start of a task adds
// `limits.retry_ratio` tokens, each retry removes one.
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
  // Submission id that each waiting request of a caller is for, by reply token.
  std::unordered_map<ReplyToken, std::string> submission_of_request;
  TaskQueue queue;
  WorkerTable workers;
  RunTimeModel run_times;
  RetryBudget retry_budget;
  ConfigurationBoard configuration;
  std::map<uint64_t, ForwardedAnnouncement> forwarded_announcements;
  std::map<uint64_t, SubmissionLookup> submission_lookups;
  // Votes that are sent after their journal record is synced, by journal token.
  std::unordered_map<uint64_t, UnsyncedVote> unsynced_votes;
  uint64_t next_id = 1;
  bool draining = false;
  bool drained = false;
  Micros drain_started_at = 0;
  // Whether queue, workers or leases changed, so that this step must run
  // placement.
  bool placement_due = false;
  // The generation of the serving lease for which owned jobs were last claimed
  // again.
  uint64_t reclaimed_generation = 1;
  Counters counters;
  // Read and cleared by the edge after each step.
  std::vector<Observation> observations;
};

// Returns true if a test has disabled the mechanism `which`.
inline bool IsDisabled(const Blackboard& bb, DisabledMechanism which) {
  return bb.tuning.disabled_for_test == which;
}

// Returns a number that is unique within this incarnation of the daemon.
inline uint64_t NextId(Blackboard& bb) {
  return bb.next_id++;
}

// Returns the key that names one task in timers and messages, "id/index".
std::string TaskKey(const std::string& submission_id, uint32_t index);

// Splits a task key into its parts. Returns false if `key` is not a task key.
bool ParseTaskKey(const std::string& key,
                  std::string& submission_id,
                  uint32_t& index);

// Returns the key of one attempt of one task, "id/index#attempt".
std::string AttemptKey(const std::string& submission_id,
                       uint32_t index,
                       uint32_t attempt);

// Returns the job of `submission_id`, or null if this VM has none.
Job* FindJob(Blackboard& bb, const std::string& submission_id);

// Appends an action that sends `message` to the VM `vm`, with this VM's name
// and incarnation as the sender.
void SendToPeer(Blackboard& bb,
                const std::string& vm,
                wire::PeerMessage message,
                Actions& actions);

// Checks an invariant of the program, in every build type. If `condition` is
// false, counts and logs the failure and returns false, so that the caller can
// take its safe fallback. `invariant` is the text of the log line.
bool CheckInvariant(Blackboard& bb,
                    bool condition,
                    std::string_view invariant,
                    Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_BLACKBOARD_H_
