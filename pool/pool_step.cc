#include "pool/pool_step.h"

#include <set>
#include <string>

#include "pool/admission/job_admission.h"
#include "pool/jobs/job_end.h"
#include "pool/jobs/pool_jobs.h"
#include "pool/load_report.h"
#include "pool/mesh/mesh_orders.h"
#include "pool/placement/pool_placement.h"
#include "pool/pool_stop.h"
#include "pool/workers/crash_limit.h"
#include "pool/workers/crash_news.h"
#include "pool/workers/open_run_news.h"
#include "pool/workers/run_ends.h"
#include "pool/workers/start_bindings.h"
#include "pool/workers/stragglers.h"
#include "pool/workers/worker_ownership.h"
#include "pool/workers/worker_record.h"
#include "pool/workers/worker_roster.h"
#include "pool/workers/worker_session.h"
#include "pool/workers/worker_table.h"

namespace goldcrest {
namespace {

// After the last jobs have ended, workers are released for this long.
constexpr Micros kReleaseTime = 100 * kMillisecond;

// Sends the configuration to the daemon at `to`, unless `known_version` is as
// new.
void OfferRouting(PoolBoard& board,
                  const std::string& to,
                  uint64_t known_version,
                  PoolActions& actions) {
  const wire::Routing& routing = board.agreement.committed.routing();
  if (routing.version() <= known_version) {
    return;
  }
  wire::PoolMessage message;
  *message.mutable_routing() = routing;
  message.mutable_routing()->clear_document();
  SendTo(actions, to, std::move(message));
}

void HandleHeartbeat(PoolBoard& board,
                     const wire::PoolMessage& message,
                     Micros now,
                     PoolActions& actions) {
  const wire::Presence& presence = message.presence();
  const MemberChange change =
      OnMeshHeartbeat(board.mesh, message.from(), message.incarnation(),
                      presence, now, actions);
  if (!presence.control()) {
    if (change != MemberChange::kNone) {
      SendWorkerTable(board, message.from(), now, actions);
      SendCrashLedger(board, message.from(), now, actions);
      SendOpenRuns(board, message.from(), now, actions);
    }
    if (presence.wants_routing()) {
      OfferRouting(board, message.from(), presence.routing_version(), actions);
    }
    return;
  }
  OnAgreementPeerHeartbeat(board.agreement, message.from(), presence, now);
  if (change != MemberChange::kNone) {
    LogPoolEvent(actions, LogLevel::kInfo, "control_daemon_seen",
                 {{"address", message.from()},
                  {"incarnation", std::to_string(message.incarnation())},
                  {"failure_domain", presence.failure_domain()}});
    SendWorkerTable(board, message.from(), now, actions);
    SendCrashLedger(board, message.from(), now, actions);
    SendOpenRuns(board, message.from(), now, actions);
    // The other one needs this daemon's state for an election, so it does not
    // wait for the next period.
    board.mesh.next_heartbeat_at = now;
  }
}

// Cancels a job, and names the other daemons that order workers: an entry
// daemon need not know a standby that has the job.
void HandleCancel(PoolBoard& board,
                  const wire::PoolMessage& message,
                  Micros now,
                  PoolActions& actions) {
  const bool had_effect =
      OnJobCancel(board, message.job_cancel(), now, actions);
  std::set<std::string> owners;
  if (message.delivery() != 0 && !had_effect) {
    for (const auto& [id, worker] : board.workers) {
      owners.insert(worker.status.owner());
    }
    owners.erase("");
  }
  AnswerDelivery(message, had_effect, actions, owners);
}

void Handle(PoolBoard& board,
            const PoolMessageReceived& event,
            Micros now,
            PoolActions& actions) {
  const wire::PoolMessage& message = event.message;
  const std::string& from = message.from();
  RecordContact(board.mesh, from, message.incarnation(), now);
  switch (message.body_case()) {
    case wire::PoolMessage::kPresence:
      HandleHeartbeat(board, message, now, actions);
      break;
    case wire::PoolMessage::kJobOrder:
      OnJobOrder(board, message.job_order(), now, actions);
      break;
    case wire::PoolMessage::kJobCancel:
      HandleCancel(board, message, now, actions);
      return;
    case wire::PoolMessage::kDelivered:
      OnDelivered(board, message.delivered());
      return;
    case wire::PoolMessage::kJobGo:
      OnStartPermitted(board, message.from(), message.job_go());
      break;
    case wire::PoolMessage::kWorkerNews:
      OnWorkerUpdate(board, from, message.worker_news(), now, actions);
      break;
    case wire::PoolMessage::kCrashNews:
      OnCrashNews(board, message.crash_news(), now, actions);
      AnswerDelivery(message, true, actions);
      break;
    case wire::PoolMessage::kOpenRunNews:
      OnOpenRunNews(board, {from, message.incarnation()},
                    message.open_run_news(), now, actions);
      AnswerDelivery(message, true, actions);
      break;
    case wire::PoolMessage::kWorkerRequest:
      OnHandoverRequest(board, from, message.worker_request(), now, actions);
      break;
    case wire::PoolMessage::kVoteRequest:
      OnVoteRequest(board.agreement, from, message.vote_request(), now,
                    actions);
      break;
    case wire::PoolMessage::kVoteReply:
      OnVoteReply(board.agreement, from, message.vote_reply(), now, actions);
      break;
    case wire::PoolMessage::kAppend:
      OnAppend(board.agreement, from, message.append(), now, actions);
      break;
    case wire::PoolMessage::kAppendReply:
      OnAppendReply(board.agreement, from, message.append_reply(), now,
                    actions);
      break;
    case wire::PoolMessage::kChangeForward:
      ProposeRouting(board.agreement, {message.change_forward().number(), from},
                     message.change_forward().routing(), now, actions);
      break;
    case wire::PoolMessage::kChangeAnswer:
      OnChangeAnswer(board.agreement, message.change_answer(), actions);
      break;
    case wire::PoolMessage::kVersionQuery:
      ReadRouting(board.agreement, {message.version_query().number(), from},
                  now, actions);
      break;
    case wire::PoolMessage::kVersionAnswer:
      OnVersionAnswer(board.agreement, message.version_answer(), actions);
      break;
    default:
      break;
  }
}

void Handle(PoolBoard& board,
            const WorkerReported& event,
            Micros now,
            PoolActions& actions) {
  OnWorkerReport(board, event.report, now, actions);
}

void Handle(PoolBoard& board,
            const WorkerLeft& event,
            Micros now,
            PoolActions& actions) {
  OnWorkerLeft(board, event.id, now, actions);
}

void Handle(PoolBoard& board,
            const WorkerAnswer& event,
            Micros now,
            PoolActions& actions) {
  OnWorkerAnswer(board, event, now, actions);
}

void Handle(PoolBoard& board,
            const RoutingChangeRequested& event,
            Micros now,
            PoolActions& actions) {
  ProposeRouting(board.agreement, {event.token, ""}, event.routing, now,
                 actions);
}

void Handle(PoolBoard& board,
            const RoutingRequested& event,
            Micros now,
            PoolActions& actions) {
  ReadRouting(board.agreement, {event.token, ""}, now, actions);
}

void Handle(PoolBoard& board,
            const RegisterStored& event,
            Micros now,
            PoolActions& actions) {
  OnRegisterStored(board.agreement, event.sequence, event.ok, now, actions);
}

void Handle(PoolBoard& board,
            const PoolDrainRequested& /*event*/,
            Micros now,
            PoolActions& actions) {
  if (board.draining) {
    return;
  }
  board.draining = true;
  AnnounceDrain(board.mesh, now, actions);
  board.drain_started_at = now;
  LogPoolEvent(actions, LogLevel::kInfo, "drain_started",
               {{"jobs", std::to_string(board.jobs.size())}});
}

void Handle(PoolBoard&, const PoolTimeAdvanced&, Micros, PoolActions&) {}

void DrainTick(PoolBoard& board, Micros now, PoolActions& actions) {
  if (!board.draining || board.drained) {
    return;
  }
  const Micros end_by =
      StopEndsBy(board.drain_started_at, board.options.stop_grace);
  const bool done = PoolStopTick(board, end_by, now, actions);
  if (done || now >= end_by + kReleaseTime) {
    board.drained = true;
    LogPoolEvent(actions, LogLevel::kInfo, "drain_ended",
                 {{"whole", done ? "1" : "0"},
                  {"jobs", std::to_string(board.jobs.size())},
                  {"workers", std::to_string(board.owned.size())}});
  }
}

}  // namespace

// After a pause of the process, its state about its workers may be out of date:
// leases may have expired and other daemons may have taken over the workers.
// The entry daemons have answered the callers of its jobs in the meantime. That
// no message was processed during the pause does not mean that the senders are
// unreachable, so the times of last receipt are moved by the pause.
bool HandleProcessPause(PoolBoard& board, Micros now, PoolActions& actions) {
  const Micros pause = now - board.last_step_at;
  board.last_step_at = now;
  if (pause < board.options.pause_threshold) {
    return false;
  }
  LogPoolEvent(actions, LogLevel::kWarning, "process_was_paused",
               {{"pause_ms", std::to_string(pause / kMillisecond)}});
  ExcludePauseFromTimeouts(board.mesh, pause);
  ExcludePauseFromElections(board.agreement, pause);
  std::vector<std::string> ending;
  for (const auto& [key, job] : board.jobs) {
    ending.push_back(key);
  }
  for (const std::string& key : ending) {
    EndAbandonedJob(board, key, "process_was_paused", now, actions);
  }
  for (auto& [id, worker] : board.workers) {
    worker.last_received_at += pause;
    if (worker.session != SessionState::kNone) {
      ReconcileWorker(board, worker, "process_was_paused", now, actions);
    }
  }
  return true;
}

void RunDuePoolWork(PoolBoard& board, Micros now, PoolActions& actions) {
  OwnershipTick(board, now, actions);
  ForgetGoneWorkers(board, now);
  JobsTick(board, now, actions);
  MoveStragglers(board, now, actions);
  ProfileTick(board, now, actions);
  CrashTick(board, now);
  OrphansTick(board, now);
  BindingsTick(board, now);
  OpenRunsTick(board, now, actions);
  MeshOrdersTick(board, now, actions);
  for (PoolWorker* worker : OwnedWorkers(board)) {
    SessionTick(board, *worker, now, actions);
  }
  board.placement_due = true;  // the ejection of a worker may have ended
  UpdateLoad(board, now);
}

PoolBoard MakePoolBoard(const PoolStartParams& start,
                        StepTime now,
                        PoolActions& actions) {
  PoolBoard board;
  board.options = start.options;
  board.mesh = MakeMesh(start.mesh);
  board.mesh.options.standby_after = start.options.features.standby_after;
  board.wall_ms = now.wall_ms;
  board.started_at = now.mono;
  board.last_step_at = now.mono;
  board.agreement =
      MakeAgreement(start.agreement, start.stored, start.first_start,
                    start.mesh.seeds, start.random_seed, now.mono, actions);
  board.mesh.store_id = board.agreement.stored.store_id();
  return board;
}

void HandlePoolEvent(PoolBoard& board,
                     const PoolEvent& event,
                     StepTime now,
                     PoolActions& actions) {
  board.wall_ms = now.wall_ms;
  HandleProcessPause(board, now.mono, actions);
  std::visit(
      [&](const auto& concrete_event) {
        Handle(board, concrete_event, now.mono, actions);
      },
      event);
  const bool is_tick = std::holds_alternative<PoolTimeAdvanced>(event);
  if (is_tick) {
    AgreementTick(board.agreement, now.mono, actions);
  } else {
    // A member that seems silent may have sent a message that is still unread.
    SendDueHeartbeats(board.agreement, now.mono, actions);
  }
  board.mesh.is_leader = board.agreement.role == AgreementRole::kLeader;
  board.mesh.write_time = WriteTimeOf(board.agreement, now.mono);
  board.mesh.is_writing = !board.agreement.writes.times.requested_at.empty();
  if (is_tick) {
    board.mesh.routing_version = board.agreement.committed.routing().version();
    RunDuePoolWork(board, now.mono, actions);
    DrainTick(board, now.mono, actions);
    MeshTick(board.mesh, now.mono, actions);
  }
}

void PlaceTasks(PoolBoard& board, StepTime now, PoolActions& actions) {
  board.wall_ms = now.wall_ms;
  HandleProcessPause(board, now.mono, actions);
  PlaceWaitingTasks(board, now.mono, actions);
}

void PoolStep(PoolBoard& board,
              const PoolEvent& event,
              StepTime now,
              PoolActions& actions) {
  HandlePoolEvent(board, event, now, actions);
  PlaceTasks(board, now, actions);
}

}  // namespace goldcrest
