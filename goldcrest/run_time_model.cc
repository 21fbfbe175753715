#include "goldcrest/run_time_model.h"

#include <algorithm>

#include <boost/histogram/algorithm/sum.hpp>
#include <boost/histogram/indexed.hpp>

namespace goldcrest {
namespace {

constexpr int kBins = 64;
// All counts of a histogram are halved when their sum reaches this value.
constexpr double kHalvingThreshold = 1024;
// Sum of counts below which a histogram yields no quantiles.
constexpr double kMinCount = 20;
// Observations between two computations of the cached quantiles.
constexpr int kObservationsPerRefresh = 32;
// Run time that is assumed without a declaration and without observations.
constexpr double kDefaultRunMs = 200;
constexpr double kMinRatio = 1.0 / 64;
constexpr double kMaxRatio = 64;
constexpr double kMaxRunMs = 600'000;

}  // namespace

namespace detail {

DecayingHistogram::DecayingHistogram(double low, double high)
    : histogram_(
          boost::histogram::make_histogram_with(Storage(),
                                                Axis(kBins, low, high))) {}

void DecayingHistogram::Add(double value) {
  histogram_(value);
  total_ += 1;
  if (total_ >= kHalvingThreshold) {
    histogram_ *= 0.5;
    total_ *= 0.5;
  }
}

double DecayingHistogram::Quantile(double q, double fallback) const {
  if (total_ < kMinCount) {
    return fallback;
  }
  double seen = 0;
  for (auto&& bin :
       boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    seen += *bin;
    if (seen >= q * total_) {
      const auto& edges = bin.bin();
      const double low = std::max(edges.lower(), 0.0);
      const double high = edges.upper();
      return std::min(high, histogram_.axis().value(kBins)) / 2 +
             std::max(low, histogram_.axis().value(0)) / 2;
    }
  }
  return fallback;
}

}  // namespace detail

RunTimeModel::KindModel::KindModel()
    : ratio(kMinRatio, kMaxRatio), absolute_ms(0.1, kMaxRunMs) {}

void RunTimeModel::Refresh(KindModel& model) {
  model.median_ratio = model.ratio.Quantile(0.5, 1);
  model.high_ratio = model.ratio.Quantile(0.95, 2);
  model.median_ms = model.absolute_ms.Quantile(0.5, kDefaultRunMs);
  model.high_ms = model.absolute_ms.Quantile(0.95, 2 * kDefaultRunMs);
  model.since_refresh = 0;
}

void RunTimeModel::Observe(const std::string& kind,
                           uint64_t run_ms,
                           Micros actual) {
  KindModel& model = kinds_[kind];
  const double actual_ms =
      static_cast<double>(actual) / static_cast<double>(kMillisecond);
  model.absolute_ms.Add(actual_ms);
  if (run_ms > 0) {
    model.ratio.Add(actual_ms / static_cast<double>(run_ms));
  }
  if (++model.since_refresh >= kObservationsPerRefresh) {
    Refresh(model);
  }
}

RunTimeEstimate RunTimeModel::Estimate(const std::string& kind,
                                       uint64_t run_ms) const {
  const auto found = kinds_.find(kind);
  const double declared = static_cast<double>(run_ms);
  double median_ms = run_ms > 0 ? declared : kDefaultRunMs;
  double high_ms = 2 * median_ms;
  if (found != kinds_.end()) {
    const KindModel& model = found->second;
    median_ms = run_ms > 0 ? declared * model.median_ratio : model.median_ms;
    high_ms = run_ms > 0 ? declared * model.high_ratio : model.high_ms;
  }
  const auto micros = [](double ms) {
    return static_cast<Micros>(ms * static_cast<double>(kMillisecond));
  };
  return {micros(std::max(median_ms, 0.1)), micros(std::max(high_ms, 0.2))};
}

}  // namespace goldcrest
