#ifndef EDGE_STOP_SIGNALS_H_
#define EDGE_STOP_SIGNALS_H_

// Handling of SIGTERM and SIGINT for a graceful shutdown.
//
// Call BlockStopSignals() before the program starts any thread, then keep a
// StopSignalWatcher for as long as it serves. The first signal calls
// `on_stop` on the watcher's own thread. Later SIGTERMs have no effect, since
// supervisors repeat them and the stop is bounded. A second SIGINT, as from a
// terminal, ends the process immediately with kExitFailure.

#include <atomic>
#include <functional>
#include <thread>

namespace goldcrest {

// Blocks the stop signals in this thread and in threads that it starts later.
// Also ignores SIGPIPE, since the writes themselves report broken connections,
// and SIGHUP, which no program needs for a reload.
void BlockStopSignals();

class StopSignalWatcher {
 public:
  explicit StopSignalWatcher(std::function<void()> on_stop);
  ~StopSignalWatcher();
  StopSignalWatcher(const StopSignalWatcher&) = delete;
  StopSignalWatcher& operator=(const StopSignalWatcher&) = delete;

 private:
  void Watch();

  std::function<void()> on_stop_;
  std::atomic<bool> done_{false};
  std::thread thread_;
};

}  // namespace goldcrest

#endif  // EDGE_STOP_SIGNALS_H_
