// A random search for histories in which a run ends without proof, or an order
// that must arrive does not:
//
//   run_search_test --seeds 20000 --first_seed 1     # a long search
//   run_search_test --seeds 1 --first_seed 7 --trace # one history, with logs

#include <iostream>

#include <catch2/catch.hpp>

#include "goldcrest/testing/test_options.h"
#include "pool/testing/run_history.h"

namespace goldcrest {
namespace {

// Number of seeds that run without --seeds.
constexpr uint64_t kDefaultSeeds = 400;

std::string Joined(const std::vector<std::string>& texts) {
  std::string joined;
  for (const std::string& text : texts) {
    joined += (joined.empty() ? "" : ", ") + text;
  }
  return joined;
}

// Guards against two runs of a task at once, sound jobs shown as failed, jobs
// that go on after their cancelling was confirmed, and tasks that start on a
// draining worker, under troubles in any order.
TEST_CASE("Runs: random histories break no rule") {
  const TestOptions& options = Options();
  const uint64_t seeds = options.seeds == 0 ? kDefaultSeeds : options.seeds;
  int runs = 0;
  for (uint64_t i = 0; i < seeds; ++i) {
    const uint64_t seed = options.first_seed + i;
    const HistoryResult result = PlayHistory(seed, options.trace);
    runs += result.runs;
    if (!result.violations.empty()) {
      std::cout << "seed " << seed << " (" << Joined(result.troubles)
                << "): " << result.violations.front() << '\n';
    }
    CHECK(result.violations.empty());
  }
  // Guards against a load that starts nothing.
  CHECK(runs > static_cast<int>(seeds));
}

}  // namespace
}  // namespace goldcrest
