#include "edge/testing/relay.h"

#include <string>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <catch2/catch.hpp>

namespace goldcrest {
namespace {

using Poco::Net::ServerSocket;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

constexpr int kReceiveTimeoutSeconds = 10;

// A client and a server that are connected through a relay.
struct RelayedPair {
  RelayedPair() {
    listener.bind(SocketAddress("127.0.0.1:0"), false);
    listener.listen();
    client.connect(SocketAddress(
        relays.Add("caller", "daemon", listener.address().toString())));
    server = listener.acceptConnection();
    for (StreamSocket* socket : {&client, &server}) {
      socket->setReceiveTimeout(Poco::Timespan(kReceiveTimeoutSeconds, 0));
    }
  }

  Relays relays;
  ServerSocket listener;
  StreamSocket client;
  StreamSocket server;
};

// Sends `text`, which has arrived when this returns.
void Deliver(StreamSocket& from, StreamSocket& to, const std::string& text) {
  from.sendBytes(text.data(), static_cast<int>(text.size()));
  char bytes[64] = {};
  for (size_t received = 0; received < text.size();) {
    const int count = to.receiveBytes(bytes, sizeof bytes);
    REQUIRE(count > 0);
    received += static_cast<size_t>(count);
  }
}

// Waits until `socket` has been closed or reset by the other side.
void WaitUntilEnded(StreamSocket& socket) {
  REQUIRE(socket.poll(Poco::Timespan(kReceiveTimeoutSeconds, 0),
                      StreamSocket::SELECT_READ));
}

void WaitUntilClosed(StreamSocket& socket) {
  char byte = 0;
  CHECK(socket.receiveBytes(&byte, 1) == 0);
}

TEST_CASE("A reset records the request that waits for its reply") {
  RelayedPair pair;
  Deliver(pair.client, pair.server, "request");
  pair.relays.Reset(
      [](const std::string&, const std::string&) { return true; });
  WaitUntilClosed(pair.client);
  const std::vector<InterruptedRequest> interrupted =
      pair.relays.TakeInterruptedRequests();
  REQUIRE(interrupted.size() == 1);
  CHECK(interrupted[0].from == "caller");
  CHECK(interrupted[0].to == "daemon");
  CHECK(interrupted[0].ended_by == "reset");
  CHECK(interrupted[0].read_bytes == 7);
  CHECK(interrupted[0].unsent_bytes == 0);
  CHECK(interrupted[0].first_read_at <= interrupted[0].ended_at);
  CHECK(pair.relays.TakeInterruptedRequests().empty());
}

// Soak seed 7001 with task crashes: requests that were sent between the time
// noted for a reset and the closing of the connections had no answer.
TEST_CASE("A reset has closed the connections when it returns") {
  RelayedPair pair;
  Deliver(pair.client, pair.server, "request");
  pair.relays.Reset(
      [](const std::string&, const std::string&) { return true; });
  CHECK(pair.client.poll(Poco::Timespan(0), StreamSocket::SELECT_READ));
}

TEST_CASE("A request that the server leaves unanswered is recorded") {
  RelayedPair pair;
  Deliver(pair.client, pair.server, "request");
  pair.server.close();
  WaitUntilClosed(pair.client);
  const std::vector<InterruptedRequest> interrupted =
      pair.relays.TakeInterruptedRequests();
  REQUIRE(interrupted.size() == 1);
  CHECK(interrupted[0].ended_by == "server");
}

// Soak seed 202: requests to a daemon that had closed its listener had no
// answer, and nothing told which of their connections it had refused.
TEST_CASE("Relays: a target that does not listen is recorded as a refusal") {
  ServerSocket target;
  target.bind(SocketAddress("127.0.0.1:0"), false);  // reserves the port
  Relays relays;
  const bool sends_request = GENERATE(false, true);
  StreamSocket client(SocketAddress(
      relays.Add("caller", "daemon", target.address().toString())));
  if (sends_request) {
    try {
      client.sendBytes("request", 7);
    } catch (const Poco::Exception&) {  // the relay was faster
    }
  }
  const std::string client_address = client.address().toString();
  WaitUntilEnded(client);
  const std::vector<UnusedConnection> unused = relays.TakeUnusedConnections();
  REQUIRE(unused.size() == 1);
  CHECK(unused[0].refused);
  CHECK(unused[0].from == "caller");
  CHECK(unused[0].to == "daemon");
  CHECK(unused[0].client == client_address);
  CHECK(unused[0].target == target.address().toString());
  CHECK(unused[0].read_bytes <= 7);
  CHECK(unused[0].connect_at <= unused[0].ended_at);
  CHECK(relays.TakeUnusedConnections().empty());
}

TEST_CASE("Relays: a reset in the backlog of a listener is no refusal") {
  ServerSocket target;
  target.bind(SocketAddress("127.0.0.1:0"), false);
  target.listen();
  Relays relays;
  StreamSocket client(SocketAddress(
      relays.Add("caller", "daemon", target.address().toString())));
  REQUIRE(target.poll(Poco::Timespan(kReceiveTimeoutSeconds, 0),
                      ServerSocket::SELECT_READ));
  target.close();
  WaitUntilEnded(client);
  const std::vector<UnusedConnection> unused = relays.TakeUnusedConnections();
  REQUIRE(unused.size() == 1);
  CHECK_FALSE(unused[0].refused);
}

TEST_CASE("Relays: a target that closes after accepting is no refusal") {
  RelayedPair pair;
  pair.server.close();
  WaitUntilEnded(pair.client);
  const std::vector<UnusedConnection> unused =
      pair.relays.TakeUnusedConnections();
  REQUIRE(unused.size() == 1);
  CHECK_FALSE(unused[0].refused);
  CHECK(unused[0].ended_by == "server");
}

TEST_CASE("Relays: a connection that carried bytes is not recorded as unused") {
  RelayedPair pair;
  Deliver(pair.client, pair.server, "request");
  pair.server.close();
  WaitUntilEnded(pair.client);
  CHECK(pair.relays.TakeUnusedConnections().empty());
}

TEST_CASE("A request that has its reply is not recorded") {
  RelayedPair pair;
  Deliver(pair.client, pair.server, "request");
  Deliver(pair.server, pair.client, "reply");
  pair.server.close();
  WaitUntilClosed(pair.client);
  CHECK(pair.relays.TakeInterruptedRequests().empty());
}

}  // namespace
}  // namespace goldcrest
