#ifndef EDGE_POOL_LOOP_H_
#define EDGE_POOL_LOOP_H_

// What entry and control daemons have in common: one thread that takes events
// from the mesh, from workers and from other threads, and hands them to the
// decisions one at a time.
//
// `Event` is the variant that the decisions take; it holds WorkerAnswer and
// `Received`, a message of the mesh. Only Put() may be called from other
// threads. Cost: one turn for each wake-up of the sockets, or each tick.

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

// What a daemon does in its turns.
template <typename Event>
struct PoolLoopHandlers {
  std::function<void(const Event&)> on_event;
  std::function<void()> on_tick;
  // Closes connections past their timeouts.
  std::function<void(Micros now)> close_stale;
  std::function<bool()> is_drained;
};

struct PoolLoopOptions {
  Micros tick = 0;
  // Replies that are on their way at the end get this long to leave.
  Micros last_replies = 0;
};

template <typename Event, typename Received>
class PoolLoop {
 public:
  explicit PoolLoop(const WorkerProtocol& workers)
      : workers_(workers),
        inbox_(sockets_),
        client_(sockets_, WorkerClientOptions()) {}

  SocketLoop& sockets() { return sockets_; }
  // The mesh, once it is open.
  const MeshLink& mesh() const { return *mesh_; }

  // Joins the mesh; throws zmq::error_t when that fails.
  void OpenMesh(MeshEndpoint endpoint) {
    self_ = endpoint.address;
    mesh_ = std::make_unique<MeshLink>(
        sockets_, std::move(endpoint), [this](wire::PoolMessage message) {
          local_.emplace_back(Received{std::move(message)});
        });
  }

  // Hands in an event from any thread.
  void Put(Event event) { inbox_.Put(std::move(event), false); }

  // Hands in an event that is taken in this turn or the next.
  void Add(Event event) { local_.push_back(std::move(event)); }

  // Sends a message; one to this daemon itself comes back as an event.
  void Send(SendPool& send) {
    if (send.to == self_) {
      send.message.set_from(self_);
      local_.emplace_back(Received{std::move(send.message)});
      return;
    }
    mesh_->Send(send.to, std::move(send.message));
  }

  // Sends an order; its answer comes back as an event.
  void Send(SendOrder& send) {
    const HttpCall call = workers_.Encode(send.order);
    client_.Call(call, [this, order = std::move(send.order)](
                           CallEnd end, const HttpResponse& response) {
      local_.emplace_back(DecodeAnswer(order, end, response));
    });
  }

  // Takes turns until drained.
  void Run(const PoolLoopOptions& options,
           const PoolLoopHandlers<Event>& handlers) {
    Micros tick_due = 0;
    Micros close_due = 0;
    while (!handlers.is_drained()) {
      Turn(tick_due, handlers);
      const Micros now = MonotonicMicros();
      if (now >= tick_due) {
        tick_due = now + options.tick;
        handlers.on_tick();
      }
      if (now >= close_due) {
        close_due = now + kCloseStalePeriod;
        FlushLog();
        client_.CloseStale(now);
        handlers.close_stale(now);
      }
    }
    // Requests that still come are answered, if only with a refusal.
    const Micros until = MonotonicMicros() + options.last_replies;
    while (MonotonicMicros() < until) {
      Turn(until, handlers);
    }
  }

 private:
  static constexpr Micros kCloseStalePeriod = 50 * kMillisecond;

  // An answer that the decoder fails on says nothing about the order.
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

  // Waits for sockets until `until` at most, and serves all events.
  void Turn(Micros until, const PoolLoopHandlers<Event>& handlers) {
    sockets_.Poll(local_.empty() ? until - MonotonicMicros() : 0);
    for (const Event& event : inbox_.TakeAll()) {
      handlers.on_event(event);
    }
    const std::vector<Event> events = std::exchange(local_, {});
    for (const Event& event : events) {
      handlers.on_event(event);
    }
  }

  const WorkerProtocol& workers_;
  std::string self_;
  SocketLoop sockets_;
  Inbox<Event> inbox_;
  std::vector<Event> local_;
  HttpClient client_;
  std::unique_ptr<MeshLink> mesh_;
};

}  // namespace goldcrest

#endif  // EDGE_POOL_LOOP_H_
