#include "pool/jobs/job_outcome.h"

#include <algorithm>
#include <utility>

#include "pool/mesh/mesh_orders.h"

namespace goldcrest {
namespace {

// When an outcome is dropped, after the deadline: the entry daemon has answered
// its caller by then, and an outcome of the last moment is repeated before.
constexpr Micros kAnswerSlack = 300 * kMillisecond;

}  // namespace

void SendOutcome(PoolBoard& board,
                 const wire::JobOrder& order,
                 const JobOutcome& outcome,
                 Micros now,
                 PoolActions& actions) {
  wire::PoolMessage message;
  wire::JobEnd& end = *message.mutable_job_end();
  end.set_order(order.order());
  end.set_job_id(order.job_id());
  end.set_fate(outcome.fate);
  end.set_reason(outcome.reason);
  end.set_retry_after_ms(static_cast<uint32_t>(outcome.retry_after_ms));
  end.set_try_elsewhere(outcome.try_elsewhere);
  SendUntilAnswered(board, order.entry(), std::move(message),
                    std::max(outcome.deadline, now) + kAnswerSlack, now,
                    actions);
}

}  // namespace goldcrest
