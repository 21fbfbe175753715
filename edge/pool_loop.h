#ifndef EDGE_POOL_LOOP_H_
#define EDGE_POOL_LOOP_H_

// The event loop of entry and control daemons: one thread that receives events
// from the mesh, from workers and from other threads, and passes them to the
// decision code one at a time, and then lets it act on all of them together.
//
// `Event` is the variant of all events of the decision code. Its alternatives
// include WorkerAnswer and `Received`, which holds a message from the mesh.
// Only PostEvent() may be called from other threads. One iteration of the
// loop runs per wake-up of the sockets or per tick.

#include <algorithm>
#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "edge/http_client.h"
#include "edge/http_server.h"
#include "edge/inbox.h"
#include "edge/logging.h"
#include "edge/loop_delays.h"
#include "edge/mesh_link.h"
#include "edge/pool_protocol.h"
#include "edge/socket_loop.h"

namespace goldcrest {

// Callbacks of the loop, called on its thread.
template <typename Event>
struct PoolLoopHandlers {
  std::function<void(const Event&)> on_event;
  std::function<void()> on_tick;
  // Called once for all requests and events that were handled together, and
  // after each tick. May be empty.
  std::function<void()> on_events_handled;
  // Called about every 50 ms, at the end of an iteration, to close connections
  // past their timeouts.
  std::function<void(Micros now)> close_stale;
  // Returns true once the daemon is drained: it accepts no new work and has
  // none left, so that Run() may return.
  std::function<bool()> is_drained;
  // Called once, after the last request was read and before the connections of
  // `servers` are closed, to answer the requests that still wait. May be empty.
  std::function<void()> answer_waiting;
  // The servers whose connections Run() closes before it returns.
  std::vector<HttpServer*> servers;
};

struct PoolLoopOptions {
  Micros tick_period = 0;  // period of on_tick
  // How long the loop continues after the drain to send the remaining replies
  // and to answer requests that arrive on open connections. At most
  // kMaxReplyFlushTime.
  Micros reply_flush_time = 0;
};

template <typename Event, typename Received>
class PoolLoop {
 public:
  explicit PoolLoop(const WorkerProtocol& workers)
      : workers_(workers),
        inbox_(sockets_),
        client_(sockets_, WorkerClientOptions()) {}

  SocketLoop& sockets() { return sockets_; }
  const LoopDelays& delays() const { return delays_; }
  // Returns the mesh link. Valid only after OpenMesh().
  const MeshLink& mesh() const { return *mesh_; }

  // Opens the mesh link. Throws zmq::error_t if that fails.
  void OpenMesh(MeshEndpoint endpoint) {
    self_ = endpoint.address;
    mesh_ = std::make_unique<MeshLink>(
        sockets_, std::move(endpoint), [this](wire::PoolMessage message) {
          pending_local_events_.emplace_back(Received{std::move(message)});
        });
  }

  // Queues an event and wakes the loop. Callable from any thread.
  void PostEvent(Event event) { inbox_.Put(std::move(event), false); }

  // Queues an event from the loop's thread. It is processed in the current
  // iteration if the sockets are still being polled, else in the next one.
  void AddLocalEvent(Event event) {
    pending_local_events_.push_back(std::move(event));
  }

  // Sends a message to another daemon and consumes `send`. A message to this
  // daemon itself is returned as an event.
  void Send(SendMessage& send) {
    if (send.to == self_) {
      send.message.set_from(self_);
      pending_local_events_.emplace_back(Received{std::move(send.message)});
      return;
    }
    mesh_->Send(send.to, std::move(send.message));
  }

  // Sends an order to a worker and consumes `send`. The worker's answer is
  // returned as an event.
  void Send(SendOrder& send) {
    const HttpCall call = workers_.Encode(send.order);
    client_.Call(call, [this, order = std::move(send.order)](
                           CallEnd end, const HttpResponse& response) {
      pending_local_events_.emplace_back(DecodeAnswer(order, end, response));
    });
  }

  // Runs the loop until the daemon is drained, then sends the remaining
  // replies, answers requests that still arrive and closes all connections.
  // That takes at most kMaxReplyFlushTime + kLastReadTime.
  void Run(const PoolLoopOptions& options,
           const PoolLoopHandlers<Event>& handlers) {
    while (!handlers.is_drained()) {
      RunOnce(options, handlers);
    }
    FlushReplies(options, handlers);
    CloseServers(options, handlers);
  }

 private:
  // Period of closing stale connections and of flushing the log.
  static constexpr Micros kCloseStalePeriod = 50 * kMillisecond;
  // After events that took this long, what has arrived meanwhile is handled
  // before the tick, which judges by what was heard of others.
  static constexpr Micros kLongestUnread = 20 * kMillisecond;
  // Limit on the time after the drain for callers that read their replies
  // slowly.
  static constexpr Micros kMaxReplyFlushTime = 300 * kMillisecond;
  // How long requests are read after the listener has been closed. The last
  // connections that were accepted may not have sent theirs yet.
  static constexpr Micros kLastReadTime = 50 * kMillisecond;

