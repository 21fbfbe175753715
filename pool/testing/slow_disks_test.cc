// Elections and changes of the configuration on disks that take long for each
// write.

#include <array>
#include <deque>
#include <random>

#include <catch2/catch.hpp>

#include "goldcrest/testing/test_options.h"
#include "pool/testing/pool_load.h"

namespace goldcrest {
namespace {

// Time in which the platform expects service after its machines are back
// (bounds.recovery_s).
constexpr Micros kRecoveryTime = 12 * kSecond;
// Time after which an operator moves on to the next control daemon.
constexpr Micros kOperatorTimeout = kSecond;
constexpr Micros kOperatorPause = 300 * kMillisecond;
// Random faults of one history, and the write times that they draw from.
constexpr int kRandomFaults = 12;
constexpr Micros kLongestWrite = 5 * kSecond;
constexpr std::array<Micros, 4> kWriteTimes = {
    9 * kMillisecond, 200 * kMillisecond, 1500 * kMillisecond, kLongestWrite};
// Number of seeds that run without --seeds.
constexpr uint64_t kDefaultSeeds = 40;
constexpr auto kNoAnswer = static_cast<ChangeResult>(0xff);

FakePoolOptions SlowPool(Micros disk_write_time, uint64_t seed) {
  FakePoolOptions options;
  options.workers_per_domain = 1;
  options.disk_write_time = disk_write_time;
  options.seed = seed;
  options.print_log = Options().trace;
  return options;
}

FakePoolOptions FiveControls(Micros disk_write_time, uint64_t seed) {
  FakePoolOptions options = SlowPool(disk_write_time, seed);
  options.domains = {"a", "b", "c", "d", "e"};
  options.tolerated_losses = 2;
  return options;
}

// Sends a change to one control daemon after another until it is acknowledged,
// as operators do. Returns the time that took, or `limit` if it was not
// acknowledged within that.
Micros TimeToConfirm(FakePool& pool, uint64_t version, Micros limit) {
  const Micros began_at = pool.now();
  std::deque<ChangeResult> answers;
  for (size_t i = 0; pool.now() - began_at < limit; ++i) {
    const size_t control = i % pool.controls().size();
    if (!pool.controls()[control].running) {
      continue;
    }
    ChangeResult& answer = answers.emplace_back(kNoAnswer);
    pool.ChangeConfiguration(control, version, &answer);
    const Micros sent_at = pool.now();
    while (answer == kNoAnswer && pool.now() - sent_at < kOperatorTimeout) {
      pool.Run(kMillisecond);
    }
    if (answer == ChangeResult::kDurable) {
      return pool.now() - began_at;
    }
    pool.Run(kOperatorPause);
  }
  return limit;
}

// Guards against a candidate that gives up before the votes are on disk, so
// that no leader is ever elected.
TEST_CASE(
    "Agreement: voters whose disks take up to 1.5 s for a write elect a leader "
    "and confirm the first configuration") {
  const Micros write_time = GENERATE(500, 800, 1000, 1500) * kMillisecond;
  const uint64_t seed = GENERATE(range(1, 21));
  const bool five = GENERATE(false, true);
  CAPTURE(write_time, seed, five);
  FakePool pool(five ? FiveControls(write_time, seed)
                     : SlowPool(write_time, seed));
  CHECK(TimeToConfirm(pool, 1, kRecoveryTime) < kRecoveryTime);
  // Every control daemon tells that its disk is slow.
  if (write_time > kSlowWrite) {
    CHECK(pool.CountLogged("disk_slow") ==
          static_cast<int>(pool.controls().size()));
  }
}

TEST_CASE("Agreement: a leader is elected however slow the disks are") {
  const Micros write_time = GENERATE(5, 10, 20) * kSecond;
  const uint64_t seed = GENERATE(range(1, 6));
  CAPTURE(write_time, seed);
  // The first write, a vote of the candidate, votes for it, and the first entry
  // of the leader; twice that for an election that fails.
  const Micros limit = kRecoveryTime + 8 * write_time;
  FakePool pool(SlowPool(write_time, seed));
  CHECK(TimeToConfirm(pool, 1, limit) < limit);
}

TEST_CASE("Agreement: one slow disk does not delay the first configuration") {
  const uint64_t seed = GENERATE(range(1, 11));
  const size_t slow = GENERATE(0, 1, 2);
  const Micros write_time = GENERATE(1500, 60'000) * kMillisecond;
  CAPTURE(seed, slow, write_time);
  FakePool pool(SlowPool(9 * kMillisecond, seed));
  pool.controls()[slow].disk_write_time = write_time;
  // The writes at the start have begun on fast disks.
  for (size_t i = 0; i < pool.controls().size(); ++i) {
    pool.KillControl(i);
    pool.StartControl(i, true);
  }
  CHECK(TimeToConfirm(pool, 1, kRecoveryTime) < 3 * kSecond);
}

TEST_CASE(
    "Agreement: a leader keeps its place when the disks become slow, and "
    "confirms changes") {
  const Micros write_time = GENERATE(800, 1500, 4000) * kMillisecond;
  const uint64_t seed = GENERATE(range(1, 11));
  CAPTURE(write_time, seed);
  FakePool pool(SlowPool(9 * kMillisecond, seed));
  WaitUntilServing(pool);
  pool.SetDiskWriteTime(write_time);
  for (uint64_t version = 10; version < 15; ++version) {
    CHECK(TimeToConfirm(pool, version, kRecoveryTime) < kRecoveryTime);
  }
  CHECK(pool.CountLogged("leadership_lost") == 0);
  CHECK(pool.CountLogged("leadership_won") == 1);
}

TEST_CASE("Agreement: a leader is replaced on slow disks") {
  const Micros write_time = GENERATE(800, 1500) * kMillisecond;
  const uint64_t seed = GENERATE(range(1, 21));
  const bool five = GENERATE(false, true);
  CAPTURE(write_time, seed, five);
  FakePool pool(five ? FiveControls(9 * kMillisecond, seed)
                     : SlowPool(9 * kMillisecond, seed));
  WaitUntilServing(pool);
  pool.SetDiskWriteTime(write_time);
  pool.KillControl(LeaderOf(pool));
  CHECK(TimeToConfirm(pool, 10, kRecoveryTime) < kRecoveryTime);
}

TEST_CASE(
    "Agreement: control daemons that all restart on slow disks elect a leader "
    "and keep what was acknowledged") {
  const Micros write_time = GENERATE(800, 1500) * kMillisecond;
  const uint64_t seed = GENERATE(range(1, 21));
  CAPTURE(write_time, seed);
  FakePool pool(SlowPool(write_time, seed));
  REQUIRE(TimeToConfirm(pool, 10, kRecoveryTime) < kRecoveryTime);
  for (size_t i = 0; i < pool.controls().size(); ++i) {
    pool.KillControl(i);
  }
  pool.Run(200 * kMillisecond);
  for (size_t i = 0; i < pool.controls().size(); ++i) {
    pool.StartControl(i);
  }
  CHECK(TimeToConfirm(pool, 11, kRecoveryTime) < kRecoveryTime);
  CHECK(pool.NewestVersion() == 11);
}

TEST_CASE("Agreement: the stall of all disks delays no later election") {
  constexpr Micros kStall = 8 * kSecond;
  const uint64_t seed = GENERATE(range(1, 11));
  CAPTURE(seed);
  FakePool pool(SlowPool(9 * kMillisecond, seed));
  WaitUntilServing(pool);
  pool.SetDiskWriteTime(kStall);
  ChangeResult ignored = kNoAnswer;
  pool.ChangeConfiguration(LeaderOf(pool), 10, &ignored);
  pool.Run(kMillisecond * 20);
  pool.SetDiskWriteTime(9 * kMillisecond);
  pool.Run(kStall);
  pool.KillControl(LeaderOf(pool));
  CHECK(TimeToConfirm(pool, 11, kRecoveryTime) < 4 * kSecond);
}

// Guards against a state of the election from which slow disks leave no way.
TEST_CASE(
    "Agreement: control daemons whose disks change and that restart at random "
    "confirm a change when all run on slow disks") {
  const TestOptions& options = Options();
  const uint64_t seeds = options.seeds == 0 ? kDefaultSeeds : options.seeds;
  for (uint64_t i = 0; i < seeds; ++i) {
    const uint64_t seed = options.first_seed + i;
    CAPTURE(seed);
    FakePool pool(seed % 2 == 0 ? FiveControls(9 * kMillisecond, seed)
                                : SlowPool(9 * kMillisecond, seed));
    WaitUntilServing(pool);
    std::mt19937_64 random(seed);
    const auto draw = [&](size_t count) { return random() % count; };
    uint64_t version = 10;
    std::deque<ChangeResult> answers;
    for (int fault = 0; fault < kRandomFaults; ++fault) {
      const size_t control = draw(pool.controls().size());
      pool.controls()[control].disk_write_time =
          kWriteTimes[draw(kWriteTimes.size())];
      const bool restarts = draw(3) == 0;
      if (restarts) {
        pool.KillControl(control);
      }
      pool.ChangeConfiguration(draw(pool.controls().size()), version++,
                               &answers.emplace_back(kNoAnswer));
      pool.Run(static_cast<Micros>(draw(1500)) * kMillisecond);
      if (restarts) {
        pool.StartControl(control);
      }
    }
    pool.SetDiskWriteTime(1500 * kMillisecond);
    pool.Run(kLongestWrite);  // the writes in progress end
    CHECK(TimeToConfirm(pool, version, kRecoveryTime) < kRecoveryTime);
    CHECK(pool.NewestVersion() == version);
  }
}

}  // namespace
}  // namespace goldcrest
