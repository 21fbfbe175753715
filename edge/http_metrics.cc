#include "edge/http_metrics.h"

#include <utility>

namespace goldcrest {
namespace {

void AppendType(std::string& text, const char* name, const char* type) {
  text += std::string("# TYPE goldcrest_") + name + " " + type + "\n";
}

void AppendValue(std::string& text,
                 const char* name,
                 const std::string& labels,
                 uint64_t value) {
  text += std::string("goldcrest_") + name + labels + " " +
          std::to_string(value) + "\n";
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
    AppendValue(text, "http_connections", ServerLabel(*server) + "}",
                server->connections());
  }
  AppendType(text, "http_connections_accepted_total", "counter");
  for (const HttpServer* server : servers) {
    AppendValue(text, "http_connections_accepted_total",
                ServerLabel(*server) + "}", server->counters().accepted);
  }
  AppendType(text, "http_connections_closed_total", "counter");
  for (const HttpServer* server : servers) {
    for (size_t i = 0; i < kCloseReasonNames.size(); ++i) {
      AppendValue(text, "http_connections_closed_total",
                  ServerLabel(*server) + ",reason=\"" +
                      std::string(kCloseReasonNames[i]) + "\"}",
                  server->counters().closed[i]);
    }
  }
  AppendType(text, "http_buffered_bytes", "gauge");
  AppendValue(text, "http_buffered_bytes", "", budget.used());
  AppendType(text, "http_buffered_bytes_peak", "gauge");
  AppendValue(text, "http_buffered_bytes_peak", "", budget.peak());
  AppendType(text, "http_buffer_limit_bytes", "gauge");
  AppendValue(text, "http_buffer_limit_bytes", "", budget.limit());
  return text;
}

}  // namespace goldcrest
