#ifndef SOAK_SOAK_CHECKS_H_
#define SOAK_SOAK_CHECKS_H_

// Checks that compare the outcomes that callers received with the attempts that
// workers executed, and checks of the daemons' logs.

#include <map>
#include <string>
#include <vector>

#include "pool/testing/fake_worker.h"
#include "soak/daemon_history.h"
#include "soak/soak_callers.h"

namespace goldcrest {

struct SoakCheckOptions {
  // A start order that was already sent may still start its task this long
  // after a timeout or cancellation; the worker refuses it when the worker's
  // lease has expired.
  Micros start_slack = kSecond;
  // Workers that may crash under one task: the limit of the daemons, and one
  // whose only witness fails in the same moment.
  int max_crashes = 3;
};

// Returns whether a job has completed, or need not since its caller cancels it.
bool CompletedOrCancelled(const SoakJobRecord& record);

// Returns whether callers sent jobs from `begin` until before `end` that they
// do not cancel, and all of those have completed.
bool AllJobsCompleted(const std::map<std::string, SoakJobRecord>& jobs,
                      Micros begin,
                      Micros end);

// Returns one sentence for each violation of these guarantees: no task of a
// refused job starts; all tasks of a completed job are done; not all tasks of a
// failed job are done; no task starts after its job's cancellation was
// confirmed or after the caller's timeout, except from start orders that had
// been sent before (see `start_slack`).
std::vector<std::string> CheckJobs(
    const std::map<std::string, SoakJobRecord>& jobs,
    const FakeWorkers& workers,
    const SoakCheckOptions& options);

// The requests that were sent and ended without a whole answer.
struct UnansweredRequests {
  // One sentence for each request that its daemon should have answered.
  std::vector<std::string> violations;
  // Requests that may have reached the daemon's address after its process had
  // ended, and those whose connection was refused since the daemon had closed
  // its listener.
  int sent_at_exit = 0;
  // Requests that a fault explains, that were sent while no process listened or
  // that their callers gave up.
  int explained = 0;
};

// Classifies the requests that were sent and ended without a whole answer.
// `entries` has the histories of the entry daemons by SoakJobRecord's
// `entry_index`; `answer_timeout` is that of the callers. A process is
// taken to listen since the sending of the first request that it answered.
UnansweredRequests FindUnansweredRequests(
    const std::map<std::string, SoakJobRecord>& jobs,
    const std::vector<DaemonHistory>& entries,
    Micros answer_timeout);

// Returns one sentence for each of `lines` that cannot be parsed as a log line,
// at most ten.
std::vector<std::string> CheckLogLines(const std::vector<std::string>& lines);

}  // namespace goldcrest

#endif  // SOAK_SOAK_CHECKS_H_
