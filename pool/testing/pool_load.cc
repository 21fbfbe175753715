#include "pool/testing/pool_load.h"

#include <random>

#include <catch2/catch.hpp>

namespace goldcrest {

void WaitUntilServing(FakePool& pool) {
  pool.Run(3 * kSecond);
  ChangeResult result = ChangeResult::kUnknown;
  pool.ChangeConfiguration(0, 5, &result);
  pool.Run(kSecond);
  REQUIRE(result == ChangeResult::kDurable);
}

void SubmitLoad(FakePool& pool, Micros duration, Micros gap) {
  const Micros until = pool.now() + duration;
  size_t entry = 0;
  while (pool.now() < until) {
    pool.Submit(entry++ % pool.entries().size(), 4, 60, 2000);
    pool.Run(gap);
  }
}

size_t LeaderOf(FakePool& pool) {
  size_t leader = 0;
  for (size_t i = 0; i < pool.controls().size(); ++i) {
    const Agreement& agreement = pool.controls()[i].board.agreement;
    leader = agreement.role == AgreementRole::kLeader ? i : leader;
  }
  return leader;
}

void RequireNoViolation(const FakePool& pool) {
  for (const std::string& violation : pool.violations()) {
    FAIL(violation);
  }
  CHECK(pool.CountRefusedAfterStart() == 0);
}

void InjectRandomFaults(const FakePoolOptions& options, Micros gap) {
  const uint64_t seed = options.seed;
  FakePool pool(options);
  WaitUntilServing(pool);
  std::mt19937_64 random(seed);
  uint64_t acknowledged = 5;
  uint64_t version = 6;
  for (int round = 0; round < 12; ++round) {
    const size_t victim = random() % 3;
    FakeControl& control = pool.controls()[victim];
    switch (random() % 8) {
      case 0:
        pool.KillControl(victim);
        break;
      case 1:
        control.paused = true;
        break;
      case 2:
        pool.CutDomain(control.domain);
        break;
      case 3:
        pool.workers()[random() % pool.workers().size()].reachable = false;
        break;
      case 4:
        pool.workers()[random() % pool.workers().size()].late_order_share = 0.2;
        break;
      case 5:
        pool.KillEntry(victim);
        break;
      case 6:
        for (size_t i = 0; i < pool.controls().size(); ++i) {
          pool.KillControl(i);
        }
        break;
      default:
        control.disk_write_fails = true;
        break;
    }
    ChangeResult result = ChangeResult::kUnknown;
    pool.ChangeConfiguration(random() % 3, version, &result);
    SubmitLoad(pool, static_cast<Micros>(random() % 2000) * kMillisecond, gap);
    pool.Run(1500 * kMillisecond);
    acknowledged = result == ChangeResult::kDurable ? version : acknowledged;
    ++version;
    pool.EndPartitions();
    for (size_t i = 0; i < pool.controls().size(); ++i) {
      pool.controls()[i].paused = false;
      pool.controls()[i].disk_write_fails = false;
      if (!pool.controls()[i].running) {
        pool.StartControl(i);
      }
      if (i < pool.entries().size() && !pool.entries()[i].running) {
        pool.StartEntry(i);
      }
    }
    for (FakeWorker& worker : pool.workers()) {
      worker.reachable = true;
      worker.late_order_share = 0;
    }
    // After a restart of all daemons, an acknowledged version is known again
    // only when a leader is elected.
    pool.Run(static_cast<Micros>(2500 + random() % 3000) * kMillisecond);
    CHECK(pool.NewestVersion() >= acknowledged);
  }
  pool.Run(10 * kSecond);
  RequireNoViolation(pool);
  CHECK(pool.ReadyWorkers() == static_cast<int>(pool.workers().size()));
  const int completed = pool.CountAnswers(wire::JOB_COMPLETED);
  SubmitLoad(pool, kSecond, 20 * kMillisecond);
  pool.Run(kSecond);
  CHECK(pool.CountAnswers(wire::JOB_COMPLETED) - completed == 50);
}

}  // namespace goldcrest
