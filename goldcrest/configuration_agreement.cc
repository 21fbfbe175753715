#include "goldcrest/configuration_agreement.h"

#include <algorithm>
#include <utility>

#include "goldcrest/claim_owner.h"
#include "goldcrest/digest.h"
#include "goldcrest/membership.h"
#include "goldcrest/placement.h"
#include "goldcrest/submission.h"

namespace goldcrest {
namespace {

constexpr int kHistoryVersions = 512;
constexpr size_t kMaxProposals = 64;
constexpr Micros kFetchPeriod = 300 * kMillisecond;
constexpr Micros kRecoveryPeriod = 300 * kMillisecond;
// How long the other VMs leave the first document to the first voter.
constexpr Micros kBootstrapPatience = 3 * kSecond;
constexpr int64_t kMaxBackoffMs = 40;

const std::vector<std::string>& Voters(const Blackboard& bb) {
  return bb.deployment.configuration_voters;
}

bool IsVoter(const Blackboard& bb, const std::string& vm) {
  const auto& voters = Voters(bb);
  return std::find(voters.begin(), voters.end(), vm) != voters.end();
}

std::string VersionJson(const wire::ConfigurationState& state) {
  return "{\"version\":" + std::to_string(state.version()) +
         ",\"digest\":" + JsonQuote(state.digest()) + "}";
}

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

// Puts `state` into force here, if it is newer than what is.
void Adopt(Blackboard& bb,
           const wire::ConfigurationState& state,
           Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  if (state.version() <= board.in_force.version()) {
    return;
  }
  auto parsed = ParseConfiguration(state.document());
  if (!Ensure(
          bb,
          parsed.has_value() && Sha256Hex(state.document()) == state.digest(),
          "an agreed configuration is a valid document", actions)) {
    return;
  }
  board.in_force = state;
  board.active = std::move(*parsed);
  RelistTeams(bb);
  bb.placement_due = true;
  AppendJournal append;
  append.token = bb.deployment.has_disk ? NextId(bb) : 0;
  board.unsynced_version = append.token;
  *append.record.mutable_configuration_in_force() = state;
  actions.emplace_back(std::move(append));
  Log(actions, LogLevel::kInfo, "configuration_in_force",
      {{"version", std::to_string(state.version())},
       {"digest", state.digest().substr(0, 16)}});
}

wire::PeerMessage InForceMessage(const Blackboard& bb) {
  wire::PeerMessage message;
  *message.mutable_configuration_in_force()->mutable_state() =
      bb.configuration.in_force;
  return message;
}

// Near VMs get an accepted change at once; the rest sees it in heartbeats.
void Spread(Blackboard& bb, Actions& actions) {
  for (const auto& [vm, peer] : bb.membership.peers) {
    if (peer.near && peer.reachable) {
      Send(bb, vm, InForceMessage(bb), actions);
    }
  }
}

// ------------------------------------------------------------ the voter

wire::ConfigurationReply Vote(Blackboard& bb,
                              const wire::ConfigurationRequest& request) {
  wire::ConfigurationVote& vote = bb.configuration.vote;
  wire::ConfigurationReply reply;
  reply.set_phase(request.phase());
  reply.set_ballot(request.ballot());
  if (bb.configuration.recovering) {
    reply.set_status(wire::CLAIM_ABSTAIN);
    return reply;
  }
  const bool newer = request.phase() == wire::CLAIM_PREPARE
                         ? request.ballot() > vote.promised()
                         : request.ballot() >= vote.promised();
  if (!newer) {
    reply.set_status(wire::CLAIM_STALE);
    reply.set_promised(vote.promised());
    return reply;
  }
  vote.set_promised(request.ballot());
  if (request.phase() == wire::CLAIM_ACCEPT) {
    vote.set_accepted(request.ballot());
    *vote.mutable_state() = request.state();
  } else {
    reply.set_accepted(vote.accepted());
    *reply.mutable_state() = vote.state();
  }
  reply.set_status(wire::CLAIM_GRANTED);
  return reply;
}

void DeliverReply(Blackboard& bb, SendPeer reply, Now now, Actions& actions) {
  if (reply.vm == bb.deployment.self) {
    OnConfigurationReply(bb, bb.deployment.self,
                         reply.message.configuration_reply(), now, actions);
    return;
  }
  Send(bb, reply.vm, std::move(reply.message), actions);
}

// Votes and answers, after a sync where there is a disk.
void VoteAndReply(Blackboard& bb,
                  const std::string& to,
                  const wire::ConfigurationRequest& request,
                  Now now,
                  Actions& actions) {
  SendPeer reply;
  reply.vm = to;
  *reply.message.mutable_configuration_reply() = Vote(bb, request);
  const bool granted =
      reply.message.configuration_reply().status() == wire::CLAIM_GRANTED;
  if (!granted || !bb.deployment.has_disk) {
    DeliverReply(bb, std::move(reply), now, actions);
    return;
  }
  AppendJournal append;
  append.token = NextId(bb);
  *append.record.mutable_configuration_vote() = bb.configuration.vote;
  bb.configuration.unsynced_replies[append.token] = std::move(reply);
  actions.emplace_back(std::move(append));
}

void EndRecovery(Blackboard& bb, std::string_view why, Actions& actions) {
  bb.configuration.recovering = false;
  bb.configuration.recovered.clear();
  Log(actions, LogLevel::kInfo, "configuration_voter_ready",
      {{"reason", std::string(why)}});
}

// Whether every other voter says that this VM never lived before.
bool IsFirstStart(const Blackboard& bb) {
  return std::all_of(
      Voters(bb).begin(), Voters(bb).end(), [&](const std::string& voter) {
        const auto peer = bb.membership.peers.find(voter);
        return peer == bb.membership.peers.end() || peer->second.vouched;
      });
}

// ------------------------------------------------------------ the proposer

// Derives the next state of the register from the newest one.
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

void SendRound(Blackboard& bb, Now now, Actions& actions);

void StartRound(Blackboard& bb, Now now, Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  ConfigurationProposal& proposal = board.proposals.front();
  const uint64_t highest =
      std::max(board.highest_ballot, board.vote.promised());
  proposal.phase = wire::CLAIM_PREPARE;
  proposal.ballot = MakeBallot(bb, RoundOf(highest) + 1);
  board.highest_ballot = proposal.ballot;
  proposal.granted.clear();
  proposal.refused.clear();
  proposal.best_accepted = 0;
  proposal.best.Clear();
  SendRound(bb, now, actions);
}

void SendRound(Blackboard& bb, Now now, Actions& actions) {
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
    Send(bb, voter, std::move(message), actions);
  }
  if (vote_self) {
    VoteAndReply(bb, bb.deployment.self, request, now, actions);
  }
}

void NextProposal(Blackboard& bb, Now now, Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  board.proposals.pop_front();
  if (!board.proposals.empty()) {
    board.proposals.front().started_at = now.mono;
    StartRound(bb, now, actions);
  }
}

// Says what an operator is told when `state` is in force. A success waits
// until a disk here has the version, so that a restart of this VM never shows
// less than it has acknowledged.
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
    if (board.unsynced_version != 0 && proposal.token != kNoToken) {
      board.unsynced_answers.emplace(
          board.unsynced_version,
          ReplyJson{proposal.token, 200, VersionJson(mine)});
      return;
    }
    ReplyToPut(proposal.token, 200, VersionJson(mine), actions);
    return;
  }
  ReplyToPut(proposal.token, 409, CodeJson(state, ResultCode::kVersionConflict),
             actions);
}

