#ifndef GOLDCREST_WORKER_TABLE_H_
#define GOLDCREST_WORKER_TABLE_H_

// The workers whose slots this VM may use, and their index by free slots.
//
// A worker's slots have one accountant: the VM that holds its lease. Others
// use them only through slots that it lends. Call ReindexWorker() after every
// change to a worker; it keeps the index and the totals right in O(log n).

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Returns the key of `worker` in the table.
std::string WorkerKey(const Worker& worker);

// Returns the worker with `key`, or null.
Worker* FindWorker(Blackboard& bb, const std::string& key);

// Adds a worker under its key and returns it.
Worker& AddWorker(Blackboard& bb, Worker worker);

// Brings the index and the totals up to date with `worker`.
void ReindexWorker(Blackboard& bb, Worker& worker);

// Removes the worker with `key`, which must hold no slot of this VM.
void RemoveWorker(Blackboard& bb, const std::string& key);

// Says whether new tasks may go to `worker`.
bool IsUsable(const Worker& worker);

// Counts again, slowly, what the index and totals keep incrementally. Tests
// compare the two.
int CountFreeSlots(const Blackboard& bb);

}  // namespace goldcrest

#endif  // GOLDCREST_WORKER_TABLE_H_
