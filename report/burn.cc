#include "report/burn.h"

#include <algorithm>
#include <map>
#include <utility>

namespace goldcrest {
namespace {

// A series of one VM over time, with restarts joined up: the counts never fall.
struct TrackPoint {
  int64_t wall_ms = 0;
  AnswerCounts answers;
};

using Track = std::vector<TrackPoint>;

AnswerCounts Minus(const AnswerCounts& a, const AnswerCounts& b) {
  AnswerCounts difference;
  for (size_t i = 0; i < a.by_result.size(); ++i) {
    difference.by_result[i] = a.by_result[i] - b.by_result[i];
  }
  return difference;
}

void Add(AnswerCounts& sum, const AnswerCounts& more) {
  for (size_t i = 0; i < sum.by_result.size(); ++i) {
    sum.by_result[i] += more.by_result[i];
  }
}

// Says whether any count of `now` is below the one in `before`.
bool Fell(const AnswerCounts& now, const AnswerCounts& before) {
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

// Joins the snapshots of one VM, oldest first. Each process begins with a
// point of its own, at its start, that adds nothing.
Track MakeTrack(const std::vector<const Snapshot*>& snapshots,
                const SeriesKey& key) {
  Track track;
  AnswerCounts sum;
  AnswerCounts before;
  int64_t process = 0;
  for (const Snapshot* snapshot : snapshots) {
    const AnswerCounts counts = CountsIn(*snapshot, key);
    if (snapshot->started_wall_ms != process || Fell(counts, before)) {
      process = snapshot->started_wall_ms;
      before = AnswerCounts();
      const int64_t last = track.empty() ? process : track.back().wall_ms;
      track.push_back({std::max(process, last), sum});
    }
    Add(sum, Minus(counts, before));
    before = counts;
    track.push_back({snapshot->wall_ms, sum});
  }
  return track;
}

// Returns the last point at or before `wall_ms`, or the first one.
const TrackPoint& PointAt(const Track& track, int64_t wall_ms) {
  const auto after = std::upper_bound(
      track.begin(), track.end(), wall_ms,
      [](int64_t at, const TrackPoint& point) { return at < point.wall_ms; });
  return after == track.begin() ? track.front() : *std::prev(after);
}

WindowBurn BurnIn(const std::vector<Track>& tracks,
                  const std::optional<ServiceObjective>& objective,
                  int64_t end_ms,
                  int64_t length_ms) {
  WindowBurn burn;
  for (const Track& track : tracks) {
    const TrackPoint& start = PointAt(track, end_ms - length_ms);
    const TrackPoint& end = PointAt(track, end_ms);
    Add(burn.answers, Minus(end.answers, start.answers));
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

BurnAlert AlertOf(const SeriesBurn& series) {
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
    const std::vector<Track>& tracks,
    const std::optional<ServiceObjective>& objective,
    const BurnReport& report,
    const BurnOptions& options) {
  std::vector<BurnPoint> history;
  const auto length = [](BurnWindow window) {
    return kBurnWindows[static_cast<size_t>(window)].length_ms;
  };
  const int64_t from = std::max(report.from_wall_ms,
                                report.to_wall_ms - options.longest_history_ms);
  const int64_t span = report.to_wall_ms - from;
  for (int i = 0; i <= options.history_points; ++i) {
    BurnPoint point;
    point.wall_ms = from + span * i / std::max(options.history_points, 1);
    point.five_minutes = BurnIn(tracks, objective, point.wall_ms,
                                length(BurnWindow::kFiveMinutes))
                             .rate;
    point.hour =
        BurnIn(tracks, objective, point.wall_ms, length(BurnWindow::kHour))
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
  std::vector<Track> tracks;
  for (const auto& [vm, snapshots] : by_vm) {
    tracks.push_back(MakeTrack(snapshots, key));
    for (const Snapshot* snapshot : snapshots) {
      const auto found = snapshot->series.find(key);
      if (found != snapshot->series.end()) {
        series.refused_minutes.insert(found->second.refused_minutes.begin(),
                                      found->second.refused_minutes.end());
      }
    }
  }
  for (size_t i = 0; i < kBurnWindows.size(); ++i) {
    series.windows[i] =
        BurnIn(tracks, objective, report.to_wall_ms, kBurnWindows[i].length_ms);
  }
  series.alert = AlertOf(series);
  series.budget_left = 1 - series.Window(BurnWindow::kThirtyDays).rate;
  series.history = MakeHistory(tracks, objective, report, options);
  return series;
}

// Gathers what holds for all series: the span, the VMs, the minutes.
void TakeSpan(const std::vector<Snapshot>& snapshots, BurnReport& report) {
  std::map<std::string, VmSeen> vms;
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
  TakeSpan(snapshots, report);
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

BurnAlert GravestAlert(const BurnReport& report) {
  BurnAlert gravest = BurnAlert::kNone;
  for (const SeriesBurn& series : report.series) {
    gravest = std::max(gravest, series.alert);
  }
  return gravest;
}

}  // namespace goldcrest
