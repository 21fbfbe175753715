#ifndef EDGE_TESTING_CROWD_H_
#define EDGE_TESTING_CROWD_H_

// A crowd of clients that do not keep the limits of the protocol.
//
// Each client opens a connection, sends its script as fast as it is read, and
// stays. A client whose connection ends comes again at once. Nothing of it
// depends on time or chance.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "edge/socket_loop.h"

namespace goldcrest {

// What each client of a crowd sends.
struct CrowdScript {
  std::string opening;      // sent first
  std::string filler = {};  // repeated after it
  size_t filler_bytes = 0;  // of all repetitions together
  // Closes the connection when all is sent, and comes again.
  bool leaves_when_sent = false;
  bool reads_replies = true;
  // That a client sends at a time, if the connection takes them.
  size_t bytes_per_turn = 4 * 1024 * 1024;
};

class Crowd {
 public:
  // All clients connect to `address`. `loop` must outlive the crowd.
  Crowd(SocketLoop& loop,
        std::string address,
        size_t clients,
        CrowdScript script);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Opens the connections of clients that have none.
  void Advance();

  uint64_t sent_bytes() const { return sent_bytes_; }
  uint64_t connections_opened() const { return connections_opened_; }

 private:
  class Client;

  SocketLoop& loop_;
  std::string address_;
  CrowdScript script_;
  std::string block_;  // whole repetitions of the filler
  std::vector<std::unique_ptr<Client>> clients_;
  uint64_t sent_bytes_ = 0;
  uint64_t connections_opened_ = 0;
};

}  // namespace goldcrest

#endif  // EDGE_TESTING_CROWD_H_
