#ifndef REPORT_BURN_TEXT_H_
#define REPORT_BURN_TEXT_H_

// Formats the burn report as text for a terminal and as JSON for programs.

#include <set>
#include <string>
#include <vector>

#include "report/burn.h"

namespace goldcrest {

// Consecutive minutes from `first` to `last`, both inclusive.
struct MinuteRange {
  int64_t first = 0;
  int64_t last = 0;
};

// Merges consecutive minutes into ranges, in ascending order.
std::vector<MinuteRange> MinuteRanges(const std::set<int64_t>& minutes);

// Formats a wall-clock time in UTC, such as "2026-12-04 03:48".
std::string FormatMinute(int64_t wall_ms);

// Formats a duration in the largest unit that is not longer than it, such as
// "1.50min" or "2.50h".
std::string FormatDuration(int64_t length_ms);

// Formats `value` with two decimals, or with none if its magnitude is 100 or
// more.
std::string FormatRate(double value);

// Returns the display name of a series: "KIND at FAILURE_DOMAIN".
std::string SeriesName(const SeriesKey& key);

// Formats the report as text: the most severe alert, each series, the refused
// minutes by failure domain, and the VMs.
std::string BurnText(const BurnReport& report);

// Formats the report as one JSON object. docs/OPERATIONS.md lists its fields.
std::string BurnJson(const BurnReport& report);

}  // namespace goldcrest

#endif  // REPORT_BURN_TEXT_H_
