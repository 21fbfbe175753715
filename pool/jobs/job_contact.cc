#include "pool/jobs/job_contact.h"

#include <algorithm>
#include <array>
#include <string>

namespace goldcrest {
namespace {

// The entry daemon of the job, in the incarnation that has sent the job; null
// if it is not known.
const MeshMember* FindEntry(const PoolBoard& board, const PoolJob& job) {
  const auto found = board.mesh.members.find(job.order.entry());
  return found != board.mesh.members.end() &&
                 found->second.incarnation == job.order.entry_incarnation()
             ? &found->second
             : nullptr;
}

// Returns true if messages were recently received from the entry daemon, and it
// recently received messages of this daemon.
bool IsHeard(const PoolBoard& board,
             const PoolJob& job,
             const MeshMember& entry,
             Micros now) {
  const Micros last_received_by_entry = std::max(
      HeartbeatSentAt(board.mesh, entry.last_heartbeat.echoed_sequence()),
      job.last_contact_at);
  const Micros last_received_from_entry =
      std::max(entry.last_received_at, job.last_contact_at);
  return now - last_received_from_entry < board.options.entry_timeout &&
         now - last_received_by_entry < board.options.entry_echo_timeout;
}

}  // namespace

std::string_view ToString(ContactEnd end) {
  constexpr std::array<std::string_view, 3> kNames = {"", "given_up_by_entry",
                                                      "entry_not_heard"};
  return kNames[static_cast<size_t>(end)];
}

ContactEnd FindContactEnd(const PoolBoard& board,
                          const PoolJob& job,
                          Micros now) {
  if (job.order.entry() == board.mesh.options.self) {
    return ContactEnd::kNone;
  }
  if (IsContactGivenUp(board, job.order.entry(), job.contact)) {
    return ContactEnd::kGivenUp;
  }
  const MeshMember* entry = FindEntry(board, job);
  return entry != nullptr && IsHeard(board, job, *entry, now)
             ? ContactEnd::kNone
             : ContactEnd::kNotHeard;
}

bool IsContactGivenUp(const PoolBoard& board,
                      const std::string& entry,
                      uint64_t contact) {
  const auto found = board.mesh.members.find(entry);
  return contact != 0 && found != board.mesh.members.end() &&
         found->second.last_heartbeat.contact() > contact;
}

Micros LongestRunAfterGivingUp(const PoolOptions& options,
                               const HeartbeatRates& rates) {
  // The newest heartbeat that the entry daemon has echoed by then is older than
  // its timeout.
  const Micros goes_on =
      std::max(options.entry_echo_timeout - rates.full_rate_timeout,
               options.entry_timeout);
  // The lease was last extended by a renewal that follows the reading of the
  // worker's clock by one round.
  const Micros reading_age =
      options.renewal_wait_ms * kMillisecond + options.order_timeout;
  const int64_t slowest_percent = 100 - options.clock_drift_percent;
  const Micros lease = (options.longest_lease +
                        reading_age * options.clock_drift_percent / 100) *
                       100 / slowest_percent;
  return goes_on + kNoticeTime + lease;
}

}  // namespace goldcrest
