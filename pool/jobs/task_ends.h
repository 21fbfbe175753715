#ifndef POOL_JOBS_TASK_ENDS_H_
#define POOL_JOBS_TASK_ENDS_H_

// What the end of a run means for its task and its job: the task is done, is
// started again, or its job has failed. run_ends.h decides when a run is over.

#include "pool/pool_board.h"

namespace goldcrest {

class RunEndProof;

// Handles the end of an attempt that `proof` has shown (run_ends.h).
// `never_ran` means that the attempt certainly never started.
void OnAttemptEnded(PoolBoard& board,
                    PoolWorker& worker,
                    const TaskName& name,
                    const WorkerAttempt& run,
                    const RunEndProof& proof,
                    bool never_ran,
                    Micros now,
                    PoolActions& actions);

// Handles the late report that an attempt was done which this daemon had
// counted as ended, because its worker had not answered until its lease
// expired, or that it had never begun. The task is done and is not started
// again; a new attempt on the same worker is stopped.
void OnLateCompletion(PoolBoard& board,
                      PoolWorker& worker,
                      const TaskName& name,
                      uint32_t run,
                      Micros now,
                      PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_JOBS_TASK_ENDS_H_
