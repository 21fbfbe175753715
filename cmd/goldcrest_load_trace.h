#ifndef CMD_GOLDCREST_LOAD_TRACE_H_
#define CMD_GOLDCREST_LOAD_TRACE_H_

// Traces of submissions: reading, writing and making them.
//
// A trace is text, one submission a line, fields separated by tabs:
//
//   at_ms  caller  team  kind  home  deadline_ms  task[,task...]
//
// where a task is "declared_ms:true_ms" and home may be "-". Lines that start
// with # are comments. A line "at_ms<TAB>cancel<TAB>N" cancels the N newest
// submissions, and "at_ms<TAB>again<TAB>N" sends the Nth newest one again.

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace goldcrest {

struct TraceTask {
  int64_t declared_ms = 0;
  int64_t true_ms = 0;
};

enum class TraceAction { kSubmit, kCancel, kAgain };

struct TraceLine {
  int64_t at_ms = 0;
  TraceAction action = TraceAction::kSubmit;
  int64_t count = 0;  // of kCancel and kAgain
  std::string caller;
  std::string team;
  std::string kind;
  std::string home;
  int64_t deadline_ms = 0;
  std::vector<TraceTask> tasks;
};

using Trace = std::vector<TraceLine>;

// What a made trace should be like.
struct TraceShape {
  // nadamani: single knells and alarms beside peals of many tasks; lonestar:
  // stock checks, proofs and warranty claims.
  std::string deployment = "nadamani";
  int64_t duration_ms = 30'000;
  int slots = 64;
  double load = 0.7;   // share of the slots
  bool rough = false;  // bursts, wrong estimates, cancellations
  uint64_t seed = 1;
  std::vector<std::string> homes;
};

// Reads a trace; the error names the line.
tl::expected<Trace, std::string> ReadTrace(const std::string& text);

// Writes a trace in the form that ReadTrace() reads.
std::string WriteTrace(const Trace& trace);

// Makes a trace.
Trace MakeTrace(const TraceShape& shape);

}  // namespace goldcrest

#endif  // CMD_GOLDCREST_LOAD_TRACE_H_
