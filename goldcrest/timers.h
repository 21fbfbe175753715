#ifndef GOLDCREST_TIMERS_H_
#define GOLDCREST_TIMERS_H_

// Timers of the decision code.
//
// A timer consists of a kind, a key and the time at which it is due. Setting,
// clearing and taking a timer cost O(log n). The kind selects the controller
// and the key names the object, such as a job, that the timer is for; a timer
// whose object no longer exists does nothing.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "goldcrest/time_units.h"

namespace goldcrest {

enum class TimerKind : uint8_t {
  kFullRateHeartbeat,
  kReducedRateHeartbeat,
  kHousekeeping,
  kJobDeadline,
  kTaskRetry,
  kTaskLookup,
  kTaskHedge,
  kClaim,
  kClaimUpdate,
  kForward,
  kCallerWait,
  kAcceptedNotice,
  kLookupQuery,
  kAnnounce,
  kConfiguration,
  kConfigurationRecovery,
  kClaimSync,
  kDrain,
};

struct Timer {
  Micros due = 0;
  TimerKind kind = TimerKind::kHousekeeping;
  std::string key;

  friend bool operator<(const Timer& a, const Timer& b) {
    return std::tie(a.due, a.kind, a.key) < std::tie(b.due, b.kind, b.key);
  }
};

class TimerQueue {
 public:
  void Set(Micros due, TimerKind kind, std::string key = "") {
    timers_.insert({due, kind, std::move(key)});
  }

  // Removes one timer. `due` must be the time it was set for. Does nothing if
  // there is no such timer.
  void Clear(Micros due, TimerKind kind, const std::string& key) {
    timers_.erase({due, kind, key});
  }

  // Removes and returns the earliest timer if it is due at `now`.
  std::optional<Timer> TakeDue(Micros now) {
    if (timers_.empty() || timers_.begin()->due > now) {
      return std::nullopt;
    }
    return timers_.extract(timers_.begin()).value();
  }

  // Returns the time at which the earliest timer is due, or `fallback` if there
  // are no timers.
  Micros NextDue(Micros fallback) const {
    return timers_.empty() ? fallback : timers_.begin()->due;
  }

  size_t size() const { return timers_.size(); }

 private:
  std::set<Timer> timers_;
};

}  // namespace goldcrest

#endif  // GOLDCREST_TIMERS_H_
