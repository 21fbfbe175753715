#ifndef EDGE_REQUEST_READER_H_
#define EDGE_REQUEST_READER_H_

// Reads the requests of one connection as their bytes arrive.
//
// The reader keeps the bytes of a header until it is complete, judges it, and
// only then keeps bytes of the body. It looks at each byte once: a client that
// sends its request in small parts costs no more than another one. Its memory
// grows with what has arrived, never with what a client announces.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "edge/http_message.h"

namespace goldcrest {

class RequestReader {
 public:
  // Takes the next bytes of the connection. Returns false, and takes nothing
  // from now on, if the request is malformed or too large; see error().
  bool Append(std::string_view bytes, const HttpLimits& limits);

  // Returns whether a whole request has been read.
  bool is_complete() const { return state_ == State::kComplete; }
  // Returns whether a part of a request, or a whole one, has been read.
  bool has_input() const {
    return state_ == State::kHeader ? !buffer_.empty() : state_ != State::kBad;
  }
  // Returns whether the header of the present request has been read.
  bool has_header() const { return state_ != State::kHeader; }
  // Returns whether the client waits for "100 Continue" before it sends the
  // body. Returns true once for a request.
  bool TakeExpectContinue();
  ResultCode error() const { return error_; }

  // Returns the complete request, and continues with the bytes after it.
  HttpRequest Take(const HttpLimits& limits);

  // Returns whether the present request is malformed or too large.
  bool is_bad() const { return state_ == State::kBad; }

  // Returns the bytes of the present request that have been read since its
  // header was complete, and of that header.
  size_t request_bytes() const;

  // Returns the memory that the reader holds, in bytes.
  size_t held_bytes() const;

  // Gives the present request up, as one that is bad for the reason `error`.
  void Refuse(ResultCode error) { Fail(error); }

  // Gives back all memory. Nothing is read afterwards.
  void Clear() { Fail(ResultCode::kMalformedBody); }

 private:
  enum class State { kHeader, kBody, kComplete, kBad };

  // Handles the bytes in the buffer. Returns false if the request is bad.
  bool Advance(const HttpLimits& limits);
  // Judges a complete header of `header_bytes`.
  bool ReadHeader(size_t header_bytes, const HttpLimits& limits);
  // Moves bytes of the body from `bytes` to the request, and removes them
  // there.
  void ReadBody(std::string_view& bytes);
  bool Fail(ResultCode error);

  State state_ = State::kHeader;
  // Bytes that belong to no body: of the header that is incomplete, or behind
  // the present request.
  std::string buffer_;
  // No header ends before this position in the buffer.
  size_t searched_ = 0;
  HttpRequest request_;
  size_t header_bytes_ = 0;  // of the present request
  size_t body_bytes_ = 0;    // that its header announces
  size_t body_read_ = 0;     // bytes of it
  // What has been read of a body that is not complete. Parts of one size are
  // freed for each other, and a body that grows is not copied.
  std::vector<std::string> body_parts_;
  bool expects_continue_ = false;
  ResultCode error_ = ResultCode::kMalformedBody;
};

}  // namespace goldcrest

#endif  // EDGE_REQUEST_READER_H_
