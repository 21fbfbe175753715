// Six faults that operators of similar systems have met, each reproduced
// against the decision code of this one. docs/PROOF.md lists them with the
// other tests that cover them.

#include <limits>

#include <catch2/catch.hpp>

#include "pool/admission/job_admission.h"
#include "pool/jobs/job_end.h"
#include "pool/jobs/task_queue.h"
#include "pool/placement/end_estimate.h"
#include "pool/testing/pool_load.h"
#include "pool/workers/worker_roster.h"

namespace goldcrest {
namespace {

constexpr Micros kNoReports = 1000 * kSecond;

// Fault 1: work on a machine that was only unreachable for a while was started
// again, or abandoned.
TEST_CASE(
    "WorkerRoster: a worker whose reports do not arrive keeps its attempts") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  const int job = pool.Submit(0, 4, 9000, 12'000);
  pool.Run(100 * kMillisecond);
  for (FakeWorker& worker : pool.workers()) {
    worker.report_due = pool.now() + kNoReports;
  }
  pool.Run(11 * kSecond);
  CHECK(pool.answers().at(job).fate == wire::JOB_COMPLETED);
  CHECK(pool.CountLogged("run_ended") == 0);
  CHECK(pool.CountLogged("worker_process_gone") == 0);
  RequireNoViolation(pool);
}

TEST_CASE(
    "WorkerSession: long attempts survive when their workers are unreachable "
    "for 400 ms") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  const int job = pool.Submit(0, 8, 5000, 9000);
  pool.Run(kSecond);
  for (FakeWorker& worker : pool.workers()) {
    worker.reachable = false;
  }
  pool.Run(400 * kMillisecond);
  for (FakeWorker& worker : pool.workers()) {
    worker.reachable = true;
  }
  pool.Run(5 * kSecond);
  CHECK(pool.answers().at(job).fate == wire::JOB_COMPLETED);
  CHECK(pool.CountLogged("run_ended") == 0);
  RequireNoViolation(pool);
}

// Fault 2: around a handover both owners were active, and orders were sent
// twice.
TEST_CASE("WorkerRoster: handovers under load start each task once") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  for (int round = 0; round < 4; ++round) {
    pool.KillControl(1);
    SubmitLoad(pool, 1500 * kMillisecond, 10 * kMillisecond);
    pool.StartControl(1);  // its workers are handed back while in use
    SubmitLoad(pool, 3 * kSecond, 10 * kMillisecond);
  }
  pool.Run(2 * kSecond);
  CHECK(pool.ReadyWorkers() == static_cast<int>(pool.workers().size()));
  RequireNoViolation(pool);
}

// Fault 3: a process that had been paused acted on a permission that had
// expired meanwhile. Such permissions are the lease by which the agreement's
// leader answers reads, and the fencing tokens and the start permissions of
// entry daemons by which a control daemon starts tasks.
TEST_CASE("Agreement: a leader that was paused serves no older configuration") {
  for (const Micros pause : {kSecond, 3 * kSecond, 8 * kSecond}) {
    FakePool pool{FakePoolOptions()};
    WaitUntilServing(pool);
    const size_t paused = LeaderOf(pool);
    pool.controls()[paused].paused = true;
    pool.Run(pause);
    ChangeResult result = ChangeResult::kUnknown;
    const size_t other = (paused + 1) % pool.controls().size();
    pool.ChangeConfiguration(other, 9, &result);
    pool.Run(kSecond);
    pool.controls()[paused].paused = false;
    // The read is the first event that it handles.
    const uint64_t served_version = pool.ReadConfiguration(paused);
    if (result == ChangeResult::kDurable) {
      CHECK((served_version == 0 || served_version == 9));
    }
    pool.Run(2 * kSecond);
    CHECK(pool.NewestVersion() == (result == ChangeResult::kDurable ? 9 : 5));
  }
}

TEST_CASE(
    "PoolJobs: a control daemon that was paused uses no start permission "
    "granted before the pause") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  // More than the capacity, so that some jobs wait with a start permission.
  for (int i = 0; i < 6; ++i) {
    pool.Submit(0, 8, 400, 1500);
  }
  pool.Run(100 * kMillisecond);
  pool.controls()[0].paused = true;
  pool.Run(3 * kSecond);
  const int started = pool.CountLogged("task_started");
  pool.controls()[0].paused = false;
  pool.Run(kSecond);
  CHECK(pool.CountLogged("task_started") == started);
  RequireNoViolation(pool);
}

// Fault 4: after a restart a server that had left was in use again.
TEST_CASE(
    "WorkerRoster: a leaving worker gets no tasks after its owner restarts") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  FakeWorker& leaving = pool.workers()[0];
  const wire::WorkerNews before = leaving.status;
  leaving.status.set_leaving(true);
  pool.Run(2 * kSecond);  // its report has arrived
  pool.KillControl(0);
  pool.Run(100 * kMillisecond);
  pool.StartControl(0);
  pool.Run(100 * kMillisecond);
  // An earlier report that was delayed reaches the new process.
  PoolActions ignored;
  OnWorkerReport(pool.controls()[0].board, before, pool.now(), ignored);
  const size_t had_run = leaving.last_ended_attempt.size();
  SubmitLoad(pool, 4 * kSecond, 10 * kMillisecond);
  CHECK(leaving.last_ended_attempt.size() == had_run);
  CHECK(leaving.attempts.empty());
  RequireNoViolation(pool);
}

