// Tasks that crash the workers that start them: what they cost, and what their
// callers and the others get.

#include <catch2/catch.hpp>

#include "pool/testing/pool_load.h"
#include "pool/workers/crash_limit.h"
#include "pool/workers/crash_news.h"
#include "pool/workers/worker_loss.h"
#include "pool/workers/worker_roster.h"

namespace goldcrest {
namespace {

constexpr int kMostCrashes = 2;  // of workers under one task
constexpr int64_t kLongTimeoutMs = 6000;

FakePoolOptions Options(uint64_t seed = 1) {
  FakePoolOptions options;
  options.seed = seed;
  options.features.placement_lookahead = true;
  options.features.overload_control = true;
  options.features.queue_floor_percent = 30;
  options.features.standby_after = 250 * kMillisecond;
  options.features.run_times_by_worker = true;
  return options;
}

FakeJob DeadlyJob(int tasks) {
  FakeJob job;
  job.tasks = tasks;
  job.run_ms = 60;
  job.estimate_ms = 60;
  job.timeout_ms = kLongTimeoutMs;
  job.crashing_task = 0;
  return job;
}

FakeJob SoundJob() {
  FakeJob job = DeadlyJob(1);
  job.crashing_task = -1;
  return job;
}

TEST_CASE("CrashLedger: a task that crashes its workers crashes two at most") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    FakePool pool(Options(seed));
    WaitUntilServing(pool);
    const int job = pool.Submit(0, DeadlyJob(4));
    pool.Run(kLongTimeoutMs * kMillisecond);
    CHECK(pool.RecordOf(job, 0).crashes == kMostCrashes);
    CHECK(pool.answers().at(job).fate == wire::JOB_FAILED);
    // A lease of the first worker, and the return of the second one, whose list
    // proves the crash.
    CHECK(pool.answers().at(job).answered_at -
              pool.answers().at(job).submitted_at <
          kOutageOfCrash + kSecond);
    RequireNoViolation(pool);
  }
}

// Runs for `duration`. The caller of the job sends it again, to the next entry
// daemon, when its outcome is not final.
void RunWithResends(FakePool& pool, int job, Micros duration) {
  constexpr Micros kResendDelay = 300 * kMillisecond;
  const Micros end = pool.now() + duration;
  size_t entry = 0;
  while (pool.now() < end) {
    pool.Run(50 * kMillisecond);
    const FakeAnswer& answer = pool.answers().at(job);
    const bool is_final = answer.fate == wire::JOB_FATE_UNSPECIFIED ||
                          answer.fate == wire::JOB_COMPLETED ||
                          answer.fate == wire::JOB_FAILED;
    if (!is_final && pool.now() - answer.answered_at >= kResendDelay) {
      pool.Resubmit(job, ++entry % pool.entries().size());
    }
  }
}

// Guards against a task that crashes worker after worker, since none of them
// has answered its start (BUDGET).
TEST_CASE(
    "WorkerLoss: a task crashes two workers that do not answer its start") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    for (const bool renamed : {false, true}) {
      FakePool pool(Options(seed));
      for (FakeWorker& worker : pool.workers()) {
        worker.time_to_crash = 0;
        worker.renamed_at_start = renamed;
      }
      WaitUntilServing(pool);
      const int job = pool.Submit(0, DeadlyJob(1));
      RunWithResends(pool, job, 40 * kSecond);
      // Under the same id, the start is repeated at its worker: three crashes
      // of one machine.
      CHECK(pool.RecordOf(job, 0).crashes == kMostCrashes + (renamed ? 0 : 1));
      // The starts may not have arrived, so that nothing final can be said.
      CHECK(pool.answers().at(job).fate != wire::JOB_FAILED);
      CHECK(pool.answers().at(job).fate != wire::JOB_COMPLETED);
      RequireNoViolation(pool);
    }
  }
}

// Guards against a task that crashes worker after worker, since connections to
// them are closed by a proxy, not refused, and its runs have ended with the
// lease when a later process reports (soak seed 3, task_crashes).
TEST_CASE("WorkerLoss: a task crashes two workers behind a proxy") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    FakePool pool(Options(seed));
    for (FakeWorker& worker : pool.workers()) {
      worker.behind_proxy = true;
      worker.renamed_at_start = true;
    }
    WaitUntilServing(pool);
    const int job = pool.Submit(0, DeadlyJob(1));
    RunWithResends(pool, job, 40 * kSecond);
    CAPTURE(seed);
    CHECK(pool.RecordOf(job, 0).crashes <= kMostCrashes);
    // The processes may have ended after the runs, so that nothing final can be
    // said.
    CHECK(pool.answers().at(job).fate != wire::JOB_FAILED);
    CHECK(pool.answers().at(job).fate != wire::JOB_COMPLETED);
    RequireNoViolation(pool);
  }
}

