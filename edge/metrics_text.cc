#include "edge/metrics_text.h"

#include <boost/histogram/indexed.hpp>

#include "goldcrest/json_reader.h"

namespace goldcrest {
namespace {

constexpr double kBucketGrowth = 1.5;

std::vector<double> BucketEdges(double first_edge, double last_edge) {
  std::vector<double> edges = {0, first_edge};
  while (edges.back() < last_edge) {
    edges.push_back(edges.back() * kBucketGrowth);
  }
  return edges;
}

}  // namespace

MetricHistogram::MetricHistogram(double first_edge, double last_edge)
    : histogram_(boost::histogram::make_histogram(
          Axis(BucketEdges(first_edge, last_edge)))) {}

void MetricHistogram::Observe(double value) {
  histogram_(value);
  sum_ += value;
}

void MetricHistogram::AppendTo(std::string& text,
                               const std::string& name,
                               const std::string& labels) const {
  std::string before_edge = "{";
  before_edge += labels;
  before_edge += labels.empty() ? "" : ",";
  uint64_t cumulative = 0;
  for (auto&& bin : boost::histogram::indexed(histogram_)) {
    cumulative += static_cast<uint64_t>(*bin);
    if (*bin > 0) {
      AppendValue(
          text, name + "_bucket",
          before_edge + "le=\"" + std::to_string(bin.bin().upper()) + "\"}",
          std::to_string(cumulative));
    }
  }
  AppendValue(text, name + "_bucket", before_edge + "le=\"+Inf\"}",
              std::to_string(cumulative));
  const std::string all = labels.empty() ? "" : "{" + labels + "}";
  AppendValue(text, name + "_sum", all, std::to_string(sum_));
  AppendValue(text, name + "_count", all, std::to_string(cumulative));
}

void AppendType(std::string& text, const std::string& name, const char* type) {
  text += "# TYPE goldcrest_" + name + " " + type + "\n";
}

void AppendValue(std::string& text,
                 const std::string& name,
                 const std::string& labels,
                 const std::string& value) {
  text += "goldcrest_" + name + labels + " " + value + "\n";
}

void AppendMetric(std::string& text,
                  const std::string& name,
                  const char* type,
                  const std::string& value) {
  AppendType(text, name, type);
  AppendValue(text, name, "", value);
}

void AppendByLabel(std::string& text,
                   const std::string& name,
                   const std::string& label,
                   const std::map<std::string, uint64_t>& counts) {
  AppendType(text, name, "counter");
  for (const auto& [key, count] : counts) {
    AppendValue(text, name, "{" + label + "=" + JsonQuote(key) + "}",
                std::to_string(count));
  }
}

std::string Seconds(Micros duration) {
  return std::to_string(static_cast<double>(duration) /
                        static_cast<double>(kSecond));
}

}  // namespace goldcrest
