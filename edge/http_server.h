#ifndef EDGE_HTTP_SERVER_H_
#define EDGE_HTTP_SERVER_H_

// An HTTP/1.1 server on a SocketLoop.
//
// The handler receives each complete request with a token and responds to it
// immediately or later, with Respond(). The server's own timeouts close
// connections that are idle, broken or slow to send a request. A connection
// that closes while its request waits for the response is reported once.
//
// Clients may send anything. What a process holds for them is bounded by the
// number of connections, each with small buffers in the kernel, and by a budget
// that all servers of the process share (HttpServerOptions::budget). When the
// number of connections reaches its limit, the server closes the one that loses
// least (CloseRank), and the new one if none may be closed; it never closes one
// whose request waits for a response or whose reply is being read. So neither
// idle nor slow clients keep new callers from being served. In one turn of the
// loop a server handles a bounded amount of requests and leaves the rest for
// the next turns, so that whatever else runs on the loop has its turn.
//
// A server that ends calls, in this order, CloseAfterReplies(),
// StopAccepting(), RespondToAllWaiting() and CloseAll(), and polls its loop
// between these calls.

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include "edge/buffer_budget.h"
#include "edge/http_message.h"
#include "edge/socket_loop.h"

namespace goldcrest {

struct HttpServerOptions {
  HttpLimits limits;
  size_t max_connections = 8192;
  // Limit on the time from the first byte of a request to the end of its
  // header.
  Micros header_timeout = 10 * kSecond;
  // Limit on the time from the first byte of a request to its last one.
  Micros request_timeout = 10 * kSecond;
  // Limit on the time between requests, and before the first one.
  Micros idle_timeout = 60 * kSecond;
  // Of each connection, in the kernel, as set on its socket; 0: left to the
  // kernel.
  size_t receive_buffer_bytes = 0;
  size_t send_buffer_bytes = 0;
  // Bounds what the connections hold; null: unbounded. It must outlive the
  // server.
  BufferBudget* budget = nullptr;
  std::string name = "http";  // in logs and metrics
};

// Why a server closed a connection, or refused a request for want of room.
enum class CloseReason : uint8_t {
  kIdleTimeout,
  kRequestTimeout,
  kReplyTimeout,
  kLingered,         // after its last reply
  kConnectionLimit,  // to make room for a new connection
  kNoRoom,           // a new connection, since no other may be closed
  kBufferLimit,      // to make room for the buffers of others, or of itself
};

// Names of the reasons in logs and metrics, indexed by CloseReason.
inline constexpr std::array<std::string_view, 7> kCloseReasonNames = {
    "idle_timeout",     "request_timeout", "reply_timeout", "lingered",
    "connection_limit", "no_room",         "buffer_limit"};

// Returns whether the reason is a limit of the process, not of the client.
constexpr bool IsProcessLimit(CloseReason reason) {
  return reason >= CloseReason::kConnectionLimit;
}

// Connections since the server's start.
struct HttpServerCounters {
  uint64_t accepted = 0;
  std::array<uint64_t, kCloseReasonNames.size()> closed = {};  // by CloseReason
};

// Open connections by what would be lost if the process ended now.
struct HttpConnectionCounts {
  size_t waiting = 0;   // a request was passed to the handler and not answered
  size_t replying = 0;  // a reply is not sent completely
  size_t reading = 0;   // a part of a request was read
  size_t unread = 0;    // bytes have arrived that were not read
  size_t idle = 0;
};

// Identifies a request. Tokens are not reused by a server.
using RequestToken = uint64_t;

class HttpServer : public BufferBudget::Holder {
 public:
  using RequestHandler = std::function<void(RequestToken, const HttpRequest&)>;
  using DisconnectHandler = std::function<void(RequestToken)>;

  // Listens on `address`; throws Poco::Net::NetException when that fails.
  // `on_disconnect` is called when a connection closes before its request was
  // answered.
  HttpServer(SocketLoop& loop,
             const Poco::Net::SocketAddress& address,
             const HttpServerOptions& options,
             RequestHandler on_request,
             DisconnectHandler on_disconnect);
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Sends the reply to a request. Does nothing if its connection has been
  // closed.
  void Respond(RequestToken token, const HttpReply& reply);

