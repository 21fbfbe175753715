#include "goldcrest/submission.h"

#include <string>

#include <catch2/catch.hpp>

namespace goldcrest {
namespace {

std::string Body(const std::string& extra) {
  return R"({"submission_id":"a","caller":"c","team":"t","kind":"k",)" + extra +
         R"("tasks":[{"run_ms":5,"payload":"p"}]})";
}

}  // namespace

TEST_CASE("a submission is read whole") {
  const auto submission = ParseSubmission(
      R"({"submission_id":"kochi-7f3a","caller":"st-marys","team":"peal",
          "kind":"knell","home":"kochi","submitted_at_ms":1796342400000,
          "deadline_ms":2000,"tasks":[{"run_ms":120,"payload":"x",
          "memory_mb":64,"accelerators":1}]})");
  REQUIRE(submission);
  CHECK(submission->home() == "kochi");
  CHECK(submission->deadline_ms() == 2000);
  CHECK(submission->tasks(0).memory_mb() == 64);
  CHECK(submission->tasks(0).accelerators() == 1);
}

TEST_CASE("the digest covers the content but not the time of submission") {
  const auto plain = ParseSubmission(Body(""));
  const auto timed = ParseSubmission(Body(R"("submitted_at_ms":5,)"));
  const auto other = ParseSubmission(Body(R"("deadline_ms":5,)"));
  CHECK(plain->digest() == timed->digest());
  CHECK(plain->digest() != other->digest());
}

TEST_CASE("every wrong body is an error that names its field") {
  struct Case {
    std::string body;
    std::string field;
    ResultCode code;
  };
  const Case cases[] = {
      {"", "", ResultCode::kMalformedBody},
      {"[]", "", ResultCode::kMalformedBody},
      {"{\"a\":", "", ResultCode::kMalformedBody},
      {std::string(100000, '['), "", ResultCode::kMalformedBody},
      {"\"\xff\xfe\"", "", ResultCode::kMalformedBody},
      {"{}", "submission_id", ResultCode::kMissingField},
      {Body(R"("bogus":1,)"), "bogus", ResultCode::kUnknownField},
      {Body(R"("deadline_ms":0,)"), "deadline_ms", ResultCode::kOutOfRange},
      {Body(R"("deadline_ms":1.5,)"), "deadline_ms", ResultCode::kOutOfRange},
      {Body(R"("deadline_ms":true,)"), "deadline_ms", ResultCode::kOutOfRange},
      {Body(R"("deadline_ms":1e300,)"), "deadline_ms", ResultCode::kOutOfRange},
      {Body(R"("home":"a/b",)"), "home", ResultCode::kOutOfRange},
      {Body(R"("home":7,)"), "home", ResultCode::kOutOfRange},
      {R"({"submission_id":"a","caller":"c","team":"t","kind":"k","tasks":[]})",
       "tasks", ResultCode::kOutOfRange},
      {R"({"submission_id":"a","caller":"c","team":"t","kind":"k",
           "tasks":[{"run_ms":-1}]})",
       "tasks[0].run_ms", ResultCode::kOutOfRange},
  };
  for (const Case& one : cases) {
    const auto submission = ParseSubmission(one.body);
    CAPTURE(one.body.substr(0, 120));
    REQUIRE_FALSE(submission);
    CHECK(submission.error().field == one.field);
    CHECK(submission.error().code == one.code);
  }
}

TEST_CASE("answers are written as the interface says") {
  wire::JobResult result =
      MakeResult(Outcome::kComplete, Ran::kAll, ResultCode::kOk);
  result.add_outputs("a\"b");
  CHECK(ResultStatus(result) == 200);
  CHECK(ResultJson("x", result) ==
        R"({"submission_id":"x","outcome":"complete","answers":)"
        R"([{"index":0,"output":"a\"b"}]})");
  wire::JobResult refusal =
      MakeResult(Outcome::kRefused, Ran::kNone, ResultCode::kQueueFull);
  refusal.set_retry_after_ms(300);
  CHECK(ResultStatus(refusal) == 429);
  CHECK(ResultJson("x", refusal).find(R"("ran":"none","code":200)") !=
        std::string::npos);
  CHECK(ResultJson("x", refusal).find(R"("retry_after_ms":300)") !=
        std::string::npos);
}

}  // namespace goldcrest
