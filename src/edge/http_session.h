// One connection of a caller: reads requests, and writes the responses in the
// order of the requests. Part of HttpListener.
//
// Everything here must be used on the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_HTTP_SESSION_H_
#define TEASELSPREAD_SRC_EDGE_HTTP_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "edge/http_listener.h"
#include "edge/memory_account.h"
#include "http/caller_limits.h"

namespace teaselspread {

// A head of usual size. Each connection keeps a buffer of this size.
inline constexpr std::size_t kHeadReadBytes = 4096;
inline constexpr std::size_t kBodyReadBytes = 32768;

// What a connection still accepts.
enum class Intake : std::uint8_t {
  kOpen,
  // The process stops: the request that has begun is received, none after it.
  kLastRequest,
  // Bytes are discarded.
  kClosed,
};

// One connection of a caller.
class HttpSession
    : public boost::intrusive_ref_counter<HttpSession,
                                          boost::thread_unsafe_counter> {
 public:
  HttpSession(boost::asio::ip::tcp::socket connected, HttpListener& owner);

  void Start() {
    this->NewParser();
    this->Read();
  }

  // Accepts no request but one that has begun; closes an idle connection.
  void StopReceiving();
  // Refuses the request that has not been received whole, if there is one.
  void RefusePartial(const PartialHandler& refuse);
  // Writes the responses that are next in the order of the requests.
  void Flush();
  void QueueResponse(Exchange& exchange);
  // Counts the body of a response. False if there is no memory for it, and the
  // connection has been closed: the request may have run, so it cannot be
  // refused.
  [[nodiscard]] bool HoldResponse(Exchange& exchange, std::size_t bytes);
  void WriteSome();
  void OnWritten();
  void Linger();
  void Close();
  void DetachListener() { this->listener = nullptr; }
  void CheckTimeouts(TimePoint now);
  [[nodiscard]] std::size_t CountPending() const;
  // Memory of a request that is received slowly and of responses that are read
  // slowly; 0 if there are none.
  [[nodiscard]] std::size_t SlowBytes(TimePoint now) const;
  // Ends what SlowBytes counts.
  void EndSlow(TimePoint now);
  // For the choice of connections that make place for others.
  [[nodiscard]] ConnectionState State() const;
  [[nodiscard]] bool IsReceiving() const { return this->in_request; }
  [[nodiscard]] bool Idle() const {
    return this->pending.empty() && !this->writing && !this->in_request;
  }
  [[nodiscard]] bool ClosingAfterResponses() const {
    return this->listener == nullptr || this->listener->closing;
  }

 private:
  using Self = boost::intrusive_ptr<HttpSession>;

  void NewParser();
  void Read();
  void OnBytesOrDisconnect(std::size_t bytes);
  void OnBytes(std::size_t bytes);
  void Parse();
  // Hands received bytes to the parser. Returns how many it took; the others
  // cannot be parsed yet.
  std::size_t ParseSome(TimePoint now, boost::system::error_code& error);
  void DispatchRequest();
  // Whether the close of the connection has arrived, which the loop has not
  // processed yet.
  [[nodiscard]] bool CallerHasClosed();
  void SendContinueIfDue();
  // Whether a request is received, or a response read, so slowly that it may be
  // ended to make room for others.
  [[nodiscard]] bool ReceivesSlowly(TimePoint now) const;
  [[nodiscard]] bool IsReadSlowly(TimePoint now) const;
  // Whether the next request may be received. If not, it waits in the caller's
  // buffers.
  [[nodiscard]] bool MayBeginRequest() const;
  // Of the bodies of all pending requests.
  [[nodiscard]] std::size_t PendingBodyBytes() const;
  [[nodiscard]] std::size_t UnsentBytes() const {
    return this->output.size() + this->being_written.size() -
           this->sending.bytes;
  }
  void CountUnsent();
  void RefuseForMemory();
  void RefuseInvalid(boost::system::error_code error);
  void RefuseReceiving(ErrorKind kind);
  // The request that is being received, without its body; empty before its head
  // has been received.
  [[nodiscard]] HttpRequest HeadReceived() const;
  // Length of the body, or of what has been received of one in chunks.
  // Precondition: the head has been received.
  [[nodiscard]] std::size_t BodyBytes() const;
  // False if the request, which has a large body, has been refused.
  [[nodiscard]] bool CheckHeadOnce();
  // Takes the memory of the request that is being received; false if there is
  // none left.
  [[nodiscard]] bool HoldRequest();
  [[nodiscard]] std::size_t RequestMemory() const;
  // A body in chunks, whose length is not known, would be copied each time that
  // its memory grows.
  void ReserveForChunks();
  void FreeUnusedBuffer();
  // Has the kernel receive more at a time, once there is memory for a body.
  void RaiseReceiveBuffer();
  // Responds in the order of the requests; discards what follows.
  void RefuseAndClose(const HttpResponse& response);
  void OnCallerDisconnected();

  boost::asio::ip::tcp::socket socket;
  HttpListener* listener;
  boost::beast::flat_buffer buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser;
  // Memory of the parsed head; 0 before it has been received.
  std::size_t head_memory = 0;
  MemoryHold request_memory;
  // The request that is being received.
  Transfer receiving;
  // Bytes received since the intake was closed.
  std::size_t discarded = 0;
  // The request takes memory at the moment, so it is not ended to free any.
  bool growing = false;
  std::deque<ExchangePtr> pending;
  std::string output;
  std::string being_written;
  // Of `being_written`.
  Transfer sending;
  MemoryHold unsent_memory;
  TimePoint last_active;
  // A request has been received whole, or refused.
  bool used = false;
  bool in_request = false;
  bool reading = false;
  bool writing = false;
  Intake intake = Intake::kOpen;
  bool closed = false;
  bool continue_sent = false;
  bool head_checked = false;
  bool receive_buffer_raised = false;
  bool lingering = false;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_HTTP_SESSION_H_
