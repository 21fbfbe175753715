// The load of many entry daemons without work: what they cost a control daemon
// must not grow with their number, and no promise may rest on the slow rate.

#include <catch2/catch.hpp>

#include "pool/testing/pool_load.h"

namespace goldcrest {
namespace {

TEST_CASE("The far rate falls with the number of entry daemons") {
  const PresenceRates rates;
  // Small deployments stay at the full rate.
  CHECK(FarPeriod(rates, 0) == rates.period);
  CHECK(FarPeriod(rates, 12) == rates.period);
  CHECK(FarSilence(rates, rates.period) == rates.silence);
  CHECK(FarPeriod(rates, 147) == 1176 * kMillisecond);
  CHECK(FarPeriod(rates, 10'000) == rates.longest_far_period);
  // Two presences may be lost.
  CHECK(FarSilence(rates, kSecond) > 2 * kSecond);
}

// Presences that one control daemon exchanges with far entry daemons, by
// second.
double FarPresencesOfOne(int entries_per_domain) {
  FakePoolOptions options;
  options.entries_per_domain = entries_per_domain;
  FakePool pool(options);
  Settle(pool);
  const int before = pool.far_presences();
  constexpr int kSeconds = 6;
  pool.Run(kSeconds * kSecond);
  const auto controls = static_cast<double>(pool.controls().size());
  return (pool.far_presences() - before) / controls / kSeconds;
}

TEST_CASE("Presences from afar do not grow with the entry daemons") {
  // One presence each 8 ms comes from all of them together, and is answered;
  // two thirds of them are in other domains here.
  const double most = 2 * 125 * 2.0 / 3 + 10;
  CHECK(FarPresencesOfOne(8) <= most);
  CHECK(FarPresencesOfOne(16) <= most);
  CHECK(FarPresencesOfOne(32) <= most);
}

FakePoolOptions SlowFarPool() {
  FakePoolOptions options;
  options.rates.far_period_per_entry = 400 * kMillisecond;
  return options;
}

TEST_CASE("At the far rate a dead control daemon is replaced as quickly") {
  FakePool pool(SlowFarPool());
  Settle(pool);
  Load(pool, kSecond, 20 * kMillisecond);
  pool.KillControl(1);
  pool.Run(1500 * kMillisecond);
  CHECK(pool.ReadyWorkers() == static_cast<int>(pool.workers().size()));
  // The entry daemon of its domain has found the others.
  const int job = pool.Submit(1, 4, 60, 2000);
  pool.Run(300 * kMillisecond);
  CHECK(pool.answers().at(job).fate == wire::JOB_COMPLETED);
  RequireNoViolation(pool);
}

TEST_CASE("At the far rate jobs of a dead control daemon run elsewhere") {
  FakePool pool(SlowFarPool());
  Settle(pool);
  pool.KillControl(0);
  std::vector<int> jobs;
  for (int i = 0; i < 10; ++i) {
    jobs.push_back(pool.Submit(0, 2, 60, 2000));
    pool.Run(20 * kMillisecond);
  }
  pool.Run(2 * kSecond);
  for (const int job : jobs) {
    CHECK(pool.answers().at(job).fate == wire::JOB_COMPLETED);
  }
  RequireNoViolation(pool);
}

TEST_CASE("At the far rate a cut between control daemons moves no workers") {
  FakePoolOptions options = SlowFarPool();
  // Each domain's entry daemons together report on its control daemon.
  options.rates.far_period_per_entry = 50 * kMillisecond;
  options.entries_per_domain = 8;
  FakePool pool(options);
  Settle(pool);
  for (const char* other : {"control-a", "control-c"}) {
    pool.CutMesh("control-b", other);
    pool.CutMesh(other, "control-b");
  }
  const int before = pool.CountLogged("worker_session_ended");
  pool.Run(5 * kSecond);
  CHECK(pool.CountLogged("worker_session_ended") == before);
}

// A job that its pool cannot start goes to a far one, whose control daemon has
// heard the entry daemon at the far rate only.
TEST_CASE("A job that moves to a far pool is served and dies with its entry") {
  FakePool pool(SlowFarPool());
  Settle(pool);
  // Eight tasks fill the four workers of domain a.
  const int filling = pool.Submit(0, 8, 6000, 9000);
  pool.Run(50 * kMillisecond);
  const int moved = pool.Submit(0, 4, 700, 4000);
  pool.Run(kSecond);
  CHECK(pool.CountLogged("job_forwarded") == 1);
  CHECK(pool.answers().at(moved).fate == wire::JOB_COMPLETED);
  const int orphan = pool.Submit(0, 4, 3000, 8000);
  pool.Run(300 * kMillisecond);
  CHECK(pool.CountLogged("job_forwarded") == 2);
  pool.KillEntry(0);
  // Its caller sends it again after 1.3 s at the earliest.
  pool.Run(1300 * kMillisecond);
  pool.Resubmit(orphan, 1);
  pool.Run(4 * kSecond);
  CHECK(pool.answers().at(orphan).fate == wire::JOB_COMPLETED);
  CHECK(pool.answers().at(filling).fate == wire::JOB_FATE_UNSPECIFIED);
  RequireNoViolation(pool);
}

TEST_CASE("A configuration reaches a domain without its control daemon") {
  FakePool pool(SlowFarPool());
  Settle(pool);
  const size_t leader = LeaderOf(pool);
  pool.KillControl((leader + 1) % pool.controls().size());
  pool.Run(100 * kMillisecond);
  ChangeResult result = ChangeResult::kUnknown;
  pool.Change(leader, 9, &result);
  pool.Run(1500 * kMillisecond);
  CHECK(result == ChangeResult::kDurable);
  for (const FakeEntry& entry : pool.entries()) {
    CHECK(entry.board.routing.version() == 9);
  }
}

}  // namespace
}  // namespace goldcrest
