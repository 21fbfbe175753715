#include <algorithm>
#include <utility>

#include "pool/agreement/agreement.h"
#include "pool/agreement/agreement_detail.h"

namespace goldcrest {
namespace {

// Returns this VM and those that were reachable recently.
std::vector<wire::Voter> HealthyVms(const Agreement& agreement, Micros now) {
  std::vector<wire::Voter> healthy;
  wire::Voter self;
  self.set_store_id(detail::StoreId(agreement));
  self.set_address(agreement.options.self);
  self.set_failure_domain(agreement.options.failure_domain);
  healthy.push_back(self);
  for (const auto& [address, peer] : agreement.peers) {
    if (peer.store_id == 0 ||
        now - peer.last_received_at > agreement.options.replace_voter_after) {
      continue;
    }
    wire::Voter vm;
    vm.set_store_id(peer.store_id);
    vm.set_address(address);
    vm.set_failure_domain(peer.failure_domain);
    healthy.push_back(vm);
  }
  return healthy;
}

// Returns the disks that hold the newest entry, by store id.
std::set<uint64_t> CaughtUp(const Agreement& agreement) {
  std::set<uint64_t> caught_up = {detail::StoreId(agreement)};
  for (const auto& [address, follower] : agreement.followers) {
    const auto peer = agreement.peers.find(address);
    if (peer != agreement.peers.end() &&
        follower.durable == detail::EntryIdOf(detail::NewestEntry(agreement))) {
      caught_up.insert(peer->second.store_id);
    }
  }
  return caught_up;
}

bool SameVoters(const std::vector<wire::Voter>& left,
                const std::vector<wire::Voter>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const wire::Voter& a, const wire::Voter& b) {
                      return a.store_id() == b.store_id();
                    });
}

const wire::Voter* FindVoter(const std::vector<wire::Voter>& voters,
                             uint64_t store_id) {
  for (const wire::Voter& voter : voters) {
    if (voter.store_id() == store_id) {
      return &voter;
    }
  }
  return nullptr;
}

int CountInDomain(const std::vector<wire::Voter>& voters,
                  const std::string& domain) {
  return static_cast<int>(std::count_if(
      voters.begin(), voters.end(),
      [&](const auto& voter) { return voter.failure_domain() == domain; }));
}

}  // namespace

namespace detail {

void ReviewVoters(Agreement& agreement, Micros now, PoolActions& actions) {
  agreement.voter_review_due = now + kVoterReviewPeriod;
  if (agreement.committed_index != NewestEntry(agreement).index() ||
      !MayServeReads(agreement, now)) {
    return;
  }
  const std::vector<wire::Voter> voters(NewestEntry(agreement).voters().begin(),
                                        NewestEntry(agreement).voters().end());
  const size_t wanted = 2 * agreement.options.tolerated_losses + 1;
  const bool is_replacing = !NewestEntry(agreement).replaced_voters().empty();
  const std::vector<wire::Voter> next =
      is_replacing
          ? voters  // committed, so a majority of the new voters is enough now
          : NextVoters(voters, HealthyVms(agreement, now), CaughtUp(agreement),
                       wanted);
  if (!is_replacing && SameVoters(voters, next)) {
    return;
  }
  wire::RegisterState state = NewestEntry(agreement);
  state.clear_replaced_voters();
  if (!is_replacing && next.size() == voters.size()) {
    *state.mutable_replaced_voters() = state.voters();
  }
  state.clear_voters();
  std::string names;
  for (const wire::Voter& voter : next) {
    *state.add_voters() = voter;
    names += names.empty() ? "" : ",";
    names += voter.address();
  }
  LogPoolEvent(actions, LogLevel::kInfo, "voters_changed",
               {{"voters", names},
                {"before", std::to_string(voters.size())},
                {"replaced", std::to_string(state.replaced_voters_size())}});
  Propose(agreement, std::move(state), now, actions);
}

}  // namespace detail

std::vector<wire::Voter> NextVoters(const std::vector<wire::Voter>& voters,
                                    const std::vector<wire::Voter>& healthy,
                                    const std::set<uint64_t>& caught_up,
                                    size_t wanted) {
  std::vector<wire::Voter> reachable;
  const wire::Voter* unreachable = nullptr;
  for (const wire::Voter& voter : voters) {
    if (FindVoter(healthy, voter.store_id()) != nullptr) {
      reachable.push_back(voter);
    } else {
      unreachable = &voter;
    }
  }
  std::vector<wire::Voter> next = voters;
  if (unreachable != nullptr && voters.size() > wanted) {
    std::erase_if(next, [&](const auto& voter) {
      return voter.store_id() == unreachable->store_id();
    });
    return next;
  }
  const wire::Voter* candidate = nullptr;
  for (const wire::Voter& vm : healthy) {
    if (FindVoter(voters, vm.store_id()) != nullptr ||
        !caught_up.contains(vm.store_id())) {
      continue;
    }
    const bool better =
        candidate == nullptr ||
        CountInDomain(reachable, vm.failure_domain()) <
            CountInDomain(reachable, candidate->failure_domain());
    candidate = better ? &vm : candidate;
  }
  // The same majority as before the change is enough at each step of it.
  const bool has_majority = static_cast<int>(reachable.size()) >=
                            MajorityOf(static_cast<int>(voters.size()));
  if (candidate == nullptr || !has_majority) {
    return next;
  }
  if (unreachable != nullptr) {
    std::replace_if(
        next.begin(), next.end(),
        [&](const auto& voter) {
          return voter.store_id() == unreachable->store_id();
        },
        *candidate);
  } else if (voters.size() < wanted) {
    next.push_back(*candidate);
  }
  return next;
}

}  // namespace goldcrest
