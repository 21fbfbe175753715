#include "pool/entry.h"

#include <algorithm>
#include <utility>

#include "pool/job_admission.h"
#include "pool/pool_jobs.h"
#include "pool/pool_placement.h"
#include "pool/pool_step.h"
#include "pool/standby.h"
#include "pool/worker_roster.h"
#include "pool/worker_session.h"

namespace goldcrest {
namespace {

const wire::Queue* QueueByName(const wire::Routing& routing,
                               const std::string& name) {
  for (const wire::Queue& queue : routing.queues()) {
    if (queue.name() == name) {
      return &queue;
    }
  }
  return nullptr;
}

// Counts the outcome and answers the request, if its caller is still connected.
void Reply(EntryBoard& board,
           ReplyToken token,
           wire::JobFate fate,
           int64_t retry_after_ms,
           PoolActions& actions) {
  ++board.counters.answered[std::string(ToString(fate))];
  if (token != kNoToken) {
    actions.emplace_back(ReplyJob{token, fate, retry_after_ms});
  }
}

void RefuseCaller(EntryBoard& board,
                  const CallerJob& job,
                  const std::string& reason,
                  PoolActions& actions) {
  LogPoolEvent(actions, LogLevel::kWarning, "job_refused",
               {{"job", job.job_id},
                {"queue", job.queue},
                {"reason", reason},
                {"configuration", std::to_string(board.routing.version())}});
  Reply(board, job.token, wire::JOB_REFUSED, board.options.retry_after_ms,
        actions);
}

void SendCancel(const EntryBoard& board,
                const PendingJob& job,
                PoolActions& actions) {
  wire::PoolMessage message;
  wire::JobCancel& cancel = *message.mutable_job_cancel();
  cancel.set_order(job.order_number);
  cancel.set_job_id(job.job_id);
  cancel.set_entry(board.pool.mesh.options.self);
  SendTo(actions, job.control_address, std::move(message));
}

// Answers the caller of a pending job and removes the job.
void Finish(EntryBoard& board,
            uint64_t order_number,
            wire::JobFate fate,
            const std::string& reason,
            int64_t retry_after_ms,
            Micros now,
            PoolActions& actions) {
  const auto found = board.pending.find(order_number);
  if (found == board.pending.end()) {
    return;
  }
  const PendingJob job = std::move(found->second);
  board.pending.erase(found);
  board.order_number_of_token.erase(job.token);
  const auto by_id = board.order_number_of_job.find(job.job_id);
  if (by_id != board.order_number_of_job.end() &&
      by_id->second == order_number) {
    board.order_number_of_job.erase(by_id);
  }
  LogPoolEvent(
      actions,
      fate == wire::JOB_COMPLETED ? LogLevel::kInfo : LogLevel::kWarning,
      "job_answered",
      {{"job", job.job_id},
       {"queue", job.queue},
       {"control", job.control_address},
       {"outcome", std::string(ToString(fate))},
       {"reason", reason},
       {"took_ms", std::to_string((now - job.received_at) / kMillisecond)}});
  board.observations.push_back({job.queue, fate, now - job.received_at});
  Reply(board, job.token, fate, retry_after_ms, actions);
  for (const ReplyToken token : job.cancel_tokens) {
    actions.emplace_back(ReplyJob{token, fate, 0, true});
  }
}

// Requests the control daemon to cancel a pending job, and schedules the next
// repetition. The request is repeated until the job's outcome is known.
void RequestCancel(const EntryBoard& board,
                   PendingJob& job,
                   Micros now,
                   PoolActions& actions) {
  job.cancelling = true;
  job.cancel_due = now + board.options.cancel_retry_delay;
  SendCancel(board, job, actions);
}

wire::JobOrder MakeOrder(const EntryBoard& board,
                         const CallerJob& job,
                         const wire::Queue& queue,
                         uint64_t number) {
  wire::JobOrder order;
  order.set_order(number);
  order.set_job_id(job.job_id);
  order.set_queue(queue.name());
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

// Sends a pending job to a control daemon.
void SendOrderTo(EntryBoard& board,
                 PendingJob& pending,
                 const std::string& control,
                 Micros now,
                 PoolActions& actions) {
  const auto found = board.pool.mesh.members.find(control);
  if (found != board.pool.mesh.members.end()) {
    AddSentJob(board, pending.message, found->second);
  }
  const MeshMember member =
      found == board.pool.mesh.members.end() ? MeshMember() : found->second;
  const int64_t left_ms =
      std::max<int64_t>((pending.deadline - now) / kMillisecond, 0);
  SwitchToFullRate(board.pool.mesh, control, now, actions);
  pending.control_address = control;
  pending.control_incarnation = member.incarnation;
  pending.message.set_seen_sequence(
      NewestHeartbeatSequence(board.pool.mesh, control));
  pending.message.set_budget_ms(static_cast<uint32_t>(left_ms));
  if (board.options.features.move_waiting_jobs) {
    pending.message.set_permits_by_move(true);
    pending.message.set_waited_ms(
        static_cast<uint32_t>((now - pending.received_at) / kMillisecond));
  }
  wire::PoolMessage message;
  *message.mutable_job_order() = pending.message;
  SendTo(actions, control, std::move(message));
  LogPoolEvent(
      actions, LogLevel::kInfo, "job_sent",
      {{"job", pending.job_id},
       {"queue", pending.queue},
       {"control", control},
       {"heard_ms_ago",
        std::to_string((now - member.last_received_at) / kMillisecond)},
       {"configuration", std::to_string(board.routing.version())},
       {"budget_ms", std::to_string(left_ms)},
       {"tried", std::to_string(pending.tried_controls.size())}});
}

void Handle(EntryBoard& board,
            const CallerJob& job,
            Micros now,
            PoolActions& actions) {
  ++board.counters.received;
  board.last_request_at = now;
  const bool closed_for_jobs =
      board.draining &&
      now - board.drain_started_at > board.options.drain_accept_time;
  if (board.drained || closed_for_jobs) {
    RefuseCaller(board, job, "draining", actions);
    return;
  }
  if (now < board.refuse_until) {
    RefuseCaller(board, job, "process_was_paused", actions);
    return;
  }
  const wire::Queue* queue = QueueByName(board.routing, job.queue);
  if (queue == nullptr) {
    RefuseCaller(board, job, "no_such_queue_now", actions);
    return;
  }
  if (!job.unsupported.empty()) {
    RefuseCaller(board, job, "unsupported_" + job.unsupported, actions);
    return;
  }
  wire::JobOrder order = MakeOrder(board, job, *queue, board.next_order);
  std::optional<std::string> control = ChooseControlForOrder(board, order, now);
  if (!control && HasReadyWorkers(board.pool)) {
    // This daemon is a standby and orders workers itself.
    control = board.pool.mesh.options.self;
  }
  if (!control) {
    RefuseCaller(board, job, "no_control_daemon", actions);
    return;
  }
  const int64_t budget_ms = job.caller_timeout_ms > 0
                                ? job.caller_timeout_ms
                                : static_cast<int64_t>(queue->timeout_ms());
  const uint64_t number = board.next_order++;
  PendingJob& pending = board.pending[number];
  pending.order_number = number;
  pending.token = job.token;
  pending.job_id = job.job_id;
  pending.queue = job.queue;
  pending.received_at = now;
  pending.deadline = now + budget_ms * kMillisecond;
  pending.message = std::move(order);
  board.order_number_of_token[job.token] = number;
  board.order_number_of_job[job.job_id] = number;
  SendOrderTo(board, pending, *control, now, actions);
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
  const auto found = board.order_number_of_job.find(request.job_id);
  if (found == board.order_number_of_job.end()) {
    // The job may belong to another entry daemon, so the cancellation is sent
    // to all reachable control daemons.
    PendingJob job;
    job.job_id = request.job_id;
    for (const auto& [address, member] : board.pool.mesh.members) {
      if (member.last_heartbeat.control() &&
          IsPeerReachable(board.pool.mesh, address, now)) {
        job.control_address = address;
        SendCancel(board, job, actions);
      }
    }
    actions.emplace_back(
        ReplyJob{request.token, wire::JOB_FATE_UNSPECIFIED, 0, true});
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

// Records that the control daemon has forwarded a job to another one, or that
// this one confirms it.
void HandleJobForwarded(EntryBoard& board,
                        const wire::PoolMessage& message,
                        Micros now,
                        PoolActions& actions) {
  const wire::JobMoved& moved = message.job_moved();
  const auto found = board.pending.find(moved.order());
  if (found == board.pending.end() ||
      !ApplyJobMoved(found->second, moved, message.from(), now)) {
    return;
  }
  PendingJob& job = found->second;
  const auto member = board.pool.mesh.members.find(moved.to());
  if (member == board.pool.mesh.members.end()) {
    return;
  }
  SwitchToFullRate(board.pool.mesh, moved.to(), now, actions);
  job.control_address = moved.to();
  job.control_incarnation = member->second.incarnation;
  if (job.cancelling && message.from() == moved.to()) {
    RequestCancel(board, job, now, actions);
  }
}

// Gives a pending job a new order number, so that later messages of its
// previous control daemon about it are ignored.
PendingJob& Renumber(EntryBoard& board, uint64_t order_number) {
  auto node = board.pending.extract(order_number);
  const uint64_t number = board.next_order++;
  node.key() = number;
  PendingJob& job = node.mapped();
  job.order_number = number;
  job.message.set_order(number);
  job.message.set_moves(0);
  job.start_permitted = false;
  job.transfer_since = 0;
  if (job.token != kNoToken) {
    board.order_number_of_token[job.token] = number;
  }
  board.order_number_of_job[job.job_id] = number;
  board.pending.insert(std::move(node));
  return board.pending.at(number);
}

// Sends a pending job to another control daemon. The present one must not have
// accepted the job, or must not have its start permission. Returns false if
// there is no other control daemon.
bool ResendToAnotherControl(EntryBoard& board,
                            uint64_t order_number,
                            const std::string& reason,
                            Micros now,
                            PoolActions& actions) {
  const auto found = board.pending.find(order_number);
  if (found == board.pending.end()) {
    return false;
  }
  const std::string before = found->second.control_address;
  found->second.tried_controls.insert(before);
  const auto control = ChooseControlForOrder(board, found->second.message, now,
                                             found->second.tried_controls);
  if (!control) {
    return false;
  }
  PendingJob& job = Renumber(board, order_number);
  ++board.counters.moved;
  LogPoolEvent(actions, LogLevel::kInfo, "job_moved",
               {{"job", job.job_id}, {"before", before}, {"reason", reason}});
  SendOrderTo(board, job, *control, now, actions);
  return true;
}

// Handles a request for a start permission. The permission is given unless the
// job has ended, is being cancelled or has been sent again under a new order
// number. A control daemon that asks under the present number holds the job: it
// was sent or forwarded to it.
void HandlePermissionRequest(EntryBoard& board,
                             const wire::PoolMessage& message,
                             Micros now,
                             PoolActions& actions) {
  const wire::JobAsk& ask = message.job_ask();
  const auto found = board.pending.find(ask.order());
  if (found == board.pending.end() || found->second.job_id != ask.job_id()) {
    PendingJob job;
    job.order_number = ask.order();
    job.job_id = ask.job_id();
    job.control_address = message.from();
    SendCancel(board, job, actions);
    return;
  }
  PendingJob& job = found->second;
  if (ask.moves() < job.message.moves()) {
    return;  // sent before the job was moved from there
  }
  job.message.set_moves(ask.moves());
  job.control_address = message.from();
  job.control_incarnation = message.incarnation();
  if (job.cancelling) {
    RequestCancel(board, job, now, actions);
    return;
  }
  job.start_permitted = true;
  job.transfer_since = 0;
  wire::PoolMessage answer;
  answer.mutable_job_go()->set_order(job.order_number);
  answer.mutable_job_go()->set_job_id(job.job_id);
  answer.mutable_job_go()->set_moves(ask.moves());
  SendTo(actions, job.control_address, std::move(answer));
}

// Handles the outcome of a job as reported by its control daemon.
void HandleJobEnd(EntryBoard& board,
                  const wire::JobEnd& end,
                  Micros now,
                  PoolActions& actions) {
  const auto found = board.pending.find(end.order());
  const bool cancelling =
      found != board.pending.end() && found->second.cancelling;
  const bool not_accepted =
      end.fate() == wire::JOB_REFUSED && end.try_elsewhere();
  if (not_accepted && cancelling) {
    Finish(board, end.order(), wire::JOB_CANCELLED, "never_taken", 0, now,
           actions);
    return;
  }
  if (not_accepted &&
      ResendToAnotherControl(board, end.order(), end.reason(), now, actions)) {
    return;
  }
  Finish(board, end.order(), end.fate(), end.reason(), end.retry_after_ms(),
         now, actions);
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
      SendWorkerTable(board.pool, message.from(), actions);
    }
  } else if (message.has_worker_news()) {
    OnWorkerUpdate(board.pool, message.from(), message.worker_news(), now,
                   actions);
  } else if (message.has_worker_request()) {
    OnHandoverRequest(board.pool, message.worker_request(), now, actions);
  } else if (message.has_job_order()) {
    OnJobOrder(board.pool, message.job_order(), now, actions);
  } else if (message.has_job_cancel()) {
    OnJobCancel(board.pool, message.job_cancel(), now, actions);
  } else if (message.has_routing()) {
    HandleRouting(board, message.routing(), actions);
  } else if (message.has_job_ask()) {
    HandlePermissionRequest(board, message, now, actions);
  } else if (message.has_job_go()) {
    OnStartPermitted(board.pool, message.from(), message.job_go());
  } else if (message.has_job_moved()) {
    HandleJobForwarded(board, message, now, actions);
  } else if (message.has_job_end()) {
    HandleJobEnd(board, message.job_end(), now, actions);
  }
}

void Handle(EntryBoard& board,
            const EntryDrainRequested& /*event*/,
            Micros now,
            PoolActions& actions) {
  if (board.draining) {
    return;
  }
  board.draining = true;
  board.pool.draining = true;
  board.pool.mesh.draining = true;
  board.drain_started_at = now;
  LogPoolEvent(actions, LogLevel::kInfo, "drain_started",
               {{"jobs", std::to_string(board.pending.size())}});
}

void Handle(EntryBoard& board,
            const WorkerAnswer& answer,
            Micros now,
            PoolActions& actions) {
  OnWorkerAnswer(board.pool, answer, now, actions);
}

void Handle(EntryBoard&, const EntryTimeAdvanced&, Micros, PoolActions&) {}

// Returns the reason to end a pending job or to send it to another control
// daemon: its time has passed, or its control daemon has restarted or is
// unreachable. Returns an empty string if there is none.
std::string FailureReason(const EntryBoard& board,
                          const PendingJob& job,
                          Micros now) {
  const Mesh& mesh = board.pool.mesh;
  if (now > job.deadline + board.options.answer_slack) {
    return "time_is_up";
  }
  if (job.transfer_since != 0 &&
      now - job.transfer_since > board.options.transfer_timeout) {
    return "transfer_unconfirmed";
  }
  if (job.control_address == mesh.options.self) {
    return "";
  }
  const auto member = mesh.members.find(job.control_address);
  if (member == mesh.members.end() ||
      member->second.incarnation != job.control_incarnation) {
    return "control_restarted";
  }
  return IsPeerReachable(mesh, job.control_address, now) ? ""
                                                         : "control_not_heard";
}

// Exchanges heartbeats at the full rate with all control daemons that have
// pending jobs of this daemon.
void KeepFullHeartbeatRate(EntryBoard& board,
                           Micros now,
                           PoolActions& actions) {
  for (const auto& [order_number, job] : board.pending) {
    SwitchToFullRate(board.pool.mesh, job.control_address, now, actions);
  }
}

// Sends to another control daemon, or ends, the jobs whose control daemon has
// restarted, is unreachable or does not answer in time.
void ResolveFailedJobs(EntryBoard& board, Micros now, PoolActions& actions) {
  std::vector<std::pair<uint64_t, std::string>> failed;
  for (const auto& [order_number, job] : board.pending) {
    std::string reason = FailureReason(board, job, now);
    if (!reason.empty()) {
      failed.emplace_back(order_number, std::move(reason));
    }
  }
  for (const auto& [order_number, reason] : failed) {
    const PendingJob& job = board.pending.at(order_number);
    // The control daemon may still receive messages and run the job.
    SendCancel(board, job, actions);
    if (job.start_permitted) {
      Finish(board, order_number, wire::JOB_UNKNOWN, reason, 0, now, actions);
    } else if (job.cancelling) {
      Finish(board, order_number, wire::JOB_CANCELLED, reason, 0, now, actions);
    } else if (now >= job.deadline ||
               !ResendToAnotherControl(board, order_number, reason, now,
                                       actions)) {
      Finish(board, order_number, wire::JOB_REFUSED, reason,
             board.options.retry_after_ms, now, actions);
    }
  }
}

// Sends unconfirmed cancellations again.
void ResendCancels(EntryBoard& board, Micros now, PoolActions& actions) {
  for (auto& [order_number, job] : board.pending) {
    if (job.cancelling && now >= job.cancel_due) {
      RequestCancel(board, job, now, actions);
    }
  }
}

void DrainTick(EntryBoard& board, Micros now, PoolActions& actions) {
  if (!board.draining || board.drained) {
    return;
  }
  const Micros since = now - board.drain_started_at;
  const bool done = board.pending.empty() &&
                    since > board.options.shortest_drain &&
                    now - board.last_request_at > board.options.drain_idle_time;
  if (done || since > board.options.longest_drain) {
    board.drained = true;
    LogPoolEvent(actions, LogLevel::kInfo, "drain_ended",
                 {{"jobs", std::to_string(board.pending.size())}});
  }
}

}  // namespace

EntryBoard MakeEntryBoard(const EntryOptions& options,
                          const MeshOptions& mesh) {
  EntryBoard board;
  board.options = options;
  board.pool.options.features = options.features;
  board.pool.mesh = MakeMesh(mesh);
  return board;
}

void EntryStep(EntryBoard& board,
               const EntryEvent& event,
               StepTime now,
               PoolActions& actions) {
  board.pool.wall_ms = now.wall_ms;
  // MakeEntryBoard() has no clock, so last_step_at is 0 in the first step.
  if (board.pool.last_step_at != 0 &&
      HandleProcessPause(board.pool, now.mono, actions)) {
    board.refuse_until = now.mono + board.options.refuse_after_pause;
  }
  board.pool.last_step_at = now.mono;
  std::visit(
      [&](const auto& concrete_event) {
        Handle(board, concrete_event, now.mono, actions);
      },
      event);
  if (std::holds_alternative<EntryTimeAdvanced>(event)) {
    ResolveFailedJobs(board, now.mono, actions);
    ResendCancels(board, now.mono, actions);
    DrainTick(board, now.mono, actions);
    KeepFullHeartbeatRate(board, now.mono, actions);
    StandbyTick(board.pool, now.mono, actions);
    RunDuePoolWork(board.pool, now.mono, actions);
    MeshTick(board.pool.mesh, now.mono, actions);
  }
  PlaceWaitingTasks(board.pool, now.mono, actions);
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
