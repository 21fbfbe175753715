#include "edge/journal.h"

#include <fcntl.h>
#include <unistd.h>

#include <condition_variable>
#include <cstring>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include <Poco/Checksum.h>
#include <Poco/Exception.h>
#include <Poco/File.h>
#include <Poco/FileStream.h>
#include <Poco/StreamCopier.h>

#include "edge/socket_loop.h"

namespace goldcrest {
namespace {

constexpr char kFileName[] = "/journal";
constexpr size_t kFrameHeaderBytes = 8;
constexpr size_t kMaxRecordBytes = 64 * 1024 * 1024;
constexpr size_t kMaxQueuedAppends = 100'000;  // further appends fail

uint32_t Crc32(const std::string& bytes) {
  Poco::Checksum checksum(Poco::Checksum::TYPE_CRC32);
  checksum.update(bytes);
  return checksum.checksum();
}

void AppendUint32(std::string& bytes, uint32_t value) {
  for (int shift = 0; shift < 32; shift += 8) {
    bytes += static_cast<char>((value >> shift) & 0xff);
  }
}

// Reads 4 bytes, the lowest first, as AppendUint32() writes them.
uint32_t ReadUint32(const std::string& bytes, size_t position) {
  uint32_t value = 0;
  for (int i = 3; i >= 0; --i) {
    value = (value << 8) | static_cast<unsigned char>(
                               bytes[position + static_cast<size_t>(i)]);
  }
  return value;
}

bool WriteAll(int file, const std::string& bytes) {
  size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        ::write(file, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    written += static_cast<size_t>(count);
  }
  return true;
}

// Syncs the directory, so that a created or renamed file survives a crash.
bool SyncFolder(const std::string& folder) {
  const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (file < 0) {
    return false;
  }
  const bool ok = ::fsync(file) == 0;
  ::close(file);
  return ok;
}

// The records that are still needed, for the next snapshot: the newest of each
// kind, and for claims (the state of one submission at this claim voter) the
// newest per submission. Records whose write has failed are included.
class LiveRecords {
 public:
  void Add(const wire::JournalRecord& record) {
    switch (record.body_case()) {
      case wire::JournalRecord::kClaim:
        claims_[record.claim().submission_id()] = record;
        break;
      case wire::JournalRecord::kConfigurationVote:
        vote_ = record;
        break;
      case wire::JournalRecord::kConfigurationInForce:
        in_force_ = record;
        break;
      case wire::JournalRecord::kStart:
        start_ = record;
        break;
      case wire::JournalRecord::BODY_NOT_SET:
        break;
    }
  }

  // Returns the contents of a journal file with just these records.
  std::string Snapshot() const {
    std::string bytes;
    for (const wire::JournalRecord* record : {&start_, &vote_, &in_force_}) {
      if (record->body_case() != wire::JournalRecord::BODY_NOT_SET) {
        bytes += FrameRecord(*record);
      }
    }
    for (const auto& [id, record] : claims_) {
      bytes += FrameRecord(record);
    }
    return bytes;
  }

  // Drops claims that were received before this wall-clock time.
  void DropClaimsBefore(int64_t wall_ms) {
    std::erase_if(claims_, [&](const auto& entry) {
      return entry.second.claim().received_wall_ms() < wall_ms;
    });
  }

 private:
  std::map<std::string, wire::JournalRecord> claims_;
  wire::JournalRecord vote_;
  wire::JournalRecord in_force_;
  wire::JournalRecord start_;
};

// A record that waits to be written.
struct QueuedAppend {
  wire::JournalRecord record;
  uint64_t token = 0;
};

// Age in milliseconds above which claims are omitted from snapshots. It is
// twice the longest retention_s that a configuration may declare (ReadLimits()
// in goldcrest/configuration.cc).
constexpr int64_t kClaimRetentionMs = 2LL * 86400 * 1000;

// The journal's implementation, with the thread that writes.
class FileJournal : public Journal {
 public:
  FileJournal(std::string folder,
              const JournalOptions& options,
              int file,
              size_t size,
              LiveRecords live,
              WriteMetrics& metrics,
              SyncedHandler on_synced)
      : folder_(std::move(folder)),
        options_(options),
        file_(file),
        size_(size),
        snapshot_size_(size),
        live_(std::move(live)),
        metrics_(metrics),
        on_synced_(std::move(on_synced)),
        thread_([this] { Run(); }) {}

