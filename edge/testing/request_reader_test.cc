// Tests that a request is read the same however its bytes arrive, and that a
// reader holds no more than what has arrived.

#include "edge/request_reader.h"

#include <catch2/catch.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {
namespace {

const std::string kRequest =
    "POST /v1/jobs?wait_ms=0 HTTP/1.1\r\nHost: x\r\nContent-Length: "
    "5\r\n\r\nhello";

// Splits `text` after each `size` bytes.
std::vector<std::string_view> Split(std::string_view text, size_t size) {
  std::vector<std::string_view> parts;
  for (size_t at = 0; at < text.size(); at += size) {
    parts.push_back(text.substr(at, size));
  }
  return parts;
}

// Returns the requests in `text`, read in parts of `size` bytes. They end with
// the first one that is bad.
std::vector<HttpRequest> ReadAll(const std::string& text,
                                 size_t size,
                                 const HttpLimits& limits,
                                 RequestReader& reader) {
  std::vector<HttpRequest> requests;
  for (const std::string_view part : Split(text, size)) {
    reader.Append(part, limits);
    while (reader.is_complete()) {
      requests.push_back(reader.Take(limits));
    }
  }
  return requests;
}

void CheckSame(const HttpRequest& read, const HttpRequest& expected) {
  CHECK(read.method == expected.method);
  CHECK(read.path == expected.path);
  CHECK(read.query == expected.query);
  CHECK(read.body == expected.body);
  CHECK(read.keep_alive == expected.keep_alive);
  CHECK(read.headers.size() == expected.headers.size());
}

// Guards against a request that is read differently when it arrives in parts,
// or behind another one; ParseRequest() is the reference.
TEST_CASE("RequestReader: parts of any size give the same requests") {
  const HttpLimits limits;
  const std::string get = "GET /a HTTP/1.1\r\nHost: y\r\n\r\n";
  const std::string text = kRequest + get + kRequest;
  const HttpRequest first = ParseRequest(kRequest, limits).request;
  const HttpRequest second = ParseRequest(get, limits).request;
  for (size_t size = 1; size <= text.size(); ++size) {
    CAPTURE(size);
    RequestReader reader;
    const auto requests = ReadAll(text, size, limits, reader);
    REQUIRE(requests.size() == 3);
    CheckSame(requests[0], first);
    CheckSame(requests[1], second);
    CheckSame(requests[2], first);
    CHECK_FALSE(reader.has_input());
  }
}

// Guards against a judgement that depends on how much of a request has arrived.
TEST_CASE("RequestReader: bad requests are refused as by ParseRequest") {
  HttpLimits limits;
  limits.max_header_bytes = 200;
  limits.max_body_bytes = 100;
  for (const std::string& text :
       {std::string(300, 'a'),
        std::string("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"),
        std::string("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
        std::string("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        std::string("GET nowhere HTTP/1.1\r\n\r\n"),
        std::string("GET / HTTP/9.9\r\n\r\n"),
        "GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n"}) {
    CAPTURE(text);
    const RequestParse expected = ParseRequest(text, limits);
    REQUIRE(expected.state == ParseState::kBad);
    for (const size_t size : {size_t{1}, size_t{7}, text.size()}) {
      RequestReader reader;
      CHECK(ReadAll(text, size, limits, reader).empty());
      CHECK(reader.is_bad());
      CHECK(reader.error() == expected.error);
      CHECK_FALSE(reader.Append(kRequest, limits));
    }
  }
}

// Guards against memory for what a client announces and does not send, and for
// requests that have been handled.
TEST_CASE("RequestReader: holds memory in proportion to what has arrived") {
  constexpr size_t kBody = 8 * 1024 * 1024;
  constexpr size_t kPart = 16 * 1024;
  constexpr size_t kLargestGrowth = 256 * 1024;
  HttpLimits limits;
  limits.max_body_bytes = kBody;
  RequestReader reader;
  reader.Append("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kBody) +
                    "\r\n\r\n",
                limits);
  CHECK(reader.held_bytes() < kPart);
  const std::string part(kPart, 'x');
  for (size_t sent = kPart; sent <= kBody; sent += kPart) {
    reader.Append(part, limits);
    REQUIRE(reader.held_bytes() < sent + kLargestGrowth + kPart);
  }
  REQUIRE(reader.is_complete());
  CHECK(reader.held_bytes() < kBody + kPart);
  CHECK(reader.Take(limits).body.size() == kBody);
  CHECK(reader.held_bytes() < kPart);
}

TEST_CASE("RequestReader: a client that expects to be asked is asked once") {
  const HttpLimits limits;
  RequestReader reader;
  reader.Append(
      "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
      limits);
  CHECK(reader.TakeExpectContinue());
  CHECK_FALSE(reader.TakeExpectContinue());
  reader.Append("ok", limits);
  CHECK(reader.is_complete());
}

TEST_CASE("RequestReader: a request that was refused holds nothing") {
  const HttpLimits limits;
  RequestReader reader;
  reader.Append("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" +
                    std::string(50'000, 'x'),
                limits);
  reader.Refuse(ResultCode::kOverloaded);
  CHECK(reader.is_bad());
  CHECK(reader.error() == ResultCode::kOverloaded);
  CHECK(reader.held_bytes() < 1024);
}

}  // namespace
}  // namespace goldcrest
