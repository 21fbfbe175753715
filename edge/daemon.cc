#include "edge/daemon.h"

#include <algorithm>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include "edge/console.h"
#include "edge/logging.h"
#include "edge/routes.h"
#include "edge/worker_calls.h"
#include "goldcrest/step.h"
#include "goldcrest/submission.h"

namespace goldcrest {
namespace {

constexpr Micros kCloseStalePeriod = 250 * kMillisecond;
// How long a drained daemon continues to send the remaining replies and to
// answer requests that were sent before callers knew of the drain.
constexpr Micros kReplyFlushTime = 200 * kMillisecond;

// How long requests are read after the listener has been closed: the last
// connections that were accepted may not have sent theirs yet.
constexpr Micros kLastReadTime = 50 * kMillisecond;

HttpReply MakeReply(const ReplyResult& action) {
  HttpReply reply;
  const bool cancelled =
      action.cancelling && OutcomeOf(action.result) == Outcome::kCancelled;
  reply.status = cancelled ? 200 : ResultStatus(action.result);
  reply.body = ResultJson(action.submission_id, action.result);
  reply.retry_after_ms = action.result.retry_after_ms();
  return reply;
}

}  // namespace

Daemon::Daemon(DaemonOptions options)
    : options_(std::move(options)),
      bb_(MakeBlackboard(options_.deployment, options_.tuning)),
      buffers_(ShareForHttp(options_.machine).buffer_bytes),
      inbox_(std::make_unique<Inbox<Event>>(loop_)) {}

Daemon::~Daemon() {
  link_.reset();
  journal_.reset();
}

HttpServerOptions Daemon::ServerOptions() {
  const HttpServerOptions& wanted = options_.http;
  HttpServerOptions options =
      BoundedServerOptions("http",
                           std::min(wanted.max_connections,
                                    ShareForHttp(options_.machine).connections),
                           wanted.limits.max_body_bytes, buffers_);
  options.limits.max_header_bytes = wanted.limits.max_header_bytes;
  options.header_timeout = wanted.header_timeout;
  options.request_timeout = wanted.request_timeout;
  options.idle_timeout = wanted.idle_timeout;
  return options;
}

tl::expected<void, std::string> Daemon::Start() {
  RecoveredState recovered;
  if (!options_.data_dir.empty()) {
    auto opened = OpenJournal(options_.data_dir, JournalOptions(),
                              options_.deployment.incarnation, write_metrics_,
                              [this](uint64_t token, bool ok) {
                                inbox_->Put(JournalSynced{token, ok}, false);
                              });
    if (!opened) {
      return tl::make_unexpected(opened.error());
    }
    journal_ = std::move(opened->journal);
    recovered = std::move(opened->recovered);
    if (opened->damaged) {
      WriteLog({LogLevel::kError,
                "journal_damaged",
                {{"data_dir", options_.data_dir}}});
    }
  }
  try {
    server_ = std::make_unique<HttpServer>(
        loop_, Poco::Net::SocketAddress(options_.deployment.http_address),
        ServerOptions(),
        [this](RequestToken token, const HttpRequest& request) {
          OnHttpRequest(token, request);
        },
        [this](RequestToken token) {
          console_forms_.erase(token);
          local_events_.emplace_back(RequestConnectionClosed{token});
        });
    client_ = std::make_unique<HttpClient>(loop_, HttpClientOptions());
    if (!options_.deployment.IsSingleVm()) {
      link_ = std::make_unique<PeerLink>(
          options_.deployment, [this](wire::PeerMessage message) {
            inbox_->Put(PeerReceived{std::move(message)}, true);
          });
    }
  } catch (const Poco::Exception& error) {
    return tl::make_unexpected("cannot listen on " +
                               options_.deployment.http_address + ": " +
                               error.displayText());
  } catch (const zmq::error_t& error) {
    return tl::make_unexpected(std::string("cannot bind the peer address: ") +
                               error.what());
  }
  bb_.configuration.first_document = options_.first_document;
  Actions actions;
  goldcrest::Start(bb_, recovered, ReadClock(), actions);
  Perform(actions);
  return {};
}

void Daemon::RequestDrain() {
  inbox_->Put(DrainRequest(), false);
}

void Daemon::Stop() {
  stopped_ = true;
  loop_.Wake();
}

void Daemon::OnHttpRequest(RequestToken token, const HttpRequest& request) {
  const auto metrics_text = [this] {
    return metrics_page_.Text(MonotonicMicros(), [this] {
      return metrics_.Text(bb_, ReadClock()) + write_metrics_.Text() +
             HttpMetricsText({server_.get()}, buffers_);
    });
  };
  RouteResult result = Route(request, token, bb_, metrics_text, ReadClock());
  if (auto* reply = std::get_if<HttpReply>(&result)) {
    Respond(token, std::move(*reply));
    return;
  }
  if (request.path == "/console") {
    console_forms_[token] = request.body;
  }
  local_events_.push_back(std::move(std::get<Event>(result)));
}

void Daemon::RunStep(const Event& event) {
  Actions actions;
  Step(bb_, event, ReadClock(), actions);
  Perform(actions);
  for (const Observation& observation : bb_.observations) {
    metrics_.Observe(observation);
  }
  bb_.observations.clear();
}

void Daemon::Perform(const Actions& actions) {
  for (const Action& action : actions) {
    std::visit([this](const auto& one) { PerformOne(one); }, action);
  }
}

void Daemon::Respond(ReplyToken token, HttpReply reply) {
  if (token != kNoToken) {
    reply.close_after = reply.close_after || bb_.draining;
    server_->Respond(token, reply);
  }
}

void Daemon::PerformOne(const ReplyResult& action) {
  Respond(action.token, MakeReply(action));
}

void Daemon::PerformOne(const ReplyJson& action) {
  if (const auto form = console_forms_.extract(action.token)) {
    Respond(action.token,
            ConsoleResultPage(form.mapped(), action.status, action.body, bb_));
    return;
  }
  HttpReply reply;
  reply.status = action.status;
  reply.body = action.body;
  Respond(action.token, reply);
}

void Daemon::PerformOne(const StartTask& action) {
  client_->Call(
      EncodeStartCall(action),
      [this, action](CallEnd end, const HttpResponse& response) {
        local_events_.emplace_back(DecodeStartResponse(action, end, response));
      });
}

void Daemon::PerformOne(const StopTask& action) {
  client_->Call(EncodeStopCall(action), [](CallEnd, const HttpResponse&) {});
}

void Daemon::PerformOne(const LookupTask& action) {
  client_->Call(
      EncodeLookupCall(action),
      [this, action](CallEnd end, const HttpResponse& response) {
        local_events_.emplace_back(DecodeLookupResponse(action, end, response));
      });
}

void Daemon::PerformOne(const SendPeer& action) {
  if (link_ != nullptr) {
    link_->Send(action.vm, action.message);
  }
}

void Daemon::PerformOne(const AppendJournal& action) {
  if (journal_ != nullptr) {
    journal_->Append(action.record, action.token);
  } else if (action.token != 0) {
    inbox_->Put(JournalSynced{action.token, false}, false);
  }
}

void Daemon::PerformOne(const LogEvent& action) {
  WriteLog(action);
}

void Daemon::ProcessInbox() {
  for (const Event& event : inbox_->TakeAll()) {
    RunStep(event);
  }
}

void Daemon::CloseStale(Micros now) {
  if (now - closed_stale_at_ < kCloseStalePeriod) {
    return;
  }
  closed_stale_at_ = now;
  FlushLog();
  server_->CloseStale(now);
  client_->CloseStale(now);
}

void Daemon::RunOnce(Micros max_wait) {
  const StepTime now = ReadClock();
  const Micros wait = std::min(NextWakeUp(bb_, now) - now.mono, max_wait);
  loop_.Poll(local_events_.empty() ? wait : 0);
  ProcessInbox();
  const std::vector<Event> events = std::exchange(local_events_, {});
  for (const Event& event : events) {
    RunStep(event);
  }
  if (NextWakeUp(bb_, now) <= MonotonicMicros()) {
    RunStep(TimeAdvanced());
  }
  CloseStale(loop_.polled_at());
}

void Daemon::RunFor(Micros duration) {
  const Micros until = MonotonicMicros() + duration;
  while (!stopped_ && MonotonicMicros() < until) {
    RunOnce(std::max<Micros>(until - MonotonicMicros(), 0));
  }
}

void Daemon::Run() {
  while (!bb_.drained && !stopped_) {
    RunOnce(kCloseStalePeriod);
  }
  RunFor(kReplyFlushTime);
  if (stopped_) {
    return;
  }
  server_->StopAccepting();
  RunFor(kLastReadTime);
  server_->RespondToAllWaiting(
      ErrorReply({ResultCode::kOwnerUnreachable, "",
                  "stopped before the request was answered: its outcome is "
                  "unknown"}));
  // A caller whose connection stayed open would wait for an answer while the
  // journal is written.
  server_->CloseAll();
  if (journal_ != nullptr) {
    journal_->Flush();
  }
}

}  // namespace goldcrest
