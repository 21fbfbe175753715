#include "soak/soak_checks.h"

#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace goldcrest {
namespace {

constexpr char kDaemon[] = "entry-40";
constexpr Micros kAnswerTimeout = 8 * kSecond;
// The lifetime of the process that most cases use.
constexpr Micros kProcessStart = 10 * kSecond;
constexpr Micros kProcessEnd = 60 * kSecond;
constexpr uint16_t kPort = 40001;  // of the connection of the request

using Jobs = std::map<std::string, SoakJobRecord>;

SoakJobRecord RequestThatEnded(Micros sent_at, Micros ended_at, CallEnd end) {
  SoakJobRecord record;
  record.job.id = "job";
  record.client_port = kPort;
  record.sent_at = sent_at;
  record.ended_at = ended_at;
  record.end = end;
  return record;
}

// A daemon with one process, and jobs of which its first answered request was
// sent one second after its start.
struct OneDaemon {
  OneDaemon() {
    daemon.name = kDaemon;
    daemon.processes = {{kProcessStart, kProcessEnd}};
    jobs["first"] =
        RequestThatEnded(kProcessStart + kSecond, kProcessStart + 2 * kSecond,
                         CallEnd::kResponse);
  }

  // Classifies a request without an answer besides the first one.
  UnansweredRequests Classify(Micros sent_at,
                              Micros ended_at,
                              CallEnd end = CallEnd::kClosed) {
    jobs["job"] = RequestThatEnded(sent_at, ended_at, end);
    return FindUnansweredRequests(jobs, {daemon}, kAnswerTimeout);
  }

