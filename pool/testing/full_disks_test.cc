// Control daemons whose disks refuse writes for seconds, one after another, and
// requests that were forwarded to a leader that does not answer.

#include <algorithm>
#include <deque>
#include <numeric>
#include <optional>
#include <random>

#include <catch2/catch.hpp>

#include "pool/testing/pool_load.h"

namespace goldcrest {
namespace {

// Longest time until an operator's request is answered.
constexpr Micros kAnswerLimit = 4 * kSecond;
// Longest time until the entry daemons use an acknowledged configuration.
constexpr Micros kApplyLimit = 2 * kSecond;
// How often the operator sends a change and a read.
constexpr Micros kRequestPeriod = 200 * kMillisecond;
// Time without faults after which a change is acknowledged at the first try.
constexpr Micros kRecoveryTime = 2 * kSecond;
constexpr uint64_t kNotRead = 0;
constexpr auto kNoAnswer = static_cast<ChangeResult>(0xff);

// A change and a read that the operator sent to one control daemon.
struct Request {
  size_t control = 0;
  int incarnation = 0;
  uint64_t version = 0;
  Micros sent_at = 0;
  ChangeResult change = kNoAnswer;
  std::optional<uint64_t> read;
};

bool IsAnswered(const Request& request) {
  return request.change != kNoAnswer && request.read.has_value();
}

// Sends requests and checks the answers.
class Operator {
 public:
  explicit Operator(FakePool& pool) : pool_(pool) {}

  void Send(size_t control) {
    const FakeControl& daemon = pool_.controls()[control];
    if (!daemon.running) {
      return;
    }
    Request& request = requests_.emplace_back();
    request.control = control;
    request.incarnation = daemon.incarnation;
    request.version = next_version_++;
    request.sent_at = pool_.now();
    pool_.ChangeConfiguration(control, request.version, &request.change);
    pool_.RequestConfiguration(control, &request.read);
  }

  // Requires that every request to a process that still runs was answered
  // within `limit`.
  void RequireAnswers(Micros limit) const {
    for (const Request& request : requests_) {
      const FakeControl& daemon = pool_.controls()[request.control];
      if (daemon.incarnation == request.incarnation &&
          pool_.now() - request.sent_at >= limit) {
        INFO("version " << request.version << " sent at "
                        << request.sent_at / kMillisecond << " to control "
                        << request.control);
        REQUIRE(IsAnswered(request));
      }
    }
  }

  // Returns the newest version that was acknowledged.
  uint64_t Acknowledged() const {
    uint64_t newest = 0;
    for (const Request& request : requests_) {
      if (request.change == ChangeResult::kDurable) {
        newest = std::max(newest, request.version);
      }
    }
    return newest;
  }

  const std::deque<Request>& requests() const { return requests_; }

