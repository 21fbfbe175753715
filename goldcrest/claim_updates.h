#ifndef GOLDCREST_CLAIM_UPDATES_H_
#define GOLDCREST_CLAIM_UPDATES_H_

// What the owner of a claim adds to it: the intent to start a task that may not
// be repeated, and the result.
//
// An addition is sent to every voter until all have it or it was sent often
// enough; it counts when a majority has recorded it. A voter that missed the
// claim itself is given that first.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Adds to the claim of an owned job at its voters. `job` learns through
// OnUpdateMajority() when a majority has recorded it. Returns its number.
uint64_t AddToClaim(Blackboard& bb,
                    Job& job,
                    wire::ClaimUpdate update,
                    Now now,
                    Actions& actions);

// Handles a voter's answer to an addition.
void OnClaimUpdateReply(Blackboard& bb,
                        const std::string& from,
                        const wire::ClaimUpdateReply& reply,
                        Now now,
                        Actions& actions);

// Sends unanswered additions again, or gives up waiting for them.
void OnClaimUpdateTimer(Blackboard& bb,
                        const std::string& id,
                        Now now,
                        Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_UPDATES_H_
