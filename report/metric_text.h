#ifndef REPORT_METRIC_TEXT_H_
#define REPORT_METRIC_TEXT_H_

// Reads the text format in which a daemon exports its metrics.
//
// ParseMetricText() returns one sample for each line that is neither empty nor
// a comment. It never throws; the first line that it cannot read ends it with
// an error that names the line. Time and memory are linear in the text.

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace goldcrest {

struct MetricLabel {
  std::string name;
  std::string value;
};

// One line: name{label="value",...} number
struct MetricSample {
  std::string name;
  std::vector<MetricLabel> labels;
  double value = 0;

  // Returns the value of the label `name`; empty when there is none.
  std::string Label(std::string_view name) const;
};

// What is wrong with a text, and in which line, counted from 1.
struct MetricTextError {
  int line = 0;
  std::string message;
};

tl::expected<std::vector<MetricSample>, MetricTextError> ParseMetricText(
    std::string_view text);

}  // namespace goldcrest

#endif  // REPORT_METRIC_TEXT_H_
