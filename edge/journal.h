#ifndef EDGE_JOURNAL_H_
#define EDGE_JOURNAL_H_

// The journal of a daemon: one append-only file in the data folder.
//
// A record on disk is a length, a CRC-32 and a serialized JournalRecord. A
// background thread writes appends in the order of the calls, all queued ones
// with one write and one sync, and reports them when they are durable. When the
// file has grown past a bound, it is replaced by a snapshot of the records that
// are still needed. The snapshot is written to a second file, synced and
// renamed, so that a crash at any moment leaves one complete journal.
//
// Reading stops at the first torn or damaged record. A crash can leave a torn
// tail, which is truncated. Damage before the end means that synced records are
// lost: the journal is then renamed and treated as lost, and the VM starts with
// lost state, from which the protocols can recover.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "edge/write_metrics.h"
#include "goldcrest/step.h"
#include "proto/goldcrest.pb.h"

namespace goldcrest {

struct JournalOptions {
  // The file is replaced by a snapshot when it is longer than this and more
  // than twice as long as the last snapshot.
  size_t snapshot_bytes = 4 * 1024 * 1024;
};

// Reports that the append with `token` is durable (`ok`) or has failed. Called
// from the journal's thread, or from the caller of Append() if the journal's
// queue is full.
using SyncedHandler = std::function<void(uint64_t token, bool ok)>;

// Appends records; open one with OpenJournal(). Thread-safe.
class Journal {
 public:
  virtual ~Journal() = default;

  // Appends a record in the background. Reports the result unless `token` is 0.
  virtual void Append(const wire::JournalRecord& record, uint64_t token) = 0;

  // Blocks until every append so far is durable or has failed.
  virtual void Flush() = 0;
};

// An open journal and the state recovered from it.
struct OpenedJournal {
  std::unique_ptr<Journal> journal;
  RecoveredState recovered;
  // True if the journal was damaged and renamed.
  bool damaged = false;
};

// Opens the journal in `folder`, creates both if they are missing, and records
// the start of this incarnation. `metrics` outlives the journal. The error is
// one sentence.
tl::expected<OpenedJournal, std::string> OpenJournal(
    const std::string& folder,
    const JournalOptions& options,
    uint64_t incarnation,
    WriteMetrics& metrics,
    SyncedHandler on_synced);

// The result of parsing a journal file.
struct JournalContents {
  std::vector<wire::JournalRecord> records;
  size_t valid_bytes = 0;  // length of the valid records at the start
  bool torn_tail = false;
  bool damaged = false;
};

// Parses the bytes of a journal file.
JournalContents ReadJournal(const std::string& bytes);

// Returns one record in its on-disk form.
std::string FrameRecord(const wire::JournalRecord& record);

// Returns the state after applying the records in order.
RecoveredState Replay(const std::vector<wire::JournalRecord>& records);

}  // namespace goldcrest

#endif  // EDGE_JOURNAL_H_
