#ifndef POOL_POOL_CHOICE_H_
#define POOL_POOL_CHOICE_H_

// Choice of the pool for a job, by an entry daemon or by a control daemon that
// forwards it.
//
// Many daemons choose at the same time from loads that are up to 350 ms old, so
// a pool is chosen at random with a weight, not as the best one: all of them
// would choose the same pool. The random number is a hash of the deciding
// daemon, the job and the pool, which keeps the decision reproducible.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pool/load_report.h"
#include "pool/mesh.h"

namespace goldcrest {

// A pool as a candidate for one job.
struct PoolOffer {
  bool holds_at_once = false;  // can start all initial tasks of the job now
  bool own_domain = false;     // in the failure domain of the deciding daemon
  int64_t spare_tasks = 0;     // that would fit there besides the job
  int64_t wait_ms = 0;         // expected wait for the job's priority
  int64_t capacity_cpu_millis = 0;
  double random = 0.5;  // greater than 0 and less than 1
};

// Returns the offer of the control daemon `member` for the job with this id to
// the daemon with the options `self`.
PoolOffer MakePoolOffer(const MeshMember& member,
                        const InitialTasks& initial,
                        int32_t priority,
                        const MeshOptions& self,
                        const std::string& job_id);

// Returns the index of the chosen pool: one that can start the job at once, by
// its spare capacity, of the own failure domain if there is one. If no pool
// can, one with a short wait; a pool of another failure domain only if its wait
// is shorter by more than the cost of the transfer. Returns nullopt if there
// are no offers.
std::optional<size_t> ChoosePool(const std::vector<PoolOffer>& offers);

}  // namespace goldcrest

#endif  // POOL_POOL_CHOICE_H_
