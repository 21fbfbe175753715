// Tests of the limits of a process on its HTTP connections: the budget that all
// servers share, who is closed first, and how the machine is divided.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <catch2/catch.hpp>

#include "edge/caller_limits.h"
#include "edge/http_server.h"
#include "edge/machine_limits.h"

namespace goldcrest {
namespace {

constexpr size_t kMegabyte = 1024 * 1024;

// A holder of buffers of given weights, one byte each.
class FakeHolder : public BufferBudget::Holder {
 public:
  FakeHolder(BufferBudget& budget, std::vector<uint64_t> weights)
      : budget_(budget), weights_(std::move(weights)) {
    budget_.Add(this);
  }
  ~FakeHolder() override { budget_.Remove(this); }

  uint64_t HeaviestBuffer() const override {
    return weights_.empty() ? 0 : weights_.back();
  }
  void DropHeaviestBuffer() override {
    weights_.pop_back();
    budget_.Release(1);
  }
  size_t size() const { return weights_.size(); }

 private:
  BufferBudget& budget_;
  std::vector<uint64_t> weights_;  // in rising order
};

// Guards against a server that gives up its buffers while another one holds
// heavier ones, and against a budget that is exceeded.
TEST_CASE("BufferBudget: the heaviest buffers of all holders make room") {
  BufferBudget budget(5);
  FakeHolder light(budget, {1, 2});
  FakeHolder heavy(budget, {3, 4, 5});
  REQUIRE(budget.Reserve(5));
  REQUIRE(budget.Reserve(2));
  CHECK(light.size() == 2);
  CHECK(heavy.size() == 1);
  CHECK(budget.used() == 5);
  CHECK_FALSE(budget.Reserve(6));
  REQUIRE(budget.Reserve(3));
  CHECK(light.size() + heavy.size() == 0);
  CHECK_FALSE(budget.Reserve(1));
  CHECK(budget.peak() == 5);
  budget.Release(5);
  CHECK(budget.Reserve(5));
}

// Clients of a server whose connections are bounded.
struct BoundedServer {
  explicit BoundedServer(size_t buffer_bytes, size_t max_connections = 100)
      : budget(buffer_bytes),
        server(
            loop,
            Poco::Net::SocketAddress("127.0.0.1", 0),
            BoundedServerOptions("test", max_connections, kMegabyte, budget),
            [this](RequestToken token, const HttpRequest& request) {
              ++requests;
              if (request.path == "/") {
                server.Respond(token, reply);
              }
            },
            [](RequestToken) {}) {}

  Poco::Net::StreamSocket Connect(const std::string& bytes) {
    Poco::Net::StreamSocket client(server.address());
    client.setBlocking(false);
    SendTo(client, bytes);
    return client;
  }

  // Sends `bytes` while the server reads.
  void SendTo(Poco::Net::StreamSocket& client, const std::string& bytes) {
    size_t sent = 0;
    for (int turn = 0; turn < 2000 && sent < bytes.size(); ++turn) {
      try {
        const int count = client.sendBytes(
            bytes.data() + sent, static_cast<int>(bytes.size() - sent));
        sent += static_cast<size_t>(std::max(count, 0));
      } catch (const Poco::Exception&) {
        // full, or closed by the server
      }
      loop.Poll(0);
    }
    Run();
  }

  void Run() {
    for (int turn = 0; turn < 20; ++turn) {
      loop.Poll(kMillisecond);
    }
  }

  uint64_t Closed(CloseReason reason) const {
    return server.counters().closed[static_cast<size_t>(reason)];
  }

