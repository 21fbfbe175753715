// Scenarios on a FakeWorld, one for each known way in which a guarantee to
// callers or operators could be broken.
//
// The kinds are those of DefaultConfiguration(): "knell" and "warranty" are
// non-idempotent, "peal" and "batch" are idempotent. Each of the two failure
// domains has two workers with two slots each.

#include <catch2/catch.hpp>

#include "goldcrest/membership.h"
#include "goldcrest/submission.h"
#include "goldcrest/testing/fake_world.h"

namespace goldcrest {
namespace {

WorldOptions ReliableNetworkOptions() {
  WorldOptions options;
  options.configuration = DefaultConfiguration();
  options.configuration.limits.retention_s = 60;
  return options;
}

wire::Submission MakeSubmissionWithHome(const FakeWorld& world,
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

// Returns the VM of `home` that owns `id` when all VMs are up.
std::string PreferredOwner(FakeWorld& world,
                           const std::string& home,
                           const std::string& id) {
  return OwnerRanking(world.AnyBoard().deployment, home, id).front();
}

// Returns a VM of `home` other than `vm`; empty if there is none.
std::string OtherVmOf(FakeWorld& world,
                      const std::string& home,
                      const std::string& vm) {
  for (const std::string& other : world.VmsOf(home)) {
    if (other != vm) {
      return other;
    }
  }
  return "";
}

void CheckNoViolations(const FakeWorld& world) {
  for (const std::string& violation : world.violations) {
    FAIL_CHECK(violation);
  }
}

}  // namespace

TEST_CASE(
    "Jobs: copies of one submission sent to every VM at once start once") {
  FakeWorld world(ReliableNetworkOptions());
  world.RunFor(2 * kSecond);
  const auto job = MakeSubmissionWithHome(world, "job", "knell", "da", 3, 100);
  for (int i = 0; i < 3; ++i) {
    for (const std::string& vm : world.Vms()) {
      world.Submit(vm, job);
    }
  }
  world.RunFor(2 * kSecond);
  for (uint32_t index = 0; index < 3; ++index) {
    CHECK(world.CountAttempts("job", index) == 1);
  }
  const SubmissionHistory& record = world.submissions().at("job");
  // 3 copies were sent to each of 4 VMs.
  CHECK(record.answers.size() == 12);
  for (const ObservedAnswer& answer : record.answers) {
    CHECK(answer.status == 200);
  }
  CheckNoViolations(world);
}

TEST_CASE(
    "Jobs: when the owner of a job crashes, another VM of the domain completes "
    "it") {
  for (const char* kind : {"knell", "peal"}) {
    FakeWorld world(ReliableNetworkOptions());
    world.RunFor(2 * kSecond);
    const auto job = MakeSubmissionWithHome(world, "job", kind, "da", 1, 800);
    const std::string owner = PreferredOwner(world, "da", "job");
    const std::string other = OtherVmOf(world, "da", owner);
    world.Submit(other, job);
    world.RunFor(200 * kMillisecond);
    world.CrashVm(owner);
    world.RunFor(4 * kSecond);
    REQUIRE(world.LastAnswer("job") != nullptr);
    CHECK(OutcomeOf(*world.LastAnswer("job")) == Outcome::kComplete);
    // Tasks of the idempotent kind may run twice.
    if (std::string(kind) == "knell") {
      CHECK(world.CountAttempts("job", 0) == 1);
    }
    CheckNoViolations(world);
  }
}

TEST_CASE(
    "Jobs: a queued job runs although its owner crashes and no caller is "
    "connected") {
  FakeWorld world(ReliableNetworkOptions());
  world.RunFor(2 * kSecond);
  const auto job = MakeSubmissionWithHome(world, "job", "knell", "da", 1, 50);
  const std::string owner = PreferredOwner(world, "da", "job");
  // Non-idempotent tasks, which don't run in another domain, take all 4 slots
  // of the domain, so that the job is queued.
  for (int i = 0; i < 4; ++i) {
    world.Submit(owner,
                 MakeSubmissionWithHome(world, "fill-" + std::to_string(i),
                                        "warranty", "da", 1, 600));
  }
  world.RunFor(20 * kMillisecond);
  world.Submit(owner, job);
  world.RunFor(100 * kMillisecond);
  CHECK(world.CountAttempts("job", 0) == 0);
  world.CrashVm(owner);
  world.RunFor(5 * kSecond);
  CHECK(world.CountAttempts("job", 0) == 1);
  CheckNoViolations(world);
}

TEST_CASE(
    "Jobs: a cut-off domain serves its own jobs and answers unknown for "
    "others") {
  FakeWorld world(ReliableNetworkOptions());
  world.RunFor(2 * kSecond);
  world.CutDomain("da");
  world.RunFor(3 * kSecond);
  const std::string inside = world.VmsOf("da").front();
  world.Submit(inside,
               MakeSubmissionWithHome(world, "own", "knell", "da", 1, 50));
  world.Submit(inside,
               MakeSubmissionWithHome(world, "far", "knell", "db", 1, 50));
  world.RunFor(5 * kSecond);
  CHECK(OutcomeOf(*world.LastAnswer("own")) == Outcome::kComplete);
  CHECK(OutcomeOf(*world.LastAnswer("far")) == Outcome::kUnknown);
  world.HealCuts();
  world.RunFor(2 * kSecond);
  world.Submit(inside,
               MakeSubmissionWithHome(world, "far", "knell", "db", 1, 50));
  world.RunFor(2 * kSecond);
  CHECK(OutcomeOf(*world.LastAnswer("far")) == Outcome::kComplete);
  CHECK(world.CountAttempts("far", 0) == 1);
  CheckNoViolations(world);
}

TEST_CASE(
    "Claims: a VM that restarts with lost state answers unknown for a job that "
    "it finished, and serves a newer submission") {
  WorldOptions options = ReliableNetworkOptions();
  options.vms_per_domain = {1, 1};
  options.disk_every = 0;
  FakeWorld world(options);
  world.RunFor(2 * kSecond);
  const auto job = MakeSubmissionWithHome(world, "job", "knell", "da", 1, 50);
  world.Submit("da1", job);
  world.RunFor(kSecond);
  CHECK(OutcomeOf(*world.LastAnswer("job")) == Outcome::kComplete);
  world.CrashVm("da1");
  world.StartVm("da1", false);
  world.RunFor(2 * kSecond);
  world.Submit("da1", job);
  world.RunFor(4 * kSecond);
  CHECK(OutcomeOf(*world.LastAnswer("job")) == Outcome::kUnknown);
  CHECK(world.CountAttempts("job", 0) == 1);
  // A submission whose submission time is provably after the restart is served.
  // The wall clock is 1'800'000'000'000 ms at the simulated time 0. The
  // submission time is 1000 ms in the future.
  auto fresh = MakeSubmissionWithHome(world, "fresh", "knell", "da", 1, 50);
  fresh.set_submitted_at_ms(1'800'000'000'000 + world.now() / kMillisecond +
                            1000);
  world.Submit("da1", fresh);
  world.RunFor(2 * kSecond);
  CHECK(OutcomeOf(*world.LastAnswer("fresh")) == Outcome::kComplete);
  CheckNoViolations(world);
}

TEST_CASE(
    "Claims: the voters can decide after both VMs of a domain restart without "
    "their disks, one after the other") {
  WorldOptions options = ReliableNetworkOptions();
  options.disk_every = 0;
  FakeWorld world(options);
  world.RunFor(2 * kSecond);
  for (const std::string& vm : world.VmsOf("da")) {
    world.CrashVm(vm);
    world.RunFor(300 * kMillisecond);
    world.StartVm(vm, false);
    world.RunFor(2 * kSecond);
  }
  world.Submit("db1",
               MakeSubmissionWithHome(world, "job", "knell", "da", 1, 50));
  world.RunFor(2 * kSecond);
  REQUIRE(world.LastAnswer("job") != nullptr);
  CHECK(OutcomeOf(*world.LastAnswer("job")) == Outcome::kComplete);
  CheckNoViolations(world);
}

TEST_CASE(
    "Jobs: a non-idempotent task is not started again when its worker "
    "crashes") {
  FakeWorld world(ReliableNetworkOptions());
  world.RunFor(2 * kSecond);
  world.Submit("da1",
               MakeSubmissionWithHome(world, "job", "knell", "da", 1, 1000));
  world.RunFor(200 * kMillisecond);
  REQUIRE(world.attempts().size() == 1);
  world.CrashWorker(world.attempts().front().worker);
  world.RunFor(6 * kSecond);
  CHECK(OutcomeOf(*world.LastAnswer("job")) == Outcome::kFailed);
  CHECK(RanOf(*world.LastAnswer("job")) == Ran::kUnknown);
  CHECK(world.CountAttempts("job", 0) == 1);
  CheckNoViolations(world);
}

TEST_CASE("Jobs: an idempotent task is completed although its worker crashes") {
  FakeWorld world(ReliableNetworkOptions());
  world.RunFor(2 * kSecond);
  world.Submit("da1",
               MakeSubmissionWithHome(world, "job", "peal", "da", 1, 1000));
  world.RunFor(200 * kMillisecond);
  world.CrashWorker(world.attempts().front().worker);
  world.RunFor(6 * kSecond);
  CHECK(OutcomeOf(*world.LastAnswer("job")) == Outcome::kComplete);
  CheckNoViolations(world);
}

// The domain has 4 slots for 16 tasks, which are idempotent and so may run on
// slots that the other domain lends. Each runs for 4 s, longer than the 2 s
// after which a lender ends a loan that was not returned.
TEST_CASE(
    "Borrowing: tasks that run longer than the timeout of a loan start once") {
  FakeWorld world(ReliableNetworkOptions());
  world.RunFor(2 * kSecond);
  const std::string vm = world.VmsOf("da").front();
  for (int i = 0; i < 4; ++i) {
    world.Submit(vm, MakeSubmissionWithHome(world, "job-" + std::to_string(i),
                                            "batch", "da", 4, 4000));
  }
  world.RunFor(30 * kSecond);
  for (int i = 0; i < 4; ++i) {
    const std::string id = "job-" + std::to_string(i);
    CHECK(OutcomeOf(*world.LastAnswer(id)) == Outcome::kComplete);
    for (uint32_t index = 0; index < 4; ++index) {
      CHECK(world.CountAttempts(id, index) == 1);
    }
  }
  CheckNoViolations(world);
}

TEST_CASE(
    "Drain: running and queued jobs of a draining VM complete and start once") {
  FakeWorld world(ReliableNetworkOptions());
  world.RunFor(2 * kSecond);
  const std::string vm = world.VmsOf("da").front();
  // The domain has 4 slots, so some of the 12 jobs are still queued when the
  // drain starts.
  for (int i = 0; i < 12; ++i) {
    world.Submit(vm, MakeSubmissionWithHome(world, "job-" + std::to_string(i),
                                            "knell", "da", 1, 300));
  }
  world.RunFor(100 * kMillisecond);
  world.Drain(vm);
  world.RunFor(10 * kSecond);
  CHECK_FALSE(world.IsUp(vm));
  for (int i = 0; i < 12; ++i) {
    const std::string id = "job-" + std::to_string(i);
    REQUIRE(world.LastAnswer(id) != nullptr);
    CHECK(OutcomeOf(*world.LastAnswer(id)) == Outcome::kComplete);
    CHECK(world.CountAttempts(id, 0) == 1);
  }
  CheckNoViolations(world);
}

TEST_CASE(
    "Configuration: a cut-off minority accepts no change, the majority does") {
  FakeWorld world(ReliableNetworkOptions());
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
  CheckNoViolations(world);
}

TEST_CASE("Configuration: 500 changes survive a restart of each VM in turn") {
  FakeWorld world(ReliableNetworkOptions());
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
  CheckNoViolations(world);
}

TEST_CASE(
    "Jobs: 200 cancellations at once remove the queued jobs before they "
    "start") {
  FakeWorld world(ReliableNetworkOptions());
  world.RunFor(2 * kSecond);
  for (int i = 0; i < 200; ++i) {
    world.Submit(
        "da1", MakeSubmissionWithHome(world, "job-" + std::to_string(i), "peal",
                                      "da", 1, 2000));
  }
  world.RunFor(50 * kMillisecond);
  const size_t started = world.attempts().size();
  for (int i = 0; i < 200; ++i) {
    world.Cancel("da2", "job-" + std::to_string(i));
  }
  world.RunFor(2 * kSecond);
  CHECK(world.attempts().size() == started);
  world.CheckQuiescence();
  CheckNoViolations(world);
}

TEST_CASE(
    "Forwarding: a submission with a long-running job is forwarded only once") {
  FakeWorld world(ReliableNetworkOptions());
  world.RunFor(2 * kSecond);
  const auto job = MakeSubmissionWithHome(world, "slow", "peal", "da", 1, 2000);
  const std::string remote_vm = world.VmsOf("db").front();
  world.Submit(remote_vm, job);
  world.RunFor(4 * kSecond);
  CHECK(world.Board(remote_vm).counters.forwards == 1);
  CHECK(world.Board(remote_vm).counters.forward_resends == 0);
  CHECK(world.CountAttempts("slow", 0) == 1);
  CHECK(OutcomeOf(*world.LastAnswer("slow")) == Outcome::kComplete);
  CheckNoViolations(world);
}

TEST_CASE("Jobs: a short job overtakes a long job of the same kind") {
  FakeWorld world(ReliableNetworkOptions());
  world.RunFor(2 * kSecond);
  const std::string owner = PreferredOwner(world, "da", "long");
  std::string short_id;
  for (int i = 0; short_id.empty(); ++i) {
    const std::string id = "short-" + std::to_string(i);
    short_id = PreferredOwner(world, "da", id) == owner ? id : "";
  }
  world.Submit(owner,
               MakeSubmissionWithHome(world, "long", "peal", "da", 40, 400));
  world.RunFor(50 * kMillisecond);
  world.Submit(owner,
               MakeSubmissionWithHome(world, short_id, "peal", "da", 1, 100));
  world.RunFor(20 * kSecond);
  int long_starts_before = 0;
  for (const ObservedAttempt& attempt : world.attempts()) {
    if (attempt.submission_id == short_id) {
      break;
    }
    long_starts_before += attempt.submission_id == "long" ? 1 : 0;
  }
  // Less than half of the 40 tasks of the long job, which run on at most 8
  // slots at a time, may have started before the short job.
  CHECK(long_starts_before < 20);
  CHECK(world.CountAttempts(short_id, 0) == 1);
  CHECK(OutcomeOf(*world.LastAnswer("long")) == Outcome::kComplete);
  CheckNoViolations(world);
}

TEST_CASE(
    "Jobs: a VM isolated for longer than the timeouts answers unknown within "
    "500 ms") {
  FakeWorld world(ReliableNetworkOptions());
  world.RunFor(2 * kSecond);
  const std::string isolated_vm = world.VmsOf("da").front();
  world.CutVm(isolated_vm);
  world.RunFor(5 * kSecond);
  const Micros sent_at = world.now();
  // The claim on the first cannot reach a quorum. The home domain of the second
  // is unreachable. Both timeouts count from the last contact with the other
  // VMs, which was 5 s ago, and have passed.
  world.Submit(isolated_vm,
               MakeSubmissionWithHome(world, "own", "knell", "da", 1, 50));
  world.Submit(isolated_vm,
               MakeSubmissionWithHome(world, "far", "knell", "db", 1, 50));
  world.RunFor(5 * kSecond);
  for (const char* id : {"own", "far"}) {
    const SubmissionHistory& record = world.submissions().at(id);
    REQUIRE(record.answers.size() == 1);
    CHECK(OutcomeOf(record.answers[0].result) == Outcome::kUnknown);
    CHECK(record.answers[0].answered_at - sent_at < 500 * kMillisecond);
    CHECK(world.CountAttempts(id, 0) == 0);
  }
  CheckNoViolations(world);
}

// Cuts the links between `vm` and all other VMs. Workers can still reach it.
void CutFromVms(FakeWorld& world, const std::string& vm) {
  for (const std::string& other : world.Vms()) {
    if (other != vm) {
      world.Cut(vm, other);
      world.Cut(other, vm);
    }
  }
}

TEST_CASE(
    "Jobs: a result that no majority has recorded is not reported as "
    "complete") {
  for (const bool owner_survives : {true, false}) {
    FakeWorld world(ReliableNetworkOptions());
    world.RunFor(2 * kSecond);
    const auto job =
        MakeSubmissionWithHome(world, "job", "knell", "da", 1, 300);
    const std::string owner = PreferredOwner(world, "da", "job");
    world.Submit(owner, job);
    world.RunFor(100 * kMillisecond);
    REQUIRE(world.CountAttempts("job", 0) == 1);
    CutFromVms(world, owner);
    world.RunFor(kSecond);
    CHECK(world.submissions().at("job").answers.empty());
    if (!owner_survives) {
      // The workers restart without the result of the attempt, so its outcome
      // can't be determined and the job fails.
      world.CrashVm(owner);
      for (const std::string& worker : world.Workers()) {
        world.CrashWorker(worker);
      }
    }
    world.RunFor(4 * kSecond);
    const wire::JobResult* last_answer = world.LastAnswer("job");
    CHECK((last_answer != nullptr) == owner_survives);
    CHECK((last_answer == nullptr ||
           OutcomeOf(*last_answer) == Outcome::kUnknown));
    world.HealCuts();
    world.RunFor(8 * kSecond);
    world.Submit(OtherVmOf(world, "da", owner), job);
    world.RunFor(3 * kSecond);
    const Outcome outcome = OutcomeOf(*world.LastAnswer("job"));
    CHECK(outcome == (owner_survives ? Outcome::kComplete : Outcome::kFailed));
    CHECK(world.CountAttempts("job", 0) == 1);
    CheckNoViolations(world);
  }
}

}  // namespace goldcrest
