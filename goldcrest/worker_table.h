#ifndef GOLDCREST_WORKER_TABLE_H_
#define GOLDCREST_WORKER_TABLE_H_

// The table of the workers whose slots this VM may use, and its index by free
// slots.
//
// The slots of a worker are accounted for by one VM, the holder of its lease.
// Other VMs use only slots that this VM lends to them. Call ReindexWorker()
// after every change to a worker; it updates the index and the totals in O(log
// n).

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Returns the key of `worker` in the table, "name" or "name@lender".
std::string WorkerKey(const Worker& worker);

// Returns the worker with the key `key`, or null if there is none.
Worker* FindWorker(Blackboard& bb, const std::string& key);

// Adds `worker` under its key and returns the added entry.
Worker& AddWorker(Blackboard& bb, Worker worker);

// Updates the index and the totals after a change to `worker`.
void ReindexWorker(Blackboard& bb, Worker& worker);

// Removes the worker with the key `key`. No attempt of this VM may occupy a
// slot of it.
void RemoveWorker(Blackboard& bb, const std::string& key);

// Returns true if new tasks may be started on `worker`.
bool IsUsable(const Worker& worker);

// Counts the free slots by a pass over all workers. Tests compare the result
// with the total that is kept incrementally.
int CountFreeSlots(const Blackboard& bb);

}  // namespace goldcrest

#endif  // GOLDCREST_WORKER_TABLE_H_
