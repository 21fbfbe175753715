#include "soak/soak.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <set>
#include <stdexcept>
#include <utility>

#include "edge/blocking_http.h"
#include "report/explain.h"
#include "report/metric_text.h"
#include "soak/fault_player.h"
#include "soak/soak_checks.h"

namespace goldcrest {
namespace {

constexpr char kService[] = "soak-service";
// Delay of each sync until the deployment serves, if the plan has slow disks.
constexpr Micros kFirstSyncDelay = 1500 * kMillisecond;
constexpr char kReadyWorkers[] = "goldcrest_ready_workers";
// How long one iteration of the loop waits for sockets.
constexpr Micros kPollTimeout = 2 * kMillisecond;
// The deployment must serve jobs within this time of its first start.
constexpr Micros kStartTimeout = 30 * kSecond;
// With stop series, tasks run longer, so that jobs are pending at the end of a
// drain; they need less CPU, so that the workers still have capacity for them.
constexpr int64_t kLongRunTimeRangeMs = 1500;
constexpr int64_t kLongTimeoutMs = 4000;
constexpr int64_t kLongTimeoutRangeMs = 3000;
constexpr int64_t kLongTaskCpuMillis = 1300;
constexpr Micros kLongAnswerTimeout = 9 * kSecond;
// Time that jobs have to complete before faults are injected, from the end of
// the second in which they are sent.
constexpr Micros kSettleTime = kSecond / 2;
constexpr Micros kLongSettleTime = 2 * kSecond;
// Iterations of the loop between two requests for a configuration. They last
// about 200 ms, and less when the sockets are active.
constexpr int kIterationsPerRead = 100;

// The deployment, workers and callers of one soak, which share one loop.
struct SoakEnvironment {
  SoakEnvironment(const SoakOptions& soak_options, const SoakWire& soak_wire);

  // Runs one iteration of the loop and all work that is due. Throws
  // std::runtime_error after InterruptSoak().
  void RunIteration();
  // Runs iterations until the monotonic time `end`.
  void RunUntil(Micros end);

