#ifndef EDGE_MESH_LINK_H_
#define EDGE_MESH_LINK_H_

// Messages between entry and control daemons, over ZeroMQ with protobuf.
//
// Each daemon binds one ROUTER socket for receiving, and opens one DEALER
// socket per destination at the first send to it. The sockets are used on the
// loop's thread only; the one additional thread is ZeroMQ's own I/O thread.
// ZeroMQ's heartbeats close connections that have become unresponsive. When a
// message arrives from a new incarnation of a daemon, the link reconnects to it
// immediately: the open connection led to the earlier process, and a pending
// connection attempt may still be waiting for a VM that was down. Messages to
// a daemon that is not connected are dropped, since every protocol above
// retries or times out by itself.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <Poco/Net/StreamSocket.h>
#include <zmq.hpp>

#include "edge/socket_loop.h"
#include "proto/pool.pb.h"

namespace goldcrest {

// The addresses of this daemon in the mesh.
struct MeshEndpoint {
  std::string address;  // at which others reach it, "ip:port"
  // Listening address if it differs, for example behind a relay. Outgoing
  // connections then use this IP address as their source. Empty: `address`.
  std::string bind;
  uint64_t incarnation = 0;
};

// Use it on the loop's thread only.
class MeshLink {
 public:
  // Called on the loop's thread for each message received.
  using ReceiveHandler = std::function<void(wire::PoolMessage)>;

  // Binds the ROUTER socket. Throws zmq::error_t if that fails.
  MeshLink(SocketLoop& loop, MeshEndpoint endpoint, ReceiveHandler on_receive);
  // Waits a short time until the messages that were sent have left the process.
  ~MeshLink();
  MeshLink(const MeshLink&) = delete;
  MeshLink& operator=(const MeshLink&) = delete;

  // Sends a message to the daemon at the address `to`, after setting its sender
  // address and incarnation. Never blocks.
  void Send(const std::string& to, wire::PoolMessage message);

  // Passes received messages to the receive handler. Wakes the loop if there
  // may be more.
  void Receive();

  uint64_t bytes_sent() const { return bytes_sent_; }
  // Returns the number of messages sent of each kind.
  const std::map<wire::PoolMessage::BodyCase, uint64_t>& messages_sent() const {
    return messages_sent_;
  }
  uint64_t bytes_received() const { return bytes_received_; }
  uint64_t messages_dropped() const { return messages_dropped_; }
  // Returns the number of DEALER sockets opened so far. Each of them retries
  // its connection until it succeeds.
  uint64_t dials() const { return dials_; }

 private:
  class RouterHandler;

  // Returns the DEALER socket for a destination, opening it if necessary.
  zmq::socket_t& DealerTo(const std::string& to);
  // Records the incarnation of a sender and reconnects to it if necessary.
  void UpdateIncarnation(const std::string& from, uint64_t incarnation);

  SocketLoop& loop_;
  MeshEndpoint endpoint_;
  ReceiveHandler on_receive_;
  zmq::context_t context_;
  zmq::socket_t router_;
  std::map<std::string, zmq::socket_t> dealers_;
  std::map<std::string, uint64_t> known_incarnations_;  // by sender address
  std::unique_ptr<RouterHandler> router_handler_;
  Poco::Net::StreamSocket router_poll_socket_;
  uint64_t bytes_sent_ = 0;
  std::map<wire::PoolMessage::BodyCase, uint64_t> messages_sent_;
  uint64_t bytes_received_ = 0;
  uint64_t messages_dropped_ = 0;
  uint64_t dials_ = 0;
};

}  // namespace goldcrest

#endif  // EDGE_MESH_LINK_H_
