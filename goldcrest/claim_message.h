#ifndef GOLDCREST_CLAIM_MESSAGE_H_
#define GOLDCREST_CLAIM_MESSAGE_H_

// What the owner of a claim sends to its voters.
//
// Voters of the home domain get the content and the outputs, so that each of
// them can take the job over and answer for it; a witness elsewhere gets
// neither.

#include <string>
#include <vector>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Returns the voters on claims of `job`.
const std::vector<std::string>& VotersOf(const Blackboard& bb, const Job& job);

// Returns the request of the job's claim attempt as a home voter gets it.
wire::ClaimRequest MakeClaimRequest(const Job& job);

// Takes out of a record what a witness does not keep.
void StripForWitness(wire::ClaimRecord& record);

// Takes the outputs out of an addition.
wire::ClaimUpdate StripForWitness(wire::ClaimUpdate update);

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_MESSAGE_H_
