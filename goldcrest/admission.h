#ifndef GOLDCREST_ADMISSION_H_
#define GOLDCREST_ADMISSION_H_

// What happens to a submission when it arrives, and when it may run.
//
// A submission is checked against the configuration, attached to the job that
// already has its id, answered from a finished claim, forwarded to its home,
// or claimed here. Only the owner admits it: it refuses at once what no worker
// could hold, what cannot meet its deadline and what is over a limit.
//
// A refusal says "ran: none" only where that is certain: either this VM held
// its serving lease ever since the submission can first have been made, so
// that nobody else can have claimed it, or a majority of voters just said that
// nobody had.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Handles a caller's submission.
void OnSubmit(Blackboard& bb,
              const SubmitRequest& request,
              Now now,
              Actions& actions);

// Handles a submission that another VM forwarded.
void OnForward(Blackboard& bb,
               const std::string& from,
               const wire::Forward& forward,
               Now now,
               Actions& actions);

// Claims a job here that was forwarded to a VM which is gone.
void ClaimForwardedJob(Blackboard& bb, Job& job, Now now, Actions& actions);

// Called when this VM has won the claim of `job`: admits and queues it, or
// refuses it.
void OnJobOwned(Blackboard& bb, Job& job, Now now, Actions& actions);

// Handles a caller that went away: its submission goes on.
void OnCallerGone(Blackboard& bb, const CallerGone& gone);

}  // namespace goldcrest

#endif  // GOLDCREST_ADMISSION_H_
