#ifndef EDGE_INBOX_H_
#define EDGE_INBOX_H_

// Events that other threads put in for the thread of a socket loop.
//
// Bounded for events that may be lost; those that may not are always taken,
// since each of them answers something that the loop's thread asked for.

#include <mutex>
#include <utility>
#include <vector>

#include "edge/socket_loop.h"

namespace goldcrest {

template <typename Event>
class Inbox {
 public:
  explicit Inbox(SocketLoop& loop) : loop_(loop) {}

  // Puts an event in and wakes the loop. One that may be lost is dropped when
  // the inbox is full.
  void Put(Event event, bool may_be_lost) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (may_be_lost && events_.size() >= kMaxEvents) {
        return;
      }
      events_.push_back(std::move(event));
    }
    loop_.Wake();
  }

  std::vector<Event> TakeAll() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(events_, {});
  }

 private:
  static constexpr size_t kMaxEvents = 200'000;

  SocketLoop& loop_;
  std::mutex mutex_;
  std::vector<Event> events_;
};

}  // namespace goldcrest

#endif  // EDGE_INBOX_H_
