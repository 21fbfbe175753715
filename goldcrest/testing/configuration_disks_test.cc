// Changes of the configuration on disks that take long for each sync.

#include <catch2/catch.hpp>

#include "goldcrest/testing/fake_world.h"

namespace goldcrest {
namespace {

// Time in which the platform expects service after its machines are back
// (bounds.recovery_s).
constexpr Micros kRecoveryTime = 12 * kSecond;
constexpr Micros kPollPeriod = 100 * kMillisecond;

WorldOptions SlowWorld(Micros sync_time, int vms, uint64_t seed) {
  WorldOptions options;
  options.configuration = DefaultConfiguration();
  options.vms_per_domain.assign(static_cast<size_t>(vms), 1);
  options.disk_every = 1;
  options.sync_time = sync_time;
  options.seed = seed;
  return options;
}

// Runs until `version` is in force at all VMs. Returns the time that took, or
// `limit` if it was not within that.
Micros TimeUntilInForce(FakeWorld& world, uint64_t version, Micros limit) {
  const Micros began_at = world.now();
  while (world.now() - began_at < limit) {
    bool everywhere = true;
    for (const std::string& vm : world.Vms()) {
      everywhere &= world.Board(vm).configuration.in_force.version() >= version;
    }
    if (everywhere) {
      return world.now() - began_at;
    }
    world.RunFor(kPollPeriod);
  }
  return limit;
}

// Guards against a proposer that takes the answer to its own repeated request
// for a refusal and begins anew, so that a change never ends on a disk that
// takes longer than the time between two requests.
TEST_CASE(
    "Configuration: VMs whose disks take up to 1.5 s for a sync agree on the "
    "first document and on changes") {
  const Micros sync_time = GENERATE(100, 200, 800, 1500) * kMillisecond;
  const int vms = GENERATE(1, 3, 5);
  const uint64_t seed = GENERATE(range(1, 6));
  CAPTURE(sync_time, vms, seed);
  FakeWorld world(SlowWorld(sync_time, vms, seed));
  CHECK(TimeUntilInForce(world, 1, kRecoveryTime) < kRecoveryTime);
  Configuration configuration = DefaultConfiguration();
  configuration.service = "changed";
  world.PutConfiguration(world.Vms().back(), 1, configuration);
  CHECK(TimeUntilInForce(world, 2, kRecoveryTime) < kRecoveryTime);
  world.RunFor(2 * sync_time);
  CHECK(world.accepted_changes().size() == 1);
}

TEST_CASE("Configuration: a change is confirmed however slow the disks are") {
  const Micros sync_time = GENERATE(3, 10) * kSecond;
  CAPTURE(sync_time);
  // Each phase takes a sync that waits for one in progress, and a conflict
  // between proposers repeats both.
  const Micros limit = kRecoveryTime + 12 * sync_time;
  FakeWorld world(SlowWorld(sync_time, 3, 1));
  REQUIRE(TimeUntilInForce(world, 1, limit) < limit);
  Configuration configuration = DefaultConfiguration();
  configuration.service = "changed";
  world.PutConfiguration(world.Vms().front(), 1, configuration);
  CHECK(TimeUntilInForce(world, 2, limit) < limit);
  world.RunFor(2 * sync_time);
  CHECK(world.accepted_changes().size() == 1);
}

TEST_CASE("Configuration: two operators at once on slow disks, one succeeds") {
  const Micros sync_time = GENERATE(200, 1500) * kMillisecond;
  const uint64_t seed = GENERATE(range(1, 6));
  CAPTURE(sync_time, seed);
  FakeWorld world(SlowWorld(sync_time, 3, seed));
  REQUIRE(TimeUntilInForce(world, 1, kRecoveryTime) < kRecoveryTime);
  Configuration configuration = DefaultConfiguration();
  for (const std::string& vm : world.Vms()) {
    configuration.service = "changed-" + vm;
    world.PutConfiguration(vm, 1, configuration);
  }
  world.RunFor(3 * kRecoveryTime);
  CHECK(world.accepted_changes().size() == 1);
}

}  // namespace
}  // namespace goldcrest
