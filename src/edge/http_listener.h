// HTTP/1.1 server on one event loop: delivers complete requests to a handler
// and sends the responses in the order of the requests.
//
// Everything here must be used on the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_HTTP_LISTENER_H_
#define TEASELSPREAD_SRC_EDGE_HTTP_LISTENER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "edge/memory_account.h"
#include "http/caller_limits.h"
#include "teaselspread/counters.h"
#include "teaselspread/error.h"
#include "teaselspread/http.h"
#include "teaselspread/types.h"

namespace teaselspread {

class HttpSession;

// One request of a caller and its response.
struct Exchange
    : boost::intrusive_ref_counter<Exchange, boost::thread_unsafe_counter> {
  HttpRequest request;
  // Counts the body of the request, and its head and response.
  MemoryHold body_memory;
  MemoryHold head_memory;
  // When the first bytes of the request were read.
  TimePoint received_at;
  // Called at most once, if the caller disconnects before the response is sent.
  std::function<void()> on_caller_disconnected;
  // Length of the request's body, which a handler may have moved.
  std::size_t body_bytes = 0;
  bool responded = false;
  bool caller_disconnected = false;
  bool head_only = false;
  bool close_after = false;
  HttpResponse response;
  HttpSession* session = nullptr;
};

using ExchangePtr = boost::intrusive_ptr<Exchange>;
using ExchangeHandler = std::function<void(const ExchangePtr&)>;
// The response to a request that will not be received whole. It is given the
// target and the headers, which are empty if not even those were received.
using PartialHandler = std::function<HttpResponse(const HttpRequest& head)>;
// Why a request should not be received further, if there is a reason; given its
// head.
using HeadHandler =
    std::function<std::optional<ErrorKind>(const HttpRequest& head)>;
// The same as PartialHandler for a request that the listener refuses for
// `kind`.
using RefusalHandler =
    std::function<HttpResponse(const HttpRequest& head, ErrorKind kind)>;

// Limits on the size of requests, and on the time that a caller may take to
// send the headers or stay idle.
struct SessionLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 64U << 20;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

enum class ListenerEvent : std::uint8_t {
  kAccepted,
  kRequest,
  kBadRequest,
  kHeadersTooLarge,
  kBodyTooLarge,
  kHeaderTimeout,
  kIdleClosed,
  kCallerDisconnected,
  kAcceptFailed,
  // The caller had closed the connection when its request was read.
  kLeftBeforeRead,
  // The process stops, and the request had not been received whole in time.
  kPartialRefused,
  // A request had no room in the memory, or had to make room for others.
  kNoMemory,
  // A body came too slowly, or a response was read too slowly.
  kBodyTimeout,
  kReadTimeout,
  // Closed in favour of a new connection, or new when there was no such one.
  kCrowdedOut,
  kCount,
};

// Stable name of a counter. Thread safe.
[[nodiscard]] std::string_view NameOf(ListenerEvent event);

// Accepts connections on one address. Not thread safe.
class HttpListener {
 public:
  HttpListener(boost::asio::io_context& loop, ExchangeHandler on_request);
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;
  ~HttpListener();

  // Errors: kSettings when the address cannot be bound.
  [[nodiscard]] Result<Address> Listen(const Address& address);

  // Responses sent from now on close their connection. Call before the process
  // ends.
  void CloseAfterResponses() { this->closing = true; }

  // Stops accepting connections and requests. Idle connections close at once,
  // the others after their pending responses. A request of which some bytes
  // have been received is received to its end. Precondition:
  // CloseAfterResponses was called.
  void CloseIntake();

  // Refuses every request that has not been received whole; its connection
  // closes after the response. Precondition: CloseIntake was called.
  void RefusePartialRequests(const PartialHandler& refuse);

  // Number of requests that have no response yet.
  [[nodiscard]] std::size_t CountPending() const;

  // Number of requests of which some bytes have been received, but not all.
  [[nodiscard]] std::size_t CountPartial() const;

  // Ends the request or response that holds most memory of those that callers
  // send or read slowly; false if there are none.
  bool EndLargestSlow();

  // Number of open connections.
  [[nodiscard]] std::size_t CountSessions() const {
    return this->sessions.size();
  }

  SessionLimits limits;
  PipelineDepth depth;
  // Connections that may be open at a time. A new one takes the place of the
  // most dispensable one (caller_limits.h), or is closed if there is none.
  std::size_t max_connections = 4096;
  // Counts what callers make this process hold; none without. Set it before
  // Listen. It must outlive the loop's handlers.
  MemoryAccount* memory = nullptr;
  // Asked once about each request with a large body, before that is received.
  HeadHandler check_head = [](const HttpRequest&) {
    return std::optional<ErrorKind>();
  };
  RefusalHandler refuse = [](const HttpRequest&, ErrorKind kind) {
    return ErrorResponse(Error{kind, std::string(NameOf(kind))});
  };
  CounterTable<ListenerEvent> counters;

 private:
  friend class HttpSession;
  using SessionPtr = boost::intrusive_ptr<HttpSession>;

  void Accept();
  void AcceptLater();
  void Admit(boost::asio::ip::tcp::socket socket);
  // Closes a dispensable connection; false if there is none among those that it
  // looks at.
  bool CloseDispensable();
  void Sweep();
  // Keeps them alive: what is done to one may end others, to free memory.
  [[nodiscard]] std::vector<SessionPtr> OpenSessions() const;

  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer sweep;
  boost::asio::steady_timer accept_retry;
  ExchangeHandler on_request;
  std::set<HttpSession*> sessions;
  // The last one at which CloseDispensable has looked; it may have ended.
  HttpSession* last_examined = nullptr;
  bool closing = false;
};

// Sends the response of one exchange; does nothing if a response was sent or
// the caller has disconnected. Not thread safe.
void SendResponse(Exchange& exchange, HttpResponse response);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_HTTP_LISTENER_H_
