#ifndef REPORT_METRIC_TEXT_H_
#define REPORT_METRIC_TEXT_H_

// Parses the text format in which a daemon exports its metrics.
//
// ParseMetricText() returns one sample for each line that is neither empty nor
// a comment. It does not throw. Parsing stops at the first malformed line, and
// the error contains its number. Time and memory are linear in the size of the
// text.

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace goldcrest {

struct MetricLabel {
  std::string name;
  std::string value;
};

// One sample, exported as the line: name{label="value",...} number
struct MetricSample {
  std::string name;
  std::vector<MetricLabel> labels;
  double value = 0;

  // Returns the value of the label `name`, or an empty string if the sample
  // has no such label.
  std::string Label(std::string_view name) const;
};

// A parse error and the number of its line, starting at 1.
struct MetricTextError {
  int line = 0;
  std::string message;
};

tl::expected<std::vector<MetricSample>, MetricTextError> ParseMetricText(
    std::string_view text);

}  // namespace goldcrest

#endif  // REPORT_METRIC_TEXT_H_
