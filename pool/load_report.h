#ifndef POOL_LOAD_REPORT_H_
#define POOL_LOAD_REPORT_H_

// The load that a control daemon reports to other daemons, and its use.
//
// With PoolFeatures::move_waiting_jobs, a load states how many tasks of a size
// the pool can hold now, and how long tasks of each priority wait. The total of
// the free CPU hides whether the free capacity of one worker is enough for a
// task, and an average wait hides that urgent tasks wait less. A peer without
// the feature reports no waits; its totals are used instead.

#include <cstdint>

#include "pool/pool_board.h"

namespace goldcrest {

// The initial tasks of a job, that is, those of steps that can start at once.
struct InitialTasks {
  int64_t tasks = 0;
  int64_t largest_cpu_millis = 0;  // CPU of the largest of them
  int64_t cpu_millis = 0;          // of all of them
  // CPU of all of them times the estimated run time of those of the first step,
  // in thousandths of a core times milliseconds.
  int64_t work = 0;
};

// Recomputes the load that this daemon reports in its heartbeats.
void UpdateLoad(PoolBoard& board, Micros now);

InitialTasks InitialTasksOf(const wire::JobOrder& order);

// Returns whether the load has holes and waits.
bool StatesHolesAndWaits(const wire::PoolLoad& load);

// Returns how many tasks of this size the pool can hold now, in addition to
// those that wait there. The answer is a lower bound: sizes between two classes
// count as the larger one.
int64_t HolesFor(const wire::PoolLoad& load, int64_t cpu_millis);

// Returns whether the pool can start all initial tasks at once.
bool HoldsAtOnce(const wire::PoolLoad& load, const InitialTasks& initial);

// Returns the expected wait, in milliseconds, of a task of this priority that
// arrives now.
int64_t ExpectedWaitMs(const wire::PoolLoad& load, int32_t priority);

// Adjusts a load that another daemon reported by a job of this priority that
// was sent there since, `times` times. Used until its next heartbeat.
void AddJobToLoad(wire::PoolLoad& load,
                  const InitialTasks& initial,
                  int32_t priority,
                  int64_t times);

// Adds a job that was accepted since the last UpdateLoad() to
// PoolBoard::queue_work. Does nothing without PoolFeatures::move_waiting_jobs.
void AddToQueueWork(PoolBoard& board, const PoolJob& job);

// Returns the CPU, in thousandths of a core, that works on the queue: the total
// of the workers that accept tasks, or if tasks are waiting, the part in use,
// since the rest is free capacity that they do not fit into. 0 if no worker
// accepts tasks.
int64_t WorkingCpuMillis(const PoolBoard& board, Micros now);

// Returns the remaining work of one waiting task, in thousandths of a core
// times milliseconds.
int64_t WorkOf(const WaitingKey& key, const PoolJob& job);

}  // namespace goldcrest

#endif  // POOL_LOAD_REPORT_H_
