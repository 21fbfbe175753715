#include "edge/socket_loop.h"

#include <atomic>
#include <thread>

#include <catch2/catch.hpp>

namespace goldcrest {

TEST_CASE("no wake-up is lost between two polls") {
  SocketLoop loop;
  std::atomic<int> announced{0};
  constexpr int kAnnouncements = 20'000;
  std::thread other([&] {
    for (int i = 0; i < kAnnouncements; ++i) {
      ++announced;
      loop.Wake();
    }
  });
  // A lost wake-up would leave a poll waiting for its whole timeout.
  int seen = 0;
  int empty_polls = 0;
  while (seen < kAnnouncements) {
    loop.Poll(2 * kSecond);
    const int now = announced;
    empty_polls += now == seen ? 1 : 0;
    seen = now;
  }
  other.join();
  CHECK(seen == kAnnouncements);
  // Each wake-up may at most be followed by one poll that finds nothing new.
  CHECK(empty_polls <= kAnnouncements);
  loop.Wake();
  const Micros before = MonotonicMicros();
  loop.Poll(30 * kSecond);
  loop.Wake();
  loop.Poll(30 * kSecond);
  CHECK(MonotonicMicros() - before < 30 * kSecond);
}

}  // namespace goldcrest
