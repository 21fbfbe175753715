#ifndef GOLDCREST_TESTING_FAULT_TRACE_H_
#define GOLDCREST_TESTING_FAULT_TRACE_H_

// Recorded traces of what callers, operators and faults did to a FakeWorld,
// with the outcomes that are stated for them.
//
// A trace is text. The line "world" builds the world; each other line is a
// verb with its fields, "AT_US verb name=value ...", at a time in microseconds;
// "expect" lines state outcomes. A FakeWorld records the verbs by itself, and a
// replay of them repeats a run exactly, as long as the decisions are the same.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "goldcrest/time_units.h"

namespace goldcrest {

class FakeWorld;
struct WorldOptions;

enum class TraceVerb : uint32_t {
  kSubmit,
  kCancel,
  kPut,
  kCrash,
  kStart,
  kDrain,
  kCut,
  kCutVm,
  kCutDomain,
  kHeal,
  kCrashWorker,
  kLeaveWorker,
  kReturnWorker,
  kLoss,
  kWorld,
  kExpect,
};

// One line. Each verb uses the fields that it needs.
struct TraceStep {
  Micros at = 0;
  TraceVerb verb = TraceVerb::kHeal;
  std::string target;  // a VM, a worker or a domain
  std::string other;   // the far end of a cut
  std::string id;
  std::string kind;
  std::string home;
  int64_t tasks = 1;
  int64_t run_ms = 0;
  int64_t submitted_at_ms = 0;
  int64_t version = 0;
  std::string service;
  int64_t team_limit = 0;
  int64_t keep_disk = 1;
  double loss = 0;
  // World.
  int64_t seed = 1;
  std::string shape;  // VMs of each domain, "2,2,1"
  int64_t disk_every = 3;
  double duplication = 0;
  int64_t retention_s = 120;
  // Expectations. An outcome of "any" asks for some final answer.
  std::string outcome;
  int64_t most_starts = 1;  // of each task
};

using FaultTrace = std::vector<TraceStep>;

// Reads a trace; the error names the line.
tl::expected<FaultTrace, std::string> ReadFaultTrace(const std::string& text);

// Writes one line, without fields that have their default.
std::string WriteTraceStep(const TraceStep& step);

// Returns the options of the trace's world.
WorldOptions WorldOfTrace(const FaultTrace& trace);

// Drives `world` through the trace's verbs, then runs it until `end`.
void ReplayFaultTrace(const FaultTrace& trace, Micros end, FakeWorld& world);

// Returns a sentence for each expectation of the trace that does not hold.
std::vector<std::string> BrokenExpectations(const FaultTrace& trace,
                                            const FakeWorld& world);

}  // namespace goldcrest

#endif  // GOLDCREST_TESTING_FAULT_TRACE_H_
