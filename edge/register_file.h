#ifndef EDGE_REGISTER_FILE_H_
#define EDGE_REGISTER_FILE_H_

// Durable storage for the state of a control daemon, the replicated register
// (its vote, term and the configuration).
//
// Writes alternate between two files: each write goes to the file that does not
// hold the newest state, and is durable once it is synced. A write that is
// torn, or that fails because the disk is full, therefore never damages a state
// that was acknowledged. A background thread waits for the disk; of several
// queued states only the newest is written, and none once the process ends.

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include <tl/expected.hpp>

#include "edge/write_metrics.h"
#include "proto/pool.pb.h"

namespace goldcrest {

// The newest valid state in a data folder, or a default state (store_id 0) if
// no file is valid.
struct RegisterFileContents {
  wire::StoredRegister stored;
  uint64_t generation = 0;
  int newest_file = 1;  // 0 or 1
};

class RegisterFile {
 public:
  // Reports that the state with this sequence number is durable, and with it
  // all earlier ones, or that writing it failed. Called from the background
  // thread.
  using StoredHandler = std::function<void(uint64_t sequence, bool ok)>;

  // `metrics` outlives this.
  RegisterFile(std::string folder,
               const RegisterFileContents& contents,
               WriteMetrics& metrics,
               StoredHandler on_stored);
  ~RegisterFile();
  RegisterFile(const RegisterFile&) = delete;
  RegisterFile& operator=(const RegisterFile&) = delete;

  // Queues a state to be written in the background. Replaces a queued state
  // that is not yet being written.
  void Write(const wire::StoredRegister& stored, uint64_t sequence);

 private:
  struct Pending {
    wire::StoredRegister stored;
    uint64_t sequence = 0;
  };

  void Run();
  bool WriteOne(const wire::StoredRegister& stored);

  std::string folder_;
  uint64_t generation_;
  int newest_file_;
  WriteMetrics& metrics_;
  StoredHandler on_stored_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<Pending> pending_;
  bool stopping_ = false;
  std::thread thread_;
};

// Reads the newest valid state in `folder`. Returns an error if the folder does
// not exist.
tl::expected<RegisterFileContents, std::string> ReadRegisterFiles(
    const std::string& folder);

}  // namespace goldcrest

#endif  // EDGE_REGISTER_FILE_H_
