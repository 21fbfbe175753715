#include "goldcrest/claim_vote_delivery.h"

#include <utility>

#include "goldcrest/claim_owner.h"
#include "goldcrest/claim_store.h"
#include "goldcrest/claim_updates.h"

namespace goldcrest {
namespace {

// Sends a vote, or handles it directly when this VM is the proposer.
void Deliver(Blackboard& bb,
             const std::string& proposer,
             wire::PeerMessage message,
             StepTime now,
             Actions& actions) {
  if (proposer != bb.deployment.self) {
    ++bb.counters.claim_messages;
    SendToPeer(bb, proposer, std::move(message), actions);
  } else if (message.has_claim_reply()) {
    OnClaimReply(bb, proposer, message.claim_reply(), now, actions);
  } else {
    OnClaimUpdateReply(bb, proposer, message.claim_update_reply(), now,
                       actions);
  }
}

// Journals the record of `id`, and delivers `message` once it is durable.
void DeliverWhenSynced(Blackboard& bb,
                       const std::string& proposer,
                       const std::string& id,
                       wire::PeerMessage message,
                       Actions& actions) {
  AppendJournal append;
  append.token = NextId(bb);
  *append.record.mutable_claim() = FindClaim(bb, id)->record;
  bb.unsynced_votes[append.token] = {proposer, std::move(message)};
  actions.emplace_back(std::move(append));
}

}  // namespace

void DeliverVote(Blackboard& bb,
                 const std::string& proposer,
                 const wire::ClaimReply& reply,
                 StepTime now,
                 Actions& actions) {
  wire::PeerMessage message;
  *message.mutable_claim_reply() = reply;
  const bool accepted = reply.phase() == wire::CLAIM_ACCEPT &&
                        reply.status() == wire::CLAIM_GRANTED;
  if (bb.tuning.synced_claims && accepted) {
    DeliverWhenSynced(bb, proposer, reply.submission_id(), std::move(message),
                      actions);
    return;
  }
  Deliver(bb, proposer, std::move(message), now, actions);
}

void DeliverVote(Blackboard& bb,
                 const std::string& proposer,
                 const wire::ClaimUpdateReply& reply,
                 StepTime now,
                 Actions& actions) {
  wire::PeerMessage message;
  *message.mutable_claim_update_reply() = reply;
  if (bb.tuning.synced_claims && reply.applied()) {
    DeliverWhenSynced(bb, proposer, reply.submission_id(), std::move(message),
                      actions);
    return;
  }
  Deliver(bb, proposer, std::move(message), now, actions);
}

void OnClaimVoteSynced(Blackboard& bb,
                       uint64_t token,
                       bool ok,
                       StepTime now,
                       Actions& actions) {
  auto vote = bb.unsynced_votes.extract(token);
  if (vote.empty() || !ok) {
    return;
  }
  Deliver(bb, vote.mapped().proposer, std::move(vote.mapped().message), now,
          actions);
}

}  // namespace goldcrest
