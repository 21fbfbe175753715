#include "edge/caller_limits.h"

#include <algorithm>
#include <cstdint>

namespace goldcrest {
namespace {

constexpr uint64_t kDefaultMaxHeaderBytes = 16 * 1024;
constexpr uint64_t kDefaultHeaderTimeoutMs = 10'000;
constexpr uint64_t kDefaultIdleTimeoutMs = 60'000;
// Bounds on what a configuration may set.
constexpr uint64_t kMinHeaderBytes = 1024;
constexpr uint64_t kMaxHeaderBytes = 64 * 1024;
constexpr uint64_t kMinBodyBytes = 16 * 1024;
constexpr uint64_t kMinTimeoutMs = 100;
constexpr uint64_t kMaxTimeoutMs = 3'600'000;
// A client that keeps the timeout may send its next request this much later by
// the clock of the daemon.
constexpr Micros kIdleSlack = kSecond;

// Returns `value`, or `fallback` if it is 0, within the bounds.
uint64_t Bounded(uint64_t value,
                 uint64_t fallback,
                 uint64_t low,
                 uint64_t high) {
  return std::clamp(value == 0 ? fallback : value, low, std::max(low, high));
}

Micros BoundedTimeout(uint64_t ms, uint64_t fallback_ms) {
  return static_cast<Micros>(
             Bounded(ms, fallback_ms, kMinTimeoutMs, kMaxTimeoutMs)) *
         kMillisecond;
}

}  // namespace

CallerLimits CallerLimitsOf(const wire::Routing& routing, size_t buffer_bytes) {
  CallerLimits limits;
  limits.http.max_header_bytes =
      Bounded(routing.max_header_bytes(), kDefaultMaxHeaderBytes,
              kMinHeaderBytes, kMaxHeaderBytes);
  // Several of the largest requests find room at a time.
  limits.http.max_body_bytes =
      Bounded(routing.max_body_bytes(), kDefaultMaxBodyBytes, kMinBodyBytes,
              buffer_bytes / 4);
  limits.header_timeout =
      BoundedTimeout(routing.header_timeout_ms(), kDefaultHeaderTimeoutMs);
  limits.idle_timeout =
      BoundedTimeout(routing.idle_timeout_ms(), kDefaultIdleTimeoutMs) +
      kIdleSlack;
  return limits;
}

}  // namespace goldcrest
