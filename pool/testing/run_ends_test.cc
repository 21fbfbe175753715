// Runs end with proof only, and orders to stop them arrive.

#include "pool/workers/run_ends.h"

#include <catch2/catch.hpp>

#include "pool/testing/pool_load.h"
#include "pool/workers/worker_lease.h"
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

// Submits jobs that keep about half of the workers busy.
void SubmitLongTasks(FakePool& pool, Micros duration) {
  const Micros until = pool.now() + duration;
  FakeJob job;
  job.tasks = 2;
  job.run_ms = 900;
  job.estimate_ms = 900;
  job.timeout_ms = 4000;
  for (size_t i = 0; pool.now() < until; ++i) {
    pool.Submit(i % pool.entries().size(), job);
    pool.Run(150 * kMillisecond);
  }
}

// Guards against a stop that is never sent when too many orders are unanswered:
// the run went on until its lease had expired.
TEST_CASE(
    "WorkerSession: a stop beyond the bounds of the record is sent once") {
  FakePool pool(Options(1));
  WaitUntilServing(pool);
  const int job = pool.Submit(0, {1, 8000, 3000, 2000});
  pool.Run(2900 * kMillisecond);
  for (FakeControl& control : pool.controls()) {
    control.board.unanswered.bytes = kMaxUnansweredBytes + 1;
  }
  pool.Run(2 * kSecond);
  const FakeAnswer& answer = pool.answers().at(job);
  REQUIRE(answer.fate == wire::JOB_TIMED_OUT);
  CHECK(pool.RecordOf(job, 0).last_run_until <
        answer.answered_at + 50 * kMillisecond);
}

// Guards against review/2: the order to stop a run was sent once. The run went
// on, with its lease renewed, beside that of the job's next sending.
TEST_CASE("WorkerSession: a stop without an answer is repeated") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    FakePool pool(Options(seed));
    WaitUntilServing(pool);
    FakeJob job;
    job.tasks = 1;
    job.run_ms = 8000;
    job.estimate_ms = 2000;
    job.timeout_ms = 3000;
    const int sent = pool.Submit(0, job);
    pool.Run(2950 * kMillisecond);
    for (FakeWorker& worker : pool.workers()) {
      worker.late_order_share = 1;
    }
    pool.Run(100 * kMillisecond);
    for (FakeWorker& worker : pool.workers()) {
      worker.late_order_share = 0;
    }
    const Micros ended = pool.now();
    pool.Run(1300 * kMillisecond);
    CHECK(pool.RecordOf(sent, 0).last_run_until < ended + 500 * kMillisecond);
    pool.Resubmit(sent, 1);
    pool.Run(5 * kSecond);
    CHECK(pool.RecordOf(sent, 0).starts >= 2);
    RequireNoViolation(pool);
  }
}

// Guards against review/3: a deregister call that arrived late ended the runs
// of the worker's new process, which started again elsewhere.
TEST_CASE(
    "ProcessClaims: a late deregister call ends no run of a new process") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    FakePool pool(Options(seed));
    WaitUntilServing(pool);
    for (size_t i = 0; i < 4; ++i) {
      pool.LeaveWorker(i, 500 * kMillisecond, 1500 * kMillisecond,
                       300 * kMillisecond);
    }
    SubmitLongTasks(pool, 4 * kSecond);
    pool.Run(3 * kSecond);
    RequireNoViolation(pool);
    CHECK(pool.ReadyWorkers() == static_cast<int>(pool.workers().size()));
    CHECK(pool.CountAnswers(wire::JOB_COMPLETED) ==
          static_cast<int>(pool.answers().size()));
  }
}

