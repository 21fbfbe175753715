#ifndef EDGE_LOGGING_H_
#define EDGE_LOGGING_H_

// Structured logs: one line of key=value pairs for each event, by Boost.Log.
//
//   time=2026-12-04T10:15:00.123Z level=info event=worker_leased worker=w1
//
// Values with spaces, quotes or control characters are quoted. Lines go to
// standard output, through a limiter for each event name and a writer that
// never waits for its reader; what either left out is counted and told.

#include <cstdint>
#include <string>
#include <vector>

#include "goldcrest/action.h"

namespace goldcrest {

// Sets the lowest level that is written: debug, info, warning or error.
// Returns false for any other word. `fields` are put on every line.
bool StartLogging(const std::string& level, std::vector<LogField> fields);

// Writes one event.
void WriteLog(const LogEvent& event);

// Writes what standard output did not take before. Call it now and then.
void FlushLog();

// What did not reach standard output since the start.
struct LogLosses {
  uint64_t limited = 0;  // by the rate of their event
  uint64_t dropped = 0;  // since the reader was too slow
};
LogLosses CountLogLosses();

// Returns the line of `event` without time, as it is written.
std::string FormatLog(const LogEvent& event);

}  // namespace goldcrest

#endif  // EDGE_LOGGING_H_
