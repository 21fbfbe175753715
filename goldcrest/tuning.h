#ifndef GOLDCREST_TUNING_H_
#define GOLDCREST_TUNING_H_

// The periods, timeouts and bounds of the decisions, with their defaults.
// A test shortens them; the daemon uses them as they are.

#include <cstdint>
#include <span>
#include <string_view>

#include "goldcrest/time_units.h"

namespace goldcrest {

// How tasks are spread over workers. The baselines exist for comparison runs.
enum class PlacementPolicy { kSlack, kRandom, kRoundRobin, kLeastLoaded };

// A mechanism that a test takes away, to show that the randomised tests notice
// when it is missing. The daemon never sets one.
enum class Break {
  kNone,
  kNoClaim,         // tasks start without a claim by a majority
  kNoIntent,        // unrepeatable tasks start without a recorded intent
  kNoAmnesiaRule,   // a restarted voter votes on what it has forgotten
  kNoServingLease,  // owners start tasks without the serving lease
  kNoWaitForLease,  // voters let others take over at once
  kNoFence,         // a never-seen start is repeated without a new epoch
  kRepeatLost,      // lost starts of unrepeatable kinds are repeated
  kRefuseUnasked,   // refusals say "none" without asking the voters
  kPartialAnswers,  // a job is answered when its last task ends
  kNoConfigurationRecovery,  // a voter without memory votes at once
  kUseLeavingWorkers,        // leaving workers get new tasks
  kDropOnDrain,              // a draining VM stops at once
};

// Returns the mechanism named `name`, or kNone for an empty or unknown name.
Break BreakFromName(std::string_view name);

// Returns the names of all mechanisms that can be taken away.
std::span<const std::string_view> BreakNames();

struct Tuning {
  // Heartbeats to the VMs that share a claim group or a failure domain.
  Micros near_heartbeat = 200 * kMillisecond;
  // The shortest period of heartbeats to all other VMs.
  Micros far_heartbeat = kSecond;
  // Far heartbeats slow down so that a daemon sends at most one of them in
  // this time on average.
  Micros far_heartbeat_spacing = 25 * kMillisecond;
  // A peer not heard of for this many of its periods counts as unreachable.
  int missed_heartbeats = 4;
  // How long a voter's grant of a serving lease runs.
  Micros serving_lease = 1500 * kMillisecond;
  // Taken off the lease by its holder, for clocks that run at other speeds.
  Micros lease_margin = 150 * kMillisecond;
  // The lease of a worker and the period in which it should renew.
  Micros worker_lease = 2 * kSecond;
  Micros worker_renew = 500 * kMillisecond;
  // Unanswered claim messages are sent again after this time.
  Micros claim_resend = 60 * kMillisecond;
  // A claim without a majority for this long is answered "unknown".
  Micros claim_timeout = 2500 * kMillisecond;
  // A result that no majority of voters has recorded by the time that callers
  // are told "unknown" is sent to the voters again after this time, until they
  // have it or the retention window has passed.
  Micros finish_resend = 500 * kMillisecond;
  // A forwarded submission is sent again to its home after this time.
  Micros forward_resend = 300 * kMillisecond;
  // The VM that forwarded a submission is told that it is in its owner's hands
  // when it is not answered by this time, so that it need not send it again.
  Micros accepted_notice = 150 * kMillisecond;
  // A forwarded submission without any reachable home VM waits this long.
  Micros forward_patience = 2 * kSecond;
  // The delay before the first retry of a task, doubled for each next one.
  Micros retry_delay = 20 * kMillisecond;
  Micros max_retry_delay = 500 * kMillisecond;
  // The pause between two lookups of one task at its worker.
  Micros lookup_period = 200 * kMillisecond;
  // Lookups that fail this often end in "unknown".
  int max_lookups = 15;
  // A worker is ejected after this many failures in a row.
  int outlier_failures = 5;
  Micros ejection = 5 * kSecond;
  Micros max_ejection = 60 * kSecond;
  // At most this share of the workers is ejected at a time.
  double max_ejected_share = 0.5;
  // A request for free slots of a neighbour is kept there for this long.
  Micros borrow_patience = 400 * kMillisecond;
  // A query for a submission that nobody answers ends after this time.
  Micros lookup_timeout = 500 * kMillisecond;
  // An announcement handed to the lease holder waits this long for its reply.
  Micros announce_timeout = 400 * kMillisecond;
  // Rounds of a configuration change, and its time in all.
  Micros configuration_resend = 150 * kMillisecond;
  Micros configuration_timeout = 4 * kSecond;
  // Submissions wait this long for a first worker before they are refused.
  Micros worker_patience = 5 * kSecond;
  // A draining daemon gives up on what is in flight after this time.
  Micros drain_timeout = 30 * kSecond;
  // Submissions that one daemon tracks before it refuses more.
  int max_jobs = 200'000;
  // Tasks of one job that are started in one pass.
  int max_starts_per_pass = 4096;
  // Kinds of a greater priority number leave this share of the slots free for
  // the more urgent ones, which cannot interrupt a running task.
  int64_t urgent_priority = 3;
  double urgent_share = 0.2;
  // A job should be answered within this many times its ideal time, if its
  // kind's objective does not ask for more.
  double target_stretch = 4;
  PlacementPolicy placement = PlacementPolicy::kSlack;
  // Whether each claim waits for a synced journal record, for comparison runs
  // and for a daemon that is its own quorum.
  bool synced_claims = false;
  // For tests only.
  Break break_for_test = Break::kNone;
};

}  // namespace goldcrest

#endif  // GOLDCREST_TUNING_H_
