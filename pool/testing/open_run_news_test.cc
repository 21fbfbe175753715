#include "pool/workers/open_run_news.h"

#include <catch2/catch.hpp>

#include "pool/jobs/task_queue.h"
#include "pool/workers/run_ends.h"
#include "pool/workers/start_bindings.h"
#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

const TaskName kTask{"job", 0, 0, 0};

wire::OpenRunNews News(uint64_t sequence, uint32_t over_in_ms) {
  wire::OpenRunNews news;
  news.set_sequence(sequence);
  news.add_runs()->set_job_id(kTask.job_id);
  news.mutable_runs(0)->set_over_in_ms(over_in_ms);
  return news;
}

// Adds the job of kTask.
PoolJob& AddJob(PoolBoard& board) {
  PoolJob& job = *(board.jobs["key"] = std::make_unique<PoolJob>());
  job.key = "key";
  job.order.set_job_id(kTask.job_id);
  job.order.add_steps()->set_tasks(1);
  job.steps.resize(1);
  job.steps[0].tasks.resize(1);
  board.job_keys[kTask.job_id] = "key";
  return job;
}

// Guards against announcements that overtake each other, the end of one run
// being taken for that of another daemon's, and a task that is held for good.
TEST_CASE("OpenRunNews: the newest announcement of each daemon holds") {
  PoolBoard board;
  PoolActions actions;
  const auto hear = [&](const char* from, uint64_t sequence, uint32_t over_in) {
    OnOpenRunNews(board, {from, 1}, News(sequence, over_in), kSecond, actions);
    return IsRunOpen(board, kTask);
  };
  CHECK(hear("a", 5, 1000));
  CHECK(hear("b", 1, 2000));
  CHECK(hear("a", 6, 0));
  CHECK_FALSE(hear("b", 2, 0));
  CHECK_FALSE(hear("a", 5, 1000));
  CHECK(hear("b", 3, UINT32_MAX));
  OpenRunsTick(board, kSecond + kMinute, actions);
  CHECK_FALSE(IsRunOpen(board, kTask));
  CHECK(board.open_run_news.elsewhere.empty());
}

// Guards against a task that is held for good: the record of another daemon's
// run, which was over, outlived that of the open one.
TEST_CASE("OpenRunNews: a task is queued when the last open run has expired") {
  PoolBoard board;
  PoolActions actions;
  OnOpenRunNews(board, {"a", 1}, News(1, 1000), kSecond, actions);
  OnOpenRunNews(board, {"b", 1}, News(1, 1000), kSecond, actions);
  OnOpenRunNews(board, {"b", 1}, News(2, 0), kSecond, actions);
  QueueTask(board, AddJob(board), 0, 0);
  CHECK(board.waiting.empty());
  OpenRunsTick(board, 3 * kSecond, actions);
  CHECK(board.waiting.size() == 1);
}

// Returns the open run that the board announces at the time given, if any.
std::optional<wire::OpenRun> AnnouncedRow(PoolBoard& board, Micros now) {
  PoolActions actions;
  OpenRunsTick(board, now, actions);
  for (const PoolAction& action : actions) {
    const auto* send = std::get_if<SendMessage>(&action);
    if (send != nullptr && send->message.has_open_run_news()) {
      return send->message.open_run_news().runs(0);
    }
  }
  return std::nullopt;
}

// Guards against a binding that no other daemon knows of, should this one fail:
// the list that lacked the start came while the job goes on, or after its end.
TEST_CASE("OpenRunNews: a task is announced as soon as it is bound") {
  const bool job_goes_on = GENERATE(false, true);
  CAPTURE(job_goes_on);
  PoolBoard board;
  board.mesh.members["other"].last_heartbeat.set_control(true);
  PoolWorker& worker = board.workers["w"];
  worker.status.set_id("w");
  WorkerAttempt run;
  run.attempt_number = 1;
  run.token = 1;
  run.sent_at = kSecond;
  if (job_goes_on) {
    run.job_key = AddJob(board).key;
  }
  AddRun(board, worker, kTask, run);
  WorkerAnswer list;
  list.order.kind = OrderKind::kRenew;
  list.order.token = 2;
  list.outcome = OrderOutcome::kDone;
  PoolActions actions;
  EndUnlistedRuns(board, worker, list, 2 * kSecond, actions);
  REQUIRE(FindBinding(board, kTask) != nullptr);
  CHECK(AnnouncedRow(board, 2 * kSecond));
}

