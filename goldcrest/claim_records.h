#ifndef GOLDCREST_CLAIM_RECORDS_H_
#define GOLDCREST_CLAIM_RECORDS_H_

// The claim records that this VM stores as a voter, and the results of the jobs
// that it owns. Plain data on the blackboard; written by claim_store and
// claim_voter.

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

// The claim on one submission as stored at this VM.
struct ClaimEntry {
  wire::ClaimRecord record;
  // Whether this VM knows that a majority of the voters has the result.
  bool recorded = false;
  Micros created_at = 0;
  Micros expires_at = 0;
  // Size of the outputs in `record`, 0 when they were dropped.
  size_t answer_bytes = 0;
};

// A vote of this VM that is sent to the proposer once its record is durable.
struct UnsyncedVote {
  std::string proposer;
  wire::PeerMessage message;
};

// When the record of `id` is due for the expiry check.
struct ClaimExpiry {
  Micros due = 0;
  std::string id;
};

// All claim records of this VM, with the indexes over them.
struct ClaimStore {
  std::unordered_map<std::string, ClaimEntry> entries;
  // In the order of the due times.
  std::deque<ClaimExpiry> expiry;
  // The submissions whose outputs are stored, oldest first.
  std::deque<std::string> answers;
  // Total size of the stored outputs.
  size_t answer_bytes = 0;
  // Ids of unfinished records by owner, for takeover.
  std::map<std::string, std::set<std::string>> unfinished_by_owner;
};

}  // namespace goldcrest

#endif  // GOLDCREST_CLAIM_RECORDS_H_
