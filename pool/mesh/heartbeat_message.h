#ifndef POOL_MESH_HEARTBEAT_MESSAGE_H_
#define POOL_MESH_HEARTBEAT_MESSAGE_H_

// What a heartbeat says of its sender and of the daemons that it has heard.

#include <string>

#include "pool/mesh/mesh.h"

namespace goldcrest {

// Returns the heartbeat to the daemon at `to`, of the present round.
// `is_answer`: it answers one from there.
wire::PoolMessage MakeHeartbeat(const Mesh& mesh,
                                const std::string& to,
                                Micros now,
                                bool is_answer);

}  // namespace goldcrest

#endif  // POOL_MESH_HEARTBEAT_MESSAGE_H_
