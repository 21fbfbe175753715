#include "edge/http_message.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <sstream>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>
#include <Poco/URI.h>

namespace goldcrest {
namespace {

constexpr char kHeaderEnd[] = "\r\n\r\n";
constexpr size_t kHeaderEndBytes = 4;

RequestHead BadHead(ResultCode code) {
  RequestHead head;
  head.is_bad = true;
  head.error = code;
  return head;
}

RequestParse BadRequest(ResultCode code) {
  RequestParse parse;
  parse.state = ParseState::kBad;
  parse.error = code;
  return parse;
}

// Parses a Content-Length, which must consist of digits only.
bool ParseContentLength(const std::string& text, size_t* length) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, *length);
  return !text.empty() && error == std::errc() && stop == end;
}

bool SplitTarget(const std::string& target, HttpRequest& request) {
  const size_t question = target.find('?');
  const std::string path = target.substr(0, question);
  if (path.empty() || path[0] != '/') {
    return false;
  }
  request.query =
      question == std::string::npos ? "" : target.substr(question + 1);
  Poco::URI::decode(path, request.path);
  return request.path.find('\0') == std::string::npos;
}

// Parses the header section; throws a Poco::Exception if it is malformed.
void ReadHeader(std::string_view head, Poco::Net::HTTPRequest& header) {
  Poco::MemoryInputStream stream(head.data(),
                                 static_cast<std::streamsize>(head.size()));
  header.read(stream);
}

// Fills in the parts of a request that do not depend on its body. Returns false
// if the request target is invalid.
bool CopyHeader(const Poco::Net::HTTPRequest& header, HttpRequest& request) {
  request.method = header.getMethod();
  request.if_match = header.get("If-Match", "");
  request.content_type = header.getContentType();
  request.keep_alive = header.getKeepAlive();
  for (const auto& [name, value] : header) {
    request.headers.push_back({name, value});
  }
  return SplitTarget(header.getURI(), request);
}

bool IsSupportedVersion(const Poco::Net::HTTPRequest& header) {
  return header.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1 ||
         header.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0;
}

// Appends the chunks of a chunked body to `body` and sets `end` to the position
// after it. Returns false while the body is incomplete; throws
// Poco::DataFormatException when it is malformed or longer than `max_bytes`.
bool JoinChunks(const std::string& buffer,
                size_t position,
                size_t max_bytes,
                std::string& body,
                size_t& end) {
  while (true) {
    const size_t line_end = buffer.find("\r\n", position);
    if (line_end == std::string::npos) {
      return false;
    }
    size_t length = 0;
    const char* begin = buffer.data() + position;
    const auto result =
        std::from_chars(begin, buffer.data() + line_end, length, 16);
    if (result.ec != std::errc() || result.ptr == begin ||
        length > max_bytes - body.size()) {
      throw Poco::DataFormatException("chunk");
    }
    position = line_end + 2;
    if (length == 0) {
      const size_t trailer_end = buffer.find("\r\n", position);
      end = trailer_end == std::string::npos ? position : trailer_end + 2;
      return trailer_end != std::string::npos;
    }
    if (buffer.size() < position + length + 2) {
      return false;
    }
    body.append(buffer, position, length);
    position += length + 2;
  }
}

ResponseParse ReadResponseBody(const std::string& buffer,
                               size_t body_start,
                               const Poco::Net::HTTPResponse& header,
                               const HttpLimits& limits,
                               bool closed) {
  ResponseParse parse;
  parse.response.status = static_cast<int>(header.getStatus());
  parse.response.keep_alive = header.getKeepAlive();
  if (header.getChunkedTransferEncoding()) {
    const bool complete = JoinChunks(buffer, body_start, limits.max_body_bytes,
                                     parse.response.body, parse.consumed);
    parse.state = complete ? ParseState::kComplete : ParseState::kIncomplete;
    return parse;
  }
  if (!header.hasContentLength()) {
    parse.response.keep_alive = false;
    parse.response.body = buffer.substr(body_start);
    parse.consumed = buffer.size();
    parse.state = closed ? ParseState::kComplete : ParseState::kIncomplete;
    return parse;
  }
  const auto length = static_cast<size_t>(header.getContentLength64());
  if (length > limits.max_body_bytes) {
    throw Poco::DataFormatException("body");
  }
  if (buffer.size() < body_start + length) {
    return parse;
  }
  parse.response.body = buffer.substr(body_start, length);
  parse.consumed = body_start + length;
  parse.state = ParseState::kComplete;
  return parse;
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  for (const HttpHeader& header : headers) {
    if (Poco::icompare(header.name, name) == 0) {
      return header.value;
    }
  }
  return "";
}

