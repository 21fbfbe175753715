#include "edge/worker_calls.h"

#include <catch2/catch.hpp>

namespace goldcrest {
namespace {

HttpResponse Response(int status, const std::string& body) {
  HttpResponse response;
  response.status = status;
  response.body = body;
  return response;
}

// Returns a start of task 3 of the submission "job".
StartTask Start() {
  StartTask start;
  start.worker = "w";
  start.address = "127.0.0.1:1";
  start.submission_id = "job";
  start.index = 3;
  return start;
}

TaskOutcome StartOutcome(int status, const std::string& body) {
  return DecodeStartResponse(Start(), CallEnd::kResponse,
                             Response(status, body))
      .outcome;
}

TaskAnswer LookupAnswer(const std::string& body) {
  const LookupTask lookup{"w", "127.0.0.1:1", "job", 3, 1};
  return DecodeLookupResponse(lookup, CallEnd::kResponse, Response(200, body));
}

}  // namespace

TEST_CASE(
    "WorkerCalls: only a response that names the task is accepted as its "
    "result") {
  CHECK(StartOutcome(200, R"({"task_id":"job/3","output":"x"})") ==
        TaskOutcome::kDone);
  for (const char* body : {R"({"task_id":"job/4","output":"x"})",
                           R"({"output":"x"})", "{", "", "[]", "7"}) {
    CHECK(StartOutcome(200, body) == TaskOutcome::kUnanswered);
  }
}

TEST_CASE(
    "WorkerCalls: the HTTP status tells whether a task may have been "
    "executed") {
  CHECK(ProvesNotRun(StartOutcome(409, "")));
  CHECK(ProvesNotRun(StartOutcome(429, "")));
  CHECK(ProvesNotRun(StartOutcome(503, "")));
  CHECK(StartOutcome(500, "") == TaskOutcome::kFailed);
  CHECK(StartOutcome(404, "") == TaskOutcome::kUnanswered);
  CHECK(
      DecodeStartResponse(Start(), CallEnd::kNotSent, HttpResponse()).outcome ==
      TaskOutcome::kNotSent);
  CHECK(DecodeStartResponse(Start(), CallEnd::kNoResponse, HttpResponse())
            .outcome == TaskOutcome::kUnanswered);
}

TEST_CASE("WorkerCalls: invalid numbers in a response are read as 0") {
  const TaskAnswer valid =
      LookupAnswer(R"({"task_id":"job/3","state":"never_seen",)"
                   R"("lease_epoch":1796351392639,"incarnation":7})");
  CHECK(valid.outcome == TaskOutcome::kNeverSeen);
  CHECK(valid.lease_epoch == 1796351392639);
  CHECK(valid.worker_incarnation == 7);
  for (const char* number : {"-1", "1e40", "true", "\"7\"", "null", "1.5"}) {
    const TaskAnswer invalid =
        LookupAnswer(R"({"state":"done","output":"x","lease_epoch":)" +
                     std::string(number) + "}");
    CHECK(invalid.outcome == TaskOutcome::kDone);
    CHECK(invalid.lease_epoch == 0);
  }
  // A number that the JSON parser rejects makes the whole body invalid.
  CHECK(
      LookupAnswer(R"({"state":"done","incarnation":99999999999999999999999})")
          .outcome == TaskOutcome::kLookupFailed);
}

}  // namespace goldcrest
