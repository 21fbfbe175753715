#include "pool/entry/cancel_requests.h"

#include <string_view>
#include <utility>
#include <vector>

#include "pool/jobs/job_end.h"
#include "pool/mesh/mesh_orders.h"

namespace goldcrest::detail {
namespace {

// Whether the daemon may have jobs. Any entry daemon may be, or have been, a
// standby.
bool MayHaveJobs(const MeshMember& member) {
  return member.last_heartbeat.control() || member.incarnation != 0;
}

// Answers the requests to cancel the job, and forgets them.
void Answer(EntryBoard& board,
            const std::string& job_id,
            wire::JobFate fate,
            std::string_view reason,
            PoolActions& actions) {
  const auto found = board.cancels_elsewhere.find(job_id);
  if (found == board.cancels_elsewhere.end()) {
    return;
  }
  const CancelElsewhere cancel = std::move(found->second);
  board.cancels_elsewhere.erase(found);
  LogPoolEvent(actions, LogLevel::kInfo, "cancel_answered",
               {{"job", job_id},
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
                 const std::string& job_id,
                 CancelElsewhere& cancel,
                 Micros now,
                 PoolActions& actions) {
  if (to == board.pool.mesh.options.self || !cancel.asked.insert(to).second) {
    return;
  }
  wire::PoolMessage message;
  message.mutable_job_cancel()->set_job_id(job_id);
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
  CancelElsewhere& cancel = board.cancels_elsewhere[request.job_id];
  cancel.tokens.push_back(request.token);
  if (cancel.tokens.size() > 1) {
    return;  // the orders are on their way
  }
  cancel.answer_by = now + kCancelAnswerTime;
  wire::JobCancel here;
  here.set_job_id(request.job_id);
  if (OnJobCancel(board.pool, here, now, actions)) {
    Answer(board, request.job_id, wire::JOB_CANCELLED, "had_job", actions);
    return;
  }
  for (const auto& [address, member] : board.pool.mesh.members) {
    if (MayHaveJobs(member)) {
      OrderCancel(board, address, request.job_id, cancel, now, actions);
    }
  }
  if (cancel.unanswered.empty()) {
    Answer(board, request.job_id, wire::JOB_UNKNOWN, "no_control_daemon",
           actions);
  }
}

void OnCancelAnswered(EntryBoard& board,
                      uint64_t number,
                      const wire::Delivered& answer,
                      Micros now,
                      PoolActions& actions) {
  for (auto& [job_id, cancel] : board.cancels_elsewhere) {
    if (cancel.unanswered.erase(number) == 0) {
      continue;
    }
    const std::string id = job_id;
    for (const std::string& address : answer.also_ask()) {
      OrderCancel(board, address, id, cancel, now, actions);
    }
    if (answer.had_effect()) {
      Answer(board, id, wire::JOB_CANCELLED, "had_job", actions);
    } else if (cancel.unanswered.empty() && cancel.all_ordered) {
      Answer(board, id, wire::JOB_FATE_UNSPECIFIED, "no_such_job", actions);
    }
    return;
  }
}

void CancelRequestsTick(EntryBoard& board, Micros now, PoolActions& actions) {
  std::vector<std::string> late;
  for (const auto& [job_id, cancel] : board.cancels_elsewhere) {
    if (now >= cancel.answer_by) {
      late.push_back(job_id);
    }
  }
  for (const std::string& job_id : late) {
    Answer(board, job_id, wire::JOB_UNKNOWN, "not_answered", actions);
  }
}

}  // namespace goldcrest::detail
