#include "edge/log_writer.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace goldcrest {

LogWriter::LogWriter(int descriptor, size_t max_buffered_bytes)
    : descriptor_(descriptor), max_buffered_bytes_(max_buffered_bytes) {}

void LogWriter::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (buffer_.size() + line.size() + 1 > max_buffered_bytes_) {
    FlushLocked();
  }
  if (buffer_.size() + line.size() + 1 > max_buffered_bytes_) {
    ++dropped_;
    ++unreported_drops_;
    return;
  }
  buffer_ += line;
  if (unreported_drops_ > 0) {
    buffer_ += " dropped_before=";
    buffer_ += std::to_string(std::exchange(unreported_drops_, 0));
  }
  buffer_ += '\n';
  FlushLocked();
}

void LogWriter::Flush() {
  const std::lock_guard<std::mutex> lock(mutex_);
  FlushLocked();
}

uint64_t LogWriter::dropped() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

void LogWriter::FlushLocked() {
  size_t written = 0;
  while (written < buffer_.size()) {
    pollfd ready = {descriptor_, POLLOUT, 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    const size_t count = std::min<size_t>(buffer_.size() - written, PIPE_BUF);
    const ssize_t result = write(descriptor_, buffer_.data() + written, count);
    if (result <= 0) {
      break;
    }
    written += static_cast<size_t>(result);
  }
  buffer_.erase(0, written);
}

}  // namespace goldcrest
