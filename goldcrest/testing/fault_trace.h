#ifndef GOLDCREST_TESTING_FAULT_TRACE_H_
#define GOLDCREST_TESTING_FAULT_TRACE_H_

// Fault traces: the recorded actions of callers and operators and the faults
// injected into a FakeWorld, with the outcomes expected of them.
//
// A trace is text. Each line has the form "AT_US verb name=value ...", where
// AT_US is a time in microseconds. The "world" line states the options of the
// FakeWorld and "expect" lines state expected outcomes; every other line is an
// action or a fault. A FakeWorld records its actions and faults itself.
// Replaying them repeats a run exactly as long as the decisions are the same.

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

// One line of a trace. Each verb uses only some of the fields; the others keep
// their defaults.
struct TraceStep {
  Micros at = 0;
  TraceVerb verb = TraceVerb::kHeal;
  std::string target;  // a VM, a worker or a failure domain
  std::string other;   // the receiving end of a cut link
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
  // Fields of the "world" line.
  int64_t seed = 1;
  std::string shape;  // number of VMs in each domain, such as "2,2,1"
  int64_t disk_every = 3;
  double duplication = 0;
  int64_t retention_s = 120;
  // Fields of "expect" lines. The outcome "any" expects any final answer.
  std::string outcome;
  int64_t max_attempts_per_task = 1;  // maximum number of attempts of each task
};

using FaultTrace = std::vector<TraceStep>;

// Parses a trace. The error states the line number and text of the first
// invalid line.
tl::expected<FaultTrace, std::string> ReadFaultTrace(const std::string& text);

// Formats one line, without the fields that have their default value.
std::string WriteTraceStep(const TraceStep& step);

// Returns the options that the trace's "world" line states.
WorldOptions WorldOptionsOfTrace(const FaultTrace& trace);

// Performs the trace's actions and faults on `world` at their times, then runs
// it until `end`.
void ReplayFaultTrace(const FaultTrace& trace, Micros end, FakeWorld& world);

// Returns a message for each expectation of the trace that does not hold.
std::vector<std::string> FailedExpectations(const FaultTrace& trace,
                                            const FakeWorld& world);

}  // namespace goldcrest

#endif  // GOLDCREST_TESTING_FAULT_TRACE_H_
