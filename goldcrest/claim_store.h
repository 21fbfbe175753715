#ifndef GOLDCREST_CLAIM_STORE_H_
#define GOLDCREST_CLAIM_STORE_H_

// The claim records that this VM holds, with their expiry and byte budget.
//
// Records live for the retention window. Answers are the large part of a
// finished record and have a byte budget of their own: the oldest are dropped
// first, and a resubmission that asks for a dropped one is told so.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Returns the record of `id`, or null.
ClaimEntry* FindClaim(Blackboard& bb, const std::string& id);

// Returns the record of `id`, created when it is missing.
ClaimEntry& OpenClaim(Blackboard& bb, const std::string& id, Now now);

// Keeps the index of unfinished records in step with `entry`. Call it after
// changing the owner or the end of a record; `earlier_owner` is the owner that
// the record had before.
void IndexClaim(Blackboard& bb,
                const ClaimEntry& entry,
                const std::string& earlier_owner);

// Records the result of `entry` and drops its submission's content.
void FinishClaim(Blackboard& bb,
                 ClaimEntry& entry,
                 const wire::JobResult& result);

// Takes the result out of `entry`: a later owner runs the job again.
void ReopenClaim(Blackboard& bb, ClaimEntry& entry);

// Withdraws the claim accepted at `ballot`: its submission was refused.
void ReleaseClaim(Blackboard& bb, ClaimEntry& entry, uint64_t ballot);

// Drops records past the retention window.
void ExpireClaims(Blackboard& bb, Now now);

// Adds the facts of `other` to `record`. Intents and cancellations add up.
// Owner and result are those of the higher accepted ballot: an owner that was
// accepted later had seen every result that a majority held.
void MergeClaim(wire::ClaimRecord& record, const wire::ClaimRecord& other);

// Says whether the outputs of a complete result are not kept here.
bool IsAnswerDropped(const wire::JobResult& result);

// Takes the outputs out of a result, and marks it so, if it has any.
void DropOutputs(wire::JobResult& result);

// Returns the result that a caller gets from a finished record.
wire::JobResult ResultOfClaim(const wire::ClaimRecord& record);

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_STORE_H_
