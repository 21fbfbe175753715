#include "soak/fault_plan.h"

#include <algorithm>
#include <cstdio>
#include <random>

namespace goldcrest {
namespace {

constexpr Micros kMinDuration = 200 * kMillisecond;
// Maximum time between the starts of two successive faults of a series.
constexpr Micros kMaxSeriesGap = 300 * kMillisecond;
// Probability that a fault follows its predecessor as part of a series.
constexpr double kSeriesProbability = 0.35;
// Probability that a fault is a stop series, if the plan has any.
constexpr double kStopSeriesProbability = 0.5;
// Probability that a fault is a slow disk, if the plan has any.
constexpr double kSlowDiskProbability = 0.25;
// Number of kinds that each plan draws from.
constexpr size_t kCommonFaults = static_cast<size_t>(SoakFault::kStopSeries);

std::string FormatSeconds(Micros duration) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f s",
                static_cast<double>(duration) / static_cast<double>(kSecond));
  return text;
}

}  // namespace

std::vector<PlannedFault> MakeFaultPlan(const FaultPlanOptions& options) {
  std::mt19937_64 random(options.seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::exponential_distribution<double> gap(
      1.0 / static_cast<double>(options.mean_gap));
  std::vector<PlannedFault> plan;
  bool disk_emptied = false;
  Micros at = 0;
  while (true) {
    const bool in_series = uniform(random) < kSeriesProbability;
    at += in_series ? static_cast<Micros>(uniform(random) * kMaxSeriesGap)
                    : static_cast<Micros>(gap(random));
    PlannedFault fault;
    fault.starts_at = at;
    fault.fault = static_cast<SoakFault>(random() % kCommonFaults);
    fault.target = random();
    const double duration_factor = uniform(random);
    fault.fault_duration =
        kMinDuration +
        static_cast<Micros>(duration_factor * duration_factor *
                            static_cast<double>(options.max_fault_duration));
    if (options.stop_series && uniform(random) < kStopSeriesProbability) {
      fault.fault = SoakFault::kStopSeries;
    }
    if (options.slow_disks && uniform(random) < kSlowDiskProbability) {
      fault.fault = SoakFault::kSlowDisk;
    }
    if (at + kMinDuration >= options.duration) {
      return plan;
    }
    fault.fault_duration =
        std::min(fault.fault_duration, options.duration - at);
    if (fault.fault == SoakFault::kLoseDisk && disk_emptied) {
      fault.fault = SoakFault::kKill;
    }
    disk_emptied = disk_emptied || fault.fault == SoakFault::kLoseDisk;
    plan.push_back(fault);
  }
}

std::string ToString(const PlannedFault& fault) {
  return FormatSeconds(fault.starts_at) + " " +
         std::string(ToString(fault.fault)) + " " +
         std::to_string(fault.target % 1000) + ", " +
         FormatSeconds(fault.fault_duration);
}

}  // namespace goldcrest
