#ifndef GOLDCREST_PLACEMENT_H_
#define GOLDCREST_PLACEMENT_H_

// Placement: decides which queued task starts next, and on which worker.
//
// Queued tasks are grouped into lanes, one for each team and each combination
// of required memory and accelerators. Lanes from which a task may start are
// ordered by the priority of their first task, then by whether the team is
// within its fair share, then by the latest time at which the first task has to
// start to meet the latency objective of its kind. Within a job this order puts
// the longest tasks first, so that no long task is left for the end.
//
// The task is placed on the worker with the most free slots that has the
// resources. Workers are indexed by free slots, so a decision costs O(log
// workers + log lanes), apart from lanes whose required resources no free
// worker has; a pass skips those after one search.
//
// A task of a non-idempotent kind starts only after its intent, the worker and
// the lease epoch of the attempt, is recorded at the claim voters.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Adds a task of an active job to the queue.
void EnqueueTask(Blackboard& bb, Job& job, uint32_t index);

// Removes every queued task of `job` from the queue.
void RemoveQueuedTasks(Blackboard& bb, Job& job);

// Removes one queued task from the queue.
void RemoveQueuedTask(Blackboard& bb, Job& job, uint32_t index);

// Removes the tasks of an active job from the queue and releases the slots
// whose attempts wait for a recorded intent, before the job is claimed again.
void SuspendTasks(Blackboard& bb, Job& job);

// Starts the queued tasks that can be started now.
void PlaceTasks(Blackboard& bb, StepTime now, Actions& actions);

// Starts a task on the worker of its current attempt.
void SendStart(Blackboard& bb,
               Job& job,
               uint32_t index,
               StepTime now,
               Actions& actions);

// Occupies a slot of the worker `worker_key` for one attempt.
void TakeSlot(Blackboard& bb,
              const std::string& worker_key,
              const Job& job,
              uint32_t index,
              uint32_t attempt,
              StepTime now);

// Releases the slot of the attempt with the key `attempt_key`. Does nothing if
// there is no such attempt.
void ReleaseSlot(Blackboard& bb, const std::string& attempt_key);

// Picks a worker with a free slot and the resources that `shape` requires; the
// worker called `avoid` only if there is no other. Returns its key in the
// worker table, or an empty string.
std::string PickWorker(const Blackboard& bb,
                       TaskShape shape,
                       bool idempotent,
                       const std::string& avoid,
                       StepTime now);

// Returns the number of free slots that a task of `priority` must leave for
// more urgent tasks.
int ReservedSlots(const Blackboard& bb, int64_t priority);

// Returns the expected time that a task of `priority` waits for a slot.
Micros ExpectedWait(const Blackboard& bb, int64_t priority);

// Returns the number of slots that tasks of this VM can use: its leased slots,
// or those of its domain if it has none.
int CapacitySlots(const Blackboard& bb);

// Returns the number of slots of all reachable VMs of the domain.
int DomainSlots(const Blackboard& bb);

// Returns the resources that `task` requires of its worker.
TaskShape ShapeOf(const wire::Task& task);

// Removes the lanes without tasks if there are many lanes.
void DropEmptyLanes(Blackboard& bb);

// Updates the ready lanes of all teams after the limits of the teams may have
// changed.
void UpdateReadyLanes(Blackboard& bb);

}  // namespace goldcrest

#endif  // GOLDCREST_PLACEMENT_H_