// Guards against a start without an answer that no other daemon knows of until
// its worker's lease has expired, should this one fail before.
TEST_CASE("OpenRunNews: a start without an answer is announced at once") {
  PoolBoard board;
  board.mesh.members["other"].last_heartbeat.set_control(true);
  PoolWorker& worker = board.workers["w"];
  worker.status.set_id("w");
  worker.session = SessionState::kReady;
  worker.lease_expires_at = 3 * kSecond;
  WorkerAttempt run;
  run.attempt_number = 1;
  run.sent_at = kSecond;
  run.job_key = AddJob(board).key;
  AddRun(board, worker, kTask, run);
  CHECK_FALSE(AnnouncedRow(board, kSecond));
  PoolActions actions;
  ReconcileWorker(board, worker, "call_unanswered", kSecond, actions);
  CHECK(AnnouncedRow(board, kSecond));
}

// Guards against a task that other daemons start while it is bound to a worker
// here, and one that they hold although it is done.
TEST_CASE("OpenRunNews: a bound task is open elsewhere until it is done") {
  PoolBoard board;
  board.mesh.members["other"].last_heartbeat.set_control(true);
  PoolActions actions;
  const auto sent_row = [&](Micros now) { return AnnouncedRow(board, now); };
  BindTask(board, kTask, "w", 9 * kSecond, actions);
  AnnounceOpenRun(board, kTask, 9 * kSecond);
  REQUIRE(sent_row(kSecond));
  CHECK_FALSE(sent_row(2 * kSecond));
  AnnounceOpenRun(board, kTask, 10 * kSecond);
  const auto later = sent_row(3 * kSecond);
  REQUIRE(later);
  CHECK(later->over_in_ms() == 7000);
  UnbindTask(board, kTask);
  const auto over = sent_row(4 * kSecond);
  REQUIRE(over);
  CHECK(over->over_in_ms() == 0);
}

// Guards against a run of an earlier start that goes on beside its repetition,
// with its lease extended: lists were matched by task, not by run.
TEST_CASE("WorkerSession: a second run of a task on a worker is stopped") {
  PoolBoard board;
  PoolWorker& worker = board.workers["w"];
  worker.status.set_id("w");
  worker.session = SessionState::kReady;
  worker.session_number = 1;
  worker.attempts[kTask].attempt_number = 2;
  worker.attempts[kTask].answered_at = kSecond;
  worker.attempts[kTask].state = AttemptState::kRunning;
  WorkerAnswer list;
  list.order.worker = "w";
  list.order.session = 1;
  list.order.sent_at = kSecond;
  list.outcome = OrderOutcome::kDone;
  list.clock_ms = 2000;
  list.running = {{kTask, 1, 50}, {kTask, 2, 10}};
  PoolActions actions;
  OnWorkerAnswer(board, list, 2 * kSecond, actions);
  std::vector<WorkerOrder> orders;
  for (const PoolAction& action : actions) {
    if (const auto* send = std::get_if<SendOrder>(&action)) {
      orders.push_back(send->order);
    }
  }
  REQUIRE(orders.size() == 2);
  CHECK(orders[0].kind == OrderKind::kStop);
  CHECK(orders[0].attempt == 1);
  CHECK(orders[1].kind == OrderKind::kRenew);
  CHECK(orders[1].lease_until_ms == 0);
  CHECK(worker.attempts.at(kTask).progress_percent == 10);
}

}  // namespace
}  // namespace goldcrest
