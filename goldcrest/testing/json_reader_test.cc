// Tests of the bounds on JSON bodies, which hold before a body is parsed.

#include "goldcrest/json_reader.h"

#include <catch2/catch.hpp>

#include <string>

namespace goldcrest {
namespace {

// Returns an array of `values` empty arrays.
std::string ArrayOf(size_t values) {
  std::string text = "[[]";
  for (size_t i = 1; i < values; ++i) {
    text += ",[]";
  }
  return text + "]";
}

// Guards against a body whose parsed values take many times its size.
TEST_CASE("ParseJson: the number of values is bounded") {
  CHECK(ParseJson(ArrayOf(kMaxJsonValues / 3)).has_value());
  CHECK_FALSE(ParseJson(ArrayOf(kMaxJsonValues)).has_value());
  // Text within a string counts as one value.
  CHECK(ParseJson("[\"" + std::string(2 * kMaxJsonValues, ',') + "\"]")
            .has_value());
}

// Guards against a body that exhausts the stack of the parser.
TEST_CASE("ParseJson: the depth is bounded") {
  CHECK_FALSE(ParseJson(std::string(100'000, '[') + std::string(100'000, ']'))
                  .has_value());
}

}  // namespace
}  // namespace goldcrest
