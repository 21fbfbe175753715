#ifndef POOL_POOL_STOP_H_
#define POOL_POOL_STOP_H_

// The graceful stop of a daemon that orders workers: a control daemon, or an
// entry daemon that is a standby.
//
// The platform kills the process a fixed time after its request to stop, so
// each job ends before that, and its entry daemon is told how. Jobs that have
// not started are refused with `try_elsewhere` as soon as another daemon can
// start them at once, or when they cannot end here in time; their entry daemon
// then sends them elsewhere. Started jobs may run until the end of the stop;
// then their outcome is unknown and their attempts are stopped. Workers that no
// task needs any more are released as soon as they are idle.
//
// Nothing here depends on the role of the daemon. The caller sets
// PoolBoard::draining, so that no more jobs are accepted and no more workers
// are claimed, and calls PoolStopTick() whenever time advances.

#include "pool/pool_board.h"

namespace goldcrest {

// Returns when the jobs of a daemon must have ended that was requested to stop
// at `started_at` and is killed `grace` later: the rest is for sending the last
// messages and for the exit of the process.
Micros StopEndsBy(Micros started_at, Micros grace);

// Ends jobs and releases workers as described above; at `end_by` all remaining
// jobs end. Returns true if no job and no owned worker is left. A worker that
// does not answer may be left after `end_by`; other daemons claim it when they
// no longer hear this one.
bool PoolStopTick(PoolBoard& board,
                  Micros end_by,
                  Micros now,
                  PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_POOL_STOP_H_
