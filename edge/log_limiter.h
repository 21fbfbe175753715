#ifndef EDGE_LOG_LIMITER_H_
#define EDGE_LOG_LIMITER_H_

// Bounds the volume of logs under load.
//
// Each event name has a token bucket, so that a flood of one kind of line
// never hides the others. Warnings and errors, which say why a request failed,
// have larger buckets than routine lines. The next line of an event that gets
// through says how many before it were left out.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "goldcrest/action.h"
#include "goldcrest/time_units.h"

namespace goldcrest {

struct LogLimiterOptions {
  double routine_per_second = 150;
  double routine_burst = 400;
  double failure_per_second = 400;
  double failure_burst = 1200;
};

class LogLimiter {
 public:
  explicit LogLimiter(const LogLimiterOptions& options = {});

  // Returns how many lines of `event` were left out since the last one that
  // was let through, or nothing when this one is to be left out too.
  std::optional<uint64_t> Admit(std::string_view event,
                                LogLevel level,
                                Micros now);

  uint64_t left_out() const { return left_out_; }

 private:
  struct Bucket {
    double tokens = 0;
    Micros filled_at = 0;
    uint64_t left_out = 0;
    bool started = false;
  };

  LogLimiterOptions options_;
  std::map<std::string, Bucket, std::less<>> buckets_;
  uint64_t left_out_ = 0;
};

}  // namespace goldcrest

#endif  // EDGE_LOG_LIMITER_H_
