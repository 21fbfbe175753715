// RegisterFile keeps the last durable state after torn, failed and damaged
// writes.

#include <sys/resource.h>

#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <mutex>

#include <Poco/File.h>
#include <Poco/TemporaryFile.h>
#include <catch2/catch.hpp>

#include "edge/register_file.h"

namespace goldcrest {
namespace {

// Collects the write reports and waits for them.
class WriteReports {
 public:
  WriteMetrics metrics;

  RegisterFile::StoredHandler Handler() {
    return [this](uint64_t sequence, bool ok) {
      const std::lock_guard<std::mutex> lock(mutex_);
      newest_ = sequence;
      ok_ = ok;
      changed_.notify_all();
    };
  }

  bool WaitFor(uint64_t sequence) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [&] { return newest_ >= sequence; });
    return ok_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t newest_ = 0;
  bool ok_ = false;
};

// Returns a state whose document length depends on the term.
wire::StoredRegister State(uint64_t term) {
  wire::StoredRegister stored;
  stored.set_store_id(77);
  stored.set_term(term);
  stored.mutable_state()->mutable_routing()->set_document(
      std::string(1000 + term, 'd'));
  return stored;
}

std::string NewFolder() {
  Poco::TemporaryFile folder;
  folder.createDirectories();
  folder.keepUntilExit();
  return folder.path();
}

// Writes the states of the terms `first` to `last`, waiting for each.
void WriteStates(const std::string& folder, uint64_t first, uint64_t last) {
  WriteReports reports;
  RegisterFile file(folder, *ReadRegisterFiles(folder), reports.metrics,
                    reports.Handler());
  for (uint64_t term = first; term <= last; ++term) {
    file.Write(State(term), term);
    REQUIRE(reports.WaitFor(term));
  }
}

// Returns the term of the newest valid state in the folder.
uint64_t TermIn(const std::string& folder) {
  return ReadRegisterFiles(folder)->stored.term();
}

TEST_CASE("RegisterFile: the newest state is read back") {
  const std::string folder = NewFolder();
  CHECK(ReadRegisterFiles(folder)->stored.store_id() == 0);
  WriteStates(folder, 1, 5);
  CHECK(TermIn(folder) == 5);
  WriteStates(folder, 6, 6);
  CHECK(TermIn(folder) == 6);
  CHECK(ReadRegisterFiles(folder)->stored.store_id() == 77);
}

TEST_CASE("RegisterFile: a torn write leaves the previous state readable") {
  for (const size_t keep : {0U, 3U, 15U, 16U, 200U, 1000U}) {
    CAPTURE(keep);
    const std::string folder = NewFolder();
    WriteStates(folder, 1, 2);  // 1 in register.0, 2 in register.1
    Poco::File(folder + "/register.1").setSize(keep);
    CHECK(TermIn(folder) == 1);
  }
}

TEST_CASE("RegisterFile: a damaged file is ignored") {
  const std::string folder = NewFolder();
  WriteStates(folder, 1, 2);
  std::fstream file(folder + "/register.1",
                    std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(300);
  file.put('!');
  file.close();
  CHECK(TermIn(folder) == 1);
}

TEST_CASE(
    "RegisterFile: a failed write is reported and leaves the state intact") {
  const std::string folder = NewFolder();
  WriteStates(folder, 1, 2);
  Poco::File(folder + "/register.0").remove();
  Poco::File(folder + "/register.0").createDirectory();  // cannot be written
  WriteReports reports;
  {
    RegisterFile file(folder, *ReadRegisterFiles(folder), reports.metrics,
                      reports.Handler());
    file.Write(State(3), 3);
    CHECK_FALSE(reports.WaitFor(3));
  }
  CHECK(TermIn(folder) == 2);
}

// Files cannot grow past `bytes` while this object exists: a longer write is
// cut there, as on a full disk.
class FileSizeLimit {
 public:
  explicit FileSizeLimit(rlim_t bytes)
      : handler_before_(std::signal(SIGXFSZ, SIG_IGN)) {
    getrlimit(RLIMIT_FSIZE, &before_);
    rlimit limit = before_;
    limit.rlim_cur = bytes;
    setrlimit(RLIMIT_FSIZE, &limit);
  }
  ~FileSizeLimit() {
    setrlimit(RLIMIT_FSIZE, &before_);
    std::signal(SIGXFSZ, handler_before_);
  }
  FileSizeLimit(const FileSizeLimit&) = delete;
  FileSizeLimit& operator=(const FileSizeLimit&) = delete;

 private:
  rlimit before_ = {};
  void (*handler_before_)(int);
};

TEST_CASE(
    "RegisterFile: states are written again after the disk was full, and the "
    "newest durable state survives restarts meanwhile") {
  for (const rlim_t room : {0U, 10U, 500U}) {
    for (const uint64_t durable : {0U, 1U, 2U}) {
      CAPTURE(room, durable);
      const std::string folder = NewFolder();
      WriteStates(folder, 1, durable);
      {
        const FileSizeLimit full(room);
        for (int restart = 0; restart < 2; ++restart) {
          WriteReports reports;
          RegisterFile file(folder, *ReadRegisterFiles(folder), reports.metrics,
                            reports.Handler());
          for (const uint64_t sequence : {1U, 2U, 3U}) {
            file.Write(State(10 + sequence), sequence);
            CHECK_FALSE(reports.WaitFor(sequence));
          }
          CHECK(TermIn(folder) == durable);
        }
      }
      WriteStates(folder, 21, 22);
      CHECK(TermIn(folder) == 22);
    }
  }
}

TEST_CASE(
    "RegisterFile: a process that runs on writes after its disk was full") {
  const std::string folder = NewFolder();
  WriteReports reports;
  RegisterFile file(folder, *ReadRegisterFiles(folder), reports.metrics,
                    reports.Handler());
  for (uint64_t sequence = 1; sequence <= 9; sequence += 3) {
    file.Write(State(sequence), sequence);
    CHECK(reports.WaitFor(sequence));
    for (const uint64_t failing : {sequence + 1, sequence + 2}) {
      const FileSizeLimit full(700);
      file.Write(State(failing), failing);
      CHECK_FALSE(reports.WaitFor(failing));
      CHECK(TermIn(folder) == sequence);
    }
  }
}

TEST_CASE("RegisterFile: a missing folder is an error") {
  CHECK_FALSE(ReadRegisterFiles(NewFolder() + "/none").has_value());
}

}  // namespace
}  // namespace goldcrest
