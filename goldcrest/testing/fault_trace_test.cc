#include "goldcrest/testing/fault_trace.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "goldcrest/testing/fake_world.h"

namespace goldcrest {
namespace {

std::string ReadText(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

FaultTrace ParseTraceOrFail(const std::string& text) {
  const auto trace = ReadFaultTrace(text);
  INFO((trace ? "" : trace.error()));
  REQUIRE(trace.has_value());
  return *trace;
}

// Returns the time at which the expectations are checked.
Micros EndOf(const FaultTrace& trace) {
  return trace.back().at;
}

TEST_CASE(
    "FaultTrace: each recorded trace replays to its expected outcomes without "
    "violations") {
  const std::filesystem::path directory =
      std::filesystem::path(GOLDCREST_SOURCE_DIR) / "goldcrest/testing/traces";
  int replayed = 0;
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    INFO(entry.path().filename().string());
    const FaultTrace trace = ParseTraceOrFail(ReadText(entry.path()));
    FakeWorld world(WorldOptionsOfTrace(trace));
    ReplayFaultTrace(trace, EndOf(trace), world);
    world.CheckQuiescence();
    for (const std::string& failure : FailedExpectations(trace, world)) {
      FAIL_CHECK(failure);
    }
    for (const std::string& violation : world.violations) {
      FAIL_CHECK(violation);
    }
    ++replayed;
  }
  CHECK(replayed >= 5);
}

TEST_CASE("FaultTrace: a parsed line is formatted back to the same text") {
  const std::string line =
      "2000000 submit target=da1 id=job kind=knell home=da tasks=3 run_ms=100";
  const FaultTrace trace = ParseTraceOrFail("# a comment\n\n" + line + "\n");
  REQUIRE(trace.size() == 1);
  CHECK(WriteTraceStep(trace[0]) == line);
}

TEST_CASE("FaultTrace: the error for an invalid line states its line number") {
  for (const char* bad : {"now heal", "1 fly", "1 heal target", "1 heal x=1",
                          "1 submit tasks=many", "1"}) {
    const auto trace = ReadFaultTrace("0 heal\n" + std::string(bad));
    INFO(bad);
    REQUIRE(!trace.has_value());
    CHECK(trace.error().rfind("line 2 ", 0) == 0);
  }
}

TEST_CASE("FaultTrace: each expectation that does not hold is reported") {
  const FaultTrace trace = ParseTraceOrFail(
      "0 world shape=2,2\n"
      "3000000 submit target=da1 id=job kind=knell home=da run_ms=50\n"
      "9000000 expect id=job outcome=failed\n"
      "9000000 expect id=job outcome=complete most_starts=0\n"
      "9000000 expect id=job outcome=complete\n");
  FakeWorld world(WorldOptionsOfTrace(trace));
  ReplayFaultTrace(trace, EndOf(trace), world);
  CHECK(FailedExpectations(trace, world).size() == 2);
}

TEST_CASE("FaultTrace: replaying a recording repeats the run exactly") {
  const FaultTrace trace = ParseTraceOrFail(
      "0 world seed=5 shape=2,2 loss=0.02\n"
      "2500000 submit target=da1 id=a kind=peal tasks=4 run_ms=200\n"
      "2600000 crash target=da2\n"
      "3600000 start target=da2\n"
      "9000000 submit target=db1 id=b kind=knell home=da run_ms=50\n"
      "12000000 expect id=a outcome=complete\n");
  FakeWorld first(WorldOptionsOfTrace(trace));
  ReplayFaultTrace(trace, EndOf(trace), first);
  std::string recorded = WriteTraceStep(trace[0]) + "\n";
  for (const TraceStep& step : first.recording) {
    recorded += WriteTraceStep(step) + "\n";
  }
  FakeWorld second(WorldOptionsOfTrace(trace));
  ReplayFaultTrace(ParseTraceOrFail(recorded), EndOf(trace), second);
  REQUIRE(first.attempts().size() == second.attempts().size());
  for (size_t i = 0; i < first.attempts().size(); ++i) {
    CHECK(first.attempts()[i].started_at == second.attempts()[i].started_at);
    CHECK(first.attempts()[i].worker == second.attempts()[i].worker);
  }
  CHECK(first.messages_sent == second.messages_sent);
}

}  // namespace
}  // namespace goldcrest
