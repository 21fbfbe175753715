#include "soak/processes.h"

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

// Far longer than a closed connection needs to be seen as closed. The program
// runs longer still.
constexpr int kReceiveTimeoutSeconds = 5;
constexpr char kRunSeconds[] = "60";

// Returns whether the other side of a connection has closed it.
bool SeesClosedConnection(StreamSocket& socket) {
  socket.setReceiveTimeout(Poco::Timespan(kReceiveTimeoutSeconds, 0));
  char byte = 0;
  try {
    return socket.receiveBytes(&byte, 1) == 0;
  } catch (const Poco::TimeoutException&) {
    return false;
  }
}

TEST_CASE("A connection ends with its socket while a started program runs") {
  ServerSocket listener;
  listener.bind(SocketAddress("127.0.0.1:0"), false);
  listener.listen();
  StreamSocket client;
  client.connect(listener.address());
  StreamSocket server = listener.acceptConnection();
  Processes processes;
  processes.Start({"/bin/sleep", kRunSeconds}, "/dev/null");
  server.close();
  CHECK(SeesClosedConnection(client));
}

TEST_CASE("An address is free again while a started program runs") {
  ServerSocket listener;
  listener.bind(SocketAddress("127.0.0.1:0"), false);
  listener.listen();
  const SocketAddress address = listener.address();
  Processes processes;
  processes.Start({"/bin/sleep", kRunSeconds}, "/dev/null");
  listener.close();
  StreamSocket client;
  CHECK_THROWS_AS(client.connect(address), Poco::Exception);
}

}  // namespace
}  // namespace goldcrest