  // Closes connections that are past their timeouts, and logs what the limits
  // of the process have closed. Call it about once per second.
  void CloseStale(Micros now);

  // Changes the limits on requests whose headers have not been read yet, and
  // the timeouts of all connections.
  void SetLimits(const HttpLimits& limits,
                 Micros header_timeout,
                 Micros idle_timeout);

  // From now on, each connection is closed after its next reply, which has the
  // header "Connection: close". If the next request of the connection has been
  // read already, it is answered too.
  void CloseAfterReplies() { close_after_replies_ = true; }

  // Accepts the connections that clients have already opened, then stops
  // listening. Existing connections stay open.
  void StopAccepting();

  // Passes the requests that were read and left for a later turn to the
  // handler, then sends `reply` to all requests that have no reply.
  void RespondToAllWaiting(const HttpReply& reply);

  // Returns whether a part of a reply is not sent.
  bool HasUnsentReplies() const;

  // Closes all connections at once.
  void CloseAll();

  // Returns the bound address. If the port was given as 0, the address has the
  // port that the operating system assigned.
  Poco::Net::SocketAddress address() const { return listener_.address(); }
  size_t connections() const { return connections_.size(); }
  const std::string& name() const { return options_.name; }
  const HttpServerCounters& counters() const { return counters_; }

  // Counts the open connections by state. A connection in several states counts
  // in the first of them in the order of the fields.
  HttpConnectionCounts CountConnections() const;

 private:
  class Listener;
  class Connection;

  // Which connections are closed first when there are too many.
  enum class CloseRank { kLingering, kSlow, kIdle, kReading, kNever };

  // What the server has handled in one turn of the loop.
  struct Turn {
    Micros polled_at = 0;  // identifies the turn
    size_t handled_bytes = 0;
  };

  // BufferBudget::Holder.
  uint64_t HeaviestBuffer() const override;
  void DropHeaviestBuffer() override;

  void SetBufferSizes();
  void Accept();
  // Returns false if there was no connection to accept.
  bool AcceptOne();
  void CloseListener();
  // Closes the connection that loses least. Returns false if none may be
  // closed.
  bool CloseOne();
  void Close(uint64_t id);
  void CloseFor(CloseReason reason, uint64_t id);
  void Count(CloseReason reason);
  // Logs, about once per second, what limits have closed since the last time.
  void LogLimits(Micros now);
  // Returns whether a request of `bytes` may be handled in this turn, and
  // counts it then.
  bool MayHandle(size_t bytes);

  SocketLoop& loop_;
  HttpServerOptions options_;
  RequestHandler on_request_;
  DisconnectHandler on_disconnect_;
  Poco::Net::ServerSocket listener_;
  std::unique_ptr<Listener> listen_handler_;
  std::map<uint64_t, std::unique_ptr<Connection>> connections_;
  // Closed connections whose functions may still be on the call stack;
  // CloseStale() destroys them.
  std::vector<std::unique_ptr<Connection>> closed_;
  // Connection ids of the requests that wait for their responses.
  std::unordered_map<RequestToken, uint64_t> pending_requests_;
  bool close_after_replies_ = false;
  uint64_t next_connection_ = 1;
  RequestToken next_token_ = 1;
  // Whether a turn of the loop handles a bounded amount of requests.
  bool bounds_turns_ = true;
  Turn turn_;
  HttpServerCounters counters_;
  HttpServerCounters logged_;  // at the last line of LogLimits()
  Micros logged_at_ = 0;
};

// Logs what the open connections of the server `name` lose when the process
// ends: "connections_at_stop", an error if a request or reply is unfinished.
void LogConnectionsAtStop(const std::string& name,
                          const HttpConnectionCounts& counts);

}  // namespace goldcrest

#endif  // EDGE_HTTP_SERVER_H_
