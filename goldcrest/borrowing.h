#ifndef GOLDCREST_BORROWING_H_
#define GOLDCREST_BORROWING_H_

// Lending of free slots between entry VMs.
//
// A VM with queued tasks and no free slots sends a borrow request to a VM of
// its domain that has some. That VM keeps the request for a short time, and
// lends slots of single workers when they are free and its own queue is not
// more urgent. The borrower starts tasks on them itself, so that the payload
// and the answer of a task need no second hop and the recorded intent names the
// worker. It returns a slot when it has no task for it, or after a fixed time.
//
// A VM of another domain also gets a request, for idempotent tasks, if it last
// reported more free slots than the quarter that it reserves for its own
// domain. Non-idempotent tasks are sent there only if no worker of the own
// domain is reachable.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Sends borrow requests if queued tasks can't start on the slots of this VM,
// and withdraws the requests if the queue is empty.
void UpdateBorrowRequests(Blackboard& bb, StepTime now, Actions& actions);

// Lends free slots to the VMs with pending borrow requests.
void ServeBorrowers(Blackboard& bb, StepTime now, Actions& actions);

// Returns borrowed slots to their lenders: free ones whose borrow time has
// passed or that were recalled, and all free ones if `all` is set.
void ReturnIdleSlots(Blackboard& bb, bool all, StepTime now, Actions& actions);

// Records or, with 0 slots, withdraws the borrow request of the VM `from`.
void OnBorrowSlots(Blackboard& bb,
                   const std::string& from,
                   const wire::BorrowSlots& request,
                   StepTime now);

// Adds slots that the VM `from` lends to this VM, or handles their recall.
void OnSlotGrant(Blackboard& bb,
                 const std::string& from,
                 const wire::SlotGrant& grant,
                 StepTime now,
                 Actions& actions);

// Handles slots that the borrower `from` returns.
void OnSlotReturn(Blackboard& bb,
                  const std::string& from,
                  const wire::SlotReturn& slot_return);

// Recalls the lent slots of `worker`: notifies the borrowers to start nothing
// more on it. `worker_lost` tells them that the worker and its running attempts
// have failed.
void RecallSlots(Blackboard& bb,
                 Worker& worker,
                 bool worker_lost,
                 Actions& actions);

// Ends loans that were not returned in time.
void ExpireLoans(Blackboard& bb, StepTime now);

// Drops all loans to and from the VM `vm`, which is unreachable.
void DropLoansWith(Blackboard& bb, const std::string& vm);

}  // namespace goldcrest

#endif  // GOLDCREST_BORROWING_H_