 private:
  FakePool& pool_;
  std::deque<Request> requests_;
  uint64_t next_version_ = 10;
};

FakePoolOptions OptionsFor(size_t controls, uint64_t seed) {
  const std::vector<std::string> domains = {"a", "b", "c", "d", "e"};
  FakePoolOptions options;
  options.domains.assign(domains.begin(),
                         domains.begin() + static_cast<int>(controls));
  options.workers_per_domain = 1;
  options.seed = seed;
  return options;
}

// Sends a request to one control daemon after another for `duration`. Requires
// an acknowledgment at least every `kAnswerLimit` if `serving`.
void RunWithRequests(FakePool& pool,
                     Operator& requests,
                     Micros duration,
                     bool serving) {
  const Micros until = pool.now() + duration;
  size_t control = requests.requests().size();
  while (pool.now() < until) {
    requests.Send(control++ % pool.controls().size());
    pool.Run(std::min(kRequestPeriod, until - pool.now()));
    requests.RequireAnswers(kAnswerLimit);
  }
  if (serving && duration >= kSecond) {
    const uint64_t newest = requests.requests().back().version;
    CHECK(newest - requests.Acknowledged() <=
          static_cast<uint64_t>(kAnswerLimit / kRequestPeriod));
  }
}

// Requires that all control daemons acknowledge a change at once, that all
// return the newest version, and that all entry daemons use it.
void RequireServing(FakePool& pool, Operator& requests) {
  for (size_t i = 0; i < pool.controls().size(); ++i) {
    INFO("control " << i << " at " << pool.now() / kMillisecond);
    requests.Send(i);
    pool.Run(kSecond);
    REQUIRE(requests.requests().back().change == ChangeResult::kDurable);
  }
  const uint64_t newest = requests.Acknowledged();
  std::deque<std::optional<uint64_t>> reads;
  for (size_t i = 0; i < pool.controls().size(); ++i) {
    pool.RequestConfiguration(i, &reads.emplace_back());
  }
  pool.Run(kApplyLimit);
  for (const std::optional<uint64_t>& read : reads) {
    CHECK(read.value_or(kNotRead) == newest);
  }
  for (const FakeEntry& entry : pool.entries()) {
    CHECK(entry.board.routing.version() == newest);
  }
}

// All control daemons lose power right after a change was acknowledged.
void RequirePowerLossKeepsChange(FakePool& pool, Operator& requests) {
  requests.Send(0);
  while (!IsAnswered(requests.requests().back())) {
    pool.Run(kMillisecond);
  }
  const uint64_t acknowledged = requests.Acknowledged();
  for (size_t i = 0; i < pool.controls().size(); ++i) {
    pool.KillControl(i);
  }
  for (size_t i = 0; i < pool.controls().size(); ++i) {
    pool.StartControl(i);
  }
  pool.Run(kRecoveryTime);
  CHECK(pool.NewestVersion() >= acknowledged);
  RequireServing(pool, requests);
}

TEST_CASE(
    "Agreement: changes are acknowledged while and after the disks are full "
    "one after another, in every order") {
  for (const size_t controls : {3U, 4U}) {
    std::vector<size_t> order(controls);
    std::iota(order.begin(), order.end(), 0);
    do {
      FakePool pool{OptionsFor(controls, 1)};
      WaitUntilServing(pool);
      Operator requests(pool);
      for (const size_t full : order) {
        pool.controls()[full].disk_write_fails = true;
        RunWithRequests(pool, requests, 3 * kSecond, true);
        pool.controls()[full].disk_write_fails = false;
      }
      pool.Run(kRecoveryTime);
      RequireServing(pool, requests);
    } while (std::next_permutation(order.begin(), order.end()));
  }
}

// Restarts, stops or cuts off a daemon while the disk of `full` is full.
void InjectFault(FakePool& pool, size_t full, std::mt19937_64& random) {
  const size_t other = random() % pool.controls().size();
  switch (random() % 5) {
    case 0:
      pool.KillControl(full);
      pool.StartControl(full);
      break;
    case 1:
      pool.KillControl(LeaderOf(pool));
      break;
    case 2:
      pool.KillControl(other);
      break;
    case 3:
      pool.DropMessages(pool.controls()[other].address,
                        pool.controls()[full].address);
      break;
    default:
      break;
  }
}

void EndFaults(FakePool& pool) {
  pool.EndPartitions();
  for (size_t i = 0; i < pool.controls().size(); ++i) {
    if (!pool.controls()[i].running) {
      pool.StartControl(i);
    }
  }
}

TEST_CASE(
    "Agreement: changes are acknowledged after the disks were full one after "
    "another, with restarts and lost messages meanwhile") {
  constexpr uint64_t kSeeds = 100;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    const auto between = [&](Micros low, Micros high) {
      return std::uniform_int_distribution<Micros>(low, high)(random);
    };
    FakePool pool{OptionsFor(3 + seed % 3, seed)};
    WaitUntilServing(pool);
    Operator requests(pool);
    std::vector<size_t> order(pool.controls().size());
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random);
    for (const size_t full : order) {
      pool.controls()[full].disk_write_fails = true;
      RunWithRequests(pool, requests, between(0, 2 * kSecond), false);
      InjectFault(pool, full, random);
      RunWithRequests(pool, requests, between(kSecond, 3 * kSecond), false);
      EndFaults(pool);
      pool.controls()[full].disk_write_fails = false;
      RunWithRequests(pool, requests, between(0, kSecond), false);
    }
    pool.Run(kRecoveryTime);
    RequireServing(pool, requests);
    RequirePowerLossKeepsChange(pool, requests);
  }
}

