// Tests of the list of held requests.

#include <vector>

#include <catch2/catch.hpp>

#include "edge/held_requests.h"

namespace goldcrest {
namespace {

HeldRequest MakeHeld(RequestToken token, size_t body_bytes = 10) {
  HeldRequest held;
  held.token = token;
  held.request.body = std::string(body_bytes, 'x');
  return held;
}

std::vector<RequestToken> ReleaseAll(HeldRequests& held) {
  std::vector<RequestToken> released;
  held.Release([](const HeldRequest&) { return false; },
               [&](const HeldRequest& one) { released.push_back(one.token); });
  return released;
}

// Guards against answering a caller that has left, and against serving later
// callers first.
TEST_CASE("HeldRequests: releases in order, without disconnected callers") {
  HeldRequests held;
  for (RequestToken token = 1; token <= 4; ++token) {
    REQUIRE(held.Add(MakeHeld(token)));
  }
  CHECK(held.Remove(2));
  CHECK_FALSE(held.Remove(2));
  CHECK(ReleaseAll(held) == std::vector<RequestToken>{1, 3, 4});
  CHECK(held.size() == 0);
}

// Guards against a VM that runs out of memory when requests pile up.
TEST_CASE(
    "HeldRequests: the number and the size of held requests are bounded") {
  HeldRequests many;
  RequestToken token = 0;
  while (token < 10'000 && many.Add(MakeHeld(token + 1))) {
    ++token;
  }
  CHECK(token < 10'000);
  HeldRequests large;
  token = 0;
  while (token < 100 && large.Add(MakeHeld(token + 1, 1024 * 1024))) {
    ++token;
  }
  CHECK(token < 100);
  ReleaseAll(large);
  CHECK(large.Add(MakeHeld(1, 1024 * 1024)));  // the space is free again
}

}  // namespace
}  // namespace goldcrest
