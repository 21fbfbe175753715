#ifndef GOLDCREST_CONFIGURATION_AGREEMENT_H_
#define GOLDCREST_CONFIGURATION_AGREEMENT_H_

// Agreement on the configuration in force.
//
// The configuration is one register, changed by compare-and-set on its
// version: a proposer prepares a ballot at a majority of the voters, derives
// the next state from the newest accepted one, and has a majority accept it.
// There is no leader, so no election stands between an operator and a change.
// The state carries the digests of earlier versions, so that the same change
// sent again gets the version that it got the first time.
//
// A voter with a disk answers after its vote is synced. A voter that lost its
// memory takes no part until it has read the votes of so many others that no
// decision which counted on its own vote can be missed. Everyone else, and a
// VM that was cut off, learns the state from heartbeats and a fetch. Versions
// in force only rise.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Starts the voter. `vote` is what the journal held, `has_vote` whether it
// held one, `lived_before` whether the data folder shows an earlier start.
void StartConfiguration(Blackboard& bb,
                        Now now,
                        const wire::ConfigurationVote& vote,
                        bool has_vote,
                        const wire::ConfigurationState& in_force,
                        Actions& actions);

// Handles an operator's change.
void OnConfigurationPut(Blackboard& bb,
                        const ConfigurationPut& put,
                        Now now,
                        Actions& actions);

void OnConfigurationRequest(Blackboard& bb,
                            const std::string& from,
                            const wire::ConfigurationRequest& request,
                            Now now,
                            Actions& actions);

void OnConfigurationReply(Blackboard& bb,
                          const std::string& from,
                          const wire::ConfigurationReply& reply,
                          Now now,
                          Actions& actions);

void OnConfigurationFetch(Blackboard& bb,
                          const std::string& from,
                          const wire::ConfigurationFetch& fetch,
                          Actions& actions);

void OnConfigurationInForce(Blackboard& bb,
                            const wire::ConfigurationInForce& message,
                            Actions& actions);

void OnConfigurationRecoverReply(Blackboard& bb,
                                 const std::string& from,
                                 const wire::ConfigurationRecoverReply& reply,
                                 Actions& actions);

// Sends unanswered messages again and ends changes that found no majority.
void OnConfigurationTimer(Blackboard& bb, Now now, Actions& actions);

// Asks for the votes of others while this voter's own is lost.
void OnConfigurationRecoveryTimer(Blackboard& bb, Now now, Actions& actions);

// Fetches a newer configuration that a peer's heartbeat announced.
void FetchNewer(Blackboard& bb,
                const std::string& from,
                uint64_t version,
                Now now,
                Actions& actions);

// Proposes the first document while nothing is in force.
void Bootstrap(Blackboard& bb, Now now, Actions& actions);

// Handles a synced (or failed) vote.
void OnVoteSynced(Blackboard& bb,
                  uint64_t token,
                  bool ok,
                  Now now,
                  Actions& actions);

// Returns the digest of `version` as the history of `state` has it, or an
// empty string.
std::string DigestOfVersion(const wire::ConfigurationState& state,
                            uint64_t version);

}  // namespace goldcrest

#endif  // GOLDCREST_CONFIGURATION_AGREEMENT_H_