// The same where the starts arrive, and their answers are lost.
TEST_CASE("WorkerLoss: lost answers do not hide the crashes of a task",
          "[!mayfail][known_red]") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    for (const bool renamed : {false, true}) {
      FakePool pool(Options(seed));
      for (FakeWorker& worker : pool.workers()) {
        worker.renamed_at_start = renamed;
      }
      WaitUntilServing(pool);
      for (FakeWorker& worker : pool.workers()) {
        worker.lost_answer_share = 0.5;
      }
      const int job = pool.Submit(0, DeadlyJob(1));
      RunWithResends(pool, job, 40 * kSecond);
      CAPTURE(seed, renamed);
      CHECK(pool.RecordOf(job, 0).crashes <= kMostCrashes + 1);
    }
  }
}

// Guards against crashes that are charged to nobody, since the job of the task
// ended in the moment of the crash.
TEST_CASE("WorkerLoss: a crash counts although the job has ended by then") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    FakePool pool(Options(seed));
    WaitUntilServing(pool);
    const int job = pool.Submit(0, DeadlyJob(1));
    for (int round = 0; round < 6; ++round) {
      // Each control daemon stands still for longer than a pause that ends its
      // jobs, beginning with the start of the task.
      const int starts = pool.RecordOf(job, 0).starts;
      for (int i = 0; i < 5000 && pool.RecordOf(job, 0).starts == starts; ++i) {
        pool.Run(kMillisecond);
      }
      pool.Run(5 * kMillisecond);
      for (FakeControl& control : pool.controls()) {
        control.paused = true;
      }
      pool.Run(500 * kMillisecond);
      for (FakeControl& control : pool.controls()) {
        control.paused = false;
      }
      RunWithResends(pool, job, 2 * kSecond);
    }
    CHECK(pool.RecordOf(job, 0).crashes <= kMostCrashes);
    RequireNoViolation(pool);
  }
}

// Returns the worker that runs a task, or null.
FakeWorker* FindBusyWorker(FakePool& pool) {
  for (FakeWorker& worker : pool.workers()) {
    if (worker.up && !worker.attempts.empty()) {
      return &worker;
    }
  }
  return nullptr;
}

// Submits a sound job whose first worker crashes, and lets the link to its
// second one refuse connections for `refused` while that process lives. Returns
// the job.
int SubmitBehindRefusingLink(FakePool& pool, Micros refused) {
  FakeJob sent = SoundJob();
  sent.run_ms = 600;
  sent.estimate_ms = 600;
  const int job = pool.Submit(0, sent);
  pool.Run(100 * kMillisecond);
  const FakeWorker* first = FindBusyWorker(pool);
  REQUIRE(first != nullptr);
  pool.CrashWorker(static_cast<size_t>(first - pool.workers().data()),
                   kOutageOfCrash);
  pool.Run(900 * kMillisecond);
  FakeWorker* second = FindBusyWorker(pool);
  REQUIRE(second != nullptr);
  second->link_refuses = true;
  pool.Run(refused);
  second->link_refuses = false;
  return job;
}

// Guards against sound jobs that are shown as failed while their task runs on
// (LOST): refused connections of a link were taken for a crash of the process.
TEST_CASE("CrashLedger: a link that refuses connections fails no job") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    for (const Micros refused :
         {150 * kMillisecond, 400 * kMillisecond, 2000 * kMillisecond}) {
      FakePool pool(Options(seed));
      WaitUntilServing(pool);
      const int job = SubmitBehindRefusingLink(pool, refused);
      CAPTURE(seed, refused);
      CHECK(pool.CountLogged("task_crash") == 2);
      CHECK(pool.answers().at(job).fate == wire::JOB_FATE_UNSPECIFIED);
      pool.Run(3 * kSecond);
      CHECK(pool.answers().at(job).fate == wire::JOB_COMPLETED);
      CHECK(pool.CountLogged("worker_crash_withdrawn") > 0);
      RequireNoViolation(pool);
    }
  }
}

// The same where the link stays so: nobody can know, and nothing final is said.
TEST_CASE("CrashLedger: a crash that stays unproven fails no job") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    FakePool pool(Options(seed));
    WaitUntilServing(pool);
    const int job =
        SubmitBehindRefusingLink(pool, kLongTimeoutMs * kMillisecond);
    const wire::JobFate fate = pool.answers().at(job).fate;
    CHECK((fate == wire::JOB_TIMED_OUT || fate == wire::JOB_UNKNOWN));
    CHECK(pool.RecordOf(job, 0).starts == 2);
    RequireNoViolation(pool);
  }
}

