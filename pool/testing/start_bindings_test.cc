#include "pool/workers/start_bindings.h"

#include <catch2/catch.hpp>

#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

// Guards against a task that waits 13 s for a worker which does not come back.
TEST_CASE("StartBindings: a worker that another one has replaced binds none") {
  const TaskName task{"job", 0, 0, 0};
  PoolBoard board;
  PoolWorker& worker = board.workers["w"];
  worker.status.set_id("w");
  worker.session = SessionState::kReady;
  worker.session_number = 1;
  PoolActions actions;
  BindTask(board, task, "w", 9 * kSecond, actions);
  WorkerAnswer answer;
  answer.order.worker = "w";
  answer.order.session = 1;
  answer.order.kind = OrderKind::kRenew;
  answer.outcome = OrderOutcome::kOtherIncarnation;
  OnWorkerAnswer(board, answer, kSecond, actions);
  CHECK(FindBinding(board, task) == nullptr);
}

}  // namespace
}  // namespace goldcrest
