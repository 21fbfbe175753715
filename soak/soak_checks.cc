#include "soak/soak_checks.h"

#include <algorithm>
#include <utility>

#include "report/explain.h"

namespace goldcrest {
namespace {

constexpr size_t kMaxReportedLines = 10;
// Longest time that a request takes through the relay to the daemon.
constexpr Micros kRelayTime = 5 * kMillisecond;
// A daemon closes its listener at most this long before its process ends. The
// relay accepts a connection then and is refused.
constexpr Micros kClosedListenerTime = 250 * kMillisecond;

// What the workers executed of one job.
struct JobExecution {
  int started_tasks = 0;
  // Tasks that are done at least once. FakeWorkers::violations lists those that
  // started again after their end was acknowledged.
  int done_tasks = 0;
  Micros last_start = 0;  // the last start of any of its tasks
};

// Returns the executions of all jobs by job id.
std::map<std::string, JobExecution> ExecutionsByJob(
    const FakeWorkers& workers) {
  std::map<std::string, JobExecution> executions;
  for (const auto& [task, record] : workers.tasks) {
    JobExecution& execution = executions[task.job_id];
    execution.started_tasks += record.starts > 0 ? 1 : 0;
    execution.done_tasks += record.done > 0 ? 1 : 0;
    execution.last_start = std::max(execution.last_start, record.last_start);
  }
  return executions;
}

// Returns how the execution of a job contradicts the outcome that its caller
// received; empty if it does not.
std::string FindContradiction(const SoakJobRecord& record,
                              const JobExecution& execution) {
  switch (record.outcome) {
    case SoakOutcome::kRefused:
      return execution.started_tasks > 0
                 ? "was refused, but a task of it started"
                 : "";
    case SoakOutcome::kCompleted:
      return execution.done_tasks < record.job.tasks
                 ? "completed, but not all its tasks are done"
                 : "";
    case SoakOutcome::kFailed:
      return execution.done_tasks == record.job.tasks
                 ? "failed, but all its tasks are done"
                 : "";
    default:
      return "";  // other outcomes promise nothing about the tasks
  }
}

// Returns the process of a daemon that was running at `time`, or null.
const TimeSpan* ProcessAt(const DaemonHistory& daemon, Micros time) {
  for (const TimeSpan& process : daemon.processes) {
    if (process.begin <= time && time <= process.end) {
      return &process;
    }
  }
  return nullptr;
}

// Returns whether a fault of the daemon lies between the sending of a request
// and its end.
bool MetFault(const DaemonHistory& daemon, const SoakJobRecord& record) {
  return std::any_of(daemon.faults.begin(), daemon.faults.end(),
                     [&](const TimeSpan& fault) {
                       return fault.begin <= record.ended_at &&
                              fault.end >= record.sent_at - kRelayTime;
                     });
}

// When the first request that each process answered was sent.
using FirstAnswered = std::map<const TimeSpan*, Micros>;

// Returns this for the processes of `entries` that answered any of `jobs`.
FirstAnswered FirstAnsweredRequests(
    const std::map<std::string, SoakJobRecord>& jobs,
    const std::vector<DaemonHistory>& entries) {
  FirstAnswered first;
  for (const auto& [id, record] : jobs) {
    const TimeSpan* process =
        ProcessAt(entries[record.entry_index], record.sent_at);
    if (record.end == CallEnd::kResponse && process != nullptr) {
      const auto [found, added] = first.emplace(process, record.sent_at);
      found->second = std::min(found->second, record.sent_at);
    }
  }
  return first;
}

std::string FormatMs(Micros duration) {
  return std::to_string(duration / kMillisecond) + " ms";
}

// Returns whether a process is taken to listen at `time`: it runs and has
// answered a request that was sent before.
bool HasListened(const DaemonHistory& daemon,
                 const FirstAnswered& first_answered,
                 Micros time) {
  const auto found = first_answered.find(ProcessAt(daemon, time));
  return found != first_answered.end() && found->second <= time;
}

// Returns whether a daemon may refuse connections at `time`: it does not listen
// yet, or its process is about to end.
bool MayRefuse(const DaemonHistory& daemon,
               const FirstAnswered& first_answered,
               Micros time) {
  return !HasListened(daemon, first_answered, time) ||
         ProcessAt(daemon, time)->end - kClosedListenerTime <= time;
}

// Returns whether `refused` is the connection of a request. A port has one
// connection at a time, and one that was refused carried no earlier request.
bool IsConnectionOf(const RefusedConnection& refused,
                    const SoakJobRecord& record) {
  return refused.client_port == record.client_port &&
         refused.connect_at >= record.sent_at &&
         refused.ended_at <= record.ended_at;
}

// Returns whether the connection of a request was refused while the daemon may
// do so.
bool WasRefused(const DaemonHistory& daemon,
                const FirstAnswered& first_answered,
                const SoakJobRecord& record) {
  return std::any_of(daemon.refused.begin(), daemon.refused.end(),
                     [&](const RefusedConnection& refused) {
                       return IsConnectionOf(refused, record) &&
                              MayRefuse(daemon, first_answered,
                                        refused.connect_at);
                     });
}

// Returns the violation that a request without an answer is.
std::string DescribeUnanswered(const SoakJobRecord& record,
                               const DaemonHistory& daemon,
                               const TimeSpan& process) {
  std::string text =
      "job " + record.job.id + " got no answer from " + daemon.name +
      "; its connection ended " + FormatMs(record.ended_at - record.sent_at) +
      " after the request, at " + std::to_string(record.ended_at) + " us";
  if (process.end != kStillOpen) {
    text += ", which was sent " + FormatMs(process.end - record.sent_at) +
            " before the process ended";
  }
  return text + "; port " + std::to_string(record.client_port);
}

}  // namespace

bool CompletedOrCancelled(const SoakJobRecord& record) {
  return record.outcome == SoakOutcome::kCompleted || record.cancel_at != 0;
}

bool AllJobsCompleted(const std::map<std::string, SoakJobRecord>& jobs,
                      Micros begin,
                      Micros end) {
  size_t required = 0;
  for (const auto& [id, record] : jobs) {
    if (record.sent_at < begin || record.sent_at >= end) {
      continue;
    }
    if (!CompletedOrCancelled(record)) {
      return false;
    }
    required += record.cancel_at == 0 ? 1 : 0;
  }
  return required > 0;
}

UnansweredRequests FindUnansweredRequests(
    const std::map<std::string, SoakJobRecord>& jobs,
    const std::vector<DaemonHistory>& entries,
    Micros answer_timeout) {
  UnansweredRequests unanswered;
  const FirstAnswered first_answered = FirstAnsweredRequests(jobs, entries);
  for (const auto& [id, record] : jobs) {
    if (record.ended_at == 0 || !IsUnanswered(record.end)) {
      continue;
    }
    const DaemonHistory& daemon = entries[record.entry_index];
    const bool gave_up = record.ended_at - record.sent_at >= answer_timeout;
    if (!HasListened(daemon, first_answered, record.sent_at) || gave_up ||
        MetFault(daemon, record)) {
      ++unanswered.explained;
      continue;
    }
    const TimeSpan& process = *ProcessAt(daemon, record.sent_at);
    if (process.end - kRelayTime <= record.sent_at ||
        WasRefused(daemon, first_answered, record)) {
      ++unanswered.sent_at_exit;
    } else {
      unanswered.violations.push_back(
          DescribeUnanswered(record, daemon, process));
    }
  }
  return unanswered;
}

std::vector<std::string> CheckJobs(
    const std::map<std::string, SoakJobRecord>& jobs,
    const FakeWorkers& workers,
    const SoakCheckOptions& options) {
  std::vector<std::string> violations;
  for (const auto& [task, record] : workers.tasks) {
    if (record.crashes > options.max_crashes) {
      violations.push_back("task " + ToString(task) + " crashed " +
                           std::to_string(record.crashes) + " workers");
    }
  }
  const std::map<std::string, JobExecution> executions =
      ExecutionsByJob(workers);
  for (const auto& [id, record] : jobs) {
    const auto found = executions.find(id);
    const JobExecution execution =
        found == executions.end() ? JobExecution() : found->second;
    const std::string contradiction = FindContradiction(record, execution);
    if (!contradiction.empty()) {
      std::string sentence = "job " + id + " ";
      sentence += contradiction;
      violations.push_back(std::move(sentence));
    }
    if (record.cancel_confirmed_at != 0 &&
        execution.last_start >
            record.cancel_confirmed_at + options.start_slack) {
      violations.push_back(
          "job " + id + " started a task after its cancellation was confirmed");
    }
    const Micros timeout = record.job.timeout_ms * kMillisecond;
    if (execution.last_start > record.sent_at + timeout + options.start_slack) {
      violations.push_back("job " + id + " started a task after its timeout");
    }
  }
  return violations;
}

std::vector<std::string> CheckLogLines(const std::vector<std::string>& lines) {
  std::vector<std::string> violations;
  for (const std::string& line : lines) {
    LogRow row;
    if (!ParseLogRow(line, row) && violations.size() < kMaxReportedLines) {
      violations.push_back("not a valid log line: " + line);
    }
  }
  return violations;
}

}  // namespace goldcrest
