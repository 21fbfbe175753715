// Graceful stops of the simulated daemons.

#include "pool/testing/fake_pool.h"

namespace goldcrest {
namespace {

// Period of the check whether a stopping daemon is drained.
constexpr Micros kDrainedCheckPeriod = 5 * kMillisecond;
// How long a drained daemon continues to run, to send its last messages.
constexpr Micros kFlushTime = 100 * kMillisecond;

}  // namespace

void FakePool::StopControl(size_t control) {
  StepControl(control, PoolDrainRequested());
  EndWhenDrained({true, control, controls_[control].incarnation},
                 now_ + kStopGrace);
}

void FakePool::StopEntry(size_t entry) {
  StepEntry(entry, EntryDrainRequested());
  EndWhenDrained({false, entry, entries_[entry].incarnation},
                 now_ + kStopGrace);
}

void FakePool::EndWhenDrained(const Sender& process, Micros kill_at) {
  const size_t index = process.index;
  const int incarnation = process.is_control ? controls_[index].incarnation
                                             : entries_[index].incarnation;
  if (incarnation != process.incarnation) {
    return;  // killed or restarted by the test
  }
  const bool drained = process.is_control ? controls_[index].board.drained
                                          : entries_[index].board.drained;
  if (now_ < kill_at && !drained) {
    Schedule(now_ + kDrainedCheckPeriod,
             [this, process, kill_at] { EndWhenDrained(process, kill_at); });
    return;
  }
  if (drained && now_ + kFlushTime < kill_at) {
    Schedule(now_ + kFlushTime,
             [this, process] { EndWhenDrained(process, now_); });
    return;
  }
  killed_at_stop_ += drained ? 0 : 1;
  if (process.is_control) {
    KillControl(index);
  } else {
    KillEntry(index);
  }
}

}  // namespace goldcrest
