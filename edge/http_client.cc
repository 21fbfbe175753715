#include "edge/http_client.h"

#include <algorithm>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "edge/settings.h"
#include "edge/socket_io.h"

namespace goldcrest {
namespace {

constexpr int kReadBytes = 16 * 1024;

}  // namespace

class HttpClient::Connection : public SocketHandler {
 public:
  Connection(HttpClient& client, uint64_t id, std::string address)
      : client_(client),
        id_(id),
        address_(std::move(address)),
        opened_at_(MonotonicMicros()),
        idle_since_(opened_at_) {}

  ~Connection() override {
    if (!socket_closed_) {
      CloseSocket();
    }
  }

  // Starts to connect. Returns false when that fails immediately.
  bool Open() {
    if (!IsAddress(address_)) {  // POCO would look up a host name, blocking
      socket_closed_ = true;
      return false;
    }
    try {
      socket_.connectNB(Poco::Net::SocketAddress(address_));
      socket_.setBlocking(false);
      local_port_ = socket_.address().port();
      client_.loop_.Add(socket_, this, true);
      watching_writable_ = true;
      return true;
    } catch (const Poco::Exception&) {
      socket_closed_ = true;
      return false;
    }
  }

  void StartCall(const HttpCall& call, CallHandler handler) {
    busy_ = true;
    sent_bytes_ = 0;
    handler_ = std::move(handler);
    timeout_ = call.timeout;
    deadline_ = MonotonicMicros() + timeout_;
    output_ = FormatRequest(call.method, call.path, call.address, call.body,
                            call.headers);
    if (connected_) {
      Flush();
    }
  }

  void OnReadable() override;
  void OnWritable() override;

  void CloseSocket() {
    socket_closed_ = true;
    client_.loop_.Remove(socket_);
    socket_.close();
  }

  // Ends the call in progress without a response.
  void FailCall() {
    if (!busy_) {
      return;
    }
    busy_ = false;
    const CallHandler handler = std::move(handler_);
    handler(FailedEnd(), HttpResponse());
  }

  bool IsStale(Micros now) const {
    if (!busy_) {
      return IsExpired(now);
    }
    const bool connecting =
        !connected_ && now - opened_at_ > client_.options_.connect_timeout;
    return connecting || now > deadline_;
  }

  // Returns whether the connection has been idle for too long to be used again.
  bool IsExpired(Micros now) const {
    return !busy_ && now - idle_since_ > client_.options_.idle_timeout;
  }

  const std::string& address() const { return address_; }
  uint16_t local_port() const { return local_port_; }
  bool busy() const { return busy_; }

 private:
  // Returns how the call in progress ends if there is no response.
  CallEnd FailedEnd() const {
    if (sent_bytes_ > 0) {
      return closed_by_server_ ? CallEnd::kClosed : CallEnd::kNoResponse;
    }
    return refused_ ? CallEnd::kRefused : CallEnd::kNotSent;
  }

  void Flush();
  void Finish(const ResponseParse& parse);
  bool ReadAll(bool* closed);

