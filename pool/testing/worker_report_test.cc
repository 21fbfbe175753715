// What workers' reports change, in whatever order they arrive.

#include "pool/workers/worker_report.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace goldcrest {
namespace {

wire::WorkerNews Report(uint64_t sequence, bool leaving) {
  wire::WorkerNews report;
  report.set_id("w");
  report.set_address("10.0.0.1:80");
  report.set_service("bells");
  report.set_cpu_millis(16'000);
  report.set_born_ms(1000);
  report.set_sequence(sequence);
  report.set_leaving(leaving);
  return report;
}

// Guards against tasks that start on a draining worker (hidden_drain of the
// review): a report of another writer with a large sequence number hid the
// worker's own report that it drains.
TEST_CASE(
    "WorkerReport: a worker that drains does so until it ends, whatever "
    "the sequence of its report") {
  PoolBoard board;
  PoolActions actions;
  ApplyReport(board, Report(1, false), 1, actions);
  ApplyReport(board, Report(1'000'000, false), 2, actions);
  CHECK(ApplyReport(board, Report(2, true), 3, actions));
  CHECK(board.workers.at("w").status.leaving());
  // A late report from before the drain.
  ApplyReport(board, Report(1'000'001, false), 4, actions);
  CHECK(board.workers.at("w").status.leaving());
  // The next process of the worker does not drain.
  wire::WorkerNews next = Report(1, false);
  next.set_born_ms(2000);
  CHECK(ApplyReport(board, next, 5, actions));
  CHECK_FALSE(board.workers.at("w").status.leaving());
}

// Guards against a storm of messages: each daemon told all others of each
// worker that was replaced at its address.
TEST_CASE(
    "WorkerReport: a replaced worker is not announced by those without a "
    "session with it") {
  PoolBoard board;
  MeshMember& other = board.mesh.members["10.0.0.2:7720"];
  other.address = "10.0.0.2:7720";
  other.incarnation = 1;
  other.last_received_at = kSecond;
  other.last_heartbeat.set_control(true);
  PoolActions actions;
  ApplyReport(board, Report(1, false), kSecond, actions);
  wire::WorkerNews successor = Report(1, false);
  successor.set_id("w2");
  successor.set_born_ms(2000);
  ApplyReport(board, successor, kSecond, actions);
  CHECK(board.workers.at("w").status.gone());
  CHECK(std::none_of(actions.begin(), actions.end(),
                     [](const PoolAction& action) {
                       return std::holds_alternative<SendMessage>(action);
                     }));
}

}  // namespace
}  // namespace goldcrest
