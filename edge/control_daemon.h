#ifndef EDGE_CONTROL_DAEMON_H_
#define EDGE_CONTROL_DAEMON_H_

// The I/O layer of a control daemon around its decision code.
//
// One thread owns the board, all HTTP sockets and the mesh link; the register
// file has a thread of its own that waits for the disk. Events are processed
// one at a time, and due work runs at each tick.

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <tl/expected.hpp>

#include "edge/http_server.h"
#include "edge/machine_limits.h"
#include "edge/metrics_server.h"
#include "edge/pool_loop.h"
#include "edge/pool_protocol.h"
#include "edge/register_file.h"
#include "edge/write_metrics.h"
#include "pool/pool_step.h"

namespace goldcrest {

struct ControlDaemonOptions {
  std::string control_address;  // for workers and operators
  std::string metrics_address;  // empty: none
  std::string data_dir;
  PoolStartParams start;  // Start() reads `start.stored` from data_dir
  // Listening address of the mesh; empty: start.mesh.self.
  std::string mesh_bind;
  Micros tick_period =
      20 * kMillisecond;  // period of the decision code's ticks
  MachineLimits machine;
};

// Call Start() once, then Run().
class ControlDaemon {
 public:
  ControlDaemon(ControlDaemonOptions options,
                const ControlProtocol& control,
                const WorkerProtocol& workers);
  ~ControlDaemon();
  ControlDaemon(const ControlDaemon&) = delete;
  ControlDaemon& operator=(const ControlDaemon&) = delete;

  // Reads the register files and binds all sockets. The error is one sentence.
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
  void OnHttpRequest(RequestToken token, const HttpRequest& request);
  std::string FormatMetrics() const;
  // Answers, at the end of Run(), all requests that have no reply: they are to
  // be sent again, to another daemon.
  void AnswerWaitingRequests();
  // Calls the decision code with one event and performs the resulting actions.
  // Does not place tasks: that follows when all events that arrived together
  // are handled.
  void RunStep(const PoolEvent& event);
  void Perform(PoolActions& actions);
  void PerformOne(SendMessage& action);
  void PerformOne(SendOrder& action);
  void PerformOne(ReplyJob& action);
  void PerformOne(ReplyChange& action);
  void PerformOne(ReplyRead& action);
  void PerformOne(PersistRegister& action);
  void PerformOne(LogEvent& action);

  ControlDaemonOptions options_;
  const ControlProtocol& control_;
  PoolBoard board_;
  TickHandler on_tick_;
  PoolLoop<PoolEvent, PoolMessageReceived> loop_;
  BufferBudget buffers_;
  WriteMetrics write_metrics_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<MetricsServer> metrics_server_;  // null: no address
  std::unique_ptr<RegisterFile> file_;
};

}  // namespace goldcrest

#endif  // EDGE_CONTROL_DAEMON_H_
