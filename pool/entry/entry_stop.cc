#include "pool/entry/entry_stop.h"

#include <algorithm>
#include <string>
#include <vector>

#include "pool/entry/pending_jobs.h"
#include "pool/pool_stop.h"

namespace goldcrest::detail {
namespace {

// A job is taken only if tasks that run this many times longer than their
// callers' estimates still end before the stop: estimates are rough, and some
// workers are slower than others.
constexpr int kRunTimeMargin = 2;
// Time allowed for placing and starting a job.
constexpr Micros kStartTime = 200 * kMillisecond;

// Time for the outcome of a job to arrive from its control daemon.
constexpr Micros kOutcomeTime = 50 * kMillisecond;
// The jobs that this daemon runs itself as a standby end this long before all
// callers are answered.
constexpr Micros kStandbyEndTime = 150 * kMillisecond;

// Returns the estimated run time of the longest chain of dependent steps.
Micros EstimatedRunTime(const wire::JobOrder& order) {
  std::vector<Micros> ends;
  Micros longest = 0;
  for (const wire::JobStep& step : order.steps()) {
    Micros start = 0;
    for (const uint32_t earlier : step.after()) {
      start = earlier < ends.size() ? std::max(start, ends[earlier]) : start;
    }
    ends.push_back(start + step.estimate_ms() * kMillisecond);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

// Returns whether a job that starts at `starts_at` is expected to be answered
// before the daemon stops, also if its tasks take longer than estimated.
bool EndsBeforeStop(const EntryBoard& board,
                    const wire::JobOrder& order,
                    Micros deadline,
                    Micros starts_at) {
  if (!board.draining) {
    return true;
  }
  const Micros answer_by = AnswerBy(board);
  return deadline + board.options.answer_slack <= answer_by ||
         starts_at + kRunTimeMargin * EstimatedRunTime(order) <= answer_by;
}

template <typename Condition>
std::vector<uint64_t> OrdersWhere(const EntryBoard& board,
                                  Condition condition) {
  std::vector<uint64_t> orders;
  for (const auto& [order_number, job] : board.pending) {
    if (condition(job)) {
      orders.push_back(order_number);
    }
  }
  return orders;
}

// Ends a pending job because the daemon stops. Its control daemon cannot start
// it any more; what has started is stopped.
void GiveUp(EntryBoard& board,
            uint64_t order_number,
            Micros now,
            PoolActions& actions) {
  const PendingJob& job = board.pending.at(order_number);
  SendCancel(board, job, actions);
  wire::JobFate fate = wire::JOB_REFUSED;
  if (job.start_permitted) {
    fate = wire::JOB_UNKNOWN;
  } else if (job.cancelling) {
    fate = wire::JOB_CANCELLED;
  }
  EndPendingJob(board, order_number, fate, "draining",
                RetryAfterStopMs(board, now), now, actions);
}

void RefuseLateJobs(EntryBoard& board, Micros now, PoolActions& actions) {
  const std::vector<uint64_t> late =
      OrdersWhere(board, [&](const PendingJob& job) {
        return !job.start_permitted &&
               !EndsBeforeStop(board, job.message, job.deadline, now);
      });
  for (const uint64_t order_number : late) {
    GiveUp(board, order_number, now, actions);
  }
}

void AnswerAll(EntryBoard& board, Micros now, PoolActions& actions) {
  const std::vector<uint64_t> left =
      OrdersWhere(board, [](const PendingJob&) { return true; });
  for (const uint64_t order_number : left) {
    const PendingJob& job = board.pending.at(order_number);
    EndContact(board.pool.mesh, job.control_address);
    LogPoolEvent(
        actions, LogLevel::kWarning, "job_left_at_stop",
        {{"job", job.job_id},
         {"queue", job.queue},
         {"control", job.control_address},
         {"start_permitted", job.start_permitted ? "1" : "0"},
         {"taken_ms_after_stop_request",
          std::to_string((job.received_at - board.drain_started_at) /
                         kMillisecond)},
         {"left_ms", std::to_string((job.deadline - now) / kMillisecond)}});
    GiveUp(board, order_number, now, actions);
  }
}

}  // namespace

Micros AnswerBy(const EntryBoard& board) {
  return StopEndsBy(board.drain_started_at, board.options.stop_grace);
}

bool MayTakeJob(const EntryBoard& board,
                const wire::JobOrder& order,
                Micros deadline,
                Micros now) {
  return EndsBeforeStop(board, order, deadline, now + kStartTime);
}

Micros EndBy(const EntryBoard& board, const PendingJob& job) {
  return board.draining ? std::min(job.deadline, AnswerBy(board) - kOutcomeTime)
                        : job.deadline;
}

int64_t RetryAfterStopMs(const EntryBoard& board, Micros now) {
  const bool noticed =
      now - board.drain_started_at > board.options.shortest_drain;
  return noticed ? 0 : board.options.retry_after_ms;
}

void RequestStop(EntryBoard& board, Micros now, PoolActions& actions) {
  if (board.draining) {
    return;
  }
  board.draining = true;
  board.pool.draining = true;
  board.drain_started_at = now;
  AnnounceDrain(board.pool.mesh, now, actions);
  LogPoolEvent(
      actions, LogLevel::kInfo, "drain_started",
      {{"jobs", std::to_string(board.pending.size())},
       {"grace_ms", std::to_string(board.options.stop_grace / kMillisecond)}});
}

void StopTick(EntryBoard& board, Micros now, PoolActions& actions) {
  if (!board.draining || board.drained) {
    return;
  }
  RefuseLateJobs(board, now, actions);
  const bool pool_is_empty =
      PoolStopTick(board.pool, AnswerBy(board) - kStandbyEndTime, now, actions);
  const Micros since = now - board.drain_started_at;
  const bool idle = pool_is_empty && board.pending.empty() &&
                    board.cancels_elsewhere.empty() &&
                    since > board.options.shortest_drain &&
                    now - board.last_request_at > board.options.drain_idle_time;
  if (!idle && now < AnswerBy(board)) {
    return;
  }
  AnswerAll(board, now, actions);
  board.drained = true;
  LogPoolEvent(actions, LogLevel::kInfo, "drain_ended",
               {{"took_ms", std::to_string(since / kMillisecond)}});
}

}  // namespace goldcrest::detail
