#include "edge/routes.h"

#include <charconv>
#include <utility>

#include "edge/console.h"
#include "edge/http_metrics.h"
#include "edge/status_json.h"
#include "goldcrest/configuration.h"
#include "goldcrest/digest.h"
#include "goldcrest/membership.h"
#include "goldcrest/submission.h"
#include "goldcrest/worker_lease.h"

namespace goldcrest {
namespace {

constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kJobPrefix = "/v1/jobs/";
constexpr int64_t kMaxWaitMs = 24LL * 3600 * 1000;

HttpReply NotAllowed() {
  return ErrorReply(
      {ResultCode::kMethodNotAllowed, "",
       std::string(RowOf(ResultCode::kMethodNotAllowed).meaning)});
}

HttpReply NotFound() {
  return ErrorReply({ResultCode::kNotFound, "", "no such path"});
}

bool ReadInteger(const std::string& text, int64_t* value) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, *value);
  return !text.empty() && error == std::errc() && stop == end;
}

RouteResult Submit(const HttpRequest& request, ReplyToken token) {
  auto submission = ParseSubmission(request.body);
  if (!submission) {
    return ErrorReply(submission.error());
  }
  SubmitRequest event;
  event.token = token;
  event.submission = std::move(*submission);
  const std::string wait = FormValue(request.query, "wait_ms");
  if (!wait.empty() && (!ReadInteger(wait, &event.wait_ms) ||
                        event.wait_ms < 0 || event.wait_ms > kMaxWaitMs)) {
    return ErrorReply({ResultCode::kOutOfRange, "wait_ms",
                       "expected milliseconds, 0 or more"});
  }
  return Event(std::move(event));
}

RouteResult CancelJobs(const HttpRequest& request, ReplyToken token) {
  auto ids = ParseCancelBody(request.body);
  if (!ids) {
    return ErrorReply(ids.error());
  }
  CancelRequest event;
  event.token = token;
  event.submission_ids = std::move(*ids);
  return Event(std::move(event));
}

RouteResult JobRoute(const HttpRequest& request, ReplyToken token) {
  const std::string id = request.path.substr(kJobPrefix.size());
  if (!IsValidName(id)) {
    return ErrorReply({ResultCode::kOutOfRange, "submission_id",
                       "expected a submission id in the path"});
  }
  if (request.method == "GET") {
    return Event(LookupRequest{token, id});
  }
  if (request.method == "DELETE") {
    return Event(CancelRequest{token, {id}, true});
  }
  return NotAllowed();
}

RouteResult Announce(const HttpRequest& request, ReplyToken token) {
  auto announcement = ParseAnnouncement(request.body);
  if (!announcement) {
    return ErrorReply(announcement.error());
  }
  return Event(AnnounceRequest{token, std::move(*announcement), request.body});
}

HttpReply ErrorsReply(const FieldErrors& errors) {
  HttpReply reply;
  reply.status = RowOf(ResultCode::kInvalidDocument).http_status;
  reply.body = ErrorsJson(errors);
  return reply;
}

HttpReply ShowConfiguration(const Blackboard& bb) {
  const wire::ConfigurationState& state = bb.configuration.in_force;
  HttpReply reply;
  reply.body = "{\"version\":" + std::to_string(state.version()) +
               ",\"digest\":" + JsonQuote(state.digest()) + ",\"document\":" +
               (state.document().empty() ? "null" : state.document()) + "}";
  return reply;
}

HttpReply CheckConfiguration(const HttpRequest& request) {
  const auto configuration = ParseConfiguration(request.body);
  if (!configuration) {
    return ErrorsReply(configuration.error());
  }
  HttpReply reply;
  reply.body = "{\"valid\":true,\"digest\":" +
               JsonQuote(ConfigurationDigest(*configuration)) + "}";
  return reply;
}

// Parses the version in an If-Match header, with or without quotes: "7" or 7.
bool ReadVersion(std::string text, uint64_t* version) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  int64_t value = 0;
  if (!ReadInteger(text, &value) || value < 0) {
    return false;
  }
  *version = static_cast<uint64_t>(value);
  return true;
}

