#ifndef GOLDCREST_CLAIM_TAKEOVER_H_
#define GOLDCREST_CLAIM_TAKEOVER_H_

// Claims that must be made again: those of owners that failed or restarted, and
// this VM's own claims after its serving lease expired.

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Claims every unfinished submission of this VM's failure domain whose owner's
// serving lease has expired, if this VM is the first reachable one in the owner
// ranking. The number of claims per call is limited.
void TakeOverOrphans(Blackboard& bb, StepTime now, Actions& actions);

// Claims the owned jobs again after the serving lease expired and was granted
// again. Must be called before every placement, because such a job may start no
// task until it is claimed again.
void ReclaimAfterLeaseExpiry(Blackboard& bb, StepTime now, Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_TAKEOVER_H_
