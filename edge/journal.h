#ifndef EDGE_JOURNAL_H_
#define EDGE_JOURNAL_H_

// The data folder: one journal file of synced records.
//
// A record is a length, a CRC-32 and a serialised JournalRecord. Appends are
// written by a thread of their own in the order in which they were asked for,
// as many as wait in one write and one sync, and reported when durable. When
// the file has grown past a bound it is replaced by a snapshot of what still
// counts, written beside it, synced and renamed, so that a crash at any moment
// leaves one whole journal.
//
// Reading stops at the first record that is torn or damaged. A torn tail is
// what a crash leaves and is cut off. Damage before the end means that synced
// records are gone: the journal is then set aside and counts as lost, and the
// VM starts without memory, which the protocols know how to heal.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "goldcrest/step.h"
#include "proto/goldcrest.pb.h"

namespace goldcrest {

struct JournalOptions {
  // The file is replaced by a snapshot when it is this long and at least
  // twice as long as the last snapshot.
  size_t snapshot_bytes = 4 * 1024 * 1024;
};

// Reports that the appends with `token` is durable, or that it failed. Called
// from the journal's thread.
using SyncedHandler = std::function<void(uint64_t token, bool ok)>;

class Journal {
 public:
  virtual ~Journal() = default;

  // Appends a record; reports it when `token` is not 0.
  virtual void Append(const wire::JournalRecord& record, uint64_t token) = 0;

  // Waits until everything appended so far is durable or has failed.
  virtual void Flush() = 0;
};

// What a data folder held, ready to start from.
struct OpenedJournal {
  std::unique_ptr<Journal> journal;
  Recovered recovered;
  // Whether the journal was damaged and set aside.
  bool damaged = false;
};

// Opens the journal in `folder`, which is created when missing. The error is
// one sentence.
tl::expected<OpenedJournal, std::string> OpenJournal(
    const std::string& folder,
    const JournalOptions& options,
    uint64_t incarnation,
    SyncedHandler on_synced);

// The result of reading a journal file.
struct JournalContents {
  std::vector<wire::JournalRecord> records;
  size_t good_bytes = 0;
  bool torn_tail = false;
  bool damaged = false;
};

// Reads the bytes of a journal file.
JournalContents ReadJournal(const std::string& bytes);

// Returns the bytes of one record as they stand in the file.
std::string FrameRecord(const wire::JournalRecord& record);

// Returns the state that a list of records leads to.
Recovered Replay(const std::vector<wire::JournalRecord>& records);

}  // namespace goldcrest

#endif  // EDGE_JOURNAL_H_
