// What the tests of simulated deployments count.

#include <algorithm>

#include "pool/testing/fake_pool.h"

namespace goldcrest {

int FakePool::CountRefusedAfterStart() const {
  std::set<std::string> ran;
  for (const auto& [task, record] : workers_.tasks) {
    ran.insert(task.job_id);
  }
  return static_cast<int>(
      std::count_if(answers_.begin(), answers_.end(), [&](const auto& entry) {
        return entry.second.fate == wire::JOB_REFUSED &&
               ran.contains("job" + std::to_string(entry.first));
      }));
}

uint64_t FakePool::CountEventMessages() const {
  uint64_t count = 0;
  for (const auto& [kind, messages] : messages_) {
    const bool periodic = kind == wire::PoolMessage::kPresence ||
                          kind == wire::PoolMessage::kAppend ||
                          kind == wire::PoolMessage::kAppendReply;
    count += periodic ? 0 : messages;
  }
  return count;
}

}  // namespace goldcrest
