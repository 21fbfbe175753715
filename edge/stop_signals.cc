#include "edge/stop_signals.h"

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <utility>

#include "edge/settings.h"

namespace goldcrest {
namespace {

constexpr timespec kPollPeriod = {0, 100'000'000};  // 100 ms

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
  const sigset_t signals = StopSignalSet();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

StopSignalWatcher::StopSignalWatcher(std::function<void()> on_stop)
    : on_stop_(std::move(on_stop)), thread_([this] { Watch(); }) {}

StopSignalWatcher::~StopSignalWatcher() {
  done_ = true;
  thread_.join();
}

void StopSignalWatcher::Watch() {
  const sigset_t signals = StopSignalSet();
  bool stopping = false;
  while (!done_) {
    if (sigtimedwait(&signals, nullptr, &kPollPeriod) <= 0) {
      continue;
    }
    if (stopping) {
      std::_Exit(kExitFailure);
    }
    stopping = true;
    on_stop_();
  }
}

}  // namespace goldcrest
