// The server side of HTTP/1.1 on one event loop: whole requests in, answers
// out in the order of the requests.
//
// Everything here belongs to the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_HTTP_LISTENER_H_
#define TEASELSPREAD_SRC_EDGE_HTTP_LISTENER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "teaselspread/counters.h"
#include "teaselspread/error.h"
#include "teaselspread/http.h"
#include "teaselspread/types.h"

namespace teaselspread {

class HttpSession;

// One request of a caller and the place for its answer.
struct Exchange
    : boost::intrusive_ref_counter<Exchange, boost::thread_unsafe_counter> {
  HttpRequest request;
  // When the first bytes of the request were read.
  TimePoint arrived;
  // Called at most once, when the caller leaves before the answer.
  std::function<void()> on_gone;
  bool answered = false;
  // The caller has closed its connection.
  bool gone = false;
  bool head_only = false;
  bool close_after = false;
  HttpResponse response;
  HttpSession* session = nullptr;
};

using ExchangePtr = boost::intrusive_ptr<Exchange>;
using ExchangeHandler = std::function<void(const ExchangePtr&)>;

// What a caller may send and how long it may take or stay idle.
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
  kCallerLeft,
  kAcceptFailed,
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

  // Later answers close their connection. Call before the process ends.
  void CloseAfterAnswers() { this->closing = true; }

  // Takes neither connections nor requests any more. Connections on which
  // nothing is under way close, the others after the answers that they wait
  // for. Precondition: CloseAfterAnswers was called.
  void CloseIntake();

  // Requests that have no answer yet.
  [[nodiscard]] std::size_t CountOpen() const;

  // Connections that are open.
  [[nodiscard]] std::size_t CountSessions() const {
    return this->sessions.size();
  }

  SessionLimits limits;
  CounterTable<ListenerEvent> counters;

 private:
  friend class HttpSession;

  void Accept();
  void Sweep();

  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer sweep;
  ExchangeHandler on_request;
  std::set<HttpSession*> sessions;
  bool closing = false;
};

// Gives the answer of one exchange; a second call, or one after the caller
// left, does nothing. Not thread safe.
void Answer(Exchange& exchange, const HttpResponse& response);

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_HTTP_LISTENER_H_
