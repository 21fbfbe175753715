#ifndef POOL_POOL_ACTION_H_
#define POOL_POOL_ACTION_H_

// The actions that the decision code of entry and control daemons returns to
// the I/O layer (edge) for execution.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "goldcrest/action.h"
#include "pool/worker_order.h"
#include "proto/pool.pb.h"

namespace goldcrest {

// Returns the name of a job's outcome in logs and counters. An outcome that is
// not set, or that this version does not know, is "unknown" too.
inline std::string_view ToString(wire::JobFate fate) {
  constexpr std::array<std::string_view, 7> kNames = {
      "unknown", "completed", "failed",   "refused",
      "unknown", "cancelled", "timed_out"};
  const auto index = static_cast<size_t>(fate);
  return index < kNames.size() ? kNames[index] : "unknown";
}

// Sends a message to the daemon at a mesh address. Delivery is not guaranteed.
struct SendMessage {
  std::string to;
  wire::PoolMessage message;
};

// Sends an order to a worker. Exactly one WorkerAnswer event follows.
struct SendOrder {
  WorkerOrder order;
};

// Answers one request of a caller that concerns a job.
struct ReplyJob {
  ReplyToken token = kNoToken;
  wire::JobFate fate = wire::JOB_FATE_UNSPECIFIED;
  int64_t retry_after_ms = 0;  // of a refused job; 0: it may return at once
  // Whether this answers a request to cancel the job, not its submission.
  bool answers_cancel_request = false;
};

// Outcome of an operator's change of the configuration.
enum class ChangeResult : uint8_t {
  kDurable,    // this or a newer version is committed
  kNotLeader,  // this daemon is not the leader and knows none
  kUnknown,    // may or may not take effect; the operator should retry
};

// Answers an operator's change of the configuration.
struct ReplyChange {
  ReplyToken token = kNoToken;
  ChangeResult result = ChangeResult::kUnknown;
};

// Answers an operator's request for the configuration.
struct ReplyRead {
  ReplyToken token = kNoToken;
  // Whether the committed configuration is known to be the newest. Only then is
  // it returned.
  bool newest = false;
};

// Writes the state that must survive a restart. A RegisterStored event with the
// same `sequence` follows.
struct PersistRegister {
  wire::StoredRegister stored;
  uint64_t sequence = 0;
};

using PoolAction = std::variant<SendMessage,
                                SendOrder,
                                ReplyJob,
                                ReplyChange,
                                ReplyRead,
                                PersistRegister,
                                LogEvent>;

using PoolActions = std::vector<PoolAction>;

// Appends an action that writes a log line.
inline void LogPoolEvent(PoolActions& actions,
                         LogLevel level,
                         std::string_view event,
                         std::vector<LogField> fields) {
  actions.emplace_back(LogEvent{level, event, std::move(fields)});
}

// Appends an action that sends `message` to the daemon at `to`.
inline void SendTo(PoolActions& actions,
                   const std::string& to,
                   wire::PoolMessage message) {
  actions.emplace_back(SendMessage{to, std::move(message)});
}

}  // namespace goldcrest

#endif  // POOL_POOL_ACTION_H_
