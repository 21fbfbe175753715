#ifndef POOL_STRAGGLERS_H_
#define POOL_STRAGGLERS_H_

// Runs that take far longer than expected, and the workers where they do.
//
// A job is as late as its last task, so one slow worker in ten makes most jobs
// of eight tasks late. Two things are done about it: a worker where a run takes
// too long gets no tasks while others have room, and the run itself moves when
// what it will still take is clearly more than a new run elsewhere. Estimates
// are off by half, so a run is judged by the progress that its worker tells as
// soon as that says enough, and by its age only when it is long overdue.
//
// Answers the load in which a tenth of the workers slows down or stands still.

#include "goldcrest/time_units.h"
#include "pool/pool_board.h"

namespace goldcrest {

// One run as its daemon knows it.
struct RunProgress {
  Micros age = 0;       // since its start was answered
  Micros expected = 0;  // run time
  int percent = 0;      // as the worker last told it,
  Micros told_at = 0;   // at this age; 0: never
};

// Returns what the run will still take at the pace that it has shown; kNever
// when it has shown none.
Micros TimeLeft(const RunProgress& run);

// Says whether the run takes so much longer than expected that its worker must
// be slow.
bool IsStraggler(const RunProgress& run);

// Says whether a new run of `anew` elsewhere, `time_left` before its caller's
// timeout, is clearly better than going on.
bool PaysToMove(const RunProgress& run, Micros anew, Micros time_left);

// Marks the workers of stragglers, and stops the runs that are to move. A run
// moves only when nothing waits for the room.
void MoveStragglers(PoolBoard& board, Micros now, PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_STRAGGLERS_H_