void AfterPrepare(Blackboard& bb, Now now, Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  ConfigurationProposal& proposal = board.proposals.front();
  // What is in force here was agreed earlier, whatever the voters hold.
  const bool own_is_newer = board.in_force.version() > proposal.best.version();
  const wire::ConfigurationState newest =
      own_is_newer ? board.in_force : proposal.best;
  proposal.proposing_own = newest.version() == proposal.if_version;
  proposal.proposed =
      proposal.proposing_own ? NextState(proposal, newest) : newest;
  if (proposal.proposed.version() == 0) {
    // Nothing is in force, and the operator expected something.
    const ConfigurationProposal ended = proposal;
    ReplyDecided(bb, ended, newest, actions);
    NextProposal(bb, now, actions);
    return;
  }
  proposal.maybe_accepted = proposal.maybe_accepted || proposal.proposing_own;
  proposal.phase = wire::CLAIM_ACCEPT;
  proposal.granted.clear();
  proposal.refused.clear();
  SendRound(bb, now, actions);
}

void AfterAccept(Blackboard& bb, Now now, Actions& actions) {
  const ConfigurationProposal proposal = bb.configuration.proposals.front();
  Adopt(bb, proposal.proposed, actions);
  Spread(bb, actions);
  ReplyDecided(bb, proposal, proposal.proposed, actions);
  NextProposal(bb, now, actions);
}

