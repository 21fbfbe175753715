#include "pool/mesh/mesh_orders.h"

#include <utility>
#include <vector>

namespace goldcrest {
namespace {

constexpr RetryDelays kMessageRetries = {100 * kMillisecond, kSecond};

void Send(PoolBoard& board,
          UnansweredOrder& order,
          Micros now,
          PoolActions& actions) {
  OnOrderSent(board.unanswered, order, kMessageRetries, now);
  SendTo(actions, order.receiver, std::get<wire::PoolMessage>(order.body));
}

}  // namespace

uint64_t SendUntilAnswered(PoolBoard& board,
                           const std::string& to,
                           wire::PoolMessage message,
                           Micros drop_at,
                           Micros now,
                           PoolActions& actions) {
  UnansweredOrder order;
  order.receiver = to;
  order.bytes = message.ByteSizeLong();
  order.drop_at = drop_at;
  message.set_delivery(board.unanswered.next_number);
  order.body = message;
  const uint64_t number = AddOrder(board.unanswered, std::move(order), now);
  if (number == 0) {
    SendTo(actions, to, std::move(message));
    return 0;
  }
  Send(board, *FindOrder(board.unanswered, number), now, actions);
  return number;
}

bool MayGetTasks(const PoolBoard& board, const MeshMember& member) {
  return member.last_heartbeat.control() ||
         (member.incarnation != 0 && member.last_heartbeat.failure_domain() ==
                                         board.mesh.options.failure_domain);
}

void SendToPool(PoolBoard& board,
                const wire::PoolMessage& message,
                Micros drop_at,
                Micros now,
                PoolActions& actions) {
  for (const auto& [address, member] : board.mesh.members) {
    if (MayGetTasks(board, member) &&
        IsPeerReachable(board.mesh, address, now)) {
      SendUntilAnswered(board, address, message, drop_at, now, actions);
    }
  }
}

void AnswerDelivery(const wire::PoolMessage& message,
                    bool had_effect,
                    PoolActions& actions,
                    const std::set<std::string>& also_ask) {
  if (message.delivery() == 0) {
    return;
  }
  wire::PoolMessage answer;
  wire::Delivered& delivered = *answer.mutable_delivered();
  delivered.set_delivery(message.delivery());
  delivered.set_incarnation(message.incarnation());
  delivered.set_had_effect(had_effect);
  for (const std::string& address : also_ask) {
    delivered.add_also_ask(address);
  }
  SendTo(actions, message.from(), std::move(answer));
}

uint64_t OnDelivered(PoolBoard& board, const wire::Delivered& answer) {
  if (answer.incarnation() != board.mesh.options.incarnation) {
    return 0;
  }
  ForgetOrder(board.unanswered, answer.delivery());
  return answer.delivery();
}

void MeshOrdersTick(PoolBoard& board, Micros now, PoolActions& actions) {
  std::vector<uint64_t> expired;
  for (auto& [number, order] : board.unanswered.by_number) {
    if (!std::holds_alternative<wire::PoolMessage>(order.body)) {
      continue;  // worker_session sends it
    }
    if (now >= order.drop_at) {
      expired.push_back(number);
    } else if (now >= order.due) {
      Send(board, order, now, actions);
    }
  }
  for (const uint64_t number : expired) {
    ForgetOrder(board.unanswered, number);
    ++board.unanswered.dropped;
  }
}

}  // namespace goldcrest
