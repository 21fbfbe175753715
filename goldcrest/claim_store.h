#ifndef GOLDCREST_CLAIM_STORE_H_
#define GOLDCREST_CLAIM_STORE_H_

// The claim records stored at this VM, with their expiry and byte budget.
//
// Records are kept for the retention window. The outputs are the large part of
// a finished record and have a separate byte budget. When it is exceeded, the
// oldest outputs are dropped first; a resubmission of such a job receives a
// result that says that the answer was dropped.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Returns the record of `id`, or null.
ClaimEntry* FindClaim(Blackboard& bb, const std::string& id);

// Returns the record of `id`, and creates it if it is missing.
ClaimEntry& FindOrCreateClaim(Blackboard& bb,
                              const std::string& id,
                              StepTime now);

// Updates the index of unfinished records for `entry`. Must be called after a
// change of the owner, or of whether the record is finished. `earlier_owner` is
// the owner before the change.
void IndexClaim(Blackboard& bb,
                const ClaimEntry& entry,
                const std::string& earlier_owner);

// Records the result of `entry` and drops the content and the intents of its
// submission. A finished record is replaced only by a result with more outputs.
void FinishClaim(Blackboard& bb,
                 ClaimEntry& entry,
                 const wire::JobResult& result);

// Removes the result from `entry`, because a later owner runs the job again.
void ReopenClaim(Blackboard& bb, ClaimEntry& entry);

// Releases the claim accepted at `ballot`: its owner runs nothing of it, for
// example because the submission was refused or is handed over.
void ReleaseClaim(Blackboard& bb, ClaimEntry& entry, uint64_t ballot);

// Drops records past the retention window. Unfinished records are kept for a
// second window, and records of jobs that are present here for longer.
void ExpireClaims(Blackboard& bb, StepTime now);

// Merges `other` into `record`. Intents and cancellations are united. Owner and
// result are taken from the record with the higher accepted ballot, because an
// owner that was accepted later has read every result that a majority held.
void MergeClaim(wire::ClaimRecord& record, const wire::ClaimRecord& other);

// Returns whether the outputs of `result` were dropped.
bool IsAnswerDropped(const wire::JobResult& result);

// Removes the outputs from `result`, if it has any, and sets the code that
// marks them as dropped.
void DropOutputs(wire::JobResult& result);

// Returns the result for a caller from a finished record: a failure if the
// outputs of a complete job were dropped.
wire::JobResult ResultOfClaim(const wire::ClaimRecord& record);

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_STORE_H_
