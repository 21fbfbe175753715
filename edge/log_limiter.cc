#include "edge/log_limiter.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

LogLimiter::LogLimiter(const LogLimiterOptions& options) : options_(options) {}

std::optional<uint64_t> LogLimiter::Admit(std::string_view event,
                                          LogLevel level,
                                          Micros now) {
  const bool failure = level == LogLevel::kWarning || level == LogLevel::kError;
  const double rate =
      failure ? options_.failure_per_second : options_.routine_per_second;
  const double burst =
      failure ? options_.failure_burst : options_.routine_burst;
  auto found = buckets_.find(event);
  if (found == buckets_.end()) {
    found = buckets_.emplace(std::string(event), Bucket()).first;
  }
  Bucket& bucket = found->second;
  if (!bucket.initialized) {
    bucket.initialized = true;
    bucket.tokens = burst;
    bucket.last_refill_at = now;
  }
  const double seconds = static_cast<double>(now - bucket.last_refill_at) /
                         static_cast<double>(kSecond);
  bucket.tokens = std::min(burst, bucket.tokens + rate * seconds);
  bucket.last_refill_at = now;
  if (bucket.tokens < 1) {
    ++bucket.suppressed;
    ++suppressed_;
    return std::nullopt;
  }
  bucket.tokens -= 1;
  return std::exchange(bucket.suppressed, 0);
}

}  // namespace goldcrest
