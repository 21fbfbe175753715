#ifndef REPORT_SNAPSHOT_H_
#define REPORT_SNAPSHOT_H_

// A snapshot of the service-level metrics of one entry VM at one point in time.
//
// ReadSnapshot() parses the text of /metrics, as served or as saved to a file.
// The text contains the VM, the time, the start of the process and the
// objectives, so a saved file needs no further data.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "goldcrest/configuration.h"
#include "goldcrest/service_level.h"

namespace goldcrest {

// The counts of one series at one VM since the start of its process.
struct SeriesState {
  AnswerCounts answers;
  // Minutes since the epoch in which a request was refused or ended
  // with an unknown outcome.
  std::set<int64_t> refused_minutes;
};

// All times are wall-clock times in milliseconds since the epoch.
struct Snapshot {
  std::string vm;
  std::string failure_domain;
  int64_t wall_ms = 0;
  int64_t started_wall_ms = 0;
  std::map<SeriesKey, SeriesState> series;
  std::map<std::string, ServiceObjective> objectives;  // by kind
};

// Parses the text of /metrics. The error describes what is missing or invalid.
tl::expected<Snapshot, std::string> ReadSnapshot(std::string_view text);

}  // namespace goldcrest

#endif  // REPORT_SNAPSHOT_H_
