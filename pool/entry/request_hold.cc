#include "pool/entry/request_hold.h"

#include "pool/entry/pending_jobs.h"
#include "pool/entry/standby.h"

namespace goldcrest {
namespace {

// Requests are held only during this first part of an outage. When all daemons
// restart, the control daemons have elected a leader and claimed their workers
// within about a second.
constexpr Micros kLongestHeldOutage = 1500 * kMillisecond;

}  // namespace

bool CanServe(const EntryBoard& board, Micros now) {
  return board.routing.version() > 0 &&
         (ChooseControl(board.pool.mesh, now).has_value() ||
          HasReadyWorkers(board.pool));
}

void UpdateOutage(OutageClock& outage, const EntryBoard& board, Micros now) {
  if (CanServe(board, now)) {
    outage.began_at = 0;
  } else if (outage.began_at == 0) {
    outage.began_at = now;
  }
}

bool ShouldHold(const OutageClock& outage,
                const EntryBoard& board,
                Micros received_at,
                Micros now) {
  return outage.began_at != 0 && !detail::MayHoldJobs(board, now) &&
         !board.draining && now >= board.refuse_until &&
         now - received_at < board.options.hold_requests &&
         now - outage.began_at < kLongestHeldOutage;
}

}  // namespace goldcrest
