#ifndef GOLDCREST_CONFIGURATION_BOARD_H_
#define GOLDCREST_CONFIGURATION_BOARD_H_

// The configuration in force, this VM's vote and its proposals. Plain data on
// the blackboard; written by configuration_agreement.

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "goldcrest/action.h"
#include "goldcrest/configuration.h"
#include "goldcrest/time_units.h"
#include "goldcrest/write_times.h"
#include "proto/goldcrest.pb.h"

namespace goldcrest {

// A change of the configuration that this VM proposes.
struct ConfigurationProposal {
  ReplyToken token = kNoToken;
  // The version that the change is based on; it conflicts with any other.
  uint64_t if_version = 0;
  std::string document;
  std::string digest;
  wire::ClaimPhase phase = wire::CLAIM_PREPARE;
  uint64_t ballot = 0;
  // The voters that granted, or refused, the current phase.
  std::set<std::string> granted;
  std::set<std::string> refused;
  // The accepted state with the highest ballot among the replies to the prepare
  // phase.
  uint64_t highest_accepted_ballot = 0;
  wire::ConfigurationState highest_accepted_state;
  // The state proposed in the accept phase.
  wire::ConfigurationState proposed;
  // Whether `proposed` contains `document`, not an earlier state of the voters.
  bool proposing_own = false;
  // Whether any voter may have accepted `document`.
  bool maybe_accepted = false;
  Micros started_at = 0;
  Micros resend_at = 0;
};

struct ConfigurationBoard {
  // The version in force at this VM, and its document parsed.
  wire::ConfigurationState in_force;
  Configuration active;
  // This VM's vote, when it is a voter.
  wire::ConfigurationVote vote;
  // Whether the vote is lost and being recovered from the other voters.
  bool recovering = false;
  std::map<std::string, wire::ConfigurationRecoverReply> recovered;
  std::deque<ConfigurationProposal> proposals;  // the first one is in progress
  uint64_t highest_ballot = 0;
  // Replies to proposers that wait until a vote is durable, by journal token.
  std::map<uint64_t, SendPeer> unsynced_replies;
  // Of the writes of these votes, by journal token.
  WriteTimes write_times;
  // Replies to operators that wait until the version in the reply is durable at
  // this VM, by journal token.
  std::multimap<uint64_t, ReplyJson> unsynced_answers;
  // The journal token of the version in force while it is not durable, else 0.
  uint64_t unsynced_in_force_token = 0;
  // Proposed while no version is in force; canonical JSON.
  std::string first_document;
  // When a newer version was last requested from a peer, 0 if never.
  Micros last_fetch_at = 0;
  // When this VM may propose the first document if it is not the first voter.
  Micros bootstrap_at = 0;
};

}  // namespace goldcrest

#endif  // GOLDCREST_CONFIGURATION_BOARD_H_
