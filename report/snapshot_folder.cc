#include "report/snapshot_folder.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace goldcrest {
namespace {

namespace fs = std::filesystem;

constexpr char kSuffix[] = ".metrics";
constexpr char kUnfinishedSuffix[] = ".unfinished";

std::string ReadText(const fs::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns the wall-clock time in the name of a snapshot file, in milliseconds,
// or -1 if the name contains none.
int64_t WallMsFromName(const fs::path& path) {
  const std::string stem = path.stem().string();
  const size_t dash = stem.rfind('-');
  if (dash == std::string::npos) {
    return -1;
  }
  const char* end = stem.data() + stem.size();
  int64_t wall_ms = 0;
  const auto [stop, error] =
      std::from_chars(stem.data() + dash + 1, end, wall_ms);
  return error == std::errc() && stop == end ? wall_ms : -1;
}

tl::expected<std::vector<fs::path>, std::string> SnapshotFiles(
    const std::string& folder) {
  std::vector<fs::path> paths;
  std::error_code error;
  for (fs::directory_iterator entry(folder, error), end; !error && entry != end;
       entry.increment(error)) {
    if (entry->path().extension() == kSuffix) {
      paths.push_back(entry->path());
    }
  }
  if (error) {
    return tl::make_unexpected("cannot list '" + folder +
                               "': " + error.message());
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

}  // namespace

tl::expected<SnapshotFolder, std::string> ReadSnapshotFolder(
    const std::string& folder) {
  const auto paths = SnapshotFiles(folder);
  if (!paths) {
    return tl::make_unexpected(paths.error());
  }
  SnapshotFolder contents;
  for (const fs::path& path : *paths) {
    auto snapshot = ReadSnapshot(ReadText(path));
    if (snapshot) {
      contents.snapshots.push_back(std::move(*snapshot));
    } else {
      contents.errors.push_back(path.string() + ": " + snapshot.error());
    }
  }
  return contents;
}

tl::expected<void, std::string> SaveSnapshot(const std::string& folder,
                                             const Snapshot& snapshot,
                                             const std::string& text) {
  std::error_code error;
  fs::create_directories(folder, error);
  const fs::path path =
      fs::path(folder) /
      (snapshot.vm + "-" + std::to_string(snapshot.wall_ms) + kSuffix);
  const fs::path unfinished = path.string() + kUnfinishedSuffix;
  std::ofstream file(unfinished);
  file << text;
  file.close();
  if (!file) {
    fs::remove(unfinished, error);
    return tl::make_unexpected("cannot write '" + path.string() + "'");
  }
  fs::rename(unfinished, path, error);
  if (error) {
    return tl::make_unexpected("cannot write '" + path.string() +
                               "': " + error.message());
  }
  return {};
}

int RemoveOldSnapshots(const std::string& folder, int64_t oldest_wall_ms) {
  int removed = 0;
  const auto paths = SnapshotFiles(folder);
  if (!paths) {
    return removed;
  }
  for (const fs::path& path : *paths) {
    const int64_t wall_ms = WallMsFromName(path);
    std::error_code error;
    if (wall_ms >= 0 && wall_ms < oldest_wall_ms && fs::remove(path, error)) {
      ++removed;
    }
  }
  return removed;
}

}  // namespace goldcrest
