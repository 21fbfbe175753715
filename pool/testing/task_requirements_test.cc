// Which capacity of the owned workers cannot be used, and why.

#include "pool/placement/task_requirements.h"

#include <catch2/catch.hpp>

namespace goldcrest {
namespace {

constexpr int64_t kCapacity = 16'000;

// An owned worker that accepts tasks, where a run occupies `used` thousandths
// of a core.
PoolWorker& AddWorker(PoolBoard& board, const std::string& id, int64_t used) {
  PoolWorker& worker = board.workers[id];
  worker.status.set_id(id);
  worker.status.set_cpu_millis(kCapacity);
  worker.session = SessionState::kReady;
  worker.clock_ms = 1;
  if (used > 0) {
    worker.attempts[{id, 0, 0, 0}].resources.cpu_millis = used;
    worker.used_resources.cpu_millis = used;
  }
  board.owned[id] = &worker;
  return worker;
}

TEST_CASE("TaskRequirements: a worker that accepts tasks has no obstacle") {
  PoolBoard board;
  const PoolWorker& worker = AddWorker(board, "w", 1000);
  CHECK(ObstacleToStarts(worker, kSecond) == StartObstacle::kNone);
  const UnusableCpu unusable = CountUnusableCpu(board, kSecond);
  CHECK(unusable.idle.empty());
  CHECK(unusable.silent_runs == 0);
}

TEST_CASE("TaskRequirements: names why a worker gets no tasks") {
  PoolBoard board;
  PoolWorker& worker = AddWorker(board, "w", 1000);
  StartObstacle expected = StartObstacle::kNone;
  SECTION("gone") {
    worker.status.set_gone(true);
    expected = StartObstacle::kGone;
  }
  SECTION("reconciling") {
    worker.session = SessionState::kReconciling;
    expected = StartObstacle::kReconciling;
  }
  SECTION("releasing") {
    worker.session = SessionState::kReleasing;
    expected = StartObstacle::kReleasing;
  }
  SECTION("leaving") {
    worker.status.set_leaving(true);
    expected = StartObstacle::kLeaving;
  }
  SECTION("its present process has not reported yet") {
    worker.unreported = true;
    expected = StartObstacle::kUnreported;
  }
  SECTION("a run of another daemon must end with the lease") {
    worker.attempts.begin()->second.unknown = true;
    expected = StartObstacle::kLeaseNotExtended;
  }
  SECTION("ejected") {
    worker.health.ejected_until = 2 * kSecond;
    expected = StartObstacle::kFailing;
  }
  SECTION("a suspect runs there") {
    worker.attempts.begin()->second.alone = true;
    expected = StartObstacle::kSuspect;
  }
  SECTION("held for a suspect") {
    worker.held_for_suspect = true;
    expected = StartObstacle::kSuspect;
  }
  CHECK(ObstacleToStarts(worker, kSecond) == expected);
  CHECK_FALSE(AcceptsStarts(worker, kSecond));
  const UnusableCpu unusable = CountUnusableCpu(board, kSecond);
  CHECK(unusable.idle ==
        std::map<StartObstacle, int64_t>{{expected, kCapacity - 1000}});
  CHECK(unusable.silent_runs ==
        (expected == StartObstacle::kReconciling ? 1000 : 0));
}

TEST_CASE("TaskRequirements: adds up the unusable capacity by reason") {
  PoolBoard board;
  AddWorker(board, "ready", 4000);
  for (const char* id : {"a", "b"}) {
    AddWorker(board, id, 3000).session = SessionState::kReconciling;
  }
  AddWorker(board, "held", 0).held_for_suspect = true;
  const UnusableCpu unusable = CountUnusableCpu(board, kSecond);
  CHECK(unusable.idle.at(StartObstacle::kReconciling) ==
        2 * (kCapacity - 3000));
  CHECK(unusable.idle.at(StartObstacle::kSuspect) == kCapacity);
  CHECK(unusable.silent_runs == 6000);
}

}  // namespace
}  // namespace goldcrest
