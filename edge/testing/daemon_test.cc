#include "edge/daemon.h"

#include <sys/resource.h>

#include <future>

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include "edge/testing/loopback_deployment.h"

namespace goldcrest {
namespace {

using Socket = Poco::Net::StreamSocket;

// Sends raw bytes and returns what is received up to the end of the reply's
// headers, the end of the connection or a timeout of 2 s.
std::string Exchange(const std::string& address, const std::string& bytes) {
  std::string received;
  try {
    Socket socket{Poco::Net::SocketAddress(address)};
    socket.setReceiveTimeout(Poco::Timespan(2, 0));
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    char chunk[4096];
    for (int count = 1; count > 0 && received.size() < sizeof(chunk);) {
      count = socket.receiveBytes(chunk, sizeof(chunk));
      received.append(chunk, static_cast<size_t>(std::max(count, 0)));
      if (received.find("\r\n\r\n") != std::string::npos) {
        break;
      }
    }
  } catch (const Poco::Exception&) {
    // The daemon may close the connection; that is an expected result.
  }
  return received;
}

// Returns the bytes of a POST request.
std::string Post(const std::string& path, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST_CASE(
    "Daemon: jobs submitted at any VM for any home domain are completed") {
  LoopbackDeployment deployment(LoopbackOptions{});
  REQUIRE(deployment.WaitUntilServing());
  for (const char* vm : {"north1", "north2", "south1"}) {
    for (const char* home : {"north", "south"}) {
      const std::string id = std::string("path-") + vm + "-" + home;
      const BlockingResponse answer = deployment.Submit(
          vm, SubmissionBody({.submission_id = id, .home = home, .tasks = 20}));
      INFO(vm << " " << home << " " << answer.body);
      CHECK(answer.status == 200);
      CHECK(answer.body.find(CompleteAnswersJson(20)) != std::string::npos);
    }
  }
  for (const auto& [task, starts] : deployment.AttemptsPerTask()) {
    INFO(task);
    CHECK(starts == 1);
  }
  CHECK(deployment.AttemptsPerTask().size() == 120);
}

TEST_CASE("Daemon: concurrent copies of a submission start each task once") {
  LoopbackDeployment deployment(LoopbackOptions{});
  REQUIRE(deployment.WaitUntilServing());
  constexpr int kRounds = 10;
  constexpr int kTasks = 5;
  for (int round = 0; round < kRounds; ++round) {
    const std::string body = SubmissionBody(
        {.submission_id = "same-" + std::to_string(round), .tasks = kTasks});
    std::vector<std::future<BlockingResponse>> answers;
    for (const std::string& vm : deployment.vms()) {
      for (int copy = 0; copy < 2; ++copy) {
        answers.push_back(std::async(std::launch::async, [&, vm] {
          return deployment.Submit(vm, body);
        }));
      }
    }
    for (auto& answer : answers) {
      const BlockingResponse got = answer.get();
      INFO(got.body);
      CHECK(got.status == 200);
      CHECK(got.body.find(CompleteAnswersJson(kTasks)) != std::string::npos);
    }
  }
  const auto starts = deployment.AttemptsPerTask();
  CHECK(starts.size() == kRounds * kTasks);
  for (const auto& [task, count] : starts) {
    INFO(task);
    CHECK(count == 1);
  }
}

TEST_CASE(
    "Daemon: callers are served despite 2000 idle and half-open connections") {
  constexpr size_t kIdle = 2000;
  rlimit limit = {};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
  limit.rlim_cur = limit.rlim_max;
  REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  REQUIRE(limit.rlim_cur > 3 * kIdle);
  LoopbackDeployment deployment(
      {.failure_domains = {"north"}, .vms_per_domain = 1});
  REQUIRE(deployment.WaitUntilServing());
  const Poco::Net::SocketAddress address(deployment.AddressOf("north1"));
  const std::string half = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Le";
  std::vector<Socket> sockets;
  for (size_t i = 0; i < kIdle; ++i) {
    sockets.emplace_back(address);
    if (i % 2 == 0) {
      sockets.back().sendBytes(half.data(), static_cast<int>(half.size()));
    }
  }
  for (int i = 0; i < 20; ++i) {
    const BlockingResponse answer = deployment.Submit(
        "north1", SubmissionBody({.submission_id = "idle" + std::to_string(i),
                                  .run_ms = 50}));
    INFO(answer.body);
    CHECK(answer.status == 200);
  }
}

TEST_CASE(
    "Daemon: idle connections beyond the limit are closed for new callers") {
  LoopbackOptions options;
  options.failure_domains = {"north"};
  options.vms_per_domain = 1;
  options.http.max_connections = 50;
  LoopbackDeployment deployment(options);
  REQUIRE(deployment.WaitUntilServing());
  const Poco::Net::SocketAddress address(deployment.AddressOf("north1"));
  std::vector<Socket> sockets;
  for (int i = 0; i < 200; ++i) {
    sockets.emplace_back(address);
  }
  const BlockingResponse answer =
      deployment.Submit("north1", SubmissionBody({.submission_id = "bound"}));
  CHECK(answer.status == 200);
}

TEST_CASE(
    "Daemon: malformed requests get an error or a closed connection, and start "
    "no task") {
  LoopbackDeployment deployment(
      {.failure_domains = {"north"}, .vms_per_domain = 1});
  REQUIRE(deployment.WaitUntilServing());
  const std::string address = deployment.AddressOf("north1");
  const std::string good = SubmissionBody({.submission_id = "hostile"});
  const std::string head = "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n";
  const std::vector<std::string> hostile = {
      "\r\n\r\n",
      std::string(100, '\0'),
      std::string(64 * 1024, 'A'),
      "GET / HTTP/9.9\r\n\r\n",
      "POST /v1/jobs HTTP/1.1\r\n\r\n" + good,
      head + "Content-Length: -1\r\n\r\n" + good,
      head + "Content-Length: 99999999999999999999\r\n\r\n" + good,
      head + "Content-Length: 2000000\r\n\r\n" + good,
      head + "Content-Length: x\r\n\r\n" + good,
      head + "Transfer-Encoding: chunked\r\n\r\nZZ\r\n" + good,
      head + "Content-Length: 10\r\nTransfer-Encoding: chunked\r\n\r\n" + good,
      head + std::string(20000, 'h') + ": 1\r\n\r\n",
      Post("/v1/jobs", ""),
      Post("/v1/jobs", "null"),
      Post("/v1/jobs", "[]"),
      Post("/v1/jobs", "{}"),
      Post("/v1/jobs", std::string(100'000, '[')),
      Post("/v1/jobs", good.substr(0, good.size() - 1)),
      Post("/v1/jobs", good + good),
      Post("/v1/jobs", "{\"more\":1," + good.substr(1)),
      Post("/v1/jobs",
           std::string(good).replace(good.find("\"knell\""), 7, "\"\\ud800\"")),
      Post("/v1/jobs?wait_ms=x", good),
      Post("/v1/jobs?wait_ms=-1", good),
      Post("/v1/jobs:cancel", "{\"submission_ids\":\"all\"}"),
      Post("/v1/backend_servers", "{\"name\":7}"),
      "GET /v1/jobs/%00%2e%2e HTTP/1.1\r\nHost: x\r\n\r\n",
  };
  for (const std::string& bytes : hostile) {
    const std::string reply = Exchange(address, bytes);
    INFO(bytes.substr(0, 120) << "\n--\n" << reply);
    const bool refused = reply.empty() || reply.rfind("HTTP/1.1 4", 0) == 0;
    CHECK(refused);
  }
  CHECK(deployment.AttemptsPerTask().empty());
  // A body that is truncated by a closed connection starts no task either.
  {
    Socket socket{Poco::Net::SocketAddress(address)};
    const std::string cut = Post("/v1/jobs", good).substr(0, 150);
    socket.sendBytes(cut.data(), static_cast<int>(cut.size()));
  }
  CHECK(deployment.AttemptsPerTask().empty());
  const BlockingResponse answer = deployment.Submit("north1", good);
  INFO(answer.body);
  CHECK(answer.status == 200);
  CHECK(deployment.AttemptsPerTask().size() == 1);
}

TEST_CASE(
    "Daemon: a resubmission gets the answer after the first caller "
    "disconnected") {
  LoopbackDeployment deployment(LoopbackOptions{});
  REQUIRE(deployment.WaitUntilServing());
  const std::string body =
      SubmissionBody({.submission_id = "gone", .tasks = 3, .run_ms = 100});
  {
    const std::string bytes = Post("/v1/jobs", body);
    Socket socket{Poco::Net::SocketAddress(deployment.AddressOf("north1"))};
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    while (deployment.AttemptsPerTask().empty()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  const BlockingResponse answer = deployment.Submit("south2", body);
  INFO(answer.body);
  CHECK(answer.status == 200);
  CHECK(answer.body.find(CompleteAnswersJson(3)) != std::string::npos);
  CHECK(deployment.AttemptsPerTask().size() == 3);
  for (const auto& [task, count] : deployment.AttemptsPerTask()) {
    CHECK(count == 1);
  }
}

}  // namespace
}  // namespace goldcrest