RouteResult PutConfiguration(const HttpRequest& request, ReplyToken token) {
  ConfigurationPut put;
  put.token = token;
  if (!ReadVersion(request.if_match, &put.if_version)) {
    return ErrorReply({ResultCode::kOutOfRange, "If-Match",
                       "expected the version in force, such as \"7\""});
  }
  const auto json = ParseJson(request.body);
  if (!json) {
    return ErrorReply(json.error());
  }
  const auto configuration = ParseConfiguration(request.body);
  if (!configuration) {
    return ErrorsReply(configuration.error());
  }
  put.document = ConfigurationJson(*configuration);
  put.digest = Sha256Hex(put.document);
  return Event(std::move(put));
}

// Returns the reason why this VM does not serve callers, or an empty string if
// it does. Without the serving lease it starts no tasks, so callers should use
// another VM.
std::string_view NotServingReason(const Blackboard& bb) {
  if (bb.draining) {
    return "draining";
  }
  if (bb.configuration.in_force.version() == 0) {
    return "starting";
  }
  return bb.membership.lease_valid ? "" : "no_serving_lease";
}

HttpReply Health(const Blackboard& bb) {
  const std::string_view reason = NotServingReason(bb);
  const std::string state(reason.empty() ? "serving" : reason);
  HttpReply reply;
  reply.status = reason.empty() ? 200 : 503;
  reply.body = "{\"state\":" + JsonQuote(state) + "}";
  return reply;
}

HttpReply JsonReply(std::string body) {
  HttpReply reply;
  reply.body = std::move(body);
  return reply;
}

RouteResult ConfigurationRoute(const HttpRequest& request,
                               ReplyToken token,
                               const Blackboard& bb) {
  if (request.method == "GET") {
    return ShowConfiguration(bb);
  }
  if (request.method == "PUT") {
    return PutConfiguration(request, token);
  }
  return NotAllowed();
}

RouteResult GetRoute(const HttpRequest& request,
                     const Blackboard& bb,
                     const std::function<std::string()>& metrics_text,
                     StepTime now) {
  if (request.path == "/healthz") {
    return Health(bb);
  }
  if (request.path == "/metrics") {
    return MetricsReply(metrics_text());
  }
  if (request.path == "/v1/status") {
    return JsonReply(StatusJson(bb, now));
  }
  if (request.path == "/console" || request.path == "/") {
    return ConsolePage(bb, now);
  }
  return NotFound();
}

RouteResult PostRoute(const HttpRequest& request,
                      ReplyToken token,
                      const Blackboard& bb) {
  if (request.path == kJobsPath) {
    return Submit(request, token);
  }
  if (request.path == "/v1/jobs:cancel") {
    return CancelJobs(request, token);
  }
  if (request.path == "/v1/backend_servers") {
    return Announce(request, token);
  }
  if (request.path == "/v1/configuration:check") {
    return CheckConfiguration(request);
  }
  if (request.path == "/v1/drain") {
    return Event(DrainRequest{token});
  }
  if (request.path == "/console") {
    return HandleConsoleForm(request, token, bb);
  }
  return NotFound();
}

bool IsPostPath(const std::string& path) {
  return path == kJobsPath || path == "/v1/jobs:cancel" ||
         path == "/v1/backend_servers" || path == "/v1/configuration:check" ||
         path == "/v1/drain";
}

}  // namespace

HttpReply ErrorReply(const FieldError& error) {
  HttpReply reply;
  reply.status = RowOf(error.code).http_status;
  reply.body = ErrorJson(error);
  return reply;
}

RouteResult Route(const HttpRequest& request,
                  ReplyToken token,
                  const Blackboard& bb,
                  const std::function<std::string()>& metrics_text,
                  StepTime now) {
  if (request.path.rfind(kJobPrefix, 0) == 0) {
    return JobRoute(request, token);
  }
  if (request.path == "/v1/configuration") {
    return ConfigurationRoute(request, token, bb);
  }
  if (request.method == "POST") {
    return PostRoute(request, token, bb);
  }
  if (request.method == "GET" && !IsPostPath(request.path)) {
    return GetRoute(request, bb, metrics_text, now);
  }
  return IsPostPath(request.path) ? NotAllowed() : NotFound();
}

}  // namespace goldcrest
