#include "edge/socket_loop.h"

#include <algorithm>
#include <chrono>
#include <ctime>

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
  int mode = Poco::Net::PollSet::POLL_READ;
  mode |= writable ? Poco::Net::PollSet::POLL_WRITE : 0;
  poll_set_.update(socket, mode);
}

void SocketLoop::Remove(const Poco::Net::Socket& socket) {
  if (handlers_.erase(socket) > 0) {
    poll_set_.remove(socket);
  }
}

// The mark is taken back only after the bytes are read: a Wake() in between
// would otherwise lose its byte and keep its mark, and silence all later ones.
// What that Wake() announced is seen all the same, since the caller looks at
// its events after Poll().
void SocketLoop::DrainWakeUps() {
  char byte = 0;
  try {
    while (wake_socket_.receiveBytes(&byte, 1) > 0) {
    }
  } catch (const Poco::Exception&) {
    // Nothing left to read.
  }
  wake_pending_ = false;
}

void SocketLoop::Poll(Micros timeout) {
  const Poco::Timespan wait(std::max<Micros>(timeout, 0));
  const Poco::Net::PollSet::SocketModeMap ready = poll_set_.poll(wait);
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

Now ReadClock() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return {MonotonicMicros(),
          std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()};
}

Now ReadBootClock() {
  timespec boot = {};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  Now now = ReadClock();
  now.mono = boot.tv_sec * kSecond + boot.tv_nsec / 1000;
  return now;
}

}  // namespace goldcrest