  ~FileJournal() override {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
    ::close(file_);
  }

  void Append(const wire::JournalRecord& record, uint64_t token) override {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (queue_.size() < kMaxQueuedAppends) {
        queue_.push_back({record, token});
        changed_.notify_all();
        return;
      }
    }
    if (token != 0) {
      on_synced_(token, false);
    }
  }

  void Flush() override {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [this] { return queue_.empty() && !writing_; });
  }

 private:
  void Run() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (true) {
      changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (queue_.empty()) {
        return;
      }
      const std::deque<QueuedAppend> batch = std::exchange(queue_, {});
      writing_ = true;
      lock.unlock();
      WriteBatch(batch);
      lock.lock();
      writing_ = false;
      changed_.notify_all();
    }
  }

  // Writes and syncs a batch, reports the results, and replaces the file by a
  // snapshot if it has become too long.
  void WriteBatch(const std::deque<QueuedAppend>& batch) {
    std::string bytes;
    for (const QueuedAppend& append : batch) {
      bytes += FrameRecord(append.record);
      live_.Add(append.record);
    }
    const Micros began_at = MonotonicMicros();
    const bool ok =
        TruncateTail() && WriteAll(file_, bytes) && ::fdatasync(file_) == 0;
    metrics_.Observe(MonotonicMicros() - began_at, ok);
    if (ok) {
      size_ += bytes.size();
    } else {
      has_failed_tail_ = true;
      TruncateTail();
    }
    for (const QueuedAppend& append : batch) {
      if (append.token != 0) {
        on_synced_(append.token, ok);
      }
    }
    const size_t limit = std::max(options_.snapshot_bytes, 2 * snapshot_size_);
    if (size_ > limit) {
      WriteSnapshot();
    }
  }

  // Removes what a failed write may have left after the last durable record:
  // reading stops there, so later records would be lost. Returns false if that
  // fails; nothing may be appended then.
  bool TruncateTail() {
    if (has_failed_tail_) {
      const auto size = static_cast<off_t>(size_);
      has_failed_tail_ = ::ftruncate(file_, size) != 0 ||
                         ::lseek(file_, size, SEEK_SET) != size;
    }
    return !has_failed_tail_;
  }

  // Replaces the journal file by a snapshot. If that fails, the old file stays
  // in use.
  void WriteSnapshot() {
    const std::string path = folder_ + kFileName;
    const std::string next_path = path + ".next";
    const int64_t now_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    live_.DropClaimsBefore(now_ms - kClaimRetentionMs);
    const std::string bytes = live_.Snapshot();
    const int next =
        ::open(next_path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (next < 0) {
      return;
    }
    const bool written = WriteAll(next, bytes) && ::fsync(next) == 0;
    if (!written || ::rename(next_path.c_str(), path.c_str()) != 0) {
      ::close(next);
      ::unlink(next_path.c_str());
      return;
    }
    SyncFolder(folder_);
    ::close(file_);
    file_ = next;
    size_ = bytes.size();
    snapshot_size_ = size_;
    has_failed_tail_ = false;
  }

  std::string folder_;
  JournalOptions options_;
  int file_;
  size_t size_;
  size_t snapshot_size_;
  bool has_failed_tail_ = false;
  LiveRecords live_;
  WriteMetrics& metrics_;
  SyncedHandler on_synced_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<QueuedAppend> queue_;
  bool writing_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

// Returns the contents of a file, empty if it does not exist.
std::string ReadFile(const std::string& path) {
  if (!Poco::File(path).exists()) {
    return "";
  }
  Poco::FileInputStream stream(path, std::ios::in | std::ios::binary);
  std::string bytes;
  Poco::StreamCopier::copyToString(stream, bytes);
  return bytes;
}

// Renames a damaged journal and keeps it for manual inspection.
void RenameDamaged(const std::string& path, uint64_t incarnation) {
  Poco::File(path).renameTo(path + ".damaged." + std::to_string(incarnation));
}

}  // namespace

std::string FrameRecord(const wire::JournalRecord& record) {
  const std::string body = record.SerializeAsString();
  std::string frame;
  frame.reserve(kFrameHeaderBytes + body.size());
  AppendUint32(frame, static_cast<uint32_t>(body.size()));
  AppendUint32(frame, Crc32(body));
  return frame + body;
}

