#ifndef POOL_STANDBY_H_
#define POOL_STANDBY_H_

// Entry daemons order workers themselves while no control daemon can be
// reached.
//
// All control VMs may lose power at once. The workers go on, and so do the
// entry VMs; each entry daemon therefore knows the workers of its failure
// domain, and when it hears no control daemon it asks other entry daemons, its
// witnesses, whether they do. If at least half of the witnesses answer and
// none of them hears one, it takes its share of its domain's workers, by the
// same claims, leases and tokens as a control daemon would. A daemon that is
// itself cut off hears too few witnesses and takes nothing. When a control
// daemon is back, it asks for the workers and gets each of them when idle.

#include <string>
#include <vector>

#include "pool/pool_board.h"

namespace goldcrest {

// Decides whether this entry daemon looks for control daemons, or stands in
// for them.
void StandbyTick(PoolBoard& board, Micros now, PoolActions& actions);

// Returns the entry daemons that `to` should ask about control daemons: those
// of its own failure domain first.
std::vector<std::string> WitnessesFor(const Mesh& mesh,
                                      const std::string& to,
                                      Micros now);

// Says whether the pool of an entry daemon has workers that take tasks.
bool HasReadyWorkers(const PoolBoard& board);

}  // namespace goldcrest

#endif  // POOL_STANDBY_H_
