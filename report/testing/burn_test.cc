#include "report/burn.h"

#include <filesystem>
#include <fstream>
#include <random>

#include <catch2/catch.hpp>

#include "edge/metrics.h"
#include "goldcrest/step.h"
#include "report/burn_page.h"
#include "report/burn_text.h"
#include "report/metric_text.h"
#include "report/snapshot_folder.h"

namespace goldcrest {
namespace {

constexpr int64_t kEpochMs = 1'796'342'400'000;
const SeriesKey kKnellSeries = {"knell", "kochi"};

AnswerCounts Counts(uint64_t good, uint64_t slow, uint64_t refused) {
  AnswerCounts counts;
  counts[AnswerResult::kGood] = good;
  counts[AnswerResult::kSlow] = slow;
  counts[AnswerResult::kRefused] = refused;
  return counts;
}

Snapshot SnapshotOf(const std::string& vm,
                    int64_t started_ms,
                    int64_t wall_ms,
                    const AnswerCounts& counts) {
  Snapshot snapshot;
  snapshot.vm = vm;
  snapshot.failure_domain = "kochi";
  snapshot.started_wall_ms = kEpochMs + started_ms;
  snapshot.wall_ms = kEpochMs + wall_ms;
  snapshot.series[kKnellSeries].answers = counts;
  snapshot.objectives["knell"] = {1000, 0.99};
  return snapshot;
}

bool AlmostEqual(double a, double b) {
  return std::abs(a - b) < 1e-9;
}

TEST_CASE("Metric text: names, labels and values are parsed") {
  const auto samples = ParseMetricText(
      "# TYPE x counter\n\nx 3\ny{a=\"1\",b=\"q\\\"\\\\\"} 0.5\n");
  REQUIRE(samples);
  REQUIRE(samples->size() == 2);
  CHECK((*samples)[0].name == "x");
  CHECK((*samples)[0].value == 3);
  CHECK((*samples)[1].Label("b") == "q\"\\");
  CHECK((*samples)[1].Label("c").empty());
}

TEST_CASE("Metric text: the error contains the number of the malformed line") {
  for (const char* bad :
       {"x", "x y", "x 1 2", "{a=\"1\"} 1", "x{a=1} 1", "x{a=\"1\" 1",
        "x{a=\"1} 1", "x nan", "x inf", "x{a=\"1\"b=\"2\"} 1", "x{a=\"1\\"}) {
    const auto samples = ParseMetricText("fine 1\n" + std::string(bad) + "\n");
    INFO(bad);
    REQUIRE(!samples);
    CHECK(samples.error().line == 2);
  }
}

TEST_CASE("Snapshot: a text that is not a daemon's metrics is rejected") {
  const std::string identity =
      "goldcrest_vm_info{vm=\"v\",failure_domain=\"d\"} 1\n"
      "goldcrest_wall_ms 2000\ngoldcrest_started_wall_ms 1000\n";
  CHECK(ReadSnapshot(identity));
  CHECK(!ReadSnapshot(""));
  CHECK(!ReadSnapshot("x 1\n"));
  CHECK(!ReadSnapshot(identity + "goldcrest_answers_total{result=\"ok\"} 1\n"));
  CHECK(!ReadSnapshot(identity +
                      "goldcrest_answers_total{result=\"good\"} -1\n"));
  CHECK(!ReadSnapshot(identity + "goldcrest_refused_minute{minute=\"x\"} 1\n"));
  CHECK(!ReadSnapshot(identity + "goldcrest_objective{kind=\"k\"} 1\n"));
  CHECK(!ReadSnapshot(identity + "goldcrest_wall_ms 500\n"));
}

TEST_CASE("Snapshot: the metrics that a daemon exports are parsed") {
  Deployment deployment;
  deployment.self = "vm1";
  deployment.failure_domain = "kochi";
  deployment.vms = {{"vm1", "kochi", "127.0.0.1:1"}};
  AssignRoles(deployment);
  Blackboard bb = MakeBlackboard(deployment, Tuning());
  bb.membership.started_wall_ms = kEpochMs;
  bb.configuration.active = DefaultConfiguration();
  Metrics metrics;
  Observation observation;
  observation.kind = "knell";
  observation.failure_domain = "kochi";
  observation.target_ms = 1000;
  observation.wall_ms = kEpochMs + 3 * kMinuteMs;
  observation.outcome = Outcome::kComplete;
  observation.response_ms = 1000;
  metrics.Observe(observation);
  observation.response_ms = 1001;
  metrics.Observe(observation);
  observation.outcome = Outcome::kUnknown;
  metrics.Observe(observation);
  observation.outcome = Outcome::kCancelled;
  metrics.Observe(observation);

  const auto snapshot =
      ReadSnapshot(metrics.Text(bb, {0, kEpochMs + 4 * kMinuteMs}));
  REQUIRE(snapshot);
  CHECK(snapshot->vm == "vm1");
  CHECK(snapshot->started_wall_ms == kEpochMs);
  CHECK(snapshot->wall_ms == kEpochMs + 4 * kMinuteMs);
  const SeriesState& state = snapshot->series.at(kKnellSeries);
  CHECK(state.answers.total() == 3);
  CHECK(state.answers[AnswerResult::kGood] == 1);
  CHECK(state.answers[AnswerResult::kSlow] == 1);
  CHECK(state.answers[AnswerResult::kUnknown] == 1);
  CHECK(state.refused_minutes == std::set<int64_t>{kEpochMs / kMinuteMs + 3});
  const Configuration active = DefaultConfiguration();
  REQUIRE(snapshot->objectives.size() == active.kinds.size());
  const KindPolicy& kind = active.kinds.front();
  CHECK(AlmostEqual(snapshot->objectives.at(kind.name).objective,
                    kind.slo.objective));
}

TEST_CASE("Burn: the rate is the share of bad answers over the allowed share") {
  const BurnReport report =
      MakeBurnReport({SnapshotOf("a", 0, 10 * kMinuteMs, Counts(1000, 0, 0)),
                      SnapshotOf("a", 0, 15 * kMinuteMs, Counts(1090, 4, 6))},
                     BurnOptions());
  REQUIRE(report.series.size() == 1);
  const SeriesBurn& series = report.series[0];
  const WindowBurn& five = series.Window(BurnWindow::kFiveMinutes);
  CHECK(five.answers.total() == 100);
  CHECK(five.answers.bad() == 10);
  CHECK(five.covered_ms == 5 * kMinuteMs);
  CHECK(AlmostEqual(five.rate, 0.1 / 0.01));
  const WindowBurn& hour = series.Window(BurnWindow::kHour);
  CHECK(hour.answers.total() == 1100);
  CHECK(hour.covered_ms == 15 * kMinuteMs);
  CHECK(AlmostEqual(hour.rate, 10.0 / 1100 / 0.01));
}

TEST_CASE("Burn: a restart neither hides answers nor counts them twice") {
  const BurnReport report = MakeBurnReport(
      {SnapshotOf("a", 0, 10 * kMinuteMs, Counts(500, 0, 0)),
       SnapshotOf("a", 0, 20 * kMinuteMs, Counts(900, 0, 2)),
       SnapshotOf("a", 25 * kMinuteMs, 30 * kMinuteMs, Counts(40, 0, 1))},
      BurnOptions());
  const SeriesBurn& series = report.series[0];
  CHECK(series.Window(BurnWindow::kHour).answers.total() == 943);
  CHECK(series.Window(BurnWindow::kHour).answers.bad() == 3);
  CHECK(series.Window(BurnWindow::kFiveMinutes).answers.total() == 41);
}

TEST_CASE("Burn: an alert requires the long and the short window") {
  const auto alert_of = [](uint64_t bad_before, uint64_t bad_now) {
    const BurnReport report = MakeBurnReport(
        {SnapshotOf("a", 0, 54 * kMinuteMs, Counts(10000, bad_before, 0)),
         SnapshotOf("a", 0, 60 * kMinuteMs,
                    Counts(11000, bad_before + bad_now, 0))},
        BurnOptions());
    return MostSevereAlert(report);
  };
  CHECK(alert_of(0, 0) == BurnAlert::kNone);
  CHECK(alert_of(5000, 500) == BurnAlert::kPage);
  // In each page rule, the long or the short window is below the rate.
  CHECK(alert_of(0, 200) == BurnAlert::kTicket);
  CHECK(alert_of(0, 50) == BurnAlert::kNone);
}

TEST_CASE("Burn: a minute refused at several VMs counts once") {
  const int64_t minute = kEpochMs / kMinuteMs;
  Snapshot a = SnapshotOf("a", 0, 10 * kMinuteMs, Counts(1, 0, 3));
  Snapshot b = SnapshotOf("b", 0, 10 * kMinuteMs, Counts(1, 0, 3));
  a.series[kKnellSeries].refused_minutes = {minute + 1, minute + 2};
  b.series[kKnellSeries].refused_minutes = {minute + 2, minute + 3, minute + 7};
  b.series[{"peal", "kochi"}].refused_minutes = {minute + 7, minute + 8};
  b.series[{"peal", "thrissur"}].refused_minutes = {minute + 8};
  const BurnReport report = MakeBurnReport({a, b}, BurnOptions());
  CHECK(report.refused_minutes.size() == 5);
  REQUIRE(report.domains.size() == 2);
  CHECK(report.domains[0].minutes.size() == 5);
  CHECK(report.domains[1].minutes.size() == 1);
  const auto ranges = MinuteRanges(report.refused_minutes);
  REQUIRE(ranges.size() == 2);
  CHECK(ranges[0].first == minute + 1);
  CHECK(ranges[0].last == minute + 3);
  const SeriesBurn& peal = report.series[1];
  CHECK(peal.key.kind == "peal");
  CHECK(!peal.objective);
}

// Compares the windows with a direct count of the same answers, generated at
// random for two VMs minute by minute, with restarts. Guards against counts
// that are missed or added twice when a process restarts.
TEST_CASE("Burn: windows agree with a count of every answer") {
  for (uint32_t seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    std::vector<Snapshot> snapshots;
    std::vector<AnswerCounts> by_minute(120);
    for (const char* vm : {"a", "b"}) {
      AnswerCounts counts;
      int64_t started = 0;
      for (int minute = 0; minute < 120; ++minute) {
        if (random() % 10 == 0) {
          counts = AnswerCounts();
          started = minute * kMinuteMs;
        }
        for (uint32_t i = random() % 50; i > 0; --i) {
          const size_t result = random() % kAnswerResultNames.size();
          ++counts.by_result[result];
          ++by_minute[minute].by_result[result];
        }
        snapshots.push_back(
            SnapshotOf(vm, started, (minute + 1) * kMinuteMs, counts));
      }
    }
    std::shuffle(snapshots.begin(), snapshots.end(), random);
    const BurnReport report = MakeBurnReport(snapshots, BurnOptions());
    for (size_t i = 0; i < kBurnWindows.size(); ++i) {
      const int64_t minutes = kBurnWindows[i].length_ms / kMinuteMs;
      uint64_t total = 0;
      uint64_t bad = 0;
      for (int64_t m = std::max<int64_t>(0, 120 - minutes); m < 120; ++m) {
        total += by_minute[m].total();
        bad += by_minute[m].bad();
      }
      INFO("seed " << seed << " window " << kBurnWindows[i].name);
      CHECK(report.series[0].windows[i].answers.total() == total);
      CHECK(report.series[0].windows[i].answers.bad() == bad);
    }
  }
}

TEST_CASE(
    "Snapshot folder: a truncated file is reported and the others are used") {
  const std::filesystem::path folder =
      std::filesystem::path(GOLDCREST_BINARY_DIR) / "burn_test_snapshots";
  std::filesystem::remove_all(folder);
  const std::string text =
      "goldcrest_vm_info{vm=\"v\",failure_domain=\"d\"} 1\n"
      "goldcrest_wall_ms 2000\ngoldcrest_started_wall_ms 1000\n";
  CHECK(!ReadSnapshotFolder(folder.string()));
  const auto snapshot = ReadSnapshot(text);
  REQUIRE(snapshot);
  REQUIRE(SaveSnapshot(folder.string(), *snapshot, text));
  std::ofstream(folder / "v-1500.metrics") << text.substr(0, 60);
  const auto read = ReadSnapshotFolder(folder.string());
  REQUIRE(read);
  CHECK(read->snapshots.size() == 1);
  REQUIRE(read->errors.size() == 1);
  CHECK(read->errors[0].find("v-1500.metrics") != std::string::npos);
  CHECK(RemoveOldSnapshots(folder.string(), 1600) == 1);
  CHECK(RemoveOldSnapshots(folder.string(), 1600) == 0);
  CHECK(ReadSnapshotFolder(folder.string())->snapshots.size() == 1);
}

TEST_CASE("Report: names are escaped in the HTML page") {
  Snapshot snapshot = SnapshotOf("<b>", 0, kMinuteMs, Counts(1, 1, 1));
  snapshot.series[{"<script>", "a&b"}].answers = Counts(1, 0, 0);
  const BurnReport report = MakeBurnReport({snapshot}, BurnOptions());
  const std::string page = BurnPage(report);
  CHECK(page.find("<script>") == std::string::npos);
  CHECK(page.find("<b><") == std::string::npos);
  CHECK(page.find("&lt;script&gt;") != std::string::npos);
  CHECK(!BurnText(report).empty());
  CHECK(BurnJson(report).find("\"alert\"") != std::string::npos);
  CHECK(BurnPage(BurnReport()).find("No snapshots") != std::string::npos);
}

}  // namespace
}  // namespace goldcrest
