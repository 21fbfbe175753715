#ifndef SOAK_SOAK_H_
#define SOAK_SOAK_H_

// The fault soak: runs the real daemon programs under load, injects random
// faults, and checks the daemons' guarantees.
//
// Each daemon runs in its own process. Callers, workers, operators and relays
// run in the soak's process, so that the soak sees both the results that
// callers received and the tasks that workers executed. The soak waits until
// the deployment serves jobs, plays the fault plan under load, ends all faults,
// waits for the recovery time, and then requires that every job completes.
// Every violation of a guarantee is listed in the result.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "soak/fault_plan.h"
#include "soak/soak_callers.h"
#include "soak/soak_deployment.h"

namespace goldcrest {

struct SoakOptions {
  SoakDeploymentOptions deployment;
  FaultPlanOptions plan;
  double jobs_per_second = 40;
  // Whether some jobs crash workers, and the workers' capacities change, until
  // the end of the last fault.
  bool task_crashes = false;
  // Time from the end of the last fault until every job must complete again.
  Micros recovery_time = 15 * kSecond;
  // Duration of the final check, during which every job must complete.
  Micros final_check_duration = 2 * kSecond;
  // How long after the caller's timeout or a confirmed cancellation a start
  // order that was already sent may still start its task. Must not exceed a
  // worker's lease.
  Micros start_slack = kSecond;
  // Maximum number of failed jobs whose cause is looked up in the logs.
  size_t max_failures_looked_up = 10;
  // Prints the planned faults to the standard output.
  bool print_plan = true;
};

struct SoakResult {
  // One sentence for each violated guarantee, which includes each failed job
  // without a logged cause; empty when the soak passed.
  std::vector<std::string> violations;
  std::map<std::string, int> outcomes;  // number of jobs by outcome name
  int started_attempts = 0;             // attempts started on workers
  int failures_with_logged_cause =
      0;  // failed jobs whose cause was found in the logs
  int failures_without_logged_cause =
      0;  // failed jobs whose cause was not found in the logs
  // Requests without an answer that are no violations; see UnansweredRequests.
  int unanswered_explained = 0;
  int unanswered_at_exit = 0;
  // Requests without an answer that nothing explains.
  std::vector<std::string> unanswered_requests;
  uint64_t log_lines = 0;  // lines in the logs of all daemons
};

// Makes the running RunSoak() throw an error. May be installed as a signal
// handler.
void InterruptSoak(int signal);

// Runs one soak, which takes the duration of the plan plus the startup, the
// recovery time and the final checks. Throws std::exception if the soak is
// interrupted or cannot continue; all child processes have been killed by then.
SoakResult RunSoak(const SoakOptions& options, const SoakWire& wire);

}  // namespace goldcrest

#endif  // SOAK_SOAK_H_
