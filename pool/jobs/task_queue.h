#ifndef POOL_JOBS_TASK_QUEUE_H_
#define POOL_JOBS_TASK_QUEUE_H_

// The queue of tasks that wait for a worker, and the tasks that are held out of
// it since an earlier run of them may not be over.

#include <cstdint>

#include "pool/pool_board.h"

namespace goldcrest {

// Adds the tasks of all steps that can start now to the queue.
void QueueUnblockedTasks(PoolBoard& board, PoolJob& job);

// Adds a task to the queue of waiting tasks, or holds it if an earlier run of
// it may not be over.
void QueueTask(PoolBoard& board, PoolJob& job, uint32_t step, uint32_t index);

// Queues the task if it is held and no run of it is open any more.
void QueueHeldTask(PoolBoard& board, const TaskName& name);

// Holds the task if it waits to be started.
void HoldWaitingTask(PoolBoard& board, const TaskName& name);

// Removes the job's waiting tasks from the queue.
void RemoveFromQueue(PoolBoard& board, PoolJob& job);

// Returns the place of a task in the queue.
WaitingKey WaitingKeyOf(const PoolJob& job, uint32_t step, uint32_t index);

// Moves the job's waiting tasks to the place in the queue for `lateness` and
// `rank`.
void MoveInQueue(PoolBoard& board,
                 PoolJob& job,
                 ExpectedLateness lateness,
                 QueueRank rank);

}  // namespace goldcrest

#endif  // POOL_JOBS_TASK_QUEUE_H_
