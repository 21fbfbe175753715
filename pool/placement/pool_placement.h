#ifndef POOL_PLACEMENT_POOL_PLACEMENT_H_
#define POOL_PLACEMENT_POOL_PLACEMENT_H_

// Placement of waiting tasks on workers.

#include "pool/pool_board.h"

namespace goldcrest {

// Starts the waiting tasks for which a worker has free capacity, in the order
// of the queue.
void PlaceWaitingTasks(PoolBoard& board, Micros now, PoolActions& actions);

}  // namespace goldcrest

#endif  // POOL_PLACEMENT_POOL_PLACEMENT_H_
