#include "report/explain.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

namespace goldcrest {
namespace {

// Lines about daemons and workers count for a request within this time of it.
constexpr size_t kSecondsPrefix = sizeof("2026-12-04T10:15:00") - 1;

// Events that say why, the most telling first.
constexpr std::array<std::string_view, 9> kTelling = {
    "job_refused",    "job_not_taken", "straggler_stopped",
    "start_rejected", "run_ended",     "worker_ejected",
    "job_ended",      "job_answered",  "control_daemon_lost"};

// Events about daemons and workers that may have touched a request.
constexpr std::array<std::string_view, 9> kAround = {
    "worker_ejected",      "worker_settling",     "worker_session_ended",
    "worker_process_gone", "control_daemon_lost", "control_daemon_back",
    "process_was_paused",  "drain_started",       "daemon_started"};

// Reads a value that may be quoted; returns the position behind it.
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

bool Names(const LogRow& row, const std::string& id) {
  return std::any_of(
      row.fields.begin(), row.fields.end(), [&](const auto& field) {
        return field.second == id || field.second.starts_with(id + "/");
      });
}

std::string FieldOf(const LogRow& row, const std::string& name) {
  const auto found = row.fields.find(name);
  return found == row.fields.end() ? "" : found->second;
}

bool IsAround(const LogRow& row) {
  return std::find(kAround.begin(), kAround.end(), row.event) != kAround.end();
}

// The daemons and workers that the rows name.
std::set<std::string> PartiesOf(const std::vector<LogRow>& rows) {
  std::set<std::string> parties;
  for (const LogRow& row : rows) {
    parties.insert(row.vm);
    for (const char* name : {"worker", "control", "to"}) {
      parties.insert(FieldOf(row, name));
    }
  }
  parties.erase("");
  return parties;
}

bool Touches(const LogRow& row, const std::set<std::string>& parties) {
  const std::string worker = FieldOf(row, "worker");
  if (!worker.empty()) {
    return parties.contains(worker);
  }
  return parties.contains(row.vm) || parties.contains(FieldOf(row, "address"));
}

std::string CauseOf(const std::vector<LogRow>& own) {
  for (const std::string_view event : kTelling) {
    for (const LogRow& row : own) {
      const bool failure = row.level == "warning" || row.level == "error";
      if (row.event != event || !failure) {
        continue;
      }
      std::string why = FieldOf(row, "reason");
      why += why.empty() ? FieldOf(row, "outcome") : "";
      why += why.empty() ? FieldOf(row, "end") : "";
      return row.event + (why.empty() ? "" : ": " + why) + " at " + row.vm;
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

Story Explain(const std::string& id, const std::vector<std::string>& lines) {
  Story story;
  std::vector<LogRow> others;
  for (const std::string& line : lines) {
    LogRow row;
    if (!ParseLogRow(line, row)) {
      ++story.bad_lines;
    } else if (Names(row, id)) {
      story.rows.push_back(std::move(row));
    } else if (IsAround(row)) {
      others.push_back(std::move(row));
    }
  }
  story.cause = CauseOf(story.rows);
  if (story.rows.empty()) {
    return story;
  }
  const auto by_time = [](const LogRow& a, const LogRow& b) {
    return a.time < b.time;
  };
  std::stable_sort(story.rows.begin(), story.rows.end(), by_time);
  const std::set<std::string> parties = PartiesOf(story.rows);
  const std::string first = story.rows.front().time.substr(0, kSecondsPrefix);
  const std::string last = story.rows.back().time.substr(0, kSecondsPrefix);
  for (LogRow& row : others) {
    const std::string second = row.time.substr(0, kSecondsPrefix);
    if (second >= first && second <= last && Touches(row, parties)) {
      story.rows.push_back(std::move(row));
    }
  }
  std::stable_sort(story.rows.begin(), story.rows.end(), by_time);
  return story;
}

std::string StoryText(const std::string& id, const Story& story) {
  std::string text;
  for (const LogRow& row : story.rows) {
    text += row.text + '\n';
  }
  text += "request " + id + ": " + std::to_string(story.rows.size()) +
          " lines; cause: " + (story.cause.empty() ? "none told" : story.cause);
  text += '\n';
  if (story.bad_lines > 0) {
    text += std::to_string(story.bad_lines) + " lines could not be read\n";
  }
  return text;
}

}  // namespace goldcrest
