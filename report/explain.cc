#include "report/explain.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

namespace goldcrest {
namespace {

// Length of the prefix of a timestamp that gives it in whole seconds. Context
// lines belong to a job's timeline if they fall between the seconds of its
// first and last line, both inclusive.
constexpr size_t kSecondsPrefixLength = sizeof("2026-12-04T10:15:00") - 1;

// Events that can explain an outcome, the most specific first. Only lines that
// mention the job are searched for them.
constexpr std::array<std::string_view, 10> kCauseEvents = {
    "task_crash",         "job_refused",    "job_not_taken",
    "straggler_stopped",  "start_rejected", "run_ended",
    "worker_ejected",     "job_ended",      "job_answered",
    "control_daemon_lost"};

// Events about daemons and workers that may have affected a job.
constexpr std::array<std::string_view, 11> kContextEvents = {
    "worker_lost",         "worker_crash_withdrawn", "worker_ejected",
    "worker_settling",     "worker_session_ended",   "worker_process_gone",
    "control_daemon_lost", "control_daemon_back",    "process_was_paused",
    "drain_started",       "daemon_started"};

// Reads a value that may be quoted. Returns the position after it.
size_t ReadValue(const std::string& line, size_t position, std::string& value) {
  if (position >= line.size() || line[position] != '"') {
    const size_t end = std::min(line.find(' ', position), line.size());
    value = line.substr(position, end - position);
    return end;
  }
  for (++position; position < line.size() && line[position] != '"';
       ++position) {
    if (line[position] == '\\' && position + 1 < line.size()) {
      ++position;
    }
    value += line[position];
  }
  return position + 1;
}

// Returns true if a field of the row is the job `id` or one of its tasks, which
// are logged as the job id and "/" and the rest of the task name.
bool MentionsJob(const LogRow& row, const std::string& id) {
  return std::any_of(
      row.fields.begin(), row.fields.end(), [&](const auto& field) {
        return field.second == id || field.second.starts_with(id + "/");
      });
}

std::string FieldOf(const LogRow& row, const std::string& name) {
  const auto found = row.fields.find(name);
  return found == row.fields.end() ? "" : found->second;
}

bool IsContextEvent(const LogRow& row) {
  return std::find(kContextEvents.begin(), kContextEvents.end(), row.event) !=
         kContextEvents.end();
}

// Returns the names of the daemons and workers that the rows mention.
std::set<std::string> FindDaemonsAndWorkers(const std::vector<LogRow>& rows) {
  std::set<std::string> daemons_and_workers;
  for (const LogRow& row : rows) {
    daemons_and_workers.insert(row.vm);
    for (const char* name : {"worker", "control", "to"}) {
      daemons_and_workers.insert(FieldOf(row, name));
    }
  }
  daemons_and_workers.erase("");
  return daemons_and_workers;
}

// Returns true if the row is about one of `daemons_and_workers`: its worker if
// it has one, else its VM or address.
bool IsAboutAny(const LogRow& row,
                const std::set<std::string>& daemons_and_workers) {
  const std::string worker = FieldOf(row, "worker");
  if (!worker.empty()) {
    return daemons_and_workers.contains(worker);
  }
  return daemons_and_workers.contains(row.vm) ||
         daemons_and_workers.contains(FieldOf(row, "address"));
}

// Describes the first warning or error, in the order of the rows, with the most
// specific event. Returns an empty string if there is none.
std::string FindCause(const std::vector<LogRow>& job_rows) {
  for (const std::string_view event : kCauseEvents) {
    for (const LogRow& row : job_rows) {
      const bool failure = row.level == "warning" || row.level == "error";
      if (row.event != event || !failure) {
        continue;
      }
      std::string reason = FieldOf(row, "reason");
      reason += reason.empty() ? FieldOf(row, "outcome") : "";
      reason += reason.empty() ? FieldOf(row, "end") : "";
      return row.event + (reason.empty() ? "" : ": " + reason) + " at " +
             row.vm;
    }
  }
  return "";
}

}  // namespace

bool ParseLogRow(const std::string& line, LogRow& row) {
  size_t position = line.find("time=");
  if (position == std::string::npos) {
    return false;
  }
  row.text = line.substr(position);
  while (position < line.size()) {
    const size_t equals = line.find('=', position);
    if (equals == std::string::npos) {
      break;
    }
    const std::string key = line.substr(position, equals - position);
    std::string value;
    position = ReadValue(line, equals + 1, value) + 1;
    if (key == "time") {
      row.time = value;
    } else if (key == "vm") {
      row.vm = value;
    } else if (key == "event") {
      row.event = value;
    } else if (key == "level") {
      row.level = value;
    } else {
      row.fields[key] = value;
    }
  }
  return !row.time.empty() && !row.event.empty();
}

JobTimeline BuildJobTimeline(const std::string& id,
                             const std::vector<std::string>& lines) {
  JobTimeline timeline;
  std::vector<LogRow> context_rows;
  for (const std::string& line : lines) {
    LogRow row;
    if (!ParseLogRow(line, row)) {
      ++timeline.unparsed_lines;
    } else if (MentionsJob(row, id)) {
      timeline.rows.push_back(std::move(row));
    } else if (IsContextEvent(row)) {
      context_rows.push_back(std::move(row));
    }
  }
  timeline.cause = FindCause(timeline.rows);
  if (timeline.rows.empty()) {
    return timeline;
  }
  const auto by_time = [](const LogRow& a, const LogRow& b) {
    return a.time < b.time;
  };
  std::stable_sort(timeline.rows.begin(), timeline.rows.end(), by_time);
  const std::set<std::string> daemons_and_workers =
      FindDaemonsAndWorkers(timeline.rows);
  const std::string first =
      timeline.rows.front().time.substr(0, kSecondsPrefixLength);
  const std::string last =
      timeline.rows.back().time.substr(0, kSecondsPrefixLength);
  for (LogRow& row : context_rows) {
    const std::string second = row.time.substr(0, kSecondsPrefixLength);
    if (second >= first && second <= last &&
        IsAboutAny(row, daemons_and_workers)) {
      timeline.rows.push_back(std::move(row));
    }
  }
  std::stable_sort(timeline.rows.begin(), timeline.rows.end(), by_time);
  return timeline;
}

namespace {

// Returns a line for each crash of a worker under a task of the job.
std::string CrashLines(const JobTimeline& timeline) {
  std::string text;
  for (const LogRow& row : timeline.rows) {
    if (row.event != "task_crash") {
      continue;
    }
    const bool alone = FieldOf(row, "alone") == "1";
    text += "crash " + FieldOf(row, "crashes") + " of " +
            FieldOf(row, "limit") + ": task " + FieldOf(row, "task") + " was " +
            (alone ? "alone" : "with others") + " on worker " +
            FieldOf(row, "address") + " at " + row.time + ": " +
            FieldOf(row, "outcome") + '\n';
  }
  return text;
}

}  // namespace

std::string JobTimelineText(const std::string& id,
                            const JobTimeline& timeline) {
  std::string text;
  for (const LogRow& row : timeline.rows) {
    text += row.text + '\n';
  }
  text += CrashLines(timeline);
  text += "job " + id + ": " + std::to_string(timeline.rows.size()) +
          " lines; cause: " +
          (timeline.cause.empty() ? "not logged" : timeline.cause);
  text += '\n';
  if (timeline.unparsed_lines > 0) {
    text += std::to_string(timeline.unparsed_lines) +
            " lines could not be parsed\n";
  }
  return text;
}

}  // namespace goldcrest
