#ifndef POOL_WORKERS_UNANSWERED_ORDERS_H_
#define POOL_WORKERS_UNANSWERED_ORDERS_H_

// Orders that must arrive: each is numbered and repeated, with a delay that
// doubles, until its receiver has answered it.
//
// An order that nobody has answered may have been lost, or carried out
// unheard, so receivers carry out a repeated order once; a daemon that was
// restarted answers the orders for its earlier process, too. An order is
// dropped when it has become pointless: the run is over, or its time has
// passed. Number and bytes are bounded: beyond the bounds an order is given
// once and not repeated, which is counted.
//
// The module only keeps the record. Its users send the orders that are due:
// worker_session (stops of runs) and mesh_orders (messages to daemons).

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "goldcrest/time_units.h"
#include "pool/worker_order.h"
#include "proto/pool.pb.h"

namespace goldcrest {

// Delays of the repetition of one kind of orders.
struct RetryDelays {
  Micros first = 0;
  Micros longest = 0;
};

// Stops a run of a task.
struct StopRun {
  TaskName task;
  uint32_t attempt = 0;
};

struct UnansweredOrder {
  uint64_t number = 0;
  std::string receiver;  // id of a worker, or mesh address of a daemon
  std::variant<StopRun, wire::PoolMessage> body;
  size_t bytes = 0;
  Micros given_at = 0;
  Micros drop_at = 0;  // when it is pointless; 0: its giver drops it
  Micros due = 0;
  Micros delay = 0;  // until the next repetition after that
  int times_sent = 0;
};

// Bounds of the record.
inline constexpr size_t kMaxUnansweredOrders = 20'000;
inline constexpr size_t kMaxUnansweredBytes = 8 * 1024 * 1024;

struct UnansweredOrders {
  std::map<uint64_t, UnansweredOrder> by_number;
  uint64_t next_number = 1;
  size_t bytes = 0;
  // Counts since the start of the daemon, for metrics.
  uint64_t repeated = 0;
  uint64_t dropped = 0;  // without an answer
};

// Adds an order, due at once. Returns its number; 0 if the bounds are reached:
// such an order is not repeated.
uint64_t AddOrder(UnansweredOrders& orders, UnansweredOrder order, Micros now);

// Records that the order is sent now, and when it is due again.
void OnOrderSent(UnansweredOrders& orders,
                 UnansweredOrder& order,
                 const RetryDelays& delays,
                 Micros now);

// Forgets an order that was answered, or that has become pointless. Does
// nothing if there is none with this number.
void ForgetOrder(UnansweredOrders& orders, uint64_t number);

// Makes the order due at once. Does nothing if there is none with this number.
void MakeOrderDue(UnansweredOrders& orders, uint64_t number, Micros now);

// Returns the order with this number, or null.
UnansweredOrder* FindOrder(UnansweredOrders& orders, uint64_t number);

}  // namespace goldcrest

#endif  // POOL_WORKERS_UNANSWERED_ORDERS_H_
