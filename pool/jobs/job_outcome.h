#ifndef POOL_JOBS_JOB_OUTCOME_H_
#define POOL_JOBS_JOB_OUTCOME_H_

// The outcome of a job, which the daemon that had the job sends to the entry
// daemon that waits for it, until that has answered or waits no longer.

#include <cstdint>
#include <string>

#include "pool/pool_board.h"

namespace goldcrest {

struct JobOutcome {
  wire::JobFate fate = wire::JOB_FATE_UNSPECIFIED;
  std::string reason;
  int64_t retry_after_ms = 0;  // of a refused job
  // Refused for a reason specific to this daemon.
  bool try_elsewhere = false;
  // When the entry daemon has answered the caller itself.
  Micros deadline = 0;
};

// Sends the outcome of an order to the entry daemon that has sent the order.
void SendOutcome(PoolBoard& board,
                 const wire::JobOrder& order,
                 const JobOutcome& outcome,
                 Micros now,
                 PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_JOBS_JOB_OUTCOME_H_
