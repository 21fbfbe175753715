#ifndef EDGE_POOL_PROTOCOL_H_
#define EDGE_POOL_PROTOCOL_H_

// What entry and control daemons need of the wire towards callers, operators
// and workers.
//
// The daemons speak in the product's types; an implementation only encodes
// and decodes. It holds no state, decides nothing and never waits.

#include <cstddef>
#include <exception>
#include <string>
#include <variant>

#include "edge/http_client.h"
#include "edge/http_message.h"
#include "pool/entry.h"
#include "pool/pool_step.h"
#include "pool/worker_order.h"

namespace goldcrest {

// A caller asks how many jobs of a queue have not started.
struct QueueCountQuery {
  std::string queue;
};

// A caller asks for the state of a job that is answered where it was sent.
struct JobStateQuery {
  std::string job_id;
};

// A request that is answered at once, because it cannot be read or names no
// queue.
struct CallerMistake {
  HttpReply reply;
  CallerTurnedAway why;
};

using CallerRequest = std::variant<CallerJob,
                                   CallerCancels,
                                   JobStateQuery,
                                   QueueCountQuery,
                                   CallerMistake>;

// Towards callers and the balancer, at an entry daemon.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;
  // Decodes a request by the queues in force.
  virtual CallerRequest Decode(const HttpRequest& request,
                               const wire::Routing& routing) const = 0;
  virtual HttpReply JobAnswer(const ReplyJob& answer) const = 0;
  virtual HttpReply JobState(bool known) const = 0;
  virtual HttpReply QueueCount(size_t count) const = 0;
  // Says whether the request asks for the daemon's readiness.
  virtual bool IsReadinessQuery(const HttpRequest& request) const = 0;
};

// An operator asks for the configuration in force.
struct ConfigurationQuery {};

// A request as decoded; an HttpReply is its answer.
using ControlRequest = std::variant<WorkerReported,
                                    WorkerLeft,
                                    RoutingChanged,
                                    ConfigurationQuery,
                                    HttpReply>;

// Towards workers' reports and operators, at a control daemon.
class ControlProtocol {
 public:
  virtual ~ControlProtocol() = default;
  virtual ControlRequest Decode(const HttpRequest& request) const = 0;
  // `report_to` is the address for later reports; empty: any.
  virtual HttpReply ReportTaken(const std::string& report_to) const = 0;
  virtual HttpReply LeaveTaken() const = 0;
  virtual HttpReply ChangeDurable() const = 0;
  virtual HttpReply Configuration(const wire::Routing& routing) const = 0;
  virtual HttpReply TryLater() const = 0;
};

// How daemons connect to workers: connections are kept while the worker lives.
inline HttpClientOptions WorkerClientOptions() {
  HttpClientOptions options;
  options.limits.max_body_bytes = 8 * 1024 * 1024;
  options.connect_timeout = 300 * kMillisecond;
  options.idle_timeout = 120 * kSecond;
  return options;
}

// Orders to workers.
class WorkerProtocol {
 public:
  virtual ~WorkerProtocol() = default;
  virtual HttpCall Encode(const WorkerOrder& order) const = 0;
  virtual WorkerAnswer Decode(const WorkerOrder& order,
                              CallEnd end,
                              const HttpResponse& response) const = 0;
};

// Paths of refused requests are logged up to this length.
inline constexpr size_t kLoggedPathBytes = 200;

// Returns the reply to a request that a decoder failed on, and logs the error:
// libraries throw, and one request must not end the daemon.
HttpReply UndecodedRequest(const std::string& path,
                           const std::exception& error);

}  // namespace goldcrest

#endif  // EDGE_POOL_PROTOCOL_H_
