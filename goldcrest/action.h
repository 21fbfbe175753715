#ifndef GOLDCREST_ACTION_H_
#define GOLDCREST_ACTION_H_

// Actions: the outputs of a step, performed by the edges. They are plain data
// without references into the blackboard, so that a test can inspect them.

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "goldcrest/outcome.h"
#include "proto/goldcrest.pb.h"

namespace goldcrest {

// Identifies one request that waits at the edge for its reply.
using ReplyToken = uint64_t;

inline constexpr ReplyToken kNoToken = 0;

// Replies to a caller's request with the state of a submission.
struct ReplyResult {
  ReplyToken token = kNoToken;
  std::string submission_id;
  wire::JobResult result;
  // Whether the request was a cancellation, for which "cancelled" is a success.
  bool cancelling = false;
};

// Replies to any other request with an HTTP status and a JSON body.
struct ReplyJson {
  ReplyToken token = kNoToken;
  int status = 200;
  std::string body;
};

// Starts one task on a worker.
struct StartTask {
  std::string worker;
  std::string address;  // "ip:port"
  std::string submission_id;
  uint32_t index = 0;
  uint32_t attempt = 0;
  uint64_t lease_epoch = 0;
  uint64_t run_ms = 0;
  int64_t deadline_ms = 0;  // time left until the deadline
  std::string payload;
  bool idempotent = false;
};

// Stops one task on a worker.
struct StopTask {
  std::string address;
  std::string submission_id;
  uint32_t index = 0;
};

// Queries a worker for the outcome of one attempt of a task.
struct LookupTask {
  std::string worker;
  std::string address;
  std::string submission_id;
  uint32_t index = 0;
  uint32_t attempt = 0;
};

// Sends a message to another entry VM. Delivery is not guaranteed.
struct SendPeer {
  std::string vm;
  wire::PeerMessage message;
};

// Appends a record to the journal. If `token` is not 0, the edge reports a
// JournalSynced event with that token when the record is durable or writing it
// has failed.
struct AppendJournal {
  wire::JournalRecord record;
  uint64_t token = 0;
};

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One key=value pair of a log line.
struct LogField {
  std::string_view key;
  std::string value;
};

// One structured log line: an event name and its key=value pairs.
struct LogEvent {
  LogLevel level = LogLevel::kInfo;
  std::string_view event;
  std::vector<LogField> fields;
};

using Action = std::variant<ReplyResult,
                            ReplyJson,
                            StartTask,
                            StopTask,
                            LookupTask,
                            SendPeer,
                            AppendJournal,
                            LogEvent>;

using Actions = std::vector<Action>;

// Appends a log line to `actions`.
inline void Log(Actions& actions,
                LogLevel level,
                std::string_view event,
                std::vector<LogField> fields) {
  actions.emplace_back(LogEvent{level, event, std::move(fields)});
}

}  // namespace goldcrest

#endif  // GOLDCREST_ACTION_H_
