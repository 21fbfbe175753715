#ifndef EDGE_SOCKET_LOOP_H_
#define EDGE_SOCKET_LOOP_H_

// One thread's sockets.
//
// A SocketLoop waits on non-blocking sockets (POCO's PollSet, epoll underneath)
// and tells each socket's handler what it is ready for. It belongs to one
// thread; only Wake() may be called from others. Waiting callers and running
// tasks cost one connection each and no thread.

#include <atomic>
#include <map>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include "goldcrest/time_units.h"

namespace goldcrest {

// Is told when its socket is ready. It may remove itself and others.
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

  // Watches `socket` for reading, and for writing when `writable`. The
  // handler must outlive the watch.
  void Add(const Poco::Net::Socket& socket,
           SocketHandler* handler,
           bool writable);

  // Starts or stops watching for writing.
  void WatchWritable(const Poco::Net::Socket& socket, bool writable);

  void Remove(const Poco::Net::Socket& socket);

  // Waits for at most `timeout` and tells the handlers of ready sockets.
  void Poll(Micros timeout);

  // Ends a Poll() that is waiting, from any thread.
  void Wake();

 private:
  void DrainWakeUps();

  Poco::Net::PollSet poll_set_;
  std::map<Poco::Net::Socket, SocketHandler*> handlers_;
  Poco::Net::DatagramSocket wake_socket_;
  std::atomic<bool> wake_pending_{false};
};

// Returns the time of the monotonic clock, in microseconds.
Micros MonotonicMicros();

// Returns both clocks.
Now ReadClock();

// Returns both clocks, with one that also counts while the VM is suspended in
// place of the monotonic one, which does not: leases must run out meanwhile.
Now ReadBootClock();

}  // namespace goldcrest

#endif  // EDGE_SOCKET_LOOP_H_
