#ifndef GOLDCREST_CLAIM_UPDATES_H_
#define GOLDCREST_CLAIM_UPDATES_H_

// Updates that the owner of a claim sends to its voters: the intent to start a
// non-idempotent task, the result, and the release of the claim.
//
// An update is sent to every voter until all have applied it or a maximum
// number of sends is reached. It is in effect once a majority has recorded it.
// A voter that missed the claim itself receives the claim first.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Sends `update` to the voters on the claim of an owned job. OnUpdateMajority()
// is called when a majority has recorded it. Returns the update's number.
uint64_t StartClaimUpdate(Blackboard& bb,
                          Job& job,
                          wire::ClaimUpdate update,
                          StepTime now,
                          Actions& actions);

// Handles a voter's reply to an update.
void OnClaimUpdateReply(Blackboard& bb,
                        const std::string& from,
                        const wire::ClaimUpdateReply& reply,
                        StepTime now,
                        Actions& actions);

// Resends updates without a reply, and ends those that reached the maximum
// number of sends.
void OnClaimUpdateTimer(Blackboard& bb,
                        const std::string& id,
                        StepTime now,
                        Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_UPDATES_H_
