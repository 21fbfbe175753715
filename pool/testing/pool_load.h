#ifndef POOL_TESTING_POOL_LOAD_H_
#define POOL_TESTING_POOL_LOAD_H_

// Helpers of the tests that use a simulated deployment: waiting until it serves
// callers, a steady load, random faults, and the check of the invariants.

#include "pool/testing/fake_pool.h"

namespace goldcrest {

// Waits until all workers have an owner, then commits a configuration.
void WaitUntilServing(FakePool& pool);

// Submits a job every `gap` for `duration`, to each entry daemon in turn.
void SubmitLoad(FakePool& pool, Micros duration, Micros gap);

// Returns the index of the control daemon that is the leader of the agreement.
size_t LeaderOf(FakePool& pool);

// Fails the test if an invariant was violated.
void RequireNoViolation(const FakePool& pool);

// Injects crashes, pauses, network cuts, full disks and late orders at random.
// Checks the invariants throughout, and after a time without faults that all
// workers are ready and all jobs complete again. A job is submitted every
// `gap`.
void InjectRandomFaults(const FakePoolOptions& options,
                        Micros gap = 15 * kMillisecond);

}  // namespace goldcrest

#endif  // POOL_TESTING_POOL_LOAD_H_
