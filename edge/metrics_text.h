#ifndef EDGE_METRICS_TEXT_H_
#define EDGE_METRICS_TEXT_H_

// Lines of the Prometheus text format, as all pages of metrics use them. Names
// are given without the prefix "goldcrest_"; labels with their braces, or
// empty.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include "goldcrest/time_units.h"

namespace goldcrest {

// A histogram with buckets whose widths grow, and the sum of the observations.
class MetricHistogram {
 public:
  // The first bucket ends at `first_edge`. Each further edge is 1.5 times the
  // one before, up to the first that is not below `last_edge`.
  MetricHistogram(double first_edge, double last_edge);

  void Observe(double value);

  // Appends the lines of the histogram, without that of its type. `labels` are
  // the labels without braces; may be empty. Empty buckets are left out.
  void AppendTo(std::string& text,
                const std::string& name,
                const std::string& labels) const;

 private:
  using Axis = boost::histogram::axis::variable<double>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Histogram histogram_;
  double sum_ = 0;
};

void AppendType(std::string& text, const std::string& name, const char* type);

void AppendValue(std::string& text,
                 const std::string& name,
                 const std::string& labels,
                 const std::string& value);

// Appends the type and the value of a metric without labels.
void AppendMetric(std::string& text,
                  const std::string& name,
                  const char* type,
                  const std::string& value);

// Appends a counter with one value for each value of a label.
void AppendByLabel(std::string& text,
                   const std::string& name,
                   const std::string& label,
                   const std::map<std::string, uint64_t>& counts);

// Formats a duration in seconds.
std::string Seconds(Micros duration);

}  // namespace goldcrest

#endif  // EDGE_METRICS_TEXT_H_
