#ifndef REPORT_EXPLAIN_H_
#define REPORT_EXPLAIN_H_

// The story of one request, out of the logs of several daemons.
//
// A line is key=value pairs with time= and event=. The story of a request is
// every line that names it, and the lines about the daemons and workers that
// it met, shortly before and after: a worker ejected, a control daemon lost.
// Lines that cannot be read are counted and passed over.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace goldcrest {

// One log line, split.
struct LogRow {
  std::string time;
  std::string vm;
  std::string event;
  std::string level;
  std::map<std::string, std::string> fields;  // all others
  std::string text;                           // the line as it stood
};

// Splits a line; returns false when it is no log line. Text before time= is
// passed over, so that prefixes of a log collector do no harm.
bool ParseLogRow(const std::string& line, LogRow& row);

struct Story {
  std::vector<LogRow> rows;  // in order of time
  uint64_t bad_lines = 0;
  // The row that decided the outcome in words; empty when the logs do not say.
  std::string cause;
};

// Collects the story of the job `id` from the lines of all logs.
Story Explain(const std::string& id, const std::vector<std::string>& lines);

// Returns the story as text for a person.
std::string StoryText(const std::string& id, const Story& story);

}  // namespace goldcrest

#endif  // REPORT_EXPLAIN_H_
