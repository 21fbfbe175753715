#include "goldcrest/deployment.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>

namespace goldcrest {
namespace {

Deployment MakeDeployment(const std::vector<int>& vms_per_domain) {
  Deployment deployment;
  for (size_t d = 0; d < vms_per_domain.size(); ++d) {
    const std::string domain = "d" + std::to_string(d);
    for (int i = 0; i < vms_per_domain[d]; ++i) {
      const std::string name = domain + "v" + std::to_string(i);
      deployment.vms.push_back({name, domain, "127.0.0.1:1"});
    }
  }
  AssignRoles(deployment);
  return deployment;
}

}  // namespace

TEST_CASE(
    "Deployment: a domain of two VMs has a third claim voter in another "
    "domain") {
  const Deployment deployment = MakeDeployment({2, 2, 1});
  const ClaimGroup* group = deployment.GroupOf("d0");
  REQUIRE(group->voters.size() == 3);
  CHECK(deployment.Find(group->voters[2])->failure_domain != "d0");
  CHECK(deployment.GroupOf("d2")->voters.size() == 1);
  CHECK(MakeDeployment({5}).GroupOf("d0")->voters.size() == 3);
}

TEST_CASE(
    "Deployment: the configuration voters are odd in number, at most eleven "
    "and "
    "spread over the domains") {
  for (int domains = 1; domains <= 28; ++domains) {
    const Deployment deployment =
        MakeDeployment(std::vector<int>(static_cast<size_t>(domains), 2));
    const auto& voters = deployment.configuration_voters;
    CHECK(voters.size() % 2 == 1);
    CHECK(voters.size() <= kMaxConfigurationVoters);
    std::map<std::string, int> per_domain;
    for (const std::string& voter : voters) {
      ++per_domain[deployment.Find(voter)->failure_domain];
    }
    for (const auto& [domain, count] : per_domain) {
      CHECK((count == 1 || domains < static_cast<int>(voters.size())));
    }
  }
}

TEST_CASE("Deployment: homes and owners of submissions are spread evenly") {
  const Deployment deployment = MakeDeployment({2, 2, 2, 2});
  std::map<std::string, int> homes;
  std::map<std::string, int> owners;
  constexpr int kIds = 8000;
  for (int i = 0; i < kIds; ++i) {
    const std::string id = "kochi-" + std::to_string(i);
    const std::string home = DerivedHome(deployment, id);
    ++homes[home];
    ++owners[OwnerRanking(deployment, home, id).front()];
  }
  for (const auto& [home, count] : homes) {
    CHECK(count > kIds / 4 * 9 / 10);
    CHECK(count < kIds / 4 * 11 / 10);
  }
  for (const auto& [owner, count] : owners) {
    CHECK(count > kIds / 8 * 8 / 10);
    CHECK(count < kIds / 8 * 12 / 10);
  }
}

TEST_CASE("Deployment: an invalid peer list is refused") {
  CHECK(ParsePeers("a/x/127.0.0.1:1,b/y/127.0.0.1:2")->size() == 2);
  CHECK_FALSE(ParsePeers("a/x"));
  CHECK_FALSE(ParsePeers("a/x/127.0.0.1:1,a/y/127.0.0.1:2"));
  CHECK_FALSE(ParsePeers("a b/x/127.0.0.1:1"));
  CHECK_FALSE(ParsePeers(""));
}

}  // namespace goldcrest
