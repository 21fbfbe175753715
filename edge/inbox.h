#ifndef EDGE_INBOX_H_
#define EDGE_INBOX_H_

// Queue of events from other threads to the thread of a socket loop.
//
// Droppable events are accepted up to a bound. All others are always accepted;
// their number is limited by the requests of the loop's thread, since each of
// them completes one such request.

#include <mutex>
#include <utility>
#include <vector>

#include "edge/socket_loop.h"

namespace goldcrest {

template <typename Event>
class Inbox {
 public:
  explicit Inbox(SocketLoop& loop) : loop_(loop) {}

  // Adds an event and wakes the loop. Callable from any thread. A droppable
  // event is discarded when the inbox is full.
  void Put(Event event, bool droppable) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (droppable && events_.size() >= kMaxEvents) {
        return;
      }
      events_.push_back(std::move(event));
    }
    loop_.Wake();
  }

  // Removes and returns all events, in the order in which they were added.
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
