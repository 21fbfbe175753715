#include "edge/zmq_sockets.h"

namespace goldcrest {
namespace {

constexpr char kMeshDomain[] = "goldcrest";

}  // namespace

void SetUpReceiver(const ZmqLimits& limits, zmq::socket_t& router) {
  // ZeroMQ takes bytes that are no handshake for messages of a peer that speaks
  // the first version of its protocol, unless the socket has a domain for
  // authentication. Without a handler, all peers of the present version are
  // accepted.
  router.set(zmq::sockopt::zap_domain, kMeshDomain);
  router.set(zmq::sockopt::linger, 0);
  router.set(zmq::sockopt::rcvhwm, limits.max_queued_messages);
  router.set(zmq::sockopt::maxmsgsize, limits.max_message_bytes);
  router.set(zmq::sockopt::handshake_ivl, limits.handshake_timeout_ms);
  router.set(zmq::sockopt::heartbeat_ivl, limits.heartbeat_interval_ms);
  router.set(zmq::sockopt::heartbeat_timeout, limits.heartbeat_timeout_ms);
}

void SetUpSender(const ZmqLimits& limits, zmq::socket_t& dealer) {
  dealer.set(zmq::sockopt::linger, 0);
  dealer.set(zmq::sockopt::sndhwm, limits.max_queued_messages);
  dealer.set(zmq::sockopt::immediate, true);
  dealer.set(zmq::sockopt::reconnect_ivl, limits.reconnect_ms);
  dealer.set(zmq::sockopt::reconnect_ivl_max, limits.max_reconnect_ms);
  dealer.set(zmq::sockopt::connect_timeout, limits.connect_timeout_ms);
  dealer.set(zmq::sockopt::handshake_ivl, limits.handshake_timeout_ms);
  dealer.set(zmq::sockopt::heartbeat_ivl, limits.heartbeat_interval_ms);
  dealer.set(zmq::sockopt::heartbeat_timeout, limits.heartbeat_timeout_ms);
}

bool ReceiveBody(zmq::socket_t& router, zmq::message_t& body) {
  zmq::message_t identity;
  if (!router.recv(identity, zmq::recv_flags::dontwait)) {
    return false;
  }
  while (router.get(zmq::sockopt::rcvmore)) {
    (void)router.recv(body, zmq::recv_flags::none);
  }
  return true;
}

}  // namespace goldcrest
