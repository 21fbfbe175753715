#include "pool/entry/entry.h"

#include <algorithm>
#include <utility>

#include "pool/admission/job_admission.h"
#include "pool/admission/retry_after.h"
#include "pool/entry/cancel_requests.h"
#include "pool/entry/daemon_choice.h"
#include "pool/entry/entry_stop.h"
#include "pool/entry/pending_jobs.h"
#include "pool/entry/standby.h"
#include "pool/jobs/job_end.h"
#include "pool/jobs/pool_jobs.h"
#include "pool/mesh/mesh_orders.h"
#include "pool/placement/pool_placement.h"
#include "pool/pool_step.h"
#include "pool/queue_key.h"
#include "pool/workers/crash_news.h"
#include "pool/workers/open_run_news.h"
#include "pool/workers/worker_ownership.h"
#include "pool/workers/worker_roster.h"
#include "pool/workers/worker_session.h"

namespace goldcrest {
namespace {

using detail::ChooseDaemon;
using detail::HandleJobEnd;
using detail::HandleJobForwarded;
using detail::HandlePermissionRequest;
using detail::HoldJob;
using detail::MayHoldJobs;
using detail::RefusalDelayMs;
using detail::Reply;
using detail::RequestCancel;
using detail::SendOrderTo;

void RefuseCaller(EntryBoard& board,
                  const CallerJob& job,
                  const std::string& reason,
                  Micros now,
                  PoolActions& actions) {
  LogPoolEvent(actions, LogLevel::kWarning, "job_refused",
               {{"job", job.job_id},
                {"queue", job.queue},
                {"reason", reason},
                {"configuration", std::to_string(board.routing.version())}});
  Reply(board, job.token, wire::JOB_REFUSED,
        RefusalDelayMs(board, job.job_id, now), actions);
}

wire::JobOrder MakeOrder(const EntryBoard& board,
                         const CallerJob& job,
                         const wire::Queue& queue,
                         uint64_t number) {
  wire::JobOrder order;
  order.set_order(number);
  order.set_job_id(job.job_id);
  order.set_queue(QueueKey(queue));
  order.set_service(queue.service());
  order.set_spec(job.spec);
  for (const wire::JobStep& step : job.steps) {
    *order.add_steps() = step;
  }
  order.set_priority(queue.priority());
  order.set_max_attempts(queue.max_attempts());
  order.set_stretch(queue.stretch());
  order.set_target_ms(queue.target_ms());
  order.set_entry(board.pool.mesh.options.self);
  order.set_entry_incarnation(board.pool.mesh.options.incarnation);
  return order;
}

// Returns the time that the job's caller waits for its outcome.
Micros BudgetOf(const CallerJob& job, const wire::Queue& queue) {
  const int64_t budget_ms = job.caller_timeout_ms > 0
                                ? job.caller_timeout_ms
                                : static_cast<int64_t>(queue.timeout_ms());
  return budget_ms * kMillisecond;
}

void Handle(EntryBoard& board,
            const CallerJob& job,
            Micros now,
            PoolActions& actions) {
  ++board.counters.received;
  board.last_request_at = now;
  if (board.drained) {
    RefuseCaller(board, job, "draining", now, actions);
    return;
  }
  if (now < board.refuse_until) {
    RefuseCaller(board, job, "process_was_paused", now, actions);
    return;
  }
  const wire::Queue* queue = FindQueueByKey(board.routing, job.queue);
  if (queue == nullptr) {
    RefuseCaller(board, job, "no_such_queue_now", now, actions);
    return;
  }
  if (!job.unsupported.empty()) {
    RefuseCaller(board, job, "unsupported_" + job.unsupported, now, actions);
    return;
  }
  const uint64_t number = board.next_order;
  const wire::JobOrder order = MakeOrder(board, job, *queue, number);
  const Micros received_at = now - job.held_for;
  const Micros deadline = received_at + BudgetOf(job, *queue);
  if (!detail::MayTakeJob(board, order, deadline, now)) {
    RefuseCaller(board, job, "draining", now, actions);
    return;
  }
  const auto daemon = ChooseDaemon(board, order, {}, now);
  if (!daemon && !MayHoldJobs(board, now)) {
    RefuseCaller(board, job, "no_control_daemon", now, actions);
    return;
  }
  ++board.next_order;
  PendingJob& pending = board.pending[number];
  pending.order_number = number;
  pending.token = job.token;
  pending.job_id = job.job_id;
  pending.queue = job.queue;
  pending.received_at = received_at;
  pending.deadline = deadline;
  pending.message = order;
  board.order_number_of_token[job.token] = number;
  board.order_number_of_job[JobKeyInQueue(job.queue, job.job_id)] = number;
  if (daemon) {
    SendOrderTo(board, pending, *daemon, now, actions);
  } else {
    HoldJob(board, pending, now, actions);
  }
}

// Counts and logs a request that the edge has rejected; no reply is sent from
// here.
void Handle(EntryBoard& board,
            const RequestRejected& rejected,
            Micros /*now*/,
            PoolActions& actions) {
  ++board.counters.received;
  ++board.counters.answered["turned_away"];
  LogPoolEvent(actions, LogLevel::kWarning, "job_refused",
               {{"job", rejected.job_id},
                {"queue", ""},
                {"reason", rejected.reason},
                {"configuration", std::to_string(board.routing.version())}});
}

void Handle(EntryBoard& board,
            const CallerDisconnected& disconnected,
            Micros now,
            PoolActions& actions) {
  const auto found = board.order_number_of_token.find(disconnected.token);
  if (found == board.order_number_of_token.end()) {
    return;
  }
  PendingJob& job = board.pending.at(found->second);
  board.order_number_of_token.erase(found);
  job.token = kNoToken;
  LogPoolEvent(actions, LogLevel::kInfo, "caller_left",
               {{"job", job.job_id}, {"control", job.control_address}});
  RequestCancel(board, job, now, actions);
}

void Handle(EntryBoard& board,
            const CancelRequested& request,
            Micros now,
            PoolActions& actions) {
  const auto found = board.order_number_of_job.find(
      JobKeyInQueue(request.queue, request.job_id));
  if (found == board.order_number_of_job.end()) {
    detail::RequestCancelElsewhere(board, request, now, actions);
    return;
  }
  PendingJob& job = board.pending.at(found->second);
  job.cancel_tokens.push_back(request.token);
  LogPoolEvent(actions, LogLevel::kInfo, "cancel_asked",
               {{"job", job.job_id}, {"control", job.control_address}});
  RequestCancel(board, job, now, actions);
}

// Adopts a configuration that is newer than the present one.
void HandleRouting(EntryBoard& board,
                   const wire::Routing& routing,
                   PoolActions& actions) {
  if (routing.version() <= board.routing.version()) {
    return;
  }
  LogPoolEvent(actions, LogLevel::kInfo, "configuration_in_force",
               {{"version", std::to_string(routing.version())},
                {"before", std::to_string(board.routing.version())},
                {"queues", std::to_string(routing.queues_size())}});
  board.routing = routing;
  board.pool.mesh.routing_version = routing.version();
  board.pool.mesh.routing_source.clear();
}

void Handle(EntryBoard& board,
            const EntryMessageReceived& event,
            Micros now,
            PoolActions& actions) {
  const wire::PoolMessage& message = event.message;
  RecordContact(board.pool.mesh, message.from(), message.incarnation(), now);
  if (message.has_presence()) {
    const MemberChange change =
        OnMeshHeartbeat(board.pool.mesh, message.from(), message.incarnation(),
                        message.presence(), now, actions);
    if (board.routing.version() == 0 &&
        message.presence().routing_version() > 0) {
      // The next heartbeat requests the configuration.
      board.pool.mesh.next_heartbeat_at = now;
    }
    if (change != MemberChange::kNone) {
      LogPoolEvent(actions, LogLevel::kInfo, "control_daemon_seen",
                   {{"address", message.from()},
                    {"incarnation", std::to_string(message.incarnation())}});
      SendWorkerTable(board.pool, message.from(), now, actions);
      SendCrashLedger(board.pool, message.from(), now, actions);
      SendOpenRuns(board.pool, message.from(), now, actions);
    }
  } else if (message.has_worker_news()) {
    OnWorkerUpdate(board.pool, message.from(), message.worker_news(), now,
                   actions);
  } else if (message.has_crash_news()) {
    OnCrashNews(board.pool, message.crash_news(), now, actions);
    AnswerDelivery(message, true, actions);
  } else if (message.has_open_run_news()) {
    OnOpenRunNews(board.pool, {message.from(), message.incarnation()},
                  message.open_run_news(), now, actions);
    AnswerDelivery(message, true, actions);
  } else if (message.has_worker_request()) {
    OnHandoverRequest(board.pool, message.from(), message.worker_request(), now,
                      actions);
  } else if (message.has_job_order()) {
    OnJobOrder(board.pool, message.job_order(), now, actions);
  } else if (message.has_job_cancel()) {
    const bool cancelled =
        OnJobCancel(board.pool, message.job_cancel(), now, actions);
    AnswerDelivery(message, cancelled, actions);
  } else if (message.has_delivered()) {
    const uint64_t number = OnDelivered(board.pool, message.delivered());
    detail::OnCancelAnswered(board, number, message.delivered(), now, actions);
  } else if (message.has_routing()) {
    HandleRouting(board, message.routing(), actions);
  } else if (message.has_job_ask()) {
    HandlePermissionRequest(board, message, now, actions);
  } else if (message.has_job_go()) {
    OnStartPermitted(board.pool, message.from(), message.job_go());
  } else if (message.has_job_moved()) {
    HandleJobForwarded(board, message.job_moved(), now, actions);
  } else if (message.has_job_end()) {
    HandleJobEnd(board, message.job_end(), now, actions);
    AnswerDelivery(message, true, actions);
  }
}

void Handle(EntryBoard& board,
            const EntryDrainRequested& /*event*/,
            Micros now,
            PoolActions& actions) {
  detail::RequestStop(board, now, actions);
}

void Handle(EntryBoard& board,
            const WorkerAnswer& answer,
            Micros now,
            PoolActions& actions) {
  OnWorkerAnswer(board.pool, answer, now, actions);
}

void Handle(EntryBoard&, const EntryTimeAdvanced&, Micros, PoolActions&) {}

// Advances the clocks of the board, and refuses new jobs for a while after a
// pause of the process.
void BeginStep(EntryBoard& board, StepTime now, PoolActions& actions) {
  board.pool.wall_ms = now.wall_ms;
  // MakeEntryBoard() has no clock, so last_step_at is 0 in the first step.
  if (board.pool.last_step_at != 0 &&
      HandleProcessPause(board.pool, now.mono, actions)) {
    board.refuse_until = now.mono + board.options.refuse_after_pause;
  }
  board.pool.last_step_at = now.mono;
}

// Returns the first order number of an entry daemon that started at this time,
// in milliseconds. No daemon takes a million jobs a second, so a restarted one
// uses no number of its earlier process: messages about the orders of that are
// recognized, whatever their age.
uint64_t FirstOrderNumber(uint64_t incarnation) {
  return 1024 * incarnation + 1;
}

}  // namespace

EntryBoard MakeEntryBoard(const EntryOptions& options,
                          const MeshOptions& mesh) {
  EntryBoard board;
  board.options = options;
  board.pool.options.features = options.features;
  board.pool.options.crashes = options.crashes;
  board.pool.options.late_orders = options.late_orders;
  board.pool.mesh = MakeMesh(mesh);
  board.pool.mesh.options.standby_after = options.features.standby_after;
  board.next_order = FirstOrderNumber(mesh.incarnation);
  return board;
}

void HandleEntryEvent(EntryBoard& board,
                      const EntryEvent& event,
                      StepTime now,
                      PoolActions& actions) {
  BeginStep(board, now, actions);
  std::visit(
      [&](const auto& concrete_event) {
        Handle(board, concrete_event, now.mono, actions);
      },
      event);
  if (std::holds_alternative<EntryTimeAdvanced>(event)) {
    detail::ResolveFailedJobs(board, now.mono, actions);
    detail::SendHeldJobs(board, now.mono, actions);
    detail::ResendCancels(board, now.mono, actions);
    detail::CancelRequestsTick(board, now.mono, actions);
    detail::StopTick(board, now.mono, actions);
    detail::KeepFullHeartbeatRate(board, now.mono, actions);
    StandbyTick(board.pool, now.mono, actions);
    RunDuePoolWork(board.pool, now.mono, actions);
    MeshTick(board.pool.mesh, now.mono, actions);
  }
}

void PlaceEntryTasks(EntryBoard& board, StepTime now, PoolActions& actions) {
  BeginStep(board, now, actions);
  PlaceWaitingTasks(board.pool, now.mono, actions);
}

void EntryStep(EntryBoard& board,
               const EntryEvent& event,
               StepTime now,
               PoolActions& actions) {
  HandleEntryEvent(board, event, now, actions);
  PlaceEntryTasks(board, now, actions);
}

bool IsReady(const EntryBoard& board, Micros now) {
  return !board.draining && board.routing.version() > 0 &&
         (ChooseControl(board.pool.mesh, now).has_value() ||
          HasReadyWorkers(board.pool));
}

size_t CountPendingJobs(const EntryBoard& board, const std::string& queue) {
  return static_cast<size_t>(std::count_if(
      board.pending.begin(), board.pending.end(),
      [&](const auto& entry) { return entry.second.queue == queue; }));
}

}  // namespace goldcrest
