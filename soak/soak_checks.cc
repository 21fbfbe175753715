#include "soak/soak_checks.h"

#include <algorithm>
#include <utility>

#include "report/explain.h"

namespace goldcrest {
namespace {

constexpr size_t kMaxReportedLines = 10;

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

}  // namespace

std::vector<std::string> CheckJobs(
    const std::map<std::string, SoakJobRecord>& jobs,
    const FakeWorkers& workers,
    const SoakCheckOptions& options) {
  std::vector<std::string> violations;
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
