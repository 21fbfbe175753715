#ifndef EDGE_POOL_METRICS_H_
#define EDGE_POOL_METRICS_H_

// What entry and control daemons export for scraping: counters by outcome,
// how old what they believe is, and at entry daemons the time from a caller's
// request to its answer, as one Boost.Histogram for each queue and outcome.

#include <map>
#include <string>
#include <utility>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include "edge/http_message.h"
#include "edge/mesh_link.h"
#include "pool/entry.h"
#include "pool/pool_board.h"

namespace goldcrest {

class EntryMetrics {
 public:
  // Counts one answered job.
  void Observe(const EntryObservation& observation);

  std::string Text(const EntryBoard& board, const MeshLink& link) const;

 private:
  using Axis = boost::histogram::axis::variable<double>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  struct Series {
    Series();
    Histogram seconds;
    double sum = 0;
  };

  // By queue and outcome.
  std::map<std::pair<std::string, std::string>, Series> series_;
};

std::string ControlMetricsText(const PoolBoard& board, const MeshLink& link);

// Wraps a page of metrics.
HttpReply MetricsReply(std::string text);

}  // namespace goldcrest

#endif  // EDGE_POOL_METRICS_H_
