// Fault tests with whole daemons over real sockets. The checks don't depend on
// timing; fault_measure measures how long callers see a fault.

#include <future>

#include <catch2/catch.hpp>

#include "edge/testing/loopback_deployment.h"
#include "goldcrest/configuration.h"

namespace goldcrest {
namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Resubmits until the answer is complete. Every earlier answer must be a
// refusal, an unknown outcome or missing.
BlockingResponse SubmitUntilComplete(LoopbackDeployment& deployment,
                                     const std::string& vm,
                                     const std::string& body) {
  BlockingResponse answer;
  for (int i = 0; i < 200 && answer.status != 200; ++i) {
    answer = deployment.Submit(vm, body);
    const bool allowed = answer.status == 200 || answer.status == 0 ||
                         answer.status == 429 || answer.status == 503;
    INFO(answer.status << " " << answer.body);
    CHECK(allowed);
    if (answer.status != 200) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }
  return answer;
}

// Checks that each task was started exactly once.
void CheckStartedOnce(const LoopbackDeployment& deployment) {
  for (const auto& [task, count] : deployment.AttemptsPerTask()) {
    INFO(task);
    CHECK(count == 1);
  }
}

// Waits until /healthz of `vm` answers with `status`.
bool WaitForHealth(LoopbackDeployment& deployment,
                   const std::string& vm,
                   int status) {
  BlockingRequest ask;
  ask.path = "/healthz";
  for (int i = 0; i < 400; ++i) {
    if (deployment.Request(vm, ask).status == status) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(25));
  }
  return false;
}

