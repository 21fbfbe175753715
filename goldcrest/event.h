#ifndef GOLDCREST_EVENT_H_
#define GOLDCREST_EVENT_H_

// Events: the inputs of a step. Each event is one occurrence outside of the
// decision code: a request, an answer, a message from a peer, a synced journal
// record, or the passing of time.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "goldcrest/action.h"
#include "goldcrest/outcome.h"
#include "proto/goldcrest.pb.h"

namespace goldcrest {

// Value of SubmitRequest::wait_ms: the caller waits until the job has ended.
inline constexpr int64_t kWaitForAnswer = -1;

// A caller's POST /v1/jobs.
struct SubmitRequest {
  ReplyToken token = kNoToken;
  wire::Submission submission;
  // How long the caller waits for the answer before it receives "pending", in
  // milliseconds, or kWaitForAnswer.
  int64_t wait_ms = kWaitForAnswer;
};

// A caller's GET /v1/jobs/ID.
struct LookupRequest {
  ReplyToken token = kNoToken;
  std::string submission_id;
};

// A caller's DELETE /v1/jobs/ID (one id, `single` is set) or POST
// /v1/jobs:cancel (many ids).
struct CancelRequest {
  ReplyToken token = kNoToken;
  std::vector<std::string> submission_ids;
  bool single = false;
};

// The connection of a waiting request was closed, so its reply can't be
// delivered.
struct RequestConnectionClosed {
  ReplyToken token = kNoToken;
};

// The body of POST /v1/backend_servers, by which a worker announces itself.
struct WorkerAnnouncement {
  std::string name;
  std::string address;
  std::string failure_domain;
  std::string rack;
  int64_t slots = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  uint64_t incarnation = 0;
  bool leaving = false;
  uint64_t lease_epoch = 0;  // 0 when the worker does not report it
  std::vector<std::string> running;
};

// A POST /v1/backend_servers.
struct AnnounceRequest {
  ReplyToken token = kNoToken;
  WorkerAnnouncement announcement;
  std::string json;  // the body as received, forwarded to the lease holder
};

// The outcome of an attempt or of a lookup of a task at its worker.
struct TaskAnswer {
  std::string worker;
  std::string submission_id;
  uint32_t index = 0;
  uint32_t attempt = 0;
  bool is_lookup = false;
  TaskOutcome outcome = TaskOutcome::kUnanswered;
  std::string output;
  // The lease epoch and incarnation that the worker reported, 0 if it reported
  // none.
  uint64_t lease_epoch = 0;
  uint64_t worker_incarnation = 0;
};

// A message from another entry VM.
struct PeerReceived {
  wire::PeerMessage message;
};

// A record appended to the journal is durable (`ok`), or writing it failed.
struct JournalSynced {
  uint64_t token = 0;
  bool ok = false;
};

// An operator's PUT /v1/configuration. The document is canonical JSON.
struct ConfigurationPut {
  ReplyToken token = kNoToken;
  uint64_t if_version = 0;
  std::string document;
  std::string digest;
};

// An operator's POST /v1/drain, or SIGTERM.
struct DrainRequest {
  ReplyToken token = kNoToken;
};

// Time has passed; only timers that are due run.
struct TimeAdvanced {};

using Event = std::variant<SubmitRequest,
                           LookupRequest,
                           CancelRequest,
                           RequestConnectionClosed,
                           AnnounceRequest,
                           TaskAnswer,
                           PeerReceived,
                           JournalSynced,
                           ConfigurationPut,
                           DrainRequest,
                           TimeAdvanced>;

}  // namespace goldcrest

#endif  // GOLDCREST_EVENT_H_