  DaemonHistory daemon;
  Jobs jobs;
};

// The number of requests in each class.
struct Counts {
  size_t violations = 0;
  int sent_at_exit = 0;
  int explained = 0;
  friend bool operator==(const Counts&, const Counts&) = default;
};

Counts CountsOf(const UnansweredRequests& unanswered) {
  return {unanswered.violations.size(), unanswered.sent_at_exit,
          unanswered.explained};
}

const Counts kViolation = {1, 0, 0};
const Counts kAtExit = {0, 1, 0};
const Counts kExplained = {0, 0, 1};
const Counts kNone = {};

TEST_CASE("A request that a running daemon does not answer is a violation") {
  for (const CallEnd end : {CallEnd::kClosed, CallEnd::kNoResponse}) {
    OneDaemon one;
    const auto found = one.Classify(20 * kSecond, 21 * kSecond, end);
    CHECK(CountsOf(found) == kViolation);
    CHECK(found.violations.at(0).find(kDaemon) != std::string::npos);
  }
}

TEST_CASE("Only requests that were sent and have ended count") {
  CHECK(CountsOf(OneDaemon().Classify(20 * kSecond, 0)) == kNone);
  for (const CallEnd end :
       {CallEnd::kNotSent, CallEnd::kRefused, CallEnd::kResponse}) {
    const auto found = OneDaemon().Classify(20 * kSecond, 21 * kSecond, end);
    CHECK(CountsOf(found) == kNone);
  }
}

TEST_CASE("A request that its caller gave up is explained") {
  const Micros sent = 20 * kSecond;
  CHECK(CountsOf(OneDaemon().Classify(sent, sent + kAnswerTimeout)) ==
        kExplained);
  CHECK(CountsOf(OneDaemon().Classify(sent, sent + kAnswerTimeout - 1)) ==
        kViolation);
}

TEST_CASE("A request is explained by a fault between its sending and its end") {
  const Micros sent = 20 * kSecond;
  const Micros ended = 21 * kSecond;
  const auto with_fault = [&](Micros begin, Micros end) {
    OneDaemon one;
    one.daemon.faults = {{begin, end}};
    return CountsOf(one.Classify(sent, ended));
  };
  CHECK(with_fault(ended, kStillOpen) == kExplained);
  CHECK(with_fault(15 * kSecond, sent) == kExplained);
  CHECK(with_fault(sent + 1, sent + 1) == kExplained);
  CHECK(with_fault(ended + 1, kStillOpen) == kViolation);
  // The request was read when the fault had been over for longer than it takes
  // through the relay.
  CHECK(with_fault(15 * kSecond, sent - 6 * kMillisecond) == kViolation);
}

TEST_CASE("A request before the first one answered is explained") {
  const Micros listening = kProcessStart + kSecond;
  CHECK(CountsOf(OneDaemon().Classify(listening - 1, 12 * kSecond)) ==
        kExplained);
  CHECK(CountsOf(OneDaemon().Classify(listening, 12 * kSecond)) == kViolation);
}

TEST_CASE("A request while no process runs is explained") {
  CHECK(CountsOf(OneDaemon().Classify(kProcessEnd + 1, kProcessEnd + 2)) ==
        kExplained);
}

TEST_CASE("A second process listens since its own first answer") {
  OneDaemon one;
  one.daemon.processes.push_back({70 * kSecond, kStillOpen});
  CHECK(CountsOf(one.Classify(71 * kSecond, 72 * kSecond)) == kExplained);
  one.jobs["second"] =
      RequestThatEnded(71 * kSecond, 72 * kSecond, CallEnd::kResponse);
  CHECK(CountsOf(one.Classify(71 * kSecond, 72 * kSecond)) == kViolation);
}

TEST_CASE("A request at the end of a process may meet a closed socket") {
  const auto sent_before_end = [](Micros before, Micros lasted) {
    const Micros sent = kProcessEnd - before;
    return CountsOf(OneDaemon().Classify(sent, sent + lasted));
  };
  CHECK(sent_before_end(5 * kMillisecond, kSecond) == kAtExit);
  CHECK(sent_before_end(6 * kMillisecond, kSecond) == kViolation);
}

// A daemon that accepts a connection and closes it at once fails its caller,
// however fast it does so.
TEST_CASE("Soak checks: a fast end without a recorded refusal is a violation") {
  for (const Micros before : {6 * kMillisecond, 250 * kMillisecond}) {
    const Micros sent = kProcessEnd - before;
    CHECK(CountsOf(OneDaemon().Classify(sent, sent)) == kViolation);
    CHECK(CountsOf(OneDaemon().Classify(sent, sent + 10 * kMillisecond)) ==
          kViolation);
  }
}

// Classifies a request that was sent 400 ms before the end of the process and
// whose connection the relay recorded as refused.
Counts CountsWithRefusal(const RefusedConnection& refused) {
  OneDaemon one;
  one.daemon.refused = {refused};
  return CountsOf(one.Classify(kProcessEnd - 400 * kMillisecond, kProcessEnd));
}

// Seed 202: a request on a busy machine learned of the refusal after 50 ms.
TEST_CASE("Soak checks: a refusal at the end of a process is no violation") {
  const Micros closed = kProcessEnd - 250 * kMillisecond;
  CHECK(CountsWithRefusal({kPort, closed, kProcessEnd}) == kAtExit);
  CHECK(CountsWithRefusal({kPort, kProcessEnd, kProcessEnd}) == kAtExit);
}

TEST_CASE("Soak checks: a refusal before the end of a process is a violation") {
  const Micros listening = kProcessEnd - 250 * kMillisecond - 1;
  CHECK(CountsWithRefusal({kPort, listening, kProcessEnd}) == kViolation);
}

TEST_CASE("Soak checks: a refusal of another connection explains nothing") {
  const Micros sent = kProcessEnd - 100 * kMillisecond;
  const Micros ended = sent + 50 * kMillisecond;
  const auto with_refusal = [&](const RefusedConnection& refused) {
    OneDaemon one;
    one.daemon.refused = {refused};
    return CountsOf(one.Classify(sent, ended));
  };
  CHECK(with_refusal({kPort, sent, ended}) == kAtExit);
  CHECK(with_refusal({kPort + 1, sent, ended}) == kViolation);
  // The port was used before and after.
  CHECK(with_refusal({kPort, sent - 1, ended}) == kViolation);
  CHECK(with_refusal({kPort, sent, ended + 1}) == kViolation);
}

TEST_CASE("Soak checks: a refusal by another daemon explains nothing") {
  OneDaemon one;
  const Micros sent = kProcessEnd - 100 * kMillisecond;
  DaemonHistory other = one.daemon;
  other.refused = {{kPort, sent, sent}};
  one.jobs["job"] = RequestThatEnded(sent, kProcessEnd, CallEnd::kClosed);
  const auto found =
      FindUnansweredRequests(one.jobs, {one.daemon, other}, kAnswerTimeout);
  CHECK(CountsOf(found) == kViolation);
}

TEST_CASE("Soak checks: a refusal between two processes is no violation") {
  const Micros restarted = kProcessEnd + kSecond;
  const Micros answered = restarted + kSecond;
  const auto refused_at = [&](Micros time) {
    OneDaemon one;
    one.daemon.processes.push_back({restarted, kStillOpen});
    one.daemon.refused = {{kPort, time, time}};
    one.jobs["second"] =
        RequestThatEnded(answered, answered + 1, CallEnd::kResponse);
    return CountsOf(
        one.Classify(kProcessEnd - 6 * kMillisecond, answered + kSecond));
  };
  CHECK(refused_at(kProcessEnd + 1) == kAtExit);
  // The second process does not listen before it has answered.
  CHECK(refused_at(restarted) == kAtExit);
  CHECK(refused_at(answered - 1) == kAtExit);
  CHECK(refused_at(answered) == kViolation);
}

TEST_CASE("Each request is judged by the daemon that it was sent to") {
  OneDaemon one;
  DaemonHistory other = one.daemon;
  other.name = "entry-41";
  other.faults = {{20 * kSecond, 21 * kSecond}};
  one.jobs["job"] =
      RequestThatEnded(20 * kSecond, 21 * kSecond, CallEnd::kClosed);
  const auto found =
      FindUnansweredRequests(one.jobs, {one.daemon, other}, kAnswerTimeout);
  CHECK(CountsOf(found) == kViolation);
}

// Seed 7100 with stop series: all jobs of 30 s that had not completed had been
// cancelled by their callers.
TEST_CASE("Jobs that their callers cancel need not complete") {
  Jobs jobs;
  const Micros begin = 20 * kSecond;
  const Micros end = 21 * kSecond;
  CHECK_FALSE(AllJobsCompleted(jobs, begin, end));
  jobs["cancelled"].sent_at = begin;
  jobs["cancelled"].cancel_at = begin + kMillisecond;
  jobs["cancelled"].outcome = SoakOutcome::kCancelled;
  CHECK_FALSE(AllJobsCompleted(jobs, begin, end));
  jobs["completed"].sent_at = end - 1;
  jobs["completed"].outcome = SoakOutcome::kCompleted;
  CHECK(AllJobsCompleted(jobs, begin, end));
}

TEST_CASE("All jobs of the time must complete, and no others") {
  Jobs jobs;
  const Micros begin = 20 * kSecond;
  const Micros end = 21 * kSecond;
  jobs["completed"].sent_at = begin;
  jobs["completed"].outcome = SoakOutcome::kCompleted;
  jobs["before"].sent_at = begin - 1;
  jobs["after"].sent_at = end;
  CHECK(AllJobsCompleted(jobs, begin, end));
  for (const SoakOutcome outcome :
       {SoakOutcome::kNone, SoakOutcome::kFailed, SoakOutcome::kRefused,
        SoakOutcome::kCancelled, SoakOutcome::kUnknown}) {
    jobs["other"].sent_at = begin;
    jobs["other"].outcome = outcome;
    CHECK_FALSE(AllJobsCompleted(jobs, begin, end));
  }
}

}  // namespace
}  // namespace goldcrest
