#include "edge/http_connection.h"

#include <algorithm>
#include <utility>

#include <Poco/Exception.h>

#include "edge/socket_io.h"
#include "goldcrest/submission.h"

namespace goldcrest {
namespace {

constexpr int kReadBufferBytes = 16 * 1024;
// Bound the work of one call for a client that sends without end.
constexpr int kMaxReadsPerCall = 16;
constexpr int kMaxDiscardsPerCall = 4;
constexpr int kMaxRequestsPerCall = 16;
// How long a connection discards input after its last reply, and how much.
constexpr Micros kLingerTime = 500 * kMillisecond;
constexpr size_t kMaxDiscardedBytes = 1024 * 1024;
// A request that is not complete after this time, or a reply of which nothing
// was sent for it, makes room for others before idle connections do.
constexpr Micros kSlowAfter = kSecond;
// The weight of a buffer grows with its age, from this age on.
constexpr Micros kMinWeighedAge = kMillisecond;
// When to send a request again for which there was no room.
constexpr int64_t kRetryAfterMs = 1000;
constexpr char kContinueResponse[] = "HTTP/1.1 100 Continue\r\n\r\n";

HttpReply ErrorReply(ResultCode code) {
  HttpReply reply;
  reply.retry_after_ms = code == ResultCode::kOverloaded ? kRetryAfterMs : 0;
  reply.status = RowOf(code).http_status;
  reply.body = ErrorJson({code, "", std::string(RowOf(code).meaning)});
  return reply;
}

}  // namespace

HttpServer::Connection::Connection(HttpServer& server,
                                   uint64_t id,
                                   const Poco::Net::StreamSocket& socket)
    : server_(server),
      id_(id),
      socket_(socket),
      last_active_(MonotonicMicros()) {
  socket_.setBlocking(false);
  socket_.setNoDelay(true);
  server_.loop_.Add(socket_, this, false);
}

HttpServer::Connection::~Connection() {
  if (!socket_closed_) {
    CloseSocket();
  }
}

void HttpServer::Connection::CloseSocket() {
  socket_closed_ = true;
  server_.loop_.Remove(socket_);
  socket_.close();
  reader_.Clear();
  FreeOutput();
  waiting_bytes_ = 0;
  UpdateReservation();
}

void HttpServer::Connection::FreeOutput() {
  std::string().swap(output_);
  output_sent_ = 0;
}

bool HttpServer::Connection::UpdateReservation() {
  BufferBudget* budget = server_.options_.budget;
  if (budget == nullptr) {
    return true;
  }
  const size_t held =
      reader_.held_bytes() + output_.capacity() + waiting_bytes_;
  const size_t wanted = held - std::min(held, kFreeBytesPerConnection);
  if (wanted <= reserved_bytes_) {
    budget->Release(reserved_bytes_ - wanted);
    reserved_bytes_ = wanted;
    return true;
  }
  const size_t more = wanted - reserved_bytes_;
  reserving_ = true;
  const bool has_room = budget->Reserve(more);
  reserving_ = false;
  const bool gave_up = std::exchange(gave_up_, false);
  if (!has_room) {
    return false;
  }
  if (gave_up) {  // its own buffers were the heaviest
    budget->Release(more);
    return false;
  }
  reserved_bytes_ = wanted;
  return true;
}

void HttpServer::Connection::GiveUpBuffer() {
  server_.Count(CloseReason::kBufferLimit);
  if (is_replying()) {
    server_.Close(id_);
    return;
  }
  // Nothing of the request has been acted upon.
  reader_.Refuse(ResultCode::kOverloaded);
  UpdateReservation();
  if (reserving_) {
    gave_up_ = true;  // OnReadable() answers
    return;
  }
  HandleBufferedRequests();
}

std::optional<CloseReason> HttpServer::Connection::StaleReason(Micros now) {
  const HttpServerOptions& options = server_.options_;
  if (is_waiting()) {
    return std::nullopt;
  }
  if (lingering_) {
    return now - linger_started_ > kLingerTime
               ? std::optional(CloseReason::kLingered)
               : std::nullopt;
  }
  if (is_replying()) {
    return now - reply_progress_ > options.request_timeout
               ? std::optional(CloseReason::kReplyTimeout)
               : std::nullopt;
  }
  if (is_reading()) {
    const Micros timeout =
        reader_.has_header()
            ? options.request_timeout
            : std::min(options.header_timeout, options.request_timeout);
    return !reader_.is_complete() && now - request_started_ > timeout
               ? std::optional(CloseReason::kRequestTimeout)
               : std::nullopt;
  }
  return now - last_active_ > options.idle_timeout && !HasUnreadInput()
             ? std::optional(CloseReason::kIdleTimeout)
             : std::nullopt;
}

HttpServer::CloseRank HttpServer::Connection::Rank(Micros now) const {
  if (lingering_) {
    return CloseRank::kLingering;
  }
  if (is_waiting() || reader_.is_complete()) {
    return CloseRank::kNever;
  }
  if (is_replying()) {
    return now - reply_progress_ > kSlowAfter ? CloseRank::kSlow
                                              : CloseRank::kNever;
  }
  if (is_reading()) {
    return now - request_started_ > kSlowAfter ? CloseRank::kSlow
                                               : CloseRank::kReading;
  }
  return CloseRank::kIdle;
}

uint64_t HttpServer::Connection::BufferWeight(Micros now) const {
  const bool must_stay = socket_closed_ || is_waiting() ||
                         reader_.is_complete() ||
                         (is_replying() && now - reply_progress_ <= kSlowAfter);
  if (must_stay || reserved_bytes_ == 0) {
    return 0;
  }
  const Micros began = is_replying() ? reply_progress_ : request_started_;
  return static_cast<uint64_t>(std::max(now - began, kMinWeighedAge)) *
         reserved_bytes_;
}

bool HttpServer::Connection::HasUnreadInput() {
  try {
    return !socket_closed_ && socket_.available() > 0;
  } catch (const Poco::Exception&) {
    return false;  // the connection is broken
  }
}

// While a request waits, the connection reads on to notice that the client
// leaves, but keeps only the beginning of what it sends.
bool HttpServer::Connection::WantsInput() const {
  if (lingering_) {
    return true;
  }
  if (close_after_output_ || reader_.is_bad()) {
    return false;
  }
  const bool has_request =
      is_waiting() || is_replying() || reader_.is_complete();
  return !has_request || reader_.held_bytes() < kFreeBytesPerConnection;
}

HttpServer::Connection::ReadResult HttpServer::Connection::ReadAvailable() {
  char bytes[kReadBufferBytes];
  for (int i = 0; i < kMaxReadsPerCall && WantsInput(); ++i) {
    int count = 0;
    try {
      count = socket_.receiveBytes(bytes, kReadBufferBytes);
    } catch (const Poco::Exception&) {
      return ReadResult::kBroken;
    }
    if (count < 0) {
      return ReadResult::kMore;  // no more bytes available now
    }
    if (count == 0) {
      return ReadResult::kClosedByClient;
    }
    if (!reader_.has_input()) {
      request_started_ = MonotonicMicros();
    }
    reader_.Append({bytes, static_cast<size_t>(count)},
                   server_.options_.limits);
    if (!UpdateReservation() && !reader_.is_bad()) {
      GiveUpBuffer();
    }
  }
  // The socket is ready although nothing is wanted: the connection may be
  // broken.
  return socket_.impl()->socketError() != 0 ? ReadResult::kBroken
                                            : ReadResult::kMore;
}

void HttpServer::Connection::OnReadable() {
  if (lingering_) {
    Discard();
    return;
  }
  const ReadResult result = ReadAvailable();
  if (result == ReadResult::kBroken) {
    server_.Close(id_);
    return;
  }
  last_active_ = MonotonicMicros();
  client_closed_ = client_closed_ || result == ReadResult::kClosedByClient;
  // A client that closes its sending side gets the replies that can be given at
  // once. One that waits for a job has given up: it has closed the connection.
  if (!client_closed_ || !is_waiting()) {
    HandleBufferedRequests();
  }
  if (client_closed_ && !handling_ && HasNothingToAnswer()) {
    server_.Close(id_);
    return;
  }
  UpdateWatch();
}

// A request that was read before the client closed its side, and is deferred,
// is still answered.
bool HttpServer::Connection::HasNothingToAnswer() const {
  return !is_replying() && (is_waiting() || !reader_.is_complete());
}

void HttpServer::Connection::Discard() {
  char bytes[kReadBufferBytes];
  for (int i = 0; i < kMaxDiscardsPerCall; ++i) {
    int count = 0;
    try {
      count = socket_.receiveBytes(bytes, kReadBufferBytes);
    } catch (const Poco::Exception&) {
      count = 0;
    }
    if (count < 0) {
      return;
    }
    discarded_bytes_ += static_cast<size_t>(count);
    if (count == 0 || discarded_bytes_ > kMaxDiscardedBytes) {
      server_.Close(id_);
      return;
    }
  }
}

// The request handler may respond from within its call while the next request
// is already buffered. This loop handles such requests one after the other
// without recursion.
void HttpServer::Connection::HandleBufferedRequests() {
  if (handling_) {
    return;
  }
  handling_ = true;
  int handled = 0;
  while (!socket_closed_ && !is_waiting() && !is_replying() &&
         !close_after_output_ && HandleNextRequest()) {
    ++handled;
    if (handled == kMaxRequestsPerCall && server_.bounds_turns_) {
      server_.loop_.Defer(socket_);
      break;
    }
  }
  handling_ = false;
}

bool HttpServer::Connection::HandleNextRequest() {
  if (reader_.is_bad()) {
    RespondWithError(reader_.error());
    return false;
  }
  if (!reader_.is_complete()) {
    if (reader_.TakeExpectContinue()) {
      sent_continue_ = true;
      Queue(kContinueResponse);
    }
    return false;
  }
  if (!server_.MayHandle(reader_.request_bytes())) {
    server_.loop_.Defer(socket_);
    return false;
  }
  waiting_bytes_ = reader_.request_bytes();
  const HttpRequest request = reader_.Take(server_.options_.limits);
  sent_continue_ = false;
  keep_alive_ = request.keep_alive;
  token_ = server_.next_token_++;
  server_.pending_requests_[token_] = id_;
  // Its bytes were reserved while it was read.
  UpdateReservation();
  server_.on_request_(token_, request);
  return true;
}

void HttpServer::Connection::RespondWithError(ResultCode code) {
  close_after_output_ = true;
  Queue(FormatReply(ErrorReply(code), false));
}

// While the server closes its connections, a request that was read already
// still gets its reply on the connection.
bool HttpServer::Connection::IsLastReply(const HttpReply& reply) const {
  if (!keep_alive_ || reply.close_after) {
    return true;
  }
  return server_.close_after_replies_ && !reader_.is_complete();
}

void HttpServer::Connection::Respond(const HttpReply& reply) {
  token_ = 0;
  waiting_bytes_ = 0;
  close_after_output_ = IsLastReply(reply);
  last_active_ = MonotonicMicros();
  Queue(FormatReply(reply, !close_after_output_));
}

void HttpServer::Connection::Queue(std::string bytes) {
  if (output_.empty()) {
    output_ = std::move(bytes);
  } else {
    output_ += bytes;
  }
  reply_progress_ = MonotonicMicros();
  Flush();
}

bool HttpServer::Connection::SendQueued() {
  while (is_replying()) {
    size_t sent = 0;
    try {
      sent = SendSome(socket_, output_.data() + output_sent_,
                      output_.size() - output_sent_);
    } catch (const Poco::Exception&) {
      return false;
    }
    if (sent == 0) {
      break;
    }
    output_sent_ += sent;
    reply_progress_ = MonotonicMicros();
    if (output_sent_ == output_.size()) {
      FreeOutput();
    }
  }
  return true;
}

void HttpServer::Connection::Flush() {
  if (socket_closed_ || lingering_) {
    return;
  }
  if (!SendQueued()) {
    server_.Close(id_);
    return;
  }
  if (!UpdateReservation()) {
    server_.CloseFor(CloseReason::kBufferLimit, id_);
    return;
  }
  if (!is_replying()) {
    last_active_ = MonotonicMicros();
    if (!sent_continue_) {
      request_started_ = last_active_;
    }
    if (close_after_output_) {
      BeginLinger();
      return;
    }
    HandleBufferedRequests();  // the next request may be buffered already
    if (client_closed_ && !handling_ && HasNothingToAnswer()) {
      server_.Close(id_);
      return;
    }
  }
  UpdateWatch();
}

void HttpServer::Connection::BeginLinger() {
  reader_.Clear();
  UpdateReservation();
  if (client_closed_) {
    server_.Close(id_);
    return;
  }
  lingering_ = true;
  linger_started_ = MonotonicMicros();
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception&) {
    server_.Close(id_);  // the client has closed the connection already
    return;
  }
  UpdateWatch();
}

void HttpServer::Connection::UpdateWatch() {
  if (socket_closed_) {
    return;
  }
  const bool readable = !client_closed_ && WantsInput();
  const bool writable = is_replying();
  if (readable != watching_readable_ || writable != watching_writable_) {
    watching_readable_ = readable;
    watching_writable_ = writable;
    server_.loop_.Watch(socket_, readable, writable);
  }
}

}  // namespace goldcrest
