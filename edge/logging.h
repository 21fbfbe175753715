#ifndef EDGE_LOGGING_H_
#define EDGE_LOGGING_H_

// Structured logs with Boost.Log: one line of key=value pairs per event.
//
//   time=2026-12-04T10:15:00.123Z level=info event=worker_leased worker=w1
//
// Empty values and values with spaces, quotes or control characters are quoted.
// Lines go to standard output, through a rate limiter per event name and a
// writer that never blocks on its reader. Lines suppressed by either are
// counted, and the count is logged with the next line.

#include <cstdint>
#include <string>
#include <vector>

#include "goldcrest/action.h"

namespace goldcrest {

// Starts logging at the lowest level `level`: debug, info, warning or error.
// Returns false for any other value. `fields` are added to every line.
bool StartLogging(const std::string& level, std::vector<LogField> fields);

// Logs one event, subject to the rate limit. Callable from any thread.
void WriteLog(const LogEvent& event);

// Writes buffered lines that standard output did not accept before. Call it
// periodically.
void FlushLog();

// Numbers of lines that did not reach standard output since the start.
struct LogLosses {
  uint64_t rate_limited = 0;  // suppressed by the rate limit of their event
  uint64_t dropped = 0;       // dropped because the reader was too slow
};
LogLosses CountLogLosses();

// Returns the log line of `event` without its time field.
std::string FormatLog(const LogEvent& event);

}  // namespace goldcrest

#endif  // EDGE_LOGGING_H_
