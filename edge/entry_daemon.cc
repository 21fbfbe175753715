#include "edge/entry_daemon.h"

#include <string>
#include <utility>

#include <Poco/Exception.h>

#include "edge/caller_limits.h"
#include "edge/logging.h"
#include "pool/queue_key.h"

namespace goldcrest {
namespace {

// How long a drained daemon continues to send the remaining replies and to
// answer requests that arrive.
constexpr Micros kReplyFlushTime = 200 * kMillisecond;

}  // namespace

EntryDaemon::EntryDaemon(EntryDaemonOptions options,
                         const CallerProtocol& callers,
                         const WorkerProtocol& workers)
    : options_(std::move(options)),
      callers_(callers),
      board_(MakeEntryBoard(options_.entry, options_.mesh)),
      loop_(workers),
      buffers_(ShareForHttp(options_.machine).buffer_bytes) {
  board_.pool.options.max_known_workers = ShareForWorkers(options_.machine);
}

EntryDaemon::~EntryDaemon() = default;

tl::expected<void, std::string> EntryDaemon::Start() {
  const size_t connections = ShareForHttp(options_.machine).connections;
  try {
    server_ = std::make_unique<HttpServer>(
        loop_.sockets(), Poco::Net::SocketAddress(options_.callers_address),
        BoundedServerOptions("callers", connections - 2 * kPlatformConnections,
                             kDefaultMaxBodyBytes, buffers_),
        [this](RequestToken token, const HttpRequest& request) {
          OnCallerRequest(token, request);
        },
        [this](RequestToken token) {
          if (!held_.Remove(token)) {
            loop_.AddLocalEvent(CallerDisconnected{token});
          }
        });
    readiness_server_ = std::make_unique<HttpServer>(
        loop_.sockets(), Poco::Net::SocketAddress(options_.readiness_address),
        BoundedServerOptions("readiness", kPlatformConnections, 0, buffers_),
        [this](RequestToken token, const HttpRequest& request) {
          OnReadinessRequest(token, request);
        },
        [](RequestToken) {});
    if (!options_.metrics_address.empty()) {
      metrics_server_ = std::make_unique<MetricsServer>(
          loop_.sockets(), options_.metrics_address, buffers_,
          [this] { return FormatMetrics(); });
    }
    loop_.OpenMesh(
        {options_.mesh.self, options_.mesh_bind, options_.mesh.incarnation});
  } catch (const Poco::Exception& error) {
    return tl::make_unexpected(
        "cannot listen for callers, readiness probes or metrics: " +
        error.displayText());
  } catch (const zmq::error_t& error) {
    return tl::make_unexpected("cannot bind " + options_.mesh.self + ": " +
                               error.what());
  }
  return {};
}

std::string EntryDaemon::FormatMetrics() const {
  return metrics_.Text(board_, loop_.mesh(), loop_.delays()) +
         HttpMetricsText(
             {server_.get(), readiness_server_.get(), &metrics_server_->http()},
             buffers_);
}

void EntryDaemon::ApplyCallerLimits() {
  const wire::Routing& routing = board_.routing;
  if (routing.version() == limits_version_) {
    return;
  }
  limits_version_ = routing.version();
  const CallerLimits limits = CallerLimitsOf(routing, buffers_.limit());
  server_->SetLimits(limits.http, limits.header_timeout, limits.idle_timeout);
  WriteLog({LogLevel::kInfo,
            "caller_limits",
            {{"configuration", std::to_string(limits_version_)},
             {"max_header_bytes", std::to_string(limits.http.max_header_bytes)},
             {"max_body_bytes", std::to_string(limits.http.max_body_bytes)},
             {"header_timeout_ms",
              std::to_string(limits.header_timeout / kMillisecond)},
             {"idle_timeout_ms",
              std::to_string(limits.idle_timeout / kMillisecond)}}});
}

void EntryDaemon::RequestDrain() {
  loop_.PostEvent(EntryDrainRequested());
}

void EntryDaemon::OnReadinessRequest(RequestToken token,
                                     const HttpRequest& request) {
  HttpReply reply;
  reply.status = 404;
  if (callers_.IsReadinessProbe(request)) {
    reply.status = IsReady(board_, ReadBootClock().mono) ? 200 : 503;
  }
  readiness_server_->Respond(token, reply);
}

void EntryDaemon::OnCallerRequest(RequestToken token,
                                  const HttpRequest& request) {
  const Micros now = ReadBootClock().mono;
  UpdateOutage(outage_, board_, now);
  if (ShouldHold(outage_, board_, now, now) &&
      held_.Add({token, request, now})) {
    ++board_.counters.requests_held;
    return;
  }
  ServeCallerRequest(token, request, 0);
}

void EntryDaemon::ReleaseHeldRequests() {
  const Micros now = ReadBootClock().mono;
  UpdateOutage(outage_, board_, now);
  held_.Release(
      [&](const HeldRequest& held) {
        return ShouldHold(outage_, board_, held.received_at, now);
      },
      [&](const HeldRequest& held) {
        WriteLog({LogLevel::kInfo,
                  "held_request_released",
                  {{"held_ms",
                    std::to_string((now - held.received_at) / kMillisecond)},
                   {"can_serve", outage_.began_at == 0 ? "1" : "0"}}});
        ServeCallerRequest(held.token, held.request, now - held.received_at);
      });
}

void EntryDaemon::ServeCallerRequest(RequestToken token,
                                     const HttpRequest& request,
                                     Micros held_for) {
  CallerRequest decoded = RejectedCallerRequest{};
  try {
    decoded = callers_.Decode(request, board_.routing);
  } catch (const std::exception& error) {
    decoded =
        RejectedCallerRequest{RejectUndecodableRequest(request.path, error),
                              {"", "request_not_decoded"}};
  }
  if (const auto* rejected = std::get_if<RejectedCallerRequest>(&decoded)) {
    server_->Respond(token, rejected->reply);
    RunStep(rejected->rejection);
  } else if (auto* job = std::get_if<CallerJob>(&decoded)) {
    job->token = token;
    job->held_for = held_for;
    RunStep(*job);
  } else if (auto* cancel = std::get_if<CancelRequested>(&decoded)) {
    cancel->token = token;
    RunStep(*cancel);
  } else if (const auto* query = std::get_if<JobStateQuery>(&decoded)) {
    const bool known = board_.order_number_of_job.contains(
        JobKeyInQueue(query->queue, query->job_id));
    server_->Respond(token, callers_.EncodeJobState(known));
  } else {
    const auto& count = std::get<QueueCountQuery>(decoded);
    server_->Respond(token, callers_.EncodeQueueCount(
                                CountPendingJobs(board_, count.queue)));
  }
}

void EntryDaemon::RunStep(const EntryEvent& event) {
  PoolActions actions;
  HandleEntryEvent(board_, event, ReadBootClock(), actions);
  ApplyCallerLimits();
  if (board_.draining) {
    // The next requests of the callers go to other daemons.
    server_->CloseAfterReplies();
  }
  Perform(actions);
}

void EntryDaemon::RunPlacement() {
  PoolActions actions;
  PlaceEntryTasks(board_, ReadBootClock(), actions);
  Perform(actions);
}

void EntryDaemon::Perform(PoolActions& actions) {
  for (PoolAction& action : actions) {
    std::visit([this](auto& one) { PerformOne(one); }, action);
  }
  for (const JobObservation& observation : board_.observations) {
    metrics_.Observe(observation);
  }
  board_.observations.clear();
}

void EntryDaemon::PerformOne(SendMessage& action) {
  loop_.Send(action);
}

// Used while this daemon is the standby that orders workers itself.
void EntryDaemon::PerformOne(SendOrder& action) {
  loop_.Send(action);
}

void EntryDaemon::PerformOne(ReplyJob& action) {
  server_->Respond(action.token, callers_.EncodeJobReply(action));
}

// Entry daemons neither answer operators nor store the replicated state, so
// ReplyChange, ReplyRead and PersistRegister do not occur.
void EntryDaemon::PerformOne(ReplyChange& /*action*/) {}

void EntryDaemon::PerformOne(ReplyRead& /*action*/) {}

void EntryDaemon::PerformOne(PersistRegister& /*action*/) {}

void EntryDaemon::PerformOne(LogEvent& action) {
  WriteLog(action);
}

void EntryDaemon::Run() {
  PoolLoopHandlers<EntryEvent> handlers;
  handlers.on_event = [this](const EntryEvent& event) {
    RunStep(event);
    if (held_.size() > 0) {
      ReleaseHeldRequests();
    }
  };
  handlers.on_tick = [this] {
    if (on_tick_) {
      on_tick_(board_.pool.mesh, ReadBootClock().mono);
    }
    RunStep(EntryTimeAdvanced());
    ReleaseHeldRequests();
  };
  handlers.on_events_handled = [this] { RunPlacement(); };
  handlers.servers = {server_.get(), readiness_server_.get()};
  if (metrics_server_) {
    handlers.servers.push_back(&metrics_server_->http());
  }
  handlers.close_stale = [&handlers](Micros now) {
    for (HttpServer* server : handlers.servers) {
      server->CloseStale(now);
    }
  };
  handlers.is_drained = [this] { return board_.drained; };
  handlers.answer_waiting = [this] { AnswerWaitingCallers(); };
  loop_.Run({options_.tick_period, kReplyFlushTime}, handlers);
}

void EntryDaemon::AnswerWaitingCallers() {
  LogConnectionsAtStop("callers", server_->CountConnections());
  ReplyJob unknown;
  unknown.fate = wire::JOB_UNKNOWN;
  server_->RespondToAllWaiting(callers_.EncodeJobReply(unknown));
}

}  // namespace goldcrest
