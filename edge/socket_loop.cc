#include "edge/socket_loop.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

namespace goldcrest {

SocketLoop::SocketLoop() {
  wake_socket_.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
  wake_socket_.connect(wake_socket_.address());
  wake_socket_.setBlocking(false);
  poll_set_.add(wake_socket_, Poco::Net::PollSet::POLL_READ);
}

void SocketLoop::Add(const Poco::Net::Socket& socket,
                     SocketHandler* handler,
                     bool writable) {
  handlers_[socket] = handler;
  int mode = Poco::Net::PollSet::POLL_READ;
  mode |= writable ? Poco::Net::PollSet::POLL_WRITE : 0;
  poll_set_.add(socket, mode);
}

void SocketLoop::WatchWritable(const Poco::Net::Socket& socket, bool writable) {
  Watch(socket, true, writable);
}

void SocketLoop::Watch(const Poco::Net::Socket& socket,
                       bool readable,
                       bool writable) {
  int mode = readable ? Poco::Net::PollSet::POLL_READ : 0;
  mode |= writable ? Poco::Net::PollSet::POLL_WRITE : 0;
  poll_set_.update(socket, mode);
}

void SocketLoop::Remove(const Poco::Net::Socket& socket) {
  if (handlers_.erase(socket) > 0) {
    poll_set_.remove(socket);
  }
}

// Clears wake_pending_ only after all bytes are read. If it were cleared first,
// a concurrent Wake() could have its byte read here but leave wake_pending_
// set, and all later calls of Wake() would have no effect. The event of a
// Wake() that finds wake_pending_ still set is not lost, since the caller
// checks its events after each Poll().
void SocketLoop::DrainWakeUps() {
  char byte = 0;
  try {
    while (wake_socket_.receiveBytes(&byte, 1) > 0) {
    }
  } catch (const Poco::Exception&) {
    // The receive buffer is empty.
  }
  wake_pending_ = false;
}

void SocketLoop::Defer(const Poco::Net::Socket& socket) {
  deferred_.push_back(socket);
}

void SocketLoop::RunDeferred(const std::vector<Poco::Net::Socket>& sockets) {
  for (const Poco::Net::Socket& socket : sockets) {
    const auto found = handlers_.find(socket);
    if (found != handlers_.end()) {
      found->second->OnReadable();
    }
  }
}

void SocketLoop::Poll(Micros timeout) {
  const std::vector<Poco::Net::Socket> deferred = std::exchange(deferred_, {});
  const Poco::Timespan wait(deferred.empty() ? std::max<Micros>(timeout, 0)
                                             : 0);
  polled_at_ = MonotonicMicros();
  const Poco::Net::PollSet::SocketModeMap ready = poll_set_.poll(wait);
  woke_at_ = MonotonicMicros();
  for (const auto& [socket, mode] : ready) {
    if (socket == wake_socket_) {
      DrainWakeUps();
      continue;
    }
    const bool error = (mode & Poco::Net::PollSet::POLL_ERROR) != 0;
    const bool writable = (mode & Poco::Net::PollSet::POLL_WRITE) != 0;
    const bool readable = (mode & Poco::Net::PollSet::POLL_READ) != 0;
    auto found = handlers_.find(socket);
    if (writable && found != handlers_.end()) {
      found->second->OnWritable();
      found = handlers_.find(socket);
    }
    if ((readable || error) && found != handlers_.end()) {
      found->second->OnReadable();
    }
  }
  RunDeferred(deferred);
}

void SocketLoop::Wake() {
  if (wake_pending_.exchange(true)) {
    return;
  }
  try {
    const char byte = 0;
    wake_socket_.sendBytes(&byte, 1);
  } catch (const Poco::Exception&) {
    wake_pending_ = false;
  }
}

Micros MonotonicMicros() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

StepTime ReadClock() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return {MonotonicMicros(),
          std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()};
}

StepTime ReadBootClock() {
  timespec boot = {};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  StepTime now = ReadClock();
  now.mono = boot.tv_sec * kSecond + boot.tv_nsec / 1000;
  return now;
}

}  // namespace goldcrest
