// Elections after a delay of the daemons themselves.

#include <algorithm>
#include <variant>

#include <catch2/catch.hpp>

#include "pool/agreement/agreement.h"
#include "pool/testing/pool_load.h"

namespace goldcrest {
namespace {

constexpr size_t kControls = 3;
// Longer than a follower waits for its leader.
constexpr Micros kDelay = 1300 * kMillisecond;
constexpr Micros kLaterWakeUp = 50 * kMillisecond;

FakePoolOptions SmallPool() {
  FakePoolOptions options;
  options.workers_per_domain = 1;
  return options;
}

bool AsksForVotes(const PoolActions& actions) {
  return std::any_of(actions.begin(), actions.end(), [](const auto& action) {
    const auto* send = std::get_if<SendMessage>(&action);
    return send != nullptr && send->message.has_vote_request();
  });
}

// Returns a message without a body of a control daemon.
wire::PoolMessage MessageOf(const FakeControl& control) {
  wire::PoolMessage message;
  message.set_from(control.address);
  message.set_incarnation(control.board.mesh.options.incarnation);
  return message;
}

// Returns a heartbeat of the leader of the agreement.
wire::PoolMessage HeartbeatOf(const FakeControl& leader) {
  wire::PoolMessage message = MessageOf(leader);
  const wire::StoredRegister& stored = leader.board.agreement.stored;
  wire::Append& append = *message.mutable_append();
  append.set_term(stored.term());
  append.set_leader(stored.store_id());
  append.set_last_term(stored.state().term());
  append.set_last_index(stored.state().index());
  append.set_commit_index(leader.board.agreement.committed_index);
  return message;
}

void PauseControls(FakePool& pool, bool paused) {
  for (FakeControl& control : pool.controls()) {
    control.paused = paused;
  }
}

// Guards against a daemon that takes its own delay for the silence of its
// leader. The delay is one of many events, so the process was not paused.
TEST_CASE(
    "Agreement: a late follower reads what has arrived before it stands for "
    "election") {
  const bool leader_is_silent = GENERATE(false, true);
  CAPTURE(leader_is_silent);
  FakePool pool(SmallPool());
  WaitUntilServing(pool);
  const size_t leader = LeaderOf(pool);
  const FakeControl& other = pool.controls()[(leader + 1) % kControls];
  PoolBoard& late = pool.controls()[(leader + 2) % kControls].board;
  PoolActions actions;
  StepTime now = {pool.now(), late.wall_ms};
  for (const Micros end = now.mono + kDelay; now.mono < end;
       now.mono += kMillisecond) {
    HandlePoolEvent(late, PoolMessageReceived{MessageOf(other)}, now, actions);
  }
  if (!leader_is_silent) {
    HandlePoolEvent(late,
                    PoolMessageReceived{HeartbeatOf(pool.controls()[leader])},
                    now, actions);
  }
  CHECK_FALSE(AsksForVotes(actions));
  HandlePoolEvent(late, PoolTimeAdvanced(), now, actions);
  CHECK(AsksForVotes(actions) == leader_is_silent);
}

TEST_CASE(
    "Agreement: a pause of all control daemons costs no leader, although the "
    "leader wakes up last") {
  // At each moment between two heartbeats of the leader.
  for (Micros at = 0; at < 100 * kMillisecond; at += 5 * kMillisecond) {
    CAPTURE(at);
    FakePool pool(SmallPool());
    WaitUntilServing(pool);
    pool.Run(at);
    const int won = pool.CountLogged("leadership_won");
    const int changes = pool.CountLogged("voters_changed");
    const size_t leader = LeaderOf(pool);
    PauseControls(pool, true);
    pool.Run(kDelay);
    PauseControls(pool, false);
    pool.controls()[leader].paused = true;
    pool.Run(kLaterWakeUp);
    PauseControls(pool, false);
    pool.Run(2 * kSecond);
    CHECK(pool.CountLogged("leadership_won") == won);
    CHECK(pool.CountLogged("voters_changed") == changes);
  }
}

TEST_CASE("Agreement: a leader that ends during a pause is replaced") {
  FakePool pool(SmallPool());
  WaitUntilServing(pool);
  const size_t leader = LeaderOf(pool);
  const int won = pool.CountLogged("leadership_won");
  PauseControls(pool, true);
  pool.Run(kDelay);
  pool.KillControl(leader);
  PauseControls(pool, false);
  pool.Run(2 * kSecond);
  CHECK(pool.CountLogged("leadership_won") == won + 1);
}

}  // namespace
}  // namespace goldcrest
