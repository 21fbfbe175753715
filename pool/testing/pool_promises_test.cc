// The guarantees of the pool, each under the failure that it is meant for.

#include <catch2/catch.hpp>

#include "pool/testing/pool_load.h"

namespace goldcrest {
namespace {

constexpr int kWorkers = 12;  // of the default deployment
// Time between two steps of an entry daemon.
constexpr Micros kEntryStep = 25 * kMillisecond;

FakePool MakePool(const FakePoolOptions& options = {}) {
  return FakePool(options);
}

TEST_CASE("Pool: every worker has an owner and a job completes") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  CHECK(pool.ReadyWorkers() == kWorkers);
  const int job = pool.Submit(0, 8, 60, 2000);
  pool.Run(200 * kMillisecond);
  CHECK(pool.answers().at(job).fate == wire::JOB_COMPLETED);
  RequireNoViolation(pool);
}

TEST_CASE(
    "WorkerRoster: a control daemon that resumes after a pause takes no "
    "workers back") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  pool.controls()[2].paused = true;
  pool.Run(7600 * kMillisecond);
  CHECK(pool.ReadyWorkers() == kWorkers);
  const int before = pool.CountLogged("worker_session_ended");
  pool.controls()[2].paused = false;
  SubmitLoad(pool, 6 * kSecond, 20 * kMillisecond);
  pool.Run(kSecond);
  CHECK(pool.ReadyWorkers() == kWorkers);
  // It learns that its four workers have other owners, and they are handed back
  // one by one.
  CHECK(pool.CountLogged("worker_session_ended") - before <= 8);
  CHECK(pool.CountAnswers(wire::JOB_COMPLETED) ==
        static_cast<int>(pool.answers().size()));
  RequireNoViolation(pool);
}

TEST_CASE(
    "WorkerRoster: the workers of a crashed control daemon are taken over") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  pool.KillControl(1);
  pool.Run(2 * kSecond);
  CHECK(pool.ReadyWorkers() == kWorkers);
  SubmitLoad(pool, 2 * kSecond, 20 * kMillisecond);
  pool.Run(kSecond);
  CHECK(pool.CountAnswers(wire::JOB_COMPLETED) ==
        static_cast<int>(pool.answers().size()));
  pool.StartControl(1);
  pool.Run(5 * kSecond);
  CHECK(pool.ReadyWorkers() == kWorkers);
  RequireNoViolation(pool);
}

TEST_CASE(
    "WorkerRoster: the report timeout of a worker starts again when it is "
    "taken over") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  pool.Run(10 * kSecond);  // its reports went to its owner only
  pool.KillControl(1);
  for (FakeWorker& worker : pool.workers()) {
    worker.reachable = worker.status.failure_domain() != "b";
  }
  pool.Run(1500 * kMillisecond);  // claims are not answered meanwhile
  for (FakeWorker& worker : pool.workers()) {
    worker.reachable = true;
  }
  pool.Run(1500 * kMillisecond);
  CHECK(pool.CountLogged("worker_process_gone") == 0);
  CHECK(pool.ReadyWorkers() == kWorkers);
}

TEST_CASE(
    "Standby: entry daemons order workers while all control daemons are down") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  SubmitLoad(pool, kSecond, 20 * kMillisecond);
  for (size_t i = 0; i < 3; ++i) {
    pool.KillControl(i);
  }
  pool.Run(2 * kSecond);
  CHECK(pool.ReadyWorkers() == kWorkers);
  int before = pool.CountAnswers(wire::JOB_COMPLETED);
  SubmitLoad(pool, 4 * kSecond, 20 * kMillisecond);
  pool.Run(kSecond);
  CHECK(pool.CountAnswers(wire::JOB_COMPLETED) - before == 200);
  before = pool.CountAnswers(wire::JOB_COMPLETED);
  for (size_t i = 0; i < 3; ++i) {
    pool.StartControl(i);
  }
  SubmitLoad(pool, 4 * kSecond, 20 * kMillisecond);
  pool.Run(2 * kSecond);
  CHECK(pool.CountAnswers(wire::JOB_COMPLETED) - before == 200);
  CHECK(pool.ReadyWorkers() == kWorkers);
  for (const FakeEntry& entry : pool.entries()) {
    for (const auto& [id, worker] : entry.board.pool.workers) {
      CHECK(worker.session == SessionState::kNone);
    }
  }
  RequireNoViolation(pool);
}

