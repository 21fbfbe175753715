#ifndef REPORT_BURN_H_
#define REPORT_BURN_H_

// Computes how fast each kind spends its error budget, and the wall-clock
// minutes in which requests were refused.
//
// MakeBurnReport() accepts snapshots of any number of VMs and points in time,
// in any order. Counters restart at zero with their process. The counts of the
// new process are added to the last known counts of the previous one, so a
// restart neither hides answers nor counts them twice.
//
// The burn rate of a window is its share of bad answers divided by the share
// that the objective allows: at a rate of 1, the budget of 30 days lasts
// exactly 30 days. A window is measured from the last snapshot at or before its
// start; `covered_ms` is the time actually covered. An alert requires a long
// and a short window that both reach the same rate: the long window shows that
// the loss is significant, the short window that it still continues.
//
// A refused minute is a minute of the wall clock in which at least one request
// was refused or ended with an unknown outcome at any VM. Each minute counts
// once, regardless of how many VMs, kinds or requests were affected.
//
// Time is linear in the number of snapshots times the number of series, for
// each window and each point of the history.

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "report/snapshot.h"

namespace goldcrest {

enum class BurnWindow : uint32_t {
  kFiveMinutes = 0,
  kThirtyMinutes = 1,
  kHour = 2,
  kSixHours = 3,
  kThreeDays = 4,
  kThirtyDays = 5,
};

// The name of a window in reports, and its length in milliseconds.
struct BurnWindowRow {
  std::string_view name;
  int64_t length_ms;
};

inline constexpr std::array<BurnWindowRow, 6> kBurnWindows = {{
    {"5m", 5 * kMinuteMs},
    {"30m", 30 * kMinuteMs},
    {"1h", 60 * kMinuteMs},
    {"6h", 6 * 60 * kMinuteMs},
    {"3d", 3 * 24 * 60 * kMinuteMs},
    {"30d", 30 * 24 * 60 * kMinuteMs},
}};

// The operator action that a series requires, in order of severity.
enum class BurnAlert : uint32_t {
  kNone = 0,
  kTicket = 1,
  kPage = 2,
};

inline constexpr std::array<std::string_view, 3> kBurnAlertNames = {
    "none", "ticket", "page"};

// Returns the name of `alert` as used in reports.
constexpr std::string_view ToString(BurnAlert alert) {
  return kBurnAlertNames[static_cast<size_t>(alert)];
}

// Raises `alert` when the burn rate of both windows is at least `rate`.
struct BurnRule {
  BurnAlert alert;
  BurnWindow long_window;
  BurnWindow short_window;
  double rate;
};

inline constexpr std::array<BurnRule, 3> kBurnRules = {{
    {BurnAlert::kPage, BurnWindow::kHour, BurnWindow::kFiveMinutes, 14.4},
    {BurnAlert::kPage, BurnWindow::kSixHours, BurnWindow::kThirtyMinutes, 6.0},
    {BurnAlert::kTicket, BurnWindow::kThreeDays, BurnWindow::kSixHours, 1.0},
}};

// The answers and the burn rate of one series in one window.
struct WindowBurn {
  AnswerCounts answers;
  int64_t covered_ms = 0;
  double rate = 0;
};

// The burn rates over 5 minutes and over one hour at one point in time.
struct BurnPoint {
  int64_t wall_ms = 0;
  double five_minutes = 0;
  double hour = 0;
};

// The burn report of one series: one kind at one failure domain.
struct SeriesBurn {
  SeriesKey key;
  std::optional<ServiceObjective> objective;  // empty: kind no longer declared
  std::array<WindowBurn, kBurnWindows.size()> windows;
  BurnAlert alert = BurnAlert::kNone;
  // Remaining share of the 30-day budget: 1 when unspent, negative when
  // overspent.
  double budget_left = 1;
  std::set<int64_t> refused_minutes;
  std::vector<BurnPoint> history;

  const WindowBurn& Window(BurnWindow window) const {
    return windows[static_cast<size_t>(window)];
  }
};

// Identity and times of one VM, from its latest snapshot.
struct VmLatestSnapshot {
  std::string vm;
  std::string failure_domain;
  int64_t wall_ms = 0;
  int64_t started_wall_ms = 0;
};

// The refused minutes of one failure domain, over all kinds, in minutes since
// the epoch.
struct DomainRefusedMinutes {
  std::string failure_domain;
  std::set<int64_t> minutes;
};

// The report over all VMs and series. The times span from the earliest process
// start to the latest snapshot.
struct BurnReport {
  int64_t from_wall_ms = 0;
  int64_t to_wall_ms = 0;
  std::vector<VmLatestSnapshot> vms;
  std::vector<SeriesBurn> series;
  std::vector<DomainRefusedMinutes> domains;
  std::set<int64_t> refused_minutes;  // over all VMs, domains and kinds
};

struct BurnOptions {
  // Number of intervals in the history of each series.
  int history_points = 120;
  // Maximum length of the history, in milliseconds.
  int64_t max_history_ms = 3 * 24 * 60 * kMinuteMs;
};

// Returns the report as of the latest snapshot, or an empty report if there are
// no snapshots.
BurnReport MakeBurnReport(std::vector<Snapshot> snapshots,
                          const BurnOptions& options);

// Returns the most severe alert of any series.
BurnAlert MostSevereAlert(const BurnReport& report);

}  // namespace goldcrest

#endif  // REPORT_BURN_H_