  SocketLoop loop;
  BufferBudget budget;
  HttpReply reply;
  int requests = 0;
  HttpServer server;
};

std::string PostOf(size_t announced, size_t sent) {
  return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(announced) +
         "\r\n\r\n" + std::string(sent, 'x');
}

std::string Receive(BoundedServer& test, Poco::Net::StreamSocket& client) {
  test.Run();
  client.setBlocking(true);
  client.setReceiveTimeout(Poco::Timespan(0, 200'000));
  std::string received;
  char bytes[4096];
  try {
    for (int count = 1; count > 0;) {
      count = client.receiveBytes(bytes, sizeof bytes);
      received.append(bytes, static_cast<size_t>(count));
    }
  } catch (const Poco::Exception&) {
    // no more bytes now, or the connection was reset
  }
  return received;
}

// Guards against requests that never end and take the room of those that do.
TEST_CASE("HttpServer: stalled requests make room for one that goes on") {
  BoundedServer test(kMegabyte);
  std::vector<Poco::Net::StreamSocket> stalled;
  for (int i = 0; i < 5; ++i) {
    stalled.push_back(test.Connect(PostOf(300'000, 299'000)));
    CHECK(test.budget.used() <= test.budget.limit());
  }
  CHECK(test.Closed(CloseReason::kBufferLimit) >= 2);
  Poco::Net::StreamSocket whole = test.Connect(PostOf(300'000, 300'000));
  CHECK(Receive(test, whole).starts_with("HTTP/1.1 200"));
  CHECK(test.requests == 1);
}

// Guards against a budget that small requests need: they are served while
// others hold all of it.
TEST_CASE("HttpServer: ordinary requests need no room in the budget") {
  BoundedServer test(kMegabyte);
  const Poco::Net::StreamSocket waiting =
      test.Connect("POST /wait HTTP/1.1\r\nContent-Length: 500000\r\n\r\n" +
                   std::string(500'000, 'x'));
  const Poco::Net::StreamSocket another =
      test.Connect("POST /wait HTTP/1.1\r\nContent-Length: 500000\r\n\r\n" +
                   std::string(500'000, 'x'));
  REQUIRE(test.requests == 2);
  Poco::Net::StreamSocket large = test.Connect(PostOf(300'000, 300'000));
  const std::string refused = Receive(test, large);
  CHECK(refused.starts_with("HTTP/1.1 503"));
  CHECK(refused.find("Retry-After") != std::string::npos);
  CHECK(test.requests == 2);
  Poco::Net::StreamSocket ordinary = test.Connect(PostOf(2000, 2000));
  CHECK(Receive(test, ordinary).starts_with("HTTP/1.1 200"));
}

// Guards against room that closed, answered and lingering connections keep.
TEST_CASE("HttpServer: all room is given back") {
  BoundedServer test(4 * kMegabyte);
  {
    const auto left = test.Connect(PostOf(900'000, 800'000));
    CHECK(test.budget.used() >= 800'000 - kFreeBytesPerConnection);
  }
  test.Run();
  CHECK(test.budget.used() == 0);
  const auto answered = test.Connect(PostOf(900'000, 900'000));
  CHECK(test.requests == 1);
  CHECK(test.budget.used() == 0);
  const auto bad = test.Connect(PostOf(2 * kMegabyte, 900'000));
  CHECK(test.budget.used() == 0);
}

// Guards against replies that clients do not read.
TEST_CASE("HttpServer: replies that are not read are bounded") {
  BoundedServer test(kMegabyte);
  test.reply.body = std::string(400'000, 'r');
  std::vector<Poco::Net::StreamSocket> clients;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(test.Connect("GET / HTTP/1.1\r\n\r\n"));
    CHECK(test.budget.used() <= test.budget.limit());
  }
  CHECK(test.Closed(CloseReason::kBufferLimit) >= 3);
}

// Guards against a limit on connections that is exceeded when none may be
// closed, and against closing requests that wait.
TEST_CASE("HttpServer: a new connection finds no room beside waiting ones") {
  BoundedServer test(kMegabyte, 4);
  std::vector<Poco::Net::StreamSocket> waiting;
  for (int i = 0; i < 4; ++i) {
    waiting.push_back(test.Connect("GET /wait HTTP/1.1\r\n\r\n"));
  }
  const auto fifth = test.Connect("GET /wait HTTP/1.1\r\n\r\n");
  CHECK(test.requests == 4);
  CHECK(test.server.connections() == 4);
  CHECK(test.Closed(CloseReason::kNoRoom) == 1);
}

// Guards against a client that occupies the loop with many requests at once.
TEST_CASE("HttpServer: requests in one write are handled over several turns") {
  BoundedServer test(kMegabyte);
  std::string requests;
  for (int i = 0; i < 200; ++i) {
    requests += "GET / HTTP/1.1\r\n\r\n";
  }
  Poco::Net::StreamSocket client(test.server.address());
  client.sendBytes(requests.data(), static_cast<int>(requests.size()));
  client.setBlocking(false);
  int most = 0;
  for (int turn = 0; turn < 200; ++turn) {
    const int before = test.requests;
    test.loop.Poll(kMillisecond);
    most = std::max(most, test.requests - before);
    char replies[64 * 1024];
    client.receiveBytes(replies, sizeof replies);
  }
  CHECK(test.requests == 200);
  CHECK(most <= 20);
}

// Guards against limits of a configuration that are read and not applied.
TEST_CASE("HttpServer: new limits hold for the next request") {
  BoundedServer test(kMegabyte);
  test.server.SetLimits({1024, 1000}, kSecond, kSecond);
  Poco::Net::StreamSocket large = test.Connect(PostOf(1001, 10));
  CHECK(Receive(test, large).starts_with("HTTP/1.1 413"));
  Poco::Net::StreamSocket slow = test.Connect("GET / HTTP/1.1\r\n");
  test.server.CloseStale(MonotonicMicros() + 1500 * kMillisecond);
  CHECK(test.Closed(CloseReason::kRequestTimeout) == 1);
}

// Guards against parts of a machine that are more than the whole.
TEST_CASE("ShareForHttp: leaves memory and descriptors for the process") {
  for (const size_t memory_mb : {32, 64, 120, 160, 260, 640, 4096}) {
    for (const size_t descriptors : {256, 400, 3075, 4100, 10'250, 1'000'000}) {
      CAPTURE(memory_mb, descriptors);
      const MachineLimits machine = {memory_mb * kMegabyte, descriptors};
      const HttpShare share = ShareForHttp(machine);
      // The largest request of the protocol, and some connections besides
      // those of the platform.
      CHECK(share.buffer_bytes / 4 >= 262'144);
      CHECK(share.connections > 2 * kPlatformConnections + 32);
      CHECK(share.connections + 64 < descriptors);
      CHECK(share.connections * 48 * 1024 + share.buffer_bytes <=
            machine.memory_bytes * 3 / 4);
    }
  }
}

// Guards against limits that a machine cannot bear, or that no request meets.
TEST_CASE("CallerLimitsOf: the configuration's limits within the machine's") {
  wire::Routing routing;
  CallerLimits limits = CallerLimitsOf(routing, 40 * kMegabyte);
  CHECK(limits.http.max_header_bytes == 16 * 1024);
  CHECK(limits.http.max_body_bytes == kDefaultMaxBodyBytes);
  routing.set_max_header_bytes(8000);
  routing.set_max_body_bytes(262'144);
  routing.set_header_timeout_ms(3000);
  routing.set_idle_timeout_ms(15'000);
  limits = CallerLimitsOf(routing, 40 * kMegabyte);
  CHECK(limits.http.max_header_bytes == 8000);
  CHECK(limits.http.max_body_bytes == 262'144);
  CHECK(limits.header_timeout == 3 * kSecond);
  CHECK(limits.idle_timeout >= 15 * kSecond);
  CHECK(limits.idle_timeout <= 16 * kSecond);
  routing.set_max_body_bytes(uint64_t{1} << 40);
  routing.set_max_header_bytes(uint64_t{1} << 40);
  routing.set_header_timeout_ms(1);
  limits = CallerLimitsOf(routing, 40 * kMegabyte);
  CHECK(limits.http.max_body_bytes == 10 * kMegabyte);
  CHECK(limits.http.max_header_bytes <= kMegabyte);
  CHECK(limits.header_timeout >= 100 * kMillisecond);
}

}  // namespace
}  // namespace goldcrest
