#ifndef REPORT_EXPLAIN_H_
#define REPORT_EXPLAIN_H_

// Builds the timeline of one job from the logs of several daemons.
//
// A log line consists of key=value pairs, among them time= and event=. The
// timeline of a job contains every line that mentions its id. It also contains
// lines about the daemons and workers involved, such as an ejected worker or an
// unreachable control daemon, from the same period to the second. Lines that
// cannot be parsed are counted and skipped.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace goldcrest {

// One parsed log line.
struct LogRow {
  std::string time;
  std::string vm;
  std::string event;
  std::string level;
  std::map<std::string, std::string> fields;  // all other keys
  std::string text;  // the line from time= on, unparsed
};

// Parses a log line into `row`. Returns false if the line has no time or no
// event. Text before the first "time=" is skipped, so that lines prefixed by a
// log collector are accepted.
bool ParseLogRow(const std::string& line, LogRow& row);

// The timeline of one job.
struct JobTimeline {
  std::vector<LogRow> rows;     // ordered by time
  uint64_t unparsed_lines = 0;  // lines that could not be parsed
  // Description of the warning or error that most probably explains the
  // outcome, the one with the most specific event: its name, reason and VM.
  // Empty if the lines that mention the job contain none.
  std::string cause;
};

// Builds the timeline of the job `id` from the lines of all logs.
JobTimeline BuildJobTimeline(const std::string& id,
                             const std::vector<std::string>& lines);

// Formats the timeline as text for an operator.
std::string JobTimelineText(const std::string& id, const JobTimeline& timeline);

}  // namespace goldcrest

#endif  // REPORT_EXPLAIN_H_