TEST_CASE(
    "Agreement: a forwarded change or read is answered although the leader "
    "does not answer") {
  for (const bool leader_is_killed : {false, true}) {
    FakePool pool{OptionsFor(3, 1)};
    WaitUntilServing(pool);
    Operator requests(pool);
    const size_t leader = LeaderOf(pool);
    const size_t follower = (leader + 1) % pool.controls().size();
    const std::string& address = pool.controls()[follower].address;
    pool.DropMessages(pool.controls()[leader].address, address);
    requests.Send(follower);
    pool.Run(20 * kMillisecond);
    if (leader_is_killed) {
      pool.KillControl(leader);
    }
    pool.EndPartitions();
    pool.Run(kAnswerLimit);
    requests.RequireAnswers(kAnswerLimit);
    // The outcome is not known to this daemon, so it must not acknowledge.
    CHECK(requests.requests().back().change == ChangeResult::kUnknown);
    CHECK(requests.requests().back().read == kNotRead);
  }
}

TEST_CASE(
    "Agreement: a control daemon without room on its disk does not raise the "
    "term again and again while no leader can be elected") {
  FakePool pool{OptionsFor(3, 1)};
  WaitUntilServing(pool);
  Operator requests(pool);
  const size_t leader = LeaderOf(pool);
  const size_t full = (leader + 1) % pool.controls().size();
  const uint64_t term = pool.controls()[leader].board.agreement.stored.term();
  pool.controls()[full].disk_write_fails = true;
  pool.KillControl(leader);
  RunWithRequests(pool, requests, 30 * kSecond, false);
  for (const FakeControl& control : pool.controls()) {
    CHECK(control.board.agreement.stored.term() <= term + 2);
  }
  pool.controls()[full].disk_write_fails = false;
  pool.Run(2 * kRecoveryTime);
  pool.StartControl(leader);
  pool.Run(kRecoveryTime);
  RequireServing(pool, requests);
}

TEST_CASE(
    "Agreement: a daemon that restarts grants no vote before the state that it "
    "read is on disk") {
  constexpr uint64_t kSelf = 1;
  constexpr uint64_t kCandidate = 2;
  AgreementOptions options;
  options.self = "self";
  wire::StoredRegister stored;
  stored.set_store_id(kSelf);
  stored.set_term(7);
  stored.set_voted_for(kCandidate);
  stored.mutable_state()->add_voters()->set_store_id(kSelf);
  stored.mutable_state()->add_voters()->set_store_id(kCandidate);
  PoolActions actions;
  Agreement agreement =
      MakeAgreement(options, stored, false, {}, 1, kSecond, actions);
  wire::VoteRequest request;
  request.set_term(7);
  request.set_candidate(kCandidate);
  const auto count_messages = [&] {
    return std::count_if(actions.begin(), actions.end(), [](const auto& one) {
      return std::holds_alternative<SendMessage>(one);
    });
  };
  const Micros now = 3 * kSecond;
  OnVoteRequest(agreement, "candidate", request, now, actions);
  CHECK(count_messages() == 0);
  OnRegisterStored(agreement, agreement.writes.newest_sequence, false, now,
                   actions);
  CHECK(count_messages() == 0);
  OnRegisterStored(agreement, agreement.writes.newest_sequence, true, now,
                   actions);
  CHECK(count_messages() == 1);
}

}  // namespace
}  // namespace goldcrest
