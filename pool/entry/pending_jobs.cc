// The pending jobs of an entry daemon: how they are sent, sent again when their
// control daemon fails, held while no daemon can take them, and answered.

#include "pool/entry/pending_jobs.h"

#include <algorithm>
#include <utility>

#include "pool/admission/retry_after.h"
#include "pool/entry/daemon_choice.h"
#include "pool/entry/entry_stop.h"
#include "pool/entry/standby.h"
#include "pool/jobs/job_forwarding.h"
#include "pool/queue_key.h"

namespace goldcrest::detail {
namespace {

// How long a job without a start permission is held while no daemon can take
// jobs, with PoolFeatures::standby_after. A standby has workers 0.2 s after the
// probes began.
constexpr Micros kMaxHold = 500 * kMillisecond;

// Delay until a job that a standby did not accept is sent again; without it,
// the job would be sent at each tick while the standby is full.
constexpr Micros kNotAcceptedDelay = 50 * kMillisecond;

// Gives a pending job a new order number, so that later messages of its
// previous control daemon about it are ignored.
PendingJob& Renumber(EntryBoard& board, uint64_t order_number) {
  auto node = board.pending.extract(order_number);
  const uint64_t number = board.next_order++;
  node.key() = number;
  PendingJob& job = node.mapped();
  job.order_number = number;
  job.message.set_order(number);
  job.start_permitted = false;
  if (job.token != kNoToken) {
    board.order_number_of_token[job.token] = number;
  }
  board.order_number_of_job[JobKeyInQueue(job.queue, job.job_id)] = number;
  board.pending.insert(std::move(node));
  return board.pending.at(number);
}

// Sends a pending job to another daemon: a control daemon, or with
// `standby_after` also a standby. The present one must not have accepted the
// job, or must not have its start permission. Returns false if there is no
// other daemon that can take the job.
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
  const auto control =
      HasQuickStandby(board)
          ? ChooseDaemon(board, found->second.message,
                         found->second.tried_controls, now)
          : ChooseControl(board.pool.mesh, now, found->second.tried_controls);
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
// permission for the previous order number. A refused caller is told to return
// after `retry_after_ms`.
void HoldOrRefuse(EntryBoard& board,
                  uint64_t order_number,
                  const std::string& reason,
                  int64_t retry_after_ms,
                  Micros now,
                  PoolActions& actions) {
  if (MayHoldJobs(board, now)) {
    HoldJob(board, Renumber(board, order_number), now, actions);
  } else {
    EndPendingJob(board, order_number, wire::JOB_REFUSED, reason,
                  retry_after_ms, now, actions);
  }
}

// Returns whether a job that its daemon did not accept may be held and sent
// again: if that was a standby, whose capacity changes while workers are
// claimed, for kMaxHold in total. A control daemon that is full would get the
// job again and again.
bool MayRetry(EntryBoard& board, PendingJob& job, Micros now) {
  const auto member = board.pool.mesh.members.find(job.control_address);
  const bool by_control = member != board.pool.mesh.members.end() &&
                          member->second.last_heartbeat.control();
  if (!HasQuickStandby(board) || by_control || job.start_permitted ||
      job.cancelling || now >= job.deadline) {
    return false;
  }
  if (job.first_not_accepted_at == 0) {
    job.first_not_accepted_at = now;
  }
  return now - job.first_not_accepted_at < kMaxHold;
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
  return IsPeerReachable(mesh, job.control_address, now) ? ""
                                                         : "control_not_heard";
}

// Ends the contact with the daemons that are unreachable and have jobs which
// are given up now. A standby gives up jobs of control daemons that it can
// reach; those have no start permission, and the others go on.
void EndContacts(EntryBoard& board,
                 const std::vector<std::pair<uint64_t, std::string>>& failed,
                 Micros now) {
  std::set<std::string> unreachable;
  for (const auto& [order_number, reason] : failed) {
    const std::string& control = board.pending.at(order_number).control_address;
    if (!IsPeerReachable(board.pool.mesh, control, now)) {
      unreachable.insert(control);
    }
  }
  for (const std::string& control : unreachable) {
    EndContact(board.pool.mesh, control);
  }
}

// Logs that this daemon no longer waits for the job's present daemon.
void LogGivenUp(const EntryBoard& board,
                const PendingJob& job,
                const std::string& reason,
                Micros now,
                PoolActions& actions) {
  const auto member = board.pool.mesh.members.find(job.control_address);
  const Micros heard_at = member == board.pool.mesh.members.end()
                              ? 0
                              : member->second.last_received_at;
  LogPoolEvent(
      actions, LogLevel::kWarning, "job_given_up",
      {{"job", job.job_id},
       {"order", std::to_string(job.order_number)},
       {"control", job.control_address},
       {"reason", reason},
       {"start_permitted", job.start_permitted ? "1" : "0"},
       {"heard_ms_ago", std::to_string((now - heard_at) / kMillisecond)}});
}

// Returns whether jobs may have been held before they are sent, so that the
// control daemon has to know for how long.
bool ReportsWaitedTime(const EntryOptions& options) {
  return options.hold_requests != 0 || options.features.standby_after != 0;
}

// Returns the order numbers of the held jobs, the earliest request first.
std::vector<uint64_t> HeldInOrderOfArrival(const EntryBoard& board) {
  std::vector<std::pair<Micros, uint64_t>> held;
  for (const auto& [order_number, job] : board.pending) {
    if (job.held_since != 0) {
      held.emplace_back(job.received_at, order_number);
    }
  }
  std::sort(held.begin(), held.end());
  std::vector<uint64_t> numbers;
  numbers.reserve(held.size());
  for (const auto& [received_at, order_number] : held) {
    numbers.push_back(order_number);
  }
  return numbers;
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

void EndPendingJob(EntryBoard& board,
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
  const auto by_id =
      board.order_number_of_job.find(JobKeyInQueue(job.queue, job.job_id));
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

int64_t RefusalDelayMs(const EntryBoard& board,
                       const std::string& job_id,
                       Micros now) {
  if (board.draining) {
    return RetryAfterStopMs(board, now);
  }
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
  // Safe since the order has a new number: no daemon can start an earlier one.
  job.tried_controls.clear();
  ++board.counters.held;
  LogPoolEvent(actions, LogLevel::kInfo, "job_held", {{"job", job.job_id}});
}

void SendOrderTo(EntryBoard& board,
                 PendingJob& pending,
                 const std::string& control,
                 Micros now,
                 PoolActions& actions) {
  const auto found = board.pool.mesh.members.find(control);
  const MeshMember member =
      found == board.pool.mesh.members.end() ? MeshMember() : found->second;
  const Micros end_by = EndBy(board, pending);
  const int64_t left_ms = std::max<int64_t>((end_by - now) / kMillisecond, 0);
  SwitchToFullRate(board.pool.mesh, control, now, actions);
  pending.held_since = 0;
  pending.control_address = control;
  pending.control_incarnation = member.incarnation;
  pending.message.set_seen_sequence(
      NewestHeartbeatSequence(board.pool.mesh, control));
  pending.message.set_contact(ContactNumber(board.pool.mesh, control));
  pending.message.set_budget_ms(static_cast<uint32_t>(left_ms));
  if (ReportsWaitedTime(board.options)) {
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
       {"service", pending.message.service()},
       {"control", control},
       {"heard_ms_ago",
        std::to_string((now - member.last_received_at) / kMillisecond)},
       {"configuration", std::to_string(board.routing.version())},
       {"budget_ms", std::to_string(left_ms)},
       {"tried", std::to_string(pending.tried_controls.size())}});
}

void HandleJobForwarded(EntryBoard& board,
                        const wire::JobMoved& moved,
                        Micros now,
                        PoolActions& actions) {
  const auto found = board.pending.find(moved.order());
  const auto member = board.pool.mesh.members.find(moved.to());
  if (found != board.pending.end() && member != board.pool.mesh.members.end()) {
    SwitchToFullRate(board.pool.mesh, moved.to(), now, actions);
    found->second.control_address = moved.to();
    found->second.control_incarnation = member->second.incarnation;
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
  job.control_address = message.from();
  job.control_incarnation = message.incarnation();
  if (job.cancelling) {
    RequestCancel(board, job, now, actions);
    return;
  }
  const int64_t left_ms = (EndBy(board, job) - now) / kMillisecond;
  if (left_ms <= 0) {
    return;  // its time is up; the caller is answered in the next tick
  }
  job.start_permitted = true;
  wire::PoolMessage answer;
  wire::JobGo& permission = *answer.mutable_job_go();
  permission.set_order(job.order_number);
  permission.set_job_id(job.job_id);
  permission.set_contact(ContactNumber(board.pool.mesh, job.control_address));
  permission.set_budget_ms(static_cast<uint32_t>(left_ms));
  SendTo(actions, job.control_address, std::move(answer));
}

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
    EndPendingJob(board, end.order(), wire::JOB_CANCELLED, "never_taken", 0,
                  now, actions);
    return;
  }
  if (not_accepted &&
      ResendToAnotherControl(board, end.order(), end.reason(), now, actions)) {
    return;
  }
  if (not_accepted && found != board.pending.end() &&
      MayRetry(board, found->second, now)) {
    found->second.retry_at = now + kNotAcceptedDelay;
    HoldOrRefuse(board, end.order(), end.reason(), end.retry_after_ms(), now,
                 actions);
    return;
  }
  // A job that had no room in the time of a stop may have room elsewhere.
  const bool cut_short = found != board.pending.end() &&
                         EndBy(board, found->second) < found->second.deadline;
  const int64_t retry_after_ms =
      cut_short ? RetryAfterStopMs(board, now) : end.retry_after_ms();
  EndPendingJob(board, end.order(), end.fate(), end.reason(), retry_after_ms,
                now, actions);
}

void KeepFullHeartbeatRate(EntryBoard& board,
                           Micros now,
                           PoolActions& actions) {
  for (const auto& [order_number, job] : board.pending) {
    SwitchToFullRate(board.pool.mesh, job.control_address, now, actions);
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
  EndContacts(board, failed, now);
  for (const auto& [order_number, reason] : failed) {
    const PendingJob& job = board.pending.at(order_number);
    LogGivenUp(board, job, reason, now, actions);
    // The control daemon may still receive messages and run the job.
    SendCancel(board, job, actions);
    if (job.start_permitted) {
      EndPendingJob(board, order_number, wire::JOB_UNKNOWN, reason, 0, now,
                    actions);
    } else if (job.cancelling) {
      EndPendingJob(board, order_number, wire::JOB_CANCELLED, reason, 0, now,
                    actions);
    } else if (now >= job.deadline) {
      EndPendingJob(
          board, order_number, wire::JOB_REFUSED, reason,
          RefusalDelayMs(board, board.pending.at(order_number).job_id, now),
          now, actions);
    } else if (!ResendToAnotherControl(board, order_number, reason, now,
                                       actions)) {
      HoldOrRefuse(board, order_number, reason,
                   RefusalDelayMs(board, job.job_id, now), now, actions);
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
  for (const uint64_t order_number : HeldInOrderOfArrival(board)) {
    PendingJob& job = board.pending.at(order_number);
    const bool may_send = !job.cancelling && now >= job.retry_at;
    const auto daemon =
        may_send ? ChooseDaemon(board, job.message, job.tried_controls, now)
                 : std::nullopt;
    if (daemon) {
      SendOrderTo(board, job, *daemon, now, actions);
      const auto member = board.pool.mesh.members.find(*daemon);
      if (member != board.pool.mesh.members.end()) {
        AddToKnownLoad(member->second, job.message);
      }
    } else if (job.cancelling || now - job.held_since > kMaxHold) {
      refused.push_back(order_number);
    }
  }
  for (const uint64_t order_number : refused) {
    const bool cancelling = board.pending.at(order_number).cancelling;
    EndPendingJob(
        board, order_number,
        cancelling ? wire::JOB_CANCELLED : wire::JOB_REFUSED,
        cancelling ? "never_taken" : "no_control_daemon",
        RefusalDelayMs(board, board.pending.at(order_number).job_id, now), now,
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
