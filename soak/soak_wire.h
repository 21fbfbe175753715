#ifndef SOAK_SOAK_WIRE_H_
#define SOAK_SOAK_WIRE_H_

// The soak's interface to the wire format: the client and worker side of the
// protocols that the daemons implement.
//
// The soak simulates callers, workers and the operator with the product's
// types; an implementation only encodes and decodes messages. It leaves the
// addresses of calls empty; the soak sets them.

#include <cstdint>
#include <optional>
#include <string>

#include "edge/http_client.h"
#include "edge/http_message.h"
#include "pool/worker_order.h"
#include "proto/pool.pb.h"

namespace goldcrest {

// A job as a caller sends it: one step of identical tasks.
struct SoakJob {
  std::string id;
  std::string host;
  std::string path_prefix;
  int tasks = 1;
  int64_t run_ms = 0;      // run time of each task
  int64_t timeout_ms = 0;  // the caller's timeout
  int64_t cpu_millis = 0;  // CPU of each task, in thousandths of a core
  // Whether its first task crashes the workers that start it.
  bool crashes_workers = false;
};

// The outcome of a job that its caller learns from the answer.
enum class SoakOutcome : uint8_t {
  kNone,       // no answer: the connection failed, or the caller timed out
  kCompleted,  // all tasks are done
  kFailed,     // a task failed and is not attempted again
  kRefused,    // no task has started or will start
  kCancelled,  // ended early; no further task starts
  kUnknown,    // tasks may have run or may still run
};

// Names of the outcomes in printed results, indexed by SoakOutcome.
inline constexpr std::string_view kSoakOutcomeNames[] = {
    "none", "completed", "failed", "refused", "cancelled", "unknown"};

// Encodes and decodes the messages of workers, callers and the operator.
class SoakWire {
 public:
  virtual ~SoakWire() = default;

  // Workers.

  // Returns nothing if the request is not a valid order.
  virtual std::optional<WorkerOrder> DecodeOrder(
      const HttpRequest& request) const = 0;
  virtual HttpReply EncodeOrderReply(const WorkerAnswer& answer) const = 0;
  virtual HttpCall EncodeReportCall(const wire::WorkerNews& status) const = 0;
  // Returns the control daemon's address to which the worker must send its next
  // reports; empty if the response names none.
  virtual std::string DecodeReportAddress(
      const HttpResponse& response) const = 0;

  // Callers.

  virtual HttpCall EncodeSubmitCall(const SoakJob& job) const = 0;
  virtual SoakOutcome DecodeOutcome(const HttpResponse& response) const = 0;
  virtual HttpCall EncodeCancelCall(const SoakJob& job) const = 0;

  // The operator.

  virtual HttpCall EncodeChangeCall(const wire::Routing& routing) const = 0;
  virtual HttpCall EncodeReadConfigurationCall() const = 0;
  // Returns the configuration version in a response; 0 if there is none.
  virtual uint64_t DecodeVersion(const HttpResponse& response) const = 0;
};

}  // namespace goldcrest

#endif  // SOAK_SOAK_WIRE_H_
