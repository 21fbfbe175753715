#ifndef POOL_AGREEMENT_AGREEMENT_H_
#define POOL_AGREEMENT_AGREEMENT_H_

// Consensus of the control daemons on one replicated value.
//
// This is Raft with a log that holds only its last entry: every entry is the
// whole state (the queues in force and the voters), so a follower that has a
// newer entry needs no older one, and catching up, snapshots and truncation
// are one message. A leader is elected by a majority of the voters; an entry
// of the leader's own term is committed when a majority has it on disk. The
// guarantees are Raft's: a committed entry is in every later leader's state.
//
// Voters are identified by their disk. A VM that restarts with an empty disk
// has a new identity, whose vote counts for nothing until the leader has sent
// it the state and made it a voter by a membership change, one voter at a time.
// A VM that lost its disk can therefore never vote twice in a term or lose an
// entry that it acknowledged. A voter that is gone is replaced in one change:
// until that is committed, a majority of the voters before and one of the
// voters after it are needed (Raft's joint consensus). So the daemons that were
// enough before are enough at each step, whenever all are killed.
//
// The leader serves reads while a majority has answered it within
// `leader_lease`. Voters refuse other candidates for longer than that after
// their last contact with a leader and after their own start, since what they
// answered before a restart may still count for a leader's lease. A voter need
// not wait if every other voter has reported, since this voter's start, that it
// is not the leader: any later leader needs new answers for its lease. After a
// power loss a leader is therefore elected as soon as all voters have exchanged
// heartbeats.
//
// A vote, a term and an entry count once they are on disk, so an election takes
// as long as a write of the candidate, one of its voters and one of the new
// entry. Disks may take seconds for that. Nobody stands for election while a
// write of its own is in progress. Who has voted waits for the result while
// others report in their heartbeats that they write, for as long as a majority
// takes for that. Heartbeats of the leader and their replies wait for no disk,
// so that a leader keeps its place when disks become slow.
//
// Cost: a heartbeat round per `heartbeat_period` and follower, one synced write
// per follower and change.

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "goldcrest/time_units.h"
#include "goldcrest/write_times.h"
#include "pool/pool_action.h"
#include "proto/pool.pb.h"

namespace goldcrest {

struct AgreementOptions {
  // Mesh address and failure domain of this daemon.
  std::string self;
  std::string failure_domain;
  // Number of VMs that may fail at the same time. The agreement uses twice as
  // many voters plus one, if there are that many VMs.
  int tolerated_losses = 1;
  Micros heartbeat_period = 100 * kMillisecond;
  // How long a leader may serve reads after a majority has answered.
  Micros leader_lease = 500 * kMillisecond;
  // A voter without contact to a leader waits for a random time of one to two
  // election timeouts before it becomes a candidate.
  Micros election_timeout = 600 * kMillisecond;
  // Once every other voter has reported that it is not the leader, the voters
  // become candidates one after the other, at this spacing, until one is
  // elected.
  Micros quick_election_spacing = 60 * kMillisecond;
  // A voter that was unreachable for this long is replaced if another VM can
  // take its place.
  Micros replace_voter_after = 2500 * kMillisecond;
  // Delay before a failed disk write is retried.
  Micros write_retry_delay = 500 * kMillisecond;
  // Longest time that an operator's change waits for a majority.
  Micros change_timeout = 900 * kMillisecond;
  // Longest time that a change or read that was forwarded to the leader waits
  // for its answer. Longer than change_timeout, so that the answer of a leader
  // that finds no majority arrives first.
  Micros forward_timeout = 1200 * kMillisecond;
};

enum class AgreementRole : uint8_t { kFollower, kCandidate, kLeader };

// How an attempt of a candidate to become leader ended.
enum class ElectionResult : uint8_t {
  kWon,
  kNoPreVotes,  // no majority would vote for it
  kNoVotes,     // a majority would have, but did not in time
  kSuperseded,  // it became a follower: another leader, or a higher term
};

// Names in logs and metrics, indexed by ElectionResult.
inline constexpr std::array<std::string_view, 4> kElectionResultNames = {
    "won", "no_pre_votes", "no_votes", "superseded"};

inline std::string_view ToString(ElectionResult result) {
  return kElectionResultNames[static_cast<size_t>(result)];
}

// Why an operator's change of the configuration was answered as it was.
enum class ChangeEnd : uint8_t {
  kDurable,
  kNoLeader,          // no leader is known
  kNoMajority,        // no majority answers the leader, or it is just elected
  kNotWrittenInTime,  // no majority had it on disk within `change_timeout`
  kLeadershipLost,
  kLeaderSilent,   // the leader did not answer within `forward_timeout`
  kLeaderChanged,  // another leader than the one that it was forwarded to
  kLeaderRefused,  // the leader answered that it is not durable
};

// Names in logs and metrics, indexed by ChangeEnd.
inline constexpr std::array<std::string_view, 8> kChangeEndNames = {
    "durable",         "no_leader",     "no_majority",    "not_written_in_time",
    "leadership_lost", "leader_silent", "leader_changed", "leader_refused"};

inline std::string_view ToString(ChangeEnd end) {
  return kChangeEndNames[static_cast<size_t>(end)];
}

// Identifies an entry; a newer entry has a greater id.
struct EntryId {
  uint64_t term = 0;
  uint64_t index = 0;

