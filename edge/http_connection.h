#ifndef EDGE_HTTP_CONNECTION_H_
#define EDGE_HTTP_CONNECTION_H_

// One connection of an HttpServer; only the server uses this class.
//
// A connection passes one request at a time to the server's handler, and the
// next one when the reply has been sent. It reads what the present request
// needs, and little beyond it, so that a client that sends too much still gets
// its reply. What it holds beyond a small part is reserved from the budget of
// the process (buffer_budget.h). After its last reply it lingers: it shuts down
// its sending side and discards what it receives until the client closes or
// the time for it is over. A socket that is closed with unread input resets the
// connection, which can destroy a reply on its way.

#include <cstdint>
#include <optional>
#include <string>

#include <Poco/Net/StreamSocket.h>

#include "edge/http_server.h"
#include "edge/request_reader.h"

namespace goldcrest {

class HttpServer::Connection : public SocketHandler {
 public:
  Connection(HttpServer& server,
             uint64_t id,
             const Poco::Net::StreamSocket& socket);
  ~Connection() override;

  void OnReadable() override;
  void OnWritable() override { Flush(); }

  // Sends the reply to the request that waits.
  void Respond(const HttpReply& reply);

  // Closes the socket and frees all buffers. The connection object is destroyed
  // later.
  void CloseSocket();

  // Returns why the connection is past one of its timeouts, if it is.
  std::optional<CloseReason> StaleReason(Micros now);

  // Returns the rank of the connection when one is to be closed.
  CloseRank Rank(Micros now) const;

  // Returns the weight of its buffers (buffer_budget.h); 0 if they may not be
  // given up.
  uint64_t BufferWeight(Micros now) const;

  // Passes the requests that have been read to the server's request handler, as
  // far as one may be handled now.
  void HandleBufferedRequests();

  // Gives up the buffers to make room: refuses the request that is being read,
  // or closes the connection if its reply is not read.
  void GiveUpBuffer();

  // Returns whether bytes have arrived that were not read.
  bool HasUnreadInput();

  bool is_waiting() const { return token_ != 0; }
  bool is_replying() const { return !output_.empty(); }
  // Returns whether a part of a request, or a whole one, has been read.
  bool is_reading() const { return reader_.has_input(); }
  bool is_lingering() const { return lingering_; }
  RequestToken token() const { return token_; }
  Micros last_active() const { return last_active_; }

 private:
  enum class ReadResult { kMore, kClosedByClient, kBroken };

  // Reads available bytes, at most as many as one turn allows.
  ReadResult ReadAvailable();
  // Reads and discards available bytes. Closes the connection when the client
  // has closed it, or has sent too much.
  void Discard();
  // Returns whether the connection is to read on.
  bool WantsInput() const;
  // Returns whether a client that has closed its side gets no reply any more.
  bool HasNothingToAnswer() const;
  // Passes one complete request to the server's request handler. Returns
  // whether there was one.
  bool HandleNextRequest();
  // Returns whether the reply to the current request is the last one.
  bool IsLastReply(const HttpReply& reply) const;
  void Queue(std::string bytes);
  void Flush();
  // Sends queued bytes. Returns false if the connection is broken.
  bool SendQueued();
  // Frees the buffer of a reply that has been sent.
  void FreeOutput();
  // Reserves or releases what the connection holds now. Returns false if there
  // is no room for it, or if the connection gave up its own buffers.
  bool UpdateReservation();
  void BeginLinger();
  // Watches the socket for what the connection can do next.
  void UpdateWatch();
  // Answers a request that is not handled, and closes the connection then.
  void RespondWithError(ResultCode code);

  HttpServer& server_;
  uint64_t id_;
  Poco::Net::StreamSocket socket_;
  RequestReader reader_;
  std::string output_;
  size_t output_sent_ = 0;      // bytes of it
  size_t waiting_bytes_ = 0;    // of the request that waits
  size_t reserved_bytes_ = 0;   // from the budget
  size_t discarded_bytes_ = 0;  // while lingering
  RequestToken token_ = 0;
  bool keep_alive_ = true;
  bool close_after_output_ = false;
  bool sent_continue_ = false;
  bool handling_ = false;
  bool reserving_ = false;
  bool gave_up_ = false;  // its buffers, while it was reserving
  bool client_closed_ = false;
  bool lingering_ = false;
  bool socket_closed_ = false;
  bool watching_readable_ = true;
  bool watching_writable_ = false;
  Micros last_active_;
  // When the first bytes of the request in the input buffer arrived, or when
  // the reply before it was sent, whichever is later.
  Micros request_started_ = 0;
  // When bytes of the current reply were last sent.
  Micros reply_progress_ = 0;
  Micros linger_started_ = 0;
};

}  // namespace goldcrest

#endif  // EDGE_HTTP_CONNECTION_H_
