#include "edge/testing/relay.h"

#include <string>
#include <vector>

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
