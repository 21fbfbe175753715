#ifndef EDGE_HTTP_MESSAGE_H_
#define EDGE_HTTP_MESSAGE_H_

// Parsing and formatting of HTTP/1.1 messages in buffers.
//
// POCO's HTTPRequest and HTTPResponse read and write the headers. The functions
// here find the end of a message in a buffer that holds a part of a message or
// several messages, and enforce limits on the sizes of headers and body.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrest/result_code.h"

namespace goldcrest {

struct HttpHeader {
  std::string name;
  std::string value;
};

// A received request, as passed to its handler.
struct HttpRequest {
  std::string method;
  std::string path;  // percent-decoded, without the query
  std::string query;
  std::string if_match;
  std::string content_type;
  std::vector<HttpHeader> headers;
  std::string body;
  bool keep_alive = true;

  // Returns the value of the header `name` (case-insensitive), or an empty
  // string if there is none.
  std::string Header(const std::string& name) const;
};

// A reply to a received request, as built by its handler.
struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  int64_t retry_after_ms = 0;
  std::vector<HttpHeader> headers;
  // Closes the connection after this reply.
  bool close_after = false;
};

// A response received from another server.
struct HttpResponse {
  int status = 0;
  std::string body;
  bool keep_alive = true;
};

// Size limits of one message.
struct HttpLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 1024 * 1024;
};

enum class ParseState {
  kIncomplete,      // more bytes are needed
  kExpectContinue,  // the client waits for "100 Continue" before its body
  kComplete,
  kBad,  // malformed or too large; close the connection, a server after the
         // error reply
};

// The result of parsing a request. `consumed` (in bytes) is valid when `state`
// is kComplete, `error` when it is kBad.
struct RequestParse {
  ParseState state = ParseState::kIncomplete;
  HttpRequest request;
  size_t consumed = 0;
  ResultCode error = ResultCode::kMalformedBody;
};

// The result of parsing a response. `consumed` (in bytes) is valid when `state`
// is kComplete.
struct ResponseParse {
  ParseState state = ParseState::kIncomplete;
  HttpResponse response;
  size_t consumed = 0;
};

// What the header section of a request says.
struct RequestHead {
  HttpRequest request;            // without its body
  size_t body_bytes = 0;          // that are to follow
  bool expects_continue = false;  // the client waits for "100 Continue"
  bool is_bad = false;            // it is malformed, or announces too much
  ResultCode error = ResultCode::kMalformedBody;  // valid if it is bad
};

// Parses a header section, which includes the empty line at its end.
RequestHead ParseRequestHead(std::string_view head, const HttpLimits& limits);

// Parses the first request in `buffer`. A RequestReader does the same for bytes
// that arrive one after the other.
RequestParse ParseRequest(const std::string& buffer, const HttpLimits& limits);

// Parses the first response in `buffer`. `closed` means that the server has
// closed the connection, which ends a body without a Content-Length.
ResponseParse ParseResponse(const std::string& buffer,
                            const HttpLimits& limits,
                            bool closed);

// Returns a reply with its headers in wire format.
std::string FormatReply(const HttpReply& reply, bool keep_alive);

// Returns a request to `host` ("ip:port") with a JSON body and additional
// headers in wire format.
std::string FormatRequest(const std::string& method,
                          const std::string& path,
                          const std::string& host,
                          const std::string& body,
                          const std::vector<HttpHeader>& headers = {});

// Returns the decoded value of the field `name` in a query string or form body,
// or an empty string if there is none.
std::string FormValue(const std::string& form, const std::string& name);

// A field of a form, with its name and value decoded.
struct FormField {
  std::string name;
  std::string value;
};

// Returns all fields of a query string or form body in order. Fields with an
// invalid percent-encoding are skipped.
std::vector<FormField> FormFields(const std::string& form);

}  // namespace goldcrest

#endif  // EDGE_HTTP_MESSAGE_H_
