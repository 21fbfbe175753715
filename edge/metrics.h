#ifndef EDGE_METRICS_H_
#define EDGE_METRICS_H_

// Metrics that a daemon exports for scraping, including its service levels.
//
// Response times are recorded in one Boost.Histogram per kind and failure
// domain, with a logarithmic axis. The same series holds the counts for the
// burn report: answers within the target of the latency objective, answers
// beyond it, refusals, and the wall-clock minutes in which a request was
// refused or its outcome was unknown.

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "edge/metrics_text.h"
#include "goldcrest/blackboard.h"
#include "goldcrest/service_level.h"

namespace goldcrest {

// Service levels of one daemon.
class Metrics {
 public:
  // Records one finished submission.
  void Observe(const Observation& observation);

  // Returns all metrics in the Prometheus text format.
  std::string Text(const Blackboard& bb, StepTime now) const;

 private:
  // The measurements of one kind in one failure domain.
  struct Series {
    Series();
    MetricHistogram response_ms;
    AnswerCounts answers;
    // Minutes since the epoch with a refusal or an unknown outcome.
    std::deque<int64_t> refused_minutes;
  };

  std::map<SeriesKey, Series> series_;
};

}  // namespace goldcrest

#endif  // EDGE_METRICS_H_
