#ifndef GOLDCREST_JOBS_H_
#define GOLDCREST_JOBS_H_

// The life cycle of a submission on this VM, from the first request to the
// result.
//
// There is one Job for each submission that this VM claims, owns or has
// forwarded to another VM. Each of its waiters gets the same result, once. When
// the result is final it is recorded with the claim, and the Job is removed.

#include <memory>
#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Creates the job of `submission`, which was received by its first entry VM
// `elapsed_ms` milliseconds ago.
Job& CreateJob(Blackboard& bb,
               const wire::Submission& submission,
               int64_t elapsed_ms,
               StepTime now);

// Adds a waiter to `job`. If it is a caller's request, also records which
// submission the request is for.
void AddWaiter(Blackboard& bb, Job& job, Waiter waiter, Actions& actions);

// Records that the submission is claimed and admitted, and sends "pending" to
// the waiters that wait only for that.
void MarkAccepted(Blackboard& bb, Job& job, Actions& actions);

// Handles the timer of the acceptance notice: the VMs that forwarded the
// submission `id` and have no answer yet are notified as soon as it is
// accepted.
void OnAcceptedNoticeTimer(Blackboard& bb,
                           const std::string& id,
                           Actions& actions);

// Ends the wait of the request whose token is `key`: it is answered with
// "pending" as soon as the submission is accepted.
void OnWaitTimer(Blackboard& bb, const std::string& key, Actions& actions);

// Sends `result` to `waiter`. `id` and `digest` identify the submission.
void Answer(Blackboard& bb,
            const std::string& id,
            const std::string& digest,
            const Waiter& waiter,
            const wire::JobResult& result,
            Actions& actions);

// Finishes an owned job whose tasks are all done.
void CompleteJob(Blackboard& bb, Job& job, StepTime now, Actions& actions);

// Finishes an owned job: queued tasks are dropped, running ones are stopped,
// and the result is recorded at the claim voters before the waiters get it.
void FinishJob(Blackboard& bb,
               Job& job,
               const wire::JobResult& result,
               StepTime now,
               Actions& actions);

// Finishes a job whose result is not recorded by this VM: the waiters get
// `result` and the job is removed.
void AnswerAndRemove(Blackboard& bb,
                     Job& job,
                     const wire::JobResult& result,
                     StepTime now,
                     Actions& actions);

// Refuses a job that was claimed but not started: the claim is released, and
// the waiters are answered once a majority of voters has recorded the release.
void RefuseClaimed(Blackboard& bb,
                   Job& job,
                   const wire::JobResult& result,
                   StepTime now,
                   Actions& actions);

// Passes a job that this VM tried to claim to the VM `owner`, which owns it,
// and forwards the submission there for the waiters. Removes the job if it has
// none.
void YieldJob(Blackboard& bb,
              Job& job,
              const std::string& owner,
              StepTime now,
              Actions& actions);

// Called when a majority of voters has recorded the claim update with the
// number `update`.
void OnUpdateMajority(Blackboard& bb,
                      Job& job,
                      uint64_t update,
                      StepTime now,
                      Actions& actions);

// Removes a finishing job if all of its claim updates are recorded.
void RemoveIfRecorded(Blackboard& bb, Job& job);

// Called when the claim update with the number `update` has not reached a
// majority of voters within the timeout.
void OnUpdateTimeout(Blackboard& bb,
                     Job& job,
                     uint64_t update,
                     StepTime now,
                     Actions& actions);

// Returns true if this VM has owned `job` without interruption under its
// current serving lease.
bool OwnsUnderLease(const Blackboard& bb, const Job& job, StepTime now);

// Returns how many tasks of an owned job have run.
Ran RanOfJob(const Job& job);

// Returns the time left until the deadline, at least 0.
Micros RemainingTime(const Job& job, StepTime now);

// Answers all waiters of all jobs with "unknown", before the daemon stops.
void AnswerAllUnknown(Blackboard& bb, StepTime now, Actions& actions);

// Handles the passing of the deadline of the job `id`.
void OnJobDeadline(Blackboard& bb,
                   const std::string& id,
                   StepTime now,
                   Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_JOBS_H_
