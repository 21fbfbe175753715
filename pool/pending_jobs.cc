// The pending jobs of an entry daemon: how they are sent, sent again when their
// control daemon fails, held while no daemon can take them, and answered.

#include "pool/pending_jobs.h"

#include <algorithm>
#include <utility>

#include "pool/load_report.h"
#include "pool/retry_after.h"
#include "pool/standby.h"

namespace goldcrest::detail {
namespace {

// How long a job without a start permission is held while no daemon can take
// jobs, with PoolFeatures::standby_after. A standby has workers 0.2 s after the
// probes began.
constexpr Micros kMaxHold = 500 * kMillisecond;

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

bool HasQuickStandby(const EntryBoard& board) {
  return board.options.features.standby_after != 0;
}

// Returns the CPU demand, in thousandths of a core, of the steps that can start
// at once.
int64_t InitialCpuDemand(const wire::JobOrder& order) {
  int64_t cpu = 0;
  for (const wire::JobStep& step : order.steps()) {
    if (step.after_size() == 0) {
      cpu += static_cast<int64_t>(step.tasks()) * step.cpu_millis();
    }
  }
  return cpu;
}

// Returns the entry daemon with the most free capacity, of those that order
// workers; nullopt if there is none.
std::optional<std::string> ChooseStandby(const Mesh& mesh,
                                         const std::set<std::string>& tried,
                                         Micros now) {
  std::optional<std::string> best;
  int64_t best_free = 0;
  for (const auto& [address, member] : mesh.members) {
    const wire::Presence& heartbeat = member.last_heartbeat;
    const bool eligible = !heartbeat.control() && !heartbeat.draining() &&
                          heartbeat.load().workers() > 0 &&
                          IsLoadFresh(member, now) && !tried.contains(address);
    if (eligible && (!best || heartbeat.load().free_cpu_millis() > best_free)) {
      best = address;
      best_free = heartbeat.load().free_cpu_millis();
    }
  }
  return best;
}

// Returns whether this daemon's own workers can start the job at once, or
// sooner than those of the control daemon. While workers are handed back, a
// control daemon has few of them at first.
bool PrefersOwnWorkers(EntryBoard& board,
                       const wire::JobOrder& order,
                       const std::string& control,
                       Micros now) {
  UpdateLoad(board.pool, now);
  const wire::PoolLoad& own = board.pool.mesh.load;
  const wire::PoolLoad& other =
      board.pool.mesh.members.at(control).last_heartbeat.load();
  const int64_t cpu = InitialCpuDemand(order);
  if (own.free_cpu_millis() >= cpu) {
    return true;
  }
  const bool other_can_start =
      other.wait_ms() == 0 && other.free_cpu_millis() >= cpu;
  return !other_can_start && own.wait_ms() < other.wait_ms();
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
  job.message.set_moves_before(job.message.moves_before() +
                               job.message.moves());
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

// Returns another daemon than the present one for the job, of those that it was
// not sent to yet; nullopt if there is none.
std::optional<std::string> ChooseAnotherDaemon(EntryBoard& board,
                                               const PendingJob& job,
                                               Micros now) {
  std::set<std::string> tried = job.tried_controls;
  tried.insert(job.control_address);
  return HasQuickStandby(board)
             ? ChooseDaemon(board, job.message, tried, now)
             : ChooseControlForOrder(board, job.message, now, tried);
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
  const auto control = ChooseAnotherDaemon(board, found->second, now);
  found->second.tried_controls.insert(before);
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

// Holds a job that could not be sent to another daemon, or refuses it. The
// daemon that has the order cannot start it any more, since it needs the
// permission for the previous order number.
void HoldOrRefuse(EntryBoard& board,
                  uint64_t order_number,
                  const std::string& reason,
                  Micros now,
                  PoolActions& actions) {
  if (MayHoldJobs(board, now)) {
    HoldJob(board, Renumber(board, order_number), now, actions);
  } else {
    Finish(board, order_number, wire::JOB_REFUSED, reason,
           RefusalDelayMs(board, board.pending.at(order_number).job_id), now,
           actions);
  }
}

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
  if (job.held_since != 0 || job.control_address == mesh.options.self) {
    return "";
  }
  const auto member = mesh.members.find(job.control_address);
  if (IsQuickStandby(board.pool) && !job.start_permitted &&
      member != mesh.members.end() && member->second.last_heartbeat.control()) {
    return "control_not_heard";
  }
  if (member == mesh.members.end() ||
      member->second.incarnation != job.control_incarnation) {
    return "control_restarted";
  }
  if (!IsPeerReachable(mesh, job.control_address, now)) {
    return "control_not_heard";
  }
  const bool unconfirmed =
      job.transfer_since != 0 &&
      now - job.transfer_since > board.options.transfer_timeout;
  return unconfirmed ? "transfer_unconfirmed" : "";
}

// Returns whether the message is about this job. It may be about a job of an
// earlier incarnation of this daemon, which used the same order numbers.
bool IsAboutJob(const EntryBoard& board,
                const PendingJob& job,
                const wire::JobMoved& moved) {
  if (moved.moves() == 0 && moved.job_id().empty()) {
    return true;  // the sender does not state it
  }
  return moved.job_id() == job.job_id &&
         moved.entry_incarnation() == board.pool.mesh.options.incarnation;
}

// Sends a cancellation of the job to a daemon that is not its present one.
void SendCancelTo(const EntryBoard& board,
                  const PendingJob& job,
                  const std::string& to,
                  PoolActions& actions) {
  PendingJob addressed;
  addressed.order_number = job.order_number;
  addressed.job_id = job.job_id;
  addressed.control_address = to;
  SendCancel(board, addressed, actions);
}

// Returns whether to wait longer for the confirmation of a forwarded job: no
// other daemon could take it, and FailureReason() returns
// "transfer_unconfirmed" only while its receiver is reachable.
bool AwaitsConfirmation(EntryBoard& board,
                        const PendingJob& job,
                        const std::string& reason,
                        Micros now) {
  return reason == "transfer_unconfirmed" && !job.cancelling &&
         now < job.deadline && !ChooseAnotherDaemon(board, job, now);
}

}  // namespace

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

int64_t RefusalDelayMs(const EntryBoard& board, const std::string& job_id) {
  return EntryRetryAfterMs(board.options.features, board.options.retry_after_ms,
                           job_id);
}

void SendCancel(const EntryBoard& board,
                const PendingJob& job,
                PoolActions& actions) {
  if (job.control_address.empty()) {
    return;  // held: no daemon has it
  }
  wire::PoolMessage message;
  wire::JobCancel& cancel = *message.mutable_job_cancel();
  cancel.set_order(job.order_number);
  cancel.set_job_id(job.job_id);
  cancel.set_entry(board.pool.mesh.options.self);
  SendTo(actions, job.control_address, std::move(message));
}

void RequestCancel(const EntryBoard& board,
                   PendingJob& job,
                   Micros now,
                   PoolActions& actions) {
  job.cancelling = true;
  job.cancel_due = now + board.options.cancel_retry_delay;
  SendCancel(board, job, actions);
}

std::optional<std::string> ChooseDaemon(EntryBoard& board,
                                        const wire::JobOrder& order,
                                        const std::set<std::string>& tried,
                                        Micros now) {
  const std::string& self = board.pool.mesh.options.self;
  auto control = IsQuickStandby(board.pool)
                     ? std::nullopt
                     : ChooseControlForOrder(board, order, now, tried);
  if (!HasReadyWorkers(board.pool) || tried.contains(self)) {
    return IsQuickStandby(board.pool)
               ? ChooseStandby(board.pool.mesh, tried, now)
               : control;
  }
  if (!control || (HasQuickStandby(board) &&
                   PrefersOwnWorkers(board, order, *control, now))) {
    return self;
  }
  return control;
}

bool MayHoldJobs(const EntryBoard& board, Micros now) {
  return HasQuickStandby(board) && board.last_served_at != 0 &&
         now - board.last_served_at < kMaxHold;
}

void HoldJob(EntryBoard& board,
             PendingJob& job,
             Micros now,
             PoolActions& actions) {
  job.held_since = now;
  job.control_address.clear();
  ++board.counters.held;
  LogPoolEvent(actions, LogLevel::kInfo, "job_held", {{"job", job.job_id}});
}

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
  pending.held_since = 0;
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

void HandleJobForwarded(EntryBoard& board,
                        const wire::PoolMessage& message,
                        Micros now,
                        PoolActions& actions) {
  const wire::JobMoved& moved = message.job_moved();
  const bool confirms = message.from() == moved.to();
  const auto found = board.pending.find(moved.order());
  const auto member = board.pool.mesh.members.find(moved.to());
  const bool known = member != board.pool.mesh.members.end();
  if (found == board.pending.end() ||
      !IsAboutJob(board, found->second, moved)) {
    return;
  }
  // The receiver may have restarted since it sent the confirmation.
  if (confirms &&
      (!known || member->second.incarnation > message.incarnation())) {
    return;
  }
  PendingJob& job = found->second;
  if (!ApplyJobMoved(job, moved, message.from(), now)) {
    return;
  }
  if (!board.options.features.move_waiting_jobs) {
    job.transfer_since = 0;
  }
  if (!known) {
    return;
  }
  SwitchToFullRate(board.pool.mesh, moved.to(), now, actions);
  job.control_address = moved.to();
  job.control_incarnation =
      confirms ? message.incarnation() : member->second.incarnation;
  if (job.cancelling && confirms) {
    RequestCancel(board, job, now, actions);
  }
}

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
  if (board.options.features.move_waiting_jobs && job.start_permitted &&
      ask.moves() == job.message.moves() &&
      message.from() != job.control_address) {
    SendCancelTo(board, job, message.from(), actions);
    return;
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

void HandleJobEnd(EntryBoard& board,
                  const wire::PoolMessage& message,
                  Micros now,
                  PoolActions& actions) {
  const wire::JobEnd& end = message.job_end();
  const auto found = board.pending.find(end.order());
  if (found != board.pending.end() &&
      board.options.features.move_waiting_jobs &&
      found->second.start_permitted &&
      message.from() != found->second.control_address) {
    return;
  }
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

void KeepFullHeartbeatRate(EntryBoard& board,
                           Micros now,
                           PoolActions& actions) {
  for (const auto& [order_number, job] : board.pending) {
    SwitchToFullRate(board.pool.mesh, job.control_address, now, actions);
  }
}

void ExcludePauseFromTransfers(EntryBoard& board, Micros pause) {
  for (auto& [order_number, job] : board.pending) {
    job.transfer_since += job.transfer_since != 0 ? pause : 0;
  }
}

void ResolveFailedJobs(EntryBoard& board, Micros now, PoolActions& actions) {
  std::vector<std::pair<uint64_t, std::string>> failed;
  for (const auto& [order_number, job] : board.pending) {
    std::string reason = FailureReason(board, job, now);
    if (!reason.empty()) {
      failed.emplace_back(order_number, std::move(reason));
    }
  }
  for (const auto& [order_number, reason] : failed) {
    PendingJob& job = board.pending.at(order_number);
    if (AwaitsConfirmation(board, job, reason, now)) {
      job.transfer_since = now;
      continue;
    }
    // The control daemon may still receive messages and run the job.
    SendCancel(board, job, actions);
    if (job.start_permitted) {
      Finish(board, order_number, wire::JOB_UNKNOWN, reason, 0, now, actions);
    } else if (job.cancelling) {
      Finish(board, order_number, wire::JOB_CANCELLED, reason, 0, now, actions);
    } else if (now >= job.deadline) {
      Finish(board, order_number, wire::JOB_REFUSED, reason,
             RefusalDelayMs(board, board.pending.at(order_number).job_id), now,
             actions);
    } else if (!ResendToAnotherControl(board, order_number, reason, now,
                                       actions)) {
      HoldOrRefuse(board, order_number, reason, now, actions);
    }
  }
}

void SendHeldJobs(EntryBoard& board, Micros now, PoolActions& actions) {
  if (!HasQuickStandby(board)) {
    return;
  }
  if (ChooseDaemon(board, wire::JobOrder(), {}, now)) {
    board.last_served_at = now;
  }
  std::vector<uint64_t> refused;
  for (auto& [order_number, job] : board.pending) {
    if (job.held_since == 0) {
      continue;
    }
    const auto daemon = job.cancelling ? std::nullopt
                                       : ChooseDaemon(board, job.message,
                                                      job.tried_controls, now);
    if (daemon) {
      SendOrderTo(board, job, *daemon, now, actions);
    } else if (job.cancelling || now - job.held_since > kMaxHold) {
      refused.push_back(order_number);
    }
  }
  for (const uint64_t order_number : refused) {
    const bool cancelling = board.pending.at(order_number).cancelling;
    Finish(board, order_number,
           cancelling ? wire::JOB_CANCELLED : wire::JOB_REFUSED,
           cancelling ? "never_taken" : "no_control_daemon",
           RefusalDelayMs(board, board.pending.at(order_number).job_id), now,
           actions);
  }
}

void ResendCancels(EntryBoard& board, Micros now, PoolActions& actions) {
  for (auto& [order_number, job] : board.pending) {
    if (job.cancelling && now >= job.cancel_due) {
      RequestCancel(board, job, now, actions);
    }
  }
}

}  // namespace goldcrest::detail
