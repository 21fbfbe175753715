#ifndef POOL_ENTRY_ENTRY_H_
#define POOL_ENTRY_ENTRY_H_

// The decision code of an entry daemon, which passes callers' jobs to control
// daemons and returns their outcomes.
//
// Apart from the callers' connections, an entry daemon holds no state that must
// not be lost, except while it orders workers itself as a standby for control
// daemons (standby.h). It sends each job to one control daemon, of its own
// failure domain if that is reachable, and answers the caller with the outcome
// that this daemon reports. No task of a job runs before the control daemon has
// requested the start permission. If the control daemon becomes unreachable
// before that, the job is sent to another one under a new order number, and
// reports about the old number are ignored. If it becomes unreachable later,
// the caller is answered at once that the outcome is unknown, since the control
// daemon may still run the job. A job that no control daemon could accept is
// refused at once with a time after which to retry.
//
// Callers' requests are refused while no configuration is known, so a daemon
// never uses a configuration that is older than one that it used before in the
// same incarnation.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "goldcrest/time_units.h"
#include "pool/mesh/mesh.h"
#include "pool/pool_action.h"
#include "pool/pool_board.h"
#include "proto/pool.pb.h"

namespace goldcrest {

struct EntryOptions {
  // Time from the request to stop until the platform kills the process.
  Micros stop_grace = 6 * kSecond;
  // Minimum duration of a graceful stop, if the grace period allows it: the
  // load balancer needs two failed probes to detect it.
  Micros shortest_drain = 2500 * kMillisecond;
  // A graceful stop ends when no request has come for this long and no job is
  // pending.
  Micros drain_idle_time = 500 * kMillisecond;
  // A job ends when its control daemon has not answered this long after the
  // caller's timeout.
  Micros answer_slack = 50 * kMillisecond;
  // An unconfirmed cancellation is sent again after this delay.
  Micros cancel_retry_delay = 200 * kMillisecond;
  // Requests are refused for this long after a pause of the process: they may
  // have waited in the sockets for an unknown time.
  Micros refuse_after_pause = 100 * kMillisecond;
  int64_t retry_after_ms = 1000;
  // Requests that cannot be served yet are held for up to this long at the
  // beginning of an outage (request_hold.h); 0: they are refused at once.
  Micros hold_requests = 0;
  // Used while this daemon orders workers as a standby.
  PoolFeatures features;
  LateOrderBounds late_orders;
  CrashOptions crashes;
};

// A caller's job, as decoded by the edge.
struct CallerJob {
  ReplyToken token = kNoToken;
  std::string queue;  // key of the queue (queue_key.h)
  std::string job_id;
  std::string spec;
  std::vector<wire::JobStep> steps;
  // The caller's timeout; 0: the queue's timeout applies.
  int64_t caller_timeout_ms = 0;
  // How long the request was held before it was passed to the decision code.
  Micros held_for = 0;
  // A feature that the job requires and this version does not support; empty if
  // there is none.
  std::string unsupported;
};

// The edge has rejected a request that is not a valid job submission.
struct RequestRejected {
  std::string job_id;  // empty if unknown
  std::string reason;
};

// The caller closed its connection.
struct CallerDisconnected {
  ReplyToken token = kNoToken;
};

// A caller has requested to cancel the job of the queue with this id.
struct CancelRequested {
  ReplyToken token = kNoToken;
  std::string job_id;
  std::string queue;  // key of the queue (pool/queue_key.h)
};

// A message from another daemon was received.
struct EntryMessageReceived {
  wire::PoolMessage message;
};

// SIGTERM was received: the daemon is to shut down gracefully.
struct EntryDrainRequested {};

// Sent periodically; runs work that is due.
struct EntryTimeAdvanced {};

using EntryEvent = std::variant<CallerJob,
                                RequestRejected,
                                CallerDisconnected,
                                CancelRequested,
                                EntryMessageReceived,
                                WorkerAnswer,
                                EntryDrainRequested,
                                EntryTimeAdvanced>;

// A caller's job that was sent to a control daemon and has no outcome yet.
struct PendingJob {
  uint64_t order_number = 0;    // order number
  ReplyToken token = kNoToken;  // kNoToken: the caller has disconnected
  std::string job_id;
  std::string queue;  // key of the queue
  wire::JobOrder message;
  std::set<std::string>
      tried_controls;           // control daemons that did not accept it
  std::string control_address;  // mesh address
  uint64_t control_incarnation = 0;
  Micros received_at = 0;
  Micros deadline = 0;
  // Whether the control daemon has the start permission. The job has certainly
  // not run before it is given.
  bool start_permitted = false;
  // Whether its caller has disconnected or a cancellation was requested. The
  // requests in `cancel_tokens` are answered with the job's outcome when the
  // control daemon has reported it.
  bool cancelling = false;
  Micros cancel_due = 0;
  std::vector<ReplyToken> cancel_tokens;
  // Since when the job waits for a daemon that can take it; 0: it was sent to
  // one (PoolFeatures::standby_after).
  Micros held_since = 0;
  // A held job is not sent before this time.
  Micros retry_at = 0;
  // When a standby first did not accept the job; 0: none has refused it.
  Micros first_not_accepted_at = 0;
};

// Requests to cancel a job that this daemon does not have (cancel_requests.h).
struct CancelElsewhere {
  std::string job_id;
  std::string queue;  // key of the queue
  std::vector<ReplyToken> tokens;
  std::set<std::string> asked;    // mesh addresses
  std::set<uint64_t> unanswered;  // numbers of the orders to them
  bool all_ordered = true;        // every order is repeated until answered
  Micros answer_by = 0;
};

struct EntryCounters {
  uint64_t received = 0;
  uint64_t moved = 0;  // jobs sent again, to another control daemon
  uint64_t held = 0;   // times that a job waited for a daemon that can take it
  uint64_t requests_held = 0;  // requests held at the beginning of an outage
  std::map<std::string, uint64_t> answered;  // by outcome
};

// Outcome and response time of a finished job, for histograms.
struct JobObservation {
  std::string queue;  // key of the queue
  wire::JobFate fate = wire::JOB_FATE_UNSPECIFIED;
  Micros duration = 0;
};

// The complete in-memory state of an entry daemon.
struct EntryBoard {
  EntryOptions options;
  // The mesh, and the workers that this daemon owns while it is a standby.
  PoolBoard pool;
  wire::Routing routing;                             // version 0: not known yet
  std::unordered_map<uint64_t, PendingJob> pending;  // by order number
  std::unordered_map<ReplyToken, uint64_t> order_number_of_token;
  // By JobKeyInQueue().
  std::unordered_map<std::string, uint64_t> order_number_of_job;
  std::map<std::string, CancelElsewhere> cancels_elsewhere;
  uint64_t next_order = 1;  // no other process of the daemon used it
  EntryCounters counters;
  std::vector<JobObservation> observations;  // drained by the edge
  Micros refuse_until = 0;
  Micros last_served_at = 0;  // when a daemon could last take jobs
  bool draining = false;
  Micros drain_started_at = 0;
  Micros last_request_at = 0;
  bool drained = false;
};

// Returns the board of an entry daemon that starts now.
EntryBoard MakeEntryBoard(const EntryOptions& options, const MeshOptions& mesh);

// Handles `event`, without placing tasks, and appends the resulting actions to
// `actions`.
void HandleEntryEvent(EntryBoard& board,
                      const EntryEvent& event,
                      StepTime now,
                      PoolActions& actions);

// Places the waiting tasks of a standby on workers: one plan for all events
// that arrived together.
void PlaceEntryTasks(EntryBoard& board, StepTime now, PoolActions& actions);

// Handles `event` and places waiting tasks.
void EntryStep(EntryBoard& board,
               const EntryEvent& event,
               StepTime now,
               PoolActions& actions);

// Returns the queue that has the longest path prefix of `path` among those of
// `host`, or null if there is none. `host` is "name" or "name:port", in upper
// or lower case; a queue whose host is "name" takes requests to any port.
const wire::Queue* FindQueue(const wire::Routing& routing,
                             const std::string& host,
                             const std::string& path);

// Returns the address of the control daemon for a new job: preferably of this
// daemon's failure domain, then the one with the most free capacity. Returns
// nullopt if no control daemon accepts jobs. Daemons in `tried` are excluded.
std::optional<std::string> ChooseControl(
    const Mesh& mesh,
    Micros now,
    const std::set<std::string>& tried = {});

// Returns true if the load balancer should send callers to this daemon.
bool IsReady(const EntryBoard& board, Micros now);

// Returns the number of pending jobs of the queue with the key `queue`.
size_t CountPendingJobs(const EntryBoard& board, const std::string& queue);

}  // namespace goldcrest

#endif  // POOL_ENTRY_ENTRY_H_
