#include "edge/request_reader.h"

#include <algorithm>
#include <utility>

namespace goldcrest {
namespace {

constexpr std::string_view kHeaderEnd = "\r\n\r\n";
// Size of the parts in which a body is kept until it is complete.
constexpr size_t kBodyPartBytes = 16 * 1024;

// Appends to the parts of a body that will have `total` bytes, of which `read`
// have been read.
void AppendToParts(std::vector<std::string>& parts,
                   std::string_view bytes,
                   size_t read,
                   size_t total) {
  while (!bytes.empty()) {
    if (parts.empty() || parts.back().size() == kBodyPartBytes) {
      parts.emplace_back().reserve(std::min(kBodyPartBytes, total - read));
    }
    const std::string_view fitting =
        bytes.substr(0, kBodyPartBytes - parts.back().size());
    parts.back().append(fitting);
    bytes.remove_prefix(fitting.size());
    read += fitting.size();
  }
}

// Returns the whole body and frees its parts.
std::string JoinParts(std::vector<std::string>& parts, size_t total) {
  std::vector<std::string> joined = std::exchange(parts, {});
  if (joined.size() == 1) {
    return std::move(joined.front());
  }
  std::string body;
  body.reserve(total);
  for (const std::string& part : joined) {
    body.append(part);
  }
  return body;
}

// Gives back the memory of a string.
void Free(std::string& text) {
  std::string().swap(text);
}

// Returns the memory of a string, in bytes.
size_t HeldBytes(const std::string& text) {
  return text.capacity();
}

size_t HeldBytes(const HttpRequest& request) {
  size_t bytes = HeldBytes(request.path) + HeldBytes(request.query) +
                 HeldBytes(request.body);
  for (const HttpHeader& header : request.headers) {
    bytes += sizeof header + HeldBytes(header.name) + HeldBytes(header.value);
  }
  return bytes;
}

}  // namespace

bool RequestReader::Fail(ResultCode error) {
  state_ = State::kBad;
  error_ = error;
  Free(buffer_);
  std::exchange(request_, HttpRequest());  // frees its memory
  std::exchange(body_parts_, {});
  return false;
}

bool RequestReader::Append(std::string_view bytes, const HttpLimits& limits) {
  if (state_ == State::kBad) {
    return false;
  }
  if (state_ == State::kBody) {
    ReadBody(bytes);
  }
  buffer_.append(bytes);
  return Advance(limits);
}

void RequestReader::ReadBody(std::string_view& bytes) {
  const std::string_view part = bytes.substr(0, body_bytes_ - body_read_);
  AppendToParts(body_parts_, part, body_read_, body_bytes_);
  body_read_ += part.size();
  bytes.remove_prefix(part.size());
  if (body_read_ == body_bytes_) {
    request_.body = JoinParts(body_parts_, body_bytes_);
    state_ = State::kComplete;
  }
}

bool RequestReader::Advance(const HttpLimits& limits) {
  if (state_ != State::kHeader) {
    return true;
  }
  const size_t end = buffer_.find(kHeaderEnd, searched_);
  if (end == std::string::npos ? buffer_.size() > limits.max_header_bytes
                               : end > limits.max_header_bytes) {
    return Fail(ResultCode::kHeaderTooLarge);
  }
  if (end == std::string::npos) {
    // The end of the header may be cut in two.
    searched_ =
        buffer_.size() - std::min(buffer_.size(), kHeaderEnd.size() - 1);
    return true;
  }
  return ReadHeader(end + kHeaderEnd.size(), limits);
}

bool RequestReader::ReadHeader(size_t header_bytes, const HttpLimits& limits) {
  RequestHead head = ParseRequestHead(
      std::string_view(buffer_).substr(0, header_bytes), limits);
  if (head.is_bad) {
    return Fail(head.error);
  }
  request_ = std::move(head.request);
  header_bytes_ = header_bytes;
  body_bytes_ = head.body_bytes;
  body_read_ = 0;
  expects_continue_ = head.expects_continue;
  searched_ = 0;
  const std::string rest = buffer_.substr(header_bytes);
  Free(buffer_);
  state_ = State::kBody;
  std::string_view bytes = rest;
  ReadBody(bytes);
  buffer_ = bytes;
  return true;
}

bool RequestReader::TakeExpectContinue() {
  return state_ == State::kBody && std::exchange(expects_continue_, false);
}

HttpRequest RequestReader::Take(const HttpLimits& limits) {
  HttpRequest request = std::exchange(request_, HttpRequest());
  state_ = State::kHeader;
  header_bytes_ = 0;
  body_bytes_ = 0;
  body_read_ = 0;
  expects_continue_ = false;
  if (buffer_.empty()) {
    Free(buffer_);
  } else {
    Advance(limits);
  }
  return request;
}

size_t RequestReader::request_bytes() const {
  return header_bytes_ + body_read_;
}

size_t RequestReader::held_bytes() const {
  size_t bytes = HeldBytes(buffer_) + HeldBytes(request_);
  for (const std::string& part : body_parts_) {
    bytes += HeldBytes(part);
  }
  return bytes;
}

}  // namespace goldcrest