// Fault 5: one malformed message crashed a whole process.
TEST_CASE("PoolJobs: malformed job orders are refused") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  wire::JobOrder valid;
  valid.set_order(1);
  valid.set_job_id("hostile");
  valid.set_queue("bells");
  valid.set_service("bells");
  valid.set_entry(pool.entries()[0].address);
  valid.set_entry_incarnation(
      pool.entries()[0].board.pool.mesh.options.incarnation);
  valid.set_budget_ms(1000);
  std::vector<wire::JobOrder> orders(5, valid);  // the first has no steps
  orders[1].add_steps();                         // one without tasks
  wire::JobStep& too_many_tasks = *orders[2].add_steps();
  too_many_tasks.set_tasks(std::numeric_limits<uint32_t>::max());
  wire::JobStep& depends_on_missing = *orders[3].add_steps();
  depends_on_missing.set_tasks(1);
  depends_on_missing.add_after(7);
  wire::JobStep& depends_on_itself = *orders[4].add_steps();
  depends_on_itself.set_tasks(1);
  depends_on_itself.add_after(0);
  for (const wire::JobOrder& order : orders) {
    wire::PoolMessage message;
    message.set_from(order.entry());
    *message.mutable_job_order() = order;
    PoolActions actions;
    PoolStep(pool.controls()[0].board, PoolMessageReceived{message},
             {pool.now(), 1'700'000'000'000}, actions);
    CHECK(pool.controls()[0].board.jobs.empty());
  }
}

TEST_CASE(
    "PoolPlacement: the end of a tiny task is estimated correctly on workers "
    "of huge capacity") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  PoolJob job;
  wire::JobStep& step = *job.order.add_steps();
  step.set_tasks(1);
  job.order.set_service("bells");
  job.steps.resize(1);
  job.steps[0].tasks.resize(1);
  job.steps[0].expected_run_time = 60 * kMillisecond;
  for (auto& [id, worker] : pool.controls()[0].board.workers) {
    worker.status.set_cpu_millis(std::numeric_limits<uint32_t>::max());
  }
  CHECK(EstimateTimeToEnd(pool.controls()[0].board, job, pool.now()) ==
        60 * kMillisecond);
}

// Fault 6: after an answer was lost, work that had run was run again, or its
// caller was informed that it had not run.
TEST_CASE(
    "PoolJobs: a refused job has never run, even if a control daemon's last "
    "answers are lost") {
  for (int round = 0; round < 8; ++round) {
    FakePool pool{FakePoolOptions()};
    WaitUntilServing(pool);
    const FakeControl& control = pool.controls()[0];
    const int job = pool.Submit(0, 4, 200, 1500);
    pool.Run(round * 40 * kMillisecond);
    // Its messages no longer arrive; messages to it do.
    for (const FakeEntry& entry : pool.entries()) {
      pool.DropMessages(control.address, entry.address);
    }
    pool.Run(4 * kSecond);
    CHECK(pool.answers().at(job).fate != wire::JOB_FATE_UNSPECIFIED);
    RequireNoViolation(pool);
  }
}

// Found by reading: a job that was sent again took over the steps and the
// priority of the second order, so that its queue entries were no longer found:
// they remained after the job had ended, and pointed to it.
TEST_CASE(
    "JobAdmission: an order that is sent again with other steps or another "
    "priority leaves one queue entry for each task") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  PoolBoard& board = pool.controls()[0].board;
  wire::JobOrder first;
  first.set_order(1);
  first.set_job_id("again");
  first.set_queue("bells");
  first.set_service("bells");
  first.set_entry(board.mesh.options.self);
  first.set_budget_ms(10'000);
  for (int i = 0; i < 2; ++i) {
    wire::JobStep& step = *first.add_steps();
    step.set_tasks(2);
    step.set_cpu_millis(1000);
  }
  std::vector<wire::JobOrder> orders(3, first);
  orders[0].set_priority(2);
  orders[1].mutable_steps(0)->set_tasks(5);
  orders[2].mutable_steps()->RemoveLast();
  PoolActions ignored;  // the job gets no start permission, so that it waits
  for (wire::JobOrder& second : orders) {
    OnJobOrder(board, first, pool.now(), ignored);
    REQUIRE(board.waiting.size() == 4);
    second.set_order(2);
    OnJobOrder(board, second, pool.now(), ignored);
    REQUIRE(board.jobs.size() == 1);
    PoolJob& job = *board.jobs.begin()->second;
    REQUIRE(job.order.order() == 2);
    CHECK(job.order.priority() == first.priority());
    REQUIRE(job.order.steps_size() == first.steps_size());
    CHECK(job.order.steps(0).tasks() == first.steps(0).tasks());
    MoveInQueue(board, job, ExpectedLateness::kLate, job.rank);
    CHECK(board.waiting.size() == 4);
    EndJob(board, job.key, wire::JOB_CANCELLED, "", pool.now(), ignored);
    REQUIRE(board.waiting.empty());
  }
}

// Guards against a malformed report that hides all later ones of the worker.
TEST_CASE("WorkerRoster: a start time in the future hides no later report") {
  FakePool pool{FakePoolOptions()};
  WaitUntilServing(pool);
  PoolBoard& board = pool.controls()[0].board;
  const StepTime now = {pool.now(), board.wall_ms};
  wire::WorkerNews odd = pool.workers()[0].status;
  odd.set_born_ms(253'402'300'799'999);  // the year 9999
  odd.set_address("10.9.9.9:1");
  PoolActions actions;
  PoolStep(board, WorkerReported{odd}, now, actions);
  pool.Run(4 * kSecond);
  CHECK(board.workers.at(odd.id()).status.address() ==
        pool.workers()[0].status.address());
  CHECK(pool.ReadyWorkers() == static_cast<int>(pool.workers().size()));
  RequireNoViolation(pool);
}

}  // namespace
}  // namespace goldcrest
