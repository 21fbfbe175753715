// Tests with a real process that clients which keep no limits do not end
// goldcrestd and do not exhaust its machine, and that ordinary requests are
// still served. Crowds and bounds are fixed (crowd_bounds.h).

#include <catch2/catch.hpp>

#include <filesystem>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "edge/http_client.h"
#include "edge/socket_loop.h"
#include "edge/testing/crowd.h"
#include "edge/testing/crowd_bounds.h"
#include "soak/processes.h"

namespace goldcrest {
namespace {

constexpr size_t kKilobyte = 1024;
constexpr size_t kMegabyte = 1024 * kKilobyte;
constexpr size_t kClients = 64;
constexpr Micros kPollTimeout = 2 * kMillisecond;
constexpr Micros kObservationPeriod = 20 * kMillisecond;
// How long a crowd goes on before the ordinary requests are sent.
constexpr Micros kCrowdTime = 2 * kSecond;
// Loopback addresses that other tests do not use.
constexpr char kIp[] = "127.62.1.10";
constexpr char kHttpAddress[] = "127.62.1.10:8080";
constexpr char kPeerAddress[] = "127.62.1.10:8090";
constexpr char kWorkersAddress[] = "127.62.1.11:9000";

// One goldcrestd with two workers.
class DaemonUnderTest {
 public:
  DaemonUnderTest() : client_(loop_, HttpClientOptions()) {
    const std::string build = GOLDCREST_BINARY_DIR;
    const std::string folder = build + "/daemon-crowd-data";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    std::vector<std::string> arguments = MachineFlags();
    arguments.insert(
        arguments.begin(),
        {build + "/goldcrestd", std::string("--http_address=") + kHttpAddress,
         std::string("--peer_address=") + kPeerAddress});
    process_ = processes_.Start(arguments, folder + "/goldcrestd.log");
    LimitDescriptors(process_);
    processes_.Start(
        {build + "/goldcrest_worker", std::string("--entry=") + kHttpAddress,
         std::string("--listen=") + kWorkersAddress, "--count=2"},
        folder + "/worker.log");
    if (!ServesNextJob()) {
      throw std::runtime_error("goldcrestd does not serve jobs");
    }
  }

  // Plays a crowd, with an ordinary job beside it and after it, and checks the
  // bounds.
  void Play(size_t clients, const CrowdScript& script) {
    {
      Crowd crowd(loop_, kHttpAddress, clients, script);
      const Micros until = MonotonicMicros() + kCrowdTime;
      RunUntilDone(
          [&] {
            crowd.Advance();
            RunTurn();
          },
          [&] { return MonotonicMicros() >= until; });
      CHECK(ServesNextJob());
      CHECK(crowd.connections_opened() > 0);
    }
    CHECK(ServesNextJob());
    CHECK(processes_.Reap().empty());
    CheckWithinMachine("goldcrestd", peak_);
  }

 private:
  void RunTurn() {
    loop_.Poll(kPollTimeout);
    const Micros now = MonotonicMicros();
    client_.CloseStale(now);
    if (now >= next_observation_) {
      next_observation_ = now + kObservationPeriod;
      ObserveUsage(process_, {kIp}, peak_);
    }
  }

  // Sends jobs, one after the other, until one is answered as completed.
  bool ServesNextJob() {
    served_ = false;
    waits_ = false;
    return RunUntilDone(
        [this] {
          if (!waits_) {
            SendJob();
          }
          RunTurn();
        },
        [this] { return served_; });
  }

  void SendJob() {
    waits_ = true;
    HttpCall call;
    call.address = kHttpAddress;
    call.method = "POST";
    call.path = "/v1/jobs";
    call.timeout = 3 * kSecond;
    call.body = R"({"submission_id":"crowd-)" + std::to_string(++jobs_) +
                R"(","caller":"me","team":"peal","kind":"peal",)"
                R"("tasks":[{"run_ms":20,"payload":"sleep:20"}]})";
    client_.Call(call, [this](CallEnd end, const HttpResponse& response) {
      waits_ = false;
      served_ =
          served_ || (end == CallEnd::kResponse && response.status == 200);
    });
  }

  SocketLoop loop_;
  HttpClient client_;
  Processes processes_;
  pid_t process_ = 0;
  PeakUsage peak_;
  Micros next_observation_ = 0;
  int jobs_ = 0;
  bool waits_ = false;
  bool served_ = false;
};

std::string JobHeader(size_t bytes) {
  return "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(bytes) + "\r\n\r\n";
}

CrowdScript Endless(const std::string& opening, size_t bytes) {
  return {.opening = opening, .filler = "x", .filler_bytes = bytes};
}

// Guards against a process that keeps bodies far over the limit which clients
// announce and send.
TEST_CASE("goldcrestd crowd: announced bodies over the limit") {
  DaemonUnderTest test;
  test.Play(kClients, Endless(JobHeader(1024 * kMegabyte), 8 * kMegabyte));
}

// Guards against a limit for each connection alone: bodies within it that never
// end use the memory of the process up together.
TEST_CASE("goldcrestd crowd: many bodies that never end") {
  DaemonUnderTest test;
  test.Play(kClients, Endless(JobHeader(kMegabyte), kMegabyte - 1));
}

// Guards against a process that keeps a header that never ends.
TEST_CASE("goldcrestd crowd: headers without end") {
  DaemonUnderTest test;
  test.Play(kClients, Endless("GET / HTTP/1.1\r\nX-Long: ", 8 * kMegabyte));
}

// Guards against a process that buffers for a client that asks on and on and
// reads no reply.
TEST_CASE("goldcrestd crowd: replies that are not read") {
  DaemonUnderTest test;
  CrowdScript script;
  script.filler = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
  script.filler_bytes = 4 * kMegabyte;
  script.reads_replies = false;
  test.Play(kClients, script);
}

// Guards against buffers that outlive their connections.
TEST_CASE("goldcrestd crowd: clients that leave and come again") {
  DaemonUnderTest test;
  CrowdScript script = Endless(JobHeader(1'000'000), 900 * kKilobyte);
  script.leaves_when_sent = true;
  test.Play(kClients, script);
}

// Guards against a process that has no descriptor left for ordinary callers.
TEST_CASE("goldcrestd crowd: idle connections") {
  DaemonUnderTest test;
  test.Play(kMachineDescriptors + 100, CrowdScript{});
}

}  // namespace
}  // namespace goldcrest
