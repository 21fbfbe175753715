#include "pool/workers/worker_record.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "pool/mesh/mesh.h"
#include "pool/workers/worker_health.h"
#include "pool/workers/worker_profile.h"
#include "pool/workers/worker_roster.h"

namespace goldcrest {
namespace {

// Period at which changed profiles are sent; a takeover after the failure of an
// owner loses at most the samples of this time.
constexpr Micros kUpdatePeriod = 2 * kSecond;
// An adopted profile is relative to the average worker of another pool, and may
// be out of date: its variance is at least that of a few samples, so that the
// samples of this daemon soon count more.
constexpr double kMinAdoptedVariance = 0.1 * 0.1;
// Variance of a profile learned from one sample; it falls with their number.
constexpr double kVarianceOfOneSample = 0.3 * 0.3;
// Bounds of an adopted run time factor.
constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 4;
// Bounds of adopted counts, far above those that matter: the time of an
// ejection is longest after a few of them, and a profile changes at the same
// rate after some tens of samples. They keep a wrong value of another daemon
// from overflowing.
constexpr uint32_t kMaxAdoptedEjections = 100;
constexpr uint32_t kMaxAdoptedSamples = 1'000'000;

AnnouncedRecord RecordOf(const PoolWorker& worker) {
  return {worker.profile.samples, worker.health.ejections, worker.health.slow};
}

// Returns whether a row is from a daemon that has the worker's newest record:
// its owner, or its last owner, which has released it.
bool IsFromOwner(const std::string& from,
                 const wire::WorkerNews& row,
                 const PoolWorker& worker) {
  if (!row.owner().empty()) {
    return row.owner() == from;
  }
  return row.token() != 0 && row.token() >= worker.status.token();
}

void AdoptHealth(const wire::WorkerNews& row, PoolWorker& worker, Micros now) {
  WorkerHealth& health = worker.health;
  const int ejections =
      static_cast<int>(std::min(row.ejections(), kMaxAdoptedEjections));
  if (health.ejections != ejections) {
    health.failures_in_row =
        ejections > 0 ? HealthOptions().failures_to_eject : 0;
  }
  health.ejections = ejections;
  health.probation = ejections > 0;
  health.slow = row.slow();
  // Clamped before the conversion, which could overflow.
  const Micros remaining =
      std::clamp<int64_t>(row.ejected_for_ms(), 0,
                          HealthOptions().longest_ejection / kMillisecond) *
      kMillisecond;
  health.ejected_until = remaining > 0 ? now + remaining : 0;
}

}  // namespace

wire::WorkerNews ProfileOf(const PoolBoard& board,
                           const PoolWorker& worker,
                           Micros now) {
  wire::WorkerNews row = worker.status;
  if (!board.options.features.run_times_by_worker) {
    return row;
  }
  const bool known = worker.profile.samples > 0;
  row.set_run_time_factor(known ? ProfileFactor(board, worker) : 0);
  row.set_run_time_samples(worker.profile.samples);
  row.set_ejections(static_cast<uint32_t>(worker.health.ejections));
  const Micros remaining =
      std::max<Micros>(worker.health.ejected_until - now, 0);
  row.set_ejected_for_ms(remaining / kMillisecond);
  row.set_slow(worker.health.slow);
  return row;
}

void AdoptProfile(PoolBoard& board,
                  const std::string& from,
                  const wire::WorkerNews& row,
                  PoolWorker& worker,
                  Micros now) {
  if (!board.options.features.run_times_by_worker || row.gone() ||
      worker.session != SessionState::kNone || !IsInPool(worker) ||
      row.born_ms() != worker.status.born_ms()) {
    return;
  }
  const bool from_owner = IsFromOwner(from, row, worker);
  WorkerProfile& profile = worker.profile;
  const uint32_t samples = std::min(row.run_time_samples(), kMaxAdoptedSamples);
  const bool newer_profile =
      samples > profile.samples || (from_owner && samples == profile.samples);
  if (samples > 0 && newer_profile && row.run_time_factor() > 0) {
    board.counters.profiles_adopted += profile.samples == 0 ? 1 : 0;
    profile.samples = samples;
    profile.log_factor =
        std::log(std::clamp(row.run_time_factor(), kMinFactor, kMaxFactor));
    profile.variance =
        std::max(kMinAdoptedVariance, kVarianceOfOneSample / profile.samples);
    profile.same_side = 0;
  }
  // Other daemons relay what they know of a worker, which may be older.
  const bool has_record = row.ejections() > 0 || row.slow();
  const bool knows_record = worker.health.ejections > 0 || worker.health.slow;
  if (from_owner || (has_record && !knows_record)) {
    AdoptHealth(row, worker, now);
  }
}

void ProfileTick(PoolBoard& board, Micros now, PoolActions& actions) {
  if (!board.options.features.run_times_by_worker) {
    return;
  }
  CenterProfiles(board);
  const bool periodic = now >= board.profile_update_due;
  if (periodic) {
    board.profile_update_due = now + kUpdatePeriod;
  }
  std::vector<PoolWorker*> changed;
  for (const auto& [id, worker] : board.owned) {
    const AnnouncedRecord record = RecordOf(*worker);
    const bool urgent = record.ejections != worker->announced.ejections ||
                        record.slow != worker->announced.slow;
    // While the session is reconciled, the owner is not certain.
    if (worker->session == SessionState::kReady &&
        (urgent || (periodic && record != worker->announced))) {
      worker->announced = record;
      changed.push_back(worker);
    }
  }
  if (changed.empty()) {
    return;
  }
  for (const auto& [address, member] : board.mesh.members) {
    if (!IsPeerReachable(board.mesh, address, now)) {
      continue;
    }
    wire::PoolMessage message;
    for (const PoolWorker* worker : changed) {
      if (ReceivesUpdatesOf(member, worker->status)) {
        *message.mutable_worker_news()->add_workers() =
            ProfileOf(board, *worker, now);
      }
    }
    if (message.worker_news().workers_size() > 0) {
      SendTo(actions, address, std::move(message));
    }
  }
}

}  // namespace goldcrest
