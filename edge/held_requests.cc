#include "edge/held_requests.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace goldcrest {
namespace {

// Bounds the memory for held requests, on VMs of 120 MB.
constexpr size_t kMaxHeldRequests = 512;
constexpr size_t kMaxHeldBytes = 4 * 1024 * 1024;

// Returns the size of a request with its headers, in bytes.
size_t SizeOf(const HeldRequest& held) {
  const HttpRequest& request = held.request;
  size_t bytes =
      request.path.size() + request.query.size() + request.body.size();
  for (const HttpHeader& header : request.headers) {
    bytes += sizeof header + header.name.size() + header.value.size();
  }
  return bytes;
}

}  // namespace

bool HeldRequests::Add(HeldRequest held) {
  const size_t size = SizeOf(held);
  if (held_.size() >= kMaxHeldRequests || bytes_ + size > kMaxHeldBytes) {
    return false;
  }
  bytes_ += size;
  held_.push_back(std::move(held));
  return true;
}

bool HeldRequests::Remove(RequestToken token) {
  const auto found = std::find_if(
      held_.begin(), held_.end(),
      [&](const HeldRequest& held) { return held.token == token; });
  if (found == held_.end()) {
    return false;
  }
  bytes_ -= SizeOf(*found);
  held_.erase(found);
  return true;
}

void HeldRequests::Release(
    const std::function<bool(const HeldRequest&)>& keep,
    const std::function<void(const HeldRequest&)>& release) {
  std::vector<HeldRequest> released;
  std::deque<HeldRequest> kept;
  for (HeldRequest& held : held_) {
    if (keep(held)) {
      kept.push_back(std::move(held));
    } else {
      bytes_ -= SizeOf(held);
      released.push_back(std::move(held));
    }
  }
  held_ = std::move(kept);
  for (const HeldRequest& held : released) {
    release(held);
  }
}

}  // namespace goldcrest