// Submits pairs of a sound job and one with a task that crashes its workers;
// returns the sound ones.
std::vector<int> SubmitPairs(FakePool& pool, int pairs) {
  std::vector<int> sound;
  for (int i = 0; i < pairs; ++i) {
    sound.push_back(pool.Submit(0, SoundJob()));
    pool.Submit(0, DeadlyJob(1));
  }
  return sound;
}

TEST_CASE("CrashLedger: sound jobs that share a crashed worker complete") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    FakePoolOptions options = Options(seed);
    options.workers_per_domain = 12;
    FakePool pool(options);
    WaitUntilServing(pool);
    const std::vector<int> sound = SubmitPairs(pool, 6);
    pool.Run(kLongTimeoutMs * kMillisecond);
    for (const int job : sound) {
      CHECK(pool.answers().at(job).fate == wire::JOB_COMPLETED);
      // One crash may be a neighbour's; the task runs alone after that.
      CHECK(pool.RecordOf(job, 0).starts <= kMostCrashes);
    }
    RequireNoViolation(pool);
  }
}

TEST_CASE("WorkerLoss: a pool that is lost whole fails no sound job") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    FakePool pool(Options(seed));
    WaitUntilServing(pool);
    const std::vector<int> sound = SubmitPairs(pool, 6);
    pool.Run(kLongTimeoutMs * kMillisecond);
    for (const int job : sound) {
      CHECK(pool.answers().at(job).fate != wire::JOB_FAILED);
    }
    for (const auto& [job, answer] : pool.answers()) {
      CHECK(pool.RecordOf(job, 0).crashes <= kMostCrashes);
    }
    RequireNoViolation(pool);
  }
}

TEST_CASE("CrashNews: the count holds when the daemon that saw a crash fails") {
  for (size_t entry = 0; entry < 3; ++entry) {
    FakePool pool(Options());
    WaitUntilServing(pool);
    const int job = pool.Submit(entry, DeadlyJob(1));
    pool.Run(300 * kMillisecond);
    REQUIRE(pool.RecordOf(job, 0).crashes == 1);
    pool.KillControl(entry);
    pool.Run(1300 * kMillisecond);
    pool.Resubmit(job, (entry + 1) % 3);
    pool.Run(2 * kSecond);
    pool.StartControl(entry);
    pool.Resubmit(job, entry);
    pool.Run(kLongTimeoutMs * kMillisecond);
    CHECK(pool.RecordOf(job, 0).crashes == kMostCrashes);
    CHECK(pool.answers().at(job).fate == wire::JOB_FAILED);
  }
}

TEST_CASE("CrashNews: late news does not count a worker as away that is back") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    FakePool pool(Options(seed));
    WaitUntilServing(pool);
    pool.Submit(0, DeadlyJob(1));
    pool.Run(20 * kMillisecond);
    pool.KillControl(1);  // the news of the first crash is repeated to it
    pool.Run(kSecond + kOutageOfCrash);
    pool.StartControl(1);
    pool.Run(2 * kSecond);
    CHECK(pool.controls()[1].board.crashes.jobs.size() == 1);
    CHECK(pool.controls()[1].board.crashes.away.empty());
    CHECK(pool.controls()[1].board.crashes.queue_crashes.empty());
  }
}

TEST_CASE("CrashNews: a job that was given up fails at once at every daemon") {
  FakePool pool(Options());
  WaitUntilServing(pool);
  const int job = pool.Submit(0, DeadlyJob(1));
  pool.Run(2 * kSecond);
  // Sent again before the second crash is proven, it waits for that.
  pool.Resubmit(job, 1);
  pool.Run(100 * kMillisecond);
  CHECK(pool.answers().at(job).fate == wire::JOB_FATE_UNSPECIFIED);
  pool.Run(kOutageOfCrash);
  CHECK(pool.answers().at(job).fate == wire::JOB_FAILED);
  for (size_t entry = 0; entry < 3; ++entry) {
    pool.Resubmit(job, entry);
    pool.Run(100 * kMillisecond);
    CHECK(pool.answers().at(job).fate == wire::JOB_FAILED);
  }
  CHECK(pool.RecordOf(job, 0).starts == kMostCrashes);
}

