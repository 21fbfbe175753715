#ifndef POOL_PLACEMENT_PLACEMENT_START_H_
#define POOL_PLACEMENT_PLACEMENT_START_H_

// The start of a waiting task, and what forbids it; internal to the two ways of
// placement (pool_placement.cc, placement_lookahead.cc).

#include <cstdint>

#include "pool/pool_board.h"

namespace goldcrest::detail {

// Placement stops after this many waiting tasks without a start permission; the
// rest of the queue waits for the next placement.
inline constexpr int kMaxUnpermittedTasks = 200;

// What the crashes of workers mean for a waiting task.
enum class CrashVerdict : uint8_t {
  kNone,      // it may start like any other
  kWait,      // it is a suspect, or the crash limit of its queue holds it
  kJobEnded,  // its job was refused
};

// Starts a task, which must have been taken from the queue, on a worker.
// `ahead`: a task that fits on the worker comes earlier in the queue.
void StartTaskOn(PoolBoard& board,
                 PoolWorker& worker,
                 PoolJob& job,
                 const WaitingKey& key,
                 bool ahead,
                 Micros now,
                 PoolActions& actions);

// Returns whether the task may have crashed a worker (crash_ledger.h).
bool IsSuspectTask(const PoolBoard& board,
                   const PoolJob& job,
                   const WaitingKey& key);

// Ends a job whose next task cannot start in time: even half of its expected
// run time would end after the job's deadline. Returns false, and does nothing,
// if it still can.
bool EndIfTooLate(PoolBoard& board,
                  PoolJob& job,
                  const WaitingKey& key,
                  Micros now,
                  PoolActions& actions);

// Refuses an unstarted job that the crash limit of its queue delays beyond its
// deadline.
CrashVerdict CheckCrashLimit(PoolBoard& board,
                             PoolJob& job,
                             const WaitingKey& key,
                             Micros now,
                             PoolActions& actions);

// Starts waiting tasks by a plan that looks ahead (placement_plan.h).
void PlaceWithLookahead(PoolBoard& board, Micros now, PoolActions& actions);

}  // namespace goldcrest::detail

#endif  // POOL_PLACEMENT_PLACEMENT_START_H_
