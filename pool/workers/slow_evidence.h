#ifndef POOL_WORKERS_SLOW_EVIDENCE_H_
#define POOL_WORKERS_SLOW_EVIDENCE_H_

// Decides whether an attempt that takes too long is due to its worker.
//
// An attempt may take long because its worker is slow, or because its job takes
// longer than estimated; where 3% of the jobs take seven times as long, most
// such attempts are the job's own. All tasks of a step share the error of its
// estimate, so the tasks of the same step on other workers tell the two cases
// apart. A worker counts as slow only on evidence from several attempts of
// different jobs, or when an attempt makes no progress at all.

#include <string>
#include <string_view>

#include "pool/pool_board.h"
#include "pool/workers/stragglers.h"

namespace goldcrest {

// What one straggler tells about its worker.
enum class StragglerCause : uint8_t {
  kOpen,      // not known yet: the step's other tasks have to run a bit longer
  kJob,       // the step's tasks take long on other workers, too
  kPossibly,  // no other worker runs tasks of the step
  kWorker,    // the step's tasks are clearly faster on other workers
  kNoProgress,  // the attempt makes no progress
};

// Returns the name of a cause, for logs.
std::string_view ToString(StragglerCause cause);

// Returns the cause for which an attempt with this progress takes long.
StragglerCause CauseOf(const PoolBoard& board,
                       const PoolJob& job,
                       const TaskName& name,
                       const PoolWorker& worker,
                       const AttemptProgress& progress,
                       Micros now);

// Adds a straggler of the given job to the evidence about its worker. Returns
// whether there is enough of it for the worker to count as slow.
bool AddSlowEvidence(WorkerHealth& health,
                     StragglerCause cause,
                     const std::string& job_id);

}  // namespace goldcrest

#endif  // POOL_WORKERS_SLOW_EVIDENCE_H_
