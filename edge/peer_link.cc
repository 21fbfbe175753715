#include "edge/peer_link.h"

#include <array>
#include <chrono>
#include <utility>

#include "edge/zmq_sockets.h"

namespace goldcrest {
namespace {

constexpr char kOutgoingAddress[] = "inproc://outgoing";
constexpr int kMaxMessagesPerBatch = 1000;

constexpr ZmqLimits kLimits = {.max_queued_messages = 20'000,
                               .max_message_bytes = 8 * 1024 * 1024,
                               .reconnect_ms = 100,
                               .max_reconnect_ms = 1000,
                               .connect_timeout_ms = 3000,
                               .handshake_timeout_ms = 3000,
                               .heartbeat_interval_ms = 1000,
                               .heartbeat_timeout_ms = 3000};

}  // namespace

PeerLink::PeerLink(const Deployment& deployment, ReceiveHandler on_receive)
    : router_(context_, zmq::socket_type::router),
      outgoing_sender_(context_, zmq::socket_type::push),
      outgoing_receiver_(context_, zmq::socket_type::pull),
      on_receive_(std::move(on_receive)) {
  SetUpReceiver(kLimits, router_);
  outgoing_sender_.set(zmq::sockopt::linger, 0);
  outgoing_sender_.set(zmq::sockopt::sndhwm, kLimits.max_queued_messages);
  outgoing_receiver_.set(zmq::sockopt::rcvhwm, kLimits.max_queued_messages);
  outgoing_receiver_.bind(kOutgoingAddress);
  outgoing_sender_.connect(kOutgoingAddress);
  for (const EntryVm& vm : deployment.vms) {
    if (vm.name == deployment.self) {
      router_.bind("tcp://" + vm.peer_address);
      continue;
    }
    zmq::socket_t dealer(context_, zmq::socket_type::dealer);
    SetUpSender(kLimits, dealer);
    dealer.connect("tcp://" + vm.peer_address);
    dealers_.emplace(vm.name, std::move(dealer));
  }
  thread_ = std::thread([this] { Run(); });
}

PeerLink::~PeerLink() {
  outgoing_sender_.set(zmq::sockopt::sndtimeo, 1000);
  outgoing_sender_.send(zmq::message_t(), zmq::send_flags::none);
  thread_.join();
}

void PeerLink::Send(const std::string& vm, const wire::PeerMessage& message) {
  zmq::message_t name(vm);
  zmq::message_t body(message.ByteSizeLong());
  message.SerializeToArray(body.data(), static_cast<int>(body.size()));
  if (outgoing_sender_.send(
          name, zmq::send_flags::sndmore | zmq::send_flags::dontwait)) {
    (void)outgoing_sender_.send(body, zmq::send_flags::none);
  }
}

void PeerLink::ReceiveFromPeers() {
  for (int i = 0; i < kMaxMessagesPerBatch; ++i) {
    zmq::message_t body;
    if (!ReceiveBody(router_, body)) {
      return;
    }
    wire::PeerMessage message;
    if (message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
      on_receive_(std::move(message));
    }
  }
}

// Sends queued messages to their peers. Sets `*stopping` on a message of a
// single part, which the destructor sends to end the thread.
void PeerLink::SendQueued(bool* stopping) {
  for (int i = 0; i < kMaxMessagesPerBatch; ++i) {
    zmq::message_t name;
    if (!outgoing_receiver_.recv(name, zmq::recv_flags::dontwait)) {
      return;
    }
    if (!outgoing_receiver_.get(zmq::sockopt::rcvmore)) {
      *stopping = true;
      return;
    }
    zmq::message_t body;
    (void)outgoing_receiver_.recv(body, zmq::recv_flags::none);
    const auto dealer = dealers_.find(name.to_string());
    if (dealer != dealers_.end()) {
      (void)dealer->second.send(body, zmq::send_flags::dontwait);
    }
  }
}

void PeerLink::Run() {
  std::array<zmq::pollitem_t, 2> items = {{
      {router_.handle(), 0, ZMQ_POLLIN, 0},
      {outgoing_receiver_.handle(), 0, ZMQ_POLLIN, 0},
  }};
  bool stopping = false;
  while (!stopping) {
    zmq::poll(items.data(), items.size(), std::chrono::milliseconds(-1));
    ReceiveFromPeers();
    SendQueued(&stopping);
  }
}

}  // namespace goldcrest
