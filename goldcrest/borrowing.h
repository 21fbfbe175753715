#ifndef GOLDCREST_BORROWING_H_
#define GOLDCREST_BORROWING_H_

// Free slots move between the entry VMs of a domain.
//
// A VM with queued tasks and no free slot asks a neighbour that has some. The
// neighbour keeps the request for a short time and lends slots of single
// workers as they are free and its own queue is not more urgent. The borrower
// starts tasks on them itself, so a task's payload and answer never take a
// second hop and its intent names the worker. It gives a slot back when it
// has no work for it, or when it has had it for a while.
//
// A VM of another domain is asked too, for tasks that may be repeated, when it
// last reported more free slots than the quarter that it keeps for its own
// domain. Other tasks go there only when no worker of the own domain is in
// reach.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Asks neighbours for slots when the queue cannot start here, and takes the
// requests back when it is empty.
void RequestSlots(Blackboard& bb, Now now, Actions& actions);

// Lends free slots to the neighbours whose requests stand.
void ServeBorrowers(Blackboard& bb, Now now, Actions& actions);

// Gives borrowed slots back: those whose task has ended, and `all` free ones
// when there is no work for them.
void ReturnIdleSlots(Blackboard& bb, bool all, Now now, Actions& actions);

void OnBorrowSlots(Blackboard& bb,
                   const std::string& from,
                   const wire::BorrowSlots& request,
                   Now now);

void OnSlotGrant(Blackboard& bb,
                 const std::string& from,
                 const wire::SlotGrant& grant,
                 Now now,
                 Actions& actions);

void OnSlotReturn(Blackboard& bb,
                  const std::string& from,
                  const wire::SlotReturn& giving);

// Tells the borrowers of `worker` to start nothing there any more, and whether
// the worker is lost with what it ran.
void RecallSlots(Blackboard& bb, Worker& worker, bool lost, Actions& actions);

// Ends loans that were not given back in time.
void ExpireLoans(Blackboard& bb, Now now);

// Forgets what was lent to and borrowed from a VM that is unreachable.
void ForgetNeighbour(Blackboard& bb, const std::string& vm);

}  // namespace goldcrest

#endif  // GOLDCREST_BORROWING_H_
