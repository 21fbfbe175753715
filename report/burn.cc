#include "report/burn.h"

#include <algorithm>
#include <map>
#include <utility>

namespace goldcrest {
namespace {

// The cumulative counts of a series of one VM at one point in time. The counts
// include those of previous processes, so they never decrease over time.
struct CumulativePoint {
  int64_t wall_ms = 0;
  AnswerCounts answers;
};

using CumulativeCounts = std::vector<CumulativePoint>;

AnswerCounts Subtract(const AnswerCounts& a, const AnswerCounts& b) {
  AnswerCounts difference;
  for (size_t i = 0; i < a.by_result.size(); ++i) {
    difference.by_result[i] = a.by_result[i] - b.by_result[i];
  }
  return difference;
}

void Add(AnswerCounts& sum, const AnswerCounts& addend) {
  for (size_t i = 0; i < sum.by_result.size(); ++i) {
    sum.by_result[i] += addend.by_result[i];
  }
}

// Returns true if any count in `now` is below the same count in `before`.
bool AnyCountDecreased(const AnswerCounts& now, const AnswerCounts& before) {
  for (size_t i = 0; i < now.by_result.size(); ++i) {
    if (now.by_result[i] < before.by_result[i]) {
      return true;
    }
  }
  return false;
}

AnswerCounts CountsIn(const Snapshot& snapshot, const SeriesKey& key) {
  const auto found = snapshot.series.find(key);
  return found == snapshot.series.end() ? AnswerCounts()
                                        : found->second.answers;
}

// Accumulates the snapshots of one VM, given oldest first. For each process, a
// point with unchanged counts is added at the start of the process.
CumulativeCounts MakeCumulativeCounts(
    const std::vector<const Snapshot*>& snapshots,
    const SeriesKey& key) {
  CumulativeCounts points;
  AnswerCounts sum;
  AnswerCounts previous;
  int64_t process_started_ms = 0;
  for (const Snapshot* snapshot : snapshots) {
    const AnswerCounts counts = CountsIn(*snapshot, key);
    if (snapshot->started_wall_ms != process_started_ms ||
        AnyCountDecreased(counts, previous)) {
      process_started_ms = snapshot->started_wall_ms;
      previous = AnswerCounts();
      const int64_t last_wall_ms =
          points.empty() ? process_started_ms : points.back().wall_ms;
      points.push_back({std::max(process_started_ms, last_wall_ms), sum});
    }
    Add(sum, Subtract(counts, previous));
    previous = counts;
    points.push_back({snapshot->wall_ms, sum});
  }
  return points;
}

// Returns the last point at or before `wall_ms`, or the first point if there is
// none. `points` must not be empty.
const CumulativePoint& PointAt(const CumulativeCounts& points,
                               int64_t wall_ms) {
  const auto after =
      std::upper_bound(points.begin(), points.end(), wall_ms,
                       [](int64_t at, const CumulativePoint& point) {
                         return at < point.wall_ms;
                       });
  return after == points.begin() ? points.front() : *std::prev(after);
}

WindowBurn ComputeWindowBurn(const std::vector<CumulativeCounts>& counts_by_vm,
                             const std::optional<ServiceObjective>& objective,
                             int64_t end_ms,
                             int64_t length_ms) {
  WindowBurn burn;
  for (const CumulativeCounts& points : counts_by_vm) {
    const CumulativePoint& start = PointAt(points, end_ms - length_ms);
    const CumulativePoint& end = PointAt(points, end_ms);
    Add(burn.answers, Subtract(end.answers, start.answers));
    if (end.wall_ms > start.wall_ms) {
      burn.covered_ms = std::max(burn.covered_ms, end_ms - start.wall_ms);
    }
  }
  const uint64_t total = burn.answers.total();
  if (objective && total > 0) {
    const double bad_share =
        static_cast<double>(burn.answers.bad()) / static_cast<double>(total);
    burn.rate = bad_share / (1 - objective->objective);
  }
  return burn;
}

BurnAlert ComputeAlert(const SeriesBurn& series) {
  BurnAlert alert = BurnAlert::kNone;
  for (const BurnRule& rule : kBurnRules) {
    if (series.Window(rule.long_window).rate >= rule.rate &&
        series.Window(rule.short_window).rate >= rule.rate) {
      alert = std::max(alert, rule.alert);
    }
  }
  return alert;
}

std::vector<BurnPoint> MakeHistory(
    const std::vector<CumulativeCounts>& counts_by_vm,
    const std::optional<ServiceObjective>& objective,
    const BurnReport& report,
    const BurnOptions& options) {
  std::vector<BurnPoint> history;
  const auto length = [](BurnWindow window) {
    return kBurnWindows[static_cast<size_t>(window)].length_ms;
  };
  const int64_t from =
      std::max(report.from_wall_ms, report.to_wall_ms - options.max_history_ms);
  const int64_t span = report.to_wall_ms - from;
  for (int i = 0; i <= options.history_points; ++i) {
    BurnPoint point;
    point.wall_ms = from + span * i / std::max(options.history_points, 1);
    point.five_minutes =
        ComputeWindowBurn(counts_by_vm, objective, point.wall_ms,
                          length(BurnWindow::kFiveMinutes))
            .rate;
    point.hour = ComputeWindowBurn(counts_by_vm, objective, point.wall_ms,
                                   length(BurnWindow::kHour))
                     .rate;
    history.push_back(point);
  }
  return history;
}

using SnapshotsByVm = std::map<std::string, std::vector<const Snapshot*>>;

SeriesBurn MakeSeries(const SeriesKey& key,
                      const std::optional<ServiceObjective>& objective,
                      const SnapshotsByVm& by_vm,
                      const BurnReport& report,
                      const BurnOptions& options) {
  SeriesBurn series;
  series.key = key;
  series.objective = objective;
  std::vector<CumulativeCounts> counts_by_vm;
  for (const auto& [vm, snapshots] : by_vm) {
    counts_by_vm.push_back(MakeCumulativeCounts(snapshots, key));
    for (const Snapshot* snapshot : snapshots) {
      const auto found = snapshot->series.find(key);
      if (found != snapshot->series.end()) {
        series.refused_minutes.insert(found->second.refused_minutes.begin(),
                                      found->second.refused_minutes.end());
      }
    }
  }
  for (size_t i = 0; i < kBurnWindows.size(); ++i) {
    series.windows[i] = ComputeWindowBurn(
        counts_by_vm, objective, report.to_wall_ms, kBurnWindows[i].length_ms);
  }
  series.alert = ComputeAlert(series);
  series.budget_left = 1 - series.Window(BurnWindow::kThirtyDays).rate;
  series.history = MakeHistory(counts_by_vm, objective, report, options);
  return series;
}

// Fills in the parts of the report that cover all series: its time span, the
// VMs and the refused minutes. `snapshots` is sorted by time and not empty.
void FillReportScope(const std::vector<Snapshot>& snapshots,
                     BurnReport& report) {
  std::map<std::string, VmLatestSnapshot> vms;
  std::map<std::string, std::set<int64_t>> domains;
  report.from_wall_ms = snapshots.front().started_wall_ms;
  report.to_wall_ms = snapshots.back().wall_ms;
  for (const Snapshot& snapshot : snapshots) {
    report.from_wall_ms =
        std::min(report.from_wall_ms, snapshot.started_wall_ms);
    vms[snapshot.vm] = {snapshot.vm, snapshot.failure_domain, snapshot.wall_ms,
                        snapshot.started_wall_ms};
    for (const auto& [key, state] : snapshot.series) {
      const std::set<int64_t>& minutes = state.refused_minutes;
      domains[key.failure_domain].insert(minutes.begin(), minutes.end());
      report.refused_minutes.insert(minutes.begin(), minutes.end());
    }
  }
  for (auto& [vm, seen] : vms) {
    report.vms.push_back(std::move(seen));
  }
  for (auto& [domain, minutes] : domains) {
    report.domains.push_back({domain, std::move(minutes)});
  }
}

}  // namespace

BurnReport MakeBurnReport(std::vector<Snapshot> snapshots,
                          const BurnOptions& options) {
  BurnReport report;
  if (snapshots.empty()) {
    return report;
  }
  std::stable_sort(snapshots.begin(), snapshots.end(),
                   [](const Snapshot& a, const Snapshot& b) {
                     return a.wall_ms < b.wall_ms;
                   });
  FillReportScope(snapshots, report);
  SnapshotsByVm by_vm;
  std::set<SeriesKey> keys;
  std::map<std::string, ServiceObjective> objectives;
  for (const Snapshot& snapshot : snapshots) {
    by_vm[snapshot.vm].push_back(&snapshot);
    for (const auto& [key, state] : snapshot.series) {
      keys.insert(key);
    }
    for (const auto& [kind, objective] : snapshot.objectives) {
      objectives[kind] = objective;
    }
  }
  for (const SeriesKey& key : keys) {
    std::optional<ServiceObjective> objective;
    if (const auto found = objectives.find(key.kind);
        found != objectives.end()) {
      objective = found->second;
    }
    report.series.push_back(MakeSeries(key, objective, by_vm, report, options));
  }
  return report;
}

BurnAlert MostSevereAlert(const BurnReport& report) {
  BurnAlert highest = BurnAlert::kNone;
  for (const SeriesBurn& series : report.series) {
    highest = std::max(highest, series.alert);
  }
  return highest;
}

}  // namespace goldcrest