  HttpClient& client_;
  uint64_t id_;
  std::string address_;
  Poco::Net::StreamSocket socket_;
  uint16_t local_port_ = 0;
  std::string output_;
  std::string input_;
  CallHandler handler_;
  bool connected_ = false;
  bool busy_ = false;
  bool socket_closed_ = false;
  bool closed_by_server_ = false;
  bool refused_ = false;
  bool watching_writable_ = false;
  size_t sent_bytes_ = 0;
  Micros opened_at_;
  Micros idle_since_;
  Micros timeout_ = 0;  // of the call in progress
  Micros deadline_ = 0;
};

void HttpClient::Connection::OnWritable() {
  if (!connected_) {
    const int error = socket_.impl()->socketError();
    if (error != 0) {
      refused_ = error == POCO_ECONNREFUSED;
      client_.Close(id_);
      return;
    }
    connected_ = true;
    // The connection may have been open for long while the loop was busy; the
    // server gets its whole time to answer.
    deadline_ = MonotonicMicros() + timeout_;
    socket_.setNoDelay(true);
  }
  Flush();
}

void HttpClient::Connection::Flush() {
  while (!output_.empty()) {
    size_t sent = 0;
    try {
      sent = SendSome(socket_, output_.data(), output_.size());
    } catch (const Poco::Exception&) {
      closed_by_server_ = true;
      client_.Close(id_);
      return;
    }
    if (sent == 0) {
      break;
    }
    sent_bytes_ += sent;
    output_.erase(0, sent);
  }
  const bool pending = !output_.empty();
  if (pending != watching_writable_) {
    watching_writable_ = pending;
    client_.loop_.WatchWritable(socket_, pending);
  }
}

bool HttpClient::Connection::ReadAll(bool* closed) {
  char bytes[kReadBytes];
  while (input_.size() <= client_.options_.limits.max_body_bytes +
                              client_.options_.limits.max_header_bytes) {
    int count = 0;
    try {
      count = socket_.receiveBytes(bytes, kReadBytes);
    } catch (const Poco::Exception&) {
      count = 0;
    }
    if (count < 0) {
      return true;
    }
    if (count == 0) {
      *closed = true;
      return true;
    }
    input_.append(bytes, static_cast<size_t>(count));
  }
  return false;
}

void HttpClient::Connection::OnReadable() {
  bool closed = false;
  const bool within_limits = ReadAll(&closed);
  if (!connected_ && closed) {
    refused_ = socket_.impl()->socketError() == POCO_ECONNREFUSED;
  }
  closed_by_server_ = closed;
  if (!within_limits || (!busy_ && closed)) {
    client_.Close(id_);
    return;
  }
  if (!busy_) {
    client_.Close(id_);  // bytes that belong to no request
    return;
  }
  const ResponseParse parse =
      ParseResponse(input_, client_.options_.limits, closed);
  if (parse.state == ParseState::kComplete) {
    Finish(parse);
    return;
  }
  if (closed || parse.state == ParseState::kBad) {
    client_.Close(id_);
  }
}

void HttpClient::Connection::Finish(const ResponseParse& parse) {
  input_.erase(0, parse.consumed);
  busy_ = false;
  idle_since_ = MonotonicMicros();
  const CallHandler handler = std::move(handler_);
  const bool reusable =
      parse.response.keep_alive && input_.empty() && output_.empty();
  if (reusable) {
    client_.idle_[address_].push_back(id_);
  } else {
    client_.Close(id_);
  }
  handler(CallEnd::kResponse, parse.response);
}

HttpClient::HttpClient(SocketLoop& loop, const HttpClientOptions& options)
    : loop_(loop), options_(options) {}

HttpClient::~HttpClient() = default;

HttpClient::Connection* HttpClient::IdleConnection(const std::string& address) {
  std::vector<uint64_t>& idle = idle_[address];
  while (!idle.empty()) {
    const uint64_t id = idle.back();
    idle.pop_back();
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second->busy()) {
      continue;
    }
    // After a delay of this process, the server may have closed it long ago.
    if (found->second->IsExpired(MonotonicMicros())) {
      Close(id);
      continue;
    }
    return found->second.get();
  }
  return nullptr;
}

HttpClient::Connection* HttpClient::OpenConnection(const std::string& address) {
  const uint64_t id = next_connection_++;
  auto connection = std::make_unique<Connection>(*this, id, address);
  if (!connection->Open()) {
    return nullptr;
  }
  Connection* opened = connection.get();
  connections_[id] = std::move(connection);
  return opened;
}

uint16_t HttpClient::Call(const HttpCall& call, CallHandler handler) {
  Connection* connection = IdleConnection(call.address);
  if (connection == nullptr) {
    connection = OpenConnection(call.address);
  }
  if (connection == nullptr) {
    handler(CallEnd::kNotSent, HttpResponse());
    return 0;
  }
  connection->StartCall(call, std::move(handler));
  return connection->local_port();
}

void HttpClient::Close(uint64_t id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  closed_.push_back(std::move(found->second));
  connections_.erase(found);
  Connection& connection = *closed_.back();
  connection.CloseSocket();
  connection.FailCall();
}

void HttpClient::CloseStale(Micros now) {
  closed_.clear();
  std::vector<uint64_t> stale;
  for (const auto& [id, connection] : connections_) {
    if (connection->IsStale(now)) {
      stale.push_back(id);
    }
  }
  for (const uint64_t id : stale) {
    Close(id);
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace goldcrest
