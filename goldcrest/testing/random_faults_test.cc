// Randomised runs of a FakeWorld: several VMs with faults of every kind. The
// promises to callers are checked against the attempts that the workers
// actually started.

#include <algorithm>
#include <fstream>
#include <iostream>

#include <catch2/catch.hpp>

#include "goldcrest/submission.h"
#include "goldcrest/testing/fake_world.h"
#include "goldcrest/testing/test_options.h"

namespace goldcrest {
namespace {

// Number of seeds that run without --seeds.
constexpr uint64_t kDefaultSeeds = 200;
// Length of the phase in which faults are injected.
constexpr Micros kFaultPhase = 25 * kSecond;
// Length of the phase after it, in which the deployment recovers.
constexpr Micros kRecoveryPhase = 20 * kSecond;
// Submissions of one run, and the most times that a copy is sent again.
constexpr int kSubmissions = 60;
constexpr int kMaxResubmissions = 12;

// Numbers of faults of each kind, leaving workers and configuration changes in
// a run, and of the messages that were lost.
struct FaultCounts {
  int vm_crashes = 0;
  int vm_cuts = 0;
  int one_way_cuts = 0;
  int domain_cuts = 0;
  int worker_crashes = 0;
  int lost_disks = 0;
  int drains = 0;
  int worker_leaves = 0;
  int configuration_changes = 0;
  uint64_t lost_messages = 0;
};

// One randomised run. All random choices follow from its seed.
class RandomRun {
 public:
  explicit RandomRun(uint64_t seed)
      : world_(MakeOptions(seed)), random_(seed * 77) {}

  void RunToEnd() {
    world_.RunFor(3 * kSecond);
    const Micros end = world_.now() + kFaultPhase;
    for (int i = 0; i < kSubmissions; ++i) {
      ScheduleAfter(Pick<Micros>(0, kFaultPhase - kSecond),
                    [this, i] { SubmitNew(i); });
    }
    for (int i = 0; i < 10; ++i) {
      ScheduleAfter(Pick<Micros>(0, kFaultPhase - 5 * kSecond),
                    [this] { InjectFault(); });
    }
    for (int i = 0; i < 8; ++i) {
      ScheduleAfter(Pick<Micros>(0, kFaultPhase),
                    [this, i] { ChangeConfiguration(i); });
    }
    RunPlannedUntil(end);
    Heal();
    RunPlannedUntil(world_.now() + kRecoveryPhase);
    Heal();
    RunPlannedUntil(world_.now() + 3 * kSecond);
    ResubmitUnanswered();
    RunPlannedUntil(world_.now() + 10 * kSecond);
    world_.CheckQuiescence();
    CheckResubmittedAnswered();
    counts.lost_messages = world_.messages_lost;
  }

  static WorldOptions MakeOptions(uint64_t seed) {
    std::mt19937_64 random(seed);
    WorldOptions options;
    options.seed = seed;
    const std::vector<std::vector<int>> shapes = {
        {2, 2}, {2, 2, 2}, {3, 2}, {3, 3}, {2, 1}};
    options.vms_per_domain = shapes[random() % shapes.size()];
    options.disk_every = static_cast<int>(random() % 4);
    options.loss = static_cast<double>(random() % 4) * 0.01;
    options.duplication = static_cast<double>(random() % 3) * 0.02;
    options.configuration = DefaultConfiguration();
    options.configuration.limits.retention_s = 120;
    options.tuning.disabled_for_test =
        DisabledMechanismFromName(Options().disabled_mechanism);
    return options;
  }

  FakeWorld& world() { return world_; }
  FaultCounts counts;

 private:
  struct PlannedAction {
    Micros at;
    std::function<void()> action;
  };

  template <typename T>
  T Pick(T low, T high) {
    std::uniform_int_distribution<T> pick(low, high);
    return pick(random_);
  }

