#ifndef GOLDCREST_DEPLOYMENT_H_
#define GOLDCREST_DEPLOYMENT_H_

// The entry VMs of a deployment and the roles that follow from their names.
//
// Every role here is a pure function of the peer list, which all VMs share: the
// home failure domain of a submission, the ranking of its possible owners, the
// voters on its claim, the voters on the configuration and the preferred
// holder of a worker's lease. Nobody has to agree on these at run time.

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace goldcrest {

// One entry VM: its name, its failure domain and the address of its peer
// socket, "ip:port".
struct EntryVm {
  std::string name;
  std::string failure_domain;
  std::string peer_address;
};

// The claim quorum of one failure domain.
struct ClaimGroup {
  std::string failure_domain;
  std::vector<std::string> voters;
};

// What a daemon knows of the deployment from its settings.
struct Deployment {
  std::string self;
  std::string failure_domain;
  std::string http_address;
  // All entry VMs, this one included, ordered by name.
  std::vector<EntryVm> vms;
  // One group for each failure domain, ordered by domain.
  std::vector<ClaimGroup> claim_groups;
  // The voters on the configuration, an odd number.
  std::vector<std::string> configuration_voters;
  // Grows with each start of the daemon.
  uint64_t incarnation = 0;
  bool has_disk = false;
  // Seeds every random choice of this daemon.
  uint64_t seed = 1;

  const EntryVm* Find(const std::string& name) const;
  // Returns the position of `name` in `vms`, or -1.
  int IndexOf(const std::string& name) const;
  const ClaimGroup* GroupOf(const std::string& failure_domain) const;
  std::vector<std::string> VmsOf(const std::string& failure_domain) const;
  bool IsAlone() const { return vms.size() == 1; }
};

// At most this many VMs vote on the configuration.
inline constexpr size_t kMaxConfigurationVoters = 11;

// Voters of a claim group in a deployment of several VMs.
inline constexpr size_t kClaimVoters = 3;

// Fills in the roles of `deployment` from its list of VMs.
void AssignRoles(Deployment& deployment);

// Reads "name/domain/ip:port,..." into entry VMs. The error is one sentence.
tl::expected<std::vector<EntryVm>, std::string> ParsePeers(
    const std::string& text);

// Returns the home failure domain of `submission_id` when its caller names
// none: the domain with the greatest rendezvous weight.
std::string DerivedHome(const Deployment& deployment,
                        const std::string& submission_id);

// Returns the VMs of `failure_domain` in the order in which they should own
// `submission_id`; the first one may claim it without a prepare phase.
std::vector<std::string> OwnerRanking(const Deployment& deployment,
                                      const std::string& failure_domain,
                                      const std::string& submission_id);

// Returns how many of `voters` make a majority.
constexpr size_t MajorityOf(size_t voters) {
  return voters / 2 + 1;
}

}  // namespace goldcrest

#endif  // GOLDCREST_DEPLOYMENT_H_