// Guards against review/4: a start that a worker's new process had carried out
// was repeated elsewhere at once.
TEST_CASE("ProcessClaims: a start that a new process carried out is its run") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    FakePool pool(Options(seed));
    WaitUntilServing(pool);
    for (size_t i = 0; i < pool.workers().size(); ++i) {
      pool.workers()[i].lost_report_share = 1;
      pool.CrashWorker(i, 10 * kMillisecond);
    }
    pool.Run(20 * kMillisecond);
    SubmitLongTasks(pool, kSecond);
    pool.Run(5 * kSecond);
    RequireNoViolation(pool);
    CHECK(pool.CountAnswers(wire::JOB_FATE_UNSPECIFIED) == 0);
  }
}

// Guards against a report of another writer, which named the id and address of
// a worker at work, being taken as a restart of that worker.
TEST_CASE("ProcessClaims: a report of another writer ends no run") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    FakePool pool(Options(seed));
    WaitUntilServing(pool);
    SubmitLongTasks(pool, 500 * kMillisecond);
    for (size_t i = 0; i < pool.workers().size(); ++i) {
      pool.ReportOfOtherWriter(i, i % pool.controls().size());
    }
    SubmitLongTasks(pool, 4 * kSecond);
    pool.Run(3 * kSecond);
    RequireNoViolation(pool);
    CHECK(pool.ReadyWorkers() == static_cast<int>(pool.workers().size()));
    CHECK(pool.CountAnswers(wire::JOB_COMPLETED) ==
          static_cast<int>(pool.answers().size()));
  }
}

// Guards against a lease counted from an old reading of a worker's clock: the
// task started elsewhere 20 ms before its first run lapsed.
TEST_CASE("WorkerLease: a lease allows for a slow clock since its reading") {
  const PoolOptions options;
  for (const Micros age : {Micros(0), 2 * kSecond, 10 * kSecond}) {
    PoolWorker worker;
    worker.clock_ms = 5000;
    worker.clock_at = kSecond;
    const Micros now = kSecond + age;
    WorkerOrder order;
    AddLease(options, worker, order, now);
    // The slowest clock that the worker may have, now and when it expires.
    const double rate = 0.98;
    const double clock = 5000.0 + rate * static_cast<double>(age) / 1000.0;
    const double remaining_ms =
        (static_cast<double>(order.lease_until_ms) - clock) / rate;
    CHECK(static_cast<double>(worker.lease_expires_at - now) / 1000.0 >
          remaining_ms);
  }
}

// Handles, at `now`, the answer to a start sent at 2 s, with a reading of the
// worker's clock, which showed 5000 ms at 1 s. Returns whether the answer was
// taken for one of another process.
bool IsTakenForOtherProcess(int64_t clock_ms, Micros now) {
  PoolBoard board;
  PoolWorker& worker = board.workers["w"];
  worker.status.set_id("w");
  worker.session = SessionState::kReady;
  worker.session_number = 1;
  worker.clock_ms = 5000;
  worker.clock_at = kSecond;
  WorkerAnswer answer;
  answer.order.kind = OrderKind::kStart;
  answer.order.worker = "w";
  answer.order.session = 1;
  answer.order.sent_at = 2 * kSecond;
  answer.outcome = OrderOutcome::kDone;
  answer.clock_ms = clock_ms;
  PoolActions actions;
  OnWorkerAnswer(board, answer, now, actions);
  return worker.session == SessionState::kReconciling;
}

// Guards against a daemon that takes its own delay for a restarted worker.
TEST_CASE(
    "WorkerLease: an answer that is handled late is not taken for one of "
    "another process") {
  CHECK_FALSE(IsTakenForOtherProcess(6000, 2 * kSecond));
  CHECK_FALSE(IsTakenForOtherProcess(6000, 3 * kSecond));
}

// Guards against a start that a later process has confirmed counting as a run
// of the earlier one.
TEST_CASE(
    "WorkerLease: an answer of a process that started 100 ms later is not "
    "taken for one of its predecessor") {
  CHECK(IsTakenForOtherProcess(5900, 2 * kSecond + kMillisecond));
  CHECK_FALSE(IsTakenForOtherProcess(5980, 2 * kSecond + kMillisecond));
}

