#include "edge/testing/relay.h"

#include <array>
#include <utility>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include "edge/socket_io.h"
#include "edge/socket_loop.h"

namespace goldcrest {
namespace {

constexpr Micros kBusyPollTime = 1 * kMillisecond;
constexpr Micros kIdlePollTime = 20 * kMillisecond;
constexpr int kMaxPieceBytes = 64 * 1024;
constexpr size_t kMaxQueuedBytes = 1024 * 1024;

}  // namespace

Relays::Relays() : thread_([this] { Run(); }) {}

Relays::~Relays() {
  stopping_ = true;
  thread_.join();
}

std::string Relays::Add(const std::string& from,
                        const std::string& to,
                        const std::string& target) {
  auto relay = std::make_unique<Relay>();
  relay->from = from;
  relay->to = to;
  relay->target = target;
  relay->listener.bind(Poco::Net::SocketAddress("127.0.0.1:0"), false);
  std::string address = relay->listener.address().toString();
  Listen(std::move(relay));
  return address;
}

void Relays::AddAt(const std::string& address,
                   const std::string& to,
                   const std::string& target) {
  auto relay = std::make_unique<Relay>();
  relay->to = to;
  relay->target = target;
  relay->listener.bind(Poco::Net::SocketAddress(address), true);
  Listen(std::move(relay));
}

void Relays::Listen(std::unique_ptr<Relay> relay) {
  relay->listener.listen(256);
  relay->listener.setBlocking(false);
  const std::lock_guard<std::mutex> lock(mutex_);
  relays_.push_back(std::move(relay));
  changed_ = true;
}

void Relays::SetStates(StateFunction state_of) {
  const std::lock_guard<std::mutex> lock(mutex_);
  state_of_ = std::move(state_of);
  changed_ = true;
}

void Relays::Cut(const IsAffected& is_cut) {
  SetStates([is_cut](const std::string& from, const std::string& to) {
    const bool cut = is_cut(from, to);
    return RelayState{cut, cut, 0};
  });
}

void Relays::Reset(const IsAffected& is_affected) {
  std::unique_lock<std::mutex> lock(mutex_);
  for (Connection& connection : connections_) {
    if (is_affected(connection.from, connection.to)) {
      MarkClosing(connection, "reset");
    }
  }
  processed_.wait(
      lock, [this, before = iterations_] { return iterations_ > before; });
}

std::vector<InterruptedRequest> Relays::TakeInterruptedRequests() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(interrupted_requests_, {});
}

std::vector<UnusedConnection> Relays::TakeUnusedConnections() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(unused_connections_, {});
}

void Relays::MarkClosing(Connection& connection, const std::string& ended_by) {
  if (!std::exchange(connection.must_close, true)) {
    connection.ended_by = ended_by;
  }
}

// A socket reports a refusal only if its connection was never established: the
// reset of an established connection is another error.
void Relays::MarkFailed(Connection& connection, const Poco::Exception& error) {
  if (!connection.must_close) {
    connection.refused =
        dynamic_cast<const Poco::Net::ConnectionRefusedException*>(&error) !=
        nullptr;
  }
  MarkClosing(connection, error.displayText());
}

void Relays::CountRead(Connection& connection, const Flow& flow, size_t bytes) {
  if (&flow == &connection.to_client) {
    connection.request_bytes = bytes > 0 ? 0 : connection.request_bytes;
    return;
  }
  if (connection.request_bytes == 0) {
    connection.request_read_at = MonotonicMicros();
  }
  connection.request_bytes += bytes;
}

void Relays::RecordInterruptedRequest(const Connection& connection) {
  if (connection.request_bytes == 0) {
    return;
  }
  interrupted_requests_.push_back(
      {connection.from, connection.to, connection.client, connection.ended_by,
       connection.request_bytes, connection.from_client.queued_bytes,
       connection.request_read_at, MonotonicMicros()});
}

void Relays::RecordUnusedConnection(const Connection& connection) {
  if (connection.used) {
    return;
  }
  unused_connections_.push_back(
      {connection.from, connection.to, connection.client, connection.target,
       connection.refused, connection.ended_by, connection.request_bytes,
       connection.connect_at, MonotonicMicros()});
}

void Relays::ApplyState(Connection& connection) {
  if (state_of_) {
    connection.state = state_of_(connection.from, connection.to);
  }
  connection.from_client.blocked = connection.state.block_from_client;
  connection.to_client.blocked = connection.state.block_to_client;
  UpdateWatch(connection.from_client);
  UpdateWatch(connection.to_client);
}

// Watches the source of `flow` for reading unless the flow is blocked, at its
// end or has too many bytes queued.
void Relays::UpdateWatch(Flow& flow) {
  const bool wanted = !flow.blocked && !flow.eof_received &&
                      flow.queued_bytes < kMaxQueuedBytes;
  if (wanted == flow.watched) {
    return;
  }
  flow.watched = wanted;
  if (wanted) {
    poll_set_.add(flow.from, Poco::Net::PollSet::POLL_READ);
  } else {
    poll_set_.remove(flow.from);
  }
}

