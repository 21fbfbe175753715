#ifndef POOL_WORKERS_OPEN_RUN_NEWS_H_
#define POOL_WORKERS_OPEN_RUN_NEWS_H_

// How other daemons know that a run of a task may not be over.
//
// A daemon does not start a task while a run that it has ordered may not be
// over (run_ends.h). A job whose outcome is unknown is sent again by its caller
// and may reach another daemon, which has not ordered that run. As a rule it is
// over by then: the longest lease is shorter than the time after which callers
// send a job again. The exceptions are a run whose lease does not bound it, a
// start without an answer above all, and a task that is bound to a worker of
// this daemon (start_bindings.h). They are announced to every control daemon,
// and to the entry daemons of the own failure domain: a start when its worker
// is asked for want of an answer; a run that was answered when its worker's
// lease has expired, its job has ended or its session has ended, whichever is
// first; a bound task when it is bound; all again when they are over. The
// receivers hold the task meanwhile.
//
// Announcements are gathered for kNewsPeriod and repeated until they are
// answered. They may overtake each other: for each task, what the sender's
// newest one says holds.
//
// A daemon that has just appeared is told all that its peers know: their own
// runs, and those that others have announced, by an earlier process of its own
// as well. What a process has announced holds beyond its end, and says nothing
// about its successor, which does not know that run.
//
// What is lost with a daemon is the run that it alone knows of when it fails
// before it has announced it. Memory and messages: one row for each start that
// had no answer, and one when it is over.

#include <cstddef>
#include <string>

#include "pool/pool_board.h"

namespace goldcrest {

// Bound of the record of other daemons' runs, about 2 MB.
inline constexpr size_t kMaxRunsElsewhere = 20'000;

// Announcements are gathered for this long: much less than the time after which
// callers send a job again.
inline constexpr Micros kNewsPeriod = 100 * kMillisecond;

// Announces that a run of the task may be open until `over_at`.
void AnnounceOpenRun(PoolBoard& board, const TaskName& task, Micros over_at);

// Announces the runs of a silent worker for which it is due.
void AnnounceOpenRuns(PoolBoard& board, PoolWorker& worker, Micros now);

// Sends all open runs that were announced, here or by others, to the daemon at
// the mesh address `to`, which has just appeared.
void SendOpenRuns(PoolBoard& board,
                  const std::string& to,
                  Micros now,
                  PoolActions& actions);

// Returns whether another daemon has announced an open run of the task.
bool IsOpenElsewhere(const PoolBoard& board, const TaskName& task);

// Handles what the daemon process `from` announces or repeats.
void OnOpenRunNews(PoolBoard& board,
                   const DaemonProcess& from,
                   const wire::OpenRunNews& news,
                   Micros now,
                   PoolActions& actions);

// Sends the announcements that are due, and forgets the runs of others that are
// over by their time.
void OpenRunsTick(PoolBoard& board, Micros now, PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_WORKERS_OPEN_RUN_NEWS_H_
