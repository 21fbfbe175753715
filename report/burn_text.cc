#include "report/burn_text.h"

#include <cstdio>
#include <sstream>

#include <Poco/DateTimeFormatter.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Stringifier.h>
#include <Poco/Timestamp.h>

namespace goldcrest {
namespace {

constexpr size_t kMaxRangesPrinted = 12;
constexpr size_t kIndent = 2;

// A unit of time for formatted durations.
struct LengthUnit {
  int64_t length_ms;
  const char* name;
};

constexpr LengthUnit kLengthUnits[] = {
    {24 * 60 * kMinuteMs, "d"},
    {60 * kMinuteMs, "h"},
    {kMinuteMs, "min"},
    {1000, "s"},
};

std::string Percent(double share) {
  return FormatRate(100 * share) + "%";
}

// Pads `text` with spaces to `width` columns, on the left side if `left` is
// true and else on the right.
std::string Pad(const std::string& text, size_t width, bool left) {
  const std::string spaces(width > text.size() ? width - text.size() : 0, ' ');
  return left ? spaces + text : text + spaces;
}

// Formats the latest kMaxRangesPrinted ranges of refused minutes, one a line.
std::string RangesText(const std::set<int64_t>& minutes) {
  std::string text;
  const std::vector<MinuteRange> ranges = MinuteRanges(minutes);
  const size_t shown = std::min(ranges.size(), kMaxRangesPrinted);
  for (size_t i = ranges.size() - shown; i < ranges.size(); ++i) {
    text += "    " + FormatMinute(ranges[i].first * kMinuteMs);
    if (ranges[i].last > ranges[i].first) {
      text += " to " + FormatMinute(ranges[i].last * kMinuteMs);
    }
    text += "\n";
  }
  if (shown < ranges.size()) {
    text += "    and " + std::to_string(ranges.size() - shown) +
            " earlier ranges\n";
  }
  return text;
}

std::string SeriesText(const SeriesBurn& series) {
  std::string text =
      SeriesName(series.key) + "  alert=" + std::string(ToString(series.alert));
  if (series.objective) {
    text += "  objective=" + Percent(series.objective->objective) + " within " +
            std::to_string(series.objective->target_ms) + " ms" +
            "  budget_left=" + Percent(series.budget_left);
  } else {
    text += "  objective=none (the kind is no longer declared)";
  }
  text +=
      "\n  window   burn   answers     good     slow   failed  refused  "
      "unknown  covers\n";
  for (size_t i = 0; i < kBurnWindows.size(); ++i) {
    const WindowBurn& window = series.windows[i];
    text += "  " + Pad(std::string(kBurnWindows[i].name), 6, false);
    text += Pad(FormatRate(window.rate), 7, true);
    text += Pad(std::to_string(window.answers.total()), 10, true);
    for (const uint64_t count : window.answers.by_result) {
      text += Pad(std::to_string(count), 9, true);
    }
    text += "  " + FormatDuration(window.covered_ms) + "\n";
  }
  return text;
}

using Poco::JSON::Array;
using Poco::JSON::Object;

Array RangesJson(const std::set<int64_t>& minutes) {
  Array ranges;
  for (const MinuteRange& range : MinuteRanges(minutes)) {
    Object one;
    one.set("first_minute", range.first);
    one.set("last_minute", range.last);
    ranges.add(one);
  }
  return ranges;
}

Object WindowJson(const BurnWindowRow& row, const WindowBurn& window) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("window", std::string(row.name));
  object.set("burn_rate", window.rate);
  object.set("covered_ms", window.covered_ms);
  object.set("answers", window.answers.total());
  for (size_t i = 0; i < kAnswerResultNames.size(); ++i) {
    object.set(std::string(kAnswerResultNames[i]), window.answers.by_result[i]);
  }
  return object;
}

Object SeriesJson(const SeriesBurn& series) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("kind", series.key.kind);
  object.set("failure_domain", series.key.failure_domain);
  object.set("alert", std::string(ToString(series.alert)));
  if (series.objective) {
    object.set("objective", series.objective->objective);
    object.set("target_ms", series.objective->target_ms);
    object.set("budget_left", series.budget_left);
  }
  Array windows;
  for (size_t i = 0; i < kBurnWindows.size(); ++i) {
    windows.add(WindowJson(kBurnWindows[i], series.windows[i]));
  }
  object.set("windows", windows);
  object.set("refused_minutes", series.refused_minutes.size());
  object.set("refused_ranges", RangesJson(series.refused_minutes));
  return object;
}

