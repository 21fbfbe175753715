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
#include "proto/goldcrest.pb.h"

namespace goldcrest {

// A change of configuration that this VM proposes.
struct ConfigurationProposal {
  ReplyToken token = kNoToken;
  uint64_t if_version = 0;
  std::string document;
  std::string digest;
  wire::ClaimPhase phase = wire::CLAIM_PREPARE;
  uint64_t ballot = 0;
  std::set<std::string> granted;
  std::set<std::string> refused;
  // The highest accepted state that the prepare phase found.
  uint64_t best_accepted = 0;
  wire::ConfigurationState best;
  // The state being accepted.
  wire::ConfigurationState proposed;
  bool proposing_own = false;
  // Whether any voter may have accepted the caller's document.
  bool maybe_accepted = false;
  Micros started_at = 0;
  Micros resend_at = 0;
};

struct ConfigurationBoard {
  // In force at this VM.
  wire::ConfigurationState in_force;
  Configuration active;
  // This VM's vote, when it is a voter.
  wire::ConfigurationVote vote;
  bool recovering = false;
  std::map<std::string, wire::ConfigurationRecoverReply> recovered;
  std::deque<ConfigurationProposal> proposals;  // the first one is in progress
  uint64_t highest_ballot = 0;
  // Replies that wait until a vote is durable, by journal token.
  std::map<uint64_t, SendPeer> unsynced_replies;
  // Replies to operators that wait until the version that they name is durable
  // here, by journal token.
  std::multimap<uint64_t, ReplyJson> unsynced_answers;
  // The journal token of the version in force, while it is not durable.
  uint64_t unsynced_version = 0;
  // Proposed when nothing is in force; canonical JSON.
  std::string first_document;
  Micros fetched_at = 0;
  // When this VM may propose the first document.
  Micros bootstrap_at = 0;
};

}  // namespace goldcrest

#endif  // GOLDCREST_CONFIGURATION_BOARD_H_
