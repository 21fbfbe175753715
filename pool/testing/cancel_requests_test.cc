// Cancels of jobs that the asked entry daemon does not have.

#include "pool/entry/cancel_requests.h"

#include <catch2/catch.hpp>

#include "pool/testing/pool_load.h"

namespace goldcrest {
namespace {

FakeJob LongJob() {
  FakeJob job;
  job.tasks = 2;
  job.run_ms = 6000;
  job.estimate_ms = 6000;
  job.timeout_ms = 9000;
  return job;
}

// Guards against review/5: an entry daemon that reached no control daemon said
// at once that there is no such job, and the job went on.
TEST_CASE(
    "CancelRequests: a cut-off entry daemon does not deny a job, and "
    "cancels it when the cut heals") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  const int job = pool.Submit(0, LongJob());
  pool.Run(500 * kMillisecond);
  const std::string cut_off = pool.entries()[1].address;
  for (const FakeControl& control : pool.controls()) {
    pool.DropMessages(cut_off, control.address);
    pool.DropMessages(control.address, cut_off);
  }
  pool.Run(500 * kMillisecond);
  FakeCancelAnswer answer;
  pool.Cancel(job, 1, &answer);
  pool.Run(detail::kCancelAnswerTime - 100 * kMillisecond);
  CHECK_FALSE(answer.fate);
  pool.Run(200 * kMillisecond);
  CHECK(answer.fate == wire::JOB_UNKNOWN);
  pool.EndPartitions();
  pool.Run(1500 * kMillisecond);
  CHECK(pool.answers().at(job).fate == wire::JOB_CANCELLED);
}

TEST_CASE("CancelRequests: an order that is lost is repeated") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  const int job = pool.Submit(0, LongJob());
  pool.Run(500 * kMillisecond);
  for (const FakeControl& control : pool.controls()) {
    pool.DropMessages(pool.entries()[1].address, control.address);
  }
  FakeCancelAnswer answer;
  pool.Cancel(job, 1, &answer);
  pool.Run(150 * kMillisecond);
  pool.EndPartitions();
  pool.Run(500 * kMillisecond);
  CHECK(answer.fate == wire::JOB_CANCELLED);
}

TEST_CASE(
    "CancelRequests: that there is no such job is said when all daemons "
    "have answered") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  const int job = pool.Submit(0, {1, 60, 2000, 60});
  pool.Run(500 * kMillisecond);
  FakeCancelAnswer answer;
  pool.Cancel(job, 1, &answer);
  pool.Run(50 * kMillisecond);
  CHECK(answer.fate == wire::JOB_FATE_UNSPECIFIED);
}

// Guards against a job that is denied since its daemon, a standby, is not known
// to the entry daemon that is asked to cancel it.
TEST_CASE(
    "CancelRequests: daemons that order workers are asked, known or not") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  const int job = pool.Submit(0, {1, 60, 2000, 60});
  pool.Run(500 * kMillisecond);
  const std::string standby = "10.9.9.9:7710";
  wire::WorkerNews& worker =
      pool.controls()[0].board.workers.begin()->second.status;
  worker.set_owner(standby);
  FakeCancelAnswer answer;
  pool.Cancel(job, 1, &answer);
  pool.Run(20 * kMillisecond);
  const EntryBoard& board = pool.entries()[1].board;
  REQUIRE(board.cancels_elsewhere.size() == 1);
  CHECK(board.cancels_elsewhere.begin()->second.asked.contains(standby));
  CHECK(board.cancels_elsewhere.begin()->second.unanswered.size() == 1);
  CHECK_FALSE(answer.fate);
}

// Guards against an order that was on its way when all daemons were asked.
TEST_CASE(
    "CancelRequests: an order that comes after the cancellation has no "
    "effect") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  const int job = pool.Submit(0, LongJob());
  FakeCancelAnswer answer;
  pool.Cancel(job, 1, &answer);
  pool.Run(3 * kSecond);
  CHECK(pool.answers().at(job).fate == wire::JOB_CANCELLED);
}

}  // namespace
}  // namespace goldcrest
