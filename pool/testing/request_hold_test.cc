// Tests of the decision to hold requests at the beginning of an outage.

#include <catch2/catch.hpp>

#include "pool/entry/request_hold.h"

namespace goldcrest {
namespace {

constexpr char kControl[] = "10.0.0.2:7720";
constexpr Micros kHold = 400 * kMillisecond;

EntryBoard BoardThatHolds() {
  EntryOptions options;
  options.hold_requests = kHold;
  return MakeEntryBoard(options, MeshOptions());
}

// Makes the board able to serve at `now`.
void AddControl(EntryBoard& board, Micros now) {
  board.routing.set_version(1);
  MeshMember& control = board.pool.mesh.members[kControl];
  control.address = kControl;
  control.last_received_at = now;
  control.last_heartbeat.set_control(true);
  control.last_heartbeat.mutable_load()->set_workers(1);
}

bool HoldsAt(const EntryBoard& board,
             OutageClock& outage,
             Micros received_at,
             Micros now) {
  UpdateOutage(outage, board, now);
  return ShouldHold(outage, board, received_at, now);
}

// Guards against refusing the requests of the first moments after a restart of
// all daemons, and against holding them without bound.
TEST_CASE(
    "ShouldHold: holds at the start, for a bounded time, until it can serve") {
  EntryBoard board = BoardThatHolds();
  OutageClock outage;
  CHECK(HoldsAt(board, outage, kSecond, kSecond));
  CHECK(HoldsAt(board, outage, kSecond, kSecond + kHold - 1));
  CHECK_FALSE(HoldsAt(board, outage, kSecond, kSecond + kHold));
  AddControl(board, kSecond + kHold);
  CHECK_FALSE(HoldsAt(board, outage, kSecond + kHold, kSecond + kHold));
}

// Guards against delaying refusals when nothing tells when the outage will end.
TEST_CASE("ShouldHold: refuses at once when the outage has lasted long") {
  EntryBoard board = BoardThatHolds();
  OutageClock outage;
  CHECK(HoldsAt(board, outage, kSecond, kSecond));
  const Micros later = 3 * kSecond;
  CHECK_FALSE(HoldsAt(board, outage, later, later));
  // A new outage after an interval of service is held again.
  AddControl(board, later);
  CHECK_FALSE(HoldsAt(board, outage, later, later));
  const Micros lost = later + kSecond;
  CHECK(HoldsAt(board, outage, lost, lost));
}

// Guards against holding requests that a daemon cannot serve any more: one that
// drains, or that has just been paused for an unknown time.
TEST_CASE("ShouldHold: holds nothing while draining, paused or switched off") {
  EntryBoard board = BoardThatHolds();
  OutageClock outage;
  board.draining = true;
  CHECK_FALSE(HoldsAt(board, outage, kSecond, kSecond));
  board.draining = false;
  board.refuse_until = 2 * kSecond;
  CHECK_FALSE(HoldsAt(board, outage, kSecond, kSecond));
  EntryBoard off = MakeEntryBoard(EntryOptions(), MeshOptions());
  CHECK_FALSE(HoldsAt(off, outage, kSecond, kSecond));
}

// Guards against a caller's timeout that starts anew when a held request is
// passed on: the job could start after its caller has left.
TEST_CASE("EntryStep: the time for which a request was held counts") {
  EntryBoard board = BoardThatHolds();
  AddControl(board, kSecond);
  wire::Queue& queue = *board.routing.add_queues();
  queue.set_host("bells.example");
  queue.set_path_prefix("/bells/");
  CallerJob job;
  job.token = 7;
  job.queue = "bells.example:/bells/";
  job.job_id = "job";
  job.caller_timeout_ms = 1000;
  job.held_for = 300 * kMillisecond;
  PoolActions actions;
  EntryStep(board, job, {kSecond, 0}, actions);
  REQUIRE(board.pending.size() == 1);
  CHECK(board.pending.begin()->second.message.budget_ms() == 700);
  CHECK(board.pending.begin()->second.message.waited_ms() == 300);
}

}  // namespace
}  // namespace goldcrest
