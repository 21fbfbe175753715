#ifndef POOL_WORKERS_CRASH_NEWS_H_
#define POOL_WORKERS_CRASH_NEWS_H_

// How a crash of a worker reaches the tasks that ran on it, at this daemon and
// at the others.
//
// Every control daemon, and the entry daemons of the own failure domain, which
// order workers while no control daemon is reachable, get each crash at once
// and all known crashes when they appear. So the count holds when a job is
// forwarded, moves with a daemon that stops or fails, or is sent again under
// its id. What is lost with a daemon is the crash that it alone has seen in the
// moment of its own end.

#include <string>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// Records a crash for one task, and fails its job if the task has used up its
// crashes. Returns whether the crash was not known yet.
bool ApplyTaskCrash(PoolBoard& board,
                    const TaskCrash& crash,
                    Micros now,
                    PoolActions& actions);

// Takes note that a process which was born at `born_ms` has answered at the
// address: fails the jobs whose tasks have used up their crashes now, and tells
// the other daemons.
void OnLaterProcessAnswered(PoolBoard& board,
                            const std::string& address,
                            int64_t born_ms,
                            Micros now,
                            PoolActions& actions);

// Sends the crashes of the worker at `address` to the other daemons.
void SendCrashes(PoolBoard& board,
                 const std::vector<TaskCrash>& crashes,
                 const std::string& address,
                 Micros now,
                 PoolActions& actions);

// Tells the other daemons that a process which counted as crashed is alive.
void SendWithdrawal(PoolBoard& board,
                    const CrashedProcess& process,
                    Micros now,
                    PoolActions& actions);

// Sends all known crashes to the daemon at the mesh address `to`.
void SendCrashLedger(const PoolBoard& board,
                     const std::string& to,
                     Micros now,
                     PoolActions& actions);

// Handles the crashes that another daemon reports.
void OnCrashNews(PoolBoard& board,
                 const wire::CrashNews& news,
                 Micros now,
                 PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_WORKERS_CRASH_NEWS_H_
