#include "pool/testing/pool_load.h"

#include <catch2/catch.hpp>

namespace goldcrest {

void WaitUntilServing(FakePool& pool) {
  pool.Run(3 * kSecond);
  ChangeResult result = ChangeResult::kUnknown;
  pool.ChangeConfiguration(0, 5, &result);
  pool.Run(kSecond);
  REQUIRE(result == ChangeResult::kDurable);
}

void SubmitLoad(FakePool& pool, Micros duration, Micros gap) {
  const Micros until = pool.now() + duration;
  size_t entry = 0;
  while (pool.now() < until) {
    pool.Submit(entry++ % pool.entries().size(), 4, 60, 2000);
    pool.Run(gap);
  }
}

size_t LeaderOf(FakePool& pool) {
  size_t leader = 0;
  for (size_t i = 0; i < pool.controls().size(); ++i) {
    const Agreement& agreement = pool.controls()[i].board.agreement;
    leader = agreement.role == AgreementRole::kLeader ? i : leader;
  }
  return leader;
}

void RequireNoViolation(const FakePool& pool) {
  for (const std::string& violation : pool.violations()) {
    FAIL(violation);
  }
  CHECK(pool.CountRefusedAfterStart() == 0);
}

}  // namespace goldcrest
