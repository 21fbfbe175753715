#include "edge/http_client.h"

#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

namespace goldcrest {
namespace {

constexpr Micros kIdleTimeout = 100 * kMillisecond;
// Longer than that.
constexpr std::chrono::milliseconds kFreeze{200};
constexpr Micros kPollTime = 10 * kMillisecond;

// Accepts a connection, answers one request on it and closes it.
void ServeOne(Poco::Net::ServerSocket& listener) {
  constexpr char kResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  char bytes[1024];
  Poco::Net::StreamSocket connection = listener.acceptConnection();
  if (connection.receiveBytes(bytes, sizeof bytes) > 0) {
    connection.sendBytes(kResponse, sizeof kResponse - 1);
  }
}

CallEnd CallAndWait(SocketLoop& loop,
                    HttpClient& client,
                    const std::string& address) {
  std::optional<CallEnd> end;
  HttpCall call;
  call.address = address;
  call.method = "GET";
  call.path = "/";
  client.Call(call, [&](CallEnd ended, const HttpResponse&) { end = ended; });
  while (!end) {
    loop.Poll(kPollTime);
  }
  return *end;
}

// Guards against a daemon that was frozen and takes the closed connection for a
// server that crashed under its request.
TEST_CASE(
    "HttpClient: a connection that was idle for too long is not used again, "
    "although the loop has not run since") {
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::thread server([&] {
    ServeOne(listener);
    ServeOne(listener);
  });
  SocketLoop loop;
  HttpClientOptions options;
  options.idle_timeout = kIdleTimeout;
  HttpClient client(loop, options);
  const std::string address = listener.address().toString();
  CHECK(CallAndWait(loop, client, address) == CallEnd::kResponse);
  std::this_thread::sleep_for(kFreeze);
  const CallEnd second = CallAndWait(loop, client, address);
  CHECK(second == CallEnd::kResponse);
  if (second != CallEnd::kResponse) {
    CallAndWait(loop, client, address);  // the server waits for it
  }
  server.join();
}

}  // namespace
}  // namespace goldcrest
