#ifndef EDGE_REGISTER_FILE_H_
#define EDGE_REGISTER_FILE_H_

// The state of a control daemon on disk.
//
// Two files take turns: a write goes to the one that does not hold the newest
// state, and counts when it is synced. A write that is torn, or refused by a
// full disk, thus never harms what was acknowledged. A thread of its own waits
// for the disk; of several states that wait, only the newest is written.

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include <tl/expected.hpp>

#include "proto/pool.pb.h"

namespace goldcrest {

// What the files of a data folder hold. A default state (store_id 0) when
// there are none that are whole.
struct RegisterFileContents {
  wire::StoredRegister stored;
  uint64_t generation = 0;
  int newest_file = 1;  // 0 or 1
};

class RegisterFile {
 public:
  // Reports that the state with this sequence number, and so all earlier ones,
  // is durable, or that writing it failed. Called from the file's thread.
  using StoredHandler = std::function<void(uint64_t sequence, bool ok)>;

  RegisterFile(std::string folder,
               const RegisterFileContents& contents,
               StoredHandler on_stored);
  ~RegisterFile();
  RegisterFile(const RegisterFile&) = delete;
  RegisterFile& operator=(const RegisterFile&) = delete;

  // Writes a state in the background.
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
  StoredHandler on_stored_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<Pending> pending_;
  bool stopping_ = false;
  std::thread thread_;
};

// Reads the files of `folder`, which must exist.
tl::expected<RegisterFileContents, std::string> ReadRegisterFiles(
    const std::string& folder);

}  // namespace goldcrest

#endif  // EDGE_REGISTER_FILE_H_
