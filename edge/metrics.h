#ifndef EDGE_METRICS_H_
#define EDGE_METRICS_H_

// What a daemon exports for scraping, and how it counts service levels.
//
// Response times go into one Boost.Histogram for each kind and failure domain,
// on a logarithmic axis. Beside it stand the counts that the burn report needs:
// answers within the objective's target, answers beyond it, refusals, and the
// wall-clock minutes in which any request was refused or left unknown.

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include "goldcrest/blackboard.h"
#include "goldcrest/service_level.h"

namespace goldcrest {

class Metrics {
 public:
  // Counts one finished submission.
  void Observe(const Observation& observation);

  // Returns everything in the text format for scraping.
  std::string Text(const Blackboard& bb, Now now) const;

 private:
  using Axis = boost::histogram::axis::variable<double>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  struct Series {
    Series();
    Histogram response_ms;
    AnswerCounts answers;
    double sum_ms = 0;
    std::deque<int64_t> refused_minutes;
  };

  std::map<SeriesKey, Series> series_;
};

}  // namespace goldcrest

#endif  // EDGE_METRICS_H_
