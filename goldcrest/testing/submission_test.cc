#include "goldcrest/submission.h"

#include <string>

#include <catch2/catch.hpp>

namespace goldcrest {
namespace {

std::string BodyWith(const std::string& extra_fields) {
  return R"({"submission_id":"a","caller":"c","team":"t","kind":"k",)" +
         extra_fields + R"("tasks":[{"run_ms":5,"payload":"p"}]})";
}

}  // namespace

TEST_CASE("Submission: all fields of a valid body are parsed") {
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

TEST_CASE(
    "Submission: the digest covers the content but not the submission time") {
  const auto without_time = ParseSubmission(BodyWith(""));
  const auto with_time = ParseSubmission(BodyWith(R"("submitted_at_ms":5,)"));
  const auto with_deadline = ParseSubmission(BodyWith(R"("deadline_ms":5,)"));
  CHECK(without_time->digest() == with_time->digest());
  CHECK(without_time->digest() != with_deadline->digest());
}

TEST_CASE(
    "Submission: each invalid body is refused with its field and result code") {
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
      {BodyWith(R"("bogus":1,)"), "bogus", ResultCode::kUnknownField},
      {BodyWith(R"("deadline_ms":0,)"), "deadline_ms", ResultCode::kOutOfRange},
      {BodyWith(R"("deadline_ms":1.5,)"), "deadline_ms",
       ResultCode::kOutOfRange},
      {BodyWith(R"("deadline_ms":true,)"), "deadline_ms",
       ResultCode::kOutOfRange},
      {BodyWith(R"("deadline_ms":1e300,)"), "deadline_ms",
       ResultCode::kOutOfRange},
      {BodyWith(R"("home":"a/b",)"), "home", ResultCode::kOutOfRange},
      {BodyWith(R"("home":7,)"), "home", ResultCode::kOutOfRange},
      {R"({"submission_id":"a","caller":"c","team":"t","kind":"k","tasks":[]})",
       "tasks", ResultCode::kOutOfRange},
      {R"({"submission_id":"a","caller":"c","team":"t","kind":"k",
           "tasks":[{"run_ms":-1}]})",
       "tasks[0].run_ms", ResultCode::kOutOfRange},
  };
  for (const Case& invalid : cases) {
    const auto submission = ParseSubmission(invalid.body);
    CAPTURE(invalid.body.substr(0, 120));
    REQUIRE_FALSE(submission);
    CHECK(submission.error().field == invalid.field);
    CHECK(submission.error().code == invalid.code);
  }
}

TEST_CASE("Submission: answers have the documented status and JSON") {
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
