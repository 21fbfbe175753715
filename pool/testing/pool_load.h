#ifndef POOL_TESTING_POOL_LOAD_H_
#define POOL_TESTING_POOL_LOAD_H_

// What tests of a simulated deployment have in common: waiting until it
// serves, a steady load, and the check of what must never happen.

#include "pool/testing/fake_pool.h"

namespace goldcrest {

// Waits until all workers are ordered, and puts a configuration in force.
void Settle(FakePool& pool);

// A steady load for a while: each entry daemon gets a job every `gap`.
void Load(FakePool& pool, Micros duration, Micros gap);

// Returns which control daemon leads the agreement.
size_t LeaderOf(FakePool& pool);

// Fails the test when a promise was broken.
void RequireNoViolation(const FakePool& pool);

}  // namespace goldcrest

#endif  // POOL_TESTING_POOL_LOAD_H_
