#ifndef GOLDCREST_CLAIM_OWNER_H_
#define GOLDCREST_CLAIM_OWNER_H_

// The proposer's side of the claim register: winning a claim. What an owner
// then adds to it is in claim_updates.h, taking over what others left in
// claim_takeover.h.
//
// A job is claimed before any of its tasks starts. The preferred owner wins
// with one round to the voters; anybody else, and anybody after a lapse of the
// serving lease, takes two. What a VM may do with a job follows from its state:
// kClaiming starts nothing, kActive starts tasks while the serving lease holds.
//
// A claim that finds no majority ends in "unknown": nothing was started now,
// but an earlier owner may have run it.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Starts to claim `job` for this VM.
void StartClaim(Blackboard& bb, Job& job, Now now, Actions& actions);

// Handles a voter's answer to a claim request.
void OnClaimReply(Blackboard& bb,
                  const std::string& from,
                  const wire::ClaimReply& reply,
                  Now now,
                  Actions& actions);

// Sends unanswered claim messages again, or gives up.
void OnClaimTimer(Blackboard& bb,
                  const std::string& id,
                  Now now,
                  Actions& actions);

// Returns the first ballot of this VM in `round`.
uint64_t MakeBallot(const Blackboard& bb, uint64_t round);

// Returns the round of a ballot.
uint64_t RoundOf(uint64_t ballot);

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_OWNER_H_
