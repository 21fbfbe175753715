#ifndef GOLDCREST_TUNING_H_
#define GOLDCREST_TUNING_H_

// Periods, timeouts and bounds of the decision code, with their defaults. The
// daemon uses the defaults; tests shorten some of them.

#include <cstdint>
#include <span>
#include <string_view>

#include "goldcrest/time_units.h"

namespace goldcrest {

// How tasks are assigned to workers. kSlack, the default, orders queued tasks
// by priority, fair share and latest start time, as placement.h describes. The
// other policies are baselines for comparison runs.
enum class PlacementPolicy { kSlack, kRandom, kRoundRobin, kLeastLoaded };

// A safety mechanism that a test can disable, to show that the randomised tests
// detect its absence. Each enumerator names the behaviour while the mechanism
// is disabled. The daemon itself never disables one.
enum class DisabledMechanism {
  kNone,
  kNoClaim,           // tasks start without a claim by a majority
  kNoIntent,          // non-idempotent tasks start without a recorded intent
  kNoLostStateRule,   // a restarted voter votes on claims whose state it lost
  kNoServingLease,    // owners start tasks without the serving lease
  kNoWaitForLease,    // voters permit a takeover before the lease expires
  kNoFence,           // a task unknown to its worker restarts in the same epoch
  kRepeatUnanswered,  // unanswered attempts are repeated for non-idempotent
                      // kinds
  kRefuseWithoutQuery,  // refusals report "ran: none" without querying the
                        // voters
  kPartialAnswers,      // a job is answered when its highest-numbered task ends
  kNoConfigurationRecovery,  // a voter with lost state votes before it has
                             // recovered
  kUseLeavingWorkers,        // leaving workers are sent new tasks
  kDropOnDrain,              // a draining VM stops without finishing its jobs
};

// Returns the mechanism called `name`, or kNone if `name` is empty or unknown.
DisabledMechanism DisabledMechanismFromName(std::string_view name);

// Returns the names of all mechanisms that can be disabled.
std::span<const std::string_view> DisabledMechanismNames();

struct Tuning {
  // Period of heartbeats at full rate, to the VMs that share a claim group or a
  // failure domain with this VM.
  Micros full_rate_heartbeat = 200 * kMillisecond;
  // Shortest period of heartbeats at reduced rate, to all other VMs.
  Micros reduced_rate_heartbeat = kSecond;
  // The reduced rate is lowered further as the number of VMs grows, so that a
  // daemon sends at most one such heartbeat in this time on average.
  Micros reduced_rate_heartbeat_spacing = 25 * kMillisecond;
  // A peer counts as unreachable when for this many of its heartbeat periods
  // it has sent no message or has echoed no heartbeat sent in that time.
  int missed_heartbeats = 4;
  // How long a voter's grant of a serving lease, which permits a VM to start
  // tasks, is valid.
  Micros serving_lease = 1500 * kMillisecond;
  // Subtracted from the lease by its holder, to allow for clocks that run at
  // different rates.
  Micros lease_margin = 150 * kMillisecond;
  // Duration of a worker's lease, and the period at which the worker should
  // renew it.
  Micros worker_lease = 2 * kSecond;
  Micros worker_renew = 500 * kMillisecond;
  // Delay before an unanswered claim message is sent again.
  Micros claim_resend = 60 * kMillisecond;
  // A claim that has no majority after this time is answered with "unknown".
  // The time counts from the start of the claim or from the last contact with a
  // majority of the voters, whichever is earlier.
  Micros claim_timeout = 2500 * kMillisecond;
  // Interval at which a result is sent to the claim voters again once it was
  // sent kMaxUpdateSends times (claim_updates.cc) without a majority and
  // callers have been answered with "unknown". Repeated until a majority has
  // recorded it or the retention window has passed.
  Micros result_resend = 500 * kMillisecond;
  // Delay before a forwarded submission is sent to its target again.
  Micros forward_resend = 300 * kMillisecond;
  // If a forwarded submission is not answered after this time, the owner
  // notifies the forwarding VM that it has accepted it, so that it is not sent
  // again.
  Micros accepted_notice_delay = 150 * kMillisecond;
  // How long a forwarded submission waits while no VM of its home domain is
  // reachable.
  Micros unreachable_home_timeout = 2 * kSecond;
  // Delay before the first retry of a task; doubled for each further retry, up
  // to max_retry_delay.
  Micros retry_delay = 20 * kMillisecond;
  Micros max_retry_delay = 500 * kMillisecond;
  // Interval between lookups of one task at its worker.
  Micros lookup_period = 200 * kMillisecond;
  // After more than this many lookups that did not determine the outcome of an
  // attempt, the attempt ends with the result code kWorkerLost.
  int max_lookups = 15;
  // A worker is ejected (sent no new tasks) after this many consecutive
  // failures, first for `ejection`; the time doubles with each ejection, up to
  // `max_ejection`.
  int outlier_failures = 5;
  Micros ejection = 5 * kSecond;
  Micros max_ejection = 60 * kSecond;
  // Largest share of the workers that may be ejected at the same time.
  double max_ejected_share = 0.5;
  // Time to live of a borrow request at the VM that received it.
  Micros borrow_request_ttl = 400 * kMillisecond;
  // Timeout of a lookup of a submission at the other VMs.
  Micros lookup_timeout = 500 * kMillisecond;
  // How long a worker's announcement that was forwarded to the VM that holds
  // the lease waits for the reply.
  Micros announce_timeout = 400 * kMillisecond;
  // Interval between the rounds of a configuration change, and the timeout of
  // the whole change.
  Micros configuration_resend = 150 * kMillisecond;
  Micros configuration_timeout = 4 * kSecond;
  // While there is no worker, submissions are refused once this time has passed
  // since the last announcement of a worker or the start of the daemon,
  // whichever is later.
  Micros no_worker_timeout = 5 * kSecond;
  // A draining daemon stops waiting for unfinished jobs after this time.
  Micros drain_timeout = 30 * kSecond;
  // Largest number of submissions that one daemon tracks; further ones are
  // refused.
  int max_jobs = 200'000;
  // Largest number of tasks that one placement pass starts.
  int max_starts_per_pass = 4096;
  // Lower priority numbers are more urgent. Kinds with a number above
  // `urgent_priority` leave the share `urgent_share` of the slots free for more
  // urgent kinds, because an urgent task can't preempt a running one.
  int64_t urgent_priority = 3;
  double urgent_share = 0.2;
  // A job should be answered within this many times its ideal time, the
  // shortest time in which it can run on the slots of its domain, unless the
  // latency objective of its kind is shorter.
  double target_stretch = 4;
  PlacementPolicy placement = PlacementPolicy::kSlack;
  // Whether each vote on a claim waits until its journal record is synced. Used
  // in comparison runs and by a single entry VM with a data folder, which alone
  // is the majority of the voters.
  bool synced_claims = false;
  // For tests only: the mechanism that is disabled.
  DisabledMechanism disabled_for_test = DisabledMechanism::kNone;
};

}  // namespace goldcrest

#endif  // GOLDCREST_TUNING_H_
