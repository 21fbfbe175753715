#include "goldcrest/write_times.h"

#include <catch2/catch.hpp>

namespace goldcrest {
namespace {

constexpr Micros kFast = 9 * kMillisecond;

// Completes the write `number`, which takes `duration` from `now` on.
void Write(WriteTimes& times, uint64_t number, Micros now, Micros duration) {
  BeginWrite(times, number, now);
  EndWrite(times, number, true, now + duration);
}

TEST_CASE("WriteTimes: a write in progress counts by its age, to a limit") {
  WriteTimes times;
  BeginWrite(times, 1, kSecond);
  BeginWrite(times, 2, 2 * kSecond);
  CHECK(ExpectedWriteTime(times, 5 * kSecond) == 4 * kSecond);
  CHECK(ExpectedWriteTime(times, 500 * kSecond) == kMaxExpectedWriteTime);
  EndWrite(times, 2, true, 5 * kSecond);
  CHECK(OldestWriteAge(times, 5 * kSecond) == 0);
  CHECK(ExpectedWriteTime(times, 5 * kSecond) == 3 * kSecond);
}

TEST_CASE("WriteTimes: a disk that has stalled once is soon fast again") {
  WriteTimes times;
  Write(times, 1, kSecond, 8 * kSecond);
  for (uint64_t number = 2; number <= 3; ++number) {
    Write(times, number, 20 * kSecond, kFast);
    CHECK(ExpectedWriteTime(times, 30 * kSecond) == 8 * kSecond);
  }
  Write(times, 4, 20 * kSecond, kFast);
  CHECK(ExpectedWriteTime(times, 30 * kSecond) == kFast);
}

TEST_CASE("WriteTimes: a failed write tells nothing of the disk's speed") {
  WriteTimes times;
  BeginWrite(times, 1, kSecond);
  EndWrite(times, 1, false, 9 * kSecond);
  CHECK(ExpectedWriteTime(times, 9 * kSecond) == 0);
}

TEST_CASE("WriteTimes: a slow disk is reported once, and so is its recovery") {
  WriteTimes times;
  BeginWrite(times, 1, kSecond);
  CHECK(ReviewDiskSpeed(times, kSecond + kSlowWrite) == DiskSpeedChange::kNone);
  const Micros later = kSecond + 2 * kSlowWrite;
  CHECK(ReviewDiskSpeed(times, later) == DiskSpeedChange::kBecameSlow);
  CHECK(ReviewDiskSpeed(times, later) == DiskSpeedChange::kNone);
  EndWrite(times, 1, true, later);
  for (uint64_t number = 2; number <= 4; ++number) {
    CHECK(ReviewDiskSpeed(times, later) == DiskSpeedChange::kNone);
    Write(times, number, later, kFast);
  }
  CHECK(ReviewDiskSpeed(times, later) == DiskSpeedChange::kRecovered);
}

TEST_CASE("WriteTimes: the write time of a majority") {
  CHECK(MajorityTime({}) == 0);
  CHECK(MajorityTime({7}) == 7);
  CHECK(MajorityTime({9, 1, 5}) == 5);
  CHECK(MajorityTime({9, 1, 5, 7}) == 7);
}

}  // namespace
}  // namespace goldcrest
