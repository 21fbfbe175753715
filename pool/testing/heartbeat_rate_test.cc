// Heartbeats of many idle entry daemons: their cost to a control daemon must
// not grow with their number, and every guarantee must also hold at the reduced
// rate.

#include <catch2/catch.hpp>

#include "pool/testing/pool_load.h"

namespace goldcrest {
namespace {

TEST_CASE(
    "HeartbeatRates: the reduced rate falls with the number of entry daemons") {
  const HeartbeatRates rates;
  // Small deployments stay at the full rate.
  CHECK(ReducedRatePeriod(rates, 0) == rates.period);
  CHECK(ReducedRatePeriod(rates, 12) == rates.period);
  CHECK(ReducedRateTimeout(rates, rates.period) == rates.full_rate_timeout);
  CHECK(ReducedRatePeriod(rates, 147) == 1176 * kMillisecond);
  CHECK(ReducedRatePeriod(rates, 10'000) == rates.max_reduced_period);
  // The timeout allows for two lost heartbeats.
  CHECK(ReducedRateTimeout(rates, kSecond) > 2 * kSecond);
}

// Returns the number of heartbeats per second that one control daemon exchanges
// with the entry daemons of other failure domains.
double ReducedRateHeartbeatsPerControl(int entries_per_domain) {
  FakePoolOptions options;
  options.entries_per_domain = entries_per_domain;
  FakePool pool(options);
  WaitUntilServing(pool);
  const int before = pool.cross_domain_heartbeats();
  constexpr int kSeconds = 6;
  pool.Run(kSeconds * kSecond);
  const auto controls = static_cast<double>(pool.controls().size());
  return (pool.cross_domain_heartbeats() - before) / controls / kSeconds;
}

TEST_CASE(
    "HeartbeatRates: heartbeats from other domains do not grow with the number "
    "of entry daemons") {
  // All entry daemons together send one heartbeat every 8 ms (125 per second),
  // and each is answered; two thirds of the entry daemons are in other domains
  // here.
  const double limit = 2 * 125 * 2.0 / 3 + 10;
  CHECK(ReducedRateHeartbeatsPerControl(8) <= limit);
  CHECK(ReducedRateHeartbeatsPerControl(16) <= limit);
  CHECK(ReducedRateHeartbeatsPerControl(32) <= limit);
}

FakePoolOptions SlowReducedRatePool() {
  FakePoolOptions options;
  options.rates.reduced_period_per_entry = 400 * kMillisecond;
  return options;
}

TEST_CASE(
    "Mesh: at the reduced rate a crashed control daemon is replaced as quickly "
    "as at the full rate") {
  FakePool pool(SlowReducedRatePool());
  WaitUntilServing(pool);
  SubmitLoad(pool, kSecond, 20 * kMillisecond);
  pool.KillControl(1);
  pool.Run(1500 * kMillisecond);
  CHECK(pool.ReadyWorkers() == static_cast<int>(pool.workers().size()));
  // The entry daemon of its domain has switched to the other control daemons.
  const int job = pool.Submit(1, 4, 60, 2000);
  pool.Run(300 * kMillisecond);
  CHECK(pool.answers().at(job).fate == wire::JOB_COMPLETED);
  RequireNoViolation(pool);
}

TEST_CASE(
    "Mesh: at the reduced rate the jobs of a crashed control daemon run "
    "elsewhere") {
  FakePool pool(SlowReducedRatePool());
  WaitUntilServing(pool);
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

TEST_CASE(
    "Mesh: at the reduced rate a cut between control daemons moves no "
    "workers") {
  FakePoolOptions options = SlowReducedRatePool();
  // The entry daemons of each domain together report often enough that its
  // control daemon is reachable.
  options.rates.reduced_period_per_entry = 50 * kMillisecond;
  options.entries_per_domain = 8;
  FakePool pool(options);
  WaitUntilServing(pool);
  for (const char* other : {"control-a", "control-c"}) {
    pool.DropMessages("control-b", other);
    pool.DropMessages(other, "control-b");
  }
  const int before = pool.CountLogged("worker_session_ended");
  pool.Run(5 * kSecond);
  CHECK(pool.CountLogged("worker_session_ended") == before);
}

// A job that its pool cannot start is forwarded to the pool of another failure
// domain, whose control daemon exchanged heartbeats with the entry daemon at
// the reduced rate only.
TEST_CASE(
    "Mesh: a job forwarded to another domain completes, and ends when its "
    "entry daemon crashes") {
  FakePool pool(SlowReducedRatePool());
  WaitUntilServing(pool);
  // Eight tasks fill the four workers of domain a.
  const int filling = pool.Submit(0, 8, 6000, 9000);
  pool.Run(50 * kMillisecond);
  const int moved = pool.Submit(0, 4, 700, 4000);
  pool.Run(kSecond);
  CHECK(pool.CountLogged("job_forwarded") == 1);
  CHECK(pool.answers().at(moved).fate == wire::JOB_COMPLETED);
  const int orphaned = pool.Submit(0, 4, 3000, 8000);
  pool.Run(300 * kMillisecond);
  CHECK(pool.CountLogged("job_forwarded") == 2);
  pool.KillEntry(0);
  // The caller sends the job again after 1.3 s at the earliest.
  pool.Run(1300 * kMillisecond);
  pool.Resubmit(orphaned, 1);
  pool.Run(4 * kSecond);
  CHECK(pool.answers().at(orphaned).fate == wire::JOB_COMPLETED);
  CHECK(pool.answers().at(filling).fate == wire::JOB_FATE_UNSPECIFIED);
  RequireNoViolation(pool);
}

TEST_CASE(
    "Mesh: a configuration reaches a domain whose control daemon has crashed") {
  FakePool pool(SlowReducedRatePool());
  WaitUntilServing(pool);
  const size_t leader = LeaderOf(pool);
  pool.KillControl((leader + 1) % pool.controls().size());
  pool.Run(100 * kMillisecond);
  ChangeResult result = ChangeResult::kUnknown;
  pool.ChangeConfiguration(leader, 9, &result);
  pool.Run(1500 * kMillisecond);
  CHECK(result == ChangeResult::kDurable);
  for (const FakeEntry& entry : pool.entries()) {
    CHECK(entry.board.routing.version() == 9);
  }
}

}  // namespace
}  // namespace goldcrest
