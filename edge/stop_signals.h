#ifndef EDGE_STOP_SIGNALS_H_
#define EDGE_STOP_SIGNALS_H_

// SIGTERM and SIGINT of a program that shuts down gracefully.
//
// Call BlockStopSignals() before the program starts any thread, then keep a
// StopSignalWatcher for as long as it serves. The first signal calls
// `on_stop`, from the watcher's own thread; the second ends the process at
// once with kExitFailure.

#include <atomic>
#include <functional>
#include <thread>

namespace goldcrest {

// Keeps the stop signals away from this thread and those it starts, and
// ignores SIGPIPE, whose failures come back from the writes themselves.
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
