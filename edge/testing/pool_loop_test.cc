#include "edge/pool_loop.h"

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <catch2/catch.hpp>

#include "pool/pool_step.h"

namespace goldcrest {
namespace {

constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr int kReceiveTimeoutSeconds = 10;
// Longer than the loop reads requests after it has closed its listener.
constexpr std::chrono::milliseconds kStall{200};

// Workers that are never called.
class NoWorkers : public WorkerProtocol {
 public:
  HttpCall Encode(const WorkerOrder& /*order*/) const override { return {}; }
  WorkerAnswer Decode(const WorkerOrder& /*order*/,
                      CallEnd /*end*/,
                      const HttpResponse& /*response*/) const override {
    return {};
  }
};

// A loop with a server whose requests wait until the end, and a client.
struct WaitingServer {
  WaitingServer()
      : loop(workers),
        server(
            loop.sockets(),
            Poco::Net::SocketAddress("127.0.0.1", 0),
            HttpServerOptions(),
            [this](RequestToken, const HttpRequest&) { waits = true; },
            [](RequestToken) {}),
        client(server.address()) {
    handlers.on_event = [](const PoolEvent&) {};
    handlers.on_tick = [] {};
    handlers.close_stale = [](Micros) {};
    handlers.is_drained = [this] { return waits; };
    handlers.answer_waiting = [this] {
      HttpReply reply;
      reply.status = 503;
      server.RespondToAllWaiting(reply);
    };
    handlers.servers = {&server};
    client.setReceiveTimeout(Poco::Timespan(kReceiveTimeoutSeconds, 0));
  }

  void SendRequest() { client.sendBytes(kRequest, sizeof kRequest - 1); }

  // Returns what the client receives until its connection ends.
  std::string Receive() {
    std::string received;
    char bytes[1024];
    try {
      for (int count = client.receiveBytes(bytes, sizeof bytes); count > 0;
           count = client.receiveBytes(bytes, sizeof bytes)) {
        received.append(bytes, static_cast<size_t>(count));
      }
    } catch (const Poco::Exception&) {
      // A reset also ends the connection.
    }
    return received;
  }

  NoWorkers workers;
  PoolLoop<PoolEvent, PoolMessageReceived> loop;
  bool waits = false;
  HttpServer server;
  Poco::Net::StreamSocket client;
  PoolLoopHandlers<PoolEvent> handlers;
};

TEST_CASE("PoolLoop: a request that waits at the end is answered") {
  WaitingServer test;
  test.SendRequest();
  test.loop.Run({kMillisecond, 0}, test.handlers);
  CHECK(test.Receive().starts_with("HTTP/1.1 503"));
}

TEST_CASE("PoolLoop: a request that arrives during a last stall is answered") {
  WaitingServer test;
  test.handlers.is_drained = [] { return true; };
  bool stalled = false;
  test.handlers.on_tick = [&] {
    if (!std::exchange(stalled, true)) {
      test.SendRequest();
      std::this_thread::sleep_for(kStall);
    }
  };
  test.loop.Run({kMillisecond, 0}, test.handlers);
  CHECK(stalled);
  CHECK(test.Receive().starts_with("HTTP/1.1 503"));
}

TEST_CASE("PoolLoop: events that arrive together are acted upon once") {
  WaitingServer test;
  int events = 0;
  std::vector<int> handled;
  test.handlers.on_event = [&](const PoolEvent&) { ++events; };
  test.handlers.on_events_handled = [&] { handled.push_back(events); };
  test.handlers.is_drained = [&] { return !handled.empty(); };
  for (int i = 0; i < 3; ++i) {
    test.loop.PostEvent(PoolTimeAdvanced());
  }
  test.loop.Run({kSecond, 0}, test.handlers);
  CHECK(handled.front() == 3);
}

// Guards against a daemon that reports capacity as free which it is about to
// use.
TEST_CASE("PoolLoop: events are acted upon before the next tick") {
  WaitingServer test;
  std::string calls;
  test.handlers.on_event = [&](const PoolEvent&) { calls += 'e'; };
  test.handlers.on_events_handled = [&] { calls += 'a'; };
  test.handlers.on_tick = [&] { calls += 't'; };
  test.handlers.is_drained = [&] { return !calls.empty(); };
  test.loop.PostEvent(PoolTimeAdvanced());
  test.loop.Run({kSecond, 0}, test.handlers);
  CHECK(calls.starts_with("eata"));
}

// Guards against a daemon that takes its own delay for the silence of others:
// the tick finds out which of them have not been heard.
TEST_CASE(
    "PoolLoop: what arrives while the loop is busy is handled before the next "
    "tick") {
  WaitingServer test;
  int events = 0;
  std::vector<int> before_tick;
  test.handlers.on_event = [&](const PoolEvent&) {
    if (++events == 1) {
      test.loop.PostEvent(PoolTimeAdvanced());
      std::this_thread::sleep_for(kStall);
    }
  };
  test.handlers.on_tick = [&] { before_tick.push_back(events); };
  test.handlers.is_drained = [&] { return !before_tick.empty(); };
  test.loop.PostEvent(PoolTimeAdvanced());
  test.loop.Run({kMillisecond, 0}, test.handlers);
  CHECK(before_tick.front() == 2);
}

constexpr Micros kOrderTimeout = 400 * kMillisecond;
// Longer than an order may take.
constexpr std::chrono::milliseconds kLongStall{600};
// Long enough for the loop to read once more.
constexpr std::chrono::milliseconds kShortStall{50};

// Answers are done if there is a response, else there is none.
class OneWorker : public WorkerProtocol {
 public:
  explicit OneWorker(std::string address) : address_(std::move(address)) {}
  HttpCall Encode(const WorkerOrder& /*order*/) const override {
    HttpCall call;
    call.address = address_;
    call.method = "GET";
    call.path = "/";
    call.timeout = kOrderTimeout;
    return call;
  }
  WorkerAnswer Decode(const WorkerOrder& order,
                      CallEnd end,
                      const HttpResponse& /*response*/) const override {
    WorkerAnswer answer;
    answer.order = order;
    answer.outcome = end == CallEnd::kResponse ? OrderOutcome::kDone
                                               : OrderOutcome::kNoAnswer;
    return answer;
  }

