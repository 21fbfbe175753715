#ifndef POOL_TESTING_RUN_HISTORY_H_
#define POOL_TESTING_RUN_HISTORY_H_

// Random histories of a small simulated deployment, for the rules on when a run
// is over and on orders that must arrive.
//
// Two control daemons, two entry daemons and a few workers serve jobs of
// different lengths while a few troubles happen at random: orders and their
// answers are lost, late, doubled or carried out by a later process; workers
// crash and come back, several times, with a new clock each time, leave, and
// are cut off; reports are late or from another writer; clocks run slow;
// daemons are paused, killed and cut off; callers cancel their jobs and send
// them again; disks become slow. What the workers and callers have seen is
// checked afterwards; the order of events is not prescribed.

#include <cstdint>
#include <string>
#include <vector>

namespace goldcrest {

// What a history shows.
struct HistoryResult {
  std::vector<std::string> troubles;  // names, in the order of their beginning
  // Descriptions, each with the name of the rule in front:
  //   TWICE: two runs of a task at the same time
  //   UNASKED: a job starts or runs on although its cancelling was confirmed
  //   LOST: a job is shown as failed without a cause, or has no answer
  //   CONFIG: no change of the configuration is confirmed after the troubles
  //   DRAIN: a task starts on a worker that has long been draining
  std::vector<std::string> violations;
  int runs = 0;  // started by workers
};

// Plays the history of a seed. With `print_log`, prints what the daemons log.
HistoryResult PlayHistory(uint64_t seed, bool print_log);

}  // namespace goldcrest

#endif  // POOL_TESTING_RUN_HISTORY_H_