TEST_CASE("WorkerLoss: workers that are cut off do not count as crashed") {
  FakePool pool(Options());
  WaitUntilServing(pool);
  FakeJob sent = SoundJob();
  sent.run_ms = 400;
  sent.estimate_ms = 400;
  std::vector<int> jobs;
  for (int round = 0; round < 3; ++round) {
    jobs.push_back(pool.Submit(0, sent));
    pool.Run(100 * kMillisecond);
    pool.CutDomain("a");
    pool.Run(900 * kMillisecond);
    pool.EndPartitions();
    pool.Run(2 * kSecond);
  }
  CHECK(pool.CountLogged("task_crash") == 0);
  CHECK(pool.CountAnswers(wire::JOB_FAILED) == 0);
  RequireNoViolation(pool);
}

// Returns a report of a worker at the one address of these tests.
wire::WorkerNews ReportOf(const std::string& id, int64_t born_ms) {
  wire::WorkerNews report;
  report.set_id(id);
  report.set_address("10.0.0.1:80");
  report.set_failure_domain("a");
  report.set_born_ms(born_ms);
  report.set_sequence(1);
  return report;
}

// Returns the board of a control daemon that has no session with a worker and
// has been told at `now` that the worker crashed.
PoolBoard BoardTold(Micros now, PoolActions& actions) {
  PoolBoard board;
  board.mesh.options.failure_domain = "a";
  OnWorkerReport(board, ReportOf("first", 1), now, actions);
  wire::CrashNews news;
  wire::TaskCrash& crash = *news.add_crashes();
  crash.set_job_id("job");
  crash.set_queue("q");
  crash.set_address("10.0.0.1:80");
  crash.set_born_ms(1);
  wire::AwayWorker& away = *news.add_away();
  away.set_address("10.0.0.1:80");
  away.set_failure_domain("a");
  away.set_queue("q");
  OnCrashNews(board, news, now, actions);
  return board;
}

// Guards against a queue that is held for 10 s at the daemons that did not own
// the crashed worker.
TEST_CASE(
    "CrashLedger: a worker with a successor is not away, whoever owns it") {
  PoolActions actions;
  PoolBoard board = BoardTold(kSecond, actions);
  CHECK(board.crashes.away.size() == 1);
  // The successor at the address has another id.
  OnWorkerReport(board, ReportOf("second", 2), 4 * kSecond, actions);
  CHECK(board.crashes.away.empty());

  PoolBoard told_gone = BoardTold(kSecond, actions);
  wire::WorkerTableNews update;
  *update.add_workers() = ReportOf("first", 1);
  update.mutable_workers(0)->set_gone(true);
  OnWorkerUpdate(told_gone, "10.0.0.9:7060", update, 4 * kSecond, actions);
  CHECK(told_gone.crashes.away.empty());
}

TEST_CASE("WorkerLoss: the cause follows from the evidence") {
  LossEvidence evidence;
  evidence.lost_workers = 1;
  evidence.pool_workers = 12;
  CHECK(ConcludeLoss(evidence) == LossCause::kUnknown);
  evidence.closed = true;
  evidence.refusals = 1;
  CHECK(ConcludeLoss(evidence) == LossCause::kUnknown);
  evidence.refusals = 2;
  evidence.refused_for = 60 * kMillisecond;
  CHECK(ConcludeLoss(evidence) == LossCause::kCrash);
  evidence.leaving = true;
  CHECK(ConcludeLoss(evidence) == LossCause::kLeft);
  evidence.leaving = false;
  evidence.lost_workers = 4;  // a third of the pool
  CHECK(ConcludeLoss(evidence) == LossCause::kShared);
  evidence.common_job = true;
  CHECK(ConcludeLoss(evidence) == LossCause::kCrash);
  LossEvidence silent;
  silent.new_process = true;
  CHECK(ConcludeLoss(silent) == LossCause::kCrash);
}

// Records a proven crash.
void RecordProven(CrashLedger& ledger,
                  const TaskName& task,
                  const CrashedProcess& process,
                  bool alone) {
  RecordTaskCrash(ledger, {task, "q", process, alone, true}, 1);
}

TEST_CASE("CrashLedger: a crash of a process that is alive is withdrawn") {
  CrashLedger ledger;
  const CrashOptions options;
  const TaskName task{"job", 0, 0, 1};
  const CrashedProcess first{"10.0.0.1:80", 1};
  const CrashedProcess second{"10.0.0.2:80", 1};
  CHECK(RecordTaskCrash(ledger, {task, "q", first, false}, 1));
  CHECK_FALSE(RecordTaskCrash(ledger, {task, "q", first, false}, 1));
  CHECK(RecordTaskCrash(ledger, {task, "q", second, true}, 2));
  CHECK(IsUndecided(ledger, options, task));
  CHECK_FALSE(IsGivenUp(ledger, options, task));
  CHECK(WithdrawCrashes(ledger, second).size() == 1);
  CHECK_FALSE(IsUndecided(ledger, options, task));
  CHECK(CountCrashes(ledger, task) == 1);
}

