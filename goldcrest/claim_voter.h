#ifndef GOLDCREST_CLAIM_VOTER_H_
#define GOLDCREST_CLAIM_VOTER_H_

// The voter's side of the claim register.
//
// Each submission has one register, replicated at the voters of its home
// failure domain. A proposer first prepares a ballot, which fences all lower
// ballots and reads the voter's record, and then requests that the voter
// accepts it as the owner. The preferred owner of a submission may skip the
// prepare phase with its first ballot, which a voter accepts only while it has
// no record of that submission.
//
// A voter makes no promise against an owner whose serving lease, as granted by
// this voter, may not have expired. So once a majority has promised, the
// earlier owner holds no lease from a majority and starts no more tasks.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Returns the vote on a claim request of `from`, which may be this VM. A voter
// with lost state abstains on submissions that it may have had a record of.
wire::ClaimReply VoteOnClaim(Blackboard& bb,
                             const std::string& from,
                             uint64_t from_incarnation,
                             const wire::ClaimRequest& request,
                             StepTime now);

// Applies an owner's update to its claim. The reply has `applied` unset when
// this VM has no record of the claim or has promised or accepted another
// ballot.
wire::ClaimUpdateReply VoteOnUpdate(Blackboard& bb,
                                    const std::string& from,
                                    const wire::ClaimUpdate& update,
                                    StepTime now);

// Sends one page of records to a co-voter that fetches them after a restart.
void OnClaimSync(Blackboard& bb,
                 const std::string& from,
                 const wire::ClaimSync& request,
                 Actions& actions);

// Merges one page of a co-voter's records and requests the next one.
void OnClaimSyncPage(Blackboard& bb,
                     const std::string& from,
                     const wire::ClaimSyncPage& page,
                     StepTime now,
                     Actions& actions);

// Requests records from the co-voters that have not delivered all of theirs.
// Does nothing when this voter has full state.
void OnClaimSyncTimer(Blackboard& bb, StepTime now, Actions& actions);

// Returns the home failure domain of a submission: the one that it names, or
// one derived from its id.
std::string HomeOf(const Blackboard& bb, const wire::Submission& submission);

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_VOTER_H_