TEST_CASE("Standby: an entry daemon that is cut off alone claims no workers") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  const std::string isolated = pool.entries()[0].address;
  for (const FakeControl& control : pool.controls()) {
    pool.DropMessages(isolated, control.address);
    pool.DropMessages(control.address, isolated);
  }
  pool.Run(3 * kSecond);
  for (const auto& [id, worker] : pool.entries()[0].board.pool.workers) {
    CHECK(worker.session == SessionState::kNone);
  }
  // It also claims none when it can reach no other entry daemon either.
  for (const FakeEntry& entry : pool.entries()) {
    pool.DropMessages(isolated, entry.address);
    pool.DropMessages(entry.address, isolated);
  }
  pool.Run(3 * kSecond);
  for (const auto& [id, worker] : pool.entries()[0].board.pool.workers) {
    CHECK(worker.session == SessionState::kNone);
  }
}

TEST_CASE(
    "WorkerRoster: a failure domain that is cut off continues with its own "
    "workers") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  pool.CutDomain("b");
  pool.Run(kSecond);
  SubmitLoad(pool, 4 * kSecond, 20 * kMillisecond);
  pool.Run(kSecond);
  CHECK(pool.CountAnswers(wire::JOB_COMPLETED) ==
        static_cast<int>(pool.answers().size()));
  pool.EndPartitions();
  pool.Run(4 * kSecond);
  CHECK(pool.ReadyWorkers() == kWorkers);
  RequireNoViolation(pool);
}

TEST_CASE(
    "WorkerRoster: a cut between control daemons alone moves no workers") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  for (const char* other : {"control-a", "control-c"}) {
    pool.DropMessages("control-b", other);
    pool.DropMessages(other, "control-b");
  }
  const int before = pool.CountLogged("worker_session_ended");
  SubmitLoad(pool, 4 * kSecond, 20 * kMillisecond);
  pool.Run(kSecond);
  CHECK(pool.CountLogged("worker_session_ended") == before);
  CHECK(pool.CountAnswers(wire::JOB_COMPLETED) ==
        static_cast<int>(pool.answers().size()));
}

TEST_CASE("WorkerHealth: a worker that fails every task is ejected") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  pool.workers()[0].fails_all = true;
  SubmitLoad(pool, 4 * kSecond, 10 * kMillisecond);
  pool.Run(kSecond);
  CHECK(pool.CountAnswers(wire::JOB_FAILED) == 0);
  CHECK(pool.CountLogged("worker_ejected") >= 1);
}

TEST_CASE(
    "Stragglers: a task that makes no progress is moved to another worker") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  pool.workers()[0].hangs = true;
  SubmitLoad(pool, 3 * kSecond, 30 * kMillisecond);
  pool.Run(2 * kSecond);
  CHECK(pool.CountAnswers(wire::JOB_COMPLETED) ==
        static_cast<int>(pool.answers().size()));
  RequireNoViolation(pool);
}

TEST_CASE(
    "WorkerSession: orders that are executed late never run a task twice at "
    "once") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  for (FakeWorker& worker : pool.workers()) {
    worker.late_order_share = 0.05;
  }
  SubmitLoad(pool, 5 * kSecond, 10 * kMillisecond);
  pool.Run(5 * kSecond);
  RequireNoViolation(pool);
  CHECK(pool.CountAnswers(wire::JOB_FATE_UNSPECIFIED) == 0);
}

