#include "goldcrest/step.h"

#include <algorithm>
#include <utility>

#include "goldcrest/admission.h"
#include "goldcrest/borrowing.h"
#include "goldcrest/claim_owner.h"
#include "goldcrest/claim_store.h"
#include "goldcrest/claim_takeover.h"
#include "goldcrest/claim_updates.h"
#include "goldcrest/claim_vote_delivery.h"
#include "goldcrest/claim_voter.h"
#include "goldcrest/configuration_agreement.h"
#include "goldcrest/configuration_detail.h"
#include "goldcrest/drain.h"
#include "goldcrest/forwarding.h"
#include "goldcrest/jobs.h"
#include "goldcrest/membership.h"
#include "goldcrest/outlier.h"
#include "goldcrest/placement.h"
#include "goldcrest/task_results.h"
#include "goldcrest/worker_lease.h"

namespace goldcrest {
namespace {

constexpr Micros kHousekeepingPeriod = 100 * kMillisecond;
constexpr Micros kMaxStepInterval = kSecond;

// Runs the periodic work of the controllers and arms the timer for the next
// time.
void RunHousekeeping(Blackboard& bb, StepTime now, Actions& actions) {
  for (const std::string& vm : RefreshMembership(bb, now, actions)) {
    DropLoansWith(bb, vm);
  }
  ExpireWorkers(bb, now, actions);
  ExpireLoans(bb, now);
  EndEjections(bb, now);
  ExpireClaims(bb, now);
  TakeOverOrphans(bb, now, actions);
  DropEmptyLanes(bb);
  BootstrapConfiguration(bb, now, actions);
  detail::ReviewDisk(bb, now.mono, actions);
  bb.placement_due = true;
  bb.timers.Set(now.mono + kHousekeepingPeriod, TimerKind::kHousekeeping);
}

void RunTimer(Blackboard& bb,
              const Timer& timer,
              StepTime now,
              Actions& actions) {
  switch (timer.kind) {
    case TimerKind::kFullRateHeartbeat:
      return OnHeartbeatTimer(bb, true, now, actions);
    case TimerKind::kReducedRateHeartbeat:
      return OnHeartbeatTimer(bb, false, now, actions);
    case TimerKind::kHousekeeping:
      return RunHousekeeping(bb, now, actions);
    case TimerKind::kJobDeadline:
      return OnJobDeadline(bb, timer.key, now, actions);
    case TimerKind::kTaskRetry:
      return OnTaskRetryTimer(bb, timer.key);
    case TimerKind::kTaskLookup:
      return OnTaskLookupTimer(bb, timer.key, now, actions);
    case TimerKind::kTaskHedge:
      return OnTaskHedgeTimer(bb, timer.key, now, actions);
    case TimerKind::kClaim:
      return OnClaimTimer(bb, timer.key, now, actions);
    case TimerKind::kClaimUpdate:
      return OnClaimUpdateTimer(bb, timer.key, now, actions);
    case TimerKind::kForward:
      return OnForwardTimer(bb, timer.key, now, actions);
    case TimerKind::kCallerWait:
      return OnWaitTimer(bb, timer.key, actions);
    case TimerKind::kAcceptedNotice:
      return OnAcceptedNoticeTimer(bb, timer.key, actions);
    case TimerKind::kLookupQuery:
      return EndSubmissionLookup(bb, timer.key, actions);
    case TimerKind::kAnnounce:
      return OnAnnounceTimer(bb, timer.key, now, actions);
    case TimerKind::kConfiguration:
      return OnConfigurationTimer(bb, now, actions);
    case TimerKind::kConfigurationRecovery:
      return OnConfigurationRecoveryTimer(bb, now, actions);
    case TimerKind::kClaimSync:
      return OnClaimSyncTimer(bb, now, actions);
    case TimerKind::kDrain:
      return OnDrainTimer(bb, now, actions);
  }
}

void OnClaimRequest(Blackboard& bb,
                    const wire::PeerMessage& message,
                    StepTime now,
                    Actions& actions) {
  DeliverVote(bb, message.from(),
              VoteOnClaim(bb, message.from(), message.incarnation(),
                          message.claim_request(), now),
              now, actions);
}

void OnClaimUpdate(Blackboard& bb,
                   const wire::PeerMessage& message,
                   StepTime now,
                   Actions& actions) {
  DeliverVote(bb, message.from(),
              VoteOnUpdate(bb, message.from(), message.claim_update(), now),
              now, actions);
}

void OnPeerMessage(Blackboard& bb,
                   const wire::PeerMessage& message,
                   StepTime now,
                   Actions& actions) {
  const std::string& from = message.from();
  if (!RecordPeerContact(bb, from, message.incarnation(), now, actions)) {
    return;
  }
  using Body = wire::PeerMessage;
  switch (message.body_case()) {
    case Body::kHeartbeat:
      OnHeartbeat(bb, from, message.heartbeat(), now, actions);
      return FetchNewerConfiguration(
          bb, from, message.heartbeat().configuration_version(), now, actions);
    case Body::kClaimRequest:
      return OnClaimRequest(bb, message, now, actions);
    case Body::kClaimReply:
      return OnClaimReply(bb, from, message.claim_reply(), now, actions);
    case Body::kClaimUpdate:
      return OnClaimUpdate(bb, message, now, actions);
    case Body::kClaimUpdateReply:
      return OnClaimUpdateReply(bb, from, message.claim_update_reply(), now,
                                actions);
    case Body::kClaimSync:
      return OnClaimSync(bb, from, message.claim_sync(), actions);
    case Body::kClaimSyncPage:
      return OnClaimSyncPage(bb, from, message.claim_sync_page(), now, actions);
    case Body::kForward:
      return OnForward(bb, from, message.forward(), now, actions);
    case Body::kForwardReply:
      return OnForwardReply(bb, from, message.forward_reply(), now, actions);
    case Body::kLookup:
      return OnPeerLookup(bb, from, message.lookup(), actions);
    case Body::kLookupReply:
      return OnLookupReply(bb, from, message.lookup_reply(), actions);
    case Body::kCancel:
      return OnPeerCancel(bb, message.cancel(), now, actions);
    case Body::kBorrowSlots:
      return OnBorrowSlots(bb, from, message.borrow_slots(), now);
    case Body::kSlotGrant:
      return OnSlotGrant(bb, from, message.slot_grant(), now, actions);
    case Body::kSlotReturn:
      return OnSlotReturn(bb, from, message.slot_return());
    case Body::kAnnounceForward:
      return OnAnnounceForward(bb, from, message.announce_forward(), now,
                               actions);
    case Body::kAnnounceReply:
      return OnAnnounceReply(bb, message.announce_reply(), actions);
    case Body::kConfigurationRequest:
      return OnConfigurationRequest(bb, from, message.configuration_request(),
                                    now, actions);
    case Body::kConfigurationReply:
      return OnConfigurationReply(bb, from, message.configuration_reply(), now,
                                  actions);
    case Body::kConfigurationFetch:
      return OnConfigurationFetch(bb, from, message.configuration_fetch(),
                                  actions);
    case Body::kConfigurationInForce:
      return OnConfigurationInForce(bb, message.configuration_in_force(),
                                    actions);
    case Body::kConfigurationRecoverReply:
      return OnConfigurationRecoverReply(
          bb, from, message.configuration_recover_reply(), actions);
    case Body::BODY_NOT_SET:
      return;
  }
}

// Calls the controller of each kind of event.
struct EventDispatcher {
  Blackboard& bb;
  StepTime now;
  Actions& actions;

