#ifndef EDGE_POOL_LOOP_H_
#define EDGE_POOL_LOOP_H_

// The event loop of entry and control daemons: one thread that receives events
// from the mesh, from workers and from other threads, and passes them to the
// decision code one at a time.
//
// `Event` is the variant of all events of the decision code. Its alternatives
// include WorkerAnswer and `Received`, which holds a message from the mesh.
// Only PostEvent() may be called from other threads. One iteration of the
// loop runs per wake-up of the sockets or per tick.

#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "edge/http_client.h"
#include "edge/inbox.h"
#include "edge/logging.h"
#include "edge/mesh_link.h"
#include "edge/pool_protocol.h"
#include "edge/socket_loop.h"

namespace goldcrest {

// Callbacks of the loop, called on its thread.
template <typename Event>
struct PoolLoopHandlers {
  std::function<void(const Event&)> on_event;
  std::function<void()> on_tick;
  // Called about every 50 ms, at the end of an iteration, to close connections
  // past their timeouts.
  std::function<void(Micros now)> close_stale;
  // Returns true once the daemon is drained: it accepts no new work and has
  // none left, so that Run() may return.
  std::function<bool()> is_drained;
};

struct PoolLoopOptions {
  Micros tick_period = 0;  // period of on_tick
  // How long the loop continues after the drain to send the remaining replies.
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
  // replies.
  void Run(const PoolLoopOptions& options,
           const PoolLoopHandlers<Event>& handlers) {
    Micros tick_due = 0;
    Micros maintenance_due = 0;
    while (!handlers.is_drained()) {
      RunIteration(tick_due, handlers);
      const Micros now = MonotonicMicros();
      if (now >= tick_due) {
        tick_due = now + options.tick_period;
        handlers.on_tick();
      }
      if (now >= maintenance_due) {
        maintenance_due = now + kCloseStalePeriod;
        FlushLog();
        client_.CloseStale(now);
        handlers.close_stale(now);
      }
    }
    // Requests that arrive after the drain are still answered, at least with a
    // refusal. on_tick and close_stale are not called any more.
    const Micros until = MonotonicMicros() + options.reply_flush_time;
    while (MonotonicMicros() < until) {
      RunIteration(until, handlers);
    }
  }

 private:
  // Period of closing stale connections and of flushing the log.
  static constexpr Micros kCloseStalePeriod = 50 * kMillisecond;

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
  // events.
  void RunIteration(Micros until, const PoolLoopHandlers<Event>& handlers) {
    sockets_.Poll(pending_local_events_.empty() ? until - MonotonicMicros()
                                                : 0);
    for (const Event& event : inbox_.TakeAll()) {
      handlers.on_event(event);
    }
    const std::vector<Event> events = std::exchange(pending_local_events_, {});
    for (const Event& event : events) {
      handlers.on_event(event);
    }
  }

  const WorkerProtocol& workers_;
  std::string self_;
  SocketLoop sockets_;
  Inbox<Event> inbox_;
  std::vector<Event> pending_local_events_;
  HttpClient client_;
  std::unique_ptr<MeshLink> mesh_;
};

}  // namespace goldcrest

#endif  // EDGE_POOL_LOOP_H_
