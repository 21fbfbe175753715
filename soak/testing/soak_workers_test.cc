#include "soak/soak_workers.h"

#include <catch2/catch.hpp>

namespace goldcrest {
namespace {

constexpr Micros kLease = 500 * kMillisecond;

// Returns the order to start the attempt `number` of a task of 10 s, with a
// lease that lasts until kLease.
WorkerOrder StartOrder(uint32_t number) {
  WorkerOrder order;
  order.kind = OrderKind::kStart;
  order.task.job_id = "job";
  order.attempt = number;
  order.token = number;
  order.spec = "10000/1000";
  order.lease_until_ms = kLease / kMillisecond;
  return order;
}

FakeWorkers TwoWorkers() {
  FakeWorkers workers;
  workers.all.resize(2);
  for (FakeWorker& worker : workers.all) {
    worker.status.set_cpu_millis(1000);
  }
  return workers;
}

// Starts a task on the first worker at the time 0 and again on the second one
// at `now`, in a process that did nothing between. Returns the violations.
size_t ViolationsOfSecondStart(Micros now) {
  FakeWorkers workers = TwoWorkers();
  WorkerOrder first = StartOrder(1);
  REQUIRE(ExecuteOrderAt(workers, workers.all[0], first, 0).outcome ==
          OrderOutcome::kDone);
  WorkerOrder second = StartOrder(2);
  second.lease_until_ms += now / kMillisecond;
  REQUIRE(ExecuteOrderAt(workers, workers.all[1], second, now).outcome ==
          OrderOutcome::kDone);
  return workers.violations.size();
}

// Seed 7100 with stop series: the first task of a job was started again before
// the soak had ended the attempts whose lease had expired.
TEST_CASE("A start after the lease of the first attempt is no violation") {
  CHECK(ViolationsOfSecondStart(kLease + kMillisecond) == 0);
}

TEST_CASE("A start within the lease of the first attempt is a violation") {
  CHECK(ViolationsOfSecondStart(kLease - kMillisecond) == 1);
}

}  // namespace
}  // namespace goldcrest
