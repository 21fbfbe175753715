// One scenario for each way in which a promise could break, over fakes.

#include <catch2/catch.hpp>

#include "goldcrest/membership.h"
#include "goldcrest/submission.h"
#include "goldcrest/testing/fake_world.h"

namespace goldcrest {
namespace {

WorldOptions QuietWorld() {
  WorldOptions options;
  options.configuration = DefaultConfiguration();
  options.configuration.limits.retention_s = 60;
  return options;
}

wire::Submission AtHome(const FakeWorld& world,
                        const std::string& id,
                        const std::string& kind,
                        const std::string& home,
                        int tasks,
                        uint64_t run_ms) {
  wire::Submission submission = world.MakeSubmission(id, kind, tasks, run_ms);
  submission.set_home(home);
  submission.set_digest(SubmissionDigest(submission));
  return submission;
}

// The VM of `home` that owns `id` when all are up.
std::string OwnerOf(FakeWorld& world,
                    const std::string& home,
                    const std::string& id) {
  return OwnerRanking(world.AnyBoard().deployment, home, id).front();
}

std::string OtherOf(FakeWorld& world,
                    const std::string& home,
                    const std::string& vm) {
  for (const std::string& other : world.VmsOf(home)) {
    if (other != vm) {
      return other;
    }
  }
  return "";
}

void CheckNoFaults(const FakeWorld& world) {
  for (const std::string& fault : world.faults) {
    FAIL_CHECK(fault);
  }
}

}  // namespace

TEST_CASE("the same submission through every VM at once starts once") {
  FakeWorld world(QuietWorld());
  world.RunFor(2 * kSecond);
  const auto job = AtHome(world, "job", "knell", "da", 3, 100);
  for (int i = 0; i < 3; ++i) {
    for (const std::string& vm : world.Vms()) {
      world.Submit(vm, job);
    }
  }
  world.RunFor(2 * kSecond);
  for (uint32_t index = 0; index < 3; ++index) {
    CHECK(world.StartsOf("job", index) == 1);
  }
  const CallerRecord& record = world.callers().at("job");
  CHECK(record.answers.size() == 12);
  for (const WitnessedAnswer& answer : record.answers) {
    CHECK(answer.status == 200);
  }
  CheckNoFaults(world);
}

TEST_CASE("a job whose owner dies is finished by its neighbour") {
  for (const char* kind : {"knell", "peal"}) {
    FakeWorld world(QuietWorld());
    world.RunFor(2 * kSecond);
    const auto job = AtHome(world, "job", kind, "da", 1, 800);
    const std::string owner = OwnerOf(world, "da", "job");
    const std::string other = OtherOf(world, "da", owner);
    world.Submit(other, job);
    world.RunFor(200 * kMillisecond);
    world.CrashVm(owner);
    world.RunFor(4 * kSecond);
    REQUIRE(world.LastAnswer("job") != nullptr);
    CHECK(OutcomeOf(*world.LastAnswer("job")) == Outcome::kComplete);
    if (std::string(kind) == "knell") {
      CHECK(world.StartsOf("job", 0) == 1);
    }
    CheckNoFaults(world);
  }
}

TEST_CASE("an accepted job runs although its owner dies and nobody waits") {
  FakeWorld world(QuietWorld());
  world.RunFor(2 * kSecond);
  const auto job = AtHome(world, "job", "knell", "da", 1, 50);
  const std::string owner = OwnerOf(world, "da", "job");
  // All slots of the domain are taken, by tasks that may not go to another
  // domain, so that the job is queued.
  for (int i = 0; i < 4; ++i) {
    world.Submit(owner, AtHome(world, "fill-" + std::to_string(i), "warranty",
                               "da", 1, 600));
  }
  world.RunFor(20 * kMillisecond);
  world.Submit(owner, job);
  world.RunFor(100 * kMillisecond);
  CHECK(world.StartsOf("job", 0) == 0);
  world.CrashVm(owner);
  world.RunFor(5 * kSecond);
  CHECK(world.StartsOf("job", 0) == 1);
  CheckNoFaults(world);
}

TEST_CASE("a cut-off domain serves its own and says unknown for the rest") {
  FakeWorld world(QuietWorld());
  world.RunFor(2 * kSecond);
  world.CutDomain("da");
  world.RunFor(3 * kSecond);
  const std::string inside = world.VmsOf("da").front();
  world.Submit(inside, AtHome(world, "own", "knell", "da", 1, 50));
  world.Submit(inside, AtHome(world, "far", "knell", "db", 1, 50));
  world.RunFor(5 * kSecond);
  CHECK(OutcomeOf(*world.LastAnswer("own")) == Outcome::kComplete);
  CHECK(OutcomeOf(*world.LastAnswer("far")) == Outcome::kUnknown);
  world.HealCuts();
  world.RunFor(2 * kSecond);
  world.Submit(inside, AtHome(world, "far", "knell", "db", 1, 50));
  world.RunFor(2 * kSecond);
  CHECK(OutcomeOf(*world.LastAnswer("far")) == Outcome::kComplete);
  CHECK(world.StartsOf("far", 0) == 1);
  CheckNoFaults(world);
}

TEST_CASE("a restarted voter without memory answers unknown, never refused") {
  WorldOptions options = QuietWorld();
  options.vms_per_domain = {1, 1};
  options.disk_every = 0;
  FakeWorld world(options);
  world.RunFor(2 * kSecond);
  const auto job = AtHome(world, "job", "knell", "da", 1, 50);
  world.Submit("da1", job);
  world.RunFor(kSecond);
  CHECK(OutcomeOf(*world.LastAnswer("job")) == Outcome::kComplete);
  world.CrashVm("da1");
  world.StartVm("da1", false);
  world.RunFor(2 * kSecond);
  world.Submit("da1", job);
  world.RunFor(4 * kSecond);
  CHECK(OutcomeOf(*world.LastAnswer("job")) == Outcome::kUnknown);
  CHECK(world.StartsOf("job", 0) == 1);
  // A submission that is provably newer is served.
  auto fresh = AtHome(world, "fresh", "knell", "da", 1, 50);
  fresh.set_submitted_at_ms(1'800'000'000'000 + world.now() / kMillisecond +
                            1000);
  world.Submit("da1", fresh);
  world.RunFor(2 * kSecond);
  CHECK(OutcomeOf(*world.LastAnswer("fresh")) == Outcome::kComplete);
  CheckNoFaults(world);
}

TEST_CASE("two restarts one after the other leave the voters able to decide") {
  WorldOptions options = QuietWorld();
  options.disk_every = 0;
  FakeWorld world(options);
  world.RunFor(2 * kSecond);
  for (const std::string& vm : world.VmsOf("da")) {
    world.CrashVm(vm);
    world.RunFor(300 * kMillisecond);
    world.StartVm(vm, false);
    world.RunFor(2 * kSecond);
  }
  world.Submit("db1", AtHome(world, "job", "knell", "da", 1, 50));
  world.RunFor(2 * kSecond);
  REQUIRE(world.LastAnswer("job") != nullptr);
  CHECK(OutcomeOf(*world.LastAnswer("job")) == Outcome::kComplete);
  CheckNoFaults(world);
}

TEST_CASE("a worker that crashes on a knell does not make it ring twice") {
  FakeWorld world(QuietWorld());
  world.RunFor(2 * kSecond);
  world.Submit("da1", AtHome(world, "job", "knell", "da", 1, 1000));
  world.RunFor(200 * kMillisecond);
  REQUIRE(world.starts().size() == 1);
  world.CrashWorker(world.starts().front().worker);
  world.RunFor(6 * kSecond);
  CHECK(OutcomeOf(*world.LastAnswer("job")) == Outcome::kFailed);
  CHECK(RanOf(*world.LastAnswer("job")) == Ran::kUnknown);
  CHECK(world.StartsOf("job", 0) == 1);
  CheckNoFaults(world);
}

TEST_CASE("a worker that crashes on a repeatable task has it run elsewhere") {
  FakeWorld world(QuietWorld());
  world.RunFor(2 * kSecond);
  world.Submit("da1", AtHome(world, "job", "peal", "da", 1, 1000));
  world.RunFor(200 * kMillisecond);
  world.CrashWorker(world.starts().front().worker);
  world.RunFor(6 * kSecond);
  CHECK(OutcomeOf(*world.LastAnswer("job")) == Outcome::kComplete);
  CheckNoFaults(world);
}

TEST_CASE("a long task on a borrowed slot runs once") {
  FakeWorld world(QuietWorld());
  world.RunFor(2 * kSecond);
  const std::string vm = world.VmsOf("da").front();
  for (int i = 0; i < 4; ++i) {
    world.Submit(
        vm, AtHome(world, "job-" + std::to_string(i), "batch", "da", 4, 4000));
  }
  world.RunFor(30 * kSecond);
  for (int i = 0; i < 4; ++i) {
    const std::string id = "job-" + std::to_string(i);
    CHECK(OutcomeOf(*world.LastAnswer(id)) == Outcome::kComplete);
    for (uint32_t index = 0; index < 4; ++index) {
      CHECK(world.StartsOf(id, index) == 1);
    }
  }
  CheckNoFaults(world);
}

TEST_CASE("a drain hands over what has not started and finishes the rest") {
  FakeWorld world(QuietWorld());
  world.RunFor(2 * kSecond);
  const std::string vm = world.VmsOf("da").front();
  for (int i = 0; i < 12; ++i) {
    world.Submit(
        vm, AtHome(world, "job-" + std::to_string(i), "knell", "da", 1, 300));
  }
  world.RunFor(100 * kMillisecond);
  world.Drain(vm);
  world.RunFor(10 * kSecond);
  CHECK_FALSE(world.IsUp(vm));
  for (int i = 0; i < 12; ++i) {
    const std::string id = "job-" + std::to_string(i);
    REQUIRE(world.LastAnswer(id) != nullptr);
    CHECK(OutcomeOf(*world.LastAnswer(id)) == Outcome::kComplete);
    CHECK(world.StartsOf(id, 0) == 1);
  }
  CheckNoFaults(world);
}

TEST_CASE("a minority refuses a change and nothing is changed") {
  FakeWorld world(QuietWorld());
  world.RunFor(2 * kSecond);
  const auto voters = world.AnyBoard().deployment.configuration_voters;
  world.CutVm(voters.front());
  world.RunFor(2 * kSecond);
  Configuration configuration = DefaultConfiguration();
  configuration.service = "changed";
  world.PutConfiguration(voters.front(), 1, configuration);
  world.RunFor(6 * kSecond);
  CHECK(world.accepted_changes().empty());
  world.PutConfiguration(voters.back(), 1, configuration);
  world.RunFor(kSecond);
  CHECK(world.accepted_changes().size() == 1);
  world.HealCuts();
  world.RunFor(5 * kSecond);
  for (const std::string& vm : world.Vms()) {
    CHECK(world.Board(vm).configuration.in_force.version() == 2);
  }
  CheckNoFaults(world);
}

TEST_CASE("five hundred changes survive restarts of every VM") {
  FakeWorld world(QuietWorld());
  world.RunFor(2 * kSecond);
  const std::vector<std::string> vms = world.Vms();
  for (uint64_t version = 1; version <= 500; ++version) {
    Configuration configuration = DefaultConfiguration();
    configuration.service = "s" + std::to_string(version);
    world.PutConfiguration(vms[version % vms.size()], version, configuration);
    world.RunFor(100 * kMillisecond);
  }
  CHECK(world.accepted_changes().size() == 500);
  for (const std::string& vm : vms) {
    world.CrashVm(vm);
    world.RunFor(kSecond);
    world.StartVm(vm, true);
    world.RunFor(2 * kSecond);
  }
  for (const std::string& vm : vms) {
    CHECK(world.Board(vm).configuration.in_force.version() == 501);
  }
  CheckNoFaults(world);
}

TEST_CASE("a wave of cancellations drops queued jobs in one pass") {
  FakeWorld world(QuietWorld());
  world.RunFor(2 * kSecond);
  for (int i = 0; i < 200; ++i) {
    world.Submit("da1", AtHome(world, "job-" + std::to_string(i), "peal", "da",
                               1, 2000));
  }
  world.RunFor(50 * kMillisecond);
  const size_t started = world.starts().size();
  for (int i = 0; i < 200; ++i) {
    world.Cancel("da2", "job-" + std::to_string(i));
  }
  world.RunFor(2 * kSecond);
  CHECK(world.starts().size() == started);
  world.CheckSettled();
  CheckNoFaults(world);
}

TEST_CASE("a forwarded submission that waits long is not sent again") {
  FakeWorld world(QuietWorld());
  world.RunFor(2 * kSecond);
  const auto job = AtHome(world, "slow", "peal", "da", 1, 2000);
  const std::string elsewhere = world.VmsOf("db").front();
  world.Submit(elsewhere, job);
  world.RunFor(4 * kSecond);
  CHECK(world.Board(elsewhere).counters.forwards == 1);
  CHECK(world.Board(elsewhere).counters.forward_resends == 0);
  CHECK(world.StartsOf("slow", 0) == 1);
  CHECK(OutcomeOf(*world.LastAnswer("slow")) == Outcome::kComplete);
  CheckNoFaults(world);
}

TEST_CASE("a short job passes a long one of its kind") {
  FakeWorld world(QuietWorld());
  world.RunFor(2 * kSecond);
  const std::string owner = OwnerOf(world, "da", "long");
  std::string short_id;
  for (int i = 0; short_id.empty(); ++i) {
    const std::string id = "short-" + std::to_string(i);
    short_id = OwnerOf(world, "da", id) == owner ? id : "";
  }
  world.Submit(owner, AtHome(world, "long", "peal", "da", 40, 400));
  world.RunFor(50 * kMillisecond);
  world.Submit(owner, AtHome(world, short_id, "peal", "da", 1, 100));
  world.RunFor(20 * kSecond);
  int long_before = 0;
  for (const WitnessedStart& start : world.starts()) {
    if (start.submission_id == short_id) {
      break;
    }
    long_before += start.submission_id == "long" ? 1 : 0;
  }
  // What ran already when the short job came, and no second round of it.
  CHECK(long_before < 20);
  CHECK(world.StartsOf(short_id, 0) == 1);
  CHECK(OutcomeOf(*world.LastAnswer("long")) == Outcome::kComplete);
  CheckNoFaults(world);
}

TEST_CASE("what is known to be out of reach is answered at once") {
  FakeWorld world(QuietWorld());
  world.RunFor(2 * kSecond);
  const std::string alone = world.VmsOf("da").front();
  world.CutVm(alone);
  world.RunFor(5 * kSecond);
  const Micros sent_at = world.now();
  // One claims without a quorum, the other has no home VM to go to.
  world.Submit(alone, AtHome(world, "own", "knell", "da", 1, 50));
  world.Submit(alone, AtHome(world, "far", "knell", "db", 1, 50));
  world.RunFor(5 * kSecond);
  for (const char* id : {"own", "far"}) {
    const CallerRecord& record = world.callers().at(id);
    REQUIRE(record.answers.size() == 1);
    CHECK(OutcomeOf(record.answers[0].result) == Outcome::kUnknown);
    CHECK(record.answers[0].at - sent_at < 500 * kMillisecond);
    CHECK(world.StartsOf(id, 0) == 0);
  }
  CheckNoFaults(world);
}

// Cuts `vm` off from all other VMs; its workers still reach it.
void CutFromVms(FakeWorld& world, const std::string& vm) {
  for (const std::string& other : world.Vms()) {
    if (other != vm) {
      world.Cut(vm, other);
      world.Cut(other, vm);
    }
  }
}

TEST_CASE("a result that nobody else recorded is not told") {
  for (const bool owner_survives : {true, false}) {
    FakeWorld world(QuietWorld());
    world.RunFor(2 * kSecond);
    const auto job = AtHome(world, "job", "knell", "da", 1, 300);
    const std::string owner = OwnerOf(world, "da", "job");
    world.Submit(owner, job);
    world.RunFor(100 * kMillisecond);
    REQUIRE(world.StartsOf("job", 0) == 1);
    CutFromVms(world, owner);
    world.RunFor(kSecond);
    CHECK(world.callers().at("job").answers.empty());
    if (!owner_survives) {
      world.CrashVm(owner);
      for (const std::string& worker : world.Workers()) {
        world.CrashWorker(worker);
      }
    }
    world.RunFor(4 * kSecond);
    const wire::JobResult* told = world.LastAnswer("job");
    CHECK((told != nullptr) == owner_survives);
    CHECK((told == nullptr || OutcomeOf(*told) == Outcome::kUnknown));
    world.HealCuts();
    world.RunFor(8 * kSecond);
    world.Submit(OtherOf(world, "da", owner), job);
    world.RunFor(3 * kSecond);
    const Outcome last = OutcomeOf(*world.LastAnswer("job"));
    CHECK(last == (owner_survives ? Outcome::kComplete : Outcome::kFailed));
    CHECK(world.StartsOf("job", 0) == 1);
    CheckNoFaults(world);
  }
}

}  // namespace goldcrest
