#include "goldcrest/configuration_agreement.h"

#include <algorithm>
#include <utility>

#include "goldcrest/claim_owner.h"
#include "goldcrest/configuration_detail.h"
#include "goldcrest/digest.h"
#include "goldcrest/membership.h"
#include "goldcrest/placement.h"
#include "goldcrest/submission.h"

namespace goldcrest {
namespace {

using detail::AdoptState;
using detail::IsVoter;
using detail::VoteAndReply;
using detail::Voters;

// The number of versions whose digests the state contains.
constexpr int kHistoryVersions = 512;
constexpr size_t kMaxProposals = 64;
constexpr Micros kFetchPeriod = 300 * kMillisecond;
// VMs other than the first voter propose the first document after this delay,
// and the time that the first one needs for it.
constexpr Micros kBootstrapDelay = 3 * kSecond;
// Delays before a proposal is retried that met a higher ballot. The longest one
// is longer by the time that the other proposer needs.
constexpr Micros kMinBackoff = 5 * kMillisecond;
constexpr Micros kMaxBackoff = 40 * kMillisecond;

// Returns the time that the voters need to write their votes for a proposal, in
// both phases.
Micros VotingTime(const Blackboard& bb, Micros now) {
  return 2 * detail::MajorityWriteTime(bb, now);
}

// Returns the body of a successful reply.
std::string VersionJson(const wire::ConfigurationState& state) {
  return "{\"version\":" + std::to_string(state.version()) +
         ",\"digest\":" + JsonQuote(state.digest()) + "}";
}

// Returns the body of an error reply, with the version in force.
std::string CodeJson(const wire::ConfigurationState& state, ResultCode code) {
  const ResultCodeRow& row = RowOf(code);
  return "{\"version\":" + std::to_string(state.version()) +
         ",\"digest\":" + JsonQuote(state.digest()) +
         ",\"code\":" + std::to_string(static_cast<int>(code)) +
         ",\"name\":" + JsonQuote(row.name) +
         ",\"message\":" + JsonQuote(row.meaning) + "}";
}

void ReplyToPut(ReplyToken token,
                int status,
                std::string body,
                Actions& actions) {
  if (token != kNoToken) {
    actions.emplace_back(ReplyJson{token, status, std::move(body)});
  }
}

wire::PeerMessage InForceMessage(const Blackboard& bb) {
  wire::PeerMessage message;
  *message.mutable_configuration_in_force()->mutable_state() =
      bb.configuration.in_force;
  return message;
}

// Sends the version in force to the reachable peers with full-rate heartbeats.
// The others learn of it from heartbeats.
void SendToFullRatePeers(Blackboard& bb, Actions& actions) {
  for (const auto& [vm, peer] : bb.membership.peers) {
    if (peer.full_rate && peer.reachable) {
      SendToPeer(bb, vm, InForceMessage(bb), actions);
    }
  }
}

// Returns the state that follows `newest` when the document of `proposal` is
// accepted.
wire::ConfigurationState NextState(const ConfigurationProposal& proposal,
                                   const wire::ConfigurationState& newest) {
  wire::ConfigurationState next = newest;
  next.set_version(newest.version() + 1);
  next.set_digest(proposal.digest);
  next.set_document(proposal.document);
  next.add_history(proposal.digest);
  while (next.history_size() > kHistoryVersions) {
    next.mutable_history()->DeleteSubrange(0, 1);
  }
  return next;
}

void SendRound(Blackboard& bb, StepTime now, Actions& actions);

// Starts the prepare phase of the proposal in progress with a new ballot.
void StartRound(Blackboard& bb, StepTime now, Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  ConfigurationProposal& proposal = board.proposals.front();
  const uint64_t highest =
      std::max(board.highest_ballot, board.vote.promised());
  proposal.phase = wire::CLAIM_PREPARE;
  proposal.ballot = MakeBallot(bb, RoundOf(highest) + 1);
  board.highest_ballot = proposal.ballot;
  proposal.granted.clear();
  proposal.refused.clear();
  proposal.highest_accepted_ballot = 0;
  proposal.highest_accepted_state.Clear();
  SendRound(bb, now, actions);
}

// Sends the request for the current phase to the voters that have not granted
// it.
void SendRound(Blackboard& bb, StepTime now, Actions& actions) {
  ConfigurationProposal& proposal = bb.configuration.proposals.front();
  proposal.resend_at = now.mono + bb.tuning.configuration_resend;
  bb.timers.Set(proposal.resend_at, TimerKind::kConfiguration);
  wire::ConfigurationRequest request;
  request.set_phase(proposal.phase);
  request.set_ballot(proposal.ballot);
  if (proposal.phase == wire::CLAIM_ACCEPT) {
    *request.mutable_state() = proposal.proposed;
  }
  const std::set<std::string> granted = proposal.granted;
  bool vote_self = false;
  for (const std::string& voter : Voters(bb)) {
    if (granted.contains(voter)) {
      continue;
    }
    if (voter == bb.deployment.self) {
      vote_self = true;
      continue;
    }
    wire::PeerMessage message;
    *message.mutable_configuration_request() = request;
    SendToPeer(bb, voter, std::move(message), actions);
  }
  if (vote_self) {
    VoteAndReply(bb, bb.deployment.self, request, now, actions);
  }
}

// Removes the proposal in progress and starts the next one.
void StartNextProposal(Blackboard& bb, StepTime now, Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  board.proposals.pop_front();
  if (!board.proposals.empty()) {
    board.proposals.front().started_at = now.mono;
    StartRound(bb, now, actions);
  }
}

// Replies to the operator once `state` is in force: success if its history
// contains the proposal, otherwise a version conflict. A success waits until
// the version is durable at this VM, so that after a restart this VM never
// shows an older version than it has acknowledged.
void ReplyDecided(Blackboard& bb,
                  const ConfigurationProposal& proposal,
                  const wire::ConfigurationState& state,
                  Actions& actions) {
  const uint64_t wanted = proposal.if_version + 1;
  if (DigestOfVersion(state, wanted) == proposal.digest) {
    wire::ConfigurationState mine;
    mine.set_version(wanted);
    mine.set_digest(proposal.digest);
    ConfigurationBoard& board = bb.configuration;
    if (board.unsynced_in_force_token != 0 && proposal.token != kNoToken) {
      board.unsynced_answers.emplace(
          board.unsynced_in_force_token,
          ReplyJson{proposal.token, 200, VersionJson(mine)});
      return;
    }
    ReplyToPut(proposal.token, 200, VersionJson(mine), actions);
    return;
  }
  ReplyToPut(proposal.token, 409, CodeJson(state, ResultCode::kVersionConflict),
             actions);
}

// Handles a majority for the prepare phase: starts the accept phase.
void OnPrepareMajority(Blackboard& bb, StepTime now, Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  ConfigurationProposal& proposal = board.proposals.front();
  // The version in force here was decided earlier. If it is newer than the
  // states in the replies, the proposal is based on it.
  const bool own_is_newer =
      board.in_force.version() > proposal.highest_accepted_state.version();
  const wire::ConfigurationState newest =
      own_is_newer ? board.in_force : proposal.highest_accepted_state;
  proposal.proposing_own = newest.version() == proposal.if_version;
  proposal.proposed =
      proposal.proposing_own ? NextState(proposal, newest) : newest;
  if (proposal.proposed.version() == 0) {
    // No version is in force, but the change is based on one.
    const ConfigurationProposal ended = proposal;
    ReplyDecided(bb, ended, newest, actions);
    StartNextProposal(bb, now, actions);
    return;
  }
  proposal.maybe_accepted = proposal.maybe_accepted || proposal.proposing_own;
  proposal.phase = wire::CLAIM_ACCEPT;
  proposal.granted.clear();
  proposal.refused.clear();
  SendRound(bb, now, actions);
}

// Handles a majority for the accept phase: the proposed state is decided.
void OnAcceptMajority(Blackboard& bb, StepTime now, Actions& actions) {
  const ConfigurationProposal proposal = bb.configuration.proposals.front();
  AdoptState(bb, proposal.proposed, actions);
  SendToFullRatePeers(bb, actions);
  ReplyDecided(bb, proposal, proposal.proposed, actions);
  StartNextProposal(bb, now, actions);
}

// Replies to a change that the version in force here already decides. Returns
// whether it did.
bool ReplyIfDecided(Blackboard& bb,
                    const ConfigurationPut& put,
                    Actions& actions) {
  const wire::ConfigurationState& in_force = bb.configuration.in_force;
  if (in_force.version() <= put.if_version) {
    return false;
  }
  ConfigurationProposal proposal;
  proposal.token = put.token;
  proposal.if_version = put.if_version;
  proposal.digest = put.digest;
  ReplyDecided(bb, proposal, in_force, actions);
  return true;
}

// Replies to the operator of a proposal that ends without a majority.
void ReplyWithoutMajority(const ConfigurationBoard& board,
                          const ConfigurationProposal& proposal,
                          Actions& actions) {
  const ResultCode code = proposal.maybe_accepted
                              ? ResultCode::kConfigurationUnknown
                              : ResultCode::kConfigurationRefused;
  ReplyToPut(proposal.token, RowOf(code).http_status,
             CodeJson(board.in_force, code), actions);
}

// Sends the replies to operators that waited for the journal write `token`. If
// it failed, the reply is kConfigurationUnknown.
void SendSyncedAnswers(Blackboard& bb,
                       uint64_t token,
                       bool ok,
                       Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  if (board.unsynced_in_force_token == token) {
    board.unsynced_in_force_token = 0;
  }
  const auto [begin, end] = board.unsynced_answers.equal_range(token);
  for (auto it = begin; it != end; ++it) {
    ReplyJson reply = it->second;
    if (!ok) {
      const ResultCode code = ResultCode::kConfigurationUnknown;
      reply.status = RowOf(code).http_status;
      reply.body = CodeJson(board.in_force, code);
    }
    actions.emplace_back(std::move(reply));
  }
  board.unsynced_answers.erase(begin, end);
}

}  // namespace

namespace detail {

const std::vector<std::string>& Voters(const Blackboard& bb) {
  return bb.deployment.configuration_voters;
}

bool IsVoter(const Blackboard& bb, const std::string& vm) {
  const auto& voters = Voters(bb);
  return std::find(voters.begin(), voters.end(), vm) != voters.end();
}

void AdoptState(Blackboard& bb,
                const wire::ConfigurationState& state,
                Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  if (state.version() <= board.in_force.version()) {
    return;
  }
  auto parsed = ParseConfiguration(state.document());
  if (!CheckInvariant(
          bb,
          parsed.has_value() && Sha256Hex(state.document()) == state.digest(),
          "an agreed configuration is a valid document", actions)) {
    return;
  }
  board.in_force = state;
  board.active = std::move(*parsed);
  UpdateReadyLanes(bb);
  bb.placement_due = true;
  AppendJournal append;
  append.token = bb.deployment.has_disk ? NextId(bb) : 0;
  board.unsynced_in_force_token = append.token;
  *append.record.mutable_configuration_in_force() = state;
  actions.emplace_back(std::move(append));
  Log(actions, LogLevel::kInfo, "configuration_in_force",
      {{"version", std::to_string(state.version())},
       {"digest", state.digest().substr(0, 16)}});
}

}  // namespace detail

std::string DigestOfVersion(const wire::ConfigurationState& state,
                            uint64_t version) {
  const auto size = static_cast<uint64_t>(state.history_size());
  if (version == 0 || version > state.version() ||
      state.version() - version >= size) {
    return "";
  }
  return state.history(
      static_cast<int>(size - 1 - (state.version() - version)));
}

void StartConfiguration(Blackboard& bb,
                        StepTime now,
                        const wire::ConfigurationVote& vote,
                        bool has_vote,
                        const wire::ConfigurationState& in_force,
                        Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  board.vote = vote;
  board.highest_ballot = vote.promised();
  board.bootstrap_at = now.mono + kBootstrapDelay;
  AdoptState(bb, in_force, actions);
  const bool alone = Voters(bb).size() == 1 && IsVoter(bb, bb.deployment.self);
  board.recovering =
      IsVoter(bb, bb.deployment.self) && !has_vote && !alone &&
      !IsDisabled(bb, DisabledMechanism::kNoConfigurationRecovery);
  if (board.recovering) {
    bb.timers.Set(now.mono, TimerKind::kConfigurationRecovery);
  }
}

void OnConfigurationPut(Blackboard& bb,
                        const ConfigurationPut& put,
                        StepTime now,
                        Actions& actions) {
  if (ReplyIfDecided(bb, put, actions)) {
    return;
  }
  ConfigurationBoard& board = bb.configuration;
  if (board.proposals.size() >= kMaxProposals) {
    ReplyToPut(put.token, 503,
               CodeJson(board.in_force, ResultCode::kConfigurationRefused),
               actions);
    return;
  }
  ConfigurationProposal proposal;
  proposal.token = put.token;
  proposal.if_version = put.if_version;
  proposal.document = put.document;
  proposal.digest = put.digest;
  proposal.started_at = now.mono;
  board.proposals.push_back(std::move(proposal));
  if (board.proposals.size() == 1) {
    StartRound(bb, now, actions);
  }
}

void OnConfigurationReply(Blackboard& bb,
                          const std::string& from,
                          const wire::ConfigurationReply& reply,
                          StepTime now,
                          Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  if (board.proposals.empty()) {
    return;
  }
  ConfigurationProposal& proposal = board.proposals.front();
  if (reply.ballot() != proposal.ballot || reply.phase() != proposal.phase) {
    return;
  }
  if (reply.status() == wire::CLAIM_STALE) {
    // Another proposer has a higher ballot: retry after a random delay.
    board.highest_ballot = std::max(board.highest_ballot, reply.promised());
    proposal.refused.insert(from);
    std::uniform_int_distribution<Micros> backoff(
        kMinBackoff, kMaxBackoff + VotingTime(bb, now.mono));
    proposal.resend_at = now.mono + backoff(bb.random);
    bb.timers.Set(proposal.resend_at, TimerKind::kConfiguration);
    return;
  }
  if (reply.status() != wire::CLAIM_GRANTED) {
    return;
  }
  proposal.granted.insert(from);
  if (proposal.phase == wire::CLAIM_PREPARE &&
      reply.accepted() > proposal.highest_accepted_ballot) {
    proposal.highest_accepted_ballot = reply.accepted();
    proposal.highest_accepted_state = reply.state();
  }
  if (proposal.granted.size() < MajorityOf(Voters(bb).size())) {
    return;
  }
  if (proposal.phase == wire::CLAIM_PREPARE) {
    OnPrepareMajority(bb, now, actions);
  } else {
    OnAcceptMajority(bb, now, actions);
  }
}

bool HasWaitingOperators(const Blackboard& bb) {
  const ConfigurationBoard& board = bb.configuration;
  return !board.unsynced_answers.empty() ||
         std::any_of(board.proposals.begin(), board.proposals.end(),
                     [](const ConfigurationProposal& proposal) {
                       return proposal.token != kNoToken;
                     });
}

void EndProposals(Blackboard& bb, Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  while (!board.proposals.empty()) {
    ReplyWithoutMajority(board, board.proposals.front(), actions);
    board.proposals.pop_front();
  }
  while (!board.unsynced_answers.empty()) {
    SendSyncedAnswers(bb, board.unsynced_answers.begin()->first, false,
                      actions);
  }
}

void OnConfigurationTimer(Blackboard& bb, StepTime now, Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  if (board.proposals.empty()) {
    return;
  }
  ConfigurationProposal& proposal = board.proposals.front();
  if (now.mono - proposal.started_at >
      bb.tuning.configuration_timeout + VotingTime(bb, now.mono)) {
    ReplyWithoutMajority(board, proposal, actions);
    StartNextProposal(bb, now, actions);
    return;
  }
  if (now.mono < proposal.resend_at) {
    return;
  }
  if (!proposal.refused.empty()) {
    StartRound(bb, now, actions);
    return;
  }
  SendRound(bb, now, actions);
}

void OnConfigurationFetch(Blackboard& bb,
                          const std::string& from,
                          const wire::ConfigurationFetch& fetch,
                          Actions& actions) {
  if (!fetch.recover()) {
    SendToPeer(bb, from, InForceMessage(bb), actions);
    return;
  }
  wire::PeerMessage message;
  wire::ConfigurationRecoverReply* reply =
      message.mutable_configuration_recover_reply();
  *reply->mutable_vote() = bb.configuration.vote;
  reply->set_recovering(bb.configuration.recovering);
  *reply->mutable_in_force() = bb.configuration.in_force;
  SendToPeer(bb, from, std::move(message), actions);
}

void OnConfigurationInForce(Blackboard& bb,
                            const wire::ConfigurationInForce& message,
                            Actions& actions) {
  AdoptState(bb, message.state(), actions);
}

void FetchNewerConfiguration(Blackboard& bb,
                             const std::string& from,
                             uint64_t version,
                             StepTime now,
                             Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  if (version <= board.in_force.version() ||
      (board.last_fetch_at != 0 &&
       now.mono - board.last_fetch_at < kFetchPeriod)) {
    return;
  }
  board.last_fetch_at = now.mono;
  wire::PeerMessage message;
  message.mutable_configuration_fetch()->set_recover(false);
  SendToPeer(bb, from, std::move(message), actions);
}

void BootstrapConfiguration(Blackboard& bb, StepTime now, Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  if (board.in_force.version() != 0 || !board.proposals.empty() ||
      board.first_document.empty() || board.recovering) {
    return;
  }
  const bool first_voter = Voters(bb).front() == bb.deployment.self;
  if (!first_voter &&
      now.mono < board.bootstrap_at + VotingTime(bb, now.mono)) {
    return;
  }
  ConfigurationPut put;
  put.document = board.first_document;
  put.digest = Sha256Hex(put.document);
  OnConfigurationPut(bb, put, now, actions);
}

void OnConfigurationVoteSynced(Blackboard& bb,
                               uint64_t token,
                               bool ok,
                               StepTime now,
                               Actions& actions) {
  SendSyncedAnswers(bb, token, ok, actions);
  detail::DeliverSyncedVote(bb, token, ok, now, actions);
}

}  // namespace goldcrest
