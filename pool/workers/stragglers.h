#ifndef POOL_WORKERS_STRAGGLERS_H_
#define POOL_WORKERS_STRAGGLERS_H_

// Detection and relocation of attempts that take far longer than expected.
//
// A job is as late as its last task, so one slow worker in ten makes most jobs
// of eight tasks late. There are two countermeasures: a worker on which an
// attempt takes too long gets no tasks while others have free capacity, and the
// attempt itself is stopped and restarted elsewhere when its remaining time
// clearly exceeds that of a new attempt. Estimates of run times are off by
// half, so an attempt is judged by the progress that its worker reports as soon
// as that is significant, and by its age only when it is long overdue.
//
// This handles the load in which a tenth of the workers slows down or stalls.

#include "goldcrest/time_units.h"
#include "pool/pool_board.h"

namespace goldcrest {

// Age and progress of one attempt as known to the daemon that ordered it.
struct AttemptProgress {
  Micros age = 0;                // since its start was answered
  Micros expected_run_time = 0;  // run time
  int percent = 0;               // as last reported by the worker
  Micros reported_at = 0;  // age of the attempt at that report; 0: no report
};

// Returns the progress of a running attempt.
AttemptProgress ProgressOf(const WorkerAttempt& attempt, Micros now);

// Returns whether the attempt ran long enough before its last report for its
// progress to be judged.
bool IsProgressSignificant(const AttemptProgress& attempt);

// Returns whether the attempt is far beyond its expected run time.
bool IsOverdue(const AttemptProgress& attempt);

// Returns the remaining run time of the attempt, extrapolated from its reported
// progress; kNever if it has reported none.
Micros RemainingRunTime(const AttemptProgress& attempt);

// Returns whether the attempt takes so much longer than expected that its
// worker must be slow.
bool IsStraggler(const AttemptProgress& attempt);

// Returns whether a new attempt elsewhere, which would take `new_run_time`, is
// clearly better than continuing this one. `time_to_deadline` is the time until
// the caller's timeout.
bool IsWorthMoving(const AttemptProgress& attempt,
                   Micros new_run_time,
                   Micros time_to_deadline);

// Marks the workers of stragglers as slow (with run_times_by_worker only on
// evidence about the worker itself, see slow_evidence.h), and stops the
// attempts that are to be restarted elsewhere. Attempts are moved only while no
// task waits for free capacity.
void MoveStragglers(PoolBoard& board, Micros now, PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_WORKERS_STRAGGLERS_H_
