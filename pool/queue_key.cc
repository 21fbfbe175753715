#include "pool/queue_key.h"

#include <algorithm>

#include <Poco/String.h>

namespace goldcrest {
namespace {

constexpr char kSeparator = ':';

// Returns whether QueueKey(queue) equals `key`, without building it.
bool HasKey(const wire::Queue& queue, const std::string& key) {
  const std::string& host = queue.host();
  return key.size() == host.size() + 1 + queue.path_prefix().size() &&
         key[host.size()] == kSeparator && key.ends_with(queue.path_prefix()) &&
         Poco::icompare(key, host.size(), host) == 0;
}

}  // namespace

std::string QueueKey(const wire::Queue& queue) {
  return Poco::toLower(queue.host()) + kSeparator + queue.path_prefix();
}

std::string JobKeyInQueue(const std::string& queue_key,
                          const std::string& job_id) {
  return job_id + '@' + queue_key;
}

const wire::Queue* FindQueueByKey(const wire::Routing& routing,
                                  const std::string& key) {
  const auto found = std::find_if(
      routing.queues().begin(), routing.queues().end(),
      [&](const wire::Queue& queue) { return HasKey(queue, key); });
  return found == routing.queues().end() ? nullptr : &*found;
}

}  // namespace goldcrest