// Answers a change from what is in force here, when that decides it.
bool AnswerAtOnce(Blackboard& bb,
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

// Sends the operators' answers that waited for a version to be durable.
void AnswerSynced(Blackboard& bb, uint64_t token, bool ok, Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  if (board.unsynced_version == token) {
    board.unsynced_version = 0;
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
                        Now now,
                        const wire::ConfigurationVote& vote,
                        bool has_vote,
                        const wire::ConfigurationState& in_force,
                        Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  board.vote = vote;
  board.highest_ballot = vote.promised();
  board.bootstrap_at = now.mono + kBootstrapPatience;
  Adopt(bb, in_force, actions);
  const bool alone = Voters(bb).size() == 1 && IsVoter(bb, bb.deployment.self);
  board.recovering = IsVoter(bb, bb.deployment.self) && !has_vote && !alone &&
                     !IsBroken(bb, Break::kNoConfigurationRecovery);
  if (board.recovering) {
    bb.timers.Set(now.mono, TimerKind::kConfigurationRecovery);
  }
}

void OnConfigurationPut(Blackboard& bb,
                        const ConfigurationPut& put,
                        Now now,
                        Actions& actions) {
  if (AnswerAtOnce(bb, put, actions)) {
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

void OnConfigurationRequest(Blackboard& bb,
                            const std::string& from,
                            const wire::ConfigurationRequest& request,
                            Now now,
                            Actions& actions) {
  if (IsVoter(bb, bb.deployment.self)) {
    VoteAndReply(bb, from, request, now, actions);
  }
}

void OnConfigurationReply(Blackboard& bb,
                          const std::string& from,
                          const wire::ConfigurationReply& reply,
                          Now now,
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
    // Another proposer is ahead: try again after a random pause.
    board.highest_ballot = std::max(board.highest_ballot, reply.promised());
    proposal.refused.insert(from);
    std::uniform_int_distribution<int64_t> backoff(5, kMaxBackoffMs);
    proposal.resend_at = now.mono + backoff(bb.random) * kMillisecond;
    bb.timers.Set(proposal.resend_at, TimerKind::kConfiguration);
    return;
  }
  if (reply.status() != wire::CLAIM_GRANTED) {
    return;
  }
  proposal.granted.insert(from);
  if (proposal.phase == wire::CLAIM_PREPARE &&
      reply.accepted() > proposal.best_accepted) {
    proposal.best_accepted = reply.accepted();
    proposal.best = reply.state();
  }
  if (proposal.granted.size() < MajorityOf(Voters(bb).size())) {
    return;
  }
  if (proposal.phase == wire::CLAIM_PREPARE) {
    AfterPrepare(bb, now, actions);
  } else {
    AfterAccept(bb, now, actions);
  }
}

void OnConfigurationTimer(Blackboard& bb, Now now, Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  if (board.proposals.empty()) {
    return;
  }
  ConfigurationProposal& proposal = board.proposals.front();
  if (now.mono - proposal.started_at > bb.tuning.configuration_timeout) {
    const ResultCode code = proposal.maybe_accepted
                                ? ResultCode::kConfigurationUnknown
                                : ResultCode::kConfigurationRefused;
    ReplyToPut(proposal.token, RowOf(code).http_status,
               CodeJson(board.in_force, code), actions);
    NextProposal(bb, now, actions);
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
    Send(bb, from, InForceMessage(bb), actions);
    return;
  }
  wire::PeerMessage message;
  wire::ConfigurationRecoverReply* reply =
      message.mutable_configuration_recover_reply();
  *reply->mutable_vote() = bb.configuration.vote;
  reply->set_recovering(bb.configuration.recovering);
  *reply->mutable_in_force() = bb.configuration.in_force;
  Send(bb, from, std::move(message), actions);
}

void OnConfigurationInForce(Blackboard& bb,
                            const wire::ConfigurationInForce& message,
                            Actions& actions) {
  Adopt(bb, message.state(), actions);
}

// Any decision that counted on this voter's lost vote is held by a majority
// less one of the others; reading one more than the rest of them finds it.
void OnConfigurationRecoverReply(Blackboard& bb,
                                 const std::string& from,
                                 const wire::ConfigurationRecoverReply& reply,
                                 Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  Adopt(bb, reply.in_force(), actions);
  if (!board.recovering || reply.recovering()) {
    return;
  }
  board.recovered[from] = reply;
  if (board.recovered.size() < MajorityOf(Voters(bb).size())) {
    return;
  }
  for (const auto& [voter, answer] : board.recovered) {
    const wire::ConfigurationVote& vote = answer.vote();
    board.vote.set_promised(std::max(board.vote.promised(), vote.promised()));
    if (vote.accepted() > board.vote.accepted()) {
      board.vote.set_accepted(vote.accepted());
      *board.vote.mutable_state() = vote.state();
    }
  }
  AppendJournal append;
  *append.record.mutable_configuration_vote() = board.vote;
  actions.emplace_back(std::move(append));
  EndRecovery(bb, "read_other_votes", actions);
}

void OnConfigurationRecoveryTimer(Blackboard& bb, Now now, Actions& actions) {
  if (!bb.configuration.recovering) {
    return;
  }
  if (IsFirstStart(bb)) {
    EndRecovery(bb, "first_start", actions);
    return;
  }
  for (const std::string& voter : Voters(bb)) {
    if (voter != bb.deployment.self) {
      wire::PeerMessage message;
      message.mutable_configuration_fetch()->set_recover(true);
      Send(bb, voter, std::move(message), actions);
    }
  }
  bb.timers.Set(now.mono + kRecoveryPeriod, TimerKind::kConfigurationRecovery);
}

void FetchNewer(Blackboard& bb,
                const std::string& from,
                uint64_t version,
                Now now,
                Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  if (version <= board.in_force.version() ||
      (board.fetched_at != 0 && now.mono - board.fetched_at < kFetchPeriod)) {
    return;
  }
  board.fetched_at = now.mono;
  wire::PeerMessage message;
  message.mutable_configuration_fetch()->set_recover(false);
  Send(bb, from, std::move(message), actions);
}

void Bootstrap(Blackboard& bb, Now now, Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  if (board.in_force.version() != 0 || !board.proposals.empty() ||
      board.first_document.empty() || board.recovering) {
    return;
  }
  const bool first_voter = Voters(bb).front() == bb.deployment.self;
  if (!first_voter && now.mono < board.bootstrap_at) {
    return;
  }
  ConfigurationPut put;
  put.document = board.first_document;
  put.digest = Sha256Hex(put.document);
  OnConfigurationPut(bb, put, now, actions);
}

void OnVoteSynced(Blackboard& bb,
                  uint64_t token,
                  bool ok,
                  Now now,
                  Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  AnswerSynced(bb, token, ok, actions);
  const auto found = board.unsynced_replies.find(token);
  if (found == board.unsynced_replies.end()) {
    return;
  }
  SendPeer reply = std::move(found->second);
  board.unsynced_replies.erase(found);
  if (!ok) {
    Log(actions, LogLevel::kError, "vote_not_durable", {});
    return;
  }
  DeliverReply(bb, std::move(reply), now, actions);
}

}  // namespace goldcrest
