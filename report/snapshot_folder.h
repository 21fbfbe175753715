#ifndef REPORT_SNAPSHOT_FOLDER_H_
#define REPORT_SNAPSHOT_FOLDER_H_

// A folder of saved snapshots, one file for each, named VM-WALLMS.metrics.
//
// A file holds the text of /metrics as it came. It is written beside its name
// and moved into place, so a reader never meets half of one. A file that cannot
// be read as a snapshot is reported and left out; the others still count.

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "report/snapshot.h"

namespace goldcrest {

// What a folder holds, and a sentence for each file that was left out.
struct SnapshotFolder {
  std::vector<Snapshot> snapshots;
  std::vector<std::string> errors;
};

// Reads every snapshot in `folder`. The error says why it cannot be listed.
tl::expected<SnapshotFolder, std::string> ReadSnapshotFolder(
    const std::string& folder);

// Saves `text`, the metrics that `snapshot` was read from, and makes the folder
// when it is missing.
tl::expected<void, std::string> SaveSnapshot(const std::string& folder,
                                             const Snapshot& snapshot,
                                             const std::string& text);

// Removes the files whose snapshots are older than `oldest_wall_ms`. Returns
// how many went.
int RemoveOldSnapshots(const std::string& folder, int64_t oldest_wall_ms);

}  // namespace goldcrest

#endif  // REPORT_SNAPSHOT_FOLDER_H_