  const SoakOptions& options;
  const SoakWire& wire;
  SocketLoop loop;
  SoakDeployment deployment;
  SoakWorkers workers;
  SoakCallers callers;
};

SoakWorkersOptions WorkersOptions(uint64_t seed, SoakDeployment& deployment) {
  SoakWorkersOptions workers;
  workers.service = kService;
  workers.seed = seed;
  for (const SoakDaemon* control : deployment.controls()) {
    workers.control_addresses.push_back(deployment.ControlAddress(*control));
  }
  return workers;
}

SoakCallersOptions CallersOptions(const SoakOptions& options,
                                  SoakDeployment& deployment) {
  SoakCallersOptions callers;
  callers.service = kService;
  callers.seed = options.plan.seed;
  callers.jobs_per_second = options.jobs_per_second;
  if (options.plan.stop_series) {
    callers.run_time_range_ms = kLongRunTimeRangeMs;
    callers.timeout_ms = kLongTimeoutMs;
    callers.timeout_range_ms = kLongTimeoutRangeMs;
    callers.task_cpu_millis = kLongTaskCpuMillis;
    callers.answer_timeout = kLongAnswerTimeout;
  }
  for (const SoakDaemon* entry : deployment.entries()) {
    callers.entries.push_back(deployment.CallersAddress(*entry));
  }
  for (const SoakDaemon* control : deployment.controls()) {
    callers.controls.push_back(deployment.ControlAddress(*control));
  }
  return callers;
}

SoakEnvironment::SoakEnvironment(const SoakOptions& soak_options,
                                 const SoakWire& soak_wire)
    : options(soak_options),
      wire(soak_wire),
      deployment(options.deployment),
      workers(loop,
              wire,
              WorkersOptions(options.plan.seed, deployment),
              deployment.workers(),
              [this](const std::string& address) {
                return deployment.RelayedAddress(address);
              }),
      callers(loop, wire, CallersOptions(options, deployment)) {}

// Set by InterruptSoak().
volatile std::sig_atomic_t interrupted = 0;

void SoakEnvironment::RunIteration() {
  if (interrupted != 0) {
    throw std::runtime_error("interrupted");
  }
  loop.Poll(kPollTimeout);
  const Micros now = MonotonicMicros();
  deployment.Advance(now);
  workers.Advance(now);
  callers.Advance(now);
}

void SoakEnvironment::RunUntil(Micros end) {
  while (MonotonicMicros() < end) {
    RunIteration();
  }
}

// Starts sending jobs and waits until all jobs of one second have completed but
// those that their callers cancel.
// Returns false if that does not happen within `timeout`.
bool WaitUntilServing(SoakEnvironment& environment, Micros timeout) {
  const Micros timeout_at = MonotonicMicros() + timeout;
  environment.callers.SetSendingJobs(true);
  while (MonotonicMicros() < timeout_at) {
    const Micros since = MonotonicMicros();
    environment.RunUntil(since + kSecond);
    const Micros sent_until = MonotonicMicros();
    environment.RunUntil(sent_until + (environment.options.plan.stop_series
                                           ? kLongSettleTime
                                           : kSettleTime));
    if (AllJobsCompleted(environment.callers.jobs(), since, sent_until)) {
      return true;
    }
  }
  return false;
}

// Plays the fault plan and ends all faults.
void PlayFaults(SoakEnvironment& environment) {
  const std::vector<PlannedFault> plan =
      MakeFaultPlan(environment.options.plan);
  if (environment.options.print_plan) {
    for (const PlannedFault& fault : plan) {
      std::cout << ToString(fault) << '\n';
    }
  }
  FaultPlayer player(plan, environment.deployment, environment.workers,
                     environment.callers);
  const Micros start = MonotonicMicros();
  const bool task_crashes = environment.options.task_crashes;
  environment.callers.set_sending_crashing_jobs(task_crashes);
  environment.workers.ChangeCapacities(task_crashes);
  while (MonotonicMicros() < start + environment.options.plan.duration) {
    const Micros now = MonotonicMicros();
    player.Advance(now - start, now);
    environment.RunIteration();
  }
  environment.callers.set_sending_crashing_jobs(false);
  environment.workers.ChangeCapacities(false);
  player.EndAll(MonotonicMicros());
}

// Checks that every job sent during the final check completes, unless its
// caller cancels it.
void CheckAllJobsComplete(SoakEnvironment& environment, SoakResult& result) {
  const Micros since = MonotonicMicros();
  environment.RunUntil(since + environment.options.final_check_duration);
  environment.callers.SetSendingJobs(false);
  const Micros timeout_at = MonotonicMicros() + 10 * kSecond;
  while (environment.callers.open_jobs() > 0 &&
         MonotonicMicros() < timeout_at) {
    environment.RunIteration();
  }
  for (const auto& [id, record] : environment.callers.jobs()) {
    if (record.sent_at >= since && !CompletedOrCancelled(record)) {
      result.violations.push_back(
          "after the recovery time, job " + id + " has the outcome " +
          std::string(kSoakOutcomeNames[static_cast<size_t>(record.outcome)]));
    }
  }
}

// Checks that all configuration changes were acknowledged, and that control
// daemons return the newest acknowledged version within the recovery time. Once
// one of them has returned it, the next ones are not queried, since the loop
// tests the version that was read last.
void CheckConfiguration(SoakEnvironment& environment, SoakResult& result) {
  if (environment.callers.unacknowledged_changes() > 0) {
    result.violations.push_back(
        std::to_string(environment.callers.unacknowledged_changes()) +
        " configuration changes were never "
        "acknowledged");
  }
  const auto controls = environment.deployment.controls();
  for (size_t i = 0; i < controls.size(); ++i) {
    const Micros timeout_at =
        MonotonicMicros() + environment.options.recovery_time;
    while (environment.callers.read_version() <
               environment.callers.acknowledged_version() &&
           MonotonicMicros() < timeout_at) {
      environment.callers.ReadConfiguration(i);
      for (int iteration = 0; iteration < kIterationsPerRead; ++iteration) {
        environment.RunIteration();
      }
    }
    if (environment.callers.read_version() <
        environment.callers.acknowledged_version()) {
      result.violations.push_back(
          controls[i]->name +
          " does not return the acknowledged "
          "configuration version " +
          std::to_string(environment.callers.acknowledged_version()) +
          "; it returned version " +
          std::to_string(environment.callers.read_version()));
    }
  }
}

// Checks that every daemon serves metrics that can be parsed, and that the
// daemons together report every worker as ready.
void CheckMetrics(SoakEnvironment& environment, SoakResult& result) {
  size_t ready_workers = 0;
  for (const SoakDaemon& daemon : environment.deployment.daemons()) {
    BlockingRequest ask;
    ask.server = environment.deployment.MetricsAddress(daemon);
    ask.path = "/metrics";
    const auto page = SendBlockingRequest(ask);
    if (!page || page->status != 200) {
      result.violations.push_back(daemon.name + " does not serve /metrics");
      continue;
    }
    const auto samples = ParseMetricText(page->body);
    if (!samples || samples->empty()) {
      result.violations.push_back(daemon.name +
                                  " serves metrics that cannot be parsed");
      continue;
    }
    for (const MetricSample& sample : *samples) {
      if (sample.name == kReadyWorkers) {
        ready_workers += static_cast<size_t>(sample.value);
      }
    }
  }
  if (ready_workers != environment.workers.size()) {
    result.violations.push_back(
        "after the recovery time, " + std::to_string(ready_workers) + " of " +
        std::to_string(environment.workers.size()) + " workers are ready");
  }
}

// Returns the lines of the logs of all daemons.
std::vector<std::string> ReadLogs(const SoakDeployment& deployment,
                                  const std::vector<SoakDaemon>& daemons) {
  std::vector<std::string> lines;
  for (const SoakDaemon& daemon : daemons) {
    std::ifstream file(deployment.LogPath(daemon));
    std::string line;
    while (std::getline(file, line)) {
      lines.push_back(line);
    }
  }
  return lines;
}

// Returns whether the logs must state the cause of a job's outcome.
bool NeedsExplanation(const SoakJobRecord& record) {
  return record.outcome == SoakOutcome::kFailed ||
         record.outcome == SoakOutcome::kRefused ||
         record.outcome == SoakOutcome::kUnknown ||
         (record.outcome == SoakOutcome::kCancelled && record.cancel_at == 0);
}

// Checks that the logs alone state why jobs did not complete, for a limited
// number of jobs.
void CheckExplanations(SoakEnvironment& environment,
                       const std::vector<std::string>& lines,
                       SoakResult& result) {
  size_t remaining = environment.options.max_failures_looked_up;
  for (const auto& [id, record] : environment.callers.jobs()) {
    if (remaining == 0) {
      return;
    }
    if (!NeedsExplanation(record)) {
      continue;
    }
    --remaining;
    if (BuildJobTimeline(id, lines).cause.empty()) {
      ++result.failures_without_logged_cause;
      result.violations.push_back("the logs do not state why job " + id +
                                  " did not complete");
    } else {
      ++result.failures_with_logged_cause;
    }
  }
}

// Returns the histories of the entry daemons.
std::vector<DaemonHistory> EntryHistories(SoakDeployment& deployment) {
  std::vector<DaemonHistory> histories;
  for (const SoakDaemon* entry : deployment.entries()) {
    histories.push_back(entry->history);
  }
  return histories;
}

// Moves the elements of `more` to the end of `all`.
void Append(std::vector<std::string> more, std::vector<std::string>& all) {
  std::move(more.begin(), more.end(), std::back_inserter(all));
}

}  // namespace

void InterruptSoak(int /*signal*/) {
  interrupted = 1;
}

SoakResult RunSoak(const SoakOptions& options, const SoakWire& wire) {
  SoakResult result;
  SoakEnvironment environment(options, wire);
  const Micros first_delay = options.plan.slow_disks ? kFirstSyncDelay : 0;
  for (const SoakDaemon* control : environment.deployment.controls()) {
    environment.deployment.SetSyncDelay(*control, first_delay);
  }
  environment.deployment.StartAll();
  environment.callers.ChangeConfiguration();
  if (!WaitUntilServing(environment, kStartTimeout)) {
    result.violations.push_back(
        "the deployment did not complete all jobs of one second within the "
        "start timeout");
  }
  for (const SoakDaemon* control : environment.deployment.controls()) {
    environment.deployment.SetSyncDelay(*control, 0);
  }
  PlayFaults(environment);
  environment.RunUntil(MonotonicMicros() + options.recovery_time);
  CheckAllJobsComplete(environment, result);
  CheckConfiguration(environment, result);
  CheckMetrics(environment, result);
  const std::vector<std::string> lines =
      ReadLogs(environment.deployment, environment.deployment.daemons());
  result.log_lines = lines.size();
  Append(CheckLogLines(lines), result.violations);
  CheckExplanations(environment, lines, result);
  Append(CheckJobs(environment.callers.jobs(), environment.workers.model(),
                   {options.start_slack}),
         result.violations);
  environment.deployment.TakeRelayRecords();
  UnansweredRequests unanswered = FindUnansweredRequests(
      environment.callers.jobs(), EntryHistories(environment.deployment),
      environment.callers.answer_timeout());
  result.unanswered_explained = unanswered.explained;
  result.unanswered_at_exit = unanswered.sent_at_exit;
  result.unanswered_requests = std::move(unanswered.violations);
  Append(environment.workers.model().violations, result.violations);
  Append(environment.deployment.violations(), result.violations);
  for (const auto& [id, record] : environment.callers.jobs()) {
    ++result.outcomes[std::string(
        kSoakOutcomeNames[static_cast<size_t>(record.outcome)])];
  }
  for (const auto& [task, record] : environment.workers.model().tasks) {
    result.started_attempts += record.starts;
  }
  return result;
}

}  // namespace goldcrest