// A crash can leave only the last write incomplete. A record that has its full
// length but a wrong checksum, and is followed by more bytes, is damage.
JournalContents ReadJournal(const std::string& bytes) {
  JournalContents contents;
  size_t position = 0;
  while (position < bytes.size()) {
    if (bytes.size() - position < kFrameHeaderBytes) {
      contents.torn_tail = true;
      return contents;
    }
    const size_t length = ReadUint32(bytes, position);
    const uint32_t crc = ReadUint32(bytes, position + 4);
    const size_t end = position + kFrameHeaderBytes + length;
    if (length > kMaxRecordBytes || end > bytes.size()) {
      // Either the tail is torn or the length itself is damaged. A damaged
      // length that is not above the maximum cannot be told from a torn write
      // and is treated as one. `torn_tail` is set in both cases.
      contents.torn_tail = true;
      contents.damaged = length > kMaxRecordBytes;
      return contents;
    }
    const std::string body = bytes.substr(position + kFrameHeaderBytes, length);
    wire::JournalRecord record;
    if (Crc32(body) != crc || !record.ParseFromString(body)) {
      contents.torn_tail = end == bytes.size();
      contents.damaged = end != bytes.size();
      return contents;
    }
    contents.records.push_back(std::move(record));
    position = end;
    contents.valid_bytes = end;
  }
  return contents;
}

RecoveredState Replay(const std::vector<wire::JournalRecord>& records) {
  RecoveredState recovered;
  std::map<std::string, wire::ClaimRecord> claims;
  for (const wire::JournalRecord& record : records) {
    switch (record.body_case()) {
      case wire::JournalRecord::kClaim:
        claims[record.claim().submission_id()] = record.claim();
        break;
      case wire::JournalRecord::kConfigurationVote:
        recovered.has_vote = true;
        recovered.vote = record.configuration_vote();
        break;
      case wire::JournalRecord::kConfigurationInForce:
        if (record.configuration_in_force().version() >
            recovered.in_force.version()) {
          recovered.in_force = record.configuration_in_force();
        }
        break;
      case wire::JournalRecord::kStart:
        recovered.had_earlier_incarnation = true;
        break;
      case wire::JournalRecord::BODY_NOT_SET:
        break;
    }
  }
  for (auto& [id, claim] : claims) {
    recovered.claims.push_back(std::move(claim));
  }
  return recovered;
}

tl::expected<OpenedJournal, std::string> OpenJournal(
    const std::string& folder,
    const JournalOptions& options,
    uint64_t incarnation,
    WriteMetrics& metrics,
    SyncedHandler on_synced) {
  OpenedJournal opened;
  const std::string path = folder + kFileName;
  JournalContents contents;
  try {
    Poco::File(folder).createDirectories();
    contents = ReadJournal(ReadFile(path));
    if (contents.damaged) {
      RenameDamaged(path, incarnation);
      opened.damaged = true;
      contents = JournalContents();
    }
  } catch (const Poco::Exception& error) {
    return tl::make_unexpected("the data folder " + folder +
                               " cannot be used: " + error.displayText());
  }
  const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (file < 0) {
    return tl::make_unexpected("the journal " + path +
                               " cannot be opened: " + std::strerror(errno));
  }
  const auto good_bytes = static_cast<off_t>(contents.valid_bytes);
  if (::ftruncate(file, good_bytes) != 0 ||
      ::lseek(file, good_bytes, SEEK_SET) != good_bytes) {
    ::close(file);
    return tl::make_unexpected("the journal " + path +
                               " cannot be truncated to its valid records");
  }
  SyncFolder(folder);
  LiveRecords live;
  for (const wire::JournalRecord& record : contents.records) {
    live.Add(record);
  }
  opened.recovered = Replay(contents.records);
  opened.recovered.had_earlier_incarnation =
      opened.recovered.had_earlier_incarnation || opened.damaged;
  opened.journal = std::make_unique<FileJournal>(
      folder, options, file, contents.valid_bytes, std::move(live), metrics,
      std::move(on_synced));
  wire::JournalRecord start;
  start.mutable_start()->set_incarnation(incarnation);
  opened.journal->Append(start, 0);
  opened.journal->Flush();
  return opened;
}

}  // namespace goldcrest
