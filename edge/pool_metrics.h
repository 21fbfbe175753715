#ifndef EDGE_POOL_METRICS_H_
#define EDGE_POOL_METRICS_H_

// Metrics that entry and control daemons export for scraping: counters by
// outcome, the age of the last message from each daemon and worker, and at
// entry daemons the time from a caller's request to its answer, as one
// Boost.Histogram per queue and outcome.

#include <map>
#include <string>
#include <utility>

#include "edge/loop_delays.h"
#include "edge/mesh_link.h"
#include "edge/metrics_text.h"
#include "pool/entry/entry.h"
#include "pool/pool_board.h"

namespace goldcrest {

// Response times of an entry daemon.
class EntryMetrics {
 public:
  // Records one answered job.
  void Observe(const JobObservation& observation);

  // Returns all metrics of an entry daemon in the Prometheus text format.
  std::string Text(const EntryBoard& board,
                   const MeshLink& link,
                   const LoopDelays& delays) const;

 private:
  // Response times in seconds, by queue and outcome.
  std::map<std::pair<std::string, std::string>, MetricHistogram> series_;
};

// Returns all metrics of a control daemon in the Prometheus text format.
std::string ControlMetricsText(const PoolBoard& board,
                               const MeshLink& link,
                               const LoopDelays& delays);

}  // namespace goldcrest

#endif  // EDGE_POOL_METRICS_H_