TEST_CASE(
    "PoolJobs: a job sent again after its entry daemon crashed runs once at a "
    "time") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  const int job = pool.Submit(0, 4, 3000, 10'000);
  pool.Run(300 * kMillisecond);
  pool.KillEntry(0);
  pool.Run(1300 * kMillisecond);
  pool.Resubmit(job, 1);
  pool.Run(4 * kSecond);
  CHECK(pool.answers().at(job).fate == wire::JOB_COMPLETED);
  RequireNoViolation(pool);
}

// Soak seed 62: a third of the workers had no active owner and never got one.
// The daemon that had claimed them was restarted; the other daemons still named
// it as their owner, and it accepted that, so that no daemon claimed them.
TEST_CASE("WorkerRoster: workers are claimed again after all owners restart") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  pool.KillControl(0);
  pool.Run(3 * kSecond);
  CHECK(pool.ReadyWorkers() == kWorkers);
  pool.KillControl(1);
  pool.KillControl(2);
  pool.StartControl(0);
  pool.StartControl(1);
  pool.StartControl(2);
  pool.Run(200 * kMillisecond);
  pool.KillControl(0);
  pool.StartControl(0);
  pool.Run(8 * kSecond);
  CHECK(pool.ReadyWorkers() == kWorkers);
  RequireNoViolation(pool);
}

TEST_CASE("WorkerRoster: workers are claimed again after one owner restarts") {
  for (const size_t restarted : {1U, 2U}) {
    FakePool pool = MakePool();
    WaitUntilServing(pool);
    pool.KillControl(0);
    pool.Run(3 * kSecond);
    pool.KillControl(restarted);
    pool.StartControl(restarted);
    pool.StartControl(0);
    pool.Run(8 * kSecond);
    CHECK(pool.ReadyWorkers() == kWorkers);
    RequireNoViolation(pool);
  }
}

// Soak seed 202: a worker had no active owner and never got one. The daemon
// that others named as its owner had been restarted and did not know of the
// claim.
TEST_CASE("WorkerRoster: a daemon that denies its ownership is believed") {
  FakePoolOptions options;
  options.report_to_first_control = true;
  FakePool pool = MakePool(options);
  WaitUntilServing(pool);
  FakeControl& other = pool.controls()[0];
  for (FakeWorker& reporting : pool.workers()) {
    reporting.report_to = other.address;
  }
  wire::WorkerNews stale = other.board.workers.at("w-c0").status;
  stale.set_owner(other.address);
  stale.set_token(stale.token() + 1'000'000);
  pool.KillControl(2);
  pool.StartControl(2);
  // By then an entry daemon has reported the workers, and all control daemons
  // have exchanged heartbeats.
  pool.Run(250 * kMillisecond);
  PoolWorker& worker = pool.controls()[2].board.workers["w-c0"];
  REQUIRE(worker.session == SessionState::kNone);
  worker.status = stale;
  other.board.workers.at("w-c0").status.clear_owner();
  other.board.workers.at("w-c0").status.set_token(0);
  worker.last_received_at = pool.now();
  pool.Run(8 * kSecond);
  CHECK(pool.ReadyWorkers() == kWorkers);
  RequireNoViolation(pool);
}

TEST_CASE(
    "Agreement: a configuration survives one lost disk and a restart of all "
    "control daemons") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  ChangeResult result = ChangeResult::kUnknown;
  pool.ChangeConfiguration(1, 9, &result);
  pool.Run(kSecond);
  REQUIRE(result == ChangeResult::kDurable);
  for (const size_t wiped : {0U, 1U, 2U}) {
    for (size_t i = 0; i < 3; ++i) {
      pool.KillControl(i);
    }
    pool.WipeDisk(wiped);
    for (size_t i = 0; i < 3; ++i) {
      pool.StartControl(i);
    }
    pool.Run(4 * kSecond);
    CHECK(pool.NewestVersion() == 9);
    ChangeResult again = ChangeResult::kUnknown;
    pool.ChangeConfiguration(wiped, 9, &again);
    pool.Run(kSecond);
    CHECK(again == ChangeResult::kDurable);
  }
}

