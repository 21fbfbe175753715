#ifndef REPORT_SNAPSHOT_H_
#define REPORT_SNAPSHOT_H_

// What one entry VM's metrics said about service levels at one moment.
//
// ReadSnapshot() takes the text of /metrics, fresh or saved: the text itself
// names its VM, its time, the start of its process and the objectives, so a
// saved file needs nothing beside it.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "goldcrest/configuration.h"
#include "goldcrest/service_level.h"

namespace goldcrest {

// One series of one VM since the start of its process.
struct SeriesState {
  AnswerCounts answers;
  // Minutes since the epoch in which a request was refused or left unknown.
  std::set<int64_t> refused_minutes;
};

struct Snapshot {
  std::string vm;
  std::string failure_domain;
  int64_t wall_ms = 0;
  int64_t started_wall_ms = 0;
  std::map<SeriesKey, SeriesState> series;
  std::map<std::string, ServiceObjective> objectives;  // by kind
};

// Reads one text. The error is a sentence that names what is missing or wrong.
tl::expected<Snapshot, std::string> ReadSnapshot(std::string_view text);

}  // namespace goldcrest

#endif  // REPORT_SNAPSHOT_H_
