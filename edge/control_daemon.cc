#include "edge/control_daemon.h"

#include <utility>

#include <Poco/Exception.h>

#include "edge/logging.h"
#include "edge/pool_metrics.h"
#include "pool/workers/worker_roster.h"
#include "pool/workers/worker_table.h"

namespace goldcrest {
namespace {

// How long a drained daemon continues to send the remaining replies.
constexpr Micros kReplyFlushTime = 100 * kMillisecond;

// Of a configuration, or of a worker's report.
constexpr size_t kMaxBodyBytes = 8 * 1024 * 1024;

}  // namespace

ControlDaemon::ControlDaemon(ControlDaemonOptions options,
                             const ControlProtocol& control,
                             const WorkerProtocol& workers)
    : options_(std::move(options)),
      control_(control),
      loop_(workers),
      buffers_(ShareForHttp(options_.machine).buffer_bytes) {}

ControlDaemon::~ControlDaemon() = default;

tl::expected<void, std::string> ControlDaemon::Start() {
  const auto contents = ReadRegisterFiles(options_.data_dir);
  if (!contents) {
    return tl::make_unexpected(contents.error());
  }
  options_.start.stored = contents->stored;
  file_ = std::make_unique<RegisterFile>(
      options_.data_dir, *contents, write_metrics_,
      [this](uint64_t sequence, bool ok) {
        loop_.PostEvent(RegisterStored{sequence, ok});
      });
  const size_t connections = ShareForHttp(options_.machine).connections;
  try {
    server_ = std::make_unique<HttpServer>(
        loop_.sockets(), Poco::Net::SocketAddress(options_.control_address),
        BoundedServerOptions("control", connections - kPlatformConnections,
                             kMaxBodyBytes, buffers_),
        [this](RequestToken token, const HttpRequest& request) {
          OnHttpRequest(token, request);
        },
        [](RequestToken) {});
    if (!options_.metrics_address.empty()) {
      metrics_server_ = std::make_unique<MetricsServer>(
          loop_.sockets(), options_.metrics_address, buffers_,
          [this] { return FormatMetrics(); });
    }
    loop_.OpenMesh({options_.start.mesh.self, options_.mesh_bind,
                    options_.start.mesh.incarnation});
  } catch (const Poco::Exception& error) {
    return tl::make_unexpected(
        "cannot listen for operators and workers or for metrics: " +
        error.displayText());
  } catch (const zmq::error_t& error) {
    return tl::make_unexpected("cannot bind " + options_.start.mesh.self +
                               ": " + error.what());
  }
  PoolActions actions;
  board_ = MakePoolBoard(options_.start, ReadBootClock(), actions);
  Perform(actions);
  return {};
}

std::string ControlDaemon::FormatMetrics() const {
  return ControlMetricsText(board_, loop_.mesh(), loop_.delays()) +
         write_metrics_.Text() +
         HttpMetricsText({server_.get(), &metrics_server_->http()}, buffers_);
}

void ControlDaemon::RequestDrain() {
  loop_.PostEvent(PoolDrainRequested());
}

void ControlDaemon::OnHttpRequest(RequestToken token,
                                  const HttpRequest& request) {
  ControlRequest decoded = HttpReply{};
  try {
    decoded = control_.Decode(request);
  } catch (const std::exception& error) {
    decoded = RejectUndecodableRequest(request.path, error);
  }
  // An HttpReply means that the request was rejected.
  if (const auto* reply = std::get_if<HttpReply>(&decoded)) {
    WriteLog({LogLevel::kWarning,
              "request_refused",
              {{"path", request.path.substr(0, kMaxLoggedPathBytes)},
               {"status", std::to_string(reply->status)},
               {"answer", reply->body}}});
    server_->Respond(token, *reply);
  } else if (const auto* reported = std::get_if<WorkerReported>(&decoded)) {
    const std::string id = reported->report.id();
    const bool accepted = MayKnowWorker(board_, id);
    RunStep(*reported);
    server_->Respond(token, accepted
                                ? control_.EncodeReportAccepted(ReportAddress(
                                      board_, id, ReadBootClock().mono))
                                : control_.EncodeRetryLater());
  } else if (const auto* deregistered = std::get_if<WorkerLeft>(&decoded)) {
    RunStep(*deregistered);
    server_->Respond(token, control_.EncodeDeregistered());
  } else if (board_.drained) {
    server_->Respond(token, control_.EncodeRetryLater());
  } else if (auto* change = std::get_if<RoutingChangeRequested>(&decoded)) {
    change->token = token;
    RunStep(*change);
  } else {
    RunStep(RoutingRequested{token});
  }
}

void ControlDaemon::RunStep(const PoolEvent& event) {
  PoolActions actions;
  HandlePoolEvent(board_, event, ReadBootClock(), actions);
  if (board_.draining) {
    // The next requests of workers and operators go to other daemons.
    server_->CloseAfterReplies();
  }
  Perform(actions);
}

void ControlDaemon::Perform(PoolActions& actions) {
  for (PoolAction& action : actions) {
    std::visit([this](auto& one) { PerformOne(one); }, action);
  }
}

void ControlDaemon::PerformOne(SendMessage& action) {
  loop_.Send(action);
}

void ControlDaemon::PerformOne(SendOrder& action) {
  loop_.Send(action);
}

// Not used by control daemons: they have no connections to callers.
void ControlDaemon::PerformOne(ReplyJob& /*action*/) {}

void ControlDaemon::PerformOne(ReplyChange& action) {
  const bool durable = action.result == ChangeResult::kDurable;
  server_->Respond(action.token, durable ? control_.EncodeChangeDurable()
                                         : control_.EncodeRetryLater());
}

void ControlDaemon::PerformOne(ReplyRead& action) {
  const wire::Routing& routing = board_.agreement.committed.routing();
  server_->Respond(action.token, action.newest
                                     ? control_.EncodeConfiguration(routing)
                                     : control_.EncodeRetryLater());
}

void ControlDaemon::PerformOne(PersistRegister& action) {
  file_->Write(action.stored, action.sequence);
}

void ControlDaemon::PerformOne(LogEvent& action) {
  WriteLog(action);
}

void ControlDaemon::Run() {
  PoolLoopHandlers<PoolEvent> handlers;
  handlers.on_event = [this](const PoolEvent& event) { RunStep(event); };
  handlers.on_tick = [this] {
    if (on_tick_) {
      on_tick_(board_.mesh, ReadBootClock().mono);
    }
    RunStep(PoolTimeAdvanced());
  };
  handlers.on_events_handled = [this] {
    PoolActions actions;
    PlaceTasks(board_, ReadBootClock(), actions);
    Perform(actions);
  };
  handlers.servers = {server_.get()};
  if (metrics_server_) {
    handlers.servers.push_back(&metrics_server_->http());
  }
  handlers.close_stale = [&handlers](Micros now) {
    for (HttpServer* server : handlers.servers) {
      server->CloseStale(now);
    }
  };
  handlers.is_drained = [this] { return board_.drained; };
  handlers.answer_waiting = [this] { AnswerWaitingRequests(); };
  loop_.Run({options_.tick_period, kReplyFlushTime}, handlers);
}

void ControlDaemon::AnswerWaitingRequests() {
  LogConnectionsAtStop("control", server_->CountConnections());
  server_->RespondToAllWaiting(control_.EncodeRetryLater());
}

}  // namespace goldcrest
