#ifndef GOLDCREST_TIME_UNITS_H_
#define GOLDCREST_TIME_UNITS_H_

// Types and units of time in the decision code.
//
// Every decision receives the time as an argument, so that a test, a recorded
// trace and the running daemon execute the same code. `Micros` counts
// microseconds of a monotonic clock with an arbitrary origin. Wall-clock values
// are milliseconds since the Unix epoch and have `wall_ms` in their names.

#include <cstdint>

namespace goldcrest {

// Microseconds: a point in time on the monotonic clock, or a duration.
using Micros = int64_t;

inline constexpr Micros kMillisecond = 1000;
inline constexpr Micros kSecond = 1000 * kMillisecond;
inline constexpr Micros kMinute = 60 * kSecond;

// The time of one step: the monotonic clock in microseconds and the wall clock
// in milliseconds since the Unix epoch.
struct StepTime {
  Micros mono = 0;
  int64_t wall_ms = 0;
};

}  // namespace goldcrest

#endif  // GOLDCREST_TIME_UNITS_H_
