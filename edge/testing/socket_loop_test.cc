#include "edge/socket_loop.h"

#include <atomic>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>

#include "edge/http_client.h"

namespace goldcrest {

TEST_CASE("SocketLoop: no wake-up between two polls is lost") {
  SocketLoop loop;
  std::atomic<int> posted{0};
  constexpr int kPosts = 20'000;
  std::thread other([&] {
    for (int i = 0; i < kPosts; ++i) {
      ++posted;
      loop.Wake();
    }
  });
  // After a lost wake-up, a poll would wait for its whole timeout.
  int seen = 0;
  int empty_polls = 0;
  while (seen < kPosts) {
    loop.Poll(2 * kSecond);
    const int now = posted;
    empty_polls += now == seen ? 1 : 0;
    seen = now;
  }
  other.join();
  CHECK(seen == kPosts);
  // Each wake-up may cause at most one poll that finds nothing new.
  CHECK(empty_polls <= kPosts);
  loop.Wake();
  const Micros before = MonotonicMicros();
  loop.Poll(30 * kSecond);
  loop.Wake();
  loop.Poll(30 * kSecond);
  CHECK(MonotonicMicros() - before < 30 * kSecond);
}

TEST_CASE("HttpClient: a call returns the port that its server sees") {
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  SocketLoop loop;
  HttpClient client(loop, HttpClientOptions());
  HttpCall call;
  call.address = server.address().toString();
  const uint16_t port = client.Call(call, [](CallEnd, const HttpResponse&) {});
  CHECK(server.acceptConnection().peerAddress().port() == port);
}

// Guards against a name lookup, which would block the loop.
TEST_CASE("HttpClient: an address with a host name is not called") {
  const Poco::Net::ServerSocket server(
      Poco::Net::SocketAddress("127.0.0.1", 0));
  SocketLoop loop;
  HttpClient client(loop, HttpClientOptions());
  HttpCall call;
  call.method = "GET";
  call.path = "/";
  call.timeout = kSecond;
  call.address = "localhost:" + std::to_string(server.address().port());
  bool ended = false;
  client.Call(call, [&](CallEnd end, const HttpResponse&) {
    ended = true;
    CHECK(end == CallEnd::kNotSent);
  });
  CHECK(ended);
}

}  // namespace goldcrest
