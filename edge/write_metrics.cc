#include "edge/write_metrics.h"

namespace goldcrest {
namespace {

constexpr char kName[] = "disk_write_seconds";
constexpr double kFirstBucketSeconds = 0.001;
constexpr double kLastBucketSeconds = 60;

}  // namespace

WriteMetrics::WriteMetrics()
    : seconds_(kFirstBucketSeconds, kLastBucketSeconds) {}

void WriteMetrics::Observe(Micros duration, bool ok) {
  const std::lock_guard<std::mutex> lock(mutex_);
  seconds_.Observe(static_cast<double>(duration) /
                   static_cast<double>(kSecond));
  failed_ += ok ? 0 : 1;
}

std::string WriteMetrics::Text() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string text;
  AppendType(text, kName, "histogram");
  seconds_.AppendTo(text, kName, "");
  AppendMetric(text, "disk_write_failures_total", "counter",
               std::to_string(failed_));
  return text;
}

}  // namespace goldcrest
