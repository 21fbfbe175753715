#ifndef GOLDCREST_CLAIM_TAKEOVER_H_
#define GOLDCREST_CLAIM_TAKEOVER_H_

// Claims that have to be made again: those of owners that are gone, and this
// VM's own from before a lapse of its serving lease.

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Claims every unfinished submission whose owner is gone and that this VM is
// next to own.
void TakeOverOrphans(Blackboard& bb, Now now, Actions& actions);

// Claims again the owned jobs from before a lapse of the serving lease, once
// the lease is back. Called before every placement: no such job may start a
// task before.
void ReclaimAfterLapse(Blackboard& bb, Now now, Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_TAKEOVER_H_
