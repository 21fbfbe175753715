#include "edge/http_server.h"

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include "edge/http_connection.h"
#include "edge/logging.h"

namespace goldcrest {
namespace {

constexpr int kBacklog = 1024;
constexpr size_t kMaxAcceptsPerCall = 64;
// Bounds what a server handles in one turn of the loop. A request counts as
// kMinCountedBytes at least.
constexpr size_t kMaxBytesPerTurn = 256 * 1024;
constexpr size_t kMinCountedBytes = 1024;
constexpr Micros kLimitLogPeriod = kSecond;

}  // namespace

class HttpServer::Listener : public SocketHandler {
 public:
  explicit Listener(HttpServer& server) : server_(server) {}
  void OnReadable() override { server_.Accept(); }
  void OnWritable() override {}

 private:
  HttpServer& server_;
};

HttpServer::HttpServer(SocketLoop& loop,
                       const Poco::Net::SocketAddress& address,
                       const HttpServerOptions& options,
                       RequestHandler on_request,
                       DisconnectHandler on_disconnect)
    : loop_(loop),
      options_(options),
      on_request_(std::move(on_request)),
      on_disconnect_(std::move(on_disconnect)) {
  listener_.bind(address, true);
  SetBufferSizes();
  listener_.listen(kBacklog);
  listener_.setBlocking(false);
  listen_handler_ = std::make_unique<Listener>(*this);
  loop_.Add(listener_, listen_handler_.get(), false);
  if (options_.budget != nullptr) {
    options_.budget->Add(this);
  }
}

HttpServer::~HttpServer() {
  CloseListener();
  connections_.clear();
  closed_.clear();
  if (options_.budget != nullptr) {
    options_.budget->Remove(this);
  }
}

// Accepted connections begin with the buffer sizes of the listener, which also
// bound what arrives before they are accepted.
void HttpServer::SetBufferSizes() {
  try {
    if (options_.receive_buffer_bytes > 0) {
      listener_.setReceiveBufferSize(
          static_cast<int>(options_.receive_buffer_bytes));
    }
    if (options_.send_buffer_bytes > 0) {
      listener_.setSendBufferSize(static_cast<int>(options_.send_buffer_bytes));
    }
  } catch (const Poco::Exception& error) {
    WriteLog({LogLevel::kWarning,
              "socket_buffers_not_set",
              {{"server", options_.name}, {"error", error.displayText()}}});
  }
}

void HttpServer::CloseListener() {
  loop_.Remove(listener_);
  listener_.close();
}

void HttpServer::StopAccepting() {
  for (int i = 0; i < kBacklog && AcceptOne(); ++i) {
  }
  CloseListener();
}

// Accepts few enough connections at a time that each of them is read before
// later ones can take its place.
void HttpServer::Accept() {
  const size_t most =
      std::clamp<size_t>(options_.max_connections / 2, 1, kMaxAcceptsPerCall);
  for (size_t i = 0; i < most && AcceptOne(); ++i) {
  }
}

bool HttpServer::AcceptOne() {
  try {
    if (!listener_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      return false;
    }
    Poco::Net::StreamSocket socket = listener_.acceptConnection();
    ++counters_.accepted;
    if (connections_.size() >= options_.max_connections && !CloseOne()) {
      Count(CloseReason::kNoRoom);
      socket.close();
      return true;
    }
    const uint64_t id = next_connection_++;
    connections_[id] = std::make_unique<Connection>(*this, id, socket);
    return true;
  } catch (const Poco::Exception& error) {
    if (error.code() == EMFILE || error.code() == ENFILE) {
      CloseOne();  // the next turn accepts
    }
    return false;  // else the client has disconnected
  }
}

HttpConnectionCounts HttpServer::CountConnections() const {
  HttpConnectionCounts counts;
  for (const auto& [id, connection] : connections_) {
    if (connection->is_waiting()) {
      ++counts.waiting;
    } else if (connection->is_replying()) {
      ++counts.replying;
    } else if (connection->is_reading()) {
      ++counts.reading;
    } else if (!connection->is_lingering() && connection->HasUnreadInput()) {
      ++counts.unread;
    } else {
      ++counts.idle;
    }
  }
  return counts;
}

// Prefers connections whose client loses nothing. Within a rank, closes the one
// without activity for the longest time.
bool HttpServer::CloseOne() {
  const Micros now = MonotonicMicros();
  uint64_t chosen = 0;
  std::pair<CloseRank, Micros> lowest = {CloseRank::kNever, 0};
  for (const auto& [id, connection] : connections_) {
    std::pair<CloseRank, Micros> rank = {connection->Rank(now),
                                         connection->last_active()};
    if (rank < lowest && rank.first == CloseRank::kIdle &&
        connection->HasUnreadInput()) {
      rank.first = CloseRank::kReading;
    }
    if (rank < lowest) {
      chosen = id;
      lowest = rank;
    }
  }
  if (chosen == 0) {
    return false;
  }
  CloseFor(CloseReason::kConnectionLimit, chosen);
  return true;
}

uint64_t HttpServer::HeaviestBuffer() const {
  const Micros now = MonotonicMicros();
  uint64_t heaviest = 0;
  for (const auto& [id, connection] : connections_) {
    heaviest = std::max(heaviest, connection->BufferWeight(now));
  }
  return heaviest;
}

void HttpServer::DropHeaviestBuffer() {
  const Micros now = MonotonicMicros();
  uint64_t chosen = 0;
  uint64_t heaviest = 0;
  for (const auto& [id, connection] : connections_) {
    const uint64_t weight = connection->BufferWeight(now);
    if (weight > heaviest) {
      chosen = id;
      heaviest = weight;
    }
  }
  const auto found = connections_.find(chosen);
  if (found != connections_.end()) {
    found->second->GiveUpBuffer();
  }
}

bool HttpServer::MayHandle(size_t bytes) {
  if (!bounds_turns_) {
    return true;
  }
  if (turn_.polled_at != loop_.polled_at()) {
    turn_ = {loop_.polled_at(), 0};
  }
  if (turn_.handled_bytes >= kMaxBytesPerTurn) {
    return false;
  }
  turn_.handled_bytes += std::max(bytes, kMinCountedBytes);
  return true;
}

void HttpServer::Count(CloseReason reason) {
  ++counters_.closed[static_cast<size_t>(reason)];
}

void HttpServer::CloseFor(CloseReason reason, uint64_t id) {
  if (connections_.contains(id)) {
    Count(reason);
    Close(id);
  }
}

void HttpServer::Close(uint64_t id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  const RequestToken token = found->second->token();
  closed_.push_back(std::move(found->second));
  connections_.erase(found);
  closed_.back()->CloseSocket();
  if (token != 0) {
    pending_requests_.erase(token);
    on_disconnect_(token);
  }
}

void HttpServer::Respond(RequestToken token, const HttpReply& reply) {
  const auto found = pending_requests_.find(token);
  if (found == pending_requests_.end()) {
    return;
  }
  const uint64_t id = found->second;
  pending_requests_.erase(found);
  const auto connection = connections_.find(id);
  if (connection != connections_.end()) {
    connection->second->Respond(reply);
  }
}

void HttpServer::RespondToAllWaiting(const HttpReply& reply) {
  bounds_turns_ = false;
  std::vector<uint64_t> ids;
  for (const auto& [id, connection] : connections_) {
    ids.push_back(id);
  }
  for (const uint64_t id : ids) {
    const auto found = connections_.find(id);
    if (found != connections_.end()) {
      found->second->HandleBufferedRequests();
    }
  }
  // A response can make the next request on its connection wait.
  while (!pending_requests_.empty()) {
    Respond(pending_requests_.begin()->first, reply);
  }
}

bool HttpServer::HasUnsentReplies() const {
  for (const auto& [id, connection] : connections_) {
    if (connection->is_replying()) {
      return true;
    }
  }
  return false;
}

void HttpServer::CloseAll() {
  while (!connections_.empty()) {
    const auto& [id, connection] = *connections_.begin();
    const uint64_t closed_id = id;
    if (connection->is_lingering()) {
      connection->OnReadable();  // unread input would reset the connection
    }
    Close(closed_id);
  }
}

void HttpServer::CloseStale(Micros now) {
  closed_.clear();
  std::vector<std::pair<uint64_t, CloseReason>> stale;
  for (const auto& [id, connection] : connections_) {
    if (const auto reason = connection->StaleReason(now)) {
      stale.emplace_back(id, *reason);
    }
  }
  for (const auto& [id, reason] : stale) {
    CloseFor(reason, id);
  }
  LogLimits(now);
}

void HttpServer::SetLimits(const HttpLimits& limits,
                           Micros header_timeout,
                           Micros idle_timeout) {
  options_.limits = limits;
  options_.header_timeout = header_timeout;
  options_.idle_timeout = idle_timeout;
}

void HttpServer::LogLimits(Micros now) {
  if (now - logged_at_ < kLimitLogPeriod) {
    return;
  }
  logged_at_ = now;
  for (size_t i = 0; i < kCloseReasonNames.size(); ++i) {
    const uint64_t count = counters_.closed[i] - logged_.closed[i];
    if (count == 0 || !IsProcessLimit(static_cast<CloseReason>(i))) {
      continue;
    }
    const BufferBudget* budget = options_.budget;
    WriteLog({LogLevel::kWarning,
              "connections_closed",
              {{"server", options_.name},
               {"reason", std::string(kCloseReasonNames[i])},
               {"count", std::to_string(count)},
               {"connections", std::to_string(connections_.size())},
               {"buffered_bytes",
                std::to_string(budget == nullptr ? 0 : budget->used())},
               {"buffer_limit_bytes",
                std::to_string(budget == nullptr ? 0 : budget->limit())}}});
  }
  logged_ = counters_;
}

void LogConnectionsAtStop(const std::string& name,
                          const HttpConnectionCounts& counts) {
  const bool unfinished = counts.waiting + counts.replying + counts.unread > 0;
  WriteLog({unfinished ? LogLevel::kError : LogLevel::kInfo,
            "connections_at_stop",
            {{"server", name},
             {"waiting", std::to_string(counts.waiting)},
             {"replying", std::to_string(counts.replying)},
             {"reading", std::to_string(counts.reading)},
             {"unread", std::to_string(counts.unread)},
             {"idle", std::to_string(counts.idle)}}});
}

}  // namespace goldcrest
