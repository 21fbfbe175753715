#ifndef EDGE_BLOCKING_HTTP_H_
#define EDGE_BLOCKING_HTTP_H_

// A blocking HTTP request, for command-line programs.

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

namespace goldcrest {

struct BlockingRequest {
  std::string server;  // "ip:port"
  std::string method = "GET";
  std::string path;
  std::string body;
  std::string if_match;  // value of If-Match; empty: header not sent
  int64_t timeout_ms = 10000;
};

struct BlockingResponse {
  int status = 0;
  std::string body;
};

// Sends one request and waits for its response, at most `timeout_ms` for each
// network operation. The error is a message for people; an error does not mean
// that the server has not received the request.
tl::expected<BlockingResponse, std::string> SendBlockingRequest(
    const BlockingRequest& options);

}  // namespace goldcrest

#endif  // EDGE_BLOCKING_HTTP_H_
