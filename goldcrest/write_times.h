#ifndef GOLDCREST_WRITE_TIMES_H_
#define GOLDCREST_WRITE_TIMES_H_

// How long a daemon's disk takes for a write: from the request of a write until
// it is durable, including the time that it waits for earlier ones.
//
// Decisions that wait for a write, here or at another daemon, use
// ExpectedWriteTime() as a part of their timeouts, so that they work on any
// disk. The disk completes writes in the order of their numbers.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "goldcrest/time_units.h"

namespace goldcrest {

// A write that takes longer than this is logged.
inline constexpr Micros kSlowWrite = 500 * kMillisecond;
// Limit of ExpectedWriteTime().
inline constexpr Micros kMaxExpectedWriteTime = 60 * kSecond;

struct WriteTimes {
  // When the writes in progress were requested, by number.
  std::map<uint64_t, Micros> requested_at;
  // Durations of the latest completed writes, in no order. Few, so that a disk
  // that has stalled once is soon expected to be fast again.
  std::array<Micros, 3> latest = {};
  size_t next_latest = 0;  // index of the oldest one
  bool slow_reported = false;
};

// Records that the write `number` was requested. Numbers rise.
void BeginWrite(WriteTimes& times, uint64_t number, Micros now);

// Records that the write `number` and all earlier ones are durable (`ok`) or
// have failed. Failed writes do not count in ExpectedWriteTime(). Ignores a
// number that is not in progress.
void EndWrite(WriteTimes& times, uint64_t number, bool ok, Micros now);

// Returns the age of the oldest write in progress, 0 if there is none.
Micros OldestWriteAge(const WriteTimes& times, Micros now);

// Returns how long a write that is requested now presumably takes: as long as
// the longest of the latest ones, or as the oldest one in progress has taken.
Micros ExpectedWriteTime(const WriteTimes& times, Micros now);

// Returns the time after which a majority has completed a write, where `times`
// are the write times of all voters; 0 if there is none.
Micros MajorityTime(std::vector<Micros> times);

// Excludes a pause of the process from the writes in progress.
void ExcludePauseFromWrites(WriteTimes& times, Micros pause);

// A change of the disk's speed that is to be logged.
enum class DiskSpeedChange : uint8_t { kNone, kBecameSlow, kRecovered };

// Names of the log events, indexed by DiskSpeedChange.
inline constexpr std::array<std::string_view, 3> kDiskSpeedEvents = {
    "none", "disk_slow", "disk_fast_again"};

inline std::string_view ToString(DiskSpeedChange change) {
  return kDiskSpeedEvents[static_cast<size_t>(change)];
}

// Returns whether a line about the disk's speed is due: once when a write has
// taken longer than kSlowWrite, or is in progress for longer, and once when
// later ones take less.
DiskSpeedChange ReviewDiskSpeed(WriteTimes& times, Micros now);

}  // namespace goldcrest

#endif  // GOLDCREST_WRITE_TIMES_H_
