#include "edge/stop_signals.h"

#include <csignal>
#include <cstdlib>
#include <utility>

#include "edge/settings.h"

namespace goldcrest {
namespace {

sigset_t StopSignalSet() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  signal(SIGPIPE, SIG_IGN);
  signal(SIGHUP, SIG_IGN);
  const sigset_t signals = StopSignalSet();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

StopSignalWatcher::StopSignalWatcher(std::function<void()> on_stop)
    : on_stop_(std::move(on_stop)), thread_([this] { Watch(); }) {}

StopSignalWatcher::~StopSignalWatcher() {
  done_ = true;
  // Ends the watcher's wait; only that thread receives this signal.
  pthread_kill(thread_.native_handle(), SIGINT);
  thread_.join();
}

void StopSignalWatcher::Watch() {
  const sigset_t signals = StopSignalSet();
  bool stopping = false;
  int interrupts = 0;
  while (!done_) {
    const int received = sigwaitinfo(&signals, nullptr);
    if (received <= 0 || done_) {
      continue;
    }
    interrupts += received == SIGINT ? 1 : 0;
    if (interrupts > 1) {
      std::_Exit(kExitFailure);
    }
    if (!stopping) {
      stopping = true;
      on_stop_();
    }
  }
}

}  // namespace goldcrest
