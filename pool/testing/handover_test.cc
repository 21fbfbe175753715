// What daemons conclude from updates about workers that others order.

#include "pool/workers/handover.h"

#include <catch2/catch.hpp>

#include "pool/workers/worker_ownership.h"

namespace goldcrest {
namespace {

// Guards against claiming a worker because of an outdated copy, while its owner
// is unknown.
TEST_CASE("Handover: a third daemon's copy counts only before a refusal") {
  PoolBoard board;
  board.options.features.standby_after = 250 * kMillisecond;
  PoolWorker worker;
  worker.status.set_owner("owner");
  worker.status.set_token(5);
  wire::WorkerNews row;
  row.set_token(6);
  CHECK(ReportsRelease(board, "third", row, worker));
  worker.fenced_at = kSecond;
  CHECK_FALSE(ReportsRelease(board, "third", row, worker));
  CHECK(ReportsRelease(board, "owner", row, worker));
  row.set_owner("another");
  CHECK_FALSE(NamesPresentOwner(board, "third", row));
  CHECK(NamesPresentOwner(board, "another", row));
}

void AddControl(PoolBoard& board, const std::string& address, Micros now) {
  MeshMember& member = board.mesh.members[address];
  member.address = address;
  member.incarnation = 1;
  member.last_received_at = now;
  member.last_heartbeat.set_control(true);
}

// Guards against a storm of messages: a daemon that looks for the owner of a
// worker asks all control daemons, and each of them told all others.
TEST_CASE("Handover: only the requester is told that its data is outdated") {
  PoolBoard board;
  for (const char* address : {"a", "b", "c"}) {
    AddControl(board, address, kSecond);
  }
  wire::WorkerRequest request;
  for (const char* id : {"w1", "w2"}) {
    board.workers[id].status.set_id(id);
    board.workers[id].status.set_owner("c");
    request.add_ids(id);
  }
  PoolActions actions;
  OnHandoverRequest(board, "a", request, kSecond, actions);
  REQUIRE(actions.size() == 1);
  const auto& answer = std::get<SendMessage>(actions.front());
  CHECK(answer.to == "a");
  CHECK(answer.message.worker_news().workers_size() == 2);
}

}  // namespace
}  // namespace goldcrest
