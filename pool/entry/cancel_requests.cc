#include "pool/entry/cancel_requests.h"

#include <string_view>
#include <utility>
#include <vector>

#include "pool/jobs/job_end.h"
#include "pool/mesh/mesh_orders.h"
#include "pool/queue_key.h"

namespace goldcrest::detail {
namespace {

// Whether the daemon may have jobs. Any entry daemon may be, or have been, a
// standby.
bool MayHaveJobs(const MeshMember& member) {
  return member.last_heartbeat.control() || member.incarnation != 0;
}

// Returns the order to cancel the job, whichever order of it a daemon has.
wire::JobCancel CancelOf(const CancelElsewhere& cancel) {
  wire::JobCancel message;
  message.set_job_id(cancel.job_id);
  message.set_queue(cancel.queue);
  return message;
}

// Answers the requests to cancel the job with this key (JobKeyInQueue()), and
// forgets them.
void Answer(EntryBoard& board,
            const std::string& job_key,
            wire::JobFate fate,
            std::string_view reason,
            PoolActions& actions) {
  const auto found = board.cancels_elsewhere.find(job_key);
  if (found == board.cancels_elsewhere.end()) {
    return;
  }
  const CancelElsewhere cancel = std::move(found->second);
  board.cancels_elsewhere.erase(found);
  LogPoolEvent(actions, LogLevel::kInfo, "cancel_answered",
               {{"job", cancel.job_id},
                {"queue", cancel.queue},
                {"outcome", std::string(ToString(fate))},
                {"reason", std::string(reason)},
                {"unanswered", std::to_string(cancel.unanswered.size())}});
  for (const ReplyToken token : cancel.tokens) {
    actions.emplace_back(ReplyJob{token, fate, 0, true});
  }
}

// Orders a daemon to cancel the job, unless it was ordered before.
void OrderCancel(EntryBoard& board,
                 const std::string& to,
                 CancelElsewhere& cancel,
                 Micros now,
                 PoolActions& actions) {
  if (to == board.pool.mesh.options.self || !cancel.asked.insert(to).second) {
    return;
  }
  wire::PoolMessage message;
  *message.mutable_job_cancel() = CancelOf(cancel);
  message.mutable_job_cancel()->set_entry(board.pool.mesh.options.self);
  const uint64_t number =
      SendUntilAnswered(board.pool, to, std::move(message),
                        now + kMeshOrderLifetime, now, actions);
  cancel.all_ordered = cancel.all_ordered && number != 0;
  if (number != 0) {
    cancel.unanswered.insert(number);
  }
}

}  // namespace

void RequestCancelElsewhere(EntryBoard& board,
                            const CancelRequested& request,
                            Micros now,
                            PoolActions& actions) {
  const std::string key = JobKeyInQueue(request.queue, request.job_id);
  CancelElsewhere& cancel = board.cancels_elsewhere[key];
  cancel.tokens.push_back(request.token);
  if (cancel.tokens.size() > 1) {
    return;  // the orders are on their way
  }
  cancel.job_id = request.job_id;
  cancel.queue = request.queue;
  cancel.answer_by = now + kCancelAnswerTime;
  if (OnJobCancel(board.pool, CancelOf(cancel), now, actions)) {
    Answer(board, key, wire::JOB_CANCELLED, "had_job", actions);
    return;
  }
  for (const auto& [address, member] : board.pool.mesh.members) {
    if (MayHaveJobs(member)) {
      OrderCancel(board, address, cancel, now, actions);
    }
  }
  if (cancel.unanswered.empty()) {
    Answer(board, key, wire::JOB_UNKNOWN, "no_control_daemon", actions);
  }
}

void OnCancelAnswered(EntryBoard& board,
                      uint64_t number,
                      const wire::Delivered& answer,
                      Micros now,
                      PoolActions& actions) {
  for (auto& [job_key, cancel] : board.cancels_elsewhere) {
    if (cancel.unanswered.erase(number) == 0) {
      continue;
    }
    const std::string key = job_key;
    for (const std::string& address : answer.also_ask()) {
      OrderCancel(board, address, cancel, now, actions);
    }
    if (answer.had_effect()) {
      Answer(board, key, wire::JOB_CANCELLED, "had_job", actions);
    } else if (cancel.unanswered.empty() && cancel.all_ordered) {
      Answer(board, key, wire::JOB_FATE_UNSPECIFIED, "no_such_job", actions);
    }
    return;
  }
}

void CancelRequestsTick(EntryBoard& board, Micros now, PoolActions& actions) {
  std::vector<std::string> late;
  for (const auto& [job_key, cancel] : board.cancels_elsewhere) {
    if (now >= cancel.answer_by) {
      late.push_back(job_key);
    }
  }
  for (const std::string& job_key : late) {
    Answer(board, job_key, wire::JOB_UNKNOWN, "not_answered", actions);
  }
}

}  // namespace goldcrest::detail
