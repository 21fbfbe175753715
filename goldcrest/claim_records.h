#ifndef GOLDCREST_CLAIM_RECORDS_H_
#define GOLDCREST_CLAIM_RECORDS_H_

// What this VM holds as a claim voter, and the results of its own jobs. Plain
// data on the blackboard; written by claim_store and claim_voter.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "goldcrest/time_units.h"
#include "proto/goldcrest.pb.h"

namespace goldcrest {

struct ClaimEntry {
  wire::ClaimRecord record;
  // Whether this VM knows that a majority of the voters has the result.
  bool recorded = false;
  Micros created_at = 0;
  Micros expires_at = 0;
  size_t answer_bytes = 0;
};

// A vote of this VM that goes to its proposer when its record is durable.
struct UnsyncedVote {
  std::string proposer;
  wire::PeerMessage message;
};

struct ClaimExpiry {
  Micros due = 0;
  std::string id;
};

// What this VM holds as a voter, and the results of its own jobs.
struct ClaimStore {
  std::unordered_map<std::string, ClaimEntry> entries;
  std::deque<ClaimExpiry> expiry;
  std::deque<std::string> answers;  // oldest first
  size_t answer_bytes = 0;
  // Unfinished records by owner, for take-over.
  std::map<std::string, std::set<std::string>> unfinished_by_owner;
};

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_RECORDS_H_
