// What a daemon knows of the others, and what it counts of its messages.

#include "pool/mesh/mesh.h"

#include <catch2/catch.hpp>

#include "pool/mesh/message_kind.h"

namespace goldcrest {
namespace {

TEST_CASE("Mesh: the age of the newest heartbeat that another one confirmed") {
  MeshOptions options;
  options.self = "self";
  options.control = true;
  options.seeds = {"other"};
  Mesh mesh = MakeMesh(options);
  PoolActions actions;
  MeshTick(mesh, kSecond, actions);
  MeshTick(mesh, 2 * kSecond, actions);
  MeshTick(mesh, 3 * kSecond, actions);
  const MeshMember& other = mesh.members.at("other");
  CHECK(EchoAge(mesh, other, 4 * kSecond) == std::nullopt);
  wire::Presence heartbeat;
  heartbeat.set_control(true);
  heartbeat.set_sequence(1);
  heartbeat.set_echoed_sequence(2);
  OnMeshHeartbeat(mesh, "other", 1, heartbeat, 4 * kSecond, actions);
  CHECK(EchoAge(mesh, other, 4 * kSecond) == 2 * kSecond);
  // It hears nothing of this daemon any more, but is heard.
  heartbeat.set_sequence(2);
  OnMeshHeartbeat(mesh, "other", 1, heartbeat, 5 * kSecond, actions);
  CHECK(other.last_heartbeat_at == 5 * kSecond);
  CHECK(EchoAge(mesh, other, 5 * kSecond) == 3 * kSecond);
}

TEST_CASE("MessageKind: names each kind after its field") {
  wire::PoolMessage message;
  CHECK(MessageKindName(message.body_case()) == "none");
  message.mutable_worker_news();
  CHECK(MessageKindName(message.body_case()) == "worker_news");
  message.mutable_presence();
  CHECK(MessageKindName(message.body_case()) == "presence");
}

}  // namespace
}  // namespace goldcrest
