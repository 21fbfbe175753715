// Measures what callers see during a fault, and the response times with claims
// in memory and with synced claims.
//
//   fault_measure kill|isolate|cut|restart     one fault, all callers
//   fault_measure claims                       response times of claims
//
// Three failure domains of two VMs serve jobs of a single task of 20 ms. There
// is one caller for each VM and each home domain, which submits every 100 ms.
// The fault begins after 3 s and ends after 11 s. For each group of callers the
// report shows the number of answers by outcome and, from the beginning of the
// fault, the time at which the last refused request was sent and the longest
// response time.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <mutex>
#include <thread>

#include "edge/testing/loopback_deployment.h"

namespace goldcrest {
namespace {

constexpr Micros kPeriod = 100 * kMillisecond;
constexpr Micros kFaultAt = 3 * kSecond;
constexpr Micros kHealAt = 11 * kSecond;
constexpr Micros kEnd = 16 * kSecond;
constexpr char kFaultyDomain[] = "south";
constexpr char kFaultyVm[] = "south1";

void SleepUntil(Micros time) {
  const Micros now = MonotonicMicros();
  if (time > now) {
    std::this_thread::sleep_for(std::chrono::microseconds(time - now));
  }
}

// Position of a caller's entry VM and of its home domain relative to the fault.
struct GroupKey {
  std::string entry;
  std::string home;

  friend auto operator<=>(const GroupKey&, const GroupKey&) = default;
};

// Results of all callers of one group.
struct Group {
  int complete = 0;
  int refused = 0;  // 429 and 503 with "ran":"none"
  int unknown = 0;  // 503 without it
  int failed = 0;
  int unanswered = 0;
  // Time from the beginning of the fault to the sending of the last request
  // that was refused or had an unknown outcome; -1 if there was none.
  Micros last_refusal = -1;
  std::set<int64_t> refused_seconds;  // seconds with such a request
  Micros longest = 0;                 // response time
};

// Callers that submit periodically, each on its own thread.
class Callers {
 public:
  explicit Callers(LoopbackDeployment& deployment)
      : deployment_(deployment), start_(MonotonicMicros()) {}

  // Starts a caller that submits jobs with the home domain `home` at `vm`.
  void Start(const std::string& vm, const std::string& home) {
    threads_.emplace_back([this, vm, home] { Run(vm, home); });
  }

  void Wait() {
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }

  Micros start() const { return start_; }
  const std::map<GroupKey, Group>& groups() const { return groups_; }

 private:
  static GroupKey KeyOf(const std::string& vm, const std::string& home) {
    const bool at_vm = vm == kFaultyVm;
    const bool inside = vm.rfind(kFaultyDomain, 0) == 0;
    return {at_vm    ? "faulty VM"
            : inside ? "its domain"
                     : "elsewhere",
            home == kFaultyDomain ? "its domain" : "elsewhere"};
  }

  void Run(const std::string& vm, const std::string& home) {
    int number = 0;
    for (Micros due = start_; due < start_ + kEnd; due += kPeriod) {
      SleepUntil(due);
      const Micros sent = MonotonicMicros();
      const BlockingResponse answer = deployment_.Submit(
          vm, SubmissionBody({.submission_id = vm + "-" + home + "-" +
                                               std::to_string(number++),
                              .home = home}));
      Record(KeyOf(vm, home), sent, answer);
      due = std::max(due, MonotonicMicros() - kPeriod);
    }
  }

  void Record(const GroupKey& key,
              Micros sent,
              const BlockingResponse& answer) {
    const Micros response = MonotonicMicros() - sent;
    const std::lock_guard<std::mutex> lock(mutex_);
    Group& group = groups_[key];
    const bool none = answer.body.find("\"ran\":\"none\"") != std::string::npos;
    const bool not_served = answer.status == 429 || answer.status == 503;
    group.complete += answer.status == 200 ? 1 : 0;
    group.refused += not_served && none ? 1 : 0;
    group.unknown += not_served && !none ? 1 : 0;
    group.unanswered += answer.status == 0 ? 1 : 0;
    group.failed += answer.status == 500 || answer.status == 504 ? 1 : 0;
    if (sent < start_ + kFaultAt) {
      return;
    }
    group.longest = std::max(group.longest, response);
    if (not_served) {
      const Micros since = sent - start_ - kFaultAt;
      group.last_refusal = std::max(group.last_refusal, since);
      group.refused_seconds.insert(since / kSecond);
    }
  }

