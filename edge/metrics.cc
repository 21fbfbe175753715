#include "edge/metrics.h"

#include <optional>
#include <vector>

#include <Poco/NumberFormatter.h>

#include "edge/metrics_text.h"
#include "goldcrest/json_reader.h"

namespace goldcrest {
namespace {

constexpr size_t kMaxRefusedMinutes = 1440;  // one day
// Bounds the memory: observations of further series are not recorded.
constexpr size_t kMaxSeries = 20'000;
constexpr double kFirstBucketMs = 1;
constexpr double kLongestResponseMs = 700'000;

// The labels of a series, without braces.
std::string SeriesLabels(const SeriesKey& key) {
  return "kind=" + JsonQuote(key.kind) +
         ",failure_domain=" + JsonQuote(key.failure_domain);
}

std::string Labels(const SeriesKey& key, const std::string& extra_labels) {
  std::string labels = "{";
  labels += SeriesLabels(key);
  labels += extra_labels;
  labels += "}";
  return labels;
}

void AppendCount(std::string& text, const std::string& name, uint64_t value) {
  AppendMetric(text, name, "counter", std::to_string(value));
}

void AppendGauge(std::string& text,
                 const std::string& name,
                 const std::string& value) {
  AppendMetric(text, name, "gauge", value);
}

// A counter and the name under which it is exported.
struct CounterRow {
  const char* name;
  uint64_t Counters::*value;
};

constexpr CounterRow kCounterRows[] = {
    {"submissions_total", &Counters::submissions},
    {"attached_total", &Counters::attached},
    {"completed_total", &Counters::completed},
    {"failed_total", &Counters::failed},
    {"refused_total", &Counters::refused},
    {"unknown_total", &Counters::unknown},
    {"cancelled_total", &Counters::cancelled},
    {"starts_total", &Counters::starts},
    {"refused_starts_total", &Counters::refused_starts},
    {"retries_total", &Counters::retries},
    {"retries_denied_total", &Counters::retries_denied},
    {"hedges_total", &Counters::hedges},
    {"hedges_lost_total", &Counters::hedges_lost},
    {"stops_total", &Counters::stops},
    {"lookups_total", &Counters::lookups},
    {"late_answers_total", &Counters::late_answers},
    {"forwards_total", &Counters::forwards},
    {"forward_resends_total", &Counters::forward_resends},
    {"claim_messages_total", &Counters::claim_messages},
    {"claim_resends_total", &Counters::claim_resends},
    {"takeovers_total", &Counters::takeovers},
    {"lease_lapses_total", &Counters::lease_lapses},
    {"borrow_requests_total", &Counters::borrow_requests},
    {"borrowed_slots_total", &Counters::borrowed_slots},
    {"ejections_total", &Counters::ejections},
    {"control_messages_total", &Counters::control_messages},
    {"control_bytes_total", &Counters::control_bytes},
    {"peer_messages_total", &Counters::peer_messages},
    {"peer_bytes_total", &Counters::peer_bytes},
    {"invariant_failures_total", &Counters::invariant_failures},
};

// Returns the result under which `observation` is counted, or nullopt if it is
// not counted.
std::optional<AnswerResult> ResultOf(const Observation& observation) {
  switch (observation.outcome) {
    case Outcome::kComplete:
      return observation.response_ms <= observation.target_ms
                 ? AnswerResult::kGood
                 : AnswerResult::kSlow;
    case Outcome::kFailed:
      return AnswerResult::kFailed;
    case Outcome::kRefused:
      return AnswerResult::kRefused;
    case Outcome::kUnknown:
      return AnswerResult::kUnknown;
    case Outcome::kCancelled:
    case Outcome::kPending:
      break;
  }
  return std::nullopt;
}

// Appends the identity of the VM, the current time and the latency objectives,
// so that the burn report can be computed from a saved copy of the text.
void AppendIdentity(std::string& text, const Blackboard& bb, StepTime now) {
  const Deployment& deployment = bb.deployment;
  AppendType(text, "vm_info", "gauge");
  AppendValue(text, "vm_info",
              "{vm=" + JsonQuote(deployment.self) + ",failure_domain=" +
                  JsonQuote(deployment.failure_domain) + "}",
              "1");
  AppendGauge(text, "wall_ms", std::to_string(now.wall_ms));
  AppendGauge(text, "started_wall_ms",
              std::to_string(bb.membership.started_wall_ms));
  AppendType(text, "objective", "gauge");
  AppendType(text, "objective_target_ms", "gauge");
  for (const KindPolicy& kind : bb.configuration.active.kinds) {
    const std::string labels = "{kind=" + JsonQuote(kind.name) + "}";
    AppendValue(text, "objective", labels,
                Poco::NumberFormatter::format(kind.slo.objective, 9));
    AppendValue(text, "objective_target_ms", labels,
                std::to_string(kind.slo.target_ms));
  }
}

}  // namespace

Metrics::Series::Series() : response_ms(kFirstBucketMs, kLongestResponseMs) {}

void Metrics::Observe(const Observation& observation) {
  const auto result = ResultOf(observation);
  if (!result) {
    return;
  }
  const SeriesKey key{observation.kind, observation.failure_domain};
  if (series_.size() >= kMaxSeries && !series_.contains(key)) {
    return;
  }
  Series& series = series_[key];
  ++series.answers[*result];
  series.response_ms.Observe(static_cast<double>(observation.response_ms));
  const bool refused = observation.outcome == Outcome::kRefused ||
                       observation.outcome == Outcome::kUnknown;
  const int64_t minute = observation.wall_ms / kMinuteMs;
  std::deque<int64_t>& minutes = series.refused_minutes;
  if (refused && (minutes.empty() || minutes.back() != minute)) {
    minutes.push_back(minute);
    if (minutes.size() > kMaxRefusedMinutes) {
      minutes.pop_front();
    }
  }
}

std::string Metrics::Text(const Blackboard& bb, StepTime now) const {
  std::string text;
  AppendIdentity(text, bb, now);
  for (const CounterRow& row : kCounterRows) {
    AppendCount(text, row.name, bb.counters.*row.value);
  }
  AppendGauge(text, "queued_tasks", std::to_string(bb.queue.queued_tasks));
  AppendGauge(text, "running_tasks",
              std::to_string(bb.workers.slot_uses.size()));
  AppendGauge(text, "leased_slots", std::to_string(bb.workers.leased_slots));
  AppendGauge(text, "free_slots", std::to_string(bb.workers.free_slots));
  AppendGauge(text, "jobs", std::to_string(bb.jobs.size()));
  AppendGauge(text, "claims", std::to_string(bb.claims.entries.size()));
  AppendGauge(text, "configuration_version",
              std::to_string(bb.configuration.in_force.version()));
  AppendGauge(text, "serving_lease", bb.membership.lease_valid ? "1" : "0");
  AppendType(text, "answers_total", "counter");
  for (const auto& entry : series_) {
    const SeriesKey& key = entry.first;
    const Series& series = entry.second;
    for (size_t i = 0; i < kAnswerResultNames.size(); ++i) {
      const std::string result(kAnswerResultNames[i]);
      AppendValue(text, "answers_total",
                  Labels(key, ",result=" + JsonQuote(result)),
                  std::to_string(series.answers.by_result[i]));
    }
    for (const int64_t minute : series.refused_minutes) {
      AppendValue(text, "refused_minute",
                  Labels(key, ",minute=\"" + std::to_string(minute) + "\""),
                  "1");
    }
  }
  AppendType(text, "response_ms", "histogram");
  for (const auto& [key, series] : series_) {
    series.response_ms.AppendTo(text, "response_ms", SeriesLabels(key));
  }
  return text;
}

}  // namespace goldcrest
