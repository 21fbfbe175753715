// The table of known workers.

#include "pool/workers/worker_table.h"

#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "pool/pool_step.h"
#include "pool/workers/worker_report.h"

namespace goldcrest {
namespace {

wire::WorkerNews Report(const std::string& id,
                        const std::string& address,
                        int64_t born_ms) {
  wire::WorkerNews report;
  report.set_id(id);
  report.set_address(address);
  report.set_service("bells");
  report.set_born_ms(born_ms);
  report.set_sequence(1);
  return report;
}

// Guards against reviews and reports that take longer the more workers there
// have ever been: a deployment replaces hundreds a second.
TEST_CASE("WorkerTable: workers that were replaced are forgotten") {
  PoolActions actions;
  PoolStartParams start;
  start.mesh.self = "self";
  PoolBoard board = MakePoolBoard(start, {kSecond, 2000}, actions);
  constexpr int kReplacements = 100;
  // Short enough not to count as a pause of the process.
  constexpr Micros kStep = 200 * kMillisecond;
  Micros now = kSecond;
  for (int i = 0; i <= kReplacements; ++i) {
    StepTime time;
    for (const Micros end = now + kSecond; now < end;) {
      now += kStep;
      time = {now, 2000 + now / kMillisecond};
      PoolStep(board, PoolTimeAdvanced(), time, actions);
    }
    PoolStep(board,
             WorkerReported{
                 Report("w" + std::to_string(i), "10.0.0.1:80", time.wall_ms)},
             time, actions);
  }
  const auto remembered =
      static_cast<size_t>(board.options.forget_gone_after / kSecond);
  CHECK(board.workers.size() <= remembered + 2);
  CHECK(board.workers.contains("w100"));
  // A late report of the last one before it is still known to be that.
  CHECK(board.workers.at("w99").status.gone());
}

// Guards against reports of ever more workers that exhaust the memory: they are
// not authenticated.
TEST_CASE("WorkerTable: the number of known workers is bounded") {
  PoolActions actions;
  PoolStartParams start;
  start.mesh.self = "self";
  start.options.max_known_workers = 3;
  PoolBoard board = MakePoolBoard(start, {kSecond, 2000}, actions);
  const StepTime now = {kSecond + 1, 2001};
  for (int i = 0; i < 10; ++i) {
    PoolStep(board,
             WorkerReported{
                 Report("w" + std::to_string(i), "10.0.0.1:80", 1000 + i)},
             now, actions);
  }
  CHECK(board.workers.size() == 3);
  CHECK(board.counters.workers_refused == 7);
  CHECK(MayKnowWorker(board, "w0"));
  CHECK_FALSE(MayKnowWorker(board, "w9"));
  // What is known of those that are known goes on changing.
  wire::WorkerNews moved = Report("w2", "10.0.0.2:80", 1002);
  moved.set_sequence(2);
  PoolStep(board, WorkerReported{moved}, now, actions);
  CHECK(board.workers.at("w2").status.address() == "10.0.0.2:80");
  PoolMessageReceived update;
  update.message.set_from("other");
  for (const char* id : {"w1", "w8"}) {
    *update.message.mutable_worker_news()->add_workers() =
        Report(id, "10.0.0.3:80", 3000);
  }
  PoolStep(board, update, now, actions);
  CHECK(board.workers.size() == 3);
  CHECK(board.workers.at("w1").status.address() == "10.0.0.3:80");
}

// The slow reference: looks at all workers.
std::vector<std::string> IdsAt(const PoolBoard& board,
                               const std::string& address) {
  std::vector<std::string> ids;
  for (const auto& [id, worker] : board.workers) {
    if (worker.status.address() == address) {
      ids.push_back(id);
    }
  }
  return ids;
}

TEST_CASE("WorkerTable: finds the workers at an address") {
  std::mt19937_64 random(7);
  PoolBoard board;
  PoolActions actions;
  Micros now = kSecond;
  for (int i = 0; i < 2000; ++i) {
    now += 100 * kMillisecond;
    board.wall_ms = 2000 + now / kMillisecond;
    const std::string address = "10.0.0." + std::to_string(random() % 10);
    ApplyReport(board,
                Report("w" + std::to_string(random() % 40), address,
                       board.wall_ms - static_cast<int64_t>(random() % 1000)),
                now, actions);
    ForgetGoneWorkers(board, now);
    std::vector<std::string> found;
    for (const PoolWorker* worker : WorkersAt(board, address)) {
      found.push_back(worker->status.id());
    }
    REQUIRE(found == IdsAt(board, address));
  }
}

}  // namespace
}  // namespace goldcrest
