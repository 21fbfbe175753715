// Costs of the step function at growing sizes.

#include <benchmark/benchmark.h>

#include <string>

#include "goldcrest/step.h"
#include "goldcrest/submission.h"

namespace goldcrest {
namespace {

constexpr int kSlots = 8;

struct Bench {
  Blackboard bb;
  Now now{kSecond, 1'800'000'000'000};
  std::vector<StartTask> running;
  uint64_t next_id = 1;

  void Do(const Event& event) {
    Actions actions;
    Step(bb, event, now, actions);
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<StartTask>(&action)) {
        running.push_back(*start);
      }
    }
    bb.observations.clear();
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

void Announce(Bench& bench, int workers) {
  for (int i = 0; i < workers; ++i) {
    AnnounceRequest request;
    request.announcement.name = "w" + std::to_string(i);
    request.announcement.address = "127.0.0.1:1";
    request.announcement.failure_domain = "d";
    request.announcement.slots = kSlots;
    request.announcement.memory_mb = 1000;
    request.announcement.incarnation = 1;
    bench.Do(request);
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
  bench->bb = MakeBlackboard(deployment, tuning);
  bench->bb.configuration.first_document =
      ConfigurationJson(BenchConfiguration(teams));
  Actions actions;
  Start(bench->bb, Recovered(), bench->now, actions);
  Announce(*bench, workers);
  return bench;
}

void SubmitOne(Bench& bench, int teams) {
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
  bench.Do(request);
}

void AnswerOldest(Bench& bench, size_t index) {
  const StartTask& start = bench.running[index];
  TaskAnswer answer;
  answer.worker = start.worker;
  answer.submission_id = start.submission_id;
  answer.index = start.index;
  answer.attempt = start.attempt;
  answer.outcome = TaskOutcome::kDone;
  answer.output = "x";
  bench.Do(answer);
}

// One submission of one task, its start and its answer, with all slots but a
// few in use.
void SubmitStartAnswer(benchmark::State& state) {
  const int workers = static_cast<int>(state.range(0));
  const int teams = static_cast<int>(state.range(1));
  const auto bench = MakeBench(workers, teams);
  const int busy = workers * kSlots * 7 / 10;
  for (int i = 0; i < busy; ++i) {
    SubmitOne(*bench, teams);
  }
  size_t oldest = 0;
  for (auto _ : state) {
    bench->now.mono += 20;
    SubmitOne(*bench, teams);
    AnswerOldest(*bench, oldest++);
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(SubmitStartAnswer)
    ->ArgsProduct({{50, 500, 2000}, {8, 140}})
    ->Unit(benchmark::kMicrosecond);

// One job of 230 tasks: the cost of one start decision inside a large job.
void StartsOfLargeJobs(benchmark::State& state) {
  const int workers = static_cast<int>(state.range(0));
  const auto bench = MakeBench(workers, 8);
  size_t answered = 0;
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
    bench->Do(request);
    while (answered < bench->running.size()) {
      AnswerOldest(*bench, answered++);
    }
  }
  state.SetItemsProcessed(state.iterations() * 230);
}
BENCHMARK(StartsOfLargeJobs)
    ->Arg(50)
    ->Arg(500)
    ->Arg(2000)
    ->Unit(benchmark::kMicrosecond);

// One announcement of a worker.
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
    bench->Do(request);
  }
}
BENCHMARK(AnnounceWorker)->Arg(50)->Arg(500)->Arg(2000);

// One housekeeping pass without work.
void HouseKeeping(benchmark::State& state) {
  const int workers = static_cast<int>(state.range(0));
  const auto bench = MakeBench(workers, 8);
  for (auto _ : state) {
    bench->now.mono += 50 * kMillisecond;
    bench->Do(Tick());
  }
}
BENCHMARK(HouseKeeping)->Arg(50)->Arg(500)->Arg(2000);

}  // namespace
}  // namespace goldcrest

BENCHMARK_MAIN();
