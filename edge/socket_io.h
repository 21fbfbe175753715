#ifndef EDGE_SOCKET_IO_H_
#define EDGE_SOCKET_IO_H_

// Sending on non-blocking sockets.
//
// POCO reports a full send buffer of a non-blocking socket as an exception, as
// it does a broken connection; here the two are told apart.

#include <cstddef>

#include <Poco/Net/StreamSocket.h>

namespace goldcrest {

// Sends what the socket takes now. Returns the number of bytes, 0 when its
// buffer is full. Throws Poco::Exception when the connection is broken.
size_t SendSome(Poco::Net::StreamSocket& socket,
                const char* bytes,
                size_t count);

}  // namespace goldcrest

#endif  // EDGE_SOCKET_IO_H_
