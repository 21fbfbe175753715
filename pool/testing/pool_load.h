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

// Submits a job every `gap` for `duration`, to each entry daemon in turn: jobs
// of all queues, of 1 to 5 tasks with 4 to 11 cores.
void SubmitMixedLoad(FakePool& pool, Micros duration, Micros gap);

// What the daemons did under random faults. Daemons that were restarted since
// count no earlier starts.
struct FaultsOutcome {
  uint64_t starts_ahead = 0;
  int overload_refusals = 0;
};

// Injects crashes, pauses, network cuts, full disks and late orders at random.
// Checks the invariants throughout, and after a time without faults that all
// workers are ready and all jobs complete again. With `overloaded`, the load
// during the faults is mixed and exceeds the capacity.
FaultsOutcome InjectRandomFaults(const FakePoolOptions& options,
                                 bool overloaded = false);

}  // namespace goldcrest

#endif  // POOL_TESTING_POOL_LOAD_H_