  LoopbackDeployment& deployment_;
  Micros start_;
  std::mutex mutex_;
  std::map<GroupKey, Group> groups_;
  std::vector<std::thread> threads_;
};

// A fault with its name on the command line and its actions.
struct Fault {
  const char* name;
  void (*begin)(LoopbackDeployment&);
  void (*end)(LoopbackDeployment&);
  // True if the VM does not answer at all, so that the platform's load balancer
  // sends no requests to it.
  bool vm_is_unreachable;
};

const Fault kFaults[] = {
    {"kill", [](LoopbackDeployment& d) { d.Kill(kFaultyVm); },
     [](LoopbackDeployment& d) { d.Restart(kFaultyVm); }, true},
    {"restart",
     [](LoopbackDeployment& d) {
       d.Kill(kFaultyVm);
       d.Restart(kFaultyVm);
     },
     [](LoopbackDeployment&) {}, true},
    {"isolate", [](LoopbackDeployment& d) { d.CutVm(kFaultyVm); },
     [](LoopbackDeployment& d) { d.Heal(); }, false},
    {"cut", [](LoopbackDeployment& d) { d.CutDomain(kFaultyDomain); },
     [](LoopbackDeployment& d) { d.Heal(); }, false},
};

void Print(const Callers& callers) {
  std::printf("%-11s %-11s %8s %7s %7s %6s %10s %8s %9s %7s\n", "entry", "home",
              "complete", "refused", "unknown", "failed", "unanswered",
              "last (s)", "longest", "seconds");
  for (const auto& [key, group] : callers.groups()) {
    std::printf("%-11s %-11s %8d %7d %7d %6d %10d %8.2f %9.2f %7zu\n",
                key.entry.c_str(), key.home.c_str(), group.complete,
                group.refused, group.unknown, group.failed, group.unanswered,
                static_cast<double>(group.last_refusal) / kSecond,
                static_cast<double>(group.longest) / kSecond,
                group.refused_seconds.size());
  }
}

int MeasureFault(const Fault& fault) {
  LoopbackDeployment deployment(
      {.failure_domains = {"north", "south", "west"}});
  if (!deployment.WaitUntilServing()) {
    std::fprintf(stderr, "fault_measure: the deployment did not start\n");
    return 1;
  }
  Callers callers(deployment);
  for (const std::string& vm : deployment.vms()) {
    for (const char* home : {"north", "south", "west"}) {
      if (!fault.vm_is_unreachable || vm != kFaultyVm) {
        callers.Start(vm, home);
      }
    }
  }
  SleepUntil(callers.start() + kFaultAt);
  fault.begin(deployment);
  SleepUntil(callers.start() + kHealAt);
  fault.end(deployment);
  callers.Wait();
  std::printf("fault %s\n", fault.name);
  Print(callers);
  int started_twice = 0;
  for (const auto& [task, starts] : deployment.AttemptsPerTask()) {
    started_twice += starts > 1 ? 1 : 0;
  }
  std::printf("tasks started twice: %d\n", started_twice);
  return started_twice == 0 ? 0 : 1;
}

double QuantileMs(std::vector<Micros> values, double share) {
  std::sort(values.begin(), values.end());
  const auto rank =
      static_cast<size_t>(share * static_cast<double>(values.size() - 1));
  return static_cast<double>(values[rank]) / kMillisecond;
}

// Submits at all VMs in turn, not just at the owner, as a load balancer would.
int MeasureClaims() {
  constexpr int kSubmissions = 1000;
  for (const bool synced : {false, true, false, true}) {
    LoopbackOptions options;
    options.failure_domains = {"north"};
    options.vms_per_domain = 3;
    options.disks = true;
    options.use_relays = false;
    options.tuning.synced_claims = synced;
    LoopbackDeployment deployment(options);
    if (!deployment.WaitUntilServing()) {
      return 1;
    }
    std::vector<Micros> responses;
    for (int i = 0; i < kSubmissions; ++i) {
      const std::string& vm = deployment.vms()[static_cast<size_t>(i) % 3];
      const Micros sent = MonotonicMicros();
      deployment.Submit(
          vm, SubmissionBody({.submission_id = "claim-" + std::to_string(i),
                              .run_ms = 0}));
      responses.push_back(MonotonicMicros() - sent);
    }
    std::printf("claims %-9s p50 %6.2f ms  p90 %6.2f ms  p99 %6.2f ms\n",
                synced ? "synced" : "in memory", QuantileMs(responses, 0.5),
                QuantileMs(responses, 0.9), QuantileMs(responses, 0.99));
  }
  return 0;
}

int Main(const std::string& what) {
  if (what == "claims") {
    return MeasureClaims();
  }
  for (const Fault& fault : kFaults) {
    if (what == fault.name) {
      return MeasureFault(fault);
    }
  }
  std::fprintf(stderr,
               "usage: fault_measure kill|restart|isolate|cut|claims\n");
  return 2;
}

}  // namespace
}  // namespace goldcrest

int main(int argc, char** argv) {
  return goldcrest::Main(argc == 2 ? argv[1] : "");
}
