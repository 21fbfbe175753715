#ifndef EDGE_WRITE_METRICS_H_
#define EDGE_WRITE_METRICS_H_

// Metrics of the writes to a daemon's disk: how long each took with its sync,
// and how many failed. Observed by the thread that waits for the disk, read by
// the daemon's loop.

#include <cstdint>
#include <mutex>
#include <string>

#include "edge/metrics_text.h"
#include "goldcrest/time_units.h"

namespace goldcrest {

class WriteMetrics {
 public:
  WriteMetrics();

  // Records a write, with its sync, that took `duration` and was successful if
  // `ok`.
  void Observe(Micros duration, bool ok);

  // Returns the metrics in the Prometheus text format.
  std::string Text() const;

 private:
  mutable std::mutex mutex_;
  MetricHistogram seconds_;
  uint64_t failed_ = 0;
};

}  // namespace goldcrest

#endif  // EDGE_WRITE_METRICS_H_
