#ifndef EDGE_HTTP_CLIENT_H_
#define EDGE_HTTP_CLIENT_H_

// An HTTP/1.1 client on a SocketLoop, with kept-alive connections.
//
// One connection carries one request at a time. A call opens a new connection
// when none is idle, so a server has as many connections in use as requests in
// flight. Each call ends exactly once: with a response, or with a failure that
// states whether the server can have received the request.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "edge/http_message.h"
#include "edge/socket_loop.h"

namespace goldcrest {

struct HttpClientOptions {
  HttpLimits limits;
  Micros connect_timeout = kSecond;
  // Idle connections are closed after this time, which is shorter than the idle
  // timeouts that servers usually have.
  Micros idle_timeout = 4 * kSecond;
};

// How a call ended.
enum class CallEnd {
  kResponse,
  kNotSent,     // no byte of the request left this VM
  kRefused,     // the same, since the server's host refused the connection
  kNoResponse,  // no response to a request that was sent or partly sent
  kClosed,      // the same, since the server closed or reset the connection
};

// Returns whether it is certain that the server has not received the request.
constexpr bool IsUnsent(CallEnd end) {
  return end == CallEnd::kNotSent || end == CallEnd::kRefused;
}

// Returns whether a request that was sent has no response.
constexpr bool IsUnanswered(CallEnd end) {
  return end == CallEnd::kNoResponse || end == CallEnd::kClosed;
}

using CallHandler = std::function<void(CallEnd, const HttpResponse&)>;

// A request to send.
struct HttpCall {
  std::string address;  // "ip:port"
  std::string method;
  std::string path;
  std::string body;
  // For the connection to open, and then once more for the response.
  Micros timeout = 10 * kSecond;
  std::vector<HttpHeader> headers;
};

class HttpClient {
 public:
  HttpClient(SocketLoop& loop, const HttpClientOptions& options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request. `handler` is called exactly once: from within Call() when
  // the request fails immediately, for instance because the address is invalid,
  // and from the loop or CloseStale() otherwise. Returns the local port of the
  // connection that carries the request; 0 if none could be opened.
  uint16_t Call(const HttpCall& call, CallHandler handler);

  // Ends calls that were past their timeouts at `now`, and closes connections
  // that have been idle for `idle_timeout`. `now` must not be later than the
  // loop's last poll: an answer that came after that is still to be read. Call
  // it every few hundred milliseconds.
  void CloseStale(Micros now);

  size_t connections() const { return connections_.size(); }

 private:
  class Connection;

  Connection* IdleConnection(const std::string& address);
  Connection* OpenConnection(const std::string& address);
  void Close(uint64_t id);

  SocketLoop& loop_;
  HttpClientOptions options_;
  std::map<uint64_t, std::unique_ptr<Connection>> connections_;
  std::map<std::string, std::vector<uint64_t>> idle_;
  // Closed connections whose functions may still be on the call stack;
  // CloseStale() destroys them.
  std::vector<std::unique_ptr<Connection>> closed_;
  uint64_t next_connection_ = 1;
};

}  // namespace goldcrest

#endif  // EDGE_HTTP_CLIENT_H_
