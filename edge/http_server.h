#ifndef EDGE_HTTP_SERVER_H_
#define EDGE_HTTP_SERVER_H_

// An HTTP/1.1 server on a SocketLoop.
//
// The handler gets each whole request with a token and answers it now or
// later with Respond(). A connection that is idle, slow to send a request or
// broken is closed by the server's own timeouts, and when the connections
// reach their bound, the longest idle one makes room; so neither idle nor slow
// clients keep new callers from being served. A client that closes while its
// request waits is reported once.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include "edge/http_message.h"
#include "edge/socket_loop.h"

namespace goldcrest {

struct HttpServerOptions {
  HttpLimits limits;
  size_t max_connections = 8192;
  // From the first byte of a request to its last.
  Micros request_timeout = 10 * kSecond;
  // Between requests, and before the first one.
  Micros idle_timeout = 60 * kSecond;
};

// Names one request of one connection.
using RequestToken = uint64_t;

class HttpServer {
 public:
  using RequestHandler = std::function<void(RequestToken, const HttpRequest&)>;
  using GoneHandler = std::function<void(RequestToken)>;

  // Listens on `address`; throws Poco::Net::NetException when that fails.
  HttpServer(SocketLoop& loop,
             const Poco::Net::SocketAddress& address,
             const HttpServerOptions& options,
             RequestHandler on_request,
             GoneHandler on_gone);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Answers a request. Does nothing when its client has gone.
  void Respond(RequestToken token, const HttpReply& reply);

  // Closes connections that are past their timeouts. Call it about once a
  // second.
  void CloseStale(Micros now);

  // Accepts no new connections any more.
  void StopListening();

  // Returns the bound address, with the port that the system chose.
  Poco::Net::SocketAddress address() const { return listener_.address(); }
  size_t connections() const { return connections_.size(); }

 private:
  class Listener;
  class Connection;

  void Accept();
  void MakeRoom();
  void Close(uint64_t id);

  SocketLoop& loop_;
  HttpServerOptions options_;
  RequestHandler on_request_;
  GoneHandler on_gone_;
  Poco::Net::ServerSocket listener_;
  std::unique_ptr<Listener> listen_handler_;
  std::map<uint64_t, std::unique_ptr<Connection>> connections_;
  // Connections closed while one of their functions may be running.
  std::vector<std::unique_ptr<Connection>> closed_;
  std::unordered_map<RequestToken, uint64_t> waiting_;
  uint64_t next_connection_ = 1;
  RequestToken next_token_ = 1;
};

}  // namespace goldcrest

#endif  // EDGE_HTTP_SERVER_H_
