#include "pool/entry/daemon_choice.h"

#include "pool/entry/standby.h"
#include "pool/jobs/job_forwarding.h"
#include "pool/load_report.h"

namespace goldcrest::detail {
namespace {

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
  // Free capacity alone may be that left by waiting tasks that do not fit.
  if (own.wait_ms() == 0 && own.free_cpu_millis() >= cpu) {
    return true;
  }
  const bool other_can_start =
      other.wait_ms() == 0 && other.free_cpu_millis() >= cpu;
  return !other_can_start && own.wait_ms() < other.wait_ms();
}

}  // namespace

bool HasQuickStandby(const EntryBoard& board) {
  return board.options.features.standby_after != 0;
}

std::optional<std::string> ChooseDaemon(EntryBoard& board,
                                        const wire::JobOrder& order,
                                        const std::set<std::string>& tried,
                                        Micros now) {
  const std::string& self = board.pool.mesh.options.self;
  auto control = IsQuickStandby(board.pool)
                     ? std::nullopt
                     : ChooseControl(board.pool.mesh, now, tried);
  if (!HasReadyWorkers(board.pool) || tried.contains(self)) {
    // Also if this daemon is no standby itself: one probe peer that hears a
    // control daemon prevents that, while others have workers.
    return !control && HasQuickStandby(board)
               ? ChooseStandby(board.pool.mesh, tried, now)
               : control;
  }
  if (!control || (HasQuickStandby(board) &&
                   PrefersOwnWorkers(board, order, *control, now))) {
    return self;
  }
  return control;
}

}  // namespace goldcrest::detail
