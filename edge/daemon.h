#ifndef EDGE_DAEMON_H_
#define EDGE_DAEMON_H_

// The I/O layer of one daemon around its decision code.
//
// One thread owns the blackboard and all HTTP sockets: it waits on the sockets,
// converts their input to events, calls the decision code with each event, and
// performs the resulting actions. The peer link, the journal and the signal
// watcher have threads of their own, which only put events into a bounded queue
// and wake the loop.

#include <atomic>
#include <map>
#include <memory>
#include <string>

#include "edge/http_client.h"
#include "edge/http_metrics.h"
#include "edge/http_server.h"
#include "edge/inbox.h"
#include "edge/journal.h"
#include "edge/machine_limits.h"
#include "edge/metrics.h"
#include "edge/peer_link.h"
#include "edge/socket_loop.h"
#include "goldcrest/blackboard.h"
#include "goldcrest/event.h"

namespace goldcrest {

struct DaemonOptions {
  Deployment deployment;
  Tuning tuning;
  std::string data_dir;  // empty: no journal
  std::string first_document;
  HttpServerOptions http;
  // Bounds `http` where it asks for more.
  MachineLimits machine;
};

// Call Start() once, then Run().
class Daemon {
 public:
  explicit Daemon(DaemonOptions options);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Opens the data folder, binds all sockets and starts the decision code. The
  // error is one sentence.
  tl::expected<void, std::string> Start();

  // Serves until the daemon is drained or stopped. When it is drained, all
  // connections of callers are closed then.
  void Run();

  // Ends Run() immediately, as a crash would: no work is handed over and no
  // request is answered. Callable from any thread.
  void Stop();

  // Begins a graceful shutdown. Callable from any thread.
  void RequestDrain();

 private:
  // Returns the options of the server, within the limits of the machine.
  HttpServerOptions ServerOptions();
  void OnHttpRequest(RequestToken token, const HttpRequest& request);
  // Calls the decision code with one event, performs the resulting actions and
  // records metrics.
  void RunStep(const Event& event);
  void Perform(const Actions& actions);
  void PerformOne(const ReplyResult& action);
  void PerformOne(const ReplyJson& action);
  void PerformOne(const StartTask& action);
  void PerformOne(const StopTask& action);
  void PerformOne(const LookupTask& action);
  void PerformOne(const SendPeer& action);
  void PerformOne(const AppendJournal& action);
  void PerformOne(const LogEvent& action);
  // Processes the events from other threads.
  void ProcessInbox();
  // Closes connections that were past their timeouts at the last poll, which
  // was at `now`; at most every 250 ms.
  void CloseStale(Micros now);
  // Sends a reply unless `token` is kNoToken. While draining, the connection is
  // closed after it, so that the caller's next request goes to another VM.
  void Respond(ReplyToken token, HttpReply reply);
  // Waits at most `max_wait` for input, and processes all events and timers.
  void RunOnce(Micros max_wait);
  // Runs for `duration`, or until the daemon is stopped.
  void RunFor(Micros duration);

  DaemonOptions options_;
  Blackboard bb_;
  Metrics metrics_;
  SocketLoop loop_;
  BufferBudget buffers_;
  MetricsPage metrics_page_;
  WriteMetrics write_metrics_;
  std::unique_ptr<Inbox<Event>> inbox_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<PeerLink> link_;
  std::unique_ptr<Journal> journal_;
  // Events from this thread's sockets that have not been processed yet.
  std::vector<Event> local_events_;
  // Form bodies of console requests that have not been answered yet.
  std::map<RequestToken, std::string> console_forms_;
  Micros closed_stale_at_ = 0;
  std::atomic<bool> stopped_{false};
};

}  // namespace goldcrest

#endif  // EDGE_DAEMON_H_
