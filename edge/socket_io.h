#ifndef EDGE_SOCKET_IO_H_
#define EDGE_SOCKET_IO_H_

// Sending on non-blocking sockets.
//
// POCO throws an exception both for a full send buffer and for a broken
// connection. SendSome() distinguishes the two.

#include <cstddef>

#include <Poco/Net/StreamSocket.h>

namespace goldcrest {

// Sends as many bytes as the socket accepts without blocking. Returns their
// number, 0 if the send buffer is full. Throws Poco::Exception if the
// connection is broken.
size_t SendSome(Poco::Net::StreamSocket& socket,
                const char* bytes,
                size_t count);

}  // namespace goldcrest

#endif  // EDGE_SOCKET_IO_H_
