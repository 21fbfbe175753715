#include "pool/workers/unanswered_orders.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

uint64_t AddOrder(UnansweredOrders& orders, UnansweredOrder order, Micros now) {
  if (orders.by_number.size() >= kMaxUnansweredOrders ||
      orders.bytes + order.bytes > kMaxUnansweredBytes) {
    ++orders.dropped;
    return 0;
  }
  order.number = orders.next_number++;
  order.given_at = now;
  order.due = now;
  orders.bytes += order.bytes;
  const uint64_t number = order.number;
  orders.by_number.emplace(number, std::move(order));
  return number;
}

void OnOrderSent(UnansweredOrders& orders,
                 UnansweredOrder& order,
                 const RetryDelays& delays,
                 Micros now) {
  orders.repeated += order.times_sent > 0 ? 1 : 0;
  ++order.times_sent;
  order.delay = order.delay == 0 ? delays.first
                                 : std::min(2 * order.delay, delays.longest);
  order.due = now + order.delay;
}

void ForgetOrder(UnansweredOrders& orders, uint64_t number) {
  const auto found = orders.by_number.find(number);
  if (found != orders.by_number.end()) {
    orders.bytes -= found->second.bytes;
    orders.by_number.erase(found);
  }
}

void MakeOrderDue(UnansweredOrders& orders, uint64_t number, Micros now) {
  UnansweredOrder* order = FindOrder(orders, number);
  if (order != nullptr) {
    order->due = now;
  }
}

UnansweredOrder* FindOrder(UnansweredOrders& orders, uint64_t number) {
  const auto found = orders.by_number.find(number);
  return found == orders.by_number.end() ? nullptr : &found->second;
}

}  // namespace goldcrest
