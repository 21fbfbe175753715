#ifndef POOL_ADMISSION_RETRY_AFTER_H_
#define POOL_ADMISSION_RETRY_AFTER_H_

// When a refused caller is told to return.
//
// The load that this addresses: a burst, a restart or the end of a partition
// refuses hundreds of callers within milliseconds. If all of them are told the
// same time, they return together and most of them are refused again. With
// overload control, each refused job books the next free time at the rate at
// which the pool can serve returning work beside the work that arrives anyway.

#include <map>
#include <string>

#include "pool/pool_board.h"

namespace goldcrest {

// The longest time after which a refused caller is told to come back.
inline constexpr int64_t kLongestRetryAfterMs = 10'000;

// What a refused job returns to.
struct ReturnTimes {
  Micros wait = 0;             // until capacity for the job will be free
  double work = 0;             // thousandths of a core times microseconds
  double rate_cpu_millis = 0;  // capacity for returning work; more than 0
};

// Returns the time until the job is to return, from 1 to 10 s, and books it in
// `returns`: for each interval of 100 ms, by its start, the time that the pool
// needs for the jobs that return in it. The job gets the first interval after
// its wait that has time left, so that jobs of different waits do not affect
// each other. Jobs of the same wait that are refused first return first. When
// the intervals up to 10 s are booked, they are booked a second time from the
// start: the wave is even, though it is larger than the pool can serve. The
// HTTP header rounds the time up to whole seconds.
Micros BookReturn(const ReturnTimes& times,
                  Micros now,
                  std::map<Micros, Micros>& returns);

// Returns the Retry-After of a refused order in milliseconds, from 1 to 10 s.
// `time_to_end` is the expected time until the job would end if it was accepted
// now; kNever if no worker could start it. With overload control, this books a
// return; without, it depends on `time_to_end` and the order's budget only.
int64_t RetryAfterMs(PoolBoard& board,
                     const wire::JobOrder& order,
                     Micros time_to_end,
                     Micros now);

// The same for a job that was accepted: `time_to_end` is derived from the queue
// of this daemon. 1 s without overload control.
int64_t RetryAfterMs(PoolBoard& board, const PoolJob& job, Micros now);

// Returns the Retry-After of a job that an entry daemon refuses itself, in
// milliseconds. It does not know when capacity will be free; with overload
// control, the jobs that it refuses at one time, as after a pause of its
// process, return spread over 3 s by their ids.
int64_t EntryRetryAfterMs(const PoolFeatures& features,
                          int64_t shortest_ms,
                          const std::string& job_id);

}  // namespace goldcrest

#endif  // POOL_ADMISSION_RETRY_AFTER_H_
