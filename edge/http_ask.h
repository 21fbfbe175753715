#ifndef EDGE_HTTP_ASK_H_
#define EDGE_HTTP_ASK_H_

// One blocking HTTP request, for command-line programs.

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

namespace goldcrest {

struct AskOptions {
  std::string server;  // "ip:port"
  std::string method = "GET";
  std::string path;
  std::string body;
  std::string if_match;  // empty: no such header
  int64_t timeout_ms = 10000;
};

struct AskAnswer {
  int status = 0;
  std::string body;
};

// Makes one request. The error is a sentence; it does not tell whether the
// server received the request.
tl::expected<AskAnswer, std::string> Ask(const AskOptions& options);

}  // namespace goldcrest

#endif  // EDGE_HTTP_ASK_H_
