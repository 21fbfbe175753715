#include "edge/loop_delays.h"

#include <algorithm>
#include <string>

#include "edge/logging.h"

namespace goldcrest {

void RecordIteration(LoopDelays& delays, Micros busy, size_t events) {
  ++delays.iterations;
  delays.busy += busy;
  delays.longest = std::max(delays.longest, busy);
  if (busy < kDelayedIteration) {
    return;
  }
  ++delays.delayed;
  WriteLog({LogLevel::kWarning,
            "loop_delayed",
            {{"busy_ms", std::to_string(busy / kMillisecond)},
             {"events", std::to_string(events)}}});
}

}  // namespace goldcrest