  std::string PickName(const std::vector<std::string>& names) {
    return names[Pick<size_t>(0, names.size() - 1)];
  }

  void ScheduleAfter(Micros delay, std::function<void()> action) {
    planned_actions_.push_back({world_.now() + delay, std::move(action)});
  }

  void RunPlannedUntil(Micros end) {
    while (true) {
      const auto next =
          std::min_element(planned_actions_.begin(), planned_actions_.end(),
                           [](const PlannedAction& a, const PlannedAction& b) {
                             return a.at < b.at;
                           });
      if (next == planned_actions_.end() || next->at > end) {
        world_.RunUntil(end);
        return;
      }
      const PlannedAction planned = *next;
      planned_actions_.erase(next);
      world_.RunUntil(std::max(planned.at, world_.now()));
      planned.action();
    }
  }

  void SubmitNew(int number) {
    const std::vector<std::string> kinds = {"knell", "peal", "alarm",
                                            "warranty"};
    const int tasks = Pick(0, 3) == 0 ? Pick(2, 5) : 1;
    wire::Submission submission =
        world_.MakeSubmission("job-" + std::to_string(number), PickName(kinds),
                              tasks, static_cast<uint64_t>(Pick(5, 400)));
    if (Pick(0, 2) == 0) {
      submission.set_home(PickName(world_.Domains()));
      submission.set_digest(SubmissionDigest(submission));
    }
    if (Pick(0, 1) == 0) {
      submission.set_submitted_at_ms(1'800'000'000'000 +
                                     world_.now() / kMillisecond);
    }
    const int copies = Pick(0, 3) == 0 ? 3 : 1;
    for (int i = 0; i < copies; ++i) {
      Send(submission, kMaxResubmissions);
    }
    if (Pick(0, 9) == 0) {
      const std::string id = submission.submission_id();
      ScheduleAfter(Pick<Micros>(0, 300 * kMillisecond),
                    [this, id] { world_.Cancel(PickName(world_.Vms()), id); });
    }
  }

  // Sends a copy of `submission`. While there is no final answer, sends up to
  // `resends_left` more copies, each 500 ms to 4 s after the one before.
  void Send(const wire::Submission& submission, int resends_left) {
    world_.Submit(PickName(world_.Vms()), submission);
    if (resends_left > 0) {
      ScheduleAfter(Pick<Micros>(500 * kMillisecond, 4 * kSecond),
                    [this, submission, resends_left] {
                      if (!world_.HasFinalAnswer(submission.submission_id())) {
                        Send(submission, resends_left - 1);
                      }
                    });
    }
  }

  void InjectFault() {
    switch (Pick(0, 8)) {
      case 0:
      case 1:
        return CrashVm();
      case 2:
        ++counts.vm_cuts;
        world_.CutVm(PickName(world_.Vms()));
        return ScheduleAfter(Pick<Micros>(kSecond, 5 * kSecond),
                             [this] { world_.HealCuts(); });
      case 3:
        ++counts.one_way_cuts;
        world_.Cut(PickName(world_.Vms()), PickName(world_.Vms()));
        return ScheduleAfter(Pick<Micros>(kSecond, 5 * kSecond),
                             [this] { world_.HealCuts(); });
      case 4:
        ++counts.domain_cuts;
        world_.CutDomain(PickName(world_.Domains()));
        return ScheduleAfter(Pick<Micros>(kSecond, 6 * kSecond),
                             [this] { world_.HealCuts(); });
      case 5:
        ++counts.worker_crashes;
        return world_.CrashWorker(PickName(world_.Workers()));
      case 6: {
        // Cuts the link from a worker to a VM in this direction only.
        ++counts.one_way_cuts;
        world_.Cut(PickName(world_.Workers()), PickName(world_.Vms()));
        return ScheduleAfter(Pick<Micros>(kSecond, 4 * kSecond),
                             [this] { world_.HealCuts(); });
      }
      case 7: {
        ++counts.drains;
        const std::string vm = PickName(world_.Vms());
        if (!world_.IsLastWithFullState(vm)) {
          world_.Drain(vm);
        }
        return ScheduleAfter(6 * kSecond,
                             [this, vm] { world_.StartVm(vm, true); });
      }
      case 8: {
        ++counts.worker_leaves;
        const std::string worker = PickName(world_.Workers());
        world_.AnnounceLeaving(worker);
        return ScheduleAfter(
            6 * kSecond, [this, worker] { world_.RestartLeftWorker(worker); });
      }
    }
  }

