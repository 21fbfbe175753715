#include "edge/mesh_link.h"

#include <unistd.h>

#include <utility>

#include <Poco/Net/StreamSocketImpl.h>

#include "edge/zmq_sockets.h"

namespace goldcrest {
namespace {

// Bounds one call of Receive(), so that the loop serves other sockets too.
constexpr int kMaxMessagesPerReceive = 500;

// How long the process waits at its end for messages that were sent and are
// still queued; they may be the only answers that their receivers get.
constexpr int kLingerAtEndMs = 100;

// Returns the source-address prefix of a ZeroMQ connect address, empty if any
// source address may be used.
std::string SourcePrefix(const MeshEndpoint& endpoint) {
  const std::string& bind = endpoint.bind;
  return bind.empty() ? "" : bind.substr(0, bind.find(':')) + ":0;";
}

}  // namespace

// Receives messages when the ROUTER socket signals activity. ZeroMQ's
// descriptor is edge-triggered: Receive() must read until nothing is left, or
// wake the loop.
class MeshLink::RouterHandler : public SocketHandler {
 public:
  explicit RouterHandler(MeshLink& link) : link_(link) {}
  void OnReadable() override { link_.Receive(); }
  void OnWritable() override {}

 private:
  MeshLink& link_;
};

MeshLink::MeshLink(SocketLoop& loop,
                   MeshEndpoint endpoint,
                   ReceiveHandler on_receive)
    : loop_(loop),
      endpoint_(std::move(endpoint)),
      on_receive_(std::move(on_receive)),
      router_(context_, zmq::socket_type::router),
      router_handler_(std::make_unique<RouterHandler>(*this)) {
  SetUpReceiver(ZmqLimits(), router_);
  const std::string& bind = endpoint_.bind;
  router_.bind("tcp://" + (bind.empty() ? endpoint_.address : bind));
  // ZeroMQ owns its descriptor, so the loop watches a duplicate.
  router_poll_socket_ = Poco::Net::StreamSocket(
      new Poco::Net::StreamSocketImpl(dup(router_.get(zmq::sockopt::fd))));
  loop_.Add(router_poll_socket_, router_handler_.get(), false);
}

MeshLink::~MeshLink() {
  loop_.Remove(router_poll_socket_);
  for (auto& [address, dealer] : dealers_) {
    dealer.set(zmq::sockopt::linger, kLingerAtEndMs);
  }
}

zmq::socket_t& MeshLink::DealerTo(const std::string& to) {
  const auto found = dealers_.find(to);
  if (found != dealers_.end()) {
    return found->second;
  }
  zmq::socket_t dealer(context_, zmq::socket_type::dealer);
  SetUpSender(ZmqLimits(), dealer);
  ++dials_;
  dealer.connect("tcp://" + SourcePrefix(endpoint_) + to);
  return dealers_.emplace(to, std::move(dealer)).first->second;
}

// Reconnects to `from` if its incarnation has changed, or if this is the first
// message from it and the connection to it is not established yet.
void MeshLink::UpdateIncarnation(const std::string& from,
                                 uint64_t incarnation) {
  const auto [known, is_first] = known_incarnations_.emplace(from, incarnation);
  if (!is_first && known->second == incarnation) {
    return;
  }
  known->second = incarnation;
  const auto dealer = dealers_.find(from);
  if (dealer == dealers_.end()) {
    return;
  }
  const bool connected =
      (dealer->second.get(zmq::sockopt::events) & ZMQ_POLLOUT) != 0;
  if (!is_first || !connected) {
    dealers_.erase(dealer);
    DealerTo(from);
  }
}

void MeshLink::Send(const std::string& to, wire::PoolMessage message) {
  message.set_from(endpoint_.address);
  message.set_incarnation(endpoint_.incarnation);
  zmq::message_t body(message.ByteSizeLong());
  message.SerializeToArray(body.data(), static_cast<int>(body.size()));
  const size_t bytes = body.size();
  try {
    if (DealerTo(to).send(body, zmq::send_flags::dontwait)) {
      bytes_sent_ += bytes;
      ++messages_sent_[message.body_case()];
    } else {
      ++messages_dropped_;
    }
  } catch (const zmq::error_t&) {
    ++messages_dropped_;  // for example an invalid address
  }
}

void MeshLink::Receive() {
  for (int i = 0; i < kMaxMessagesPerReceive; ++i) {
    zmq::message_t body;
    if (!ReceiveBody(router_, body)) {
      return;
    }
    bytes_received_ += body.size();
    wire::PoolMessage message;
    if (message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
      UpdateIncarnation(message.from(), message.incarnation());
      on_receive_(std::move(message));
    } else {
      ++messages_dropped_;
    }
  }
  loop_.Wake();  // more messages may be waiting
}

}  // namespace goldcrest