RequestHead ParseRequestHead(std::string_view head, const HttpLimits& limits) {
  RequestHead parsed;
  Poco::Net::HTTPRequest header;
  try {
    ReadHeader(head, header);
    if (!IsSupportedVersion(header) || !CopyHeader(header, parsed.request)) {
      return BadHead(ResultCode::kMalformedBody);
    }
  } catch (const Poco::Exception&) {
    return BadHead(ResultCode::kMalformedBody);
  }
  if (header.has("Transfer-Encoding")) {
    return BadHead(ResultCode::kLengthRequired);
  }
  if (header.has("Content-Length") &&
      !ParseContentLength(header.get("Content-Length"), &parsed.body_bytes)) {
    return BadHead(ResultCode::kMalformedBody);
  }
  if (parsed.body_bytes > limits.max_body_bytes) {
    return BadHead(ResultCode::kBodyTooLarge);
  }
  parsed.expects_continue =
      Poco::icompare(header.get("Expect", ""), "100-continue") == 0;
  return parsed;
}

RequestParse ParseRequest(const std::string& buffer, const HttpLimits& limits) {
  RequestParse parse;
  const size_t header_end = buffer.find(kHeaderEnd);
  if (header_end == std::string::npos || header_end > limits.max_header_bytes) {
    return buffer.size() > limits.max_header_bytes
               ? BadRequest(ResultCode::kHeaderTooLarge)
               : parse;
  }
  const size_t body_start = header_end + kHeaderEndBytes;
  RequestHead head =
      ParseRequestHead(std::string_view(buffer).substr(0, body_start), limits);
  if (head.is_bad) {
    return BadRequest(head.error);
  }
  parse.request = std::move(head.request);
  if (buffer.size() < body_start + head.body_bytes) {
    parse.state = head.expects_continue ? ParseState::kExpectContinue
                                        : ParseState::kIncomplete;
    return parse;
  }
  parse.request.body = buffer.substr(body_start, head.body_bytes);
  parse.consumed = body_start + head.body_bytes;
  parse.state = ParseState::kComplete;
  return parse;
}

ResponseParse ParseResponse(const std::string& buffer,
                            const HttpLimits& limits,
                            bool closed) {
  ResponseParse parse;
  const size_t header_end = buffer.find(kHeaderEnd);
  if (header_end == std::string::npos) {
    if (buffer.size() > limits.max_header_bytes) {
      parse.state = ParseState::kBad;
    }
    return parse;
  }
  const size_t body_start = header_end + kHeaderEndBytes;
  try {
    Poco::MemoryInputStream stream(buffer.data(),
                                   static_cast<std::streamsize>(body_start));
    Poco::Net::HTTPResponse header;
    header.read(stream);
    return ReadResponseBody(buffer, body_start, header, limits, closed);
  } catch (const Poco::Exception&) {
    parse.state = ParseState::kBad;
    return parse;
  }
}

std::string FormatReply(const HttpReply& reply, bool keep_alive) {
  Poco::Net::HTTPResponse response(
      Poco::Net::HTTPMessage::HTTP_1_1,
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
  response.setContentType(reply.content_type);
  response.setContentLength64(static_cast<Poco::Int64>(reply.body.size()));
  response.setKeepAlive(keep_alive);
  if (reply.retry_after_ms > 0) {
    const int64_t seconds = (reply.retry_after_ms + 999) / 1000;
    response.set("Retry-After", std::to_string(seconds));
  }
  for (const HttpHeader& header : reply.headers) {
    response.set(header.name, header.value);
  }
  std::ostringstream stream;
  response.write(stream);
  stream << reply.body;
  return stream.str();
}

std::string FormatRequest(const std::string& method,
                          const std::string& path,
                          const std::string& host,
                          const std::string& body,
                          const std::vector<HttpHeader>& headers) {
  Poco::Net::HTTPRequest request(method, path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  request.set("Host", host);
  request.setKeepAlive(true);
  if (!body.empty() || method == Poco::Net::HTTPRequest::HTTP_POST) {
    request.setContentType("application/json");
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
  }
  for (const HttpHeader& header : headers) {
    request.set(header.name, header.value);
  }
  std::ostringstream stream;
  request.write(stream);
  stream << body;
  return stream.str();
}

std::vector<FormField> FormFields(const std::string& form) {
  std::vector<FormField> fields;
  std::istringstream stream(form);
  std::string pair;
  while (std::getline(stream, pair, '&')) {
    std::replace(pair.begin(), pair.end(), '+', ' ');
    const size_t equals = pair.find('=');
    FormField field;
    try {
      Poco::URI::decode(pair.substr(0, equals), field.name);
      if (equals != std::string::npos) {
        Poco::URI::decode(pair.substr(equals + 1), field.value);
      }
    } catch (const Poco::Exception&) {
      continue;  // skip fields with an invalid percent-encoding
    }
    fields.push_back(std::move(field));
  }
  return fields;
}

std::string FormValue(const std::string& form, const std::string& name) {
  for (const FormField& field : FormFields(form)) {
    if (field.name == name) {
      return field.value;
    }
  }
  return "";
}

}  // namespace goldcrest
