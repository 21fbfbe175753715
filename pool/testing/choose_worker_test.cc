// Tests of the choice of workers, the estimate of a job's end, and the ejection
// of failing workers.

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "pool/placement/choose_worker.h"
#include "pool/workers/worker_health.h"

namespace goldcrest {
namespace {

WorkerOffer MakeOffer(int64_t cpu, double factor = 1.0) {
  WorkerOffer offer;
  offer.free = {cpu, 1000, 0};
  offer.run_time_factor = factor;
  return offer;
}

constexpr Resources kRequired = {6800, 64, 0};

TEST_CASE(
    "ChooseWorker: prefers workers near the data, then not suspect, then fast, "
    "then with the least free capacity") {
  std::vector<WorkerOffer> offers = {MakeOffer(16'000), MakeOffer(8000),
                                     MakeOffer(16'000, 0.77), MakeOffer(6000)};
  CHECK(ChooseWorker(offers, kRequired) == 2);
  offers[2].suspect = true;
  CHECK(ChooseWorker(offers, kRequired) == 1);
  offers[1].near_data = false;
  CHECK(ChooseWorker(offers, kRequired) == 0);
  CHECK_FALSE(ChooseWorker({MakeOffer(6000)}, kRequired).has_value());
  CHECK_FALSE(ChooseWorker({}, kRequired).has_value());
}

// Reference implementation: assigns one task after the other to the slot that
// becomes free first, which it finds by a linear scan.
Micros ReferenceEnd(std::vector<Micros> slots,
                    const std::vector<TaskGroup>& ahead,
                    const TaskGroup& job) {
  Micros last = 0;
  const auto start = [&](const TaskGroup& group) {
    last = 0;
    for (size_t i = 0; i < group.tasks; ++i) {
      auto first_free = std::min_element(slots.begin(), slots.end());
      *first_free += group.run_time;
      last = std::max(last, *first_free);
    }
  };
  for (const TaskGroup& group : ahead) {
    start(group);
  }
  start(job);
  return last;
}

TEST_CASE("ExpectedEnd: agrees with a reference that scans all slots") {
  std::mt19937_64 random(5);
  for (int round = 0; round < 500; ++round) {
    std::vector<Micros> slots(1 + random() % 12);
    for (Micros& slot : slots) {
      slot = static_cast<Micros>(random() % 500);
    }
    std::vector<TaskGroup> ahead(random() % 6);
    for (TaskGroup& group : ahead) {
      group = {random() % 9, static_cast<Micros>(random() % 300)};
    }
    const TaskGroup job = {1 + random() % 8,
                           static_cast<Micros>(random() % 300)};
    CHECK(ExpectedEnd(slots, ahead, job) == ReferenceEnd(slots, ahead, job));
  }
  CHECK(ExpectedEnd({}, {}, {1, 1}) == kNever);
}

TEST_CASE(
    "ExpectedEnd: refusing jobs by it in a burst keeps accepted jobs on time") {
  // 24 slots, tasks of 200 ms, twice as many jobs as the slots can run.
  constexpr size_t kSlots = 24;
  constexpr Micros kRunTime = 200 * kMillisecond;
  constexpr Micros kBudget = 1500 * kMillisecond;
  std::vector<Micros> free_at(kSlots, 0);
  int accepted = 0;
  int on_time = 0;
  int refused = 0;
  for (Micros now = 0; now < 4 * kSecond; now += 8 * kMillisecond) {
    std::vector<Micros> from_now;
    for (const Micros at : free_at) {
      from_now.push_back(std::max<Micros>(at - now, 0));
    }
    if (ExpectedEnd(from_now, {}, {2, kRunTime}) > kBudget) {
      ++refused;
      continue;
    }
    ++accepted;
    Micros end = 0;
    for (int task = 0; task < 2; ++task) {
      auto slot_free_at = std::min_element(free_at.begin(), free_at.end());
      *slot_free_at = std::max(*slot_free_at, now) + kRunTime;
      end = std::max(end, *slot_free_at);
    }
    on_time += end - now <= kBudget ? 1 : 0;
  }
  CHECK(accepted == on_time);  // every accepted job ends within its budget
  CHECK(refused > 0);
  // The slots were not left idle: as many jobs were accepted as they could run.
  CHECK(accepted >= 4 * kSecond / kRunTime * static_cast<int>(kSlots) / 2);
}

TEST_CASE(
    "RecordFailure: consecutive failures eject a worker for increasing times") {
  PoolWorker worker;
  CHECK_FALSE(RecordFailure(worker, 0));
  CHECK(MayTakeTask(worker, 0));
  CHECK(RecordFailure(worker, 0));
  CHECK_FALSE(MayTakeTask(worker, 999 * kMillisecond));
  CHECK(MayTakeTask(worker, kSecond));  // one task, on probation
  worker.attempts[{"job", 0, 0, 0}] = {};
  CHECK_FALSE(MayTakeTask(worker, kSecond));
  worker.attempts.clear();
  CHECK(RecordFailure(worker, kSecond));
  CHECK_FALSE(MayTakeTask(worker, 2900 * kMillisecond));
  CHECK(MayTakeTask(worker, 3 * kSecond));
  RecordSuccess(worker, 0, 0);
  CHECK(MayTakeTask(worker, 0));
  CHECK(worker.health.failures_in_row == 0);
}

}  // namespace
}  // namespace goldcrest
