// Placing and refusing, on plain numbers.

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "pool/choose_worker.h"
#include "pool/worker_health.h"

namespace goldcrest {
namespace {

WorkerOffer Offer(int64_t cpu, double factor = 1.0) {
  WorkerOffer offer;
  offer.free = {cpu, 1000, 0};
  offer.factor = factor;
  return offer;
}

constexpr Need kNeed = {6800, 64, 0};

TEST_CASE("A task goes near its data, then to sound, fast and full workers") {
  std::vector<WorkerOffer> offers = {Offer(16'000), Offer(8000),
                                     Offer(16'000, 0.77), Offer(6000)};
  CHECK(ChooseWorker(offers, kNeed) == 2);
  offers[2].suspect = true;
  CHECK(ChooseWorker(offers, kNeed) == 1);
  offers[1].near_data = false;
  CHECK(ChooseWorker(offers, kNeed) == 0);
  CHECK_FALSE(ChooseWorker({Offer(6000)}, kNeed).has_value());
  CHECK_FALSE(ChooseWorker({}, kNeed).has_value());
}

// The slow reference: tries every order in which places can be handed out in
// sequence, one task after the other, by scanning for the earliest place.
Micros SlowEnd(std::vector<Micros> slots,
               const std::vector<TaskGroup>& ahead,
               const TaskGroup& job) {
  Micros last = 0;
  const auto start = [&](const TaskGroup& group) {
    last = 0;
    for (size_t i = 0; i < group.tasks; ++i) {
      auto earliest = std::min_element(slots.begin(), slots.end());
      *earliest += group.run_time;
      last = std::max(last, *earliest);
    }
  };
  for (const TaskGroup& group : ahead) {
    start(group);
  }
  start(job);
  return last;
}

TEST_CASE("The expected end agrees with a scan of all places") {
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
    CHECK(ExpectedEnd(slots, ahead, job) == SlowEnd(slots, ahead, job));
  }
  CHECK(ExpectedEnd({}, {}, {1, 1}) == kNever);
}

TEST_CASE("In a burst, refusing at arrival leaves the others in time") {
  // 24 places, tasks of 200 ms, twice as many jobs as the places can take.
  constexpr size_t kPlaces = 24;
  constexpr Micros kRun = 200 * kMillisecond;
  constexpr Micros kBudget = 1500 * kMillisecond;
  std::vector<Micros> free_at(kPlaces, 0);
  int taken = 0;
  int in_time = 0;
  int refused = 0;
  for (Micros now = 0; now < 4 * kSecond; now += 8 * kMillisecond) {
    std::vector<Micros> from_now;
    for (const Micros at : free_at) {
      from_now.push_back(std::max<Micros>(at - now, 0));
    }
    if (ExpectedEnd(from_now, {}, {2, kRun}) > kBudget) {
      ++refused;
      continue;
    }
    ++taken;
    Micros end = 0;
    for (int task = 0; task < 2; ++task) {
      auto place = std::min_element(free_at.begin(), free_at.end());
      *place = std::max(*place, now) + kRun;
      end = std::max(end, *place);
    }
    in_time += end - now <= kBudget ? 1 : 0;
  }
  CHECK(taken == in_time);  // nobody waits in vain
  CHECK(refused > 0);
  // The places were never idle: as much was taken as they could run.
  CHECK(taken >= 4 * kSecond / kRun * static_cast<int>(kPlaces) / 2);
}

TEST_CASE("Failures in a row eject a worker for longer and longer") {
  PoolWorker worker;
  CHECK_FALSE(RecordFailure(worker, 0));
  CHECK(MayTakeTask(worker, 0));
  CHECK(RecordFailure(worker, 0));
  CHECK_FALSE(MayTakeTask(worker, 999 * kMillisecond));
  CHECK(MayTakeTask(worker, kSecond));  // one task, on probation
  worker.runs[{"job", 0, 0, 0}] = {};
  CHECK_FALSE(MayTakeTask(worker, kSecond));
  worker.runs.clear();
  CHECK(RecordFailure(worker, kSecond));
  CHECK_FALSE(MayTakeTask(worker, 2900 * kMillisecond));
  CHECK(MayTakeTask(worker, 3 * kSecond));
  RecordSuccess(worker, 0, 0);
  CHECK(MayTakeTask(worker, 0));
  CHECK(worker.health.failures_in_row == 0);
}

}  // namespace
}  // namespace goldcrest