 private:
  std::string address_;
};

TEST_CASE(
    "PoolLoop: an answer that arrives in time, while the loop is busy, is not "
    "counted as missing") {
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  const OneWorker workers(listener.address().toString());
  PoolLoop<PoolEvent, PoolMessageReceived> loop(workers);
  std::optional<OrderOutcome> outcome;
  std::atomic<bool> busy{false};
  PoolLoopHandlers<PoolEvent> handlers;
  // The first event makes the loop read once more; the answer comes while the
  // second one, found by that, is handled.
  bool first = true;
  handlers.on_event = [&](const PoolEvent& event) {
    if (const auto* answer = std::get_if<WorkerAnswer>(&event)) {
      outcome = answer->outcome;
    } else if (std::exchange(first, false)) {
      loop.PostEvent(PoolTimeAdvanced());
      std::this_thread::sleep_for(kShortStall);
    } else {
      busy = true;
      std::this_thread::sleep_for(kLongStall);
    }
  };
  handlers.on_tick = [] {};
  handlers.close_stale = [](Micros) {};
  handlers.is_drained = [&] { return outcome.has_value(); };
  std::thread worker([&] {
    Poco::Net::StreamSocket connection = listener.acceptConnection();
    char bytes[1024];
    connection.receiveBytes(bytes, sizeof bytes);
    loop.PostEvent(PoolTimeAdvanced());
    while (!busy) {
      std::this_thread::yield();
    }
    constexpr char kResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    connection.sendBytes(kResponse, sizeof kResponse - 1);
  });
  SendOrder order;
  loop.Send(order);
  loop.Run({kMillisecond, 0}, handlers);
  CHECK(busy.exchange(true));  // the worker waits for it
  worker.join();
  CHECK(outcome == OrderOutcome::kDone);
}

// Guards against a daemon that counts an order as unanswered which it has just
// sent: its connection was open long before the loop found out.
TEST_CASE(
    "PoolLoop: the time for an answer begins when the order has been sent") {
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  const OneWorker workers(listener.address().toString());
  PoolLoop<PoolEvent, PoolMessageReceived> loop(workers);
  std::optional<OrderOutcome> outcome;
  PoolLoopHandlers<PoolEvent> handlers;
  handlers.on_event = [&](const PoolEvent& event) {
    if (const auto* answer = std::get_if<WorkerAnswer>(&event)) {
      outcome = answer->outcome;
      return;
    }
    SendOrder order;
    loop.Send(order);
    std::this_thread::sleep_for(kLongStall);
  };
  handlers.on_tick = [] {};
  handlers.close_stale = [](Micros) {};
  handlers.is_drained = [&] { return outcome.has_value(); };
  std::thread worker([&] {
    Poco::Net::StreamSocket connection = listener.acceptConnection();
    char bytes[1024];
    if (connection.receiveBytes(bytes, sizeof bytes) > 0) {
      constexpr char kResponse[] =
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      connection.sendBytes(kResponse, sizeof kResponse - 1);
    }
  });
  loop.PostEvent(PoolTimeAdvanced());
  loop.Run({kMillisecond, 0}, handlers);
  worker.join();
  CHECK(outcome == OrderOutcome::kDone);
}

}  // namespace
}  // namespace goldcrest
