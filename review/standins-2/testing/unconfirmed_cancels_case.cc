// Cancels of jobs that have ended are not confirmed any more, after a control
// daemon was replaced by another one.

#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "review/standins-2/testing/deployment.h"

namespace goldcrest {
namespace {

constexpr int kJobs = 10;
constexpr int64_t kRunMs = 100;
constexpr int64_t kTimeoutMs = 1500;
// Time until the empty control daemon comes.
constexpr Micros kReplacedAfter = kSecond;
// The core is stable this long after it was disturbed last.
constexpr Micros kContact = 3 * kSecond;
constexpr Micros kMargin = 2 * kSecond;
// Bound of the rule, and when a caller asks again without a confirmation.
constexpr Micros kAckTimeout = 4 * kSecond;
constexpr Micros kRetryDelay = 300 * kMillisecond;
// The rule is broken if more than one cancel in this many has no confirmation.
constexpr int kShareDivisor = 10;
constexpr int kMinUnconfirmed = 3;
// Between two batches of jobs.
constexpr Micros kPause = 30 * kSecond;

// A caller that cancels its job and asks again, at another entry daemon each
// time, until that is confirmed.
struct Canceller {
  std::string id;
  const Answer* answer = nullptr;
  size_t tries = 0;
  bool confirmed = false;
};

void Advance(Deployment& deployment, Canceller& canceller) {
  if (canceller.confirmed) {
    return;
  }
  const Answer* answer = canceller.answer;
  if (answer != nullptr && !answer->done) {
    return;
  }
  canceller.confirmed =
      answer != nullptr && (answer->status / 100 == 2 || answer->status == 410);
  const bool due =
      answer == nullptr || MonotonicMicros() - answer->at >= kRetryDelay;
  if (!canceller.confirmed && due) {
    canceller.answer = &deployment.Cancel(
        deployment.entry(canceller.tries++ % 3), canceller.id);
  }
}

// Hands in jobs, waits until they are answered, cancels them, and returns how
// many of these cancels are not confirmed within kAckTimeout.
int CountUnconfirmed(Deployment& deployment, int batch) {
  std::vector<Canceller> cancellers;
  for (int i = 0; i < kJobs; ++i) {
    Canceller canceller;
    canceller.id = "0000000000000" + std::to_string(100 + 10 * batch + i);
    const Answer& accepted = deployment.Submit(
        deployment.entry(0), canceller.id, kRunMs, kTimeoutMs);
    deployment.RunUntil(2 * kSecond, [&] { return accepted.done; });
    if (accepted.status == 200) {
      cancellers.push_back(canceller);
    }
  }
  deployment.RunUntil(kAckTimeout, [&] {
    bool all = true;
    for (Canceller& canceller : cancellers) {
      Advance(deployment, canceller);
      all = all && canceller.confirmed;
    }
    return all;
  });
  int unconfirmed = 0;
  for (const Canceller& canceller : cancellers) {
    unconfirmed += canceller.confirmed ? 0 : 1;
  }
  deployment.record().Write(std::to_string(unconfirmed) + " of " +
                            std::to_string(cancellers.size()) +
                            " cancels have no 2xx or 410 after 4 s");
  return unconfirmed;
}

int Play(int argc, char** argv) {
  DeploymentOptions options;
  options.root = Argument(argc, argv, "root", ".");
  options.folder = Argument(argc, argv, "folder", "");
  options.record = Argument(argc, argv, "record", "record.txt");
  Deployment deployment(options);
  if (!deployment.Start()) {
    return kCouldNotRun;
  }
  if (Argument(argc, argv, "trouble", "1") != "0") {
    deployment.Lose(deployment.control(1));
    deployment.Run(kReplacedAfter);
    deployment.AddControl(deployment.control(1).domain);
  }
  deployment.Run(kContact + kMargin);
  int broken = 0;
  for (int batch = 0; batch < 2; ++batch) {
    deployment.Run(batch == 0 ? 0 : kPause);
    const int unconfirmed = CountUnconfirmed(deployment, batch);
    broken +=
        unconfirmed >= kMinUnconfirmed && unconfirmed * kShareDivisor > kJobs
            ? 1
            : 0;
  }
  if (broken > 0) {
    deployment.record().Write("Acks is broken");
  }
  return broken > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace goldcrest

int main(int argc, char** argv) {
  try {
    return goldcrest::Play(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return goldcrest::kCouldNotRun;
  }
}
