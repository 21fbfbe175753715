#include "edge/http_metrics.h"

#include <utility>

#include "edge/metrics_text.h"

namespace goldcrest {
namespace {

void AppendCount(std::string& text,
                 const char* name,
                 const std::string& labels,
                 uint64_t value) {
  AppendValue(text, name, labels, std::to_string(value));
}

std::string ServerLabel(const HttpServer& server) {
  return "{server=\"" + server.name() + "\"";
}

}  // namespace

HttpReply MetricsReply(std::string text) {
  HttpReply reply;
  reply.content_type = "text/plain; version=0.0.4";
  reply.body = std::move(text);
  return reply;
}

std::string HttpMetricsText(const std::vector<const HttpServer*>& servers,
                            const BufferBudget& budget) {
  std::string text;
  AppendType(text, "http_connections", "gauge");
  for (const HttpServer* server : servers) {
    AppendCount(text, "http_connections", ServerLabel(*server) + "}",
                server->connections());
  }
  AppendType(text, "http_connections_accepted_total", "counter");
  for (const HttpServer* server : servers) {
    AppendCount(text, "http_connections_accepted_total",
                ServerLabel(*server) + "}", server->counters().accepted);
  }
  AppendType(text, "http_connections_closed_total", "counter");
  for (const HttpServer* server : servers) {
    for (size_t i = 0; i < kCloseReasonNames.size(); ++i) {
      AppendCount(text, "http_connections_closed_total",
                  ServerLabel(*server) + ",reason=\"" +
                      std::string(kCloseReasonNames[i]) + "\"}",
                  server->counters().closed[i]);
    }
  }
  AppendType(text, "http_buffered_bytes", "gauge");
  AppendCount(text, "http_buffered_bytes", "", budget.used());
  AppendType(text, "http_buffered_bytes_peak", "gauge");
  AppendCount(text, "http_buffered_bytes_peak", "", budget.peak());
  AppendType(text, "http_buffer_limit_bytes", "gauge");
  AppendCount(text, "http_buffer_limit_bytes", "", budget.limit());
  return text;
}

}  // namespace goldcrest