void Relays::Accept(Relay& relay) {
  Connection& connection = connections_.emplace_back();
  try {
    Poco::Net::StreamSocket client = relay.listener.acceptConnection();
    const Poco::Net::SocketAddress address = client.peerAddress();
    connection.from =
        relay.from.empty() ? address.host().toString() : relay.from;
    connection.to = relay.to;
    connection.client = address.toString();
    connection.target = relay.target;
    connection.from_client.from = client;
    connection.to_client.to = client;
  } catch (const Poco::Exception&) {
    connections_.pop_back();  // the client has disconnected
    return;
  }
  Connect(connection);
}

void Relays::Connect(Connection& connection) {
  Poco::Net::StreamSocket server;
  connection.from_client.to = server;
  connection.to_client.from = server;
  connection.connect_at = MonotonicMicros();
  try {
    server.connectNB(Poco::Net::SocketAddress(connection.target));
    for (Poco::Net::StreamSocket* socket :
         {&connection.from_client.from, &connection.to_client.from}) {
      socket->setBlocking(false);
      socket->setNoDelay(true);
    }
    ApplyState(connection);
  } catch (const Poco::Exception& error) {
    connection.from_client.blocked = true;
    connection.to_client.blocked = true;
    MarkFailed(connection, error);
  }
}

void Relays::Read(Connection& connection, Flow& flow) {
  std::array<char, kMaxPieceBytes> bytes;
  const int count = flow.from.receiveBytes(bytes.data(), kMaxPieceBytes);
  if (count < 0) {
    return;
  }
  flow.eof_received = count == 0;
  CountRead(connection, flow, static_cast<size_t>(count));
  const Micros due = MonotonicMicros() + connection.state.delay;
  flow.pieces.push_back(
      {due, std::string(bytes.data(), static_cast<size_t>(count))});
  flow.queued_bytes += static_cast<size_t>(count);
}

// Sends the pieces whose delay has passed. An empty piece marks the end of the
// stream and closes the connection.
void Relays::Write(Connection& connection, Flow& flow) {
  while (!flow.blocked && !flow.pieces.empty() &&
         flow.pieces.front().send_at <= MonotonicMicros()) {
    std::string& bytes = flow.pieces.front().bytes;
    if (bytes.empty()) {
      MarkClosing(connection,
                  &flow == &connection.from_client ? "client" : "server");
      return;
    }
    const size_t sent = SendSome(flow.to, bytes.data(), bytes.size());
    connection.used |= sent > 0 && &flow == &connection.from_client;
    flow.queued_bytes -= sent;
    bytes.erase(0, sent);
    if (!bytes.empty()) {
      return;
    }
    flow.pieces.pop_front();
  }
}

void Relays::Close(Connection& connection) {
  RecordInterruptedRequest(connection);
  RecordUnusedConnection(connection);
  for (Flow* flow : {&connection.from_client, &connection.to_client}) {
    flow->blocked = true;
    UpdateWatch(*flow);
  }
  // With unsent data the linger time is 0, so that both sides see a reset.
  for (Flow* flow : {&connection.from_client, &connection.to_client}) {
    try {
      flow->from.setLinger(!flow->pieces.empty(), 0);
      flow->from.close();
    } catch (const Poco::Exception&) {
      continue;  // closed already
    }
  }
}

// Applies the changes that other threads have made. Only the relays' thread may
// use the poll set.
void Relays::ApplyChanges() {
  if (!std::exchange(changed_, false)) {
    return;
  }
  for (const auto& relay : relays_) {
    if (!std::exchange(relay->watched, true)) {
      poll_set_.add(relay->listener, Poco::Net::PollSet::POLL_READ);
    }
  }
  for (Connection& connection : connections_) {
    ApplyState(connection);
  }
}

void Relays::ProcessEvents(const std::set<Poco::Net::Socket>& ready) {
  ApplyChanges();
  for (const auto& relay : relays_) {
    if (ready.contains(relay->listener)) {
      Accept(*relay);
    }
  }
  has_queued_data_ = false;
  for (Connection& connection : connections_) {
    try {
      for (Flow* flow : {&connection.from_client, &connection.to_client}) {
        if (!connection.must_close && flow->watched &&
            ready.contains(flow->from)) {
          Read(connection, *flow);
        }
        Write(connection, *flow);
        UpdateWatch(*flow);
        has_queued_data_ =
            has_queued_data_ || (!flow->blocked && !flow->pieces.empty());
      }
    } catch (const Poco::Exception& error) {
      MarkFailed(connection, error);
    }
  }
  for (auto it = connections_.begin(); it != connections_.end();) {
    if (!it->must_close) {
      ++it;
      continue;
    }
    Close(*it);
    it = connections_.erase(it);
  }
}

void Relays::Run() {
  while (!stopping_) {
    const auto polled = poll_set_.poll(
        Poco::Timespan(has_queued_data_ ? kBusyPollTime : kIdlePollTime));
    std::set<Poco::Net::Socket> ready;
    for (const auto& [socket, mode] : polled) {
      ready.insert(socket);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    ProcessEvents(ready);
    ++iterations_;
    processed_.notify_all();
  }
}

}  // namespace goldcrest
