#ifndef EDGE_HTTP_MESSAGE_H_
#define EDGE_HTTP_MESSAGE_H_

// HTTP/1.1 messages over buffers.
//
// POCO's HTTPRequest and HTTPResponse read and write the headers; this file
// finds where a message ends in a buffer that may hold a part of one or more
// than one, with hard bounds on both parts.

#include <cstdint>
#include <string>
#include <vector>

#include "goldcrest/result_code.h"

namespace goldcrest {

struct HttpHeader {
  std::string name;
  std::string value;
};

// A request as its handler sees it.
struct HttpRequest {
  std::string method;
  std::string path;  // decoded, without the query
  std::string query;
  std::string if_match;
  std::string content_type;
  std::vector<HttpHeader> headers;
  std::string body;
  bool keep_alive = true;

  // Returns the value of a header by its name in any case; empty without it.
  std::string Header(const std::string& name) const;
};

// A reply as its handler makes it.
struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  int64_t retry_after_ms = 0;
  std::vector<HttpHeader> headers;
  // Ends the connection with this reply.
  bool close_after = false;
};

// A response of another server.
struct HttpResponse {
  int status = 0;
  std::string body;
  bool keep_alive = true;
};

// Bounds on one message, in bytes.
struct HttpLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 1024 * 1024;
};

enum class ParseState {
  kIncomplete,      // more bytes are needed
  kExpectContinue,  // the client waits for "100 Continue" before its body
  kComplete,
  kBad,  // the connection must be closed after the error reply
};

// The outcome of looking at a buffer.
struct RequestParse {
  ParseState state = ParseState::kIncomplete;
  HttpRequest request;
  size_t consumed = 0;
  ResultCode error = ResultCode::kMalformedBody;
};

struct ResponseParse {
  ParseState state = ParseState::kIncomplete;
  HttpResponse response;
  size_t consumed = 0;
};

// Reads the first request in `buffer`.
RequestParse ParseRequest(const std::string& buffer, const HttpLimits& limits);

// Reads the first response in `buffer`. `closed` says that the server has
// closed the connection, which ends a body without a length.
ResponseParse ParseResponse(const std::string& buffer,
                            const HttpLimits& limits,
                            bool closed);

// Writes a reply with its headers.
std::string FormatReply(const HttpReply& reply, bool keep_alive);

// Writes a request to `host` ("ip:port") with a JSON body and further headers.
std::string FormatRequest(const std::string& method,
                          const std::string& path,
                          const std::string& host,
                          const std::string& body,
                          const std::vector<HttpHeader>& headers = {});

// Returns the value of `name` in a query string or form body, decoded; an
// empty string when it is absent.
std::string FormValue(const std::string& form, const std::string& name);

// One name and value of a form.
struct FormField {
  std::string name;
  std::string value;
};

// Returns all fields of a form body or query, decoded, in order.
std::vector<FormField> FormFields(const std::string& form);

}  // namespace goldcrest

#endif  // EDGE_HTTP_MESSAGE_H_
