// Tests replies that are longer than the socket's send buffer: the server must
// send the rest whenever the client has read a part.

#include <atomic>
#include <string>
#include <thread>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include "edge/http_server.h"

namespace goldcrest {
namespace {

constexpr size_t kReplyBytes = 16 * 1024 * 1024;

TEST_CASE("HttpServer: a slow reader receives a long reply completely") {
  SocketLoop loop;
  HttpServer* responder = nullptr;
  HttpServer server(
      loop, Poco::Net::SocketAddress("127.0.0.1", 0), HttpServerOptions(),
      [&](RequestToken token, const HttpRequest&) {
        HttpReply reply;
        reply.body = std::string(kReplyBytes, 'r');
        responder->Respond(token, reply);
      },
      [](RequestToken) {});
  responder = &server;
  Poco::Net::StreamSocket client(server.address());
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  client.sendBytes(request.data(), static_cast<int>(request.size()));
  // The server fills the socket's buffers before the client reads anything.
  for (int turn = 0; turn < 20; ++turn) {
    loop.Poll(10 * kMillisecond);
  }
  size_t received = 0;
  std::atomic<bool> ended = false;
  std::thread reader([&] {
    char bytes[64 * 1024];
    while (received < kReplyBytes) {
      const int count = client.receiveBytes(bytes, sizeof bytes);
      if (count <= 0) {
        break;
      }
      received += static_cast<size_t>(count);
    }
    ended = true;
    loop.Wake();
  });
  for (int turn = 0; turn < 2000 && !ended; ++turn) {
    loop.Poll(10 * kMillisecond);
  }
  client.shutdown();
  reader.join();
  CHECK(received >= kReplyBytes);
}

}  // namespace
}  // namespace goldcrest
