#ifndef GOLDCREST_FORWARDING_H_
#define GOLDCREST_FORWARDING_H_

// Forwarding of submissions, lookups and cancellations between entry VMs.
//
// Any entry VM accepts any submission and forwards it to a VM of its home
// domain. It keeps the content until it has the result, so that it can forward
// the submission to the next VM if the first one fails; the claim makes that
// safe. If the home domain stays unreachable, the submission is answered with
// "unknown", because it may already have run there.

#include <string>
#include <vector>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Returns the VM that should own `job` now: the highest-ranked VM of its home
// domain that is reachable and not draining. If all reachable ones are
// draining, returns this VM if it is one of them, else an empty name.
std::string ChooseOwner(const Blackboard& bb, const Job& job);

// Forwards `job` to the VM `target`. If `target` is empty, waits until a VM of
// the home domain is reachable, with a timeout.
void ForwardJob(Blackboard& bb,
                Job& job,
                const std::string& target,
                StepTime now,
                Actions& actions);

// Sends a forwarded job to its target, once more if it was sent before.
void SendForward(Blackboard& bb, Job& job, Actions& actions);

// Handles the answer of a VM that a job was forwarded to.
void OnForwardReply(Blackboard& bb,
                    const std::string& from,
                    const wire::ForwardReply& reply,
                    StepTime now,
                    Actions& actions);

// Handles the resend timer of the forwarded job `id`: sends it again, picks
// another target, or answers "unknown" after the timeout.
void OnForwardTimer(Blackboard& bb,
                    const std::string& id,
                    StepTime now,
                    Actions& actions);

// Handles a caller's lookup.
void OnLookup(Blackboard& bb,
              const LookupRequest& request,
              StepTime now,
              Actions& actions);

// Handles another VM's lookup.
void OnPeerLookup(Blackboard& bb,
                  const std::string& from,
                  const wire::Lookup& lookup,
                  Actions& actions);

// Handles another VM's answer to a lookup of this VM.
void OnLookupReply(Blackboard& bb,
                   const std::string& from,
                   const wire::LookupReply& reply,
                   Actions& actions);

// Ends a lookup that has timed out or that no VM answered with a result.
void EndSubmissionLookup(Blackboard& bb,
                         const std::string& key,
                         Actions& actions);

// Ends the lookups of all submissions.
void EndAllSubmissionLookups(Blackboard& bb, Actions& actions);

// Handles a caller's cancellation of one submission or of many.
void OnCancel(Blackboard& bb,
              const CancelRequest& request,
              StepTime now,
              Actions& actions);

// Handles another VM's cancellation.
void OnPeerCancel(Blackboard& bb,
                  const wire::Cancel& cancel,
                  StepTime now,
                  Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_FORWARDING_H_
