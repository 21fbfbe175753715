#ifndef REPORT_BURN_H_
#define REPORT_BURN_H_

// How fast each kind spends its error budget, and the minutes with refusals.
//
// MakeBurnReport() takes snapshots of any number of VMs and moments, in any
// order. A counter that starts again with its process goes on from where the
// process before it was last seen, so a restart neither hides answers nor
// counts them twice.
//
// The burn rate of a window is the share of bad answers in it, divided by the
// share that the objective allows: at 1 the budget of 30 days lasts 30 days. A
// window begins at the last snapshot at or before its start; `covered_ms` says
// how far back that is. An alert needs a long and a short window above the
// same rate: the long one shows that it matters, the short one that it goes on.
//
// A refused minute is a minute of the wall clock in which at least one request
// was refused or left unknown at any VM. A minute counts once, however many
// VMs, kinds or requests saw it.
//
// Cost: linear in the snapshots times the series, for each window and each
// point of the history.

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

// A window's name in reports and its length.
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

// What somebody has to do about a series, least first.
enum class BurnAlert : uint32_t {
  kNone = 0,
  kTicket = 1,
  kPage = 2,
};

inline constexpr std::array<std::string_view, 3> kBurnAlertNames = {
    "none", "ticket", "page"};

// Returns the name of `alert` in reports.
constexpr std::string_view NameOf(BurnAlert alert) {
  return kBurnAlertNames[static_cast<size_t>(alert)];
}

// Raises `alert` when both windows burn at `rate` or more.
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

// One series in one window.
struct WindowBurn {
  AnswerCounts answers;
  int64_t covered_ms = 0;
  double rate = 0;
};

// The short-window rates of a series at one moment.
struct BurnPoint {
  int64_t wall_ms = 0;
  double five_minutes = 0;
  double hour = 0;
};

struct SeriesBurn {
  SeriesKey key;
  std::optional<ServiceObjective> objective;  // none: no longer declared
  std::array<WindowBurn, kBurnWindows.size()> windows;
  BurnAlert alert = BurnAlert::kNone;
  // What is left of the budget of 30 days, from 1 down; negative when overrun.
  double budget_left = 1;
  std::set<int64_t> refused_minutes;
  std::vector<BurnPoint> history;

  const WindowBurn& Window(BurnWindow window) const {
    return windows[static_cast<size_t>(window)];
  }
};

// The newest snapshot of one VM.
struct VmSeen {
  std::string vm;
  std::string failure_domain;
  int64_t wall_ms = 0;
  int64_t started_wall_ms = 0;
};

// The refused minutes of one failure domain, over all kinds.
struct DomainMinutes {
  std::string failure_domain;
  std::set<int64_t> minutes;
};

struct BurnReport {
  int64_t from_wall_ms = 0;
  int64_t to_wall_ms = 0;
  std::vector<VmSeen> vms;
  std::vector<SeriesBurn> series;
  std::vector<DomainMinutes> domains;
  std::set<int64_t> refused_minutes;  // over everything
};

struct BurnOptions {
  // Points of each series' history.
  int history_points = 120;
  // Longest history, in milliseconds.
  int64_t longest_history_ms = 3 * 24 * 60 * kMinuteMs;
};

// Returns the report as of the newest snapshot; an empty one without any.
BurnReport MakeBurnReport(std::vector<Snapshot> snapshots,
                          const BurnOptions& options);

// Returns the gravest alert of any series.
BurnAlert GravestAlert(const BurnReport& report);

}  // namespace goldcrest

#endif  // REPORT_BURN_H_
