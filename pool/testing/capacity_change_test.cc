// Workers whose capacity shrinks and grows while they run, and that do not
// guard it themselves: no start may go beyond it.

#include <catch2/catch.hpp>

#include "pool/placement/task_requirements.h"
#include "pool/testing/pool_load.h"
#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

constexpr int64_t kFullCpuMillis = 16'000;
// The time in which a change reaches the worker's owner: a report and a hop.
constexpr Micros kReportTime = 1700 * kMillisecond;

FakePool UnguardedPool(uint64_t seed) {
  FakePoolOptions options;
  options.seed = seed;
  options.features.placement_lookahead = seed % 2 == 0;
  FakePool pool(options);
  for (FakeWorker& worker : pool.workers()) {
    worker.guards_capacity = false;
  }
  WaitUntilServing(pool);
  return pool;
}

void Resize(FakePool& pool, size_t worker, int64_t cpu_millis) {
  FakeWorker& resized = pool.workers()[worker];
  resized.judged_cpu_millis = resized.status.cpu_millis();
  resized.status.set_cpu_millis(static_cast<uint32_t>(cpu_millis));
}

// From now on, the owners must know all capacities.
void JudgePresentCapacity(FakePool& pool) {
  for (FakeWorker& worker : pool.workers()) {
    worker.judged_cpu_millis = 0;
  }
}

TEST_CASE("Capacity: no start beyond it while it shrinks and grows in turn") {
  constexpr std::array<int64_t, 5> kSizes = {0, 5000, 7000, 12'000,
                                             kFullCpuMillis};
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    FakePool pool = UnguardedPool(seed);
    std::mt19937_64 random(seed);
    for (int round = 0; round < 6; ++round) {
      for (size_t i = 0; i < pool.workers().size(); ++i) {
        Resize(pool, i, kSizes[random() % kSizes.size()]);
      }
      SubmitLoad(pool, kReportTime, 10 * kMillisecond);
      JudgePresentCapacity(pool);
      SubmitLoad(pool, kSecond, 10 * kMillisecond);
    }
    RequireNoViolation(pool);
  }
}

TEST_CASE("Capacity: a worker that grows back takes tasks again") {
  FakePool pool = UnguardedPool(1);
  for (size_t i = 0; i < pool.workers().size(); ++i) {
    Resize(pool, i, 0);
  }
  pool.Run(kReportTime);
  JudgePresentCapacity(pool);
  const int refused = pool.Submit(0, 1, 60, 1000);
  pool.Run(1100 * kMillisecond);
  CHECK(pool.answers().at(refused).fate == wire::JOB_REFUSED);
  for (size_t i = 0; i < pool.workers().size(); ++i) {
    Resize(pool, i, kFullCpuMillis);
  }
  pool.Run(kReportTime);
  const int served = pool.Submit(0, 1, 60, 1000);
  pool.Run(300 * kMillisecond);
  CHECK(pool.answers().at(served).fate == wire::JOB_COMPLETED);
  RequireNoViolation(pool);
}

TEST_CASE("Capacity: unknown runs use all of a worker that grows meanwhile") {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    FakePool pool = UnguardedPool(seed);
    for (size_t i = 0; i < pool.workers().size(); ++i) {
      pool.Submit(i % 3, 2, 700, 2000);
    }
    pool.Run(100 * kMillisecond);
    // The next owners find runs that they do not know, on workers that report
    // next to no capacity, and stop them.
    for (size_t i = 0; i < pool.workers().size(); ++i) {
      Resize(pool, i, 100);
    }
    pool.Run(kReportTime / 2);
    pool.KillControl(0);
    pool.KillControl(1);
    pool.Run(300 * kMillisecond);
    for (size_t i = 0; i < pool.workers().size(); ++i) {
      Resize(pool, i, kFullCpuMillis);
    }
    JudgePresentCapacity(pool);
    for (int i = 0; i < 100; ++i) {
      pool.Submit(2, 4, 100, 1500);
      pool.Run(10 * kMillisecond);
    }
    RequireNoViolation(pool);
  }
}

// An unknown run that was found while its worker reported next to no capacity.
TEST_CASE("Capacity: a worker that grows takes nothing beside an unknown run") {
  PoolBoard board;
  PoolWorker& worker = board.workers["w"];
  worker.status.set_id("w");
  worker.status.set_cpu_millis(100);
  board.owned["w"] = &worker;
  worker.session = SessionState::kReady;
  worker.session_number = 1;
  WorkerAnswer answer;
  answer.order.worker = "w";
  answer.order.session = 1;
  answer.outcome = OrderOutcome::kDone;
  answer.clock_ms = 1;
  answer.running.push_back({{"job", 0, 0, 0}, 1, 50});
  PoolActions actions;
  OnWorkerAnswer(board, answer, kSecond, actions);
  worker.status.set_cpu_millis(kFullCpuMillis);
  CHECK_FALSE(AcceptsStarts(worker, kSecond));
  answer.clock_ms = 1001;
  answer.running.clear();
  answer.ended.push_back({1, {"job", 0, 0, 0}, 1, AttemptEnd::kStopped});
  OnWorkerAnswer(board, answer, 2 * kSecond, actions);
  CHECK(AcceptsStarts(worker, 2 * kSecond));
}

}  // namespace
}  // namespace goldcrest