  friend auto operator<=>(const EntryId&, const EntryId&) = default;
};

// Another control daemon that may be a voter.
struct AgreementPeer {
  std::string address;
  std::string failure_domain;
  uint64_t store_id = 0;        // 0 while unknown
  Micros last_received_at = 0;  // when its last heartbeat was received
  bool is_leader = false;       // as its last heartbeat reported
  // As its last heartbeat reported: how long its disk takes for a write, and
  // whether a write is in progress.
  Micros write_time = 0;
  bool is_writing = false;
};

// What the leader knows about a follower.
struct FollowerState {
  EntryId durable;
  uint64_t acknowledged_round = 0;
  Micros acknowledged_round_sent_at =
      0;  // when the newest acknowledged round was sent
  uint64_t last_sent_index = 0;
  Micros state_sent_at = 0;
};

// The origin of a change or read: a request at this daemon, or another daemon
// that forwarded one.
struct Requester {
  ReplyToken token = kNoToken;
  std::string from;  // mesh address; empty: this daemon
};

// A change that waits until the entry `index` is committed.
struct WaitingChange {
  Requester requester;
  uint64_t index = 0;
  Micros timeout_at = 0;
};

// An operator's change or read that waits for the answer of the leader that it
// was forwarded to.
struct ForwardedRequest {
  ReplyToken token = kNoToken;
  bool is_change = false;
  std::string leader;  // mesh address
  Micros timeout_at = 0;
};

// A message that is sent once the write `sequence` is durable.
struct MessageAwaitingWrite {
  uint64_t sequence = 0;
  SendMessage send;
};

// The writes of the persistent part to this daemon's disk.
struct RegisterWrites {
  uint64_t newest_sequence = 0;
  uint64_t durable_sequence = 0;
  Micros retry_at = 0;  // of the newest write, which has failed; 0: none
  // The entry in each write in progress, by sequence.
  std::map<uint64_t, EntryId> entries;
  EntryId durable_entry;  // on this daemon's disk
  std::deque<MessageAwaitingWrite> messages;
  WriteTimes times;
};

// This daemon's attempts to become leader, and its votes for others.
struct ElectionState {
  Micros due = 0;  // when it stands next
  // MayElectQuickly() at the last heartbeat of a peer.
  bool quick_allowed = false;
  bool pre_vote = false;  // the current vote is a pre-vote
  std::set<uint64_t> votes;
  // Whether this daemon has voted, for itself or another, and has heard of no
  // leader since.
  bool is_open = false;
  // When that vote was sent, or the request of the candidate; 0 until it is
  // durable.
  Micros voted_at = 0;
  // How long this daemon then waits for the others at least.
  Micros wait = 0;
  std::map<ElectionResult, uint64_t> results;  // number of attempts
};

struct Agreement {
  AgreementOptions options;
  std::mt19937_64 random;
  // The persistent part: term, vote, newest entry and identity of the disk.
  wire::StoredRegister stored;
  RegisterWrites writes;
  uint64_t committed_index = 0;
  // The newest state known to be committed; what this daemon serves.
  wire::RegisterState committed;
  AgreementRole role = AgreementRole::kFollower;
  ElectionState election;
  std::string leader;  // mesh address; empty while unknown
  // Time of the last contact with a leader; the time of this daemon's start
  // until there was one.
  Micros leader_contact_at = 0;
  bool had_leader_contact = false;  // since this daemon's start
  Micros heartbeat_due = 0;
  Micros voter_review_due = 0;
  Micros quorum_at = 0;  // when HasQuorum() last held; at first the start
  Micros quorum_review_due = 0;
  bool no_quorum_reported = false;
  uint64_t round = 0;  // of heartbeats that this daemon sent as the leader
  std::map<uint64_t, Micros> round_sent_at;
  std::map<std::string, AgreementPeer> peers;      // by address
  std::map<std::string, FollowerState> followers;  // by address
  // States that this leader proposed and that are not committed, by index.
  std::map<uint64_t, wire::RegisterState> uncommitted_states;
  std::vector<WaitingChange> waiting_changes;
  std::map<ChangeEnd, uint64_t> change_ends;  // number of changes answered
  std::map<uint64_t, ForwardedRequest> forwarded_requests;  // by number
  // Starts at random, so that an answer to the previous process matches no
  // request of this one.
  uint64_t next_forward_number = 0;
};

// Returns the agreement of a daemon that starts. `stored` is what its disk
// held; a store_id of 0 means an empty disk. On the first start of the whole
// deployment `first_start` is true, and `seeds` (mesh addresses) are the
// initial voters.
Agreement MakeAgreement(const AgreementOptions& options,
                        wire::StoredRegister stored,
                        bool first_start,
                        const std::vector<std::string>& seeds,
                        uint64_t random_seed,
                        Micros now,
                        PoolActions& actions);

// Handles a heartbeat of the control daemon at `address`.
void OnAgreementPeerHeartbeat(Agreement& agreement,
                              const std::string& address,
                              const wire::Presence& heartbeat,
                              Micros now);

void OnVoteRequest(Agreement& agreement,
                   const std::string& from,
                   const wire::VoteRequest& request,
                   Micros now,
                   PoolActions& actions);
void OnVoteReply(Agreement& agreement,
                 const std::string& from,
                 const wire::VoteReply& reply,
                 Micros now,
                 PoolActions& actions);
void OnAppend(Agreement& agreement,
              const std::string& from,
              const wire::Append& append,
              Micros now,
              PoolActions& actions);
void OnAppendReply(Agreement& agreement,
                   const std::string& from,
                   const wire::AppendReply& reply,
                   Micros now,
                   PoolActions& actions);

// Handles the result of the write `sequence`: it is durable if `ok`, otherwise
// it failed.
void OnRegisterStored(Agreement& agreement,
                      uint64_t sequence,
                      bool ok,
                      Micros now,
                      PoolActions& actions);

// Returns how long this daemon's disk presumably takes for a write, as its
// heartbeats report it.
Micros WriteTimeOf(const Agreement& agreement, Micros now);

// Excludes a pause of this process from the time since the last contact with
// other control daemons, and from the time of its writes. A leader's lease is
// not extended.
void ExcludePauseFromElections(Agreement& agreement, Micros pause);

// Sends the leader's heartbeats if a round is due, as it is after a commit.
void SendDueHeartbeats(Agreement& agreement, Micros now, PoolActions& actions);

// Runs all work that is due: write retries, timeouts of changes and forwarded
// requests, heartbeat rounds, voter reviews and elections. Most of it judges
// who was not heard, so that every message that has arrived must be handled
// before.
void AgreementTick(Agreement& agreement, Micros now, PoolActions& actions);

// Proposes `routing`, and answers when it is committed. If its version is not
// newer than the newest proposed one, answers when that one is committed. A
// daemon that is not the leader forwards the change to the leader, so that the
// operator needs only one answer; it answers kUnknown itself if the leader
// changes or does not answer within `forward_timeout`.
void ProposeRouting(Agreement& agreement,
                    const Requester& requester,
                    const wire::Routing& routing,
                    Micros now,
                    PoolActions& actions);

// Handles the leader's answer to a forwarded change. Ignores an answer to a
// request that is already answered.
void OnChangeAnswer(Agreement& agreement,
                    const wire::ChangeAnswer& answer,
                    PoolActions& actions);

// Answers whether the committed state of this daemon is the newest. A daemon
// that is not the leader queries the leader, under the same limits as
// ProposeRouting().
void ReadRouting(Agreement& agreement,
                 const Requester& requester,
                 Micros now,
                 PoolActions& actions);
// Handles the leader's answer to that query.
void OnVersionAnswer(Agreement& agreement,
                     const wire::VersionAnswer& answer,
                     PoolActions& actions);

// Returns whether this daemon is the leader and may serve reads now.
bool MayServeReads(const Agreement& agreement, Micros now);

// Returns whether this daemon can have a configuration changed: it is a leader
// that a majority answers, or hears one.
bool HasQuorum(const Agreement& agreement, Micros now);

// Returns the size of a majority of `voters` voters.
inline int MajorityOf(int voters) {
  return voters / 2 + 1;
}

// Returns the voters after the next membership change, which adds, removes or
// replaces one voter, or `voters` if no change is needed. `healthy` are the VMs
// that were reachable recently, with their current disks; those in `caught_up`
// (by store id) hold the newest state.
std::vector<wire::Voter> NextVoters(const std::vector<wire::Voter>& voters,
                                    const std::vector<wire::Voter>& healthy,
                                    const std::set<uint64_t>& caught_up,
                                    size_t wanted);

}  // namespace goldcrest

#endif  // POOL_AGREEMENT_AGREEMENT_H_
