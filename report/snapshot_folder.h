#ifndef REPORT_SNAPSHOT_FOLDER_H_
#define REPORT_SNAPSHOT_FOLDER_H_

// A folder of saved snapshots, one file each, named VM-WALLMS.metrics.
//
// A file contains the unmodified text of /metrics. It is written under a
// temporary name in the same folder and then renamed, so a reader never sees a
// partially written file. A file that cannot be parsed as a snapshot is
// reported and skipped; the other files are still used.

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "report/snapshot.h"

namespace goldcrest {

// The snapshots of a folder, and one error message for each skipped file.
struct SnapshotFolder {
  std::vector<Snapshot> snapshots;
  std::vector<std::string> errors;
};

// Reads every snapshot in `folder`. Returns an error if the folder cannot be
// listed.
tl::expected<SnapshotFolder, std::string> ReadSnapshotFolder(
    const std::string& folder);

// Saves `text`, the metrics from which `snapshot` was parsed. Creates the
// folder if it does not exist.
tl::expected<void, std::string> SaveSnapshot(const std::string& folder,
                                             const Snapshot& snapshot,
                                             const std::string& text);

// Removes the files whose snapshots are older than `oldest_wall_ms`. Returns
// the number of files removed.
int RemoveOldSnapshots(const std::string& folder, int64_t oldest_wall_ms);

}  // namespace goldcrest

#endif  // REPORT_SNAPSHOT_FOLDER_H_
