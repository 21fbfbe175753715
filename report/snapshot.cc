#include "report/snapshot.h"

#include <charconv>

#include "report/metric_text.h"

namespace goldcrest {
namespace {

constexpr double kMaxCount = 9.0e15;  // below 2^53, so exact in a double

// Applies one sample to the snapshot; samples with other names are ignored.
// Returns false if the value is not valid for the metric.
bool ApplySample(const MetricSample& sample, Snapshot& snapshot) {
  const bool is_valid_count = sample.value >= 0 && sample.value <= kMaxCount;
  const SeriesKey key{sample.Label("kind"), sample.Label("failure_domain")};
  if (sample.name == "goldcrest_vm_info") {
    snapshot.vm = sample.Label("vm");
    snapshot.failure_domain = sample.Label("failure_domain");
    return true;
  }
  if (sample.name == "goldcrest_wall_ms") {
    snapshot.wall_ms = static_cast<int64_t>(sample.value);
    return is_valid_count;
  }
  if (sample.name == "goldcrest_started_wall_ms") {
    snapshot.started_wall_ms = static_cast<int64_t>(sample.value);
    return is_valid_count;
  }
  if (sample.name == "goldcrest_objective") {
    snapshot.objectives[key.kind].objective = sample.value;
    return sample.value > 0 && sample.value < 1;
  }
  if (sample.name == "goldcrest_objective_target_ms") {
    snapshot.objectives[key.kind].target_ms =
        static_cast<int64_t>(sample.value);
    return is_valid_count;
  }
  if (sample.name == "goldcrest_answers_total") {
    const auto result = AnswerResultFromName(sample.Label("result"));
    if (!result || !is_valid_count) {
      return false;
    }
    snapshot.series[key].answers[*result] = static_cast<uint64_t>(sample.value);
    return true;
  }
  if (sample.name == "goldcrest_refused_minute") {
    const std::string text = sample.Label("minute");
    const char* end = text.data() + text.size();
    int64_t minute = 0;
    const auto [stop, error] = std::from_chars(text.data(), end, minute);
    if (error != std::errc() || stop != end || minute < 0) {
      return false;
    }
    snapshot.series[key].refused_minutes.insert(minute);
  }
  return true;
}

}  // namespace

tl::expected<Snapshot, std::string> ReadSnapshot(std::string_view text) {
  const auto samples = ParseMetricText(text);
  if (!samples) {
    return tl::make_unexpected("line " + std::to_string(samples.error().line) +
                               ": " + samples.error().message);
  }
  Snapshot snapshot;
  for (const MetricSample& sample : *samples) {
    if (!ApplySample(sample, snapshot)) {
      return tl::make_unexpected(sample.name + " has an invalid value");
    }
  }
  if (snapshot.vm.empty() || snapshot.wall_ms == 0 ||
      snapshot.started_wall_ms == 0) {
    return tl::make_unexpected(
        std::string("not the metrics of goldcrestd: goldcrest_vm_info, "
                    "goldcrest_wall_ms or goldcrest_started_wall_ms is "
                    "missing"));
  }
  if (snapshot.started_wall_ms > snapshot.wall_ms) {
    return tl::make_unexpected(std::string(
        "goldcrest_started_wall_ms is later than goldcrest_wall_ms"));
  }
  return snapshot;
}

}  // namespace goldcrest
