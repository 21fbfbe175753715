#include "soak/soak_deployment.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include <unistd.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <catch2/catch.hpp>

#include "edge/socket_loop.h"
#include "soak/daemon_log.h"

namespace goldcrest {
namespace {

constexpr int kNetwork = 231;
constexpr unsigned kWaitMicros = 1000;
constexpr int kWaitSeconds = 10;
constexpr char kStarted[] =
    "time=2026-01-01T00:00:00.000Z event=daemon_started";
constexpr char kListening[] =
    "time=2026-01-01T00:00:00.000Z event=daemon_listening";

// A deployment of one domain with a control daemon and no workers, whose
// program is a shell script.
class ScriptedDeployment {
 public:
  // The program runs `script` and then waits to be killed.
  explicit ScriptedDeployment(const std::string& script)
      : folder_(std::filesystem::temp_directory_path() /
                ("soak_deployment_test." + std::to_string(getpid()))),
        deployment_(Options(folder_)) {
    const std::string program = Options(folder_).control_program;
    std::ofstream(program) << "#!/bin/sh\n" << script << "\nexec sleep 60\n";
    std::filesystem::permissions(program, std::filesystem::perms::owner_all);
    deployment_.StartAll();
  }

  ~ScriptedDeployment() { std::filesystem::remove_all(folder_); }

  SoakDeployment& operator*() { return deployment_; }
  SoakDeployment* operator->() { return &deployment_; }
  SoakDaemon& control() { return *deployment_.controls().front(); }
  bool HasDisk() { return std::filesystem::exists(Disk()); }
  std::string RelayLog() {
    std::ifstream file(folder_ / "relay.log");
    return {std::istreambuf_iterator<char>(file), {}};
  }
  std::string Disk() { return folder_ / (control().name + "-disk"); }

  void Log(const std::string& line) {
    std::ofstream(deployment_.LogPath(control()), std::ios::app)
        << line << '\n';
  }

  // Waits until the process has logged its start.
  void WaitUntilStarted() {
    while (!HasLogged(deployment_.LogPath(control()), 0, "daemon_started")) {
      usleep(kWaitMicros);
    }
  }

  // Waits until the process has ended and another one has been started.
  void WaitUntilRestarted() {
    const pid_t first = control().process;
    while (control().process == first || control().process == 0) {
      deployment_.Advance(MonotonicMicros());
      usleep(kWaitMicros);
    }
  }

 private:
  static SoakDeploymentOptions Options(const std::filesystem::path& folder) {
    SoakDeploymentOptions options;
    options.folder = folder;
    options.control_program = folder / "program";
    options.network = kNetwork;
    options.domains = {"a"};
    options.entries_per_domain = 0;
    options.workers_per_domain = 0;
    return options;
  }

  std::filesystem::path folder_;
  SoakDeployment deployment_;
};

// Seed 6215: the disk was moved away while the process was starting.
TEST_CASE("A disk refuses writes only when its daemon has read it") {
  ScriptedDeployment deployment("");
  deployment->RefuseWrites(deployment.control(), true);
  deployment->Advance(MonotonicMicros());
  CHECK(deployment.HasDisk());
  deployment.Log(kListening);
  deployment->Advance(MonotonicMicros());
  CHECK_FALSE(deployment.HasDisk());
  deployment->RefuseWrites(deployment.control(), false);
  CHECK(deployment.HasDisk());
}

TEST_CASE("A disk that has recovered meanwhile stays") {
  ScriptedDeployment deployment("");
  deployment->RefuseWrites(deployment.control(), true);
  deployment->RefuseWrites(deployment.control(), false);
  deployment.Log(kListening);
  deployment->Advance(MonotonicMicros());
  CHECK(deployment.HasDisk());
}

TEST_CASE("SIGTERM may end a process that has not logged its start") {
  ScriptedDeployment deployment("");
  deployment->Drain(deployment.control(), MonotonicMicros());
  deployment.WaitUntilRestarted();
  CHECK(deployment->violations().empty());
}

TEST_CASE("SIGTERM must not end a process that has logged its start") {
  ScriptedDeployment deployment(std::string("echo ") + kStarted);
  deployment.WaitUntilStarted();
  deployment->Drain(deployment.control(), MonotonicMicros());
  deployment.WaitUntilRestarted();
  CHECK(deployment->violations().size() == 1);
}

// The program of the deployment does not listen.
TEST_CASE("Soak deployment: a refused caller is in the daemon's history") {
  ScriptedDeployment deployment("");
  Poco::Net::StreamSocket caller(Poco::Net::SocketAddress(
      deployment->ControlAddress(deployment.control())));
  const uint16_t port = caller.address().port();
  REQUIRE(caller.poll(Poco::Timespan(kWaitSeconds, 0),
                      Poco::Net::Socket::SELECT_READ));
  deployment->TakeRelayRecords();
  const auto& refused = deployment.control().history.refused;
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].client_port == port);
  const std::string logged =
      "client=127.0.0.1:" + std::to_string(port) + " refused=1 ";
  CHECK(deployment.RelayLog().find(logged) != std::string::npos);
}

// The log of an earlier process says nothing about the present one.
TEST_CASE("Each process must log its own start") {
  ScriptedDeployment deployment(
      std::string("if [ ! -e \"$0.ran\" ]; then touch \"$0.ran\"; echo ") +
      kStarted + "; fi");
  deployment.WaitUntilStarted();
  deployment->Kill(deployment.control());
  deployment->Start(deployment.control(), false);
  deployment.WaitUntilRestarted();
  deployment->Drain(deployment.control(), MonotonicMicros());
  deployment.WaitUntilRestarted();
  CHECK(deployment->violations().empty());
}

}  // namespace
}  // namespace goldcrest
