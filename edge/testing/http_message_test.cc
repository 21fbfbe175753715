#include "edge/http_message.h"

#include <catch2/catch.hpp>

namespace goldcrest {
namespace {

const std::string kPostRequest =
    "POST /v1/jobs?wait_ms=0 HTTP/1.1\r\nHost: x\r\nContent-Length: "
    "5\r\n\r\nhello";

}  // namespace

TEST_CASE("ParseRequest: a request is complete only with its last byte") {
  for (size_t cut = 0; cut < kPostRequest.size(); ++cut) {
    const RequestParse parse =
        ParseRequest(kPostRequest.substr(0, cut), HttpLimits());
    CHECK(parse.state == ParseState::kIncomplete);
  }
  const RequestParse parse = ParseRequest(kPostRequest + "GET /", HttpLimits());
  REQUIRE(parse.state == ParseState::kComplete);
  CHECK(parse.consumed == kPostRequest.size());
  CHECK(parse.request.path == "/v1/jobs");
  CHECK(FormValue(parse.request.query, "wait_ms") == "0");
  CHECK(parse.request.body == "hello");
}

TEST_CASE(
    "ParseRequest: oversized and malformed requests are refused with an error "
    "code") {
  HttpLimits limits;
  limits.max_header_bytes = 200;
  limits.max_body_bytes = 100;
  const auto error_of = [&](const std::string& bytes) {
    const RequestParse parse = ParseRequest(bytes, limits);
    REQUIRE(parse.state == ParseState::kBad);
    return parse.error;
  };
  CHECK(error_of(std::string(300, 'a')) == ResultCode::kHeaderTooLarge);
  CHECK(error_of("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n") ==
        ResultCode::kBodyTooLarge);
  CHECK(error_of("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n") ==
        ResultCode::kMalformedBody);
  CHECK(error_of("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n"
                 "\r\n") == ResultCode::kMalformedBody);
  CHECK(error_of("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n") ==
        ResultCode::kLengthRequired);
  CHECK(error_of("GET nowhere HTTP/1.1\r\n\r\n") == ResultCode::kMalformedBody);
  CHECK(error_of("GET / HTTP/9.9\r\n\r\n") == ResultCode::kMalformedBody);
  CHECK(error_of("GET /\r\n\r\n") == ResultCode::kMalformedBody);
}

TEST_CASE(
    "ParseResponse: bodies with a length, in chunks and ended by closing are "
    "parsed") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const HttpLimits limits;
  CHECK(ParseResponse(head + "Content-Length: 2\r\n\r\nok", limits, false)
            .response.body == "ok");
  CHECK(ParseResponse(head + "Transfer-Encoding: chunked\r\n\r\n"
                             "1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
                      limits, false)
            .response.body == "ok");
  CHECK(ParseResponse(head + "\r\nok", limits, false).state ==
        ParseState::kIncomplete);
  CHECK(ParseResponse(head + "\r\nok", limits, true).response.body == "ok");
  CHECK(ParseResponse(head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", limits,
                      false)
            .state == ParseState::kBad);
  CHECK(ParseResponse(head + "Transfer-Encoding: chunked\r\n\r\n"
                             "1\r\no\r\nffffffffffffffff\r\nk0\r\n\r\n",
                      limits, false)
            .state == ParseState::kBad);
}

TEST_CASE("FormValue, FormFields: fields are decoded") {
  CHECK(FormValue("a=1&b=x+y%26z", "b") == "x y&z");
  CHECK(FormValue("a=1", "c").empty());
  CHECK(FormFields("a=%zz&b=2").size() == 1);
}

}  // namespace goldcrest
