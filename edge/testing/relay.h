#ifndef EDGE_TESTING_RELAY_H_
#define EDGE_TESTING_RELAY_H_

// A relay of TCP connections that can be cut, for tests of partitions.
//
// While a relay is cut it reads and forwards nothing, in both directions, and
// neither side is told: a silent partition. Connections stay open, and what
// was on its way arrives when the relay is whole again. All relays of a test
// share one thread.

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace goldcrest {

class Relays {
 public:
  Relays();
  ~Relays();
  Relays(const Relays&) = delete;
  Relays& operator=(const Relays&) = delete;

  // Listens on a port of the system's choice for connections to `target`,
  // which need not answer yet. Returns the address to connect to. `from` and
  // `to` name the two sides for Cut().
  std::string Add(const std::string& from,
                  const std::string& to,
                  const std::string& target);

  // Cuts every relay whose two sides `is_cut` holds for, and mends the others.
  void Cut(const std::function<bool(const std::string& from,
                                    const std::string& to)>& is_cut);

 private:
  // One connection: the client's side and the target's.
  struct Pair {
    Poco::Net::StreamSocket client;
    Poco::Net::StreamSocket server;
  };

  struct Relay {
    std::string from;
    std::string to;
    std::string target;
    Poco::Net::ServerSocket listener;
    std::vector<Pair> pairs;
    bool cut = false;
  };

  void Run();
  void Turn(Relay& relay);
  void Accept(Relay& relay);

  std::mutex mutex_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace goldcrest

#endif  // EDGE_TESTING_RELAY_H_
