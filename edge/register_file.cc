#include "edge/register_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <Poco/Checksum.h>

#include "edge/socket_loop.h"

namespace goldcrest {
namespace {

constexpr std::array<const char*, 2> kFileNames = {"register.0", "register.1"};
// Maximum length of a serialized state. Checked when reading only.
constexpr size_t kMaxBytes = 64 * 1024 * 1024;

// Precedes the serialized state in the file, in host byte order: the files
// cannot be moved between architectures of different byte order. The CRC-32
// covers the generation and the state; a wrong length shows as a file that is
// too short or as a CRC mismatch.
struct Header {
  uint64_t generation = 0;
  uint32_t length = 0;
  uint32_t checksum = 0;
};

uint32_t ChecksumOf(uint64_t generation, const std::string& bytes) {
  Poco::Checksum checksum(Poco::Checksum::TYPE_CRC32);
  checksum.update(reinterpret_cast<const char*>(&generation),
                  sizeof generation);
  checksum.update(bytes);
  return checksum.checksum();
}

bool ReadFully(int file, char* to, size_t count) {
  while (count > 0) {
    const ssize_t got = read(file, to, count);
    if (got <= 0) {
      return false;
    }
    to += got;
    count -= static_cast<size_t>(got);
  }
  return true;
}

bool WriteFully(int file, const char* from, size_t count) {
  while (count > 0) {
    const ssize_t put = write(file, from, count);
    if (put <= 0) {
      return false;
    }
    from += put;
    count -= static_cast<size_t>(put);
  }
  return true;
}

// Owns a file descriptor and closes it on destruction.
class File {
 public:
  File(const std::string& path, int flags)
      : descriptor_(open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
  ~File() {
    if (descriptor_ >= 0) {
      close(descriptor_);
    }
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  bool ok() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }

 private:
  int descriptor_;
};

// Returns the generation and the state in a file, or nullopt if the file is
// missing, torn or damaged.
std::optional<std::pair<uint64_t, wire::StoredRegister>> ReadStateFile(
    const std::string& path) {
  const File file(path, O_RDONLY);
  Header header;
  if (!file.ok() ||
      !ReadFully(file.descriptor(), reinterpret_cast<char*>(&header),
                 sizeof header) ||
      header.length > kMaxBytes) {
    return std::nullopt;
  }
  std::string bytes(header.length, '\0');
  if (!ReadFully(file.descriptor(), bytes.data(), bytes.size()) ||
      ChecksumOf(header.generation, bytes) != header.checksum) {
    return std::nullopt;
  }
  wire::StoredRegister stored;
  if (!stored.ParseFromString(bytes)) {
    return std::nullopt;
  }
  return std::make_pair(header.generation, std::move(stored));
}

}  // namespace

tl::expected<RegisterFileContents, std::string> ReadRegisterFiles(
    const std::string& folder) {
  struct stat info = {};
  if (stat(folder.c_str(), &info) != 0 || !S_ISDIR(info.st_mode)) {
    return tl::make_unexpected("the data folder '" + folder +
                               "' cannot be read: " + std::strerror(errno));
  }
  RegisterFileContents contents;
  for (size_t i = 0; i < kFileNames.size(); ++i) {
    auto read = ReadStateFile(folder + "/" + kFileNames[i]);
    if (read && read->first > contents.generation) {
      contents.generation = read->first;
      contents.stored = std::move(read->second);
      contents.newest_file = static_cast<int>(i);
    }
  }
  return contents;
}

RegisterFile::RegisterFile(std::string folder,
                           const RegisterFileContents& contents,
                           WriteMetrics& metrics,
                           StoredHandler on_stored)
    : folder_(std::move(folder)),
      generation_(contents.generation),
      newest_file_(contents.newest_file),
      metrics_(metrics),
      on_stored_(std::move(on_stored)),
      thread_([this] { Run(); }) {}

RegisterFile::~RegisterFile() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

void RegisterFile::Write(const wire::StoredRegister& stored,
                         uint64_t sequence) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    pending_ = Pending{stored, sequence};
  }
  changed_.notify_one();
}

void RegisterFile::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return stopping_ || pending_.has_value(); });
    if (stopping_) {
      return;  // nothing waits for the queued state any longer
    }
    const Pending pending = std::move(*pending_);
    pending_.reset();
    lock.unlock();
    const Micros began_at = MonotonicMicros();
    const bool ok = WriteOne(pending.stored);
    metrics_.Observe(MonotonicMicros() - began_at, ok);
    on_stored_(pending.sequence, ok);
    lock.lock();
  }
}

// Writes the state to the older file and syncs the file, but not the folder.
// Returns true if both succeeded.
bool RegisterFile::WriteOne(const wire::StoredRegister& stored) {
  const int target = 1 - newest_file_;
  const std::string bytes = stored.SerializeAsString();
  Header header;
  header.generation = generation_ + 1;
  header.length = static_cast<uint32_t>(bytes.size());
  header.checksum = ChecksumOf(header.generation, bytes);
  const File file(folder_ + "/" + kFileNames[static_cast<size_t>(target)],
                  O_WRONLY | O_CREAT);
  std::string framed(reinterpret_cast<const char*>(&header), sizeof header);
  framed += bytes;
  if (!file.ok() ||
      !WriteFully(file.descriptor(), framed.data(), framed.size()) ||
      fsync(file.descriptor()) != 0) {
    return false;
  }
  newest_file_ = target;
  generation_ = header.generation;
  return true;
}

}  // namespace goldcrest
