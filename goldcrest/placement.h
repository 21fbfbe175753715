#ifndef GOLDCREST_PLACEMENT_H_
#define GOLDCREST_PLACEMENT_H_

// Which queued task starts next, and on which worker.
//
// Queued tasks stand in lanes, one for each team and each need of memory and
// accelerators. Lanes that may start something are ordered by the priority of
// their head, then by whether the team is within its fair share, then by
// slack: the time by which the head has to start for its kind's objective.
// Within a job that order puts the longest tasks first, so that no long task
// is left for the end.
//
// The emptiest worker with room gets the task. Workers stand in an index by
// free slots, so a decision costs O(log workers + log lanes), apart from lanes
// whose need no free worker can meet, which a pass skips after one look.
//
// A task of a kind that may not be repeated starts only after its intent, the
// worker and the lease epoch it goes to, is recorded at the claim voters.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Puts a task of an active job into the queue.
void EnqueueTask(Blackboard& bb, Job& job, uint32_t index);

// Takes every queued task of `job` out of the queue.
void RemoveQueuedTasks(Blackboard& bb, Job& job);

// Takes one queued task out of the queue.
void RemoveQueuedTask(Blackboard& bb, Job& job, uint32_t index);

// Takes an active job's tasks out of the queue and gives back slots that were
// waiting for an intent, before the job is claimed again.
void SuspendTasks(Blackboard& bb, Job& job);

// Starts what can be started now.
void PlaceTasks(Blackboard& bb, Now now, Actions& actions);

// Sends a task to the worker that was chosen for it.
void SendStart(Blackboard& bb,
               Job& job,
               uint32_t index,
               Now now,
               Actions& actions);

// Takes a slot of `worker` for one start.
void TakeSlot(Blackboard& bb,
              const std::string& worker_key,
              const Job& job,
              uint32_t index,
              uint32_t attempt,
              Now now);

// Gives the slot of a start back. Does nothing for an unknown start.
void ReleaseSlot(Blackboard& bb, const std::string& start_key);

// Finds a worker with room for `shape`, never `avoid` if there is another.
// Returns its key in the worker table, or an empty string.
std::string PickWorker(const Blackboard& bb,
                       TaskShape shape,
                       bool idempotent,
                       const std::string& avoid,
                       Now now);

// Returns how many free slots a task of `priority` must leave to others.
int ReservedSlots(const Blackboard& bb, int64_t priority);

// Returns how long a task of `priority` is expected to wait for a slot.
Micros ExpectedWait(const Blackboard& bb, int64_t priority);

// Returns the slots that work of this VM can count on.
int CapacitySlots(const Blackboard& bb);

// Returns the slots of all reachable VMs of the domain.
int DomainSlots(const Blackboard& bb);

// Returns what a task needs of its worker.
TaskShape ShapeOf(const wire::Task& task);

// Removes lanes without tasks when there are many.
void DropEmptyLanes(Blackboard& bb);

// Brings a team's lanes up to date after its limits may have changed.
void RelistTeams(Blackboard& bb);

}  // namespace goldcrest

#endif  // GOLDCREST_PLACEMENT_H_
