#ifndef EDGE_BUFFER_BUDGET_H_
#define EDGE_BUFFER_BUDGET_H_

// The memory that the HTTP connections of one process may hold together.
//
// A limit for each connection bounds nothing once connections are many, so all
// servers of a process draw on one budget: for requests that are being read or
// wait, and for replies that clients have not read. When a reservation does not
// fit, the holder of the heaviest request or reply gives it up (Holder), again
// and again until it fits. A connection that needs little is thus served beside
// any number of others that hold much.
//
// What a connection may hold without asking (kFreeBytesPerConnection) and the
// kernel's buffers are bounded by the number of connections instead
// (machine_limits.h). Everything belongs to the loop's thread.

#include <cstddef>
#include <cstdint>
#include <vector>

namespace goldcrest {

// Bytes that each connection may hold outside the budget: an ordinary request.
inline constexpr size_t kFreeBytesPerConnection = 4 * 1024;

class BufferBudget {
 public:
  // An owner of buffers, such as a server.
  class Holder {
   public:
    virtual ~Holder() = default;
    // Returns the weight of its heaviest buffer that may be given up, in bytes
    // times microseconds since the buffer's request or reply began; 0 if it has
    // none.
    virtual uint64_t HeaviestBuffer() const = 0;
    // Gives that buffer up, with its connection.
    virtual void DropHeaviestBuffer() = 0;
  };

  explicit BufferBudget(size_t limit_bytes) : limit_(limit_bytes) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  // Registers and removes a holder, which must be registered while it reserves.
  void Add(Holder* holder);
  void Remove(Holder* holder);

  // Reserves bytes, making room if need be. Returns false, and reserves
  // nothing, if that is not possible.
  bool Reserve(size_t bytes);

  // Gives back bytes that were reserved.
  void Release(size_t bytes);

  size_t used() const { return used_; }
  size_t peak() const { return peak_; }
  size_t limit() const { return limit_; }

 private:
  // Returns false if no holder has a buffer to give up.
  bool MakeRoom();

  size_t limit_;
  size_t used_ = 0;
  size_t peak_ = 0;
  std::vector<Holder*> holders_;
};

}  // namespace goldcrest

#endif  // EDGE_BUFFER_BUDGET_H_
