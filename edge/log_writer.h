#ifndef EDGE_LOG_WRITER_H_
#define EDGE_LOG_WRITER_H_

// Writes log lines to a file descriptor without ever blocking on its reader.
//
// Lines are buffered up to a bound and written while the descriptor is ready; a
// line that does not fit into the buffer is dropped and counted. A pipe that is
// ready accepts PIPE_BUF bytes without blocking, so no write is longer than
// that. The descriptor is not set to non-blocking mode, since other processes
// may share its mode.

#include <cstdint>
#include <mutex>
#include <string>

namespace goldcrest {

// Thread-safe.
class LogWriter {
 public:
  explicit LogWriter(int descriptor, size_t max_buffered_bytes = 256 * 1024);

  // Adds a line, given without its newline, and writes as much of the buffer as
  // the descriptor accepts.
  void Write(const std::string& line);

  // Writes as much of the buffer as the descriptor accepts.
  void Flush();

  // Returns the number of lines dropped so far.
  uint64_t dropped() const;

 private:
  void FlushLocked();

  const int descriptor_;
  const size_t max_buffered_bytes_;
  mutable std::mutex mutex_;
  std::string buffer_;
  uint64_t dropped_ = 0;
  uint64_t unreported_drops_ = 0;  // since the last line that was written
};

}  // namespace goldcrest

#endif  // EDGE_LOG_WRITER_H_
