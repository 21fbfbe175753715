#include "edge/stand_in_worker.h"

#include <unistd.h>

#include <algorithm>
#include <optional>
#include <utility>

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>

#include "goldcrest/json_reader.h"
#include "goldcrest/submission.h"

namespace goldcrest {
namespace {

// Limit on the results of ended tasks that are kept for lookups.
constexpr size_t kMaxEndedTasks = 200'000;
constexpr Micros kAnnounceRetryDelay = 200 * kMillisecond;
constexpr Micros kDefaultRenewPeriod = 500 * kMillisecond;
constexpr Micros kCrashDowntime = kSecond;
constexpr Micros kAnnounceTimeout = kSecond;
constexpr Micros kCloseStalePeriod = 500 * kMillisecond;
constexpr int kStragglerFactor = 10;
constexpr int64_t kMaxRunMs = 24LL * 3600 * 1000;
constexpr std::string_view kTaskPrefix = "/v1/tasks/";

// The body of POST /v1/tasks.
struct StartBody {
  std::string task_id;
  uint64_t attempt = 0;
  uint64_t lease_epoch = 0;
  int64_t run_ms = 0;
  std::string payload;
};

std::optional<StartBody> ParseStartBody(const std::string& text) {
  const auto json = ParseJson(text);
  if (!json) {
    return std::nullopt;
  }
  FieldErrors errors;
  ObjectReader reader(*json, "", errors);
  StartBody body;
  body.task_id = reader.Text("task_id", {1, 256});
  body.attempt =
      static_cast<uint64_t>(reader.Integer("attempt", {0, INT64_MAX}));
  body.lease_epoch =
      static_cast<uint64_t>(reader.Integer("lease_epoch", {0, INT64_MAX}));
  body.run_ms = reader.Integer("run_ms", {0, kMaxRunMs});
  reader.Integer("deadline_ms", {INT64_MIN, INT64_MAX}, 0);
  body.payload = reader.Text("payload", {0, kMaxPayloadBytes}, "");
  reader.Boolean("idempotent", false);
  reader.Finish();
  return errors.empty() ? std::optional<StartBody>(body) : std::nullopt;
}

// The behavior that a payload requests.
struct ParsedPayload {
  int64_t run_ms = 0;
  std::string output;
  bool fails = false;
  bool crashes = false;
};

ParsedPayload ParsePayload(const StartBody& body) {
  ParsedPayload payload;
  payload.run_ms = body.run_ms;
  payload.output = body.payload;
  payload.fails = body.payload == "fail";
  payload.crashes = body.payload == "crash";
  if (payload.fails) {
    payload.run_ms = 0;
  }
  if (body.payload.rfind("sleep:", 0) == 0) {
    const size_t semicolon = body.payload.find(';');
    Poco::Int64 run_ms = 0;
    if (Poco::NumberParser::tryParse64(body.payload.substr(6, semicolon - 6),
                                       run_ms)) {
      payload.run_ms = std::clamp<int64_t>(run_ms, 0, kMaxRunMs);
    }
    const size_t out = body.payload.find(";out:");
    if (out != std::string::npos) {
      payload.output = body.payload.substr(out + 5);
    }
  }
  return payload;
}

}  // namespace

bool AttemptLog::Open(const std::string& path) {
  file_ = std::fopen(path.c_str(), "a");
  if (file_ != nullptr) {
    std::setvbuf(file_, nullptr, _IOLBF, 0);
  }
  return file_ != nullptr;
}

void AttemptLog::Write(const std::string& line) {
  if (file_ != nullptr) {
    std::fputs((line + "\n").c_str(), file_);
  }
}

void AttemptLog::Close() {
  if (file_ == nullptr) {
    return;
  }
  std::fflush(file_);
  ::fsync(::fileno(file_));
  std::fclose(file_);
  file_ = nullptr;
}

StandInWorker::StandInWorker(SocketLoop& loop,
                             AttemptLog& log,
                             StandInOptions options)
    : loop_(loop),
      log_(log),
      options_(std::move(options)),
      random_(options_.seed),
      client_(loop, HttpClientOptions()),
      incarnation_(static_cast<uint64_t>(ReadClock().wall_ms)) {
  Listen();
}

void StandInWorker::Listen() {
  server_ = std::make_unique<HttpServer>(
      loop_, Poco::Net::SocketAddress(options_.address), HttpServerOptions(),
      [this](RequestToken token, const HttpRequest& request) {
        OnRequest(token, request);
      },
      [](RequestToken) {});
}

void StandInWorker::WriteLine(const char* event,
                              const std::string& task_id,
                              uint64_t attempt,
                              uint64_t lease_epoch) {
  log_.Write("{\"event\":\"" + std::string(event) +
             "\",\"worker\":" + JsonQuote(options_.name) +
             ",\"incarnation\":" + std::to_string(incarnation_) +
             ",\"task_id\":" + JsonQuote(task_id) +
             ",\"attempt\":" + std::to_string(attempt) +
             ",\"lease_epoch\":" + std::to_string(lease_epoch) +
             ",\"wall_ms\":" + std::to_string(ReadClock().wall_ms) + "}");
}

void StandInWorker::Reply(RequestToken token, int status, std::string body) {
  HttpReply reply;
  reply.status = status;
  reply.body = std::move(body);
  server_->Respond(token, reply);
}

void StandInWorker::OnRequest(RequestToken token, const HttpRequest& request) {
  if (request.method == "POST" && request.path == "/v1/tasks") {
    OnStart(token, request);
    return;
  }
  if (request.path.rfind(kTaskPrefix, 0) != 0) {
    Reply(token, 404, "{}");
    return;
  }
  const std::string rest = request.path.substr(kTaskPrefix.size());
  const size_t colon = rest.rfind(':');
  const std::string verb =
      colon == std::string::npos ? "" : rest.substr(colon + 1);
  if (request.method == "GET") {
    OnLookup(token, rest);
  } else if (request.method == "DELETE") {
    OnStop(token, rest);
  } else if (verb == "checkpoint" || verb == "throttle") {
    Reply(token, 200, "{\"task_id\":" + JsonQuote(rest.substr(0, colon)) + "}");
  } else {
    Reply(token, 404, "{}");
  }
}

void StandInWorker::OnStart(RequestToken token, const HttpRequest& request) {
  const std::optional<StartBody> body = ParseStartBody(request.body);
  if (!body) {
    Reply(token, 400, "{}");
    return;
  }
  const auto refuse = [&](int status, const char* log_event) {
    WriteLine(log_event, body->task_id, body->attempt, body->lease_epoch);
    Reply(token, status,
          "{\"task_id\":" + JsonQuote(body->task_id) +
              ",\"lease_epoch\":" + std::to_string(lease_epoch_) + "}");
  };
  if (lease_epoch_ == 0 || body->lease_epoch < lease_epoch_) {
    refuse(409, "refused_stale");
    return;
  }
  if (leaving_) {
    refuse(503, "refused_leaving");
    return;
  }
  if (running_.size() >= static_cast<size_t>(options_.slots) ||
      running_.contains(body->task_id)) {
    refuse(429, "refused_full");
    return;
  }
  const Micros now = MonotonicMicros();
  WriteLine("start", body->task_id, body->attempt, body->lease_epoch);
  const ParsedPayload payload = ParsePayload(*body);
  if (payload.crashes) {
    Crash(now);
    return;
  }
  std::uniform_real_distribution<double> chance(0, 1);
  RunningTask run;
  run.task_id = body->task_id;
  run.attempt = body->attempt;
  run.token = token;
  run.output = payload.output;
  run.fails = payload.fails || chance(random_) < options_.fail_rate;
  const bool straggles = chance(random_) < options_.straggle_rate;
  const int64_t run_ms =
      run.fails ? std::min<int64_t>(payload.run_ms, 1) : payload.run_ms;
  run.ends_at =
      now + run_ms * kMillisecond * (straggles ? kStragglerFactor : 1);
  running_[run.task_id] = run;
}

void StandInWorker::OnLookup(RequestToken token, const std::string& task_id) {
  const std::string worker_fields =
      ",\"lease_epoch\":" + std::to_string(lease_epoch_) +
      ",\"incarnation\":" + std::to_string(incarnation_) + "}";
  const std::string head = "{\"task_id\":" + JsonQuote(task_id);
  if (running_.contains(task_id)) {
    Reply(token, 200, head + ",\"state\":\"running\"" + worker_fields);
    return;
  }
  const auto found = ended_tasks_.find(task_id);
  if (found == ended_tasks_.end()) {
    Reply(token, 200, head + ",\"state\":\"never_seen\"" + worker_fields);
    return;
  }
  const std::string state =
      found->second.failed
          ? ",\"state\":\"failed\""
          : ",\"state\":\"done\",\"output\":" + JsonQuote(found->second.output);
  Reply(token, 200, head + state + worker_fields);
}

void StandInWorker::OnStop(RequestToken token, const std::string& task_id) {
  const auto found = running_.find(task_id);
  if (found != running_.end()) {
    const RunningTask run = found->second;
    running_.erase(found);
    WriteLine("stop", task_id, run.attempt, lease_epoch_);
    RecordEnd(task_id, {true, ""});
    Reply(run.token, 500, "{\"task_id\":" + JsonQuote(task_id) + "}");
  }
  Reply(token, 200, "{\"task_id\":" + JsonQuote(task_id) + "}");
}

void StandInWorker::RecordEnd(const std::string& task_id, EndedTask ended) {
  if (!ended_tasks_.contains(task_id)) {
    ended_task_order_.push_back(task_id);
  }
  ended_tasks_[task_id] = std::move(ended);
  if (ended_task_order_.size() > kMaxEndedTasks) {
    ended_tasks_.erase(ended_task_order_.front());
    ended_task_order_.pop_front();
  }
}

void StandInWorker::EndTask(const RunningTask& run, Micros /*now*/) {
  WriteLine(run.fails ? "fail" : "finish", run.task_id, run.attempt,
            lease_epoch_);
  RecordEnd(run.task_id, {run.fails, run.output});
  const std::string head = "{\"task_id\":" + JsonQuote(run.task_id);
  Reply(run.token, run.fails ? 500 : 200,
        run.fails ? head + "}"
                  : head + ",\"output\":" + JsonQuote(run.output) + "}");
}

void StandInWorker::Crash(Micros now) {
  running_.clear();
  ended_tasks_.clear();
  ended_task_order_.clear();
  lease_epoch_ = 0;
  restart_at_ = now + kCrashDowntime;
}

void StandInWorker::Leave() {
  leaving_ = true;
  announce_at_ = 0;
}

void StandInWorker::Announce(Micros now) {
  announcing_ = true;
  announce_at_ = now + kDefaultRenewPeriod;
  std::string running;
  for (const auto& [task_id, run] : running_) {
    running += running.empty() ? "" : ",";
    running += JsonQuote(task_id);
  }
  HttpCall call;
  call.address =
      current_entry_.empty()
          ? options_
                .entry_addresses[next_entry_ % options_.entry_addresses.size()]
          : current_entry_;
  call.method = "POST";
  call.path = "/v1/backend_servers";
  call.timeout = kAnnounceTimeout;
  call.body = "{\"name\":" + JsonQuote(options_.name) +
              ",\"address\":" + JsonQuote(options_.address) +
              ",\"failure_domain\":" + JsonQuote(options_.failure_domain) +
              ",\"rack\":" + JsonQuote(options_.rack) +
              ",\"slots\":" + std::to_string(options_.slots) +
              ",\"memory_mb\":" + std::to_string(options_.memory_mb) +
              ",\"accelerators\":" + std::to_string(options_.accelerators) +
              ",\"incarnation\":" + std::to_string(incarnation_) +
              ",\"state\":\"" + (leaving_ ? "leaving" : "serving") +
              "\",\"lease_epoch\":" + std::to_string(lease_epoch_) +
              ",\"running\":[" + running +
              "],\"usage\":{\"busy_slots\":" + std::to_string(running_.size()) +
              "}}";
  const uint64_t incarnation = incarnation_;
  const bool announces_leaving = leaving_;
  client_.Call(call, [this, incarnation, announces_leaving](
                         CallEnd end, const HttpResponse& response) {
    announcing_ = false;
    if (incarnation == incarnation_) {
      leaving_announced_ = leaving_announced_ || announces_leaving;
      OnLeaseResponse(end, response);
    }
  });
}

void StandInWorker::OnLeaseResponse(CallEnd end, const HttpResponse& response) {
  const Micros now = MonotonicMicros();
  const auto json = ParseJson(response.body);
  const bool readable = end == CallEnd::kResponse && response.status == 200 &&
                        json && json->type() == typeid(Poco::JSON::Object::Ptr);
  if (!readable) {
    current_entry_.clear();
    ++next_entry_;
    announce_at_ = now + kAnnounceRetryDelay;
    return;
  }
  FieldErrors errors;
  ObjectReader reader(*json, "", errors);
  const auto epoch =
      static_cast<uint64_t>(reader.Integer("lease_epoch", {0, INT64_MAX}));
  const Micros renew_period =
      reader.Integer("renew_ms", {1, 3'600'000}, 500) * kMillisecond;
  lease_epoch_ = std::max(lease_epoch_, epoch);
  current_entry_ = reader.Text("entry", {0, 256}, "");
  announce_at_ = leaving_ && !leaving_announced_ ? now : now + renew_period;
}

Micros StandInWorker::Advance(Micros now) {
  if (restart_at_ != 0) {
    server_.reset();
    if (now < restart_at_) {
      return restart_at_;
    }
    restart_at_ = 0;
    incarnation_ = static_cast<uint64_t>(ReadClock().wall_ms);
    announcing_ = false;
    announce_at_ = now;
    Listen();
  }
  std::vector<RunningTask> due_tasks;
  Micros next = now + kSecond;
  for (const auto& [task_id, run] : running_) {
    if (run.ends_at <= now) {
      due_tasks.push_back(run);
    } else {
      next = std::min(next, run.ends_at);
    }
  }
  for (const RunningTask& run : due_tasks) {
    running_.erase(run.task_id);
    EndTask(run, now);
  }
  if (!announcing_ && now >= announce_at_) {
    Announce(now);
  }
  if (now - last_stale_check_at_ > kCloseStalePeriod) {
    last_stale_check_at_ = now;
    server_->CloseStale(now);
    client_.CloseStale(now);
  }
  return announcing_ ? next : std::min(next, announce_at_);
}

}  // namespace goldcrest
