// What daemons conclude from updates about workers that others order.

#include "pool/handover.h"

#include <catch2/catch.hpp>

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

}  // namespace
}  // namespace goldcrest
