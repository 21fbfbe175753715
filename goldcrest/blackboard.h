#ifndef GOLDCREST_BLACKBOARD_H_
#define GOLDCREST_BLACKBOARD_H_

// Everything that one daemon knows.
//
// The blackboard is plain data. Controllers are free functions that read and
// write it; each part has a header of its own, which names the controllers that
// write it. Nothing here holds a clock, a thread, a socket or a file, so one
// process may hold many blackboards, as the randomised tests do.

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