// A run with a start order under token 7 that was confirmed at 100 by a process
// that started at 5.
WorkerAttempt ConfirmedRun() {
  WorkerAttempt run;
  run.attempt_number = 1;
  run.token = 7;
  run.process_ms = 5;
  run.answered_at = 100;
  return run;
}

WorkerAnswer ListSentAt(Micros sent_at, uint64_t token) {
  WorkerAnswer list;
  list.order.kind = OrderKind::kRenew;
  list.order.sent_at = sent_at;
  list.order.token = token;
  list.outcome = OrderOutcome::kDone;
  return list;
}

TEST_CASE("RunEnds: each proof needs its facts") {
  const TaskName name{"job", 0, 0, 0};
  const WorkerAttempt confirmed = ConfirmedRun();
  WorkerAttempt sent = confirmed;
  sent.answered_at = 0;
  sent.process_ms = 0;

  // A list that may have been made before the start was carried out.
  CHECK_FALSE(ProveNotListed(name, confirmed, ListSentAt(100, 7)));
  CHECK(ProveNotListed(name, confirmed, ListSentAt(101, 7)));
  CHECK_FALSE(ProveNotListed(name, sent, ListSentAt(101, 7)));
  CHECK(ProveNotListed(name, sent, ListSentAt(101, 8)));  // fenced
  WorkerAnswer listed = ListSentAt(101, 8);
  listed.running.push_back({name, 1, 0});
  CHECK_FALSE(ProveNotListed(name, confirmed, listed));
  listed.running[0].attempt = 2;  // another run
  CHECK(ProveNotListed(name, confirmed, listed));
  WorkerAnswer unanswered = ListSentAt(101, 8);
  unanswered.outcome = OrderOutcome::kNoAnswer;
  CHECK_FALSE(ProveNotListed(name, confirmed, unanswered));

  WorkerAnswer answer = ListSentAt(101, 7);
  answer.worker_started_ms = 5;
  CHECK_FALSE(ProveProcessEnded(confirmed, answer));
  answer.worker_started_ms = 6;
  CHECK(ProveProcessEnded(confirmed, answer));
  CHECK_FALSE(ProveProcessEnded(sent, answer));  // it may run there
  answer.outcome = OrderOutcome::kOtherIncarnation;
  CHECK(ProveProcessEnded(sent, answer));

  WorkerAnswer start = answer;
  start.order.kind = OrderKind::kStart;
  start.order.attempt = 1;
  for (const OrderOutcome outcome :
       {OrderOutcome::kDone, OrderOutcome::kNoAnswer,
        OrderOutcome::kStaleAttempt}) {
    start.outcome = outcome;
    CHECK_FALSE(ProveNotStarted(sent, start));
  }
  start.outcome = OrderOutcome::kNoCapacity;
  CHECK(ProveNotStarted(sent, start));

  PoolWorker worker;
  worker.lease_expires_at = 500;
  WorkerAttempt leased = confirmed;
  leased.lease_known = true;
  CHECK_FALSE(ProveLeaseExpired(worker, leased, 500));
  CHECK(ProveLeaseExpired(worker, leased, 501));
  // A later process may carry a start out that none has confirmed.
  const PoolOptions options;
  CHECK_FALSE(ProveLeaseExpired(worker, sent, kMinute));
  sent.sent_at = 400;
  const Micros order_expires_at = LateOrderEnd(options, 400);
  CHECK_FALSE(ProveOrderExpired(options, worker, sent, order_expires_at));
  CHECK(ProveOrderExpired(options, worker, sent, order_expires_at + 1));
  CHECK_FALSE(ProveListedEnd(confirmed, {1, name, 2, AttemptEnd::kDone}));
  CHECK(ProveListedEnd(confirmed, {1, name, 1, AttemptEnd::kDone}));
}

}  // namespace
}  // namespace goldcrest