  // Runs one iteration and the periodic work that is due.
  void RunOnce(const PoolLoopOptions& options,
               const PoolLoopHandlers<Event>& handlers) {
    size_t events = RunIteration(tick_due_, handlers);
    const Micros woke_at = sockets_.woke_at();
    if (MonotonicMicros() - woke_at > kLongestUnread) {
      events += RunIteration(0, handlers);
    }
    // Before the tick, which reports the load to others.
    ActOnEvents(handlers);
    const Micros now = MonotonicMicros();
    if (now >= tick_due_) {
      tick_due_ = now + options.tick_period;
      handlers.on_tick();
      ActOnEvents(handlers);
    }
    if (now >= maintenance_due_) {
      maintenance_due_ = now + kCloseStalePeriod;
      FlushLog();
      // What arrived during this iteration has not been read yet, so nothing is
      // known to be missing later than the last poll.
      client_.CloseStale(sockets_.polled_at());
      handlers.close_stale(sockets_.polled_at());
    }
    RecordIteration(delays_, MonotonicMicros() - woke_at, events);
  }

  void ActOnEvents(const PoolLoopHandlers<Event>& handlers) {
    if (handlers.on_events_handled) {
      handlers.on_events_handled();
    }
  }

  // Runs the loop for the reply flush time, and longer while a caller has not
  // received its whole reply.
  void FlushReplies(const PoolLoopOptions& options,
                    const PoolLoopHandlers<Event>& handlers) {
    const Micros began = MonotonicMicros();
    const auto has_unsent = [](const HttpServer* server) {
      return server->HasUnsentReplies();
    };
    while (true) {
      const Micros elapsed = MonotonicMicros() - began;
      const bool flushed = std::none_of(handlers.servers.begin(),
                                        handlers.servers.end(), has_unsent);
      if (elapsed >= kMaxReplyFlushTime ||
          (flushed && elapsed >= options.reply_flush_time)) {
        return;
      }
      RunOnce(options, handlers);
    }
  }

  // Accepts and answers what has reached the listeners, then closes all
  // connections.
  void CloseServers(const PoolLoopOptions& options,
                    const PoolLoopHandlers<Event>& handlers) {
    for (HttpServer* server : handlers.servers) {
      server->StopAccepting();
    }
    const Micros until = MonotonicMicros() + kLastReadTime;
    while (MonotonicMicros() < until) {
      RunOnce(options, handlers);
    }
    ReadArrived(handlers);
    if (handlers.answer_waiting) {
      handlers.answer_waiting();
    }
    for (HttpServer* server : handlers.servers) {
      server->CloseAll();
    }
  }

  // Processes what has arrived, without waiting. The last iteration may have
  // ended long after its start.
  void ReadArrived(const PoolLoopHandlers<Event>& handlers) {
    RunIteration(0, handlers);
  }

  // Decodes a worker's answer. If the decoder throws, the outcome of the order
  // is unknown, which is the default of WorkerAnswer.
  WorkerAnswer DecodeAnswer(const WorkerOrder& order,
                            CallEnd end,
                            const HttpResponse& response) {
    try {
      return workers_.Decode(order, end, response);
    } catch (const std::exception& error) {
      WriteLog({LogLevel::kError,
                "answer_not_decoded",
                {{"worker", order.worker}, {"error", error.what()}}});
      WorkerAnswer unknown;
      unknown.order = order;
      return unknown;
    }
  }

  // Waits for the sockets, at most until the time `until`, and processes all
  // events. Returns their number.
  size_t RunIteration(Micros until, const PoolLoopHandlers<Event>& handlers) {
    sockets_.Poll(pending_local_events_.empty() ? until - MonotonicMicros()
                                                : 0);
    const auto posted = inbox_.TakeAll();
    for (const Event& event : posted) {
      handlers.on_event(event);
    }
    const std::vector<Event> events = std::exchange(pending_local_events_, {});
    for (const Event& event : events) {
      handlers.on_event(event);
    }
    return posted.size() + events.size();
  }

  const WorkerProtocol& workers_;
  std::string self_;
  SocketLoop sockets_;
  Inbox<Event> inbox_;
  std::vector<Event> pending_local_events_;
  HttpClient client_;
  std::unique_ptr<MeshLink> mesh_;
  LoopDelays delays_;
  Micros tick_due_ = 0;
  Micros maintenance_due_ = 0;
};

}  // namespace goldcrest

#endif  // EDGE_POOL_LOOP_H_
