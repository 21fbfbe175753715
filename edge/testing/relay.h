#ifndef EDGE_TESTING_RELAY_H_
#define EDGE_TESTING_RELAY_H_

// TCP relays that can block, delay and reset connections, for tests of network
// partitions.
//
// A relay that blocks a direction does not read from it, and neither side is
// notified: a silent partition, complete or one way. Connections stay open, and
// data in transit is delivered after the direction is unblocked. The relays
// never wait for a slow receiver, so that a stopped process delays only its own
// connections. All relays of a test share one thread.

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include "goldcrest/time_units.h"

namespace goldcrest {

// How a relay treats a connection. The client is the side that connected.
struct RelayState {
  bool block_from_client = false;
  bool block_to_client = false;
  Micros delay = 0;  // of each piece of data, one way

  friend bool operator==(const RelayState&, const RelayState&) = default;
};

// A connection that ended while its client had sent bytes and received none
// since. Times are monotonic.
struct InterruptedRequest {
  std::string from;
  std::string to;
  std::string client;        // "ip:port" of the client's side
  std::string ended_by;      // "client", "server", "reset" or an error's text
  size_t read_bytes = 0;     // read from the client since the last reply bytes
  size_t unsent_bytes = 0;   // of these, not passed on to the server
  Micros first_read_at = 0;  // when the first of these bytes was read
  Micros ended_at = 0;
};

// A connection that ended before any byte of its client was passed on to its
// target. Times are monotonic.
struct UnusedConnection {
  std::string from;
  std::string to;
  std::string client;  // as in InterruptedRequest
  std::string target;  // "ip:port" that the relay connected to
  // Whether the target's host refused the connection, since nothing listened at
  // the target. It has not been established then. The host resets one that it
  // has established but whose listener is closed, which is no refusal.
  bool refused = false;
  std::string ended_by;   // as in InterruptedRequest
  size_t read_bytes = 0;  // as in InterruptedRequest
  Micros connect_at = 0;  // when the relay connected to the target
  Micros ended_at = 0;    // not later than the client can notice the end
};

class Relays {
 public:
  using StateFunction =
      std::function<RelayState(const std::string& from, const std::string& to)>;
  using IsAffected =
      std::function<bool(const std::string& from, const std::string& to)>;

  Relays();
  ~Relays();
  Relays(const Relays&) = delete;
  Relays& operator=(const Relays&) = delete;

  // Listens on a port that the operating system assigns and relays connections
  // to `target`, which need not be listening yet. Returns the address to
  // connect to. `from` and `to` are the names of the two sides.
  std::string Add(const std::string& from,
                  const std::string& to,
                  const std::string& target);

  // Listens on `address` for connections of several clients and relays them to
  // `target`. The name of each client is the IP address that it connects from.
  void AddAt(const std::string& address,
             const std::string& to,
             const std::string& target);

  // Sets every connection, existing or new, to the state that `state_of`
  // returns for it. `state_of` is called on the relays' thread until it is
  // replaced.
  void SetStates(StateFunction state_of);

  // Blocks both directions of the connections for which `is_cut` returns true
  // and unblocks all others.
  void Cut(const IsAffected& is_cut);

  // Resets the currently open connections for which `is_affected` returns true.
  // They are closed when this returns. Must not be called on the relays'
  // thread.
  void Reset(const IsAffected& is_affected);

  // Returns the requests that have been interrupted since the last call.
  std::vector<InterruptedRequest> TakeInterruptedRequests();

  // Returns the connections that have ended unused since the last call.
  std::vector<UnusedConnection> TakeUnusedConnections();

 private:
  // Bytes that were read and are to be written at a given time; empty at the
  // end of the stream.
  struct Piece {
    Micros send_at = 0;
    std::string bytes;
  };

  // One direction of a connection.
  struct Flow {
    Poco::Net::StreamSocket from;
    Poco::Net::StreamSocket to;
    std::deque<Piece> pieces;
    size_t queued_bytes = 0;    // bytes in `pieces`
    bool blocked = false;       // neither read nor written
    bool eof_received = false;  // the sender has closed the connection
    bool watched = false;
  };

  struct Connection {
    std::string from;
    std::string to;
    RelayState state;
    Flow from_client;
    Flow to_client;
    bool must_close = false;     // to be closed by the relays' thread
    std::string ended_by;        // why it must be closed
    std::string client;          // address of the client's side
    std::string target;          // address of the server's side
    Micros connect_at = 0;       // when the server's side was connected
    bool refused = false;        // the target refused the connection
    bool used = false;           // bytes of the client have been passed on
    size_t request_bytes = 0;    // read from the client since the last reply
    Micros request_read_at = 0;  // when the first of them was read
  };

  struct Relay {
    std::string from;  // empty: named by the address of the client
    std::string to;
    std::string target;
    Poco::Net::ServerSocket listener;
    bool watched = false;
  };

  void Run();
  void Listen(std::unique_ptr<Relay> relay);
  void Accept(Relay& relay);
  // Connects a connection that was accepted to its target.
  void Connect(Connection& connection);
  // Gives a connection the state that `state_of_` returns.
  void ApplyState(Connection& connection);
  // Starts or stops reading from the source of `flow`, according to its state.
  void UpdateWatch(Flow& flow);
  void Read(Connection& connection, Flow& flow);
  void Write(Connection& connection, Flow& flow);
  // Applies the changes that other threads have made.
  void ApplyChanges();
  // Applies changes, accepts, relays data and closes connections once.
  void ProcessEvents(const std::set<Poco::Net::Socket>& ready);
  // Counts bytes that were read, for RecordInterruptedRequest().
  void CountRead(Connection& connection, const Flow& flow, size_t bytes);
  // Marks a connection to be closed, unless it is already.
  void MarkClosing(Connection& connection, const std::string& ended_by);
  // Marks a connection to be closed because of an error of its sockets.
  void MarkFailed(Connection& connection, const Poco::Exception& error);
  void RecordInterruptedRequest(const Connection& connection);
  void RecordUnusedConnection(const Connection& connection);
  void Close(Connection& connection);

  std::mutex mutex_;
  std::condition_variable processed_;  // notified after each iteration
  uint64_t iterations_ = 0;            // of the relays' thread
  StateFunction state_of_;
  bool changed_ = false;
  Poco::Net::PollSet poll_set_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::list<Connection> connections_;
  std::vector<InterruptedRequest> interrupted_requests_;
  std::vector<UnusedConnection> unused_connections_;
  bool has_queued_data_ =
      false;  // data is queued in a direction that is not blocked
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace goldcrest

#endif  // EDGE_TESTING_RELAY_H_
