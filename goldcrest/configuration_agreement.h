#ifndef GOLDCREST_CONFIGURATION_AGREEMENT_H_
#define GOLDCREST_CONFIGURATION_AGREEMENT_H_

// Consensus on the configuration in force.
//
// The configuration is one register, changed by compare-and-set on its version.
// A proposer prepares a ballot at a majority of the voters, derives the next
// state from the newest accepted one, and has a majority accept it. There is no
// leader, so a change never waits for an election. The state contains the
// digests of earlier versions, so that a change that is sent again is answered
// with the version that it received the first time.
//
// A voter with a disk replies after its vote is synced. A voter with lost state
// abstains until it has read the votes of a majority, so that it misses no
// decision in which its own lost vote counted. VMs that are no voters, and VMs
// that were partitioned, learn of a newer version from heartbeats and fetch it.
// The version in force never decreases.

#include <string>

#include "goldcrest/blackboard.h"

namespace goldcrest {

// Starts the voter. `vote` is the vote read from the journal, `has_vote`
// whether the journal contained one, `in_force` the last version in the
// journal.
void StartConfiguration(Blackboard& bb,
                        StepTime now,
                        const wire::ConfigurationVote& vote,
                        bool has_vote,
                        const wire::ConfigurationState& in_force,
                        Actions& actions);

// Handles a change by an operator, and replies with the version, a version
// conflict, or a refusal.
void OnConfigurationPut(Blackboard& bb,
                        const ConfigurationPut& put,
                        StepTime now,
                        Actions& actions);

// Returns whether an operator waits for the reply to a change.
bool HasWaitingOperators(const Blackboard& bb);

// Ends all proposals and replies to the operators: "refused" if no voter can
// have accepted the change, else "unknown".
void EndProposals(Blackboard& bb, Actions& actions);

// Votes on a request of the proposer `from`. Ignored when this VM is no voter.
void OnConfigurationRequest(Blackboard& bb,
                            const std::string& from,
                            const wire::ConfigurationRequest& request,
                            StepTime now,
                            Actions& actions);

// Handles a voter's reply to the proposal in progress.
void OnConfigurationReply(Blackboard& bb,
                          const std::string& from,
                          const wire::ConfigurationReply& reply,
                          StepTime now,
                          Actions& actions);

// Sends `from` the version in force, or this voter's vote if `from` has to
// recover its own.
void OnConfigurationFetch(Blackboard& bb,
                          const std::string& from,
                          const wire::ConfigurationFetch& fetch,
                          Actions& actions);

// Adopts a version that another VM sent, if it is newer.
void OnConfigurationInForce(Blackboard& bb,
                            const wire::ConfigurationInForce& message,
                            Actions& actions);

// Handles the vote of another voter while this voter recovers its own.
void OnConfigurationRecoverReply(Blackboard& bb,
                                 const std::string& from,
                                 const wire::ConfigurationRecoverReply& reply,
                                 Actions& actions);

// Resends messages without a reply, and ends a change that reached no majority
// within `configuration_timeout`.
void OnConfigurationTimer(Blackboard& bb, StepTime now, Actions& actions);

// Requests the votes of the other voters while this voter's own is lost.
void OnConfigurationRecoveryTimer(Blackboard& bb,
                                  StepTime now,
                                  Actions& actions);

// Fetches the configuration from `from` if `version`, announced in its
// heartbeat, is newer than the one in force here.
void FetchNewerConfiguration(Blackboard& bb,
                             const std::string& from,
                             uint64_t version,
                             StepTime now,
                             Actions& actions);

// Proposes the first document while no version is in force. The first voter
// proposes at once, other VMs after a delay.
void BootstrapConfiguration(Blackboard& bb, StepTime now, Actions& actions);

// Handles the end of a journal write: sends the replies that waited for it, or,
// when the write failed (`ok` is false), drops the vote and replies to
// operators with an unknown outcome.
void OnConfigurationVoteSynced(Blackboard& bb,
                               uint64_t token,
                               bool ok,
                               StepTime now,
                               Actions& actions);

// Returns the digest of `version` from the history of `state`, or an empty
// string if the history does not contain it.
std::string DigestOfVersion(const wire::ConfigurationState& state,
                            uint64_t version);

}  // namespace goldcrest

#endif  // GOLDCREST_CONFIGURATION_AGREEMENT_H_
