#ifndef GOLDCREST_CLAIM_VOTE_DELIVERY_H_
#define GOLDCREST_CLAIM_VOTE_DELIVERY_H_

// Delivers this VM's votes on claims to the proposer, which may be this VM.
//
// By default a vote is delivered at once; its record is in memory only. With
// `synced_claims` a vote that changed the record is delayed until the record is
// durable, and is dropped when the journal write fails. The proposer then needs
// a majority without this vote, or sends its request again.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Delivers a vote on a claim to `proposer`.
void DeliverVote(Blackboard& bb,
                 const std::string& proposer,
                 const wire::ClaimReply& reply,
                 StepTime now,
                 Actions& actions);

// Delivers a vote on a claim update to `proposer`.
void DeliverVote(Blackboard& bb,
                 const std::string& proposer,
                 const wire::ClaimUpdateReply& reply,
                 StepTime now,
                 Actions& actions);

// Delivers the vote that waited for the journal record `token`, or drops it if
// the write failed (`ok` is false).
void OnClaimVoteSynced(Blackboard& bb,
                       uint64_t token,
                       bool ok,
                       StepTime now,
                       Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_VOTE_DELIVERY_H_