  void CrashVm() {
    const std::string vm = PickName(world_.Vms());
    if (world_.IsLastWithFullState(vm)) {
      return;  // nothing is promised if all VMs lose their state at once
    }
    ++counts.vm_crashes;
    world_.CrashVm(vm);
    const bool keep_disk = Pick(0, 3) != 0;
    counts.lost_disks += keep_disk ? 0 : 1;
    ScheduleAfter(Pick<Micros>(100 * kMillisecond, 5 * kSecond),
                  [this, vm, keep_disk] { world_.StartVm(vm, keep_disk); });
    if (Pick(0, 2) == 0) {
      // Crashes a second VM 1 s to 6 s later, when the first one has usually
      // restarted a short time before.
      ScheduleAfter(Pick<Micros>(kSecond, 6 * kSecond), [this] {
        const std::string second = PickName(world_.Vms());
        if (world_.IsLastWithFullState(second)) {
          return;
        }
        ++counts.vm_crashes;
        world_.CrashVm(second);
        ScheduleAfter(kSecond,
                      [this, second] { world_.StartVm(second, true); });
      });
    }
  }

  void ChangeConfiguration(int number) {
    Configuration configuration = DefaultConfiguration();
    configuration.limits.retention_s = 120;
    configuration.service = "service-" + std::to_string(number);
    // One or two operators send changes with the same base version, and each
    // sends its change again up to 5 s later.
    for (int operators = Pick(1, 2); operators > 0; --operators) {
      const std::string vm = PickName(world_.Vms());
      if (!world_.IsUp(vm)) {
        continue;
      }
      ++counts.configuration_changes;
      const uint64_t version =
          world_.Board(vm).configuration.in_force.version();
      configuration.teams.front().max_running_tasks = 1000 + operators;
      world_.PutConfiguration(vm, version, configuration);
      ScheduleAfter(Pick<Micros>(0, 5 * kSecond), [this, version,
                                                   configuration] {
        world_.PutConfiguration(PickName(world_.Vms()), version, configuration);
      });
    }
  }

  void Heal() {
    world_.HealCuts();
    world_.SetLoss(0);
    for (const std::string& vm : world_.Vms()) {
      world_.StartVm(vm, true);
    }
  }

  // Resubmits every submission without a final answer, now that all faults are
  // healed.
  void ResubmitUnanswered() {
    for (const auto& [id, record] : world_.submissions()) {
      if (!world_.HasFinalAnswer(id)) {
        resubmitted_ids_.push_back(id);
        Send(record.submission, 4);
      }
    }
  }

  void CheckResubmittedAnswered() {
    for (const std::string& id : resubmitted_ids_) {
      const wire::Submission& submission =
          world_.submissions().at(id).submission;
      const Blackboard& board = world_.AnyBoard();
      const std::string home = submission.home().empty()
                                   ? DerivedHome(board.deployment, id)
                                   : submission.home();
      if (!world_.HasFinalAnswer(id) && world_.CanDecideClaims(home)) {
        const wire::JobResult* last = world_.LastAnswer(id);
        world_.violations.push_back(
            id +
            " has no final answer after all faults were healed; last "
            "answer: " +
            (last == nullptr ? "none"
                             : std::string(RowOf(CodeOf(*last)).name)));
      }
    }
  }

