#ifndef EDGE_LOOP_DELAYS_H_
#define EDGE_LOOP_DELAYS_H_

// Iterations of a daemon's event loop that took long.
//
// While events are handled, the daemon reads nothing: heartbeats and answers
// wait in their sockets, and other daemons may take it for failed. Its log and
// its metrics tell such a delay from one of the network or of a worker.

#include <cstddef>
#include <cstdint>

#include "goldcrest/time_units.h"

namespace goldcrest {

// Iterations of at least this length are counted and logged. Below the timeout
// of an order to a worker.
inline constexpr Micros kDelayedIteration = 50 * kMillisecond;

struct LoopDelays {
  uint64_t iterations = 0;
  uint64_t delayed = 0;  // of at least kDelayedIteration
  Micros busy = 0;       // in all iterations, without waiting
  Micros longest = 0;
};

// Records an iteration that worked for `busy` and handled `events` events.
void RecordIteration(LoopDelays& delays, Micros busy, size_t events);

}  // namespace goldcrest

#endif  // EDGE_LOOP_DELAYS_H_
