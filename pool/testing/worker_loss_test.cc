// What counts as a crash of a worker's process, and against which tasks.

#include "pool/workers/worker_loss.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "pool/testing/pool_load.h"
#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

FakePoolOptions Options(uint64_t seed) {
  FakePoolOptions options;
  options.seed = seed;
  options.features.placement_lookahead = true;
  options.features.standby_after = 250 * kMillisecond;
  return options;
}

FakeJob LongJob() {
  FakeJob job;
  job.tasks = 2;
  job.run_ms = 400;
  job.estimate_ms = 400;
  job.timeout_ms = 4000;
  return job;
}

// Guards against sound jobs being shown as failed (review/1): three calls that
// a live worker closed counted as a crash of its process.
TEST_CASE("WorkerLoss: a worker that closes its connections has not crashed") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    FakePool pool(Options(seed));
    WaitUntilServing(pool);
    for (size_t round = 0; round < 12; ++round) {
      for (size_t i = 0; i < pool.workers().size(); ++i) {
        pool.workers()[i].closed_share = i % 3 == round % 3 ? 1 : 0;
      }
      for (size_t entry = 0; entry < 3; ++entry) {
        pool.Submit(entry, LongJob());
      }
      pool.Run(400 * kMillisecond);
    }
    for (FakeWorker& worker : pool.workers()) {
      worker.closed_share = 0;
    }
    pool.Run(5 * kSecond);
    CHECK(pool.CountLogged("task_crash") == 0);
    CHECK(pool.CountAnswers(wire::JOB_FAILED) == 0);
    RequireNoViolation(pool);
  }
}

// Guards against tasks being given up for crashes of workers that had lost
// power silently some time before or after the task ran there.
TEST_CASE(
    "WorkerLoss: a worker that falls silent and is replaced proves no "
    "crash under its tasks") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    FakePool pool(Options(seed));
    WaitUntilServing(pool);
    for (int round = 0; round < 4; ++round) {
      for (size_t entry = 0; entry < 3; ++entry) {
        pool.Submit(entry, LongJob());
      }
      pool.Run(100 * kMillisecond);
      for (FakeWorker& worker : pool.workers()) {
        worker.reachable = false;
      }
      pool.Run(1200 * kMillisecond);
      for (size_t i = 0; i < pool.workers().size(); ++i) {
        pool.CrashWorker(i, 50 * kMillisecond);
      }
      pool.Run(100 * kMillisecond);
      for (FakeWorker& worker : pool.workers()) {
        worker.reachable = true;
      }
      pool.Run(2 * kSecond);
    }
    CHECK(pool.CountLogged("task_crash") == 0);
    CHECK(pool.CountAnswers(wire::JOB_FAILED) == 0);
  }
}

WorkerAnswer Failed(CallFailure failure) {
  WorkerAnswer answer;
  answer.outcome = OrderOutcome::kNotSent;
  answer.failure = failure;
  return answer;
}

// Guards against a job shown as failed after one crash: the order to start its
// task was on its way to another worker when that crashed.
TEST_CASE(
    "WorkerLoss: a start that the worker has not confirmed is not charged "
    "with its crash") {
  PoolBoard board;
  PoolWorker& worker = board.workers["w"];
  worker.status.set_id("w");
  worker.status.set_address("10.0.0.1:80");
  worker.session = SessionState::kReady;
  board.owned["w"] = &worker;
  const TaskName begun{"begun", 0, 0, 0};
  const TaskName sent{"sent", 0, 0, 0};
  for (const TaskName& name : {begun, sent}) {
    auto job = std::make_unique<PoolJob>();
    job->key = name.job_id;
    worker.attempts[name].job_key = name.job_id;
    board.jobs[name.job_id] = std::move(job);
  }
  worker.attempts[begun].answered_at = 1;
  PoolActions actions;
  OnCallClosed(worker, Failed(CallFailure::kClosed), 10);
  for (int i = 1; i <= 3; ++i) {
    OnWorkerCallEnd(board, worker, Failed(CallFailure::kRefused),
                    10 + i * 40 * kMillisecond, actions);
  }
  CHECK(CountCrashes(board.crashes, begun) == 1);
  CHECK(CountCrashes(board.crashes, sent) == 0);
}

// Guards against a job shown as failed after one crash: its run on the second
// worker had been refused as one that had ended there before.
TEST_CASE("WorkerLoss: a run that its worker refused as ended is not charged") {
  PoolBoard board;
  PoolWorker& worker = board.workers["w"];
  worker.status.set_id("w");
  worker.session = SessionState::kReady;
  worker.session_number = 1;
  board.owned["w"] = &worker;
  const TaskName name{"job", 0, 0, 0};
  board.jobs["job"] = std::make_unique<PoolJob>();
  worker.attempts[name].job_key = "job";
  worker.attempts[name].attempt_number = 1;
  WorkerAnswer answer;
  answer.order.worker = "w";
  answer.order.session = 1;
  answer.order.kind = OrderKind::kStart;
  answer.order.task = name;
  answer.order.attempt = 1;
  answer.outcome = OrderOutcome::kStaleAttempt;
  PoolActions actions;
  OnWorkerAnswer(board, answer, kSecond, actions);
  REQUIRE(worker.attempts.at(name).answered_at != 0);
  OnWorkerProcessLost(board, worker, true, 2 * kSecond, actions);
  CHECK(CountCrashes(board.crashes, name) == 0);
}

// Guards against messages without content, which each daemon must answer.
TEST_CASE("WorkerLoss: a restart that is charged to no task is not announced") {
  PoolBoard board;
  MeshMember& other = board.mesh.members["other"];
  other.address = "other";
  other.incarnation = 1;
  other.last_received_at = kSecond;
  other.last_heartbeat.set_control(true);
  PoolWorker& worker = board.workers["w"];
  worker.status.set_address("10.0.0.1:80");
  board.owned["w"] = &worker;
  worker.attempts[{"sent", 0, 0, 0}].job_key = "sent";
  PoolActions actions;
  OnWorkerProcessLost(board, worker, true, kSecond, actions);
  CHECK(std::none_of(actions.begin(), actions.end(),
                     [](const PoolAction& action) {
                       return std::holds_alternative<SendMessage>(action);
                     }));
  CHECK(board.unanswered.by_number.empty());
}

}  // namespace
}  // namespace goldcrest
