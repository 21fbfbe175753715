#ifndef GOLDCREST_CLAIM_MESSAGE_H_
#define GOLDCREST_CLAIM_MESSAGE_H_

// Messages that the owner of a claim sends to the voters on it.
//
// Voters in the home failure domain receive the submission's content and its
// outputs, so that each of them can take the job over and answer for it. A
// witness, a voter in another domain, receives neither.

#include <string>
#include <vector>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Returns the names of the VMs that vote on the claim of `job`.
const std::vector<std::string>& VotersOf(const Blackboard& bb, const Job& job);

// Returns the request for the current phase of the job's claim, with the
// content that a voter in the home domain receives. Apply StripForWitness() to
// the record for a voter elsewhere.
wire::ClaimRequest MakeClaimRequest(const Job& job);

// Removes the submission and the outputs, which a witness does not keep.
void StripForWitness(wire::ClaimRecord& record);

// Returns `update` without the outputs.
wire::ClaimUpdate StripForWitness(wire::ClaimUpdate update);

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_MESSAGE_H_
