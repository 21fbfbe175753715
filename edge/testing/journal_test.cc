#include "edge/journal.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

#include <Poco/File.h>
#include <Poco/TemporaryFile.h>
#include <catch2/catch.hpp>

namespace goldcrest {
namespace {

// Returns a record of a configuration in force, with a document of `bytes`
// bytes.
wire::JournalRecord VersionRecord(uint64_t version, size_t bytes = 10) {
  wire::JournalRecord record;
  wire::ConfigurationState* state = record.mutable_configuration_in_force();
  state->set_version(version);
  state->set_document(std::string(bytes, 'x'));
  return record;
}

std::string ReadWhole(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void WriteWhole(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

WriteMetrics& UnusedMetrics() {
  static WriteMetrics metrics;
  return metrics;
}

// Opens a journal that is replaced by a snapshot from 20,000 bytes on.
OpenedJournal Open(const std::string& folder, uint64_t incarnation) {
  JournalOptions options;
  options.snapshot_bytes = 20'000;
  auto opened = OpenJournal(folder, options, incarnation, UnusedMetrics(),
                            [](uint64_t, bool) {});
  REQUIRE(opened);
  return std::move(*opened);
}

// Stands for the journal of `folder`: a file in memory that cannot be
// shortened, so that a truncation fails.
class UnshortenableJournal {
 public:
  explicit UnshortenableJournal(const std::string& folder)
      : file_(memfd_create("journal", MFD_ALLOW_SEALING)) {
    Poco::File(folder).createDirectories();
    const std::string target = "/proc/self/fd/" + std::to_string(file_);
    REQUIRE(symlink(target.c_str(), (folder + "/journal").c_str()) == 0);
    REQUIRE(fcntl(file_, F_ADD_SEALS, F_SEAL_SHRINK) == 0);
  }
  ~UnshortenableJournal() { close(file_); }
  UnshortenableJournal(const UnshortenableJournal&) = delete;
  UnshortenableJournal& operator=(const UnshortenableJournal&) = delete;

 private:
  int file_;
};

// Appends a record while the file may grow by `room` bytes only.
void AppendWithRoom(const std::string& folder, Journal& journal, size_t room) {
  const auto handler_before = std::signal(SIGXFSZ, SIG_IGN);
  rlimit before = {};
  getrlimit(RLIMIT_FSIZE, &before);
  rlimit limit = before;
  limit.rlim_cur = ReadWhole(folder + "/journal").size() + room;
  setrlimit(RLIMIT_FSIZE, &limit);
  journal.Append(VersionRecord(8, 500), 8);
  journal.Flush();
  setrlimit(RLIMIT_FSIZE, &before);
  std::signal(SIGXFSZ, handler_before);
}

// Returns the newest version among the readable records of the journal.
uint64_t ReadableVersion(const std::string& folder) {
  return Replay(ReadJournal(ReadWhole(folder + "/journal")).records)
      .in_force.version();
}

}  // namespace

TEST_CASE(
    "Journal: a record that was reported durable after a failed write can be "
    "read") {
  for (const bool truncation_fails : {false, true}) {
    for (const size_t room : {0U, 4U, 100U}) {
      CAPTURE(truncation_fails, room);
      const Poco::TemporaryFile folder;
      std::optional<UnshortenableJournal> file;
      if (truncation_fails) {
        file.emplace(folder.path());
      }
      std::map<uint64_t, bool> synced;
      auto opened =
          OpenJournal(folder.path(), JournalOptions(), 1, UnusedMetrics(),
                      [&](uint64_t token, bool ok) { synced[token] = ok; });
      REQUIRE(opened);
      opened->journal->Append(VersionRecord(7), 7);
      opened->journal->Flush();
      CHECK(synced[7]);
      AppendWithRoom(folder.path(), *opened->journal, room);
      CHECK_FALSE(synced[8]);
      opened->journal->Append(VersionRecord(9), 9);
      opened->journal->Flush();
      CHECK((synced[9] || truncation_fails));
      CHECK(ReadableVersion(folder.path()) == (synced[9] ? 9 : 7));
    }
  }
}

TEST_CASE("Journal: appended records are recovered after a restart") {
  const Poco::TemporaryFile folder;
  {
    OpenedJournal first = Open(folder.path(), 1);
    CHECK_FALSE(first.recovered.had_earlier_incarnation);
    first.journal->Append(VersionRecord(7), 0);
  }
  const OpenedJournal second = Open(folder.path(), 2);
  CHECK(second.recovered.had_earlier_incarnation);
  CHECK(second.recovered.in_force.version() == 7);
}

TEST_CASE("Journal: truncation at any byte loses only the last record") {
  std::string bytes;
  std::vector<size_t> ends;
  for (uint64_t version = 1; version <= 5; ++version) {
    bytes += FrameRecord(VersionRecord(version));
    ends.push_back(bytes.size());
  }
  for (size_t cut = 0; cut <= bytes.size(); ++cut) {
    const JournalContents contents = ReadJournal(bytes.substr(0, cut));
    size_t whole = 0;
    while (whole < ends.size() && ends[whole] <= cut) {
      ++whole;
    }
    CHECK(contents.records.size() == whole);
    CHECK_FALSE(contents.damaged);
  }
}

TEST_CASE("Journal: a journal damaged before its end is renamed") {
  const Poco::TemporaryFile folder;
  {
    OpenedJournal first = Open(folder.path(), 1);
    for (uint64_t version = 1; version <= 5; ++version) {
      first.journal->Append(VersionRecord(version), 0);
    }
  }
  const std::string path = folder.path() + "/journal";
  std::string bytes = ReadWhole(path);
  bytes[20] = static_cast<char>(bytes[20] ^ 0x40);
  WriteWhole(path, bytes);
  const OpenedJournal second = Open(folder.path(), 2);
  CHECK(second.damaged);
  CHECK(second.recovered.had_earlier_incarnation);
  CHECK_FALSE(second.recovered.has_vote);
  CHECK(Poco::File(path + ".damaged.2").exists());
}

TEST_CASE(
    "Journal: a long journal is replaced by a snapshot of the needed records") {
  const Poco::TemporaryFile folder;
  {
    OpenedJournal first = Open(folder.path(), 1);
    for (uint64_t version = 1; version <= 200; ++version) {
      first.journal->Append(VersionRecord(version, 1000), 0);
      first.journal->Flush();
    }
  }
  CHECK(Poco::File(folder.path() + "/journal").getSize() < 60'000);
  CHECK(Open(folder.path(), 2).recovered.in_force.version() == 200);
}

TEST_CASE(
    "Journal: a durable append is reported, an unusable folder is an error") {
  const Poco::TemporaryFile folder;
  std::atomic<int> synced{0};
  auto opened = OpenJournal(folder.path(), JournalOptions(), 1, UnusedMetrics(),
                            [&](uint64_t, bool ok) { synced += ok ? 1 : 0; });
  REQUIRE(opened);
  opened->journal->Append(VersionRecord(1), 1);
  opened->journal->Flush();
  CHECK(synced == 1);
  CHECK_FALSE(OpenJournal("/proc/no-such-folder", JournalOptions(), 1,
                          UnusedMetrics(), [](uint64_t, bool) {}));
}

}  // namespace goldcrest
