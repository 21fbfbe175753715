#ifndef POOL_ENTRY_ENTRY_STOP_H_
#define POOL_ENTRY_ENTRY_STOP_H_

// The graceful stop of an entry daemon; internal to entry.cc.
//
// The platform sends SIGTERM and, EntryOptions::stop_grace later, SIGKILL. A
// daemon that was told to stop serves until the load balancer has noticed and
// callers have stopped coming. It takes only jobs that it expects to answer
// before it must end, and refuses the others at once, so that their callers
// can go to another daemon. Shortly before SIGKILL it answers what is left: a
// job without a start permission has not run and is refused, any other has an
// unknown outcome. So no caller of a stopped daemon is left without an answer.

#include "pool/entry/entry.h"

namespace goldcrest::detail {

// Returns the time by which a stopping daemon has answered every job.
Micros AnswerBy(const EntryBoard& board);

// Returns whether a stopping daemon may take a job with these steps and this
// deadline: it is expected to be answered before the daemon stops, also if it
// starts late and its tasks take longer than estimated. Always true while the
// daemon is not stopping.
bool MayTakeJob(const EntryBoard& board,
                const wire::JobOrder& order,
                Micros deadline,
                Micros now);

// Returns the time by which the control daemon must have ended the job, for its
// caller and for a stop.
Micros EndBy(const EntryBoard& board, const PendingJob& job);

// Returns when a caller that a stopping daemon refuses is to return, in
// milliseconds. 0: at once, since the load balancer sends it to another daemon.
int64_t RetryAfterStopMs(const EntryBoard& board, Micros now);

// Starts the graceful stop. A second request has no effect.
void RequestStop(EntryBoard& board, Micros now, PoolActions& actions);

// Refuses the jobs that can no longer start in time, ends the jobs and releases
// the workers of a standby (pool_stop.h), and ends the stop when nothing is
// left to answer or the time is up.
void StopTick(EntryBoard& board, Micros now, PoolActions& actions);

}  // namespace goldcrest::detail

#endif  // POOL_ENTRY_ENTRY_STOP_H_
