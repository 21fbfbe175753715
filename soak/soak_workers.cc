#include "soak/soak_workers.h"

#include <algorithm>
#include <utility>

#include <Poco/Net/SocketAddress.h>

namespace goldcrest {
namespace {

constexpr Micros kReportTimeout = kSecond;
constexpr Micros kReportRetryDelay = 200 * kMillisecond;
constexpr Micros kCloseStalePeriod = 100 * kMillisecond;
constexpr Micros kCapacityChangePeriod = 700 * kMillisecond;
constexpr uint32_t kMemoryMb = 32'768;
// Difference between the clocks of two successive workers.
constexpr Micros kClockSpread = 700 * kMillisecond;

}  // namespace

WorkerAnswer ExecuteOrderAt(FakeWorkers& workers,
                            FakeWorker& worker,
                            const WorkerOrder& order,
                            Micros now) {
  for (FakeWorker& each : workers.all) {
    EndFinishedAttempts(workers, each, now);
  }
  return ExecuteOrder(workers, worker, order, now);
}

SoakWorkers::SoakWorkers(SocketLoop& loop,
                         const SoakWire& wire,
                         SoakWorkersOptions options,
                         const std::vector<SoakWorkerConfig>& places,
                         AddressMap address_map)
    : loop_(loop),
      wire_(wire),
      options_(std::move(options)),
      address_map_(std::move(address_map)),
      client_(loop, HttpClientOptions()),
      random_(options_.seed) {
  model_.all.resize(places.size());
  endpoints_.resize(places.size());
  for (size_t i = 0; i < places.size(); ++i) {
    endpoints_[i].config = places[i];
    endpoints_[i].control_index = i;
    model_.all[i].clock_offset = static_cast<Micros>(i) * kClockSpread;
    StartWorker(i, MonotonicMicros());
  }
}

void SoakWorkers::StartWorker(size_t worker, Micros now) {
  WorkerEndpoint& endpoint = endpoints_[worker];
  ++endpoint.incarnation_count;
  endpoint.restart_at = 0;
  const Micros clock_offset = model_.all[worker].clock_offset;
  FakeWorker new_worker;
  new_worker.clock_offset = clock_offset;
  new_worker.status.set_id(endpoint.config.id + "-" +
                           std::to_string(endpoint.incarnation_count));
  new_worker.status.set_address(endpoint.config.advertised_address);
  new_worker.status.set_service(options_.service);
  new_worker.status.set_failure_domain(endpoint.config.domain);
  new_worker.status.set_cpu_millis(static_cast<uint32_t>(options_.cpu_millis));
  new_worker.status.set_memory_mb(kMemoryMb);
  new_worker.status.set_born_ms(ReadClock().wall_ms);
  new_worker.report_due = now;
  model_.all[worker] = std::move(new_worker);
  endpoint.server = std::make_unique<HttpServer>(
      loop_, Poco::Net::SocketAddress(endpoint.config.listen_address),
      HttpServerOptions(),
      [this, worker](RequestToken token, const HttpRequest& request) {
        OnRequest(worker, token, request);
      },
      [this, worker](RequestToken token) {
        std::erase_if(
            endpoints_[worker].waiting_orders,
            [&](const WaitingOrder& order) { return order.token == token; });
      });
}

void SoakWorkers::Crash(size_t worker, Micros now) {
  WorkerEndpoint& endpoint = endpoints_[worker];
  if (endpoint.restart_at != 0) {
    return;
  }
  endpoint.restart_at = now + options_.crash_duration;
  endpoint.waiting_orders.clear();
  endpoint.server.reset();
  model_.all[worker].up = false;
  model_.all[worker].attempts.clear();
}

void SoakWorkers::ChangeCapacities(bool changing) {
  changing_capacities_ = changing;
  for (FakeWorker& worker : model_.all) {
    worker.status.set_cpu_millis(static_cast<uint32_t>(options_.cpu_millis));
  }
}

void SoakWorkers::ChangeNextCapacity(Micros now) {
  if (!changing_capacities_ || now < next_capacity_change_) {
    return;
  }
  next_capacity_change_ = now + kCapacityChangePeriod;
  constexpr int64_t kSizes = 3;  // none, half and all of the capacity
  FakeWorker& worker = model_.all[random_() % model_.all.size()];
  const auto size = static_cast<int64_t>(random_() % kSizes);
  worker.status.set_cpu_millis(
      static_cast<uint32_t>(options_.cpu_millis * size / (kSizes - 1)));
  worker.report_due = now;
}

void SoakWorkers::OnRequest(size_t worker,
                            RequestToken token,
                            const HttpRequest& request) {
  WorkerEndpoint& endpoint = endpoints_[worker];
  FakeWorker& model = model_.all[worker];
  const auto order = wire_.DecodeOrder(request);
  if (!order) {
    HttpReply reply;
    reply.status = 400;
    endpoint.server->Respond(token, reply);
    return;
  }
  const Micros now = MonotonicMicros();
  WorkerAnswer answer;
  answer.order = *order;
  if (order->worker != model.status.id()) {
    answer.outcome = OrderOutcome::kOtherIncarnation;
  } else {
    answer = ExecuteOrderAt(model_, model, *order, now);
  }
  const bool must_wait =
      order->kind == OrderKind::kRenew && order->wait_ms > 0 &&
      answer.outcome == OrderOutcome::kDone && answer.ended.empty();
  if (must_wait) {
    endpoint.waiting_orders.push_back(
        {token, *order, now + order->wait_ms * kMillisecond});
    return;
  }
  endpoint.server->Respond(token, wire_.EncodeOrderReply(answer));
}

void SoakWorkers::AnswerWaitingOrders(size_t worker, Micros now) {
  WorkerEndpoint& endpoint = endpoints_[worker];
  FakeWorker& model = model_.all[worker];
  std::erase_if(endpoint.waiting_orders, [&](WaitingOrder& waiting) {
    waiting.order.lease_until_ms = 0;  // the lease was renewed on arrival
    const WorkerAnswer answer = ExecuteOrder(model_, model, waiting.order, now);
    const bool must_answer = now >= waiting.answer_at ||
                             !answer.ended.empty() ||
                             answer.outcome != OrderOutcome::kDone;
    if (must_answer) {
      endpoint.server->Respond(waiting.token, wire_.EncodeOrderReply(answer));
    }
    return must_answer;
  });
}

void SoakWorkers::SendReport(size_t worker) {
  WorkerEndpoint& endpoint = endpoints_[worker];
  FakeWorker& model = model_.all[worker];
  model.status.set_sequence(model.status.sequence() + 1);
  HttpCall call = wire_.EncodeReportCall(model.status);
  const auto& controls = options_.control_addresses;
  call.address = model.report_to.empty()
                     ? controls[endpoint.control_index % controls.size()]
                     : model.report_to;
  call.timeout = kReportTimeout;
  endpoint.report_in_flight = true;
  const auto on_end = [this, worker, incarnation = endpoint.incarnation_count](
                          CallEnd end, const HttpResponse& response) {
    WorkerEndpoint& current = endpoints_[worker];
    current.report_in_flight = false;
    FakeWorker& reporting_model = model_.all[worker];
    if (current.incarnation_count != incarnation) {
      return;
    }
    if (end == CallEnd::kResponse && response.status == 200) {
      const std::string address = wire_.DecodeReportAddress(response);
      reporting_model.report_to = address.empty() ? "" : address_map_(address);
      return;
    }
    reporting_model.report_to.clear();
    ++current.control_index;
    reporting_model.report_due = MonotonicMicros() + kReportRetryDelay;
  };
  client_.Call(call, on_end);
}

void SoakWorkers::Advance(Micros now) {
  ChangeNextCapacity(now);
  for (size_t i = 0; i < endpoints_.size(); ++i) {
    WorkerEndpoint& endpoint = endpoints_[i];
    if (endpoint.restart_at != 0) {
      if (now >= endpoint.restart_at) {
        StartWorker(i, now);
      }
      continue;
    }
    if (model_.all[i].crashes_at != 0 && now >= model_.all[i].crashes_at) {
      Crash(i, now);
      continue;
    }
    EndFinishedAttempts(model_, model_.all[i], now);
    AnswerWaitingOrders(i, now);
    if (now >= model_.all[i].report_due && !endpoint.report_in_flight) {
      model_.all[i].report_due = now + options_.report_period;
      SendReport(i);
    }
  }
  if (now >= close_stale_at_) {
    close_stale_at_ = now + kCloseStalePeriod;
    client_.CloseStale(now);
  }
}

}  // namespace goldcrest
