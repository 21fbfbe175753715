// Outcomes of jobs whose message is lost.

#include <catch2/catch.hpp>

#include "pool/testing/pool_load.h"

namespace goldcrest {
namespace {

// Drops what control daemons send to the first entry daemon.
void LoseMessagesToEntry(FakePool& pool, Micros duration) {
  for (const FakeControl& control : pool.controls()) {
    pool.DropMessages(control.address, pool.entries()[0].address);
  }
  pool.Run(duration);
  pool.EndPartitions();
}

// Guards against an outcome that was sent once: without it the caller heard at
// its timeout that the outcome is unknown (issue 34).
TEST_CASE("JobOutcome: a lost outcome is sent again") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  const int job = pool.Submit(0, {2, 400, 2000, 400});
  pool.Run(380 * kMillisecond);
  REQUIRE(pool.answers().at(job).fate == wire::JOB_FATE_UNSPECIFIED);
  LoseMessagesToEntry(pool, 120 * kMillisecond);
  pool.Run(400 * kMillisecond);
  CHECK(pool.answers().at(job).fate == wire::JOB_COMPLETED);
}

TEST_CASE("JobOutcome: nothing is repeated once outcomes are answered") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  SubmitLoad(pool, kSecond, 20 * kMillisecond);
  pool.Run(2 * kSecond);
  for (const FakeControl& control : pool.controls()) {
    CHECK(control.board.unanswered.by_number.empty());
    CHECK(control.board.unanswered.repeated == 0);
  }
}

TEST_CASE(
    "JobOutcome: an outcome is dropped when its entry daemon waits no longer") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  pool.Submit(0, {2, 400, 1000, 400});
  pool.Run(100 * kMillisecond);
  pool.KillEntry(0);
  pool.Run(1500 * kMillisecond);
  for (const FakeControl& control : pool.controls()) {
    CHECK(control.board.unanswered.by_number.empty());
  }
}

}  // namespace
}  // namespace goldcrest
