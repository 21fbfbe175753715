#ifndef EDGE_LOGGING_H_
#define EDGE_LOGGING_H_

// Structured logs: one line of key=value pairs for each event, by Boost.Log.
//
//   time=2026-12-04T10:15:00.123Z level=info event=worker_leased worker=w1
//
// Values with spaces, quotes or control characters are quoted. Lines go to
// standard error.

#include <string>

#include "goldcrest/action.h"

namespace goldcrest {

// Sets the lowest level that is written: debug, info, warning or error.
// Returns false for any other word. `fields` are put on every line.
bool StartLogging(const std::string& level, std::vector<LogField> fields);

// Writes one event.
void WriteLog(const LogEvent& event);

// Returns the line of `event` without time, as it is written.
std::string FormatLog(const LogEvent& event);

}  // namespace goldcrest

#endif  // EDGE_LOGGING_H_
