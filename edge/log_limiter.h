#ifndef EDGE_LOG_LIMITER_H_
#define EDGE_LOG_LIMITER_H_

// Rate limiter for log lines.
//
// Each event name has a token bucket, so that a flood of one event does not
// suppress the others. Warnings and errors, which explain why a request failed,
// have larger buckets than routine lines. The next admitted line of an event
// reports how many lines were suppressed before it.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "goldcrest/action.h"
#include "goldcrest/time_units.h"

namespace goldcrest {

// Token buckets of each event name: the refill rate in lines per second, and
// the bucket size in lines. `failure` is for warnings and errors, `routine` for
// all other levels.
struct LogLimiterOptions {
  double routine_per_second = 150;
  double routine_burst = 400;
  double failure_per_second = 400;
  double failure_burst = 1200;
};

// Not thread-safe.
class LogLimiter {
 public:
  explicit LogLimiter(const LogLimiterOptions& options = {});

  // Returns how many lines of `event` were suppressed since its last admitted
  // line, or nullopt if this line is to be suppressed too.
  std::optional<uint64_t> Admit(std::string_view event,
                                LogLevel level,
                                Micros now);

  // Returns the number of suppressed lines of all events.
  uint64_t suppressed() const { return suppressed_; }

 private:
  // Token bucket of one event name.
  struct Bucket {
    double tokens = 0;
    Micros last_refill_at = 0;
    uint64_t suppressed = 0;
    bool initialized = false;
  };

  LogLimiterOptions options_;
  std::map<std::string, Bucket, std::less<>> buckets_;
  uint64_t suppressed_ = 0;
};

}  // namespace goldcrest

#endif  // EDGE_LOG_LIMITER_H_
