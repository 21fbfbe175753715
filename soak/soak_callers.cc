#include "soak/soak_callers.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace goldcrest {
namespace {

constexpr char kHost[] = "soak.example";
constexpr char kPathPrefix[] = "/soak/";
constexpr Micros kCloseStalePeriod = 50 * kMillisecond;
constexpr Micros kChangeTimeout = kSecond;
constexpr Micros kChangeRetry = 150 * kMillisecond;
constexpr int kMaxChangeRetries = 200;
// A caller cancels its job at most this long after sending it.
constexpr Micros kMaxCancelDelay = 300 * kMillisecond;
constexpr int64_t kMinRunTimeMs = 30;

// Formats a number as 16 hexadecimal digits.
std::string FormatJobId(uint64_t number) {
  std::array<char, 17> text = {};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(number));
  return text.data();
}

}  // namespace

SoakCallers::SoakCallers(SocketLoop& loop,
                         const SoakWire& wire,
                         SoakCallersOptions options)
    : wire_(wire),
      options_(std::move(options)),
      client_(loop, HttpClientOptions()),
      random_(options_.seed) {}

void SoakCallers::Advance(Micros now) {
  if (sending_jobs_ && now >= next_job_) {
    std::exponential_distribution<double> gap(options_.jobs_per_second /
                                              static_cast<double>(kSecond));
    next_job_ =
        std::max(next_job_, now - kSecond) + static_cast<Micros>(gap(random_));
    SendJob(now);
  }
  SendCancels(now);
  const auto due =
      std::partition(delayed_actions_.begin(), delayed_actions_.end(),
                     [&](const auto& action) { return action.first > now; });
  const std::vector<std::pair<Micros, std::function<void()>>> due_actions(
      std::make_move_iterator(due),
      std::make_move_iterator(delayed_actions_.end()));
  delayed_actions_.erase(due, delayed_actions_.end());
  for (const auto& [run_at, action] : due_actions) {
    action();
  }
  if (now >= close_stale_at_) {
    close_stale_at_ = now + kCloseStalePeriod;
    client_.CloseStale(now);
  }
}

void SoakCallers::SendJob(Micros now) {
  SoakJobRecord record;
  record.job.id = FormatJobId(random_());
  record.job.host = kHost;
  record.job.path_prefix = kPathPrefix;
  record.job.tasks =
      1 + static_cast<int>(random_() %
                           static_cast<uint64_t>(options_.max_tasks_per_job));
  record.job.run_ms =
      kMinRunTimeMs +
      static_cast<int64_t>(random_() %
                           static_cast<uint64_t>(options_.run_time_range_ms));
  record.job.timeout_ms = options_.timeout_ms;
  if (options_.timeout_range_ms > 0) {
    record.job.timeout_ms += static_cast<int64_t>(
        random_() % static_cast<uint64_t>(options_.timeout_range_ms));
  }
  record.job.cpu_millis = options_.task_cpu_millis;
  record.job.crashes_workers = sending_crashing_jobs_ &&
                               jobs_.size() % options_.crashing_job_period == 0;
  record.entry_index = random_() % options_.entries.size();
  record.sent_at = now;
  std::uniform_real_distribution<double> share(0, 1);
  if (share(random_) < options_.cancel_share) {
    record.cancel_at = now + static_cast<Micros>(random_() % kMaxCancelDelay);
    to_cancel_.push_back(record.job.id);
  }
  HttpCall call = wire_.EncodeSubmitCall(record.job);
  call.address = options_.entries[record.entry_index];
  call.timeout = options_.answer_timeout;
  const std::string id = record.job.id;
  jobs_[id] = std::move(record);
  ++open_jobs_;
  const auto on_end = [this, id](CallEnd end, const HttpResponse& response) {
    --open_jobs_;
    SoakJobRecord& ended_job = jobs_.at(id);
    ended_job.ended_at = MonotonicMicros();
    ended_job.end = end;
    if (end == CallEnd::kResponse) {
      ended_job.outcome = wire_.DecodeOutcome(response);
    }
  };
  jobs_.at(id).client_port = client_.Call(call, on_end);
}

void SoakCallers::SendCancels(Micros now) {
  std::erase_if(to_cancel_, [&](const std::string& id) {
    const SoakJobRecord& record = jobs_.at(id);
    if (now < record.cancel_at) {
      return false;
    }
    HttpCall call = wire_.EncodeCancelCall(record.job);
    call.address = options_.entries[record.entry_index];
    call.timeout = options_.answer_timeout;
    client_.Call(call, [this, id](CallEnd end, const HttpResponse& response) {
      if (end == CallEnd::kResponse && response.status == 200) {
        jobs_.at(id).cancel_confirmed_at = MonotonicMicros();
      }
    });
    return true;
  });
}

wire::Routing SoakCallers::MakeRouting(uint64_t version) const {
  wire::Routing routing;
  routing.set_version(version);
  routing.add_services(options_.service);
  wire::Queue& queue = *routing.add_queues();
  queue.set_name("soak");
  queue.set_host(kHost);
  queue.set_path_prefix(kPathPrefix);
  queue.set_service(options_.service);
  queue.set_timeout_ms(
      static_cast<uint32_t>(options_.timeout_ms + options_.timeout_range_ms));
  queue.set_target_ms(60);
  queue.set_max_attempts(3);
  queue.set_stretch(1.6);
  return routing;
}

void SoakCallers::ChangeConfiguration() {
  ++last_version_;
  ++unacknowledged_changes_;
  SendChange(last_version_, random_() % options_.controls.size(), 0);
}

void SoakCallers::SendChange(uint64_t version, size_t control, int tries) {
  HttpCall call = wire_.EncodeChangeCall(MakeRouting(version));
  call.address = options_.controls[control % options_.controls.size()];
  call.timeout = kChangeTimeout;
  client_.Call(call, [this, version, control, tries](
                         CallEnd end, const HttpResponse& response) {
    if (end == CallEnd::kResponse && response.status == 200) {
      acknowledged_version_ = std::max(acknowledged_version_, version);
      --unacknowledged_changes_;
      return;
    }
    if (tries >= kMaxChangeRetries) {
      return;  // unacknowledged_changes() still counts it
    }
    delayed_actions_.emplace_back(MonotonicMicros() + kChangeRetry,
                                  [this, version, control, tries] {
                                    SendChange(version, control + 1, tries + 1);
                                  });
  });
}

void SoakCallers::ReadConfiguration(size_t control) {
  read_version_ = 0;
  HttpCall call = wire_.EncodeReadConfigurationCall();
  call.address = options_.controls[control];
  call.timeout = kChangeTimeout;
  client_.Call(call, [this](CallEnd end, const HttpResponse& response) {
    if (end == CallEnd::kResponse && response.status == 200) {
      read_version_ = wire_.DecodeVersion(response);
    }
  });
}

}  // namespace goldcrest
