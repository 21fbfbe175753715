#ifndef EDGE_METRICS_SERVER_H_
#define EDGE_METRICS_SERVER_H_

// The HTTP server at which an entry or control daemon serves its metrics: any
// request is answered with the page.

#include <functional>
#include <string>

#include "edge/buffer_budget.h"
#include "edge/http_metrics.h"
#include "edge/http_server.h"
#include "edge/socket_loop.h"

namespace goldcrest {

class MetricsServer {
 public:
  // Listens on `address`; throws Poco::Net::NetException when that fails.
  // `format` returns the page and is called at most once in MetricsPage's time.
  MetricsServer(SocketLoop& loop,
                const std::string& address,
                BufferBudget& buffers,
                std::function<std::string()> format);
  MetricsServer(const MetricsServer&) = delete;
  MetricsServer& operator=(const MetricsServer&) = delete;

  HttpServer& http() { return http_; }
  const HttpServer& http() const { return http_; }

 private:
  std::function<std::string()> format_;
  MetricsPage page_;
  HttpServer http_;
};

}  // namespace goldcrest

#endif  // EDGE_METRICS_SERVER_H_
