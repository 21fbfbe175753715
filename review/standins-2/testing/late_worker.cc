#include "review/standins-2/testing/late_worker.h"

#include <utility>

#include <Poco/Net/SocketAddress.h>

namespace goldcrest {
namespace {

constexpr Micros kReportPeriod = 1500 * kMillisecond;
constexpr Micros kReportTimeout = kSecond;
constexpr Micros kReportRetryDelay = 200 * kMillisecond;
constexpr uint32_t kCpuMillis = 16'000;
constexpr uint32_t kMemoryMb = 32'768;

}  // namespace

LateWorker::LateWorker(SocketLoop& loop,
                       const SoakWire& wire,
                       LateWorkerOptions options)
    : loop_(loop),
      wire_(wire),
      options_(std::move(options)),
      client_(loop, HttpClientOptions()) {
  Restart();
}

void LateWorker::Restart() {
  const Micros now = MonotonicMicros();
  FakeWorker worker;
  worker.status.set_id(options_.id);
  worker.status.set_address(options_.address);
  worker.status.set_service(options_.service);
  worker.status.set_failure_domain(options_.domain);
  worker.status.set_cpu_millis(kCpuMillis);
  worker.status.set_memory_mb(kMemoryMb);
  worker.status.set_born_ms(ReadClock().wall_ms);
  worker.born_at = now;
  worker.report_due = now;
  model_.all = {std::move(worker)};
  server_ = std::make_unique<HttpServer>(
      loop_, Poco::Net::SocketAddress(options_.address), HttpServerOptions(),
      [this](RequestToken token, const HttpRequest& request) {
        OnRequest(token, request);
      },
      [this](RequestToken token) {
        std::erase_if(waiting_orders_, [&](const WaitingOrder& order) {
          return order.token == token;
        });
      });
}

void LateWorker::Crash() {
  server_.reset();
  waiting_orders_.clear();
  model_.all.front().up = false;
  model_.all.front().attempts.clear();
}

void LateWorker::OnRequest(RequestToken token, const HttpRequest& request) {
  const auto order = wire_.DecodeOrder(request);
  if (!order) {
    HttpReply reply;
    reply.status = 400;
    server_->Respond(token, reply);
    return;
  }
  if (order->kind == OrderKind::kStart && leaves_next_start_) {
    leaves_next_start_ = false;
    late_start_ = order;
    return;
  }
  const Micros now = MonotonicMicros();
  FakeWorker& worker = model_.all.front();
  WorkerAnswer answer;
  answer.order = *order;
  if (order->worker != options_.id) {
    answer.outcome = OrderOutcome::kOtherIncarnation;
  } else {
    EndFinishedAttempts(model_, worker, now);
    answer = ExecuteOrder(model_, worker, *order, now);
  }
  const bool must_wait =
      order->kind == OrderKind::kRenew && order->wait_ms > 0 &&
      answer.outcome == OrderOutcome::kDone && answer.ended.empty();
  if (must_wait) {
    waiting_orders_.push_back(
        {token, *order, now + order->wait_ms * kMillisecond});
    return;
  }
  server_->Respond(token, wire_.EncodeOrderReply(answer));
}

void LateWorker::AnswerWaitingOrders(Micros now) {
  std::erase_if(waiting_orders_, [&](WaitingOrder& waiting) {
    waiting.order.lease_until_ms = 0;  // the lease was renewed on arrival
    const WorkerAnswer answer =
        ExecuteOrder(model_, model_.all.front(), waiting.order, now);
    const bool must_answer = now >= waiting.answer_at ||
                             !answer.ended.empty() ||
                             answer.outcome != OrderOutcome::kDone;
    if (must_answer) {
      server_->Respond(waiting.token, wire_.EncodeOrderReply(answer));
    }
    return must_answer;
  });
}

void LateWorker::Report() {
  FakeWorker& worker = model_.all.front();
  worker.status.set_sequence(worker.status.sequence() + 1);
  HttpCall call = wire_.EncodeReportCall(worker.status);
  const auto& controls = options_.control_addresses;
  call.address = worker.report_to.empty()
                     ? controls[next_control_ % controls.size()]
                     : worker.report_to;
  call.timeout = kReportTimeout;
  report_in_flight_ = true;
  client_.Call(call, [this](CallEnd end, const HttpResponse& response) {
    report_in_flight_ = false;
    FakeWorker& reporting = model_.all.front();
    if (end == CallEnd::kResponse && response.status == 200) {
      reporting.report_to = wire_.DecodeReportAddress(response);
      return;
    }
    reporting.report_to.clear();
    ++next_control_;
    reporting.report_due = MonotonicMicros() + kReportRetryDelay;
  });
}

void LateWorker::Advance(Micros now) {
  client_.CloseStale(loop_.polled_at());
  if (!server_) {
    return;
  }
  FakeWorker& worker = model_.all.front();
  EndFinishedAttempts(model_, worker, now);
  AnswerWaitingOrders(now);
  if (now >= worker.report_due && !report_in_flight_) {
    worker.report_due = now + kReportPeriod;
    Report();
  }
}

bool LateWorker::CarryOutLate() {
  if (!late_start_ || !server_) {
    return false;
  }
  const WorkerAnswer answer =
      ExecuteOrder(model_, model_.all.front(), *late_start_, MonotonicMicros());
  return answer.outcome == OrderOutcome::kDone;
}

bool LateWorker::Runs(const std::string& job_id) const {
  for (const auto& [task, run] : model_.all.front().attempts) {
    if (task.job_id == job_id) {
      return true;
    }
  }
  return false;
}

}  // namespace goldcrest
