// How an entry daemon follows a job that its control daemon forwards.

#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "pool/entry.h"
#include "pool/job_forwarding.h"

namespace goldcrest {
namespace {

// Messages of different senders arrive in any order.
TEST_CASE("EntryStep: a move returns the start permission, in any order") {
  PendingJob job;
  job.start_permitted = true;
  wire::JobMoved first;
  first.set_moves(1);
  first.set_to("b");
  wire::JobMoved second;
  second.set_moves(2);
  second.set_to("c");
  CHECK(ApplyJobMoved(job, second, "b", kSecond));
  CHECK_FALSE(job.start_permitted);
  CHECK(job.transfer_since == kSecond);
  CHECK_FALSE(ApplyJobMoved(job, first, "a", kSecond));
  CHECK_FALSE(ApplyJobMoved(job, first, "b", kSecond));
  CHECK(ApplyJobMoved(job, second, "c", kSecond));
  CHECK(job.transfer_since == 0);
  // The permission of the present control daemon stays.
  job.start_permitted = true;
  CHECK_FALSE(ApplyJobMoved(job, second, "b", kSecond));
  CHECK(ApplyJobMoved(job, second, "c", kSecond));
  CHECK(job.start_permitted);
}

// Returns the board of an entry daemon of incarnation 7 with job "job", sent to
// control daemon "a" of these. All of them have incarnation 5.
EntryBoard BoardWithPendingJob(const std::vector<std::string>& controls,
                               bool move_waiting_jobs = true) {
  EntryOptions options;
  options.features.move_waiting_jobs = move_waiting_jobs;
  MeshOptions mesh;
  mesh.self = "entry";
  mesh.incarnation = 7;
  EntryBoard board = MakeEntryBoard(options, mesh);
  for (const std::string& address : controls) {
    MeshMember& member = board.pool.mesh.members[address];
    member.address = address;
    member.last_heartbeat_at = kSecond;
    member.last_heartbeat.set_control(true);
    member.last_heartbeat.mutable_load()->set_workers(1);
    member.incarnation = 5;
    member.last_received_at = kSecond;
  }
  PendingJob& job = board.pending[1];
  job.order_number = 1;
  job.job_id = "job";
  job.message.set_order(1);
  job.control_address = "a";
  job.control_incarnation = 5;
  job.received_at = kSecond;
  job.deadline = 10 * kSecond;
  board.next_order = 2;
  board.pool.last_step_at = kSecond;
  return board;
}

PoolActions Receive(EntryBoard& board,
                    const std::string& from,
                    wire::PoolMessage message,
                    uint64_t incarnation = 5) {
  message.set_from(from);
  message.set_incarnation(incarnation);
  PoolActions actions;
  EntryStep(board, EntryMessageReceived{message}, {kSecond, 0}, actions);
  return actions;
}

wire::PoolMessage MovedTo(const std::string& to, uint32_t moves) {
  wire::PoolMessage message;
  wire::JobMoved& moved = *message.mutable_job_moved();
  moved.set_order(1);
  moved.set_to(to);
  moved.set_moves(moves);
  moved.set_job_id("job");
  moved.set_entry_incarnation(7);
  return message;
}

wire::PoolMessage AskFor(uint32_t moves) {
  wire::PoolMessage message;
  message.mutable_job_ask()->set_order(1);
  message.mutable_job_ask()->set_job_id("job");
  message.mutable_job_ask()->set_moves(moves);
  return message;
}

void Advance(EntryBoard& board, Micros now) {
  for (auto& [address, member] : board.pool.mesh.members) {
    member.last_received_at = now;
    member.last_heartbeat_at = now;
  }
  PoolActions actions;
  EntryStep(board, EntryTimeAdvanced{}, {now, 0}, actions);
}

// A restarted entry daemon uses the same order numbers, and a message about
// the job of its earlier incarnation made it send another job again.
TEST_CASE("EntryStep: a move of another job is ignored") {
  EntryBoard board = BoardWithPendingJob({"a", "b"});
  wire::PoolMessage other = MovedTo("b", 1);
  other.mutable_job_moved()->set_job_id("other");
  Receive(board, "a", other);
  other = MovedTo("b", 1);
  other.mutable_job_moved()->set_entry_incarnation(6);
  Receive(board, "a", other);
  CHECK(board.pending.at(1).control_address == "a");
  Receive(board, "a", MovedTo("b", 1));
  CHECK(board.pending.at(1).control_address == "b");
}

// A confirmation that was sent before the receiver restarted kept the job at a
// daemon that does not hold it.
TEST_CASE("EntryStep: a confirmation of an earlier incarnation is ignored") {
  EntryBoard board = BoardWithPendingJob({"a", "b"});
  Receive(board, "a", MovedTo("b", 1));
  Receive(board, "b", MovedTo("b", 1), 4);
  CHECK(board.pending.at(1).transfer_since == kSecond);
  // It is newer than the known incarnation.
  Receive(board, "b", MovedTo("b", 1), 6);
  CHECK(board.pending.at(1).transfer_since == 0);
  CHECK(board.pending.at(1).control_incarnation == 6);
}

// Two daemons held the same order, and both were permitted to start it.
TEST_CASE("EntryStep: a second daemon gets no permission for the same move") {
  EntryBoard board = BoardWithPendingJob({"a", "b"});
  Receive(board, "a", AskFor(0));
  REQUIRE(board.pending.at(1).start_permitted);
  int permits = 0;
  int cancels = 0;
  for (const PoolAction& action : Receive(board, "b", AskFor(0))) {
    if (const auto* sent = std::get_if<SendMessage>(&action)) {
      permits += sent->message.has_job_go() ? 1 : 0;
      cancels += sent->message.has_job_cancel() && sent->to == "b" ? 1 : 0;
    }
  }
  CHECK(permits == 0);
  CHECK(cancels == 1);
  CHECK(board.pending.at(1).control_address == "a");
  // Its answer to the cancellation does not end the job.
  wire::PoolMessage end;
  end.mutable_job_end()->set_order(1);
  end.mutable_job_end()->set_fate(wire::JOB_CANCELLED);
  Receive(board, "b", end);
  CHECK(board.pending.contains(1));
  Receive(board, "a", end);
  CHECK(board.pending.empty());
}

// Each new order number allowed two more moves.
TEST_CASE("EntryStep: a job that is sent again keeps the number of its moves") {
  EntryBoard board = BoardWithPendingJob({"a", "b", "c"});
  Receive(board, "a", MovedTo("b", 1));
  Advance(board, kSecond + 250 * kMillisecond);
  REQUIRE(board.pending.contains(2));
  CHECK(board.pending.at(2).message.moves() == 0);
  CHECK(MovesOf(board.pending.at(2).message) == 1);
}

// A job was refused although its receiver was reachable and may have held it.
TEST_CASE("EntryStep: an unconfirmed job is kept if no daemon could take it") {
  EntryBoard board = BoardWithPendingJob({"b"});
  Receive(board, "a", MovedTo("b", 1));
  const Micros later = kSecond + 250 * kMillisecond;
  Advance(board, later);
  REQUIRE(board.pending.contains(1));
  CHECK(board.pending.at(1).transfer_since == later);
}

// Confirmations wait in the sockets during a pause of the process, and all
// forwarded jobs were sent again after it.
TEST_CASE("EntryStep: a pause does not count as time without confirmation") {
  EntryBoard board = BoardWithPendingJob({"a", "b", "c"});
  Receive(board, "a", MovedTo("b", 1));
  const Micros pause = 600 * kMillisecond;
  Advance(board, kSecond + pause);
  REQUIRE(board.pending.contains(1));
  CHECK(board.pending.at(1).transfer_since == kSecond + pause);
}

TEST_CASE("EntryStep: without the feature, no confirmation is awaited") {
  EntryBoard board = BoardWithPendingJob({"a", "b", "c"}, false);
  Receive(board, "a", MovedTo("b", 1));
  CHECK(board.pending.at(1).control_address == "b");
  Advance(board, kSecond + 250 * kMillisecond);
  CHECK(board.pending.contains(1));
}

}  // namespace
}  // namespace goldcrest
