#include "pool/pool_choice.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "goldcrest/digest.h"

namespace goldcrest {
namespace {

// Additional wait, in milliseconds, that a pool of the own failure domain may
// have: messages to other domains take longer and are lost more often.
constexpr int64_t kOtherDomainCostMs = 20;
// Added to the waits before they are compared, so that differences of a few
// milliseconds, less than a load's error, hardly count.
constexpr double kWaitErrorMs = 20;

// Returns the random number of an offer, greater than 0 and less than 1.
double RandomOf(const std::string& self,
                const std::string& job_id,
                const std::string& pool) {
  constexpr uint64_t kRange = 1ULL << 32U;
  const uint64_t hash = RendezvousWeight(self + '/' + job_id, pool) % kRange;
  return (static_cast<double>(hash) + 0.5) / static_cast<double>(kRange);
}

// Returns the index of one of the eligible offers, chosen with a probability
// proportional to its weight.
std::optional<size_t> ChooseByWeight(
    const std::vector<PoolOffer>& offers,
    const std::function<bool(const PoolOffer&)>& eligible,
    const std::function<double(const PoolOffer&)>& weight) {
  std::optional<size_t> best;
  double best_key = 0;
  for (size_t i = 0; i < offers.size(); ++i) {
    if (!eligible(offers[i])) {
      continue;
    }
    // The least of exponentially distributed numbers with these rates.
    const double key = -std::log(offers[i].random) / weight(offers[i]);
    if (!best || key < best_key) {
      best = i;
      best_key = key;
    }
  }
  return best;
}

// Returns the shortest wait of the pools of the own domain, plus the cost of
// going to another one.
int64_t OtherDomainLimitMs(const std::vector<PoolOffer>& offers) {
  int64_t limit = INT64_MAX;
  for (const PoolOffer& offer : offers) {
    if (offer.own_domain) {
      limit = std::min(limit, offer.wait_ms - kOtherDomainCostMs);
    }
  }
  return limit;
}

// The square makes a pool with half the wait four times as likely, so that
// waits become equal within a few heartbeats without all jobs going to one
// pool.
double WeightOfWait(const PoolOffer& offer) {
  const double wait = static_cast<double>(offer.wait_ms) + kWaitErrorMs;
  return (static_cast<double>(offer.capacity_cpu_millis) + 1) / (wait * wait);
}

}  // namespace

PoolOffer MakePoolOffer(const MeshMember& member,
                        const InitialTasks& initial,
                        int32_t priority,
                        const MeshOptions& self,
                        const std::string& job_id) {
  const wire::PoolLoad& load = member.last_heartbeat.load();
  const int64_t holes =
      StatesHolesAndWaits(load)
          ? HolesFor(load, initial.largest_cpu_millis)
          : load.free_cpu_millis() /
                std::max<int64_t>(initial.largest_cpu_millis, 1);
  PoolOffer offer;
  offer.holds_at_once = HoldsAtOnce(load, initial);
  offer.own_domain =
      member.last_heartbeat.failure_domain() == self.failure_domain;
  offer.spare_tasks = std::max<int64_t>(holes - initial.tasks, 0);
  offer.wait_ms = ExpectedWaitMs(load, priority);
  offer.capacity_cpu_millis = load.capacity_cpu_millis();
  offer.random = RandomOf(self.self, job_id, member.address);
  return offer;
}

std::optional<size_t> ChoosePool(const std::vector<PoolOffer>& offers) {
  const auto spare = [](const PoolOffer& offer) {
    return static_cast<double>(offer.spare_tasks) + 1;
  };
  std::optional<size_t> chosen = ChooseByWeight(
      offers,
      [](const PoolOffer& offer) {
        return offer.holds_at_once && offer.own_domain;
      },
      spare);
  if (chosen) {
    return chosen;
  }
  chosen = ChooseByWeight(
      offers, [](const PoolOffer& offer) { return offer.holds_at_once; },
      spare);
  if (chosen) {
    return chosen;
  }
  const int64_t limit_ms = OtherDomainLimitMs(offers);
  return ChooseByWeight(
      offers,
      [&](const PoolOffer& offer) {
        return offer.own_domain || offer.wait_ms < limit_ms;
      },
      WeightOfWait);
}

}  // namespace goldcrest
