// Six troubles that operators of similar systems have met, each played against
// the decisions of this one. docs/PROOF.md lists them with the other tests that
// bear on them.

#include <limits>

#include <catch2/catch.hpp>

#include "pool/pool_placement.h"
#include "pool/testing/pool_load.h"
#include "pool/worker_roster.h"

namespace goldcrest {
namespace {

constexpr Micros kNeverReports = 1000 * kSecond;

// Trouble 1: a machine that was only silent had its work started again, or
// given up.
TEST_CASE("A worker whose reports do not come keeps its work") {
  FakePool pool{FakePoolOptions()};
  Settle(pool);
  const int job = pool.Submit(0, 4, 9000, 12'000);
  pool.Run(100 * kMillisecond);
  for (FakeWorker& worker : pool.workers()) {
    worker.report_due = pool.now() + kNeverReports;
  }
  pool.Run(11 * kSecond);
  CHECK(pool.answers().at(job).fate == wire::JOB_COMPLETED);
  CHECK(pool.CountLogged("run_ended") == 0);
  CHECK(pool.CountLogged("worker_process_gone") == 0);
  RequireNoViolation(pool);
}

TEST_CASE("Work of seconds outlives a worker that is silent for a moment") {
  FakePool pool{FakePoolOptions()};
  Settle(pool);
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

// Trouble 2: around a hand-over both acted, and orders went out twice.
TEST_CASE("Hand-overs under load start each task once") {
  FakePool pool{FakePoolOptions()};
  Settle(pool);
  for (int round = 0; round < 4; ++round) {
    pool.KillControl(1);
    Load(pool, 1500 * kMillisecond, 10 * kMillisecond);
    pool.StartControl(1);  // gets its workers back while they are in use
    Load(pool, 3 * kSecond, 10 * kMillisecond);
  }
  pool.Run(2 * kSecond);
  CHECK(pool.ReadyWorkers() == static_cast<int>(pool.workers().size()));
  RequireNoViolation(pool);
}

// Trouble 3: a process that had been paused acted on a permission that had run
// out meanwhile. The agreement's leader answers reads by its lease; a control
// daemon starts tasks by its tokens and its entry daemons' agreement.
TEST_CASE("A leader that was paused tells no older configuration") {
  for (const Micros pause : {kSecond, 3 * kSecond, 8 * kSecond}) {
    FakePool pool{FakePoolOptions()};
    Settle(pool);
    const size_t paused = LeaderOf(pool);
    pool.controls()[paused].frozen = true;
    pool.Run(pause);
    ChangeResult result = ChangeResult::kUnknown;
    const size_t other = (paused + 1) % pool.controls().size();
    pool.Change(other, 9, &result);
    pool.Run(kSecond);
    pool.controls()[paused].frozen = false;
    // The first thing that it does is to answer.
    const uint64_t told = pool.Read(paused);
    if (result == ChangeResult::kDurable) {
      CHECK((told == 0 || told == 9));
    }
    pool.Run(2 * kSecond);
    CHECK(pool.NewestVersion() == (result == ChangeResult::kDurable ? 9 : 5));
  }
}

TEST_CASE("A control daemon that was paused starts nothing that it was let") {
  FakePool pool{FakePoolOptions()};
  Settle(pool);
  // More than there is room for, so that jobs wait with leave to start.
  for (int i = 0; i < 6; ++i) {
    pool.Submit(0, 8, 400, 1500);
  }
  pool.Run(100 * kMillisecond);
  pool.controls()[0].frozen = true;
  pool.Run(3 * kSecond);
  const int started = pool.CountLogged("task_started");
  pool.controls()[0].frozen = false;
  pool.Run(kSecond);
  CHECK(pool.CountLogged("task_started") == started);
  RequireNoViolation(pool);
}

// Trouble 4: after a restart a server that had left was in use again.
TEST_CASE("A worker that leaves gets nothing after its owner's restart") {
  FakePool pool{FakePoolOptions()};
  Settle(pool);
  FakeWorker& leaving = pool.workers()[0];
  const wire::WorkerNews before = leaving.facts;
  leaving.facts.set_leaving(true);
  pool.Run(2 * kSecond);  // its report has come
  pool.KillControl(0);
  pool.Run(100 * kMillisecond);
  pool.StartControl(0);
  pool.Run(100 * kMillisecond);
  // A report of before, delayed on its way, reaches the new process.
  PoolActions ignored;
  OnWorkerReport(pool.controls()[0].board, before, pool.now(), ignored);
  const size_t had_run = leaving.ended_runs.size();
  Load(pool, 4 * kSecond, 10 * kMillisecond);
  CHECK(leaving.ended_runs.size() == had_run);
  CHECK(leaving.runs.empty());
  RequireNoViolation(pool);
}

// Trouble 5: one malformed message took a whole process down.
TEST_CASE("Malformed job orders are refused") {
  FakePool pool{FakePoolOptions()};
  Settle(pool);
  wire::JobOrder sound;
  sound.set_order(1);
  sound.set_job_id("hostile");
  sound.set_queue("bells");
  sound.set_service("bells");
  sound.set_entry(pool.entries()[0].address);
  sound.set_entry_incarnation(
      pool.entries()[0].board.pool.mesh.options.incarnation);
  sound.set_budget_ms(1000);
  std::vector<wire::JobOrder> orders(5, sound);  // the first has no steps
  orders[1].add_steps();                         // one without tasks
  wire::JobStep& huge = *orders[2].add_steps();
  huge.set_tasks(std::numeric_limits<uint32_t>::max());
  wire::JobStep& later = *orders[3].add_steps();
  later.set_tasks(1);
  later.add_after(7);
  wire::JobStep& itself = *orders[4].add_steps();
  itself.set_tasks(1);
  itself.add_after(0);
  for (const wire::JobOrder& order : orders) {
    wire::PoolMessage message;
    message.set_from(order.entry());
    *message.mutable_job_order() = order;
    PoolActions actions;
    PoolStep(pool.controls()[0].board, PoolReceived{message},
             {pool.now(), 1'700'000'000'000}, actions);
    CHECK(pool.controls()[0].board.jobs.empty());
  }
}

TEST_CASE("A task that needs next to nothing costs little to place") {
  FakePool pool{FakePoolOptions()};
  Settle(pool);
  PoolJob job;
  wire::JobStep& step = *job.order.add_steps();
  step.set_tasks(1);
  job.order.set_service("bells");
  job.steps.resize(1);
  job.steps[0].tasks.resize(1);
  job.steps[0].expected = 60 * kMillisecond;
  for (auto& [id, worker] : pool.controls()[0].board.workers) {
    worker.facts.set_cpu_millis(std::numeric_limits<uint32_t>::max());
  }
  CHECK(EstimateEnd(pool.controls()[0].board, job, pool.now()) ==
        60 * kMillisecond);
}

// Trouble 6: after an answer was lost, work that had run was run again, or its
// caller was told that it had not run.
TEST_CASE("A refusal is true when a control daemon's last answers are lost") {
  for (int round = 0; round < 8; ++round) {
    FakePool pool{FakePoolOptions()};
    Settle(pool);
    const FakeControl& control = pool.controls()[0];
    const int job = pool.Submit(0, 4, 200, 1500);
    pool.Run(round * 40 * kMillisecond);
    // What it says no longer arrives; what it is told does.
    for (const FakeEntry& entry : pool.entries()) {
      pool.CutMesh(control.address, entry.address);
    }
    pool.Run(4 * kSecond);
    CHECK(pool.answers().at(job).fate != wire::JOB_FATE_UNSPECIFIED);
    RequireNoViolation(pool);
  }
}

}  // namespace
}  // namespace goldcrest