TEST_CASE("CrashLedger: later processes prove crashes, in any order") {
  CrashLedger ledger;
  const CrashOptions options;
  const TaskName task{"job", 0, 0, 1};
  RecordTaskCrash(ledger, {task, "q", {"10.0.0.1:80", 5}, false}, 1);
  RecordTaskCrash(ledger, {task, "q", {"10.0.0.2:80", 5}, true}, 2);
  CHECK(ProveCrashes(ledger, "10.0.0.1:80", 5).empty());  // the same process
  CHECK(ProveCrashes(ledger, "10.0.0.2:80", 6).size() == 1);
  CHECK(IsUndecided(ledger, options, task));
  CHECK(ProveCrashes(ledger, "10.0.0.1:80", 6).size() == 1);
  CHECK(ProveCrashes(ledger, "10.0.0.1:80", 6).empty());
  CHECK(IsGivenUp(ledger, options, task));
  CHECK_FALSE(IsUndecided(ledger, options, task));
}

TEST_CASE(
    "CrashLedger: shared crashes, and two of one machine, give up no task") {
  CrashLedger ledger;
  const CrashOptions options;
  const TaskName task{"job", 0, 0, 0};
  RecordProven(ledger, task, {"10.0.0.1:80", 1}, true);
  RecordProven(ledger, task, {"10.0.0.1:80", 2}, true);
  CHECK_FALSE(IsGivenUp(ledger, options, task));  // the same machine twice
  RecordProven(ledger, task, {"10.0.0.1:80", 3}, true);
  CHECK(IsGivenUp(ledger, options, task));  // a pool of one machine ends, too
  const TaskName neighbour{"job", 0, 0, 1};
  RecordProven(ledger, neighbour, {"10.0.0.1:80", 1}, false);
  RecordProven(ledger, neighbour, {"10.0.0.2:80", 1}, false);
  CHECK_FALSE(IsGivenUp(ledger, options, neighbour));  // never alone
  CHECK_FALSE(IsUndecided(ledger, options, neighbour));
}

TEST_CASE("CrashLedger: ten thousand jobs fit into the bound of the record") {
  CrashLedger ledger;
  for (int i = 0; i < 10'000; ++i) {
    RecordTaskCrash(
        ledger, {{"job" + std::to_string(i), 0, 0, 0}, "q", {"a", 1}, true}, i);
  }
  CHECK(ledger.jobs.size() == kMaxCrashedJobs);
  CHECK(ledger.jobs.contains("job9999"));
  ForgetOldCrashes(ledger, 10'000 + kCrashRetention + 1);
  CHECK(ledger.jobs.empty());
}

// Submits jobs of two queues for 6 s; every tenth of the first holds a task
// that crashes its workers, if `deadly`. Returns the completed jobs of the
// second.
int CompletedOfOtherQueue(bool deadly, uint64_t seed) {
  FakePoolOptions options = Options(seed);
  options.workers_per_domain = 16;
  FakePool pool(options);
  WaitUntilServing(pool);
  std::vector<int> others;
  for (int i = 0; i < 600; ++i) {
    FakeJob first = SoundJob();
    first.timeout_ms = 1500;
    first.tasks = 2;
    first.crashing_task = deadly && i % 10 == 0 ? 0 : -1;
    pool.Submit(static_cast<size_t>(i) % 3, first);
    FakeJob second = SoundJob();
    second.timeout_ms = 1500;
    second.queue = 1;
    second.run_ms = 200;
    second.estimate_ms = 200;
    second.tasks = 2;
    others.push_back(pool.Submit(static_cast<size_t>(i) % 3, second));
    pool.Run(10 * kMillisecond);
  }
  pool.Run(3 * kSecond);
  RequireNoViolation(pool);
  return static_cast<int>(
      std::count_if(others.begin(), others.end(), [&](int job) {
        const FakeAnswer& answer = pool.answers().at(job);
        return answer.fate == wire::JOB_COMPLETED &&
               answer.answered_at - answer.submitted_at < 700 * kMillisecond;
      }));
}

TEST_CASE("CrashLimit: other queues are served while tasks crash workers") {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    const int without = CompletedOfOtherQueue(false, seed);
    const int with = CompletedOfOtherQueue(true, seed);
    CHECK(with >= without * 9 / 10);
  }
}

}  // namespace
}  // namespace goldcrest
