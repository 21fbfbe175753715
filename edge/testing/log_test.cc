// Logging is bounded in volume and never blocks on its reader.

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

#include <catch2/catch.hpp>

#include "edge/log_limiter.h"
#include "edge/log_writer.h"

namespace goldcrest {
namespace {

TEST_CASE("LogLimiter: a flood of one event does not suppress other events") {
  LogLimiterOptions options;
  options.routine_per_second = 10;
  options.routine_burst = 20;
  options.failure_per_second = 100;
  options.failure_burst = 200;
  LogLimiter limiter(options);
  int routine = 0;
  int failures = 0;
  for (int i = 0; i < 500; ++i) {
    routine += limiter.Admit("job_sent", LogLevel::kInfo, 0) ? 1 : 0;
    failures += limiter.Admit("job_refused", LogLevel::kWarning, 0) ? 1 : 0;
  }
  CHECK(routine == 20);
  CHECK(failures == 200);
  CHECK(limiter.Admit("drain_started", LogLevel::kInfo, 0) == 0);
  CHECK(limiter.suppressed() == 780);
}

TEST_CASE(
    "LogLimiter: the next admitted line reports the number of suppressed "
    "lines") {
  LogLimiterOptions options;
  options.routine_per_second = 1;
  options.routine_burst = 1;
  LogLimiter limiter(options);
  CHECK(limiter.Admit("job_sent", LogLevel::kInfo, 0) == 0);
  CHECK_FALSE(limiter.Admit("job_sent", LogLevel::kInfo, 1).has_value());
  CHECK_FALSE(limiter.Admit("job_sent", LogLevel::kInfo, 2).has_value());
  CHECK(limiter.Admit("job_sent", LogLevel::kInfo, 2 * kSecond) == 2);
}

TEST_CASE(
    "LogWriter: without a reader, lines are dropped and writes don't block") {
  std::array<int, 2> ends = {};
  REQUIRE(pipe(ends.data()) == 0);
  {
    LogWriter writer(ends[1], 16 * 1024);
    const std::string line(100, 'x');
    for (int i = 0; i < 20'000; ++i) {
      writer.Write(line);  // a blocking write would hang at the pipe's 64 KiB
    }
    CHECK(writer.dropped() > 10'000);
    // The lines accepted by the pipe and the buffer are read back complete.
    std::string all;
    std::array<char, 4096> bytes = {};
    while (all.size() < 60'000) {
      const ssize_t count = read(ends[0], bytes.data(), bytes.size());
      REQUIRE(count > 0);
      all.append(bytes.data(), static_cast<size_t>(count));
    }
    CHECK(all.substr(0, 101) == line + '\n');
    writer.Flush();
    writer.Write("after");
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    ssize_t count = 0;
    while ((count = read(ends[0], bytes.data(), bytes.size())) > 0) {
      all.append(bytes.data(), static_cast<size_t>(count));
      writer.Flush();
    }
    CHECK(all.find("after dropped_before=") != std::string::npos);
  }
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace goldcrest
