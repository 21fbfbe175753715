#ifndef SOAK_DAEMON_HISTORY_H_
#define SOAK_DAEMON_HISTORY_H_

// When the processes of a daemon ran, when faults may have ended the
// connections of its callers, and which of those it refused. All times are
// monotonic.

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "goldcrest/time_units.h"

namespace goldcrest {

// The end of a span that has not ended.
inline constexpr Micros kStillOpen = std::numeric_limits<Micros>::max();

struct TimeSpan {
  Micros begin = 0;
  Micros end = kStillOpen;
};

// A connection of a caller that the daemon's host refused, since nothing
// listened there. The daemon has received nothing of it.
struct RefusedConnection {
  uint16_t client_port = 0;  // of the caller's side
  Micros connect_at = 0;     // when the daemon's side was connected and refused
  Micros ended_at = 0;       // not later than the caller can notice the end
};

// The history of one daemon in a soak.
struct DaemonHistory {
  std::string name;
  // The processes of the daemon, from the start of each until it was last seen
  // running.
  std::vector<TimeSpan> processes;
  // Faults after which a caller may lack an answer: kills, pauses, resets, and
  // slow or cut links between callers and the daemon.
  std::vector<TimeSpan> faults;
  // Connections of callers that were refused, as the relays recorded them.
  std::vector<RefusedConnection> refused;
};

}  // namespace goldcrest

#endif  // SOAK_DAEMON_HISTORY_H_
