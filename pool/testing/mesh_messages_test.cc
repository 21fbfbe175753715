// Messages between daemons for one event must grow with the number of daemons
// at most linearly: docs/design/pool.md, "Updates of workers".

#include <cstdint>
#include <string>

#include <catch2/catch.hpp>

#include "pool/testing/pool_load.h"

namespace goldcrest {
namespace {

// How many updates of a replaced worker each daemon receives at most.
constexpr int kMaxUpdates = 3;
// Messages to a single daemon, for each replaced worker: a report that is
// passed on to the owner.
constexpr int kMaxSingleMessages = 1;
constexpr size_t kReplacedWorkers = 60;

// Daemons and workers in each failure domain.
struct PoolSize {
  int domains = 0;
  int controls = 0;
  int entries = 0;
  int workers = 0;
};

FakePoolOptions OptionsOf(const PoolSize& size, Micros standby_after) {
  FakePoolOptions options;
  options.domains.clear();
  for (int i = 0; i < size.domains; ++i) {
    options.domains.push_back(std::string(1, static_cast<char>('a' + i)));
  }
  options.controls_per_domain = size.controls;
  options.entries_per_domain = size.entries;
  options.workers_per_domain = size.workers;
  options.features.standby_after = standby_after;
  return options;
}

// Lets all workers report within half a second, and waits until they have an
// owner.
void WaitUntilOwned(FakePool& pool) {
  Micros report_at = pool.now();
  const auto count = static_cast<Micros>(pool.workers().size());
  for (FakeWorker& worker : pool.workers()) {
    report_at += kSecond / 2 / count;
    worker.report_due = report_at;
  }
  pool.Run(2 * kSecond);
  REQUIRE(pool.ReadyWorkers() == static_cast<int>(count));
}

// The number of daemons that each update of a worker is sent to.
int CountReceivers(const PoolSize& size) {
  return size.domains * size.controls - 1 + size.entries;
}

// How a worker is replaced at its address.
struct Replacement {
  bool under_its_id = false;
  // Whether the new process reports first to the worker's owner, instead of to
  // any control daemon.
  bool reports_to_owner = false;
};

// Returns the messages between daemons for each worker that is replaced.
double MessagesPerReplacedWorker(FakePool& pool,
                                 const Replacement& replacement) {
  const Micros settling_time = 500 * kMillisecond;
  const uint64_t before = pool.CountEventMessages();
  const size_t step = pool.workers().size() / kReplacedWorkers;
  for (size_t i = 0; i < kReplacedWorkers; ++i) {
    FakeWorker& worker = pool.workers()[i * step];
    const std::string id = worker.status.id();
    const std::string owner = worker.report_to;
    pool.ReplaceWorker(i * step, replacement.under_its_id ? id : id + "-next");
    if (replacement.reports_to_owner) {
      worker.report_to = owner;
    }
    pool.Run(5 * kMillisecond);
  }
  pool.Run(settling_time);
  CHECK(pool.ReadyWorkers() >= static_cast<int>(pool.workers().size()));
  return static_cast<double>(pool.CountEventMessages() - before) /
         static_cast<double>(kReplacedWorkers);
}

void CheckMessages(const PoolSize& size, Micros standby_after) {
  FakePool pool(OptionsOf(size, standby_after));
  WaitUntilOwned(pool);
  const int bound = kMaxUpdates * CountReceivers(size) + kMaxSingleMessages;
  for (const Replacement& replacement :
       {Replacement{true, false}, Replacement{false, false},
        Replacement{true, true}, Replacement{false, true}}) {
    const double messages = MessagesPerReplacedWorker(pool, replacement);
    INFO(messages << " messages, " << CountReceivers(size)
                  << " receivers; same id " << replacement.under_its_id
                  << ", to owner " << replacement.reports_to_owner);
    CHECK(messages <= bound);
  }
}

// Guards against messages that grow with the square of the number of daemons
// (docs/incidents/replaced-workers-announced.md).
TEST_CASE("MeshMessages: a replaced worker costs each daemon a few updates") {
  const Micros quick_standby = 250 * kMillisecond;
  SECTION("6 daemons") {
    CheckMessages({3, 1, 1, 40}, GENERATE_COPY(Micros{0}, quick_standby));
  }
  SECTION("30 daemons, 24 of them control daemons") {
    CheckMessages({6, 4, 1, 40}, GENERATE_COPY(Micros{0}, quick_standby));
  }
  SECTION("150 daemons, 6 of them control daemons, and 1,000 workers") {
    CheckMessages({6, 1, 24, 167}, quick_standby);
  }
}

}  // namespace
}  // namespace goldcrest