Object VmJson(const VmLatestSnapshot& vm) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("vm", vm.vm);
  object.set("failure_domain", vm.failure_domain);
  object.set("seen_wall_ms", vm.wall_ms);
  object.set("started_wall_ms", vm.started_wall_ms);
  return object;
}

}  // namespace

std::vector<MinuteRange> MinuteRanges(const std::set<int64_t>& minutes) {
  std::vector<MinuteRange> ranges;
  for (const int64_t minute : minutes) {
    if (!ranges.empty() && ranges.back().last + 1 == minute) {
      ranges.back().last = minute;
    } else {
      ranges.push_back({minute, minute});
    }
  }
  return ranges;
}

std::string FormatMinute(int64_t wall_ms) {
  const Poco::Timestamp time(wall_ms * 1000);
  return Poco::DateTimeFormatter::format(time, "%Y-%m-%d %H:%M");
}

std::string FormatDuration(int64_t length_ms) {
  for (const LengthUnit& unit : kLengthUnits) {
    if (length_ms >= unit.length_ms) {
      return FormatRate(static_cast<double>(length_ms) /
                        static_cast<double>(unit.length_ms)) +
             unit.name;
    }
  }
  return std::to_string(length_ms) + "ms";
}

std::string FormatRate(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.*f",
                value >= 100 || value <= -100 ? 0 : 2, value);
  return text;
}

std::string SeriesName(const SeriesKey& key) {
  return key.kind + " at " + key.failure_domain;
}

std::string BurnText(const BurnReport& report) {
  if (report.vms.empty()) {
    return "No snapshots.\n";
  }
  std::string text = "Service-level burn, " +
                     FormatMinute(report.from_wall_ms) + " to " +
                     FormatMinute(report.to_wall_ms) + " UTC, " +
                     std::to_string(report.vms.size()) + " VMs\n";
  text +=
      "Most severe alert: " + std::string(ToString(MostSevereAlert(report))) +
      "\nRefused minutes: " + std::to_string(report.refused_minutes.size()) +
      "\n\n";
  for (const SeriesBurn& series : report.series) {
    text += SeriesText(series) + "\n";
  }
  text += "Refused minutes by failure domain\n";
  for (const DomainRefusedMinutes& domain : report.domains) {
    text += std::string(kIndent, ' ') + domain.failure_domain + ": " +
            std::to_string(domain.minutes.size()) + "\n" +
            RangesText(domain.minutes);
  }
  text += "\nVMs\n";
  for (const VmLatestSnapshot& vm : report.vms) {
    text += std::string(kIndent, ' ') + vm.vm + " in " + vm.failure_domain +
            ", up since " + FormatMinute(vm.started_wall_ms) +
            ", latest snapshot " +
            FormatDuration(report.to_wall_ms - vm.wall_ms) +
            " before the end of the report\n";
  }
  return text;
}

std::string BurnJson(const BurnReport& report) {
  Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("from_wall_ms", report.from_wall_ms);
  object.set("to_wall_ms", report.to_wall_ms);
  object.set("alert", std::string(ToString(MostSevereAlert(report))));
  object.set("refused_minutes", report.refused_minutes.size());
  object.set("refused_ranges", RangesJson(report.refused_minutes));
  Array domains;
  for (const DomainRefusedMinutes& domain : report.domains) {
    Object one(Poco::JSON_PRESERVE_KEY_ORDER);
    one.set("failure_domain", domain.failure_domain);
    one.set("refused_minutes", domain.minutes.size());
    one.set("refused_ranges", RangesJson(domain.minutes));
    domains.add(one);
  }
  object.set("failure_domains", domains);
  Array series;
  for (const SeriesBurn& one : report.series) {
    series.add(SeriesJson(one));
  }
  object.set("series", series);
  Array vms;
  for (const VmLatestSnapshot& vm : report.vms) {
    vms.add(VmJson(vm));
  }
  object.set("vms", vms);
  std::ostringstream text;
  Poco::JSON::Stringifier::stringify(object, text, 2);
  return text.str() + "\n";
}

}  // namespace goldcrest
