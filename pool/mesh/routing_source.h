#ifndef POOL_MESH_ROUTING_SOURCE_H_
#define POOL_MESH_ROUTING_SOURCE_H_

// From which control daemon a daemon requests a newer configuration.

#include "pool/mesh/mesh.h"

namespace goldcrest {

// Chooses the daemon to request a newer configuration from: preferably one of
// the own failure domain, and another one if the last choice did not send it.
void ChooseRoutingSource(Mesh& mesh, Micros now);

}  // namespace goldcrest

#endif  // POOL_MESH_ROUTING_SOURCE_H_
