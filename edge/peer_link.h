#ifndef EDGE_PEER_LINK_H_
#define EDGE_PEER_LINK_H_

// Messages between entry VMs, over ZeroMQ with protobuf.
//
// Each daemon binds one ROUTER socket and connects one DEALER socket to every
// other daemon. A dedicated thread moves messages between these sockets and the
// daemon's loop. Queues are bounded, and messages to an unreachable VM are
// dropped, since every protocol above retries or times out by itself.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include <zmq.hpp>

#include "goldcrest/deployment.h"
#include "proto/goldcrest.pb.h"

namespace goldcrest {

class PeerLink {
 public:
  // Called from the link's thread for each message received.
  using ReceiveHandler = std::function<void(wire::PeerMessage)>;

  // Binds and connects. Throws zmq::error_t if the address cannot be bound.
  PeerLink(const Deployment& deployment, ReceiveHandler on_receive);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // Queues a message for the VM `vm`. Call it from one thread only.
  void Send(const std::string& vm, const wire::PeerMessage& message);

 private:
  void Run();
  void ReceiveFromPeers();
  void SendQueued(bool* stopping);

  zmq::context_t context_;
  zmq::socket_t router_;
  zmq::socket_t outgoing_sender_;
  zmq::socket_t outgoing_receiver_;
  std::map<std::string, zmq::socket_t> dealers_;
  ReceiveHandler on_receive_;
  std::thread thread_;
};

}  // namespace goldcrest

#endif  // EDGE_PEER_LINK_H_
