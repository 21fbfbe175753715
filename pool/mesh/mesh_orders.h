#ifndef POOL_MESH_MESH_ORDERS_H_
#define POOL_MESH_MESH_ORDERS_H_

// Messages to other daemons that must arrive: outcomes of jobs, cancellations
// of jobs that any daemon may have, and news of crashes. They are repeated
// until the receiver has answered (unanswered_orders.h); receivers carry out a
// repeated message once.

#include <cstdint>
#include <set>
#include <string>

#include "pool/pool_board.h"

namespace goldcrest {

// How long a message that every daemon is to have is repeated: one that is not
// heard for longer is removed from the mesh.
inline constexpr Micros kMeshOrderLifetime = 30 * kSecond;

// Sends a message to the daemon at a mesh address until it is answered, or
// until `drop_at`. Returns its number; 0 if it is sent once only, since too
// many are unanswered.
uint64_t SendUntilAnswered(PoolBoard& board,
                           const std::string& to,
                           wire::PoolMessage message,
                           Micros drop_at,
                           Micros now,
                           PoolActions& actions);

// Returns whether the daemon may get tasks that ran here: it is a control
// daemon, or a known entry daemon of the own failure domain.
bool MayGetTasks(const PoolBoard& board, const MeshMember& member);

// Sends a message to all reachable daemons that may get tasks that ran here,
// until each has answered or until `drop_at`.
void SendToPool(PoolBoard& board,
                const wire::PoolMessage& message,
                Micros drop_at,
                Micros now,
                PoolActions& actions);

// Answers a message if its sender repeats it. `had_effect` and `also_ask`: see
// wire::Delivered.
void AnswerDelivery(const wire::PoolMessage& message,
                    bool had_effect,
                    PoolActions& actions,
                    const std::set<std::string>& also_ask = {});

// Handles an answer. Returns the number of the message, 0 if it was one of an
// earlier process of this daemon.
uint64_t OnDelivered(PoolBoard& board, const wire::Delivered& answer);

// Repeats the messages that are due, and drops those whose time has passed.
void MeshOrdersTick(PoolBoard& board, Micros now, PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_MESH_MESH_ORDERS_H_
