#ifndef EDGE_HTTP_METRICS_H_
#define EDGE_HTTP_METRICS_H_

// Metrics of the HTTP servers of a process: their connections, why connections
// were closed, and what buffers hold.

#include <string>
#include <vector>

#include "edge/http_server.h"

namespace goldcrest {

// Returns the metrics in the Prometheus text format.
std::string HttpMetricsText(const std::vector<const HttpServer*>& servers,
                            const BufferBudget& budget);

// Returns the HTTP reply for a page of metrics.
HttpReply MetricsReply(std::string text);

// A page of metrics that is formatted at most once in a while, so that clients
// that ask for it again and again take no more time than one.
class MetricsPage {
 public:
  // Returns the page, made by `format` if it is too old.
  template <typename Format>
  const std::string& Text(Micros now, const Format& format) {
    if (text_.empty() || now - formatted_at_ > kMaxAge) {
      text_ = format();
      formatted_at_ = now;
    }
    return text_;
  }

 private:
  static constexpr Micros kMaxAge = 100 * kMillisecond;

  std::string text_;
  Micros formatted_at_ = 0;
};

}  // namespace goldcrest

#endif  // EDGE_HTTP_METRICS_H_
