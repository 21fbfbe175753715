#ifndef POOL_MESH_MESSAGE_KIND_H_
#define POOL_MESH_MESSAGE_KIND_H_

// The kinds of messages between daemons, by which metrics and tests count them.

#include <string>

#include "proto/pool.pb.h"

namespace goldcrest {

// Returns the name of the kind: that of the field of PoolMessage's body, for
// example "worker_news", or "none" for a message without a body.
std::string MessageKindName(wire::PoolMessage::BodyCase kind);

}  // namespace goldcrest

#endif  // POOL_MESH_MESSAGE_KIND_H_