// Guards against a time without a leader, in which every job is refused, after
// all VMs have lost power.
TEST_CASE(
    "Agreement: after a power loss of all VMs a leader is elected without "
    "delay") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    FakePoolOptions options;
    options.seed = seed;
    FakePool pool(options);
    WaitUntilServing(pool);
    for (size_t i = 0; i < 3; ++i) {
      pool.KillControl(i);
      pool.KillEntry(i);
    }
    pool.Run(2 * kSecond);
    for (size_t i = 0; i < 3; ++i) {
      pool.StartControl(i);
      pool.StartEntry(i);
    }
    // Less time than any voter waits before a regular election.
    const Micros started = pool.now();
    while (pool.NewestVersion() != 5 &&
           pool.now() < started + AgreementOptions().election_timeout) {
      pool.Run(5 * kMillisecond);
    }
    CHECK(pool.NewestVersion() == 5);
    // One heartbeat announces the configuration; it is requested without delay.
    pool.Run(HeartbeatRates().period + 2 * kEntryStep);
    for (const FakeEntry& entry : pool.entries()) {
      CHECK(entry.board.routing.version() == 5);
    }
  }
}

// The answers that a voter gave before its restart may still count for a
// leader's lease.
TEST_CASE(
    "Agreement: a voter that restarts within a leader's lease does not help to "
    "elect another leader") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  const size_t leader = LeaderOf(pool);
  const size_t restarted = (leader + 1) % 3;
  const size_t candidate = (leader + 2) % 3;
  pool.DropMessages(pool.controls()[leader].address,
                    pool.controls()[candidate].address);
  pool.Run(500 * kMillisecond);
  pool.KillControl(restarted);
  pool.StartControl(restarted);
  const Micros started = pool.now();
  while (pool.now() < started + AgreementOptions().leader_lease) {
    pool.Run(10 * kMillisecond);
    CHECK(pool.controls()[candidate].board.agreement.role !=
          AgreementRole::kLeader);
  }
}

TEST_CASE("Mesh: a configuration is sent to each entry daemon about once") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  const int before = pool.routings_sent();
  // Slow links: several heartbeats pass before the configuration arrives.
  ChangeResult result = ChangeResult::kUnknown;
  pool.ChangeConfiguration(0, 6, &result);
  pool.Run(2 * kSecond);
  for (const FakeEntry& entry : pool.entries()) {
    CHECK(entry.board.routing.version() == 6);
  }
  CHECK(pool.routings_sent() - before <=
        static_cast<int>(pool.entries().size()) + 1);
}

TEST_CASE(
    "Mesh: a configuration that does not arrive is requested from another "
    "daemon") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  // A follower, so that the change itself is committed.
  const size_t frozen = (LeaderOf(pool) + 1) % 3;
  pool.controls()[frozen].paused = true;
  ChangeResult result = ChangeResult::kUnknown;
  pool.ChangeConfiguration(LeaderOf(pool), 6, &result);
  pool.Run(2 * kSecond);
  for (const FakeEntry& entry : pool.entries()) {
    CHECK(entry.board.routing.version() == 6);
  }
}

// Reproduces the scenarios node_freeze and herd_kill: jobs that were on their
// way to a daemon that had just stopped, or waited there, all ended as unknown.
TEST_CASE(
    "PoolJobs: jobs that an unreachable control daemon has not begun run "
    "elsewhere") {
  for (const bool killed : {false, true}) {
    CAPTURE(killed);
    FakePool pool = MakePool();
    WaitUntilServing(pool);
    pool.controls()[0].paused = !killed;
    if (killed) {
      pool.KillControl(0);
    }
    std::vector<int> jobs;
    for (int i = 0; i < 10; ++i) {
      jobs.push_back(pool.Submit(0, 2, 60, 2000));
      pool.Run(20 * kMillisecond);
    }
    pool.Run(2 * kSecond);
    for (const int job : jobs) {
      CHECK(pool.answers().at(job).fate == wire::JOB_COMPLETED);
    }
    RequireNoViolation(pool);
  }
}

