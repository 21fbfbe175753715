#ifndef EDGE_ZMQ_SOCKETS_H_
#define EDGE_ZMQ_SOCKETS_H_

// Options of the ZeroMQ sockets between daemons: timeouts for each stage of a
// connection, and queue limits. Messages for a daemon that is not connected are
// dropped.

#include <cstdint>

#include <zmq.hpp>

namespace goldcrest {

// The defaults are those of the mesh.
struct ZmqLimits {
  int max_queued_messages = 2000;  // per connection; ZeroMQ's high-water mark
  int64_t max_message_bytes = 16 * 1024 * 1024;
  int reconnect_ms = 50;
  int max_reconnect_ms = 400;    // the delay doubles up to this
  int connect_timeout_ms = 250;  // a VM that is down never answers
  // From the TCP connection to the end of ZeroMQ's handshake. ZeroMQ's default
  // of 30 s would block messages that long after connecting to a paused daemon.
  int handshake_timeout_ms = 700;
  int heartbeat_interval_ms = 300;  // period of ZeroMQ's heartbeats
  int heartbeat_timeout_ms = 700;   // without an answer to a heartbeat
};

// Sets the options of a socket that receives.
void SetUpReceiver(const ZmqLimits& limits, zmq::socket_t& router);

// Sets the options of a socket that sends to one daemon.
void SetUpSender(const ZmqLimits& limits, zmq::socket_t& dealer);

// Receives the next message into `body`, without the connection identity that
// ROUTER sockets prepend. Returns false if no message is waiting.
bool ReceiveBody(zmq::socket_t& router, zmq::message_t& body);

}  // namespace goldcrest

#endif  // EDGE_ZMQ_SOCKETS_H_
