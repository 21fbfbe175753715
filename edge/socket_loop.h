#ifndef EDGE_SOCKET_LOOP_H_
#define EDGE_SOCKET_LOOP_H_

// Event loop for the sockets of one thread.
//
// A SocketLoop waits on non-blocking sockets (POCO's PollSet, which uses epoll)
// and notifies the handler of each ready socket. It belongs to one thread; only
// Wake() may be called from other threads. Each waiting caller and each running
// task costs one connection but no thread.

#include <atomic>
#include <map>
#include <vector>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include "goldcrest/time_units.h"

namespace goldcrest {

// Notified when its socket is ready. A handler may remove its own socket and
// others from the loop.
class SocketHandler {
 public:
  virtual ~SocketHandler() = default;
  virtual void OnReadable() = 0;
  virtual void OnWritable() = 0;
};

class SocketLoop {
 public:
  SocketLoop();
  SocketLoop(const SocketLoop&) = delete;
  SocketLoop& operator=(const SocketLoop&) = delete;

  // Watches `socket` for reading, and for writing if `writable`. Does not take
  // ownership of `handler`, which must stay valid until Remove().
  void Add(const Poco::Net::Socket& socket,
           SocketHandler* handler,
           bool writable);

  // Starts or stops watching a socket for writing.
  void WatchWritable(const Poco::Net::Socket& socket, bool writable);

  // Sets what a socket is watched for. Errors are reported in any case.
  void Watch(const Poco::Net::Socket& socket, bool readable, bool writable);

  // Has the next Poll() call OnReadable() of the socket's handler without
  // waiting, although nothing may have arrived: it has input left that it did
  // not handle in this turn, so that others have theirs.
  void Defer(const Poco::Net::Socket& socket);

  // Removes a socket and its handler.
  void Remove(const Poco::Net::Socket& socket);

  // Waits for at most `timeout` and notifies the handlers of ready sockets.
  void Poll(Micros timeout);

  // Ends a Poll() that is waiting, or else the next one. Callable from any
  // thread.
  void Wake();

  // When the last Poll() began, on the monotonic clock. The handler of each
  // socket that was ready by then has been notified; what came later may wait
  // unread, and so may what a handler leaves for its next notification.
  Micros polled_at() const { return polled_at_; }
  // When the last Poll() stopped waiting.
  Micros woke_at() const { return woke_at_; }

 private:
  void DrainWakeUps();
  // Calls the handlers of `sockets` that are still watched.
  void RunDeferred(const std::vector<Poco::Net::Socket>& sockets);

  Poco::Net::PollSet poll_set_;
  std::map<Poco::Net::Socket, SocketHandler*> handlers_;
  std::vector<Poco::Net::Socket> deferred_;
  Poco::Net::DatagramSocket wake_socket_;
  std::atomic<bool> wake_pending_{false};
  Micros polled_at_ = 0;
  Micros woke_at_ = 0;
};

// Returns the time of the monotonic clock, in microseconds.
Micros MonotonicMicros();

// Returns the monotonic clock and the wall clock.
StepTime ReadClock();

// Returns the same, but with the boot clock in place of the monotonic one. The
// boot clock also advances while the VM is suspended, so that leases expire
// during that time.
StepTime ReadBootClock();

}  // namespace goldcrest

#endif  // EDGE_SOCKET_LOOP_H_
