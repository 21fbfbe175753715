// A stand-in for a slow disk: each sync of a file takes longer. Linked into
// variants of the daemons for tests, in place of the C library's functions.
//
// The delay in milliseconds is read at each sync from the file FOLDER-delay,
// where FOLDER is the folder of the synced file, so that it can be changed
// while the daemon runs. Without that file it is the environment variable
// SLOW_DISK_SYNC_MS, or none.

#include <sys/syscall.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>
#include <thread>

namespace {

std::chrono::milliseconds DelayOf(int file) {
  std::error_code error;
  const std::filesystem::path path = std::filesystem::read_symlink(
      "/proc/self/fd/" + std::to_string(file), error);
  std::ifstream delay_file(path.parent_path().string() + "-delay");
  int64_t delay_ms = 0;
  if (delay_file >> delay_ms) {
    return std::chrono::milliseconds(delay_ms);
  }
  const char* text = std::getenv("SLOW_DISK_SYNC_MS");
  return std::chrono::milliseconds(text == nullptr ? 0 : std::atoll(text));
}

int SyncSlowly(int file, int64_t system_call) {
  std::this_thread::sleep_for(DelayOf(file));
  return static_cast<int>(syscall(system_call, file));
}

}  // namespace

extern "C" int fsync(int file) {
  return SyncSlowly(file, SYS_fsync);
}

extern "C" int fdatasync(int file) {
  return SyncSlowly(file, SYS_fdatasync);
}
