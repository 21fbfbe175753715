#include "goldcrest/configuration.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace goldcrest {

TEST_CASE(
    "Configuration: the canonical document parses and formats to the same "
    "text") {
  const Configuration configuration = DefaultConfiguration();
  const std::string text = ConfigurationJson(configuration);
  const auto parsed = ParseConfiguration(text);
  REQUIRE(parsed);
  CHECK(ConfigurationJson(*parsed) == text);
}

TEST_CASE(
    "Configuration: one parse reports every invalid field with its path") {
  const auto parsed = ParseConfiguration(R"({"service":"s","extra":1,
    "kinds":[{"name":"a","idempotent":false,"hedge":true},
             {"name":"a","idempotent":"yes","priority":10}],
    "teams":[{"name":"t","max_running_tasks":0}],
    "failure_domains":["x","x",3],
    "limits":{"retry_ratio":2}})");
  REQUIRE_FALSE(parsed);
  const auto has_error = [&](const std::string& field) {
    return std::any_of(
        parsed.error().begin(), parsed.error().end(),
        [&](const FieldError& error) { return error.field == field; });
  };
  for (const char* field :
       {"extra", "kinds[0].hedge", "kinds[1].idempotent", "kinds[1].priority",
        "kinds[1].name", "teams[0].max_running_tasks", "failure_domains[1]",
        "failure_domains[2]", "limits.retry_ratio"}) {
    CAPTURE(field);
    CHECK(has_error(field));
  }
}

TEST_CASE("Configuration: a document without kinds or teams is refused") {
  CHECK_FALSE(ParseConfiguration(R"({"service":"s","kinds":[],"teams":[]})"));
  CHECK_FALSE(ParseConfiguration(R"({"service":"s"})"));
  CHECK_FALSE(ParseConfiguration("null"));
}

}  // namespace goldcrest