// Found in review: the entry daemon of the second submission was not informed
// that the job had begun, since the start permission had just been requested
// from the first entry daemon; it would have sent the job to another control
// daemon while the job ran.
TEST_CASE(
    "PoolJobs: the entry daemon of a repeated submission is informed that the "
    "job has begun") {
  FakePoolOptions options;
  options.entries_per_domain = 2;
  FakePool pool(options);
  WaitUntilServing(pool);
  const int job = pool.Submit(0, 2, 1500, 3000);
  pool.Run(50 * kMillisecond);
  pool.Resubmit(job, 1);
  pool.Run(50 * kMillisecond);
  pool.KillControl(0);
  pool.Run(600 * kMillisecond);
  CHECK(pool.answers().at(job).fate == wire::JOB_UNKNOWN);
  pool.Run(4 * kSecond);
  RequireNoViolation(pool);
}

TEST_CASE(
    "PoolJobs: a job whose entry daemon was unreachable ends as unknown, not "
    "as cancelled") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  const int job = pool.Submit(0, 4, 3000, 10'000);
  pool.Run(100 * kMillisecond);
  for (const FakeControl& control : pool.controls()) {
    pool.DropMessages(pool.entries()[0].address, control.address);
  }
  pool.Run(3 * kSecond);
  CHECK(pool.answers().at(job).fate == wire::JOB_UNKNOWN);
}

TEST_CASE(
    "Agreement: a change to an older version is acknowledged and has no "
    "effect") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  ChangeResult result = ChangeResult::kUnknown;
  pool.ChangeConfiguration(2, 3, &result);
  pool.Run(kSecond);
  CHECK(result == ChangeResult::kDurable);
  CHECK(pool.NewestVersion() == 5);
}

TEST_CASE(
    "Agreement: one control daemon whose disk refuses writes does not block "
    "changes") {
  FakePool pool = MakePool();
  WaitUntilServing(pool);
  for (size_t refusing = 0; refusing < 3; ++refusing) {
    pool.controls()[refusing].disk_write_fails = true;
    ChangeResult result = ChangeResult::kUnknown;
    pool.ChangeConfiguration(0, 20 + refusing, &result);
    pool.Run(2 * kSecond);
    CHECK(result == ChangeResult::kDurable);
    pool.controls()[refusing].disk_write_fails = false;
    pool.Run(kSecond);
  }
}

TEST_CASE("Pool: random faults violate no invariant") {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    FakePoolOptions options;
    options.seed = seed;
    InjectRandomFaults(options);
  }
}

// The same with failure domains that exchange heartbeats at the reduced rate,
// as with 150 entry daemons.
TEST_CASE(
    "Pool: random faults violate no invariant at the reduced heartbeat rate") {
  for (uint64_t seed = 101; seed <= 120; ++seed) {
    CAPTURE(seed);
    FakePoolOptions options;
    options.seed = seed;
    options.rates.reduced_period_per_entry = 400 * kMillisecond;
    InjectRandomFaults(options);
  }
}

TEST_CASE(
    "Pool: random faults violate no invariant when placement looks ahead") {
  uint64_t starts_ahead = 0;
  for (uint64_t seed = 201; seed <= 205; ++seed) {
    CAPTURE(seed);
    FakePoolOptions options;
    options.seed = seed;
    options.features.placement_lookahead = true;
    starts_ahead += InjectRandomFaults(options, true).starts_ahead;
  }
  // Guards against a load that does not reach the code under test.
  CHECK(starts_ahead > 0);
}

TEST_CASE("Pool: random faults violate no invariant with overload control") {
  int refusals = 0;
  for (uint64_t seed = 201; seed <= 204; ++seed) {
    CAPTURE(seed);
    FakePoolOptions options;
    options.seed = seed;
    options.features.overload_control = true;
    options.features.queue_floor_percent = 30;
    refusals += InjectRandomFaults(options, true).overload_refusals;
  }
  // Guards against a load that does not reach the code under test.
  CHECK(refusals > 0);
}

}  // namespace
}  // namespace goldcrest
