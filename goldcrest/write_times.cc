#include "goldcrest/write_times.h"

#include <algorithm>
#include <iterator>

namespace goldcrest {

void BeginWrite(WriteTimes& times, uint64_t number, Micros now) {
  times.requested_at.emplace(number, now);
}

void EndWrite(WriteTimes& times, uint64_t number, bool ok, Micros now) {
  const auto ended = times.requested_at.find(number);
  if (ended == times.requested_at.end()) {
    return;
  }
  if (ok) {
    times.latest[times.next_latest] = now - ended->second;
    times.next_latest = (times.next_latest + 1) % times.latest.size();
  }
  times.requested_at.erase(times.requested_at.begin(), std::next(ended));
}

Micros OldestWriteAge(const WriteTimes& times, Micros now) {
  return times.requested_at.empty() ? 0
                                    : now - times.requested_at.begin()->second;
}

Micros ExpectedWriteTime(const WriteTimes& times, Micros now) {
  const Micros longest =
      *std::max_element(times.latest.begin(), times.latest.end());
  return std::min(kMaxExpectedWriteTime,
                  std::max(longest, OldestWriteAge(times, now)));
}

Micros MajorityTime(std::vector<Micros> times) {
  if (times.empty()) {
    return 0;
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

void ExcludePauseFromWrites(WriteTimes& times, Micros pause) {
  for (auto& [number, requested_at] : times.requested_at) {
    requested_at += pause;
  }
}

DiskSpeedChange ReviewDiskSpeed(WriteTimes& times, Micros now) {
  const bool is_slow = ExpectedWriteTime(times, now) > kSlowWrite;
  if (is_slow == times.slow_reported) {
    return DiskSpeedChange::kNone;
  }
  times.slow_reported = is_slow;
  return is_slow ? DiskSpeedChange::kBecameSlow : DiskSpeedChange::kRecovered;
}

}  // namespace goldcrest
