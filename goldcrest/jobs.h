#ifndef GOLDCREST_JOBS_H_
#define GOLDCREST_JOBS_H_

// The life of a submission on this VM, from the first request to the result.
//
// There is one Job for each submission that this VM claims, owns or has handed
// to another VM. Its waiters all get the same result, once. When the result is
// final it is recorded with the claim, and the Job is removed.

#include <memory>
#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Creates the job of `submission`, received `elapsed_ms` ago.
Job& CreateJob(Blackboard& bb,
               const wire::Submission& submission,
               int64_t elapsed_ms,
               Now now);

// Adds a waiter and remembers which submission a request waits for.
void AddWaiter(Blackboard& bb, Job& job, Waiter waiter, Actions& actions);

// Notes that the submission is claimed and admitted, and tells those who wait
// for just that.
void MarkAccepted(Blackboard& bb, Job& job, Actions& actions);

// Tells the VMs that forwarded a submission, and were not answered so far, as
// soon as it is accepted.
void OnAcceptedNoticeTimer(Blackboard& bb,
                           const std::string& id,
                           Actions& actions);

// Ends the wait of the request whose token is `key`: it is told "pending" as
// soon as the submission is accepted.
void OnWaitTimer(Blackboard& bb, const std::string& key, Actions& actions);

// Sends `result` to one waiter.
void Answer(Blackboard& bb,
            const std::string& id,
            const std::string& digest,
            const Waiter& waiter,
            const wire::JobResult& result,
            Actions& actions);

// Ends an owned job whose tasks are all done.
void CompleteJob(Blackboard& bb, Job& job, Now now, Actions& actions);

// Ends an owned job: queued tasks are dropped, running ones are stopped, and
// the result is recorded at the voters before the waiters get it.
void FinishJob(Blackboard& bb,
               Job& job,
               const wire::JobResult& result,
               Now now,
               Actions& actions);

// Ends a job whose result is not this VM's to record: the waiters get it and
// the job is removed.
void AnswerAndRemove(Blackboard& bb,
                     Job& job,
                     const wire::JobResult& result,
                     Now now,
                     Actions& actions);

// Refuses a job that was claimed but not started: the claim is released, and
// the waiters are told once a majority of voters has recorded it.
void RefuseClaimed(Blackboard& bb,
                   Job& job,
                   const wire::JobResult& result,
                   Now now,
                   Actions& actions);

// Gives an owned job up to another owner: its waiters are served by forwarding.
void YieldJob(Blackboard& bb,
              Job& job,
              const std::string& owner,
              Now now,
              Actions& actions);

// Called when a majority of voters recorded the addition numbered `update`.
void OnUpdateMajority(Blackboard& bb,
                      Job& job,
                      uint64_t update,
                      Now now,
                      Actions& actions);

// Removes an answered job once nothing is left to record.
void RemoveIfRecorded(Blackboard& bb, Job& job);

// Called when an addition found no majority in time.
void OnUpdateTimeout(Blackboard& bb,
                     Job& job,
                     uint64_t update,
                     Now now,
                     Actions& actions);

// Says whether this VM has owned `job` under its serving lease without a break.
bool OwnsUnderLease(const Blackboard& bb, const Job& job, Now now);

// Says how much of an owned job has run.
Ran RanOfJob(const Job& job);

// Returns the time left to the deadline, at least 0.
Micros RemainingTime(const Job& job, Now now);

// Answers everybody who still waits for a job with "unknown", before the
// daemon ends.
void AnswerAllUnknown(Blackboard& bb, Now now, Actions& actions);

// Fails jobs whose deadline has passed.
void OnJobDeadline(Blackboard& bb,
                   const std::string& id,
                   Now now,
                   Actions& actions);

}  // namespace goldcrest

#endif  // GOLDCREST_JOBS_H_
