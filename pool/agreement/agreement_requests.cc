// The requests of operators: changes and reads of the configuration, and those
// that were forwarded to the leader.

#include <algorithm>
#include <optional>
#include <utility>

#include "pool/agreement/agreement.h"
#include "pool/agreement/agreement_detail.h"

namespace goldcrest {
namespace {

// Returns whether another daemon is known to be the leader.
bool HasOtherLeader(const Agreement& agreement) {
  return agreement.role != AgreementRole::kLeader && !agreement.leader.empty();
}

// Records a request that is about to be forwarded to the leader; returns its
// number.
uint64_t AddForwardedRequest(Agreement& agreement,
                             ReplyToken token,
                             bool is_change,
                             Micros now) {
  const uint64_t number = agreement.next_forward_number++;
  agreement.forwarded_requests[number] = {
      token, is_change, agreement.leader,
      now + agreement.options.forward_timeout};
  return number;
}

// Removes a forwarded request that the leader has answered and returns its
// token; nullopt if it is already answered.
std::optional<ReplyToken> TakeForwardedRequest(Agreement& agreement,
                                               uint64_t number,
                                               bool is_change) {
  const auto found = agreement.forwarded_requests.find(number);
  if (found == agreement.forwarded_requests.end() ||
      found->second.is_change != is_change) {
    return std::nullopt;
  }
  const ReplyToken token = found->second.token;
  agreement.forwarded_requests.erase(found);
  return token;
}

// Returns what the operator is told. A change that was proposed may still take
// effect.
ChangeResult ResultOf(ChangeEnd end) {
  switch (end) {
    case ChangeEnd::kDurable:
      return ChangeResult::kDurable;
    case ChangeEnd::kNoLeader:
    case ChangeEnd::kNoMajority:
      return ChangeResult::kNotLeader;
    default:
      return ChangeResult::kUnknown;
  }
}

// Counts the answer to a change, and logs it unless the change is durable.
void RecordChangeEnd(Agreement& agreement,
                     ChangeEnd end,
                     PoolActions& actions) {
  ++agreement.change_ends[end];
  if (end != ChangeEnd::kDurable) {
    LogPoolEvent(actions, LogLevel::kInfo, "configuration_not_confirmed",
                 {{"reason", std::string(ToString(end))},
                  {"leader", agreement.leader},
                  {"term", std::to_string(agreement.stored.term())}});
  }
}

// Answers the forwarded requests whose leader was replaced or is late.
void ExpireForwardedRequests(Agreement& agreement,
                             Micros now,
                             PoolActions& actions) {
  std::erase_if(agreement.forwarded_requests, [&](const auto& numbered) {
    const ForwardedRequest& request = numbered.second;
    if (now < request.timeout_at && request.leader == agreement.leader) {
      return false;
    }
    if (request.is_change) {
      const bool is_changed = request.leader != agreement.leader;
      detail::AnswerChange(
          agreement, {request.token, ""},
          is_changed ? ChangeEnd::kLeaderChanged : ChangeEnd::kLeaderSilent,
          actions);
    } else {
      actions.emplace_back(ReplyRead{request.token, false});
    }
    return true;
  });
}

}  // namespace

namespace detail {

void AnswerChange(Agreement& agreement,
                  const Requester& requester,
                  ChangeEnd end,
                  PoolActions& actions) {
  RecordChangeEnd(agreement, end, actions);
  const ChangeResult result = ResultOf(end);
  if (requester.from.empty()) {
    actions.emplace_back(ReplyChange{requester.token, result});
    return;
  }
  wire::PoolMessage message;
  message.mutable_change_answer()->set_number(requester.token);
  message.mutable_change_answer()->set_result(static_cast<uint32_t>(result));
  SendTo(actions, requester.from, std::move(message));
}

void AnswerWaiting(Agreement& agreement, PoolActions& actions) {
  std::erase_if(agreement.waiting_changes, [&](const WaitingChange& change) {
    if (change.index > agreement.committed_index) {
      return false;
    }
    AnswerChange(agreement, change.requester, ChangeEnd::kDurable, actions);
    return true;
  });
}

void ExpireRequests(Agreement& agreement, Micros now, PoolActions& actions) {
  std::erase_if(agreement.waiting_changes, [&](const WaitingChange& change) {
    if (now < change.timeout_at) {
      return false;
    }
    AnswerChange(agreement, change.requester, ChangeEnd::kNotWrittenInTime,
                 actions);
    return true;
  });
  ExpireForwardedRequests(agreement, now, actions);
}

}  // namespace detail

void ProposeRouting(Agreement& agreement,
                    const Requester& requester,
                    const wire::Routing& routing,
                    Micros now,
                    PoolActions& actions) {
  if (requester.from.empty() && HasOtherLeader(agreement)) {
    wire::PoolMessage message;
    message.mutable_change_forward()->set_number(
        AddForwardedRequest(agreement, requester.token, true, now));
    *message.mutable_change_forward()->mutable_routing() = routing;
    SendTo(actions, agreement.leader, std::move(message));
    return;
  }
  if (!MayServeReads(agreement, now)) {
    const bool leads = agreement.role == AgreementRole::kLeader;
    detail::AnswerChange(agreement, requester,
                         leads ? ChangeEnd::kNoMajority : ChangeEnd::kNoLeader,
                         actions);
    return;
  }
  const uint64_t current_version =
      detail::NewestEntry(agreement).routing().version();
  if (routing.version() > current_version) {
    wire::RegisterState state = detail::NewestEntry(agreement);
    *state.mutable_routing() = routing;
    LogPoolEvent(actions, LogLevel::kInfo, "configuration_proposed",
                 {{"version", std::to_string(routing.version())},
                  {"before", std::to_string(current_version)}});
    detail::Propose(agreement, std::move(state), now, actions);
  }
  agreement.waiting_changes.push_back({requester,
                                       detail::NewestEntry(agreement).index(),
                                       now + agreement.options.change_timeout});
  detail::AnswerWaiting(agreement, actions);
}

void OnChangeAnswer(Agreement& agreement,
                    const wire::ChangeAnswer& answer,
                    PoolActions& actions) {
  const auto token = TakeForwardedRequest(agreement, answer.number(), true);
  if (token) {
    const auto result = static_cast<ChangeResult>(answer.result());
    RecordChangeEnd(agreement,
                    result == ChangeResult::kDurable
                        ? ChangeEnd::kDurable
                        : ChangeEnd::kLeaderRefused,
                    actions);
    actions.emplace_back(ReplyChange{*token, result});
  }
}

void ReadRouting(Agreement& agreement,
                 const Requester& requester,
                 Micros now,
                 PoolActions& actions) {
  const bool may_serve = MayServeReads(agreement, now);
  if (!requester.from.empty()) {
    wire::PoolMessage message;
    wire::VersionAnswer& answer = *message.mutable_version_answer();
    answer.set_number(requester.token);
    answer.set_known(may_serve);
    answer.set_version(agreement.committed.routing().version());
    SendTo(actions, requester.from, std::move(message));
    return;
  }
  if (!may_serve && HasOtherLeader(agreement)) {
    wire::PoolMessage message;
    message.mutable_version_query()->set_number(
        AddForwardedRequest(agreement, requester.token, false, now));
    SendTo(actions, agreement.leader, std::move(message));
    return;
  }
  actions.emplace_back(
      ReplyRead{requester.token,
                may_serve && agreement.committed.routing().version() > 0});
}

void OnVersionAnswer(Agreement& agreement,
                     const wire::VersionAnswer& answer,
                     PoolActions& actions) {
  const auto token = TakeForwardedRequest(agreement, answer.number(), false);
  if (!token) {
    return;
  }
  const uint64_t current_version = agreement.committed.routing().version();
  actions.emplace_back(
      ReplyRead{*token, answer.known() && current_version > 0 &&
                            current_version >= answer.version()});
}

bool MayServeReads(const Agreement& agreement, Micros now) {
  return agreement.committed.term() == agreement.stored.term() &&
         detail::HoldsLease(agreement, now);
}

}  // namespace goldcrest
