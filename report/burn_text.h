#ifndef REPORT_BURN_TEXT_H_
#define REPORT_BURN_TEXT_H_

// The burn report for a terminal and for programs.

#include <set>
#include <string>
#include <vector>

#include "report/burn.h"

namespace goldcrest {

// Minutes in a row: `first` to `last`, both included.
struct MinuteRange {
  int64_t first = 0;
  int64_t last = 0;
};

// Joins neighbouring minutes.
std::vector<MinuteRange> MinuteRanges(const std::set<int64_t>& minutes);

// Returns "2026-12-04 03:48" for a wall-clock time, in UTC.
std::string MinuteName(int64_t wall_ms);

// Returns a length of time in the largest unit that fits, "90s" or "2.5h".
std::string LengthName(int64_t length_ms);

// Returns `value` with two decimals, or none from 100 on.
std::string RateName(double value);

// Returns the name of a series, "kind at failure_domain".
std::string SeriesName(const SeriesKey& key);

// Writes the report as text: alerts first, then series, then refused minutes.
std::string BurnText(const BurnReport& report);

// Writes the report as one JSON object; docs/OPERATIONS.md lists its fields.
std::string BurnJson(const BurnReport& report);

}  // namespace goldcrest

#endif  // REPORT_BURN_TEXT_H_