// Waits until a task has started.
void WaitForStart(const LoopbackDeployment& deployment) {
  while (deployment.AttemptsPerTask().empty()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

TEST_CASE(
    "Daemon: after a crash of the owner, its neighbor completes the job or "
    "reports a true outcome") {
  LoopbackDeployment deployment(LoopbackOptions{});
  REQUIRE(deployment.WaitUntilServing());
  const std::string idempotent_body =
      SubmissionBody({.submission_id = "kill-peal",
                      .kind = "peal",
                      .tasks = 4,
                      .run_ms = 400});
  const std::string non_idempotent_body = SubmissionBody(
      {.submission_id = "kill-knell", .tasks = 4, .run_ms = 400});
  auto first = std::async(std::launch::async, [&] {
    return deployment.Submit("south1", idempotent_body);
  });
  auto second = std::async(std::launch::async, [&] {
    return deployment.Submit("south1", non_idempotent_body);
  });
  WaitForStart(deployment);
  deployment.Kill("north1");
  first.get();
  second.get();

  const BlockingResponse peal =
      SubmitUntilComplete(deployment, "north2", idempotent_body);
  CHECK(peal.status == 200);
  CHECK(Contains(peal.body, CompleteAnswersJson(4)));
  // A non-idempotent task may have ended without any daemon receiving its
  // result, so both complete and failed are correct outcomes, but a second
  // start is not.
  const BlockingResponse knell =
      deployment.Submit("north2", non_idempotent_body);
  INFO(knell.body);
  const bool complete =
      knell.status == 200 && Contains(knell.body, CompleteAnswersJson(4));
  const bool failed = knell.status == 500 || knell.status == 503;
  CHECK((complete || failed));
  for (const auto& [task, count] : deployment.AttemptsPerTask()) {
    INFO(task);
    CHECK((count == 1 || task.rfind("kill-peal/", 0) == 0));
  }
}

TEST_CASE("Daemon: submissions from before a restart are not executed again") {
  LoopbackDeployment deployment(LoopbackOptions{});
  REQUIRE(deployment.WaitUntilServing());
  std::vector<std::string> bodies;
  for (int i = 0; i < 10; ++i) {
    bodies.push_back(SubmissionBody(
        {.submission_id = "restart-" + std::to_string(i), .tasks = 2}));
    REQUIRE(deployment.Submit("north1", bodies.back()).status == 200);
  }
  deployment.Kill("north1");
  deployment.Restart("north1");
  deployment.Kill("north2");
  deployment.Restart("north2");
  REQUIRE(deployment.WaitUntilServing());
  for (const std::string& body : bodies) {
    const BlockingResponse answer = deployment.Submit("north1", body);
    INFO(answer.status << " " << answer.body);
    CHECK(!Contains(answer.body, "\"ran\":\"none\""));
    const bool allowed =
        answer.status == 200 || answer.status == 503 || answer.status == 500;
    CHECK(allowed);
  }
  CheckStartedOnce(deployment);
}

TEST_CASE(
    "Daemon: during a partition each side serves its own domains, no task "
    "starts twice") {
  LoopbackDeployment deployment(
      {.failure_domains = {"north", "south", "west"}});
  REQUIRE(deployment.WaitUntilServing());
  deployment.CutDomain("south");
  const auto submit = [&](const std::string& vm, const std::string& home,
                          const std::string& id) {
    return SubmissionBody({.submission_id = id + vm + home, .home = home});
  };
  for (const char* vm : {"south1", "south2"}) {
    const BlockingResponse own =
        SubmitUntilComplete(deployment, vm, submit(vm, "south", "own"));
    CHECK(own.status == 200);
    const BlockingResponse other =
        deployment.Submit(vm, submit(vm, "north", "far"));
    INFO(other.status << " " << other.body);
    CHECK(other.status == 503);
  }
  for (const char* vm : {"north1", "west2"}) {
    for (const char* home : {"north", "west"}) {
      const BlockingResponse own =
          SubmitUntilComplete(deployment, vm, submit(vm, home, "own"));
      CHECK(own.status == 200);
    }
    const BlockingResponse other =
        deployment.Submit(vm, submit(vm, "south", "far"));
    INFO(other.status << " " << other.body);
    CHECK(other.status == 503);
  }
  deployment.Heal();
  for (const char* vm : {"south1", "north1"}) {
    const std::string home = vm[0] == 's' ? "north" : "south";
    const BlockingResponse healed =
        SubmitUntilComplete(deployment, vm, submit(vm, home, "far"));
    INFO(healed.body);
    CHECK(healed.status == 200);
  }
  CheckStartedOnce(deployment);
}

TEST_CASE(
    "Daemon: a job of an isolated owner is completed once, by its neighbor") {
  LoopbackDeployment deployment(LoopbackOptions{});
  REQUIRE(deployment.WaitUntilServing());
  const std::string body =
      SubmissionBody({.submission_id = "isolated", .tasks = 6, .run_ms = 150});
  auto waiting = std::async(std::launch::async,
                            [&] { return deployment.Submit("north1", body); });
  WaitForStart(deployment);
  deployment.CutVm("north1");
  const BlockingResponse other =
      SubmitUntilComplete(deployment, "north2", body);
  const BlockingResponse own = waiting.get();
  INFO(own.status << " " << own.body << "\n" << other.body);
  CHECK(other.status == 200);
  CHECK(Contains(other.body, CompleteAnswersJson(6)));
  CHECK(!Contains(own.body, "\"ran\":\"none\""));
  // The health check makes the load balancer remove the VM, and add it again
  // after the fault.
  CHECK(WaitForHealth(deployment, "north1", 503));
  CHECK(WaitForHealth(deployment, "north2", 200));
  deployment.Heal();
  CHECK(WaitForHealth(deployment, "north1", 200));
  CheckStartedOnce(deployment);
}

TEST_CASE(
    "Daemon: a draining daemon answers open requests and refuses new ones") {
  LoopbackDeployment deployment(LoopbackOptions{});
  REQUIRE(deployment.WaitUntilServing());
  std::vector<std::future<BlockingResponse>> answers;
  for (int i = 0; i < 12; ++i) {
    answers.push_back(std::async(std::launch::async, [&, i] {
      return deployment.Submit(
          "north1",
          SubmissionBody({.submission_id = "drain-" + std::to_string(i),
                          .tasks = 4,
                          .run_ms = 200}));
    }));
  }
  WaitForStart(deployment);
  deployment.Drain("north1");
  for (auto& answer : answers) {
    const BlockingResponse got = answer.get();
    INFO(got.status << " " << got.body);
    // A submission that arrives after the drain began is refused with the
    // correct statement that nothing was run.
    const bool complete =
        got.status == 200 && Contains(got.body, CompleteAnswersJson(4));
    const bool refused =
        got.status == 503 && Contains(got.body, "\"ran\":\"none\"");
    CHECK((complete || refused));
  }
  deployment.WaitForEnd("north1");
  const BlockingResponse after = SubmitUntilComplete(
      deployment, "north2", SubmissionBody({.submission_id = "drain-after"}));
  CHECK(after.status == 200);
  CheckStartedOnce(deployment);
}

TEST_CASE(
    "Daemon: a minority refuses configuration changes, committed ones survive "
    "restarts") {
  LoopbackDeployment deployment({.failure_domains = {"north", "south", "west"},
                                 .vms_per_domain = 1,
                                 .disks = true});
  REQUIRE(deployment.WaitUntilServing());
  BlockingRequest show;
  show.path = "/v1/configuration";
  const auto put = [&](const std::string& vm, uint64_t version, int limit) {
    Configuration configuration = DefaultConfiguration();
    configuration.limits.max_queued_tasks = limit;
    BlockingRequest ask;
    ask.method = "PUT";
    ask.path = "/v1/configuration";
    ask.body = ConfigurationJson(configuration);
    ask.if_match = "\"" + std::to_string(version) + "\"";
    return deployment.Request(vm, ask);
  };
  const BlockingResponse changed = put("north1", 1, 5000);
  INFO(changed.body);
  REQUIRE(changed.status == 200);
  CHECK(put("south1", 1, 6000).status == 409);
  // The same change again, as a client sends it after losing the answer.
  CHECK(put("west1", 1, 5000).body == changed.body);

  deployment.CutDomain("west");
  const BlockingResponse minority = put("west1", 2, 7000);
  INFO(minority.body);
  const bool truthful = minority.status == 503 || minority.status == 504;
  CHECK(truthful);
  CHECK(put("north1", 2, 8000).status == 200);
  deployment.Heal();
  bool caught_up = false;
  for (int i = 0; i < 200 && !caught_up; ++i) {
    caught_up = Contains(deployment.Request("west1", show).body, ":8000");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  CHECK(caught_up);
  for (const std::string& vm : deployment.vms()) {
    deployment.Kill(vm);
  }
  for (const std::string& vm : deployment.vms()) {
    deployment.Restart(vm);
  }
  REQUIRE(deployment.WaitUntilServing());
  for (const std::string& vm : deployment.vms()) {
    CHECK(Contains(deployment.Request(vm, show).body, ":8000"));
  }
}

}  // namespace
}  // namespace goldcrest
