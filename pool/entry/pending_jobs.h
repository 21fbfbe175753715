#ifndef POOL_ENTRY_PENDING_JOBS_H_
#define POOL_ENTRY_PENDING_JOBS_H_

// The pending jobs of an entry daemon; internal to entry.cc. A job is sent to a
// daemon that has workers, sent again if that daemon fails before it has the
// start permission, and answered.

#include <optional>
#include <set>
#include <string>

#include "pool/entry/entry.h"

namespace goldcrest::detail {

// Counts the outcome and answers the request, if its caller is still connected.
void Reply(EntryBoard& board,
           ReplyToken token,
           wire::JobFate fate,
           int64_t retry_after_ms,
           PoolActions& actions);

// Returns when a caller that this daemon itself refuses is to return, in
// milliseconds.
int64_t RefusalDelayMs(const EntryBoard& board,
                       const std::string& job_id,
                       Micros now);

// Answers the caller of a pending job, and those who asked to cancel it, and
// removes the job. Does nothing if there is no job with this order number.
void EndPendingJob(EntryBoard& board,
                   uint64_t order_number,
                   wire::JobFate fate,
                   const std::string& reason,
                   int64_t retry_after_ms,
                   Micros now,
                   PoolActions& actions);

// Sends a cancellation of the job to its control daemon, if it has one.
void SendCancel(const EntryBoard& board,
                const PendingJob& job,
                PoolActions& actions);

// Requests the control daemon to cancel a pending job, and schedules the next
// repetition. The request is repeated until the job's outcome is known.
void RequestCancel(const EntryBoard& board,
                   PendingJob& job,
                   Micros now,
                   PoolActions& actions);

// Returns whether a job that no daemon can take now may be held, since a daemon
// could take jobs a short time ago.
bool MayHoldJobs(const EntryBoard& board, Micros now);

// Holds a pending job that no daemon has under its present order number. All
// daemons may be tried again.
void HoldJob(EntryBoard& board,
             PendingJob& job,
             Micros now,
             PoolActions& actions);

// Sends a pending job to a daemon.
void SendOrderTo(EntryBoard& board,
                 PendingJob& pending,
                 const std::string& control,
                 Micros now,
                 PoolActions& actions);

// Records that the control daemon has forwarded a job to another one.
void HandleJobForwarded(EntryBoard& board,
                        const wire::JobMoved& moved,
                        Micros now,
                        PoolActions& actions);

// Handles a request for a start permission. The permission is given unless the
// job has ended, is being cancelled or has been sent again under a new order
// number. A control daemon that asks under the present number holds the job: it
// was sent or forwarded to it.
void HandlePermissionRequest(EntryBoard& board,
                             const wire::PoolMessage& message,
                             Micros now,
                             PoolActions& actions);

// Handles the outcome of a job as reported by its control daemon.
void HandleJobEnd(EntryBoard& board,
                  const wire::JobEnd& end,
                  Micros now,
                  PoolActions& actions);

// Sends to another daemon, or ends, the jobs whose control daemon has
// restarted, is unreachable or does not answer in time.
void ResolveFailedJobs(EntryBoard& board, Micros now, PoolActions& actions);

// Sends the held jobs that a daemon can take now, and refuses those that were
// held for too long.
void SendHeldJobs(EntryBoard& board, Micros now, PoolActions& actions);

// Sends unconfirmed cancellations again.
void ResendCancels(EntryBoard& board, Micros now, PoolActions& actions);

// Exchanges heartbeats at the full rate with all control daemons that have
// pending jobs of this daemon.
void KeepFullHeartbeatRate(EntryBoard& board, Micros now, PoolActions& actions);

}  // namespace goldcrest::detail

#endif  // POOL_ENTRY_PENDING_JOBS_H_
