#ifndef CMD_GOLDCREST_LOAD_TRACE_H_
#define CMD_GOLDCREST_LOAD_TRACE_H_

// Reads, writes and generates traces of submissions.
//
// A trace is text, one submission a line, fields separated by tabs:
//
//   at_ms  caller  team  kind  home  deadline_ms  task[,task...]
//
// where a task is "declared_ms:true_ms", and a home of "-" means none. Lines
// that start with # are comments. A line "at_ms<TAB>cancel<TAB>N" cancels the N
// latest submissions. A line "at_ms<TAB>again<TAB>N" resubmits the Nth latest
// submission.

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace goldcrest {

// The duration of a task as declared by its caller, and as executed.
struct TraceTask {
  int64_t declared_ms = 0;
  int64_t true_ms = 0;
};

enum class TraceAction { kSubmit, kCancel, kResubmit };

// One line of a trace. The fields from `caller` on are used by kSubmit only.
struct TraceLine {
  int64_t at_ms = 0;  // since the start of the trace
  TraceAction action = TraceAction::kSubmit;
  int64_t count = 0;  // the N of kCancel and kResubmit
  std::string caller;
  std::string team;
  std::string kind;
  std::string home;
  int64_t deadline_ms = 0;  // 0: the default of the kind
  std::vector<TraceTask> tasks;
};

using Trace = std::vector<TraceLine>;

// Parameters of a generated trace.
struct TraceOptions {
  // The mix of kinds. bells: knells and alarms of one task each, and peals
  // of up to 6 tasks. orders: stock checks, proofs and warranty claims. Both
  // include large batch jobs.
  std::string mix = "bells";
  int64_t duration_ms = 30'000;
  int slots = 64;
  double load = 0.7;  // used share of the slots
  // Adds bursts, wrong estimates, cancellations and resubmissions.
  bool rough = false;
  uint64_t seed = 1;
  std::vector<std::string> homes;
};

// Parses a trace and sorts it by time. The error contains the number of the
// malformed line.
tl::expected<Trace, std::string> ReadTrace(const std::string& text);

// Formats a trace so that ReadTrace() can parse it.
std::string WriteTrace(const Trace& trace);

// Generates a trace; the same options give the same trace.
Trace GenerateTrace(const TraceOptions& shape);

}  // namespace goldcrest

#endif  // CMD_GOLDCREST_LOAD_TRACE_H_
