#ifndef GOLDCREST_ADMISSION_H_
#define GOLDCREST_ADMISSION_H_

// Admission: decides on arrival where a submission runs and whether it may run.
//
// A submission is checked against the configuration, attached to an existing
// job with the same id, answered from a finished claim, forwarded to its home
// domain, or claimed by this VM. Only the owner admits it. The owner refuses at
// once a submission that no worker can run, that can't meet its deadline or
// that exceeds a limit.
//
// A refusal reports "ran: none" only if that is certain: either this VM has
// held its serving lease since the submission can first have been made, so that
// no other VM can have claimed it, or a majority of voters has just confirmed
// that no VM has claimed it.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Handles a caller's submission.
void OnSubmit(Blackboard& bb,
              const SubmitRequest& request,
              StepTime now,
              Actions& actions);

// Handles a submission that the VM `from` forwarded.
void OnForward(Blackboard& bb,
               const std::string& from,
               const wire::Forward& forward,
               StepTime now,
               Actions& actions);

// Claims a job on this VM that was forwarded to another VM, which is
// unreachable or has forwarded the same job to this VM.
void ClaimForwardedJob(Blackboard& bb,
                       Job& job,
                       StepTime now,
                       Actions& actions);

// Called when this VM has obtained the claim of `job`: admits and queues the
// job, or refuses it.
void OnJobOwned(Blackboard& bb, Job& job, StepTime now, Actions& actions);

// Handles a caller that has disconnected. Its submission continues to run.
void OnRequestConnectionClosed(Blackboard& bb,
                               const RequestConnectionClosed& disconnected);

}  // namespace goldcrest

#endif  // GOLDCREST_ADMISSION_H_
