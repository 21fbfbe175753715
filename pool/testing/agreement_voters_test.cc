// Changes of the voters, with kills of all control daemons at each moment of
// them.

#include <algorithm>

#include <catch2/catch.hpp>

#include "pool/agreement/agreement.h"
#include "pool/testing/pool_load.h"

namespace goldcrest {
namespace {

constexpr uint64_t kVersion = 9;

// Returns a deployment whose third control daemon comes back with an empty disk
// once a configuration is in force.
FakePool PoolWithWipedVoter() {
  FakePoolOptions options;
  options.workers_per_domain = 1;
  FakePool pool(options);
  WaitUntilServing(pool);
  ChangeResult result = ChangeResult::kUnknown;
  pool.ChangeConfiguration(0, kVersion, &result);
  pool.Run(kSecond);
  REQUIRE(result == ChangeResult::kDurable);
  pool.KillControl(2);
  pool.WipeDisk(2);
  pool.StartControl(2);
  return pool;
}

void RestartAll(FakePool& pool) {
  for (size_t i = 0; i < 3; ++i) {
    pool.KillControl(i);
  }
  for (size_t i = 0; i < 3; ++i) {
    pool.StartControl(i);
  }
}

// Checks that a change is durable, and that no version was lost.
void RequireServes(FakePool& pool) {
  CHECK(pool.NewestVersion() >= kVersion);
  ChangeResult result = ChangeResult::kUnknown;
  pool.ChangeConfiguration(1, kVersion + 1, &result);
  pool.Run(1500 * kMillisecond);
  CHECK(result == ChangeResult::kDurable);
}

// Returns when the voters were changed for the first time, from the return of
// the voter.
Micros TimeOfChange() {
  FakePool pool = PoolWithWipedVoter();
  const Micros start = pool.now();
  while (pool.CountLogged("voters_changed") == 0) {
    pool.Run(2 * kMillisecond);
    REQUIRE(pool.now() - start < 10 * kSecond);
  }
  return pool.now() - start;
}

// Guards against a change that needs more voters than the set before it: a
// leader added the new disk beside the old one, and three of four voters were
// needed, of which two were left (soak seed 11 on 1b301db).
TEST_CASE(
    "Agreement: two disks lost in a row cost no quorum, whenever all control "
    "daemons are killed") {
  const Micros change = TimeOfChange();
  for (Micros killed_after = change - 6 * kMillisecond;
       killed_after < change + 400 * kMillisecond;
       killed_after +=
       (killed_after < change + 60 * kMillisecond ? 2 : 20) * kMillisecond) {
    CAPTURE(killed_after - change);
    FakePool pool = PoolWithWipedVoter();
    pool.Run(killed_after);
    for (size_t i = 0; i < 3; ++i) {
      pool.KillControl(i);
    }
    pool.WipeDisk(2);
    RestartAll(pool);
    pool.Run(4 * kSecond);
    RequireServes(pool);
  }
}

TEST_CASE(
    "Agreement: a cut voter costs no quorum, whenever all control daemons are "
    "killed during its replacement") {
  const Micros change = TimeOfChange();
  for (Micros killed_after = change - 6 * kMillisecond;
       killed_after < change + 100 * kMillisecond;
       killed_after += 4 * kMillisecond) {
    CAPTURE(killed_after - change);
    FakePool pool = PoolWithWipedVoter();
    pool.Run(killed_after);
    RestartAll(pool);
    pool.CutDomain("c");
    pool.Run(4 * kSecond);
    RequireServes(pool);
    pool.EndPartitions();
  }
}

// Guards against a voter that refuses its vote since it does not know the
// change that made it one: with two voters, both are needed.
TEST_CASE("Agreement: a candidate's state makes a daemon a voter") {
  AgreementOptions options;
  options.self = "candidate";
  wire::StoredRegister stored;
  PoolActions actions;
  Agreement voter =
      MakeAgreement(options, stored, false, {}, 1, kSecond, actions);
  wire::VoteRequest request;
  request.set_term(3);
  request.set_candidate(7);
  request.set_last_term(2);
  request.set_last_index(5);
  const auto granted = [&](Micros now) {
    actions.clear();
    OnVoteRequest(voter, "other", request, now, actions);
    OnRegisterStored(voter, voter.writes.newest_sequence, true, now, actions);
    return std::any_of(
        actions.begin(), actions.end(), [](const PoolAction& action) {
          const auto* send = std::get_if<SendMessage>(&action);
          return send != nullptr && send->message.vote_reply().granted();
        });
  };
  // What it answered under this disk before a restart may count for a lease.
  CHECK_FALSE(granted(kSecond + options.election_timeout - kMillisecond));
  CHECK(granted(kSecond + options.election_timeout));
}

wire::Voter VoterOf(uint64_t disk) {
  wire::Voter voter;
  voter.set_store_id(disk);
  voter.set_address("10.0.0." + std::to_string(disk));
  return voter;
}

std::set<uint64_t> DisksOf(const std::vector<wire::Voter>& voters) {
  std::set<uint64_t> disks;
  for (const wire::Voter& voter : voters) {
    disks.insert(voter.store_id());
  }
  return disks;
}

TEST_CASE("NextVoters: a voter that is gone is replaced in one change") {
  const std::vector<wire::Voter> voters = {VoterOf(1), VoterOf(2), VoterOf(3)};
  const std::vector<wire::Voter> healthy = {VoterOf(1), VoterOf(2), VoterOf(4)};
  using Disks = std::set<uint64_t>;
  CHECK(DisksOf(NextVoters(voters, healthy, {1, 2, 4}, 3)) == Disks{1, 2, 4});
  CHECK(DisksOf(NextVoters(voters, healthy, {1, 2}, 3)) == Disks{1, 2, 3});
  CHECK(DisksOf(NextVoters(voters, {VoterOf(1), VoterOf(4)}, {1, 4}, 3)) ==
        Disks{1, 2, 3});
  CHECK(DisksOf(NextVoters({VoterOf(1), VoterOf(2)}, healthy, {1, 2, 4}, 3)) ==
        Disks{1, 2, 4});
}

TEST_CASE("Agreement: a daemon without a quorum says so") {
  FakePoolOptions options;
  options.workers_per_domain = 1;
  FakePool pool(options);
  WaitUntilServing(pool);
  CHECK(HasQuorum(pool.controls()[0].board.agreement, pool.now()));
  pool.KillControl(1);
  pool.KillControl(2);
  pool.Run(2 * kSecond);
  CHECK_FALSE(HasQuorum(pool.controls()[0].board.agreement, pool.now()));
  CHECK(pool.CountLogged("no_quorum") == 0);
  pool.Run(3 * kSecond);
  CHECK(pool.CountLogged("no_quorum") == 1);
  pool.StartControl(1);
  pool.Run(4 * kSecond);
  CHECK(pool.CountLogged("quorum_regained") == 1);
}

// The way out that docs/OPERATIONS.md describes.
TEST_CASE("Agreement: a deployment that lost two of three disks begins anew") {
  FakePool pool = PoolWithWipedVoter();
  pool.Run(100 * kMillisecond);
  pool.KillControl(1);
  pool.WipeDisk(1);
  pool.StartControl(1);
  pool.Run(6 * kSecond);
  REQUIRE_FALSE(HasQuorum(pool.controls()[0].board.agreement, pool.now()));
  for (size_t i = 0; i < 3; ++i) {
    pool.KillControl(i);
    pool.WipeDisk(i);
  }
  for (size_t i = 0; i < 3; ++i) {
    pool.StartControl(i, true);
  }
  pool.Run(2 * kSecond);
  ChangeResult result = ChangeResult::kUnknown;
  pool.ChangeConfiguration(0, kVersion + 1, &result);
  pool.Run(kSecond);
  CHECK(result == ChangeResult::kDurable);
  const int job = pool.Submit(0, {1, 60, 2000, 60});
  pool.Run(kSecond);
  CHECK(pool.answers().at(job).fate == wire::JOB_COMPLETED);
}

}  // namespace
}  // namespace goldcrest
