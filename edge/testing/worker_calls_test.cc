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

StartTask Start() {
  StartTask start;
  start.worker = "w";
  start.address = "127.0.0.1:1";
  start.submission_id = "job";
  start.index = 3;
  return start;
}

TaskOutcome StartOutcome(int status, const std::string& body) {
  return ReadStartResponse(Start(), CallEnd::kResponse, Response(status, body))
      .outcome;
}

TaskAnswer LookupAnswer(const std::string& body) {
  const LookupTask lookup{"w", "127.0.0.1:1", "job", 3, 1};
  return ReadLookupResponse(lookup, CallEnd::kResponse, Response(200, body));
}

}  // namespace

TEST_CASE("only an answer to this very task counts as its output") {
  CHECK(StartOutcome(200, R"({"task_id":"job/3","output":"x"})") ==
        TaskOutcome::kDone);
  for (const char* body : {R"({"task_id":"job/4","output":"x"})",
                           R"({"output":"x"})", "{", "", "[]", "7"}) {
    CHECK(StartOutcome(200, body) == TaskOutcome::kLost);
  }
}

TEST_CASE("statuses say whether a task may have run") {
  CHECK(ProvesNotRun(StartOutcome(409, "")));
  CHECK(ProvesNotRun(StartOutcome(429, "")));
  CHECK(ProvesNotRun(StartOutcome(503, "")));
  CHECK(StartOutcome(500, "") == TaskOutcome::kFailed);
  CHECK(StartOutcome(404, "") == TaskOutcome::kLost);
  CHECK(ReadStartResponse(Start(), CallEnd::kNotSent, HttpResponse()).outcome ==
        TaskOutcome::kNotSent);
  CHECK(ReadStartResponse(Start(), CallEnd::kLost, HttpResponse()).outcome ==
        TaskOutcome::kLost);
}

TEST_CASE("numbers of a worker's answer are read without a throw") {
  const TaskAnswer real =
      LookupAnswer(R"({"task_id":"job/3","state":"never_seen",)"
                   R"("lease_epoch":1796351392639,"incarnation":7})");
  CHECK(real.outcome == TaskOutcome::kNeverSeen);
  CHECK(real.lease_epoch == 1796351392639);
  CHECK(real.worker_incarnation == 7);
  for (const char* number : {"-1", "1e40", "true", "\"7\"", "null", "1.5"}) {
    const TaskAnswer odd =
        LookupAnswer(R"({"state":"done","output":"x","lease_epoch":)" +
                     std::string(number) + "}");
    CHECK(odd.outcome == TaskOutcome::kDone);
    CHECK(odd.lease_epoch == 0);
  }
  // A number that no parser holds makes the whole body unreadable.
  CHECK(
      LookupAnswer(R"({"state":"done","incarnation":99999999999999999999999})")
          .outcome == TaskOutcome::kLookupFailed);
}

}  // namespace goldcrest
