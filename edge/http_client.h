#ifndef EDGE_HTTP_CLIENT_H_
#define EDGE_HTTP_CLIENT_H_

// An HTTP/1.1 client on a SocketLoop, with kept-alive connections.
//
// One connection carries one request at a time; a call opens another one when
// none is idle, so the connections to a server are as many as the requests in
// flight. A call ends exactly once: with a response, or with a failure that
// tells whether the server can have received the request.

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
  // An idle connection is closed before a server is likely to close it.
  Micros idle_timeout = 4 * kSecond;
};

enum class CallEnd {
  kResponse,
  kNotSent,  // no byte of the request left this VM
  kLost,     // sent, or partly sent, without a response
};

using CallHandler = std::function<void(CallEnd, const HttpResponse&)>;

// One request to make.
struct HttpCall {
  std::string address;  // "ip:port"
  std::string method;
  std::string path;
  std::string body;
  Micros timeout = 10 * kSecond;
  std::vector<HttpHeader> headers;
};

class HttpClient {
 public:
  HttpClient(SocketLoop& loop, const HttpClientOptions& options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Makes a request. `handler` is called once, from Call() itself when the
  // address is bad, and from the loop otherwise.
  void Call(const HttpCall& call, CallHandler handler);

  // Ends calls past their timeouts and closes idle connections. Call it every
  // few hundred milliseconds.
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
  std::vector<std::unique_ptr<Connection>> closed_;
  uint64_t next_connection_ = 1;
};

}  // namespace goldcrest

#endif  // EDGE_HTTP_CLIENT_H_