  void operator()(const SubmitRequest& event) {
    OnSubmit(bb, event, now, actions);
  }
  void operator()(const LookupRequest& event) {
    OnLookup(bb, event, now, actions);
  }
  void operator()(const CancelRequest& event) {
    OnCancel(bb, event, now, actions);
  }
  void operator()(const RequestConnectionClosed& event) {
    OnRequestConnectionClosed(bb, event);
  }
  void operator()(const AnnounceRequest& event) {
    OnAnnounce(bb, event, now, actions);
  }
  void operator()(const TaskAnswer& event) {
    OnTaskAnswer(bb, event, now, actions);
  }
  void operator()(const PeerReceived& event) {
    OnPeerMessage(bb, event.message, now, actions);
  }
  void operator()(const JournalSynced& event) {
    OnConfigurationVoteSynced(bb, event.token, event.ok, now, actions);
    OnClaimVoteSynced(bb, event.token, event.ok, now, actions);
  }
  void operator()(const ConfigurationPut& event) {
    OnConfigurationPut(bb, event, now, actions);
  }
  void operator()(const DrainRequest& event) {
    OnDrain(bb, event, now, actions);
  }
  void operator()(const TimeAdvanced& /*event*/) {}
};

// Starts, lends and returns slots if anything relevant to placement changed.
void RunPlacement(Blackboard& bb, StepTime now, Actions& actions) {
  if (!bb.placement_due) {
    return;
  }
  bb.placement_due = false;
  ReclaimAfterLeaseExpiry(bb, now, actions);
  ReturnIdleSlots(bb, false, now, actions);
  PlaceTasks(bb, now, actions);
  ServeBorrowers(bb, now, actions);
  ReturnIdleSlots(bb, bb.queue.ready.empty(), now, actions);
  UpdateBorrowRequests(bb, now, actions);
}

void RestoreClaims(Blackboard& bb,
                   const RecoveredState& recovered,
                   StepTime now) {
  for (const wire::ClaimRecord& record : recovered.claims) {
    ClaimEntry& entry = FindOrCreateClaim(bb, record.submission_id(), now);
    const std::string earlier_owner = entry.record.owner();
    entry.record = record;
    IndexClaim(bb, entry, earlier_owner);
  }
}

}  // namespace

Blackboard MakeBlackboard(Deployment deployment, Tuning tuning) {
  Blackboard bb;
  bb.random.seed(deployment.seed);
  bb.deployment = std::move(deployment);
  bb.tuning = tuning;
  return bb;
}

void Start(Blackboard& bb,
           const RecoveredState& recovered,
           StepTime now,
           Actions& actions) {
  // A single VM that syncs its claims restores its whole voter state.
  const bool state_kept = bb.deployment.IsSingleVm() && bb.tuning.synced_claims;
  StartMembership(bb, now, recovered.had_earlier_incarnation, state_kept);
  StartConfiguration(bb, now, recovered.vote, recovered.has_vote,
                     recovered.in_force, actions);
  RestoreClaims(bb, recovered, now);
  bb.timers.Set(now.mono, TimerKind::kHousekeeping);
  Step(bb, TimeAdvanced{}, now, actions);
}

void Step(Blackboard& bb, const Event& event, StepTime now, Actions& actions) {
  std::visit(EventDispatcher{bb, now, actions}, event);
  while (const auto timer = bb.timers.TakeDue(now.mono)) {
    RunTimer(bb, *timer, now, actions);
  }
  if (bb.drained) {
    AnswerAllPending(bb, now, actions);
    return;
  }
  RunPlacement(bb, now, actions);
}

Micros NextWakeUp(const Blackboard& bb, StepTime now) {
  return std::min(bb.timers.NextDue(now.mono + kMaxStepInterval),
                  now.mono + kMaxStepInterval);
}

}  // namespace goldcrest