  FakeWorld world_;
  std::mt19937_64 random_;
  std::vector<PlannedAction> planned_actions_;
  std::vector<std::string> resubmitted_ids_;
};

// Writes the run to `path` as a fault trace. At the end of the run, after all
// faults are healed, each submission is sent once more. The trace expects a
// final answer for each submission that had one in the run, but not which one,
// since that may depend on timing.
void WriteRecording(uint64_t seed, RandomRun& run, const std::string& path) {
  std::ofstream file(path);
  const WorldOptions options = RandomRun::MakeOptions(seed);
  TraceStep world;
  world.verb = TraceVerb::kWorld;
  world.seed = static_cast<int64_t>(seed);
  for (const int vms : options.vms_per_domain) {
    world.shape += (world.shape.empty() ? "" : ",") + std::to_string(vms);
  }
  world.disk_every = options.disk_every;
  world.loss = options.loss;
  world.duplication = options.duplication;
  file << "# Recorded from seed " << seed << " of random_faults_test.\n"
       << WriteTraceStep(world) << "\n";
  std::vector<std::string> final_ids;
  for (const auto& [id, record] : run.world().submissions()) {
    if (run.world().HasFinalAnswer(id)) {
      final_ids.push_back(id);
    }
    run.world().Submit(run.world().Vms().front(), record.submission);
  }
  for (const TraceStep& step : run.world().recording) {
    file << WriteTraceStep(step) << "\n";
  }
  for (const std::string& id : final_ids) {
    TraceStep expect;
    expect.at = run.world().now() + kRecoveryPhase;
    expect.verb = TraceVerb::kExpect;
    expect.id = id;
    expect.outcome = "any";
    expect.max_attempts_per_task =
        run.world().submissions().at(id).idempotent ? 3 : 1;
    file << WriteTraceStep(expect) << "\n";
  }
}

}  // namespace

TEST_CASE("FakeWorld: the promises to callers hold under random faults",
          "[random]") {
  const TestOptions& options = Options();
  const uint64_t seeds = options.seeds != 0 ? options.seeds : kDefaultSeeds;
  FaultCounts total;
  size_t starts = 0;
  int failed_seeds = 0;
  for (uint64_t seed = options.first_seed; seed < options.first_seed + seeds;
       ++seed) {
    RandomRun run(seed);
    run.RunToEnd();
    total.vm_crashes += run.counts.vm_crashes;
    total.vm_cuts += run.counts.vm_cuts;
    total.one_way_cuts += run.counts.one_way_cuts;
    total.domain_cuts += run.counts.domain_cuts;
    total.worker_crashes += run.counts.worker_crashes;
    total.lost_disks += run.counts.lost_disks;
    total.drains += run.counts.drains;
    total.worker_leaves += run.counts.worker_leaves;
    total.configuration_changes += run.counts.configuration_changes;
    total.lost_messages += run.counts.lost_messages;
    starts += run.world().attempts().size();
    if (!options.record_path.empty()) {
      WriteRecording(seed, run, options.record_path);
    }
    for (const std::string& violation : run.world().violations) {
      std::cout << "seed " << seed << ": " << violation << "\n";
    }
    failed_seeds += run.world().violations.empty() ? 0 : 1;
  }
  std::cout << "seeds " << options.first_seed << ".."
            << options.first_seed + seeds - 1 << ": " << starts << " starts, "
            << total.vm_crashes << " VM crashes (" << total.lost_disks
            << " of them with loss of the disk), " << total.vm_cuts
            << " VM cuts, " << total.one_way_cuts << " one-way cuts, "
            << total.domain_cuts << " domain cuts, " << total.worker_crashes
            << " worker crashes, " << total.drains << " drains, "
            << total.worker_leaves << " leaving workers, "
            << total.configuration_changes << " configuration changes, "
            << total.lost_messages << " messages lost; " << failed_seeds
            << " seeds failed\n";
  CHECK(failed_seeds == 0);
}

}  // namespace goldcrest
