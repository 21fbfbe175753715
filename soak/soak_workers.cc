#include "soak/soak_workers.h"

#include <algorithm>
#include <utility>

#include <Poco/Net/SocketAddress.h>

namespace goldcrest {
namespace {

constexpr Micros kReportTimeout = kSecond;
constexpr Micros kReportRetryDelay = 200 * kMillisecond;
constexpr Micros kCloseStalePeriod = 100 * kMillisecond;
constexpr uint32_t kMemoryMb = 32'768;
// Difference between the clocks of two successive workers.
constexpr Micros kClockSpread = 700 * kMillisecond;

}  // namespace

SoakWorkers::SoakWorkers(SocketLoop& loop,
                         const SoakWire& wire,
                         SoakWorkersOptions options,
                         const std::vector<SoakWorkerPlace>& places,
                         AddressMap address_map)
    : loop_(loop),
      wire_(wire),
      options_(std::move(options)),
      address_map_(std::move(address_map)),
      client_(loop, HttpClientOptions()) {
  model_.all.resize(places.size());
  fronts_.resize(places.size());
  for (size_t i = 0; i < places.size(); ++i) {
    fronts_[i].place = places[i];
    fronts_[i].next_control = i;
    model_.all[i].clock_offset = static_cast<Micros>(i) * kClockSpread;
    Boot(i, MonotonicMicros());
  }
}

void SoakWorkers::Boot(size_t worker, Micros now) {
  Front& endpoint = fronts_[worker];
  ++endpoint.lives;
  endpoint.back_at = 0;
  const Micros clock_offset = model_.all[worker].clock_offset;
  FakeWorker new_worker;
  new_worker.clock_offset = clock_offset;
  new_worker.facts.set_id(endpoint.place.id + "-" +
                          std::to_string(endpoint.lives));
  new_worker.facts.set_address(endpoint.place.advertised);
  new_worker.facts.set_service(options_.service);
  new_worker.facts.set_failure_domain(endpoint.place.domain);
  new_worker.facts.set_cpu_millis(static_cast<uint32_t>(options_.cpu_millis));
  new_worker.facts.set_memory_mb(kMemoryMb);
  new_worker.facts.set_born_ms(ReadClock().wall_ms);
  new_worker.report_due = now;
  model_.all[worker] = std::move(new_worker);
  endpoint.server = std::make_unique<HttpServer>(
      loop_, Poco::Net::SocketAddress(endpoint.place.listen),
      HttpServerOptions(),
      [this, worker](RequestToken token, const HttpRequest& request) {
        OnRequest(worker, token, request);
      },
      [this, worker](RequestToken token) {
        std::erase_if(fronts_[worker].waiting, [&](const Waiting& order) {
          return order.token == token;
        });
      });
}

void SoakWorkers::Crash(size_t worker, Micros now) {
  Front& endpoint = fronts_[worker];
  if (endpoint.back_at != 0) {
    return;
  }
  endpoint.back_at = now + options_.crash_lasts;
  endpoint.waiting.clear();
  endpoint.server.reset();
  model_.all[worker].up = false;
  model_.all[worker].runs.clear();
}

void SoakWorkers::OnRequest(size_t worker,
                            RequestToken token,
                            const HttpRequest& request) {
  Front& endpoint = fronts_[worker];
  FakeWorker& model = model_.all[worker];
  const auto order = wire_.ReadOrder(request);
  if (!order) {
    HttpReply reply;
    reply.status = 400;
    endpoint.server->Respond(token, reply);
    return;
  }
  const Micros now = MonotonicMicros();
  WorkerAnswer answer;
  answer.order = *order;
  if (order->worker != model.facts.id()) {
    answer.outcome = OrderOutcome::kOtherIncarnation;
  } else {
    answer = Execute(model_, model, *order, now);
  }
  const bool must_wait =
      order->kind == OrderKind::kHold && order->wait_ms > 0 &&
      answer.outcome == OrderOutcome::kDone && answer.ended.empty();
  if (must_wait) {
    endpoint.waiting.push_back(
        {token, *order, now + order->wait_ms * kMillisecond});
    return;
  }
  endpoint.server->Respond(token, wire_.OrderReply(answer));
}

void SoakWorkers::AnswerWaiting(size_t worker, Micros now) {
  Front& endpoint = fronts_[worker];
  FakeWorker& model = model_.all[worker];
  std::erase_if(endpoint.waiting, [&](Waiting& waiting) {
    waiting.order.lease_until_ms = 0;  // the lease was renewed on arrival
    const WorkerAnswer answer = Execute(model_, model, waiting.order, now);
    const bool must_answer = now >= waiting.until || !answer.ended.empty() ||
                             answer.outcome != OrderOutcome::kDone;
    if (must_answer) {
      endpoint.server->Respond(waiting.token, wire_.OrderReply(answer));
    }
    return must_answer;
  });
}

void SoakWorkers::SendReport(size_t worker) {
  Front& endpoint = fronts_[worker];
  FakeWorker& model = model_.all[worker];
  model.facts.set_sequence(model.facts.sequence() + 1);
  HttpCall call = wire_.Report(model.facts);
  const auto& controls = options_.control_addresses;
  call.address = model.report_to.empty()
                     ? controls[endpoint.next_control % controls.size()]
                     : model.report_to;
  call.timeout = kReportTimeout;
  endpoint.reporting = true;
  const auto on_end = [this, worker, incarnation = endpoint.lives](
                          CallEnd end, const HttpResponse& response) {
    Front& current = fronts_[worker];
    current.reporting = false;
    FakeWorker& reporting_model = model_.all[worker];
    if (current.lives != incarnation) {
      return;
    }
    if (end == CallEnd::kResponse && response.status == 200) {
      const std::string address = wire_.ReportTo(response);
      reporting_model.report_to = address.empty() ? "" : address_map_(address);
      return;
    }
    reporting_model.report_to.clear();
    ++current.next_control;
    reporting_model.report_due = MonotonicMicros() + kReportRetryDelay;
  };
  client_.Call(call, on_end);
}

void SoakWorkers::Advance(Micros now) {
  for (size_t i = 0; i < fronts_.size(); ++i) {
    Front& endpoint = fronts_[i];
    if (endpoint.back_at != 0) {
      if (now >= endpoint.back_at) {
        Boot(i, now);
      }
      continue;
    }
    EndRuns(model_, model_.all[i], now);
    AnswerWaiting(i, now);
    if (now >= model_.all[i].report_due && !endpoint.reporting) {
      model_.all[i].report_due = now + options_.report_period;
      SendReport(i);
    }
  }
  if (now >= close_due_) {
    close_due_ = now + kCloseStalePeriod;
    client_.CloseStale(now);
  }
}

}  // namespace goldcrest
