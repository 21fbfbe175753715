// Jobs whose entry daemon and control daemon lose contact with each other.

#include "pool/jobs/job_contact.h"

#include <catch2/catch.hpp>

#include "pool/jobs/pool_jobs.h"
#include "pool/testing/pool_load.h"
#include "pool/workers/worker_lease.h"

namespace goldcrest {
namespace {

// After a job of unknown outcome, its caller sends it again.
constexpr Micros kResendDelay = 1300 * kMillisecond;

FakePoolOptions Options(uint64_t seed) {
  FakePoolOptions options;
  options.seed = seed;
  options.features.standby_after = 250 * kMillisecond;
  return options;
}

FakeJob LongJob() {
  FakeJob job;
  job.run_ms = 3000;
  job.estimate_ms = 3000;
  job.timeout_ms = 4000;
  return job;
}

// Returns the index of the control daemon that runs the job's task.
size_t ControlOf(FakePool& pool, int job) {
  const TaskName task{"job" + std::to_string(job), 0, 0, 0};
  for (size_t i = 0; i < pool.controls().size(); ++i) {
    for (const auto& [id, worker] : pool.controls()[i].board.workers) {
      if (worker.attempts.contains(task)) {
        return i;
      }
    }
  }
  FAIL("the task runs nowhere");
  return 0;
}

// Submits a job through the first entry daemon and lets its task start.
int SubmitAndStart(FakePool& pool, const FakeJob& job, Micros run_for) {
  const int number = pool.Submit(0, job);
  pool.Run(run_for);
  REQUIRE(pool.RecordOf(number, 0).starts == 1);
  return number;
}

// Runs `pool` for `duration`. The caller of a job that was answered with an
// unknown outcome sends it again through the second entry daemon.
void RunWithResend(FakePool& pool, int job, Micros duration) {
  const Micros until = pool.now() + duration;
  while (pool.now() < until) {
    pool.Run(kMillisecond);
    const FakeAnswer& answer = pool.answers().at(job);
    if (answer.fate == wire::JOB_UNKNOWN &&
        pool.now() - answer.answered_at >= kResendDelay) {
      pool.Resubmit(job, 1);
    }
  }
}

// Holds up what the job's control daemon sends to its entry daemon for
// `cut_for`. The channel on which that one sends is reset just before it would
// have heard nothing for the timeout, and is open again after `reconnect_time`.
void PlayOneWayCut(FakePool& pool,
                   int job,
                   Micros cut_for,
                   Micros reconnect_time) {
  const std::string control = pool.controls()[ControlOf(pool, job)].address;
  const std::string entry = pool.entries()[0].address;
  const Mesh& mesh = pool.entries()[0].board.pool.mesh;
  const Micros reset_at = mesh.members.at(control).last_received_at +
                          mesh.options.rates.full_rate_timeout -
                          5 * kMillisecond;
  const Micros healed_at = pool.now() + cut_for;
  pool.HoldUpMessages(control, entry);
  RunWithResend(pool, job, reset_at - pool.now());
  pool.ResetChannel(entry, control, reconnect_time);
  RunWithResend(pool, job, healed_at - pool.now());
  pool.RestoreMessages(control, entry);
}

// Guards against review/6: an entry daemon that heard nothing of the control
// daemon told its caller that the outcome is unknown and sent one message to
// cancel the job. That was lost with a channel that was being opened again, and
// the control daemon, which heard the entry daemon all the time, went on beside
// the job's next sending.
TEST_CASE(
    "JobContact: a job whose cancellation is lost after a one-way cut does not "
    "run beside its next sending") {
  const Micros started_for = GENERATE(100, 130, 170) * kMillisecond;
  const Micros cut_for = GENERATE(range(460, 760, 20)) * kMillisecond;
  const Micros reconnect_time = GENERATE(30, 60, 150) * kMillisecond;
  CAPTURE(started_for, cut_for, reconnect_time);
  FakePool pool(Options(1));
  WaitUntilServing(pool);
  const int job = SubmitAndStart(pool, LongJob(), started_for);
  PlayOneWayCut(pool, job, cut_for, reconnect_time);
  RunWithResend(pool, job, 8 * kSecond);
  RequireNoViolation(pool);
}

// Guards against timeouts that are changed on one side of a link only.
TEST_CASE(
    "JobContact: the last run of a job that was given up ends before the job's "
    "next sending") {
  const PoolOptions options;
  CHECK(LongestRunAfterGivingUp(options, HeartbeatRates()) <
        kShortestResendDelay);
}

// Guards against the same where the worker does not hear the order to stop: its
// lease was extended for 400 ms more.
TEST_CASE(
    "JobContact: a run whose worker is cut off with its control daemon does "
    "not run beside its job's next sending") {
  const Micros started_for = GENERATE(100, 400) * kMillisecond;
  const Micros cut_for = GENERATE(460, 600, 1500) * kMillisecond;
  const Micros worker_cut_after = GENERATE(200, 450, 480) * kMillisecond;
  CAPTURE(started_for, cut_for, worker_cut_after);
  FakePool pool(Options(1));
  WaitUntilServing(pool);
  const int job = SubmitAndStart(pool, LongJob(), started_for);
  for (FakeWorker& worker : pool.workers()) {
    worker.clock_rate = 0.98;
  }
  FakeControl& control = pool.controls()[ControlOf(pool, job)];
  const std::string entry = pool.entries()[0].address;
  const Micros cut_at = pool.now();
  pool.HoldUpMessages(control.address, entry);
  RunWithResend(pool, job, worker_cut_after);
  pool.DropMessages(control.address, control.domain);
  RunWithResend(pool, job, cut_at + cut_for - pool.now());
  pool.RestoreMessages(control.address, entry);
  RunWithResend(pool, job, 3 * kSecond);
  pool.EndPartitions();
  RunWithResend(pool, job, 8 * kSecond);
  RequireNoViolation(pool);
}

// Guards against a start permission, or an order, that was given before the
// job was given up and arrives after messages of the next contact.
TEST_CASE(
    "JobContact: what belongs to a contact that was given up has no "
    "effect") {
  FakePool pool(Options(1));
  WaitUntilServing(pool);
  const int job = SubmitAndStart(pool, LongJob(), 100 * kMillisecond);
  PoolBoard& board = pool.controls()[ControlOf(pool, job)].board;
  REQUIRE(board.jobs.size() == 1);
  PoolJob& known = *board.jobs.begin()->second;
  const std::string entry = known.order.entry();
  const uint64_t contact =
      board.mesh.members.at(entry).last_heartbeat.contact();
  CHECK(known.contact == contact);
  CHECK(FindContactEnd(board, known, pool.now()) == ContactEnd::kNone);
  CHECK_FALSE(IsContactGivenUp(board, entry, contact));
  CHECK_FALSE(IsContactGivenUp(board, entry, 0));

  wire::Presence& heartbeat = board.mesh.members.at(entry).last_heartbeat;
  heartbeat.set_contact(contact + 1);
  CHECK(IsContactGivenUp(board, entry, contact));
  CHECK(FindContactEnd(board, known, pool.now()) == ContactEnd::kGivenUp);

  known.start_permitted = false;
  wire::JobGo permission;
  permission.set_order(known.order.order());
  permission.set_job_id(known.order.job_id());
  permission.set_contact(contact);
  OnStartPermitted(board, entry, permission);
  CHECK_FALSE(known.start_permitted);
}

// Guards against a deadline that is as late as the order was delayed on its
// way: the entry daemon has answered its caller by then.
TEST_CASE(
    "JobContact: a permission limits the time that a delayed order "
    "gave") {
  FakePool pool(Options(1));
  WaitUntilServing(pool);
  const int job = SubmitAndStart(pool, LongJob(), 100 * kMillisecond);
  PoolBoard& board = pool.controls()[ControlOf(pool, job)].board;
  PoolJob& known = *board.jobs.begin()->second;
  const Micros asked_at = known.first_permission_request_at;
  known.deadline += 400 * kMillisecond;
  wire::JobGo permission;
  permission.set_order(known.order.order());
  permission.set_job_id(known.order.job_id());
  permission.set_contact(known.contact);
  permission.set_budget_ms(3900);
  OnStartPermitted(board, known.order.entry(), permission);
  CHECK(known.deadline == asked_at + 3900 * kMillisecond);
}

// Guards against jobs that a stopping entry daemon has answered as unknown and
// whose cancellation is lost.
TEST_CASE(
    "JobContact: a job that a stopping entry daemon gives up does not run "
    "beside its next sending") {
  const Micros run_before_stop = GENERATE(100, 700) * kMillisecond;
  CAPTURE(run_before_stop);
  FakePool pool(Options(1));
  WaitUntilServing(pool);
  FakeJob long_job = LongJob();
  long_job.run_ms = 9000;
  long_job.estimate_ms = 9000;
  long_job.timeout_ms = 10'000;
  const int job = SubmitAndStart(pool, long_job, run_before_stop);
  const std::string control = pool.controls()[ControlOf(pool, job)].address;
  pool.StopEntry(0);
  const FakeAnswer& answer = pool.answers().at(job);
  while (answer.fate == wire::JOB_FATE_UNSPECIFIED &&
         pool.now() < 20 * kSecond) {
    pool.ResetChannel(pool.entries()[0].address, control, 2 * kMillisecond);
    RunWithResend(pool, job, kMillisecond);
  }
  CHECK(answer.fate == wire::JOB_UNKNOWN);
  RunWithResend(pool, job, 10 * kSecond);
  RequireNoViolation(pool);
}

}  // namespace
}  // namespace goldcrest
