// Benchmarks of the step function with growing numbers of workers and teams.

#include <benchmark/benchmark.h>

#include <string>

#include "goldcrest/step.h"
#include "goldcrest/submission.h"

namespace goldcrest {
namespace {

constexpr int kSlots = 8;

struct Bench {
  Blackboard board;
  StepTime now{kSecond, 1'800'000'000'000};
  std::vector<StartTask> running;
  uint64_t next_id = 1;

  void RunStep(const Event& event) {
    Actions actions;
    Step(board, event, now, actions);
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<StartTask>(&action)) {
        running.push_back(*start);
      }
    }
    board.observations.clear();
  }
};

Configuration BenchConfiguration(int teams) {
  Configuration configuration = DefaultConfiguration();
  configuration.teams.clear();
  for (int i = 0; i < teams; ++i) {
    TeamPolicy team;
    team.name = "team-" + std::to_string(i);
    team.max_running_tasks = 1'000'000;
    team.max_submissions_per_s = 1e9;
    configuration.teams.push_back(team);
  }
  configuration.limits.retention_s = 1;
  return configuration;
}

void AnnounceWorkers(Bench& bench, int workers) {
  for (int i = 0; i < workers; ++i) {
    AnnounceRequest request;
    request.announcement.name = "w" + std::to_string(i);
    request.announcement.address = "127.0.0.1:1";
    request.announcement.failure_domain = "d";
    request.announcement.slots = kSlots;
    request.announcement.memory_mb = 1000;
    request.announcement.incarnation = 1;
    bench.RunStep(request);
  }
}

std::unique_ptr<Bench> MakeBench(int workers, int teams) {
  Deployment deployment;
  deployment.self = "a";
  deployment.failure_domain = "d";
  deployment.vms = {{"a", "d", "127.0.0.1:1"}};
  deployment.incarnation = 1;
  AssignRoles(deployment);
  Tuning tuning;
  tuning.worker_lease = 24 * 3600 * kSecond;
  auto bench = std::make_unique<Bench>();
  bench->board = MakeBlackboard(deployment, tuning);
  bench->board.configuration.first_document =
      ConfigurationJson(BenchConfiguration(teams));
  Actions actions;
  Start(bench->board, RecoveredState(), bench->now, actions);
  AnnounceWorkers(*bench, workers);
  return bench;
}

void SubmitJob(Bench& bench, int teams) {
  SubmitRequest request;
  request.token = bench.next_id;
  wire::Submission& submission = request.submission;
  submission.set_submission_id("job-" + std::to_string(bench.next_id++));
  submission.set_caller("c");
  submission.set_team(
      "team-" + std::to_string(bench.next_id % static_cast<uint64_t>(teams)));
  submission.set_kind("stock-check");
  submission.add_tasks()->set_run_ms(100);
  submission.set_digest("d");
  bench.RunStep(request);
}

void CompleteTask(Bench& bench, size_t index) {
  const StartTask& start = bench.running[index];
  TaskAnswer answer;
  answer.worker = start.worker;
  answer.submission_id = start.submission_id;
  answer.index = start.index;
  answer.attempt = start.attempt;
  answer.outcome = TaskOutcome::kDone;
  answer.output = "x";
  bench.RunStep(answer);
}

// One submission of one task, its start order and its answer, while 70 % of the
// slots are in use.
void SubmitStartAnswer(benchmark::State& state) {
  const int workers = static_cast<int>(state.range(0));
  const int teams = static_cast<int>(state.range(1));
  const auto bench = MakeBench(workers, teams);
  const int slots_in_use = workers * kSlots * 7 / 10;
  for (int i = 0; i < slots_in_use; ++i) {
    SubmitJob(*bench, teams);
  }
  size_t oldest = 0;
  for (auto _ : state) {
    bench->now.mono += 20;
    SubmitJob(*bench, teams);
    CompleteTask(*bench, oldest++);
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(SubmitStartAnswer)
    ->ArgsProduct({{50, 500, 2000}, {8, 140}})
    ->Unit(benchmark::kMicrosecond);

// Jobs of 230 tasks each. An item is one task, so that the item rate shows the
// cost of one start decision in a large job.
void StartsOfLargeJobs(benchmark::State& state) {
  const int workers = static_cast<int>(state.range(0));
  const auto bench = MakeBench(workers, 8);
  size_t completed = 0;
  for (auto _ : state) {
    bench->now.mono += 20;
    SubmitRequest request;
    request.token = bench->next_id;
    request.submission.set_submission_id("big-" +
                                         std::to_string(bench->next_id++));
    request.submission.set_team("team-1");
    request.submission.set_kind("stock-check");
    for (int i = 0; i < 230; ++i) {
      request.submission.add_tasks()->set_run_ms(100);
    }
    bench->RunStep(request);
    while (completed < bench->running.size()) {
      CompleteTask(*bench, completed++);
    }
  }
  state.SetItemsProcessed(state.iterations() * 230);
}
BENCHMARK(StartsOfLargeJobs)
    ->Arg(50)
    ->Arg(500)
    ->Arg(2000)
    ->Unit(benchmark::kMicrosecond);

// One announcement by a worker that is already registered.
void AnnounceWorker(benchmark::State& state) {
  const int workers = static_cast<int>(state.range(0));
  const auto bench = MakeBench(workers, 8);
  AnnounceRequest request;
  request.announcement.name = "w1";
  request.announcement.address = "127.0.0.1:1";
  request.announcement.failure_domain = "d";
  request.announcement.slots = kSlots;
  request.announcement.memory_mb = 1000;
  request.announcement.incarnation = 1;
  for (auto _ : state) {
    bench->RunStep(request);
  }
}
BENCHMARK(AnnounceWorker)->Arg(50)->Arg(500)->Arg(2000);

// One tick while there are no jobs.
void HouseKeeping(benchmark::State& state) {
  const int workers = static_cast<int>(state.range(0));
  const auto bench = MakeBench(workers, 8);
  for (auto _ : state) {
    bench->now.mono += 50 * kMillisecond;
    bench->RunStep(TimeAdvanced());
  }
}
BENCHMARK(HouseKeeping)->Arg(50)->Arg(500)->Arg(2000);

}  // namespace
}  // namespace goldcrest

BENCHMARK_MAIN();
