#include "report/metric_text.h"

#include <cctype>
#include <charconv>
#include <cmath>
#include <utility>

namespace goldcrest {
namespace {

bool IsNameByte(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '_' ||
         c == ':';
}

// Parses one line from front to back. Each method returns false if the rest of
// the line does not have the expected format; message() then describes the
// error.
class LineReader {
 public:
  explicit LineReader(std::string_view line) : rest_(line) {}

  bool Read(MetricSample& sample) {
    return ReadName(sample.name) && ReadLabels(sample.labels) &&
           ReadValue(sample.value);
  }

  const std::string& message() const { return message_; }

 private:
  bool Fail(std::string message) {
    message_ = std::move(message);
    return false;
  }

  // Removes the next character and returns true if it is `c`.
  bool Consume(char c) {
    if (rest_.empty() || rest_.front() != c) {
      return false;
    }
    rest_.remove_prefix(1);
    return true;
  }

  bool ReadName(std::string& name) {
    size_t length = 0;
    while (length < rest_.size() && IsNameByte(rest_[length])) {
      ++length;
    }
    if (length == 0) {
      return Fail("expected a name");
    }
    name = rest_.substr(0, length);
    rest_.remove_prefix(length);
    return true;
  }

  bool ReadLabels(std::vector<MetricLabel>& labels) {
    if (!Consume('{')) {
      return true;
    }
    while (!Consume('}')) {
      MetricLabel label;
      if (!ReadName(label.name) || !ReadLabelValue(label.value)) {
        return false;
      }
      labels.push_back(std::move(label));
      if (!Consume(',') && (rest_.empty() || rest_.front() != '}')) {
        return Fail("expected ',' or '}' after a label");
      }
    }
    return true;
  }

  bool ReadLabelValue(std::string& value) {
    if (!Consume('=') || !Consume('"')) {
      return Fail("expected =\" after a label's name");
    }
    while (!rest_.empty()) {
      char c = rest_.front();
      rest_.remove_prefix(1);
      if (c == '"') {
        return true;
      }
      if (c == '\\' && !rest_.empty()) {
        c = rest_.front() == 'n' ? '\n' : rest_.front();
        rest_.remove_prefix(1);
      }
      value += c;
    }
    return Fail("a label's value has no closing quote");
  }

  bool ReadValue(double& value) {
    if (!Consume(' ')) {
      return Fail("expected a space before the value");
    }
    const char* end = rest_.data() + rest_.size();
    const auto [stop, error] = std::from_chars(rest_.data(), end, value);
    if (error != std::errc() || stop != end || !std::isfinite(value)) {
      return Fail("expected a finite number");
    }
    return true;
  }

  std::string_view rest_;
  std::string message_;
};

}  // namespace

std::string MetricSample::Label(std::string_view name) const {
  for (const MetricLabel& label : labels) {
    if (label.name == name) {
      return label.value;
    }
  }
  return "";
}

tl::expected<std::vector<MetricSample>, MetricTextError> ParseMetricText(
    std::string_view text) {
  std::vector<MetricSample> samples;
  int line_number = 0;
  while (!text.empty()) {
    ++line_number;
    const size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.empty() || line.front() == '#') {
      continue;
    }
    MetricSample sample;
    LineReader reader(line);
    if (!reader.Read(sample)) {
      return tl::make_unexpected(
          MetricTextError{line_number, reader.message()});
    }
    samples.push_back(std::move(sample));
  }
  return samples;
}

}  // namespace goldcrest
