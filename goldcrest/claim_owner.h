#ifndef GOLDCREST_CLAIM_OWNER_H_
#define GOLDCREST_CLAIM_OWNER_H_

// The proposer's side of the claim register: how a VM becomes the owner of a
// job. Updates that an owner sends afterwards are in claim_updates.h, takeover
// of jobs of other owners is in claim_takeover.h.
//
// A job is claimed before any of its tasks starts. The preferred owner needs
// one round of messages to the voters. Any other VM, and every VM after its
// serving lease expired, needs two rounds. The state of a job limits what its
// VM may do: in kClaiming no task is started, in kActive tasks are started
// while the VM holds its serving lease.
//
// A claim that reaches no majority ends with the outcome "unknown": this claim
// started nothing, but an earlier owner may have run the job.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Starts a claim of `job` for this VM and suspends its tasks until the claim
// succeeds.
void StartClaim(Blackboard& bb, Job& job, StepTime now, Actions& actions);

// Handles a voter's reply to a claim request.
void OnClaimReply(Blackboard& bb,
                  const std::string& from,
                  const wire::ClaimReply& reply,
                  StepTime now,
                  Actions& actions);

// Resends claim messages without a reply or starts another round. The job ends
// with an unknown outcome when the claim has not succeeded for `claim_timeout`,
// counted from its start or from the last contact with a majority of the
// voters, whichever is earlier.
void OnClaimTimer(Blackboard& bb,
                  const std::string& id,
                  StepTime now,
                  Actions& actions);

// Returns the ballot of this VM in `round`. No two VMs share a ballot.
uint64_t MakeBallot(const Blackboard& bb, uint64_t round);

// Returns the round that `ballot` belongs to.
uint64_t RoundOf(uint64_t ballot);

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_OWNER_H_
