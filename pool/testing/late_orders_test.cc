// Orders that had no answer are carried out seconds later, by the worker's
// present process, which may not be the one that they were meant for.

#include <catch2/catch.hpp>

#include "pool/testing/pool_load.h"

namespace goldcrest {
namespace {

constexpr Micros kCrashAfterStart = 10 * kMillisecond;
// After a job of unknown outcome, its caller sends it again.
constexpr Micros kResendDelay = 1300 * kMillisecond;

FakePoolOptions Options(uint64_t seed) {
  FakePoolOptions options;
  options.seed = seed;
  options.features.placement_lookahead = true;
  options.features.standby_after = 250 * kMillisecond;
  return options;
}

FakeJob LongJob() {
  FakeJob job;
  job.run_ms = 3000;
  job.estimate_ms = 3000;
  job.timeout_ms = 8000;
  return job;
}

// What happens to the daemon that sent the start.
enum class OwnerTrouble : uint8_t { kNone, kKilled, kPaused };

// A job of one task whose start has no answer and arrives late.
struct LateStart {
  int job = 0;
  size_t worker = 0;
  size_t control = 0;  // the daemon that sent it
  Micros arrives_at = 0;
};

void SetLateOrders(FakePool& pool, double share, Micros delay) {
  for (FakeWorker& worker : pool.workers()) {
    worker.late_order_share = share;
    worker.shortest_delay = delay;
    worker.longest_delay = delay;
  }
}

size_t IndexOfWorker(FakePool& pool, const std::string& id) {
  size_t index = 0;
  while (pool.workers()[index].status.id() != id) {
    ++index;
  }
  return index;
}

// Sets the worker and the daemon of the job's run if there is one.
bool FindRun(FakePool& pool, LateStart& start) {
  const TaskName task{"job" + std::to_string(start.job), 0, 0, 0};
  for (size_t i = 0; i < pool.controls().size(); ++i) {
    for (const auto& [id, worker] : pool.controls()[i].board.workers) {
      if (worker.attempts.contains(task)) {
        start.worker = IndexOfWorker(pool, id);
        start.control = i;
        return true;
      }
    }
  }
  return false;
}

LateStart SubmitWithLateStart(FakePool& pool,
                              const FakeJob& job,
                              Micros delay) {
  SetLateOrders(pool, 1, delay);
  LateStart start;
  start.job = pool.Submit(0, job);
  bool sent = false;
  for (int i = 0; i < 100 && !sent; ++i) {
    pool.Run(kMillisecond);
    sent = FindRun(pool, start);
  }
  REQUIRE(sent);
  SetLateOrders(pool, 0, 0);
  start.arrives_at = pool.now() + delay;
  return start;
}

// Crashes the worker, whose next process starts `margin` before the late start
// arrives.
void CrashUntilArrival(FakePool& pool, const LateStart& start, Micros margin) {
  pool.CrashWorker(start.worker, start.arrives_at - margin - pool.now());
}

void RunUntilUnknown(FakePool& pool, const LateStart& start) {
  const FakeAnswer& answer = pool.answers().at(start.job);
  while (answer.fate == wire::JOB_FATE_UNSPECIFIED &&
         pool.now() < start.arrives_at) {
    pool.Run(kMillisecond);
  }
  REQUIRE(answer.fate != wire::JOB_COMPLETED);
}

// Lets the caller send the job again as its next sending is due.
void ResendWhenUnknown(FakePool& pool, const LateStart& start, size_t entry) {
  RunUntilUnknown(pool, start);
  pool.Run(kResendDelay);
  REQUIRE(pool.now() < start.arrives_at);
  pool.Resubmit(start.job, entry);
}

// Runs until all is over. All runs of the job's task were one after the other.
void RequireOneRunAtATime(FakePool& pool) {
  pool.Run(10 * kSecond);
  CHECK(pool.CountAnswers(wire::JOB_FATE_UNSPECIFIED) == 0);
  RequireNoViolation(pool);
}

// Guards against a start that had no answer counting as over once its lease has
// expired: the worker's next process, which has seen no token and whose clock
// starts anew, carried it out beside the run that was started elsewhere.
TEST_CASE(
    "RunEnds: a start that a restarted worker carries out late does not run "
    "beside its successor") {
  const bool late_reports = GENERATE(false, true);
  const Micros delay = GENERATE(900, 1300, 1800) * kMillisecond;
  const Micros margin = GENERATE(1, 3, 20, 100) * kMillisecond;
  const uint64_t seed = GENERATE(1, 2, 3);
  CAPTURE(late_reports, delay, margin, seed);
  FakePool pool(Options(seed));
  WaitUntilServing(pool);
  const LateStart start = SubmitWithLateStart(pool, LongJob(), delay);
  pool.Run(kCrashAfterStart);
  pool.workers()[start.worker].lost_report_share = late_reports ? 1 : 0;
  CrashUntilArrival(pool, start, margin);
  RequireOneRunAtATime(pool);
}

// Guards against a proof by a list under a higher token that outlives the
// process which has seen that token: one that is restarted (or restarted again)
// before the start arrives carried it out.
TEST_CASE(
    "RunEnds: a start that was fenced does not run in a later process beside "
    "its successor") {
  const bool restarted_before = GENERATE(false, true);
  const Micros delay = GENERATE(1200, 2500) * kMillisecond;
  const uint64_t seed = GENERATE(1, 2, 3);
  CAPTURE(restarted_before, delay, seed);
  FakePool pool(Options(seed));
  WaitUntilServing(pool);
  const LateStart start = SubmitWithLateStart(pool, LongJob(), delay);
  pool.Run(kCrashAfterStart);
  if (restarted_before) {
    pool.CrashWorker(start.worker, 20 * kMillisecond);
  }
  pool.Run(600 * kMillisecond);
  CrashUntilArrival(pool, start, kMillisecond);
  RequireOneRunAtATime(pool);
}

// Plays a start that is carried out late after its job has ended with an
// unknown outcome and its caller has sent it again through another entry
// daemon. The worker crashes `crash_after` the start.
void PlayLateStartAndResend(OwnerTrouble trouble,
                            Micros crash_after,
                            Micros margin,
                            uint64_t seed) {
  CAPTURE(trouble, crash_after, margin, seed);
  FakePool pool(Options(seed));
  WaitUntilServing(pool);
  FakeJob job = LongJob();
  job.estimate_ms = 600;
  job.timeout_ms = 1500;
  const LateStart start = SubmitWithLateStart(pool, job, 3200 * kMillisecond);
  pool.Run(crash_after);
  CrashUntilArrival(pool, start, margin);
  if (trouble == OwnerTrouble::kKilled) {
    pool.KillControl(start.control);
  }
  pool.controls()[start.control].paused = trouble == OwnerTrouble::kPaused;
  ResendWhenUnknown(pool, start, 1);
  pool.controls()[start.control].paused = false;
  RequireOneRunAtATime(pool);
}

// Guards against another control daemon, which knows nothing of the start,
// starting the task of the job that was sent again; also if a list under a
// higher token has lacked the start (the worker crashes after 600 ms).
TEST_CASE(
    "RunEnds: a start carried out late does not run beside that of the job's "
    "next sending") {
  const Micros crash_after = GENERATE(10, 600) * kMillisecond;
  const Micros margin = GENERATE(1, 20) * kMillisecond;
  const uint64_t seed = GENERATE(1, 2, 3);
  PlayLateStartAndResend(OwnerTrouble::kNone, crash_after, margin, seed);
}

// Guards against a daemon that has found a start unanswered, but told nobody
// while its job goes on, being killed or paused with that knowledge.
TEST_CASE(
    "RunEnds: a late start that its failed daemon found unanswered does not "
    "run beside that of the job's next sending") {
  const OwnerTrouble trouble =
      GENERATE(OwnerTrouble::kKilled, OwnerTrouble::kPaused);
  const Micros crash_after = GENERATE(200, 600) * kMillisecond;
  const Micros margin = GENERATE(1, 20) * kMillisecond;
  const uint64_t seed = GENERATE(1, 2, 3);
  PlayLateStartAndResend(trouble, crash_after, margin, seed);
}

// Guards against the same where the daemon that sent the start is killed or
// paused before it could announce the run. The worker is heard before the start
// is carried out.
TEST_CASE(
    "RunEnds: a start of a failed daemon that reaches a worker which was heard "
    "again does not run beside that of the job's next sending") {
  const OwnerTrouble trouble =
      GENERATE(OwnerTrouble::kKilled, OwnerTrouble::kPaused);
  const uint64_t seed = GENERATE(1, 2, 3);
  PlayLateStartAndResend(trouble, kCrashAfterStart, 20 * kMillisecond, seed);
}

// The same where the start is carried out first.
TEST_CASE(
    "RunEnds: a late start of a failed daemon does not run beside that of the "
    "job's next sending",
    "[!mayfail][known_red]") {
  const OwnerTrouble trouble =
      GENERATE(OwnerTrouble::kKilled, OwnerTrouble::kPaused);
  const uint64_t seed = GENERATE(1, 2, 3);
  PlayLateStartAndResend(trouble, kCrashAfterStart, kMillisecond, seed);
}

// Guards against a restarted daemon, which does not know what its earlier
// process has announced, starting the task of the job that it gets again.
TEST_CASE(
    "RunEnds: a late start of a restarted daemon does not run beside that of "
    "the job's next sending") {
  const size_t entry = GENERATE(0, 1);
  const Micros margin = GENERATE(1, 20) * kMillisecond;
  const uint64_t seed = GENERATE(1, 2, 3);
  CAPTURE(entry, margin, seed);
  FakePool pool(Options(seed));
  WaitUntilServing(pool);
  FakeJob job = LongJob();
  job.estimate_ms = 600;
  job.timeout_ms = 1500;
  const LateStart start = SubmitWithLateStart(pool, job, 3400 * kMillisecond);
  pool.Run(600 * kMillisecond);
  CrashUntilArrival(pool, start, margin);
  RunUntilUnknown(pool, start);
  pool.Run(kResendDelay / 4);
  pool.KillControl(start.control);
  pool.Run(100 * kMillisecond);
  pool.StartControl(start.control);
  pool.Run(kResendDelay);
  REQUIRE(pool.now() < start.arrives_at);
  pool.Resubmit(start.job, entry);
  RequireOneRunAtATime(pool);
}

// Guards against a lease that is counted on the clock of a worker's earlier
// process: to its new process the time in the order lies far ahead, so that it
// holds the run for the longest lease that it grants.
TEST_CASE("WorkerLease: a restarted worker holds no run beyond its lease") {
  const bool answer_is_lost = GENERATE(false, true);
  const uint64_t seed = GENERATE(1, 2, 3);
  CAPTURE(answer_is_lost, seed);
  FakePool pool(Options(seed));
  WaitUntilServing(pool);
  for (size_t i = 0; i < pool.workers().size(); ++i) {
    pool.workers()[i].lost_report_share = 1;
    pool.workers()[i].lost_answer_share = answer_is_lost ? 1 : 0;
    pool.CrashWorker(i, 10 * kMillisecond);
  }
  pool.Run(12 * kMillisecond);
  const int job = pool.Submit(0, LongJob());
  while (pool.RecordOf(job, 0).starts == 0) {
    pool.Run(kMillisecond);
  }
  for (FakeWorker& worker : pool.workers()) {
    worker.reachable = worker.attempts.empty();
    worker.lost_answer_share = 0;
  }
  RequireOneRunAtATime(pool);
}

// Guards against a run being charged with the crash of a process before the one
// that has confirmed it: its worker had restarted unheard while it was idle.
TEST_CASE("WorkerLoss: a restart before the start is no crash of the task") {
  const uint64_t seed = GENERATE(1, 2, 3);
  CAPTURE(seed);
  FakePool pool(Options(seed));
  WaitUntilServing(pool);
  for (size_t i = 0; i < pool.workers().size(); ++i) {
    pool.workers()[i].first_report_after = 200 * kMillisecond;
    pool.CrashWorker(i, 10 * kMillisecond);
  }
  pool.Run(12 * kMillisecond);
  const int job = pool.Submit(0, LongJob());
  RequireOneRunAtATime(pool);
  CHECK(pool.RecordOf(job, 0).lost == 0);
  CHECK(pool.CountLogged("task_crash") == 0);
}

}  // namespace
}  // namespace goldcrest
