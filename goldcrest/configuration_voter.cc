// The voter of the agreement on the configuration: its vote, and the recovery
// of a vote that was lost.

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "goldcrest/configuration_agreement.h"
#include "goldcrest/configuration_detail.h"
#include "goldcrest/membership.h"

namespace goldcrest {
namespace {

using detail::AdoptState;
using detail::IsVoter;
using detail::Voters;

constexpr Micros kRecoveryPeriod = 300 * kMillisecond;

// Applies `request` to this voter's vote and returns the reply.
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

// Returns whether the vote that this request asks for is being written: the
// proposer repeats its requests, and is answered once that is done.
bool IsBeingWritten(const Blackboard& bb,
                    const std::string& from,
                    const wire::ConfigurationRequest& request) {
  const auto& replies = bb.configuration.unsynced_replies;
  return std::any_of(replies.begin(), replies.end(), [&](const auto& entry) {
    const wire::ConfigurationReply& reply =
        entry.second.message.configuration_reply();
    return entry.second.vm == from && reply.phase() == request.phase() &&
           reply.ballot() == request.ballot();
  });
}

// Sends a vote, or handles it directly when this VM is the proposer.
void DeliverReply(Blackboard& bb,
                  SendPeer reply,
                  StepTime now,
                  Actions& actions) {
  if (reply.vm == bb.deployment.self) {
    OnConfigurationReply(bb, bb.deployment.self,
                         reply.message.configuration_reply(), now, actions);
    return;
  }
  SendToPeer(bb, reply.vm, std::move(reply.message), actions);
}

void FinishRecovery(Blackboard& bb, std::string_view reason, Actions& actions) {
  bb.configuration.recovering = false;
  bb.configuration.recovered.clear();
  Log(actions, LogLevel::kInfo, "configuration_voter_ready",
      {{"reason", std::string(reason)}});
}

// Returns whether every other voter confirmed that it knows of no earlier
// incarnation of this VM.
bool IsFirstStart(const Blackboard& bb) {
  return std::all_of(Voters(bb).begin(), Voters(bb).end(),
                     [&](const std::string& voter) {
                       const auto peer = bb.membership.peers.find(voter);
                       return peer == bb.membership.peers.end() ||
                              peer->second.confirmed_first_start;
                     });
}

}  // namespace

namespace detail {

Micros MajorityWriteTime(const Blackboard& bb, Micros now) {
  std::vector<Micros> times;
  for (const std::string& voter : Voters(bb)) {
    const auto peer = bb.membership.peers.find(voter);
    times.push_back(peer == bb.membership.peers.end()
                        ? ExpectedWriteTime(bb.configuration.write_times, now)
                        : peer->second.write_time);
  }
  return MajorityTime(std::move(times));
}

void ReviewDisk(Blackboard& bb, Micros now, Actions& actions) {
  WriteTimes& times = bb.configuration.write_times;
  const DiskSpeedChange change = ReviewDiskSpeed(times, now);
  if (change == DiskSpeedChange::kNone) {
    return;
  }
  const bool became_slow = change == DiskSpeedChange::kBecameSlow;
  Log(actions, became_slow ? LogLevel::kWarning : LogLevel::kInfo,
      ToString(change),
      {{"write_ms",
        std::to_string(ExpectedWriteTime(times, now) / kMillisecond)}});
}

void VoteAndReply(Blackboard& bb,
                  const std::string& to,
                  const wire::ConfigurationRequest& request,
                  StepTime now,
                  Actions& actions) {
  if (IsBeingWritten(bb, to, request)) {
    return;
  }
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
  BeginWrite(bb.configuration.write_times, append.token, now.mono);
  actions.emplace_back(std::move(append));
}

void DeliverSyncedVote(Blackboard& bb,
                       uint64_t token,
                       bool ok,
                       StepTime now,
                       Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  const auto found = board.unsynced_replies.find(token);
  if (found == board.unsynced_replies.end()) {
    return;
  }
  SendPeer reply = std::move(found->second);
  board.unsynced_replies.erase(found);
  EndWrite(board.write_times, token, ok, now.mono);
  if (!ok) {
    Log(actions, LogLevel::kError, "vote_not_durable", {});
    return;
  }
  DeliverReply(bb, std::move(reply), now, actions);
}

}  // namespace detail

void OnConfigurationRequest(Blackboard& bb,
                            const std::string& from,
                            const wire::ConfigurationRequest& request,
                            StepTime now,
                            Actions& actions) {
  if (IsVoter(bb, bb.deployment.self)) {
    detail::VoteAndReply(bb, from, request, now, actions);
  }
}

// A decision in which this voter's lost vote counted is stored at a majority
// minus one of the other voters. The votes of a majority of all voters, read
// from the others, include at least one that contains it.
void OnConfigurationRecoverReply(Blackboard& bb,
                                 const std::string& from,
                                 const wire::ConfigurationRecoverReply& reply,
                                 Actions& actions) {
  ConfigurationBoard& board = bb.configuration;
  AdoptState(bb, reply.in_force(), actions);
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
  FinishRecovery(bb, "read_other_votes", actions);
}

void OnConfigurationRecoveryTimer(Blackboard& bb,
                                  StepTime now,
                                  Actions& actions) {
  if (!bb.configuration.recovering) {
    return;
  }
  if (IsFirstStart(bb)) {
    FinishRecovery(bb, "first_start", actions);
    return;
  }
  for (const std::string& voter : Voters(bb)) {
    if (voter != bb.deployment.self) {
      wire::PeerMessage message;
      message.mutable_configuration_fetch()->set_recover(true);
      SendToPeer(bb, voter, std::move(message), actions);
    }
  }
  bb.timers.Set(now.mono + kRecoveryPeriod, TimerKind::kConfigurationRecovery);
}

}  // namespace goldcrest
