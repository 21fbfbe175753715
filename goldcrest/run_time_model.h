#ifndef GOLDCREST_RUN_TIME_MODEL_H_
#define GOLDCREST_RUN_TIME_MODEL_H_

// Predicts the run times of tasks of a kind from those of finished tasks.
//
// Run times that callers declare are often far off. For each kind, the model
// keeps a histogram of the ratio of actual to declared run time and a histogram
// of the actual run times, both with logarithmic axes, and scales a declared
// run time by a quantile of the ratio. Old observations decay by halving the
// counts. Computing the quantiles costs a pass over kBins counters; they are
// cached and recomputed after a fixed number of observations.

#include <cstdint>
#include <string>
#include <unordered_map>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include "goldcrest/time_units.h"

namespace goldcrest {

namespace detail {

// A histogram with a logarithmic axis whose old counts decay.
class DecayingHistogram {
 public:
  DecayingHistogram(double low, double high);

  void Add(double value);

  // Returns the quantile `q`, 0..1, or `fallback` if there are too few counts.
  double Quantile(double q, double fallback) const;

  double total() const { return total_; }

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<double>;
  using Histogram =
      decltype(boost::histogram::make_histogram_with(Storage(),
                                                     std::declval<Axis>()));

  Histogram histogram_;
  double total_ = 0;
};

}  // namespace detail

// Expected run times of one task: the median and a high quantile.
struct RunTimeEstimate {
  Micros median = 0;
  Micros high = 0;  // the 95th percentile
};

class RunTimeModel {
 public:
  // Records that a task of `kind` that declared `run_ms` took `actual`.
  // `run_ms` is 0 if the caller declared none.
  void Observe(const std::string& kind, uint64_t run_ms, Micros actual);

  // Returns the expected run times of a task of `kind` that declares `run_ms`
  // milliseconds.
  RunTimeEstimate Estimate(const std::string& kind, uint64_t run_ms) const;

 private:
  struct KindModel {
    KindModel();
    detail::DecayingHistogram ratio;
    detail::DecayingHistogram absolute_ms;
    double median_ratio = 1;
    double high_ratio = 2;
    double median_ms = 0;
    double high_ms = 0;
    int since_refresh = 0;
  };

  static void Refresh(KindModel& model);

  std::unordered_map<std::string, KindModel> kinds_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_RUN_TIME_MODEL_H_
