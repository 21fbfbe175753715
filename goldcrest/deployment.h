#ifndef GOLDCREST_DEPLOYMENT_H_
#define GOLDCREST_DEPLOYMENT_H_

// The entry VMs of a deployment and the roles that follow from their names.
//
// Every role is a pure function of the peer list, which is the same on all VMs:
// the home failure domain of a submission, the ranking of its possible owners,
// the voters on its claim, the voters on the configuration and the preferred
// holder of a worker's lease. No agreement at run time is needed for these.

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

// The VMs that vote on claims of submissions whose home is `failure_domain`.
struct ClaimGroup {
  std::string failure_domain;
  std::vector<std::string> voters;
};

// The deployment as given by the settings of one daemon.
struct Deployment {
  // This VM: its name, its failure domain and the address of its HTTP server.
  std::string self;
  std::string failure_domain;
  std::string http_address;
  // All entry VMs, this one included, ordered by name.
  std::vector<EntryVm> vms;
  // One group for each failure domain, ordered by domain.
  std::vector<ClaimGroup> claim_groups;
  // The voters on the configuration, ordered by name; their number is odd.
  std::vector<std::string> configuration_voters;
  // Increases with each start of the daemon.
  uint64_t incarnation = 0;
  // Whether the daemon has a data folder for its journal.
  bool has_disk = false;
  // The seed of the random choices of this daemon.
  uint64_t seed = 1;

  // Returns the VM `name`, or null.
  const EntryVm* Find(const std::string& name) const;
  // Returns the position of `name` in `vms`, or -1.
  int IndexOf(const std::string& name) const;
  // Returns the claim group of `failure_domain`, or null.
  const ClaimGroup* GroupOf(const std::string& failure_domain) const;
  // Returns the names of the VMs of `failure_domain`, ordered.
  std::vector<std::string> VmsOf(const std::string& failure_domain) const;
  bool IsSingleVm() const { return vms.size() == 1; }
};

// The maximum number of voters on the configuration.
inline constexpr size_t kMaxConfigurationVoters = 11;

// The number of voters of a claim group. A group has fewer only if its failure
// domain has one VM, or two and there is no VM elsewhere.
inline constexpr size_t kClaimVoters = 3;

// Sorts the VMs of `deployment` by name and sets its claim groups and
// configuration voters.
void AssignRoles(Deployment& deployment);

// Parses "name/domain/ip:port,...". The error is a message for the operator.
tl::expected<std::vector<EntryVm>, std::string> ParsePeers(
    const std::string& text);

// Returns the home failure domain of a submission whose caller specifies none:
// the domain with the highest rendezvous weight.
std::string DerivedHome(const Deployment& deployment,
                        const std::string& submission_id);

// Returns the VMs of `failure_domain` in the order of preference as owners of
// `submission_id`. The first one may claim it without a prepare phase.
std::vector<std::string> OwnerRanking(const Deployment& deployment,
                                      const std::string& failure_domain,
                                      const std::string& submission_id);

// Returns the size of a majority of `voters` voters.
constexpr size_t MajorityOf(size_t voters) {
  return voters / 2 + 1;
}

}  // namespace goldcrest

#endif  // GOLDCREST_DEPLOYMENT_H_
