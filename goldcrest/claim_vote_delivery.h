#ifndef GOLDCREST_CLAIM_VOTE_DELIVERY_H_
#define GOLDCREST_CLAIM_VOTE_DELIVERY_H_

// Brings this VM's votes on claims to the VM that asked, itself included.
//
// A vote counts at once, in memory. With `synced_claims` a vote that changed
// the record is held back until the record is durable, and is lost when the
// journal fails: the proposer then does without it or asks again.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Delivers a vote on a claim to `proposer`.
void DeliverVote(Blackboard& bb,
                 const std::string& proposer,
                 const wire::ClaimReply& reply,
                 Now now,
                 Actions& actions);

// Delivers a vote on an addition to `proposer`.
void DeliverVote(Blackboard& bb,
                 const std::string& proposer,
                 const wire::ClaimUpdateReply& reply,
                 Now now,
                 Actions& actions);

// Delivers the vote that waited for the journal record `token`, or drops it.
void OnClaimVoteSynced(Blackboard& bb,
                       uint64_t token,
                       bool ok,
                       Now now,
                       Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_VOTE_DELIVERY_H_
