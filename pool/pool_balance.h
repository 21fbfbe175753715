#ifndef POOL_POOL_BALANCE_H_
#define POOL_POOL_BALANCE_H_

// Moves of waiting jobs to the pools of other control daemons after admission.
//
// A job is placed in a pool when it arrives. If the pool then loses workers, or
// other pools become idle, its queue grows while capacity is free elsewhere.
// The load that this module addresses: six pools, of which some have 400
// waiting tasks and others 100.
//
// Only jobs of which no task has started, and whose start permission was not
// requested, are moved. A daemon that drains moves the latter too. This daemon
// forgets the job before it sends it, so there is never a second owner, and a
// start permission that was requested or granted here is void: the number of
// moves in JobMoved tells the entry daemon that it was returned unused, and a
// permission from before a move is not accepted after it. A lost message is
// noticed by the entry daemon, to which the receiver confirms the job
// (JobMoved).
//
// Loads are up to 350 ms old, and several pools see the same idle neighbour.
// Three rules keep jobs from going back and forth: the waits must differ by a
// factor (OutweighsForwarding()), each job is moved rarely (BalanceLimits), and
// a daemon assumes that each pool with a longer queue than the target sends it
// as many jobs as it does itself.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "pool/job_forwarding.h"
#include "pool/load_report.h"
#include "pool/pool_board.h"

namespace goldcrest {

// Limits of the moves of waiting jobs.
struct BalanceLimits {
  // Jobs moved in one tick. A move costs two messages, and the loads of the
  // neighbours are corrected by estimates only until their next heartbeats.
  size_t moves_per_tick = 8;
  // Moves of one job, including forwarding at its arrival.
  uint32_t moves_per_job = kMaxMoves;
  // A job stays at a daemon at least this long after it was forwarded to it:
  // two heartbeats, so that the loads include it.
  Micros min_stay = 200 * kMillisecond;
  // Waiting tasks that are considered in one tick.
  size_t tasks_per_tick = 2000;
};

// A job that may be moved.
struct MovableJob {
  std::string key;  // of PoolBoard::jobs
  std::string job_id;
  InitialTasks initial;
  int32_t priority = 0;
  // Whether it can still be on time, and thus is placed before late jobs.
  bool on_time = true;
  int64_t wait_ms = 0;  // expected wait here, from the tasks ahead of it
  // Wait, in milliseconds, after which it could no longer end before its
  // caller's timeout.
  int64_t longest_wait_ms = 0;
};

// Returns the jobs that may be moved now, in the order of the queue.
std::vector<MovableJob> FindMovableJobs(const PoolBoard& board,
                                        const BalanceLimits& limits,
                                        Micros now);

// A move of a waiting job.
struct JobMove {
  size_t job = 0;             // index in the movable jobs
  size_t target = 0;          // index in the targets
  int64_t their_wait_ms = 0;  // expected wait there
};

// A pool that jobs may be moved to.
struct BalanceTarget {
  MeshMember* member = nullptr;
  // Number of pools, including this one, that are assumed to send jobs there.
  int64_t senders = 1;
};

// Decides which jobs are moved where, and adjusts the known loads of the
// targets by them until the next heartbeats. `self` are the options of this
// daemon.
std::vector<JobMove> PlanMoves(const std::vector<MovableJob>& jobs,
                               const std::vector<BalanceTarget>& targets,
                               const MeshOptions& self,
                               const BalanceLimits& limits);

// Moves waiting jobs to other control daemons that can start them earlier.
// Called when time advances.
void BalanceTick(PoolBoard& board, Micros now, PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_POOL_BALANCE_H_
