#include "edge/metrics_server.h"

#include <utility>

#include "edge/machine_limits.h"

namespace goldcrest {

MetricsServer::MetricsServer(SocketLoop& loop,
                             const std::string& address,
                             BufferBudget& buffers,
                             std::function<std::string()> format)
    : format_(std::move(format)),
      http_(
          loop,
          Poco::Net::SocketAddress(address),
          BoundedServerOptions("metrics", kPlatformConnections, 0, buffers),
          [this](RequestToken token, const HttpRequest&) {
            http_.Respond(token,
                          MetricsReply(page_.Text(MonotonicMicros(), format_)));
          },
          [](RequestToken) {}) {}

}  // namespace goldcrest
