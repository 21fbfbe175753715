#include "goldcrest/deployment.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include <Poco/StringTokenizer.h>

#include "goldcrest/digest.h"
#include "goldcrest/submission.h"

namespace goldcrest {
namespace {

// Returns `names` by decreasing rendezvous weight for `key`, ties by name.
std::vector<std::string> RankByWeight(const std::string& key,
                                      std::vector<std::string> names) {
  std::sort(names.begin(), names.end(),
            [&](const std::string& a, const std::string& b) {
              const uint64_t weight_a = RendezvousWeight(key, a);
              const uint64_t weight_b = RendezvousWeight(key, b);
              return weight_a != weight_b ? weight_a > weight_b : a < b;
            });
  return names;
}

// Returns the claim group of `domain`. A domain with three or more VMs has its
// first three VMs as voters. A domain with two VMs has a witness from another
// domain as its third voter, so that a majority remains when one VM fails, or
// when the two are partitioned from the other domains. In a domain with one VM,
// that VM is the only voter.
ClaimGroup MakeGroup(const Deployment& deployment, const std::string& domain) {
  ClaimGroup group{domain, deployment.VmsOf(domain)};
  if (group.voters.size() > kClaimVoters) {
    group.voters.resize(kClaimVoters);
  }
  if (group.voters.size() != kClaimVoters - 1) {
    return group;
  }
  std::vector<std::string> others;
  for (const EntryVm& vm : deployment.vms) {
    if (vm.failure_domain != domain) {
      others.push_back(vm.name);
    }
  }
  others = RankByWeight(domain, std::move(others));
  if (!others.empty()) {
    group.voters.push_back(others.front());
  }
  return group;
}

// Returns the configuration voters. They are taken from each domain in turn, so
// that no domain has a majority unless it has nearly all VMs.
std::vector<std::string> ChooseConfigurationVoters(
    const Deployment& deployment) {
  std::vector<std::string> voters;
  size_t count = std::min(deployment.vms.size(), kMaxConfigurationVoters);
  count -= count % 2 == 0 ? 1 : 0;
  for (size_t turn = 0; voters.size() < count; ++turn) {
    for (const ClaimGroup& group : deployment.claim_groups) {
      const auto vms = deployment.VmsOf(group.failure_domain);
      if (turn < vms.size() && voters.size() < count) {
        voters.push_back(vms[turn]);
      }
    }
  }
  std::sort(voters.begin(), voters.end());
  return voters;
}

}  // namespace

const EntryVm* Deployment::Find(const std::string& name) const {
  const int index = IndexOf(name);
  return index < 0 ? nullptr : &vms[static_cast<size_t>(index)];
}

int Deployment::IndexOf(const std::string& name) const {
  const auto found = std::lower_bound(
      vms.begin(), vms.end(), name,
      [](const EntryVm& vm, const std::string& n) { return vm.name < n; });
  if (found == vms.end() || found->name != name) {
    return -1;
  }
  return static_cast<int>(found - vms.begin());
}

const ClaimGroup* Deployment::GroupOf(
    const std::string& failure_domain_name) const {
  for (const ClaimGroup& group : claim_groups) {
    if (group.failure_domain == failure_domain_name) {
      return &group;
    }
  }
  return nullptr;
}

std::vector<std::string> Deployment::VmsOf(
    const std::string& failure_domain_name) const {
  std::vector<std::string> names;
  for (const EntryVm& vm : vms) {
    if (vm.failure_domain == failure_domain_name) {
      names.push_back(vm.name);
    }
  }
  return names;
}

void AssignRoles(Deployment& deployment) {
  std::sort(deployment.vms.begin(), deployment.vms.end(),
            [](const EntryVm& a, const EntryVm& b) { return a.name < b.name; });
  std::set<std::string> domains;
  for (const EntryVm& vm : deployment.vms) {
    domains.insert(vm.failure_domain);
  }
  deployment.claim_groups.clear();
  for (const std::string& domain : domains) {
    deployment.claim_groups.push_back(MakeGroup(deployment, domain));
  }
  deployment.configuration_voters = ChooseConfigurationVoters(deployment);
}

tl::expected<std::vector<EntryVm>, std::string> ParsePeers(
    const std::string& text) {
  std::vector<EntryVm> vms;
  std::set<std::string> names;
  const Poco::StringTokenizer entries(text, ",",
                                      Poco::StringTokenizer::TOK_TRIM);
  for (const std::string& entry : entries) {
    const Poco::StringTokenizer parts(entry, "/",
                                      Poco::StringTokenizer::TOK_TRIM);
    if (parts.count() != 3 || !IsValidName(parts[0]) ||
        !IsValidName(parts[1]) || parts[2].find(':') == std::string::npos) {
      return tl::make_unexpected("'" + entry +
                                 "' is not of the form name/domain/ip:port");
    }
    if (!names.insert(parts[0]).second) {
      return tl::make_unexpected("the VM '" + parts[0] + "' is listed twice");
    }
    vms.push_back({parts[0], parts[1], parts[2]});
  }
  if (vms.empty()) {
    return tl::make_unexpected(std::string("the list names no VM"));
  }
  return vms;
}

std::string DerivedHome(const Deployment& deployment,
                        const std::string& submission_id) {
  std::string home;
  uint64_t best = 0;
  for (const ClaimGroup& group : deployment.claim_groups) {
    const uint64_t weight =
        RendezvousWeight(submission_id, group.failure_domain);
    if (home.empty() || weight > best) {
      home = group.failure_domain;
      best = weight;
    }
  }
  return home;
}

std::vector<std::string> OwnerRanking(const Deployment& deployment,
                                      const std::string& failure_domain,
                                      const std::string& submission_id) {
  return RankByWeight(submission_id, deployment.VmsOf(failure_domain));
}

}  // namespace goldcrest
