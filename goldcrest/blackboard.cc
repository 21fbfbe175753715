#include "goldcrest/blackboard.h"

#include <charconv>
#include <utility>

namespace goldcrest {

std::string TaskKey(const std::string& submission_id, uint32_t index) {
  return submission_id + "/" + std::to_string(index);
}

std::string AttemptKey(const std::string& submission_id,
                       uint32_t index,
                       uint32_t attempt) {
  return TaskKey(submission_id, index) + "#" + std::to_string(attempt);
}

bool ParseTaskKey(const std::string& key,
                  std::string& submission_id,
                  uint32_t& index) {
  const size_t slash = key.rfind('/');
  if (slash == std::string::npos || slash + 1 == key.size()) {
    return false;
  }
  const char* begin = key.data() + slash + 1;
  const char* end = key.data() + key.size();
  const auto [stop, error] = std::from_chars(begin, end, index);
  if (error != std::errc() || stop != end) {
    return false;
  }
  submission_id = key.substr(0, slash);
  return true;
}

Job* FindJob(Blackboard& bb, const std::string& submission_id) {
  const auto found = bb.jobs.find(submission_id);
  return found == bb.jobs.end() ? nullptr : found->second.get();
}

void SendToPeer(Blackboard& bb,
                const std::string& vm,
                wire::PeerMessage message,
                Actions& actions) {
  message.set_from(bb.deployment.self);
  message.set_incarnation(bb.deployment.incarnation);
  const uint64_t bytes = message.ByteSizeLong();
  ++bb.counters.peer_messages;
  bb.counters.peer_bytes += bytes;
  if (message.has_heartbeat()) {
    ++bb.counters.control_messages;
    bb.counters.control_bytes += bytes;
  }
  actions.emplace_back(SendPeer{vm, std::move(message)});
}

bool CheckInvariant(Blackboard& bb,
                    bool condition,
                    std::string_view invariant,
                    Actions& actions) {
  if (condition) {
    return true;
  }
  ++bb.counters.invariant_failures;
  Log(actions, LogLevel::kError, "invariant_failed",
      {{"invariant", std::string(invariant)}});
  return false;
}

}  // namespace goldcrest
