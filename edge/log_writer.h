#ifndef EDGE_LOG_WRITER_H_
#define EDGE_LOG_WRITER_H_

// Writes log lines to a descriptor without ever waiting for its reader.
//
// Lines go into a bounded buffer and from there to the descriptor while that
// takes them; a line that finds the buffer full is dropped and counted. A pipe
// that is ready takes PIPE_BUF bytes without blocking, so writes are no longer
// than that and the descriptor's mode, which others may share, is left alone.

#include <cstdint>
#include <mutex>
#include <string>

namespace goldcrest {

class LogWriter {
 public:
  explicit LogWriter(int descriptor, size_t max_buffered_bytes = 256 * 1024);

  // Takes a line without its newline. Callable from any thread.
  void Write(const std::string& line);

  // Writes what the descriptor takes now.
  void Flush();

  uint64_t dropped() const;

 private:
  void FlushLocked();

  const int descriptor_;
  const size_t max_buffered_bytes_;
  mutable std::mutex mutex_;
  std::string buffer_;
  uint64_t dropped_ = 0;
  uint64_t dropped_untold_ = 0;
};

}  // namespace goldcrest

#endif  // EDGE_LOG_WRITER_H_
