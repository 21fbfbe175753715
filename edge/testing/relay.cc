#include "edge/testing/relay.h"

#include <algorithm>
#include <chrono>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

namespace goldcrest {
namespace {

constexpr std::chrono::microseconds kTurn{500};
constexpr int kChunkBytes = 64 * 1024;
constexpr long kConnectMs = 200;

// Moves what can be read at once. Returns false when the connection ended.
bool Forward(Poco::Net::StreamSocket& from, Poco::Net::StreamSocket& to) {
  char chunk[kChunkBytes];
  while (from.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    const int count = from.receiveBytes(chunk, kChunkBytes);
    if (count <= 0) {
      return false;
    }
    int sent = 0;
    while (sent < count) {
      sent += to.sendBytes(chunk + sent, count - sent);
    }
  }
  return true;
}

}  // namespace

Relays::Relays() : thread_([this] { Run(); }) {}

Relays::~Relays() {
  stopping_ = true;
  thread_.join();
}

std::string Relays::Add(const std::string& from,
                        const std::string& to,
                        const std::string& target) {
  auto relay = std::make_unique<Relay>();
  relay->from = from;
  relay->to = to;
  relay->target = target;
  relay->listener.bind(Poco::Net::SocketAddress("127.0.0.1:0"), false);
  relay->listener.listen();
  const std::string address = relay->listener.address().toString();
  const std::lock_guard<std::mutex> lock(mutex_);
  relays_.push_back(std::move(relay));
  return address;
}

void Relays::Cut(const std::function<bool(const std::string& from,
                                          const std::string& to)>& is_cut) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& relay : relays_) {
    relay->cut = is_cut(relay->from, relay->to);
  }
}

void Relays::Accept(Relay& relay) {
  if (!relay.listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    return;
  }
  Pair pair;
  pair.client = relay.listener.acceptConnection();
  try {
    pair.server.connect(Poco::Net::SocketAddress(relay.target),
                        Poco::Timespan(0, kConnectMs * 1000));
    pair.client.setNoDelay(true);
    pair.server.setNoDelay(true);
    relay.pairs.push_back(std::move(pair));
  } catch (const Poco::Exception&) {
    pair.client.close();
  }
}

void Relays::Turn(Relay& relay) {
  if (relay.cut) {
    return;
  }
  Accept(relay);
  std::erase_if(relay.pairs, [](Pair& pair) {
    try {
      return !Forward(pair.client, pair.server) ||
             !Forward(pair.server, pair.client);
    } catch (const Poco::Exception&) {
      return true;
    }
  });
}

void Relays::Run() {
  while (!stopping_) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (auto& relay : relays_) {
        Turn(*relay);
      }
    }
    std::this_thread::sleep_for(kTurn);
  }
}

}  // namespace goldcrest
