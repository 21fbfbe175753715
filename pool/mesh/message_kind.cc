#include "pool/mesh/message_kind.h"

namespace goldcrest {

std::string MessageKindName(wire::PoolMessage::BodyCase kind) {
  const auto* field = wire::PoolMessage::descriptor()->FindFieldByNumber(kind);
  return field == nullptr ? "none" : std::string(field->name());
}

}  // namespace goldcrest
