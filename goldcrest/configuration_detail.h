#ifndef GOLDCREST_CONFIGURATION_DETAIL_H_
#define GOLDCREST_CONFIGURATION_DETAIL_H_

// What the proposer (configuration_agreement.cc) and the voter
// (configuration_voter.cc) of the configuration share.

#include <string>
#include <vector>

#include "goldcrest/blackboard.h"

namespace goldcrest::detail {

// Returns the VMs that vote on the configuration.
const std::vector<std::string>& Voters(const Blackboard& bb);

// Returns whether `vm` votes on the configuration.
bool IsVoter(const Blackboard& bb, const std::string& vm);

// Puts `state` into force at this VM if it is newer than the version in force.
void AdoptState(Blackboard& bb,
                const wire::ConfigurationState& state,
                Actions& actions);

// Returns the time in which a majority of the voters writes a vote, as far as
// this VM knows.
Micros MajorityWriteTime(const Blackboard& bb, Micros now);

// Logs when this VM's disk has become slow and when it has recovered.
void ReviewDisk(Blackboard& bb, Micros now, Actions& actions);

// Votes and replies. With a disk, a granting reply waits until the vote is
// synced; the same request is ignored until then.
void VoteAndReply(Blackboard& bb,
                  const std::string& to,
                  const wire::ConfigurationRequest& request,
                  StepTime now,
                  Actions& actions);

// Sends the reply that waited for the journal write `token`. If the write
// failed, the reply is dropped.
void DeliverSyncedVote(Blackboard& bb,
                       uint64_t token,
                       bool ok,
                       StepTime now,
                       Actions& actions);

}  // namespace goldcrest::detail

#endif  // GOLDCREST_CONFIGURATION_DETAIL_H_
