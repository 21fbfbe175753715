#ifndef EDGE_ENTRY_DAEMON_H_
#define EDGE_ENTRY_DAEMON_H_

// The I/O layer of an entry daemon around its decision code: callers'
// connections, the load balancer's readiness probe, metrics, the mesh, and
// orders to workers in standby mode, in which entry daemons replace the control
// daemons. Everything runs on one thread.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <tl/expected.hpp>

#include "edge/held_requests.h"
#include "edge/http_server.h"
#include "edge/machine_limits.h"
#include "edge/metrics_server.h"
#include "edge/pool_loop.h"
#include "edge/pool_metrics.h"
#include "edge/pool_protocol.h"
#include "pool/entry/entry.h"
#include "pool/entry/request_hold.h"

namespace goldcrest {

struct EntryDaemonOptions {
  std::string callers_address;
  std::string readiness_address;
  std::string metrics_address;  // empty: none
  EntryOptions entry;
  MeshOptions mesh;
  // Listening address of the mesh; empty: mesh.self.
  std::string mesh_bind;
  Micros tick_period =
      25 * kMillisecond;  // period of the decision code's ticks
  MachineLimits machine;
};

// Call Start() once, then Run().
class EntryDaemon {
 public:
  EntryDaemon(EntryDaemonOptions options,
              const CallerProtocol& callers,
              const WorkerProtocol& workers);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  // Binds all sockets. The error is one sentence.
  tl::expected<void, std::string> Start();

  // Serves until drained.
  void Run();

  // Begins a graceful shutdown. Callable from any thread.
  void RequestDrain();

  // Sets a handler that is called at each tick, before the decision code runs.
  // Call it before Run().
  using TickHandler = std::function<void(Mesh& mesh, Micros now)>;
  void SetTickHandler(TickHandler handler) { on_tick_ = std::move(handler); }

 private:
  // Holds the request if it cannot be served yet, or serves it.
  void OnCallerRequest(RequestToken token, const HttpRequest& request);
  // Decodes the request, which was held for `held_for`, and acts on it.
  void ServeCallerRequest(RequestToken token,
                          const HttpRequest& request,
                          Micros held_for);
  // Serves the held requests that need not be held any longer.
  void ReleaseHeldRequests();
  // Applies the limits of the configuration in force to callers' requests.
  void ApplyCallerLimits();
  std::string FormatMetrics() const;
  // Answers, at the end of Run(), all requests that have no reply, as of
  // unknown outcome.
  void AnswerWaitingCallers();
  void OnReadinessRequest(RequestToken token, const HttpRequest& request);
  // Calls the decision code with one event, performs the resulting actions and
  // records metrics. Places no tasks.
  void RunStep(const EntryEvent& event);
  // Places the waiting tasks of a standby, for all events handled together.
  void RunPlacement();
  // Performs the actions of a step and records its metrics.
  void Perform(PoolActions& actions);
  void PerformOne(SendMessage& action);
  void PerformOne(SendOrder& action);
  void PerformOne(ReplyJob& action);
  void PerformOne(ReplyChange& action);
  void PerformOne(ReplyRead& action);
  void PerformOne(PersistRegister& action);
  void PerformOne(LogEvent& action);

  EntryDaemonOptions options_;
  const CallerProtocol& callers_;
  EntryBoard board_;
  EntryMetrics metrics_;
  OutageClock outage_;
  HeldRequests held_;
  TickHandler on_tick_;
  PoolLoop<EntryEvent, EntryMessageReceived> loop_;
  BufferBudget buffers_;
  // Version of the configuration whose limits are applied.
  uint64_t limits_version_ = 0;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpServer> readiness_server_;
  std::unique_ptr<MetricsServer> metrics_server_;  // null: no address
};

}  // namespace goldcrest

#endif  // EDGE_ENTRY_DAEMON_H_
