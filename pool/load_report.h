#ifndef POOL_LOAD_REPORT_H_
#define POOL_LOAD_REPORT_H_

// The load that a control daemon reports to other daemons.

#include "pool/pool_board.h"

namespace goldcrest {

// Recomputes the load that this daemon reports in its heartbeats.
void UpdateLoad(PoolBoard& board, Micros now);

}  // namespace goldcrest

#endif  // POOL_LOAD_REPORT_H_
