#ifndef GOLDCREST_CLAIM_VOTER_H_
#define GOLDCREST_CLAIM_VOTER_H_

// One voter's side of the claim register.
//
// Each submission has one register, held by the voters of its home domain. A
// proposer first prepares a ballot, which fences all lower ones and reads what
// the voter holds, and then asks the voter to accept it as the owner. The
// preferred owner of an id may skip the prepare phase with its first ballot,
// which a voter accepts only while it holds nothing about that id.
//
// A voter promises nothing against an owner whose serving lease, as granted by
// this voter, may still run. So when a majority has promised, the earlier
// owner holds no lease from a majority and starts nothing any more.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Answers a claim request of `from`, which may be this VM itself.
wire::ClaimReply VoteOnClaim(Blackboard& bb,
                             const std::string& from,
                             uint64_t from_incarnation,
                             const wire::ClaimRequest& request,
                             Now now);

// Applies an owner's addition to its claim.
wire::ClaimUpdateReply VoteOnUpdate(Blackboard& bb,
                                    const std::string& from,
                                    const wire::ClaimUpdate& update,
                                    Now now);

// Answers a co-voter that fetches records after a restart.
void OnClaimSync(Blackboard& bb,
                 const std::string& from,
                 const wire::ClaimSync& request,
                 Actions& actions);

// Takes in one page of a co-voter's records.
void OnClaimSyncPage(Blackboard& bb,
                     const std::string& from,
                     const wire::ClaimSyncPage& page,
                     Now now,
                     Actions& actions);

// Asks the co-voters that have not delivered all their records yet.
void OnClaimSyncTimer(Blackboard& bb, Now now, Actions& actions);

// Returns the home failure domain of a submission.
std::string HomeOf(const Blackboard& bb, const wire::Submission& submission);

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_VOTER_H_
