// Serving without control daemons, with the short timeouts of `standby_after`:
// how quickly entry daemons take over, when they must not, and how the workers
// return. Each figure is compared with that of the default timeouts.

#include <catch2/catch.hpp>

#include "pool/testing/pool_load.h"

namespace goldcrest {
namespace {

constexpr Micros kStandbyAfter = 250 * kMillisecond;
constexpr Micros kDefaultTimeouts = 0;
constexpr int64_t kRunMs = 150;
constexpr Micros kCheckPeriod = 10 * kMillisecond;

// A deployment like those with hard load: two control daemons in each failure
// domain, and so many entry daemons that those of other domains send heartbeats
// at the reduced rate. The 180 workers have room for 360 tasks.
FakePoolOptions MakeOptions(Micros standby_after) {
  FakePoolOptions options;
  options.controls_per_domain = 2;
  options.entries_per_domain = 8;
  options.workers_per_domain = 60;
  options.features.standby_after = standby_after;
  return options;
}

// Waits until each worker has reported and each entry daemon has probe peers.
void WaitUntilAllKnown(FakePool& pool) {
  WaitUntilServing(pool);
  pool.Run(3 * kSecond);
}

void KillAllControls(FakePool& pool) {
  for (size_t i = 0; i < pool.controls().size(); ++i) {
    pool.KillControl(i);
  }
}

void PauseControls(FakePool& pool, size_t count, bool paused) {
  for (size_t i = 0; i < count; ++i) {
    pool.controls()[i].paused = paused;
  }
}

// Counts the workers that entry daemons order.
size_t CountAtEntries(FakePool& pool) {
  size_t count = 0;
  for (const FakeEntry& entry : pool.entries()) {
    count += entry.board.pool.owned.size();
  }
  return count;
}

// Submits a job of two tasks every `gap`, to each entry daemon in turn.
void SubmitJobs(FakePool& pool, Micros duration, Micros gap) {
  const Micros until = pool.now() + duration;
  while (pool.now() < until) {
    pool.Submit(pool.answers().size() % pool.entries().size(), 2, kRunMs, 2000);
    pool.Run(gap);
  }
}

// Submits jobs until `condition` holds, for 4 s at most; returns how long it
// took.
template <typename Condition>
Micros SubmitJobsUntil(FakePool& pool, Micros gap, Condition condition) {
  const Micros start = pool.now();
  while (!condition() && pool.now() < start + 4 * kSecond) {
    SubmitJobs(pool, kCheckPeriod, gap);
  }
  return pool.now() - start;
}

// Answers to the jobs that were submitted since a time. A job is late if it
// took longer than three times its objective.
struct Outcomes {
  int jobs = 0;
  int refused = 0;
  int unknown = 0;
  int late = 0;
  int over_objective = 0;
};

Outcomes CountOutcomes(const FakePool& pool, Micros from) {
  constexpr Micros kObjective = (kRunMs * 8 / 5 + 60) * kMillisecond;
  Outcomes outcomes;
  for (const auto& [job, answer] : pool.answers()) {
    if (answer.submitted_at < from) {
      continue;
    }
    const Micros took = answer.answered_at - answer.submitted_at;
    const bool completed = answer.fate == wire::JOB_COMPLETED;
    ++outcomes.jobs;
    outcomes.refused += answer.fate == wire::JOB_REFUSED ? 1 : 0;
    outcomes.unknown += answer.fate == wire::JOB_UNKNOWN ? 1 : 0;
    outcomes.late += completed && took > 3 * kObjective ? 1 : 0;
    outcomes.over_objective += completed && took > kObjective ? 1 : 0;
  }
  UNSCOPED_INFO("jobs " << outcomes.jobs << ", refused " << outcomes.refused
                        << ", unknown " << outcomes.unknown << ", late "
                        << outcomes.late << ", over the objective "
                        << outcomes.over_objective);
  return outcomes;
}

// What callers noticed of a loss of all control daemons for 2.5 s, and of their
// return.
struct LossFigures {
  Micros time_to_ready = 0;   // until all workers were ready at entry daemons
  Micros time_to_return = 0;  // until nine tenths had been handed over
  Outcomes during_loss;
  Outcomes after_return;
};

// Every second entry daemon is connected to the control daemons only 650 ms
// after their return: a connection to a VM without power is found to be dead
// only by a timeout, and is then made again.
LossFigures LoseAllControls(Micros standby_after, Micros gap) {
  FakePool pool(MakeOptions(standby_after));
  WaitUntilAllKnown(pool);
  const size_t workers = pool.workers().size();
  SubmitJobs(pool, kSecond, gap);
  LossFigures figures;
  const Micros lost_at = pool.now();
  KillAllControls(pool);
  figures.time_to_ready = SubmitJobsUntil(pool, gap, [&] {
    return CountAtEntries(pool) == workers &&
           pool.ReadyWorkers() == static_cast<int>(workers);
  });
  SubmitJobs(pool, lost_at + 2500 * kMillisecond - pool.now(), gap);
  figures.during_loss = CountOutcomes(pool, lost_at);
  const Micros back_at = pool.now();
  for (size_t i = 0; i < pool.controls().size(); ++i) {
    pool.StartControl(i);
    for (size_t entry = 0; entry < pool.entries().size(); entry += 2) {
      const std::string& address = pool.entries()[entry].address;
      pool.DropMessages(address, pool.controls()[i].address);
      pool.DropMessages(pool.controls()[i].address, address);
    }
  }
  SubmitJobs(pool, 650 * kMillisecond, gap);
  pool.EndPartitions();
  SubmitJobsUntil(pool, gap,
                  [&] { return 10 * CountAtEntries(pool) <= workers; });
  figures.time_to_return = pool.now() - back_at;
  SubmitJobs(pool, 2 * kSecond, gap);
  pool.Run(2 * kSecond);
  CHECK(CountAtEntries(pool) == 0);
  figures.after_return = CountOutcomes(pool, back_at - 300 * kMillisecond);
  CHECK(pool.ReadyWorkers() == static_cast<int>(workers));
  RequireNoViolation(pool);
  return figures;
}

TEST_CASE("Standby: a loss of all control daemons is short for callers") {
  // Two fifths and four fifths of the capacity.
  for (const Micros gap : {2 * kMillisecond, kMillisecond}) {
    CAPTURE(gap);
    const LossFigures before = LoseAllControls(kDefaultTimeouts, gap);
    const LossFigures after = LoseAllControls(kStandbyAfter, gap);
    CHECK(after.time_to_ready < 500 * kMillisecond);
    CHECK(after.time_to_ready < before.time_to_ready / 2);
    CHECK(after.during_loss.refused * 20 <= before.during_loss.refused);
    // Jobs that were running when the power was lost are not counted.
    CHECK(after.during_loss.unknown == 0);
    CHECK(after.during_loss.late * 10 <= after.during_loss.jobs);
    CHECK(after.after_return.unknown == 0);
    CHECK(after.after_return.refused * 100 <= after.after_return.jobs);
    CHECK(after.time_to_return < 1600 * kMillisecond);
  }
}

TEST_CASE("Standby: a short pause or a lossy link causes no takeover") {
  for (const size_t paused : {1U, 6U}) {
    CAPTURE(paused);
    FakePool pool(MakeOptions(kStandbyAfter));
    WaitUntilAllKnown(pool);
    SubmitJobs(pool, kSecond, 5 * kMillisecond);
    const int before = pool.CountLogged("worker_session_ended");
    for (int i = 0; i < 5; ++i) {
      PauseControls(pool, paused, true);
      SubmitJobs(pool, 250 * kMillisecond, 5 * kMillisecond);
      PauseControls(pool, paused, false);
      SubmitJobs(pool, 330 * kMillisecond, 5 * kMillisecond);
    }
    CHECK(pool.CountLogged("standby_began") == 0);
    CHECK(pool.CountLogged("worker_session_ended") == before);
    CHECK(pool.CountAnswers(wire::JOB_REFUSED) == 0);
  }
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    FakePoolOptions options = MakeOptions(kStandbyAfter);
    options.seed = seed;
    options.controls_per_domain = 1;
    options.message_loss = 0.05;
    FakePool pool(options);
    pool.Run(20 * kSecond);
    CHECK(pool.CountLogged("standby_began") == 0);
  }
}

// Also when it reaches some, but less than half, of its probe peers.
TEST_CASE("Standby: an entry daemon that is cut off does not take over") {
  FakePool pool(MakeOptions(kStandbyAfter));
  WaitUntilAllKnown(pool);
  const std::string isolated = pool.entries()[0].address;
  for (const FakeControl& control : pool.controls()) {
    pool.DropMessages(isolated, control.address);
    pool.DropMessages(control.address, isolated);
  }
  pool.Run(2 * kSecond);
  // Its probe peers hear control daemons.
  CHECK(pool.CountLogged("standby_began") == 0);
  for (size_t i = 2; i < pool.entries().size(); ++i) {
    pool.DropMessages(isolated, pool.entries()[i].address);
    pool.DropMessages(pool.entries()[i].address, isolated);
  }
  KillAllControls(pool);
  pool.Run(2 * kSecond);
  CHECK(pool.entries()[1].board.pool.standby);
  CHECK(!pool.entries()[0].board.pool.standby);
  CHECK(pool.entries()[0].board.pool.owned.empty());
}

// The resumed control daemons are refused by all workers and know no owner;
// they would claim the workers if only control daemons were asked who that is.
TEST_CASE("Handover: control daemons that all resume claim no used workers") {
  FakePool pool(MakeOptions(kStandbyAfter));
  WaitUntilAllKnown(pool);
  SubmitJobs(pool, kSecond, 2 * kMillisecond);
  PauseControls(pool, pool.controls().size(), true);
  SubmitJobs(pool, kSecond, 2 * kMillisecond);
  CHECK(CountAtEntries(pool) == pool.workers().size());
  const Micros from = pool.now();
  SubmitJobs(pool, kSecond, 2 * kMillisecond);
  PauseControls(pool, pool.controls().size(), false);
  SubmitJobs(pool, 3 * kSecond, 2 * kMillisecond);
  pool.Run(2 * kSecond);
  CHECK(CountAtEntries(pool) == 0);
  const Outcomes outcomes = CountOutcomes(pool, from);
  CHECK(outcomes.unknown == 0);
  CHECK(outcomes.refused == 0);
  CHECK(outcomes.late == 0);
  RequireNoViolation(pool);
}

TEST_CASE("Handover: a control daemon that resumes gets its workers in turns") {
  constexpr Micros kGap = 900;  // nine tenths of the capacity
  Outcomes outcomes[2];
  for (const Micros standby_after : {kDefaultTimeouts, kStandbyAfter}) {
    FakePool pool(MakeOptions(standby_after));
    WaitUntilAllKnown(pool);
    SubmitJobs(pool, kSecond, kGap);
    pool.controls()[1].paused = true;
    SubmitJobs(pool, 6 * kSecond, kGap);
    const Micros resumed_at = pool.now();
    pool.controls()[1].paused = false;
    SubmitJobs(pool, 4 * kSecond, kGap);
    pool.Run(2 * kSecond);
    outcomes[standby_after != 0 ? 1 : 0] = CountOutcomes(pool, resumed_at);
    CHECK(pool.controls()[1].board.owned.size() > 10);
    RequireNoViolation(pool);
  }
  CHECK(outcomes[1].unknown == 0);
  CHECK(outcomes[1].refused == 0);
  CHECK(outcomes[1].late == 0);
  CHECK(outcomes[1].over_objective < outcomes[0].over_objective);
}

// Standbys with the short timeouts claim and hand over workers by other rules.
TEST_CASE("Pool: random faults violate no invariant with quick standbys") {
  for (uint64_t seed = 201; seed <= 208; ++seed) {
    CAPTURE(seed);
    FakePoolOptions options;
    options.seed = seed;
    options.controls_per_domain = 1 + seed % 2;
    options.entries_per_domain = 1 + seed % 3;
    options.features.standby_after = kStandbyAfter;
    InjectRandomFaults(options);
  }
}

uint64_t CountPlansOfEntries(FakePool& pool) {
  uint64_t plans = 0;
  for (const FakeEntry& entry : pool.entries()) {
    plans += entry.board.pool.counters.plans;
  }
  return plans;
}

// Guards against a standby that is busy with plans while the answers to its
// orders wait.
TEST_CASE("Standby: jobs that arrive together are planned once") {
  constexpr int kJobs = 100;
  FakePool pool(MakeOptions(kStandbyAfter));
  WaitUntilAllKnown(pool);
  KillAllControls(pool);
  pool.Run(2 * kSecond);
  const uint64_t plans_before = CountPlansOfEntries(pool);
  for (int i = 0; i < kJobs; ++i) {
    pool.Submit(0, 1, kRunMs, 2000);
  }
  // The other standbys of the domain help.
  pool.Run(2 * kSecond);
  CHECK(CountPlansOfEntries(pool) - plans_before < kJobs);
  CHECK(pool.CountAnswers(wire::JOB_COMPLETED) == kJobs);
  RequireNoViolation(pool);
}

// Guards against workers that a former standby keeps for good, since the
// requests of their control daemon do not reach it (soak seed 11).
TEST_CASE("Standby: workers that nobody requests return") {
  for (const Micros standby_after : {kStandbyAfter, kDefaultTimeouts}) {
    FakePoolOptions options;
    options.entries_per_domain = 2;
    options.features.standby_after = standby_after;
    FakePool pool(options);
    WaitUntilAllKnown(pool);
    KillAllControls(pool);
    pool.Run(3 * kSecond);
    REQUIRE(CountAtEntries(pool) > 0);
    for (const FakeEntry& entry : pool.entries()) {
      pool.DropMessages(pool.controls()[2].address, entry.address);
    }
    for (size_t i = 0; i < pool.controls().size(); ++i) {
      pool.StartControl(i);
    }
    pool.Run(10 * kSecond);
    CHECK(CountAtEntries(pool) == 0);
    RequireNoViolation(pool);
  }
}

}  // namespace
}  // namespace goldcrest
