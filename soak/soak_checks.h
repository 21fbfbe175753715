#ifndef SOAK_SOAK_CHECKS_H_
#define SOAK_SOAK_CHECKS_H_

// Checks that compare the outcomes that callers received with the attempts that
// workers executed, and checks of the daemons' logs.

#include <map>
#include <string>
#include <vector>

#include "pool/testing/fake_worker.h"
#include "soak/soak_callers.h"

namespace goldcrest {

struct SoakCheckOptions {
  // A start order that was already sent may still start its task this long
  // after a timeout or cancellation; the worker refuses it when the worker's
  // lease has expired.
  Micros start_slack = kSecond;
};

// Returns one sentence for each violation of these guarantees: no task of a
// refused job starts; all tasks of a completed job are done; not all tasks of a
// failed job are done; no task starts after its job's cancellation was
// confirmed or after the caller's timeout, except from start orders that had
// been sent before (see `start_slack`).
std::vector<std::string> CheckJobs(
    const std::map<std::string, SoakJobRecord>& jobs,
    const FakeWorkers& workers,
    const SoakCheckOptions& options);

// Returns one sentence for each of `lines` that cannot be parsed as a log line,
// at most ten.
std::vector<std::string> CheckLogLines(const std::vector<std::string>& lines);

}  // namespace goldcrest

#endif  // SOAK_SOAK_CHECKS_H_
