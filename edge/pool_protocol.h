#ifndef EDGE_POOL_PROTOCOL_H_
#define EDGE_POOL_PROTOCOL_H_

// Interfaces of the wire protocols for callers, operators and workers.
//
// The daemons use only the product's own types; an implementation encodes and
// decodes them for one platform. It is stateless, makes no decisions and never
// blocks.

#include <cstddef>
#include <exception>
#include <string>
#include <variant>

#include "edge/http_client.h"
#include "edge/http_message.h"
#include "pool/entry/entry.h"
#include "pool/pool_step.h"
#include "pool/worker_order.h"

namespace goldcrest {

// A caller requests the number of jobs of a queue that have not started.
struct QueueCountQuery {
  std::string queue;  // key of the queue (pool/queue_key.h)
};

// A caller requests the state of a job. Only the entry daemon to which the job
// was submitted knows it.
struct JobStateQuery {
  std::string job_id;
  std::string queue;  // key of the queue (pool/queue_key.h)
};

// A request that is answered immediately because it is malformed or names no
// known queue. `rejection` is logged.
struct RejectedCallerRequest {
  HttpReply reply;
  RequestRejected rejection;
};

using CallerRequest = std::variant<CallerJob,
                                   CancelRequested,
                                   JobStateQuery,
                                   QueueCountQuery,
                                   RejectedCallerRequest>;

// Protocol of an entry daemon for callers and the load balancer. Apart from
// Decode() and IsReadinessProbe(), each method encodes one kind of reply.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;
  // Decodes a request. `routing` holds the queues in force.
  virtual CallerRequest Decode(const HttpRequest& request,
                               const wire::Routing& routing) const = 0;
  // The reply to a submitted job, or to its cancellation.
  virtual HttpReply EncodeJobReply(const ReplyJob& answer) const = 0;
  // The reply to a JobStateQuery. `known` is true while the job is pending.
  virtual HttpReply EncodeJobState(bool known) const = 0;
  virtual HttpReply EncodeQueueCount(size_t count) const = 0;
  // Returns true if the request is the load balancer's readiness probe.
  virtual bool IsReadinessProbe(const HttpRequest& request) const = 0;
};

// An operator requests the configuration in force.
struct ConfigurationQuery {};

// A decoded request. An HttpReply is the immediate answer to a request that is
// rejected.
using ControlRequest = std::variant<WorkerReported,
                                    WorkerLeft,
                                    RoutingChangeRequested,
                                    ConfigurationQuery,
                                    HttpReply>;

// Protocol of a control daemon for worker reports and operators. Apart from
// Decode(), each method encodes one kind of reply.
class ControlProtocol {
 public:
  virtual ~ControlProtocol() = default;
  virtual ControlRequest Decode(const HttpRequest& request) const = 0;
  // The reply to a worker report. `report_to` is the address for later reports;
  // empty: any control daemon.
  virtual HttpReply EncodeReportAccepted(
      const std::string& report_to) const = 0;
  // The reply to a worker that deregisters.
  virtual HttpReply EncodeDeregistered() const = 0;
  // The reply to a configuration change that is durable.
  virtual HttpReply EncodeChangeDurable() const = 0;
  // The reply to a ConfigurationQuery.
  virtual HttpReply EncodeConfiguration(const wire::Routing& routing) const = 0;
  // The reply to a request that cannot be served now and should be retried.
  virtual HttpReply EncodeRetryLater() const = 0;
};

// Returns the HTTP client options for calls to workers. The idle timeout is
// long so that the connection to a running worker stays open.
inline HttpClientOptions WorkerClientOptions() {
  HttpClientOptions options;
  options.limits.max_body_bytes = 8 * 1024 * 1024;
  options.connect_timeout = 300 * kMillisecond;
  options.idle_timeout = 120 * kSecond;
  return options;
}

// Protocol for orders to workers.
class WorkerProtocol {
 public:
  virtual ~WorkerProtocol() = default;
  // Encodes an order as an HTTP call.
  virtual HttpCall Encode(const WorkerOrder& order) const = 0;
  // Decodes how the call for `order` ended. `response` is used only if `end` is
  // CallEnd::kResponse.
  virtual WorkerAnswer Decode(const WorkerOrder& order,
                              CallEnd end,
                              const HttpResponse& response) const = 0;
};

// Paths of refused requests are truncated to this length in logs.
inline constexpr size_t kMaxLoggedPathBytes = 200;

// Logs the exception of a decoder and returns the reply to the request.
// Decoders use libraries that throw, and a single request must not terminate
// the daemon.
HttpReply RejectUndecodableRequest(const std::string& path,
                                   const std::exception& error);

}  // namespace goldcrest

#endif  // EDGE_POOL_PROTOCOL_H_
