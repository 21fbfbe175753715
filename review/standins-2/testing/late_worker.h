#ifndef REVIEW_STANDINS_2_TESTING_LATE_WORKER_H_
#define REVIEW_STANDINS_2_TESTING_LATE_WORKER_H_

// A worker that can leave one start order unanswered and carry it out late, and
// that can crash and start again under its id, as the protocol allows.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "edge/http_client.h"
#include "edge/http_server.h"
#include "edge/socket_loop.h"
#include "pool/testing/fake_worker.h"
#include "soak/soak_wire.h"

namespace goldcrest {

struct LateWorkerOptions {
  std::string id;
  std::string service;
  std::string domain;
  std::string address;
  std::vector<std::string> control_addresses;  // where it reports
};

// `loop` and `wire` must outlive it.
class LateWorker {
 public:
  LateWorker(SocketLoop& loop, const SoakWire& wire, LateWorkerOptions options);

  // Ends finished attempts, answers waiting orders and reports when due.
  void Advance(Micros now);

  // The next start order gets no answer and is carried out by CarryOutLate().
  void LeaveNextStartUnanswered() { leaves_next_start_ = true; }
  bool has_late_start() const { return late_start_.has_value(); }
  // Ends the process: nothing runs there, and its channels are closed.
  void Crash();
  // Starts it again under its id, with nothing known of before.
  void Restart();
  // Carries the late start out. Returns whether its task runs now.
  bool CarryOutLate();

  bool Runs(const std::string& job_id) const;

 private:
  struct WaitingOrder {
    RequestToken token = 0;
    WorkerOrder order;
    Micros answer_at = 0;
  };

  void OnRequest(RequestToken token, const HttpRequest& request);
  void AnswerWaitingOrders(Micros now);
  void Report();

  SocketLoop& loop_;
  const SoakWire& wire_;
  LateWorkerOptions options_;
  FakeWorkers model_;
  std::unique_ptr<HttpServer> server_;
  HttpClient client_;
  std::vector<WaitingOrder> waiting_orders_;
  std::optional<WorkerOrder> late_start_;
  bool leaves_next_start_ = false;
  bool report_in_flight_ = false;
  size_t next_control_ = 0;
};

}  // namespace goldcrest

#endif  // REVIEW_STANDINS_2_TESTING_LATE_WORKER_H_
