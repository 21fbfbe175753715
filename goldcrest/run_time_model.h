#ifndef GOLDCREST_RUN_TIME_MODEL_H_
#define GOLDCREST_RUN_TIME_MODEL_H_

// What tasks of a kind really take, learned from the ones that finished.
//
// Callers declare run times that are often far off. The model keeps, for each
// kind, a histogram of the ratio of true to declared run time and one of the
// true run times, both on logarithmic axes, and scales a declaration by a
// quantile of the ratio. Old observations fade by halving. An estimate costs a
// pass over kBins counters; quantiles are cached until the next observation.

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

// A histogram over a logarithmic axis whose old counts fade.
class FadingHistogram {
 public:
  FadingHistogram(double low, double high);

  void Add(double value);

  // Returns the quantile `q` in 0..1, or `fallback` without enough counts.
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

// Expected run times of one task.
struct RunTimeEstimate {
  Micros median = 0;
  Micros high = 0;  // the 95th percentile
};

class RunTimeModel {
 public:
  // Records that a task of `kind` declared `run_ms` and took `actual`.
  void Observe(const std::string& kind, uint64_t run_ms, Micros actual);

  // Estimates a task of `kind` that declares `run_ms` milliseconds.
  RunTimeEstimate Estimate(const std::string& kind, uint64_t run_ms) const;

 private:
  struct KindModel {
    KindModel();
    detail::FadingHistogram ratio;
    detail::FadingHistogram absolute_ms;
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
