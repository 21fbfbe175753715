// Tests of the placement plan.

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "pool/jobs/task_queue.h"
#include "pool/placement/placement_plan.h"
#include "pool/placement/pool_placement.h"
#include "pool/pool_step.h"
#include "pool/testing/pool_load.h"
#include "pool/workers/start_bindings.h"

namespace goldcrest {
namespace {

constexpr Micros kLongSlack = 10 * kSecond;

PlanWorker MakeWorker(int64_t cpu, std::vector<PlanEnd> ends = {}) {
  PlanWorker worker;
  worker.free = {cpu, 1000, 0};
  worker.ends = std::move(ends);
  return worker;
}

PlanTask MakeTask(uint64_t job, int64_t cpu, uint32_t count = 1) {
  PlanTask task;
  task.job = job;
  task.count = count;
  task.required = {cpu, 10, 0};
  task.run_time = 100 * kMillisecond;
  task.latest_start = kLongSlack;
  return task;
}

std::vector<size_t> StartedTasks(const PlacementPlan& plan) {
  std::vector<size_t> tasks;
  for (const PlanStart& start : plan.starts) {
    tasks.push_back(start.task);
  }
  return tasks;
}

TEST_CASE("MakePlacementPlan: a task of 9 cores is paired with one of 7") {
  std::vector<PlanTask> tasks = {MakeTask(0, 9000), MakeTask(1, 10'000),
                                 MakeTask(2, 7000)};
  const std::vector<PlanWorker> workers = {MakeWorker(16'000)};
  CHECK(StartedTasks(MakePlacementPlan(workers, tasks)) ==
        std::vector<size_t>{0, 2});
  // The first task cannot be paired; one that can comes before it.
  std::swap(tasks[0], tasks[1]);
  const PlacementPlan plan = MakePlacementPlan(workers, tasks);
  CHECK(StartedTasks(plan) == std::vector<size_t>{1, 2});
  CHECK(plan.starts[0].ahead);
}

TEST_CASE(
    "MakePlacementPlan: no task is passed over when its latest start is near, "
    "or by one that will be later") {
  std::vector<PlanTask> tasks = {MakeTask(0, 10'000), MakeTask(1, 9000),
                                 MakeTask(2, 7000)};
  const std::vector<PlanWorker> workers = {MakeWorker(16'000)};
  tasks[0].latest_start = 0;
  CHECK(StartedTasks(MakePlacementPlan(workers, tasks))[0] == 0);
  tasks[0].latest_start = kLongSlack;
  tasks[1].lateness = tasks[2].lateness = ExpectedLateness::kLate;
  CHECK(StartedTasks(MakePlacementPlan(workers, tasks))[0] == 0);
  // Guards against a plan that ignores the floors of queues.
  tasks[1].lateness = tasks[2].lateness = ExpectedLateness::kOnTime;
  tasks[0].rank = QueueRank::kFirst;
  CHECK(StartedTasks(MakePlacementPlan(workers, tasks))[0] == 0);
}

TEST_CASE(
    "MakePlacementPlan: of equal tasks, those of a begun job come first") {
  std::vector<PlanTask> tasks = {MakeTask(0, 8000, 2), MakeTask(1, 8000, 2)};
  tasks[1].begun = true;
  CHECK(StartedTasks(MakePlacementPlan({MakeWorker(16'000)}, tasks)) ==
        std::vector<size_t>{1, 1});
}

TEST_CASE(
    "MakePlacementPlan: a job with many waiting tasks is passed over less, "
    "since its last task counts") {
  std::vector<PlanTask> tasks = {MakeTask(0, 10'000), MakeTask(1, 9000),
                                 MakeTask(2, 7000)};
  tasks[0].latest_start = 500 * kMillisecond;
  const PlanEnd end = {80 * kMillisecond, {4000, 10, 0}};
  // An attempt ends every 40 ms on average.
  const std::vector<PlanWorker> workers = {
      MakeWorker(16'000, {end, end, end, end})};
  CHECK(StartedTasks(MakePlacementPlan(workers, tasks))[0] == 1);
  tasks[0].count = 20;
  CHECK(StartedTasks(MakePlacementPlan(workers, tasks))[0] == 0);
}

TEST_CASE(
    "MakePlacementPlan: a task that fits nowhere reserves the worker that can "
    "hold it first") {
  // Eight workers, since a reservation needs as many. The second one can hold
  // the large task after 50 ms, the others after 500 ms.
  std::vector<PlanWorker> workers(
      8, MakeWorker(8000, {{500 * kMillisecond, {8000, 10, 0}}}));
  workers[1].ends[0].in = 50 * kMillisecond;
  std::vector<PlanTask> tasks = {MakeTask(0, 12'000), MakeTask(1, 7000, 20)};
  PlacementPlan plan = MakePlacementPlan(workers, tasks);
  REQUIRE(plan.reservations.size() == 1);
  CHECK(plan.reservations[0].worker == 1);
  CHECK(plan.starts.size() == 7);
  CHECK(std::none_of(plan.starts.begin(), plan.starts.end(),
                     [](const PlanStart& start) { return start.worker == 1; }));
  // Tasks that end before the reservation use the worker.
  tasks[1].run_time = 30 * kMillisecond;
  CHECK(MakePlacementPlan(workers, tasks).starts.size() == 8);
  // The worker has left: another one is reserved.
  workers[1].most_starts = 0;
  workers[1].ends.clear();
  plan = MakePlacementPlan(workers, tasks);
  REQUIRE(plan.reservations.size() == 1);
  CHECK(plan.reservations[0].worker != 1);
}

TEST_CASE(
    "MakePlacementPlan: respects limits by worker and start permissions") {
  std::vector<PlanTask> tasks = {MakeTask(0, 4000, 4), MakeTask(1, 4000, 1),
                                 MakeTask(2, 4000, 9)};
  tasks[0].matches = {{1, false}, {0, false}};
  tasks[1].startable = false;
  std::vector<PlanWorker> workers = {MakeWorker(16'000), MakeWorker(16'000)};
  workers[1].most_starts = 1;
  const PlacementPlan plan = MakePlacementPlan(workers, tasks);
  std::vector<size_t> started = StartedTasks(plan);
  CHECK(std::count(started.begin(), started.end(), 0) == 1);
  CHECK(std::count(started.begin(), started.end(), 1) == 0);
  CHECK(std::count(started.begin(), started.end(), 2) == 4);
}

TEST_CASE(
    "MakePlacementPlan: beyond its budget it places the rest in queue order") {
  std::vector<PlanTask> tasks = {MakeTask(0, 10'000), MakeTask(1, 9000),
                                 MakeTask(2, 7000), MakeTask(3, 16'000)};
  PlanOptions options;
  options.budget = 0;
  const PlacementPlan plan = MakePlacementPlan(
      {MakeWorker(16'000), MakeWorker(16'000)}, tasks, options);
  CHECK(plan.over_budget);
  CHECK(plan.starts.size() >= 2);
}

TEST_CASE(
    "MakePlacementPlan: a task avoids a worker while another one is free") {
  // The first worker is filled first. A last task that fits nowhere makes the
  // plan fill workers one by one.
  std::vector<PlanTask> tasks = {MakeTask(0, 8000), MakeTask(1, 8000),
                                 MakeTask(2, 20'000)};
  tasks[0].matches = {{UINT32_MAX, true}, {UINT32_MAX, false}};
  std::vector<PlanWorker> workers = {MakeWorker(8000), MakeWorker(8000)};
  PlacementPlan plan = MakePlacementPlan(workers, tasks);
  REQUIRE(plan.starts.size() == 2);
  CHECK(plan.starts[0].task == 1);
  CHECK(plan.starts[0].worker == 0);
  CHECK(plan.starts[1].worker == 1);
  // Not if the better worker is used by a more urgent task.
  std::swap(tasks[0], tasks[1]);
  tasks[0].matches = {{0, false}, {UINT32_MAX, false}};
  plan = MakePlacementPlan(workers, tasks);
  REQUIRE(plan.starts.size() == 2);
  CHECK(plan.starts[1].task == 1);
  CHECK(plan.starts[1].worker == 0);
}

TEST_CASE(
    "MakePlacementPlan: its budget lasts for a pool of 2,000 workers in which "
    "some task does not fit") {
  // The attempts to place all tasks in queue order, and to reserve workers for
  // those that fit nowhere, must not use it up.
  std::vector<PlanTask> tasks = {MakeTask(0, 1000, 11), MakeTask(1, 2000, 30)};
  const std::vector<PlanWorker> workers(
      2000, MakeWorker(1000, {{kSecond, {1000, 10, 0}}}));
  const PlacementPlan plan = MakePlacementPlan(workers, tasks);
  CHECK_FALSE(plan.over_budget);
  CHECK(plan.starts.size() == 11);
}

// Returns the most CPU that the tasks can use on one worker, by trying all
// subsets.
int64_t MostUsable(const std::vector<PlanTask>& tasks,
                   size_t next,
                   int64_t free) {
  if (next == tasks.size()) {
    return 0;
  }
  int64_t best = 0;
  for (int64_t n = 0; n <= tasks[next].count; ++n) {
    const int64_t cpu = n * tasks[next].required.cpu_millis;
    if (cpu <= free) {
      best = std::max(best, cpu + MostUsable(tasks, next + 1, free - cpu));
    }
  }
  return best;
}

TEST_CASE(
    "MakePlacementPlan: random small pools agree with an exact reference") {
  std::mt19937_64 random(7);
  double used = 0;
  double usable = 0;
  for (int round = 0; round < 500; ++round) {
    std::vector<PlanTask> tasks;
    for (uint64_t job = 0; job < 3 + random() % 6; ++job) {
      tasks.push_back(MakeTask(job,
                               6000 + static_cast<int64_t>(random() % 6000),
                               1 + static_cast<uint32_t>(random() % 3)));
    }
    std::vector<PlanWorker> workers(1 + random() % 3, MakeWorker(16'000));
    const PlacementPlan plan = MakePlacementPlan(workers, tasks);
    std::vector<int64_t> free(workers.size(), 16'000);
    std::vector<uint32_t> left;
    for (const PlanTask& task : tasks) {
      left.push_back(task.count);
    }
    for (const PlanStart& start : plan.starts) {
      REQUIRE(left[start.task] > 0);
      --left[start.task];
      free[start.worker] -= tasks[start.task].required.cpu_millis;
    }
    // No start beyond the capacity, and no hole that a waiting task could use.
    for (const int64_t cpu : free) {
      REQUIRE(cpu >= 0);
      for (size_t i = 0; i < tasks.size(); ++i) {
        CHECK((left[i] == 0 || tasks[i].required.cpu_millis > cpu));
      }
    }
    used += static_cast<double>(16'000 - free[0]);
    usable += static_cast<double>(MostUsable(tasks, 0, 16'000));
  }
  // The worker that is filled first is filled nearly as well as possible.
  CHECK(used >= 0.95 * usable);
}

TEST_CASE("WaitingSizes: never exceeds the exact value, and is near it") {
  std::mt19937_64 random(3);
  for (int round = 0; round < 300; ++round) {
    std::vector<PlanTask> tasks;
    for (uint64_t job = 0; job < 1 + random() % 6; ++job) {
      tasks.push_back(
          MakeTask(job, 6000 + static_cast<int64_t>(random() % 6000), 4));
    }
    const WaitingSizes sizes(tasks, 24'000);
    const auto cpu = static_cast<int64_t>(random() % 24'000);
    const int64_t exact = MostUsable(tasks, 0, cpu);
    CHECK(sizes.Usable(cpu) <= exact);
    // Rounding can only lose a task that fits almost exactly.
    CHECK(sizes.Usable(cpu) >= MostUsable(tasks, 0, cpu - 1800));
  }
}

// Switches lookahead on and adds a worker of 16 cores.
PoolWorker& AddWorker(PoolBoard& board) {
  board.options.features.placement_lookahead = true;
  PoolWorker& worker = board.workers["w"];
  worker.status.set_id("w");
  worker.status.set_cpu_millis(16'000);
  worker.session = SessionState::kReady;
  worker.clock_ms = 1;
  board.owned["w"] = &worker;
  return worker;
}

TEST_CASE(
    "Placement with lookahead starts a job behind 100 jobs without a start "
    "permission") {
  // Guards against a pool that is idle while an entry daemon is paused.
  PoolBoard board;
  PoolWorker& worker = AddWorker(board);
  for (int i = 0; i <= 100; ++i) {
    auto job = std::make_unique<PoolJob>();
    job->key = std::to_string(i);
    job->sequence = board.next_sequence++;
    job->start_permitted = i == 100;
    job->deadline = kSecond;
    job->order.add_steps()->set_tasks(1);
    job->steps.emplace_back().tasks.resize(1);
    job->steps[0].open_tasks = 1;
    QueueUnblockedTasks(board, *job);
    board.jobs[job->key] = std::move(job);
  }
  PoolActions actions;
  PlaceWaitingTasks(board, 1, actions);
  CHECK(worker.attempts.size() == 1);
  CHECK(board.waiting.size() == 100);
}

// Adds a job of one task, which may be started.
void QueueJob(PoolBoard& board, const std::string& id) {
  auto job = std::make_unique<PoolJob>();
  job->key = id;
  job->order.set_job_id(id);
  job->sequence = board.next_sequence++;
  job->start_permitted = true;
  job->deadline = kSecond;
  wire::JobStep& step = *job->order.add_steps();
  step.set_tasks(1);
  step.set_cpu_millis(8'000);
  job->steps.emplace_back().tasks.resize(1);
  job->steps[0].open_tasks = 1;
  QueueUnblockedTasks(board, *job);
  board.jobs[id] = std::move(job);
}

// Guards against free workers that stay idle while the tasks at the head of the
// queue wait for workers that have not answered their starts.
TEST_CASE(
    "Placement with lookahead starts a job behind 100 tasks that are bound to "
    "workers without free capacity") {
  PoolBoard board;
  const PoolWorker& free = AddWorker(board);
  PoolWorker& busy = board.workers["busy"];
  busy.status.set_id("busy");
  busy.session = GENERATE(SessionState::kReady, SessionState::kReconciling);
  busy.clock_ms = 1;
  board.owned["busy"] = &busy;
  PoolActions actions;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "bound" + std::to_string(i);
    QueueJob(board, id);
    BindTask(board, {id, 0, 0, 0}, "busy", kSecond, actions);
  }
  QueueJob(board, "last");
  board.placement_due = true;
  PlaceWaitingTasks(board, 1, actions);
  CHECK(free.attempts.contains({"last", 0, 0, 0}));
  CHECK(board.waiting.size() == 100);
}

// Guards against a daemon that is busy with plans while the answers to its
// orders wait: at a burst, a plan for each event took most of its time.
TEST_CASE("PoolStep: events that arrive together are planned once") {
  PoolBoard board;
  const PoolWorker& worker = AddWorker(board);
  PoolActions actions;
  for (const std::string id : {"a", "b"}) {
    QueueJob(board, id);
    board.placement_due = true;
    HandlePoolEvent(board, WorkerLeft{"unknown"}, {1, 1}, actions);
  }
  CHECK(board.counters.plans == 0);
  PlaceTasks(board, {1, 1}, actions);
  CHECK(board.counters.plans == 1);
  CHECK(worker.attempts.size() == 2);
}

TEST_CASE(
    "Placement with lookahead starts no step of a job of which another step is "
    "too late") {
  PoolBoard board;
  PoolWorker& worker = AddWorker(board);
  auto job = std::make_unique<PoolJob>();
  job->key = "job";
  job->start_permitted = true;
  job->deadline = kSecond;
  for (const Micros run_time : {kMillisecond, 10 * kSecond}) {
    job->order.add_steps()->set_tasks(1);
    PoolJobStep& step = job->steps.emplace_back();
    step.tasks.resize(1);
    step.open_tasks = 1;
    step.expected_run_time = run_time;
  }
  QueueUnblockedTasks(board, *job);
  board.jobs["job"] = std::move(job);
  PoolActions actions;
  PlaceWaitingTasks(board, 1, actions);
  CHECK(board.jobs.empty());
  CHECK(board.waiting.empty());
  CHECK(worker.attempts.empty());
}

TEST_CASE("Placement with lookahead completes jobs in a simulated deployment") {
  FakePoolOptions options;
  options.features.placement_lookahead = true;
  FakePool pool(options);
  WaitUntilServing(pool);
  SubmitLoad(pool, 2 * kSecond, 20 * kMillisecond);
  pool.Run(kSecond);
  CHECK(pool.CountAnswers(wire::JOB_COMPLETED) ==
        static_cast<int>(pool.answers().size()));
  RequireNoViolation(pool);
}

}  // namespace
}  // namespace goldcrest
