// Asynchronous HTTP/1.1 client on the event loop for one address, with a pool
// of persistent connections.
//
// Everything here must be used on the thread that runs the loop.
#ifndef TEASELSPREAD_SRC_EDGE_LOOP_CLIENT_H_
#define TEASELSPREAD_SRC_EDGE_LOOP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "edge/request_body.h"
#include "teaselspread/counters.h"
#include "teaselspread/error.h"
#include "teaselspread/http.h"
#include "teaselspread/types.h"

namespace teaselspread {

class LoopConnection;

// Result of one call. `execution` is kNotRun only if the upstream cannot have
// received the request.
struct CallResult {
  bool has_response = false;
  HttpResponse response;
  ErrorKind error = ErrorKind::kInternal;
  Execution execution = Execution::kUnknown;
};

using CallHandler = std::function<void(CallResult)>;

enum class CallEvent : std::uint8_t {
  kOpened,
  kReused,
  kConnectFailed,
  kClosedWhileIdle,
  kUnexpectedBytes,
  kMismatchedResponse,
  kTruncated,
  kMalformedResponse,
  kCancelled,
  // The response's length, or the responses of all calls together, exceed
  // kMaxResponseBytes.
  kTooLarge,
  kCount,
};

// Stable name of a counter. Thread safe.
[[nodiscard]] std::string_view NameOf(CallEvent event);

// Maximum length of a response, and of the parts of all responses of a client
// that are incomplete. VMs have a few times this memory for their node.
inline constexpr std::size_t kMaxResponseBytes = 32U << 20;

// Not thread safe.
class LoopClient {
 public:
  explicit LoopClient(boost::asio::io_context& io) : loop(io) {}
  LoopClient(const LoopClient&) = delete;
  LoopClient& operator=(const LoopClient&) = delete;
  ~LoopClient();

  // Sets the address of later calls; closes idle connections to another one.
  void SetAddress(const Address& to);

  // Sends `request` and passes the complete response to `done`, once and never
  // from inside this function. The response has to echo `request_id`, which is
  // empty for a server that echoes none. A connection that was idle for longer
  // than `reuse_within` is not reused. The handle stays valid until `done` was
  // called. `on_bytes` is called whenever bytes of the response are received.
  LoopConnection* Call(const HttpRequest& request,
                       std::string request_id,
                       Duration reuse_within,
                       CallHandler done,
                       std::function<void()> on_bytes = nullptr);

  // The same with `body` in place of the request's own; null for none.
  LoopConnection* CallWithBody(const HttpRequest& request,
                               RequestBodyPtr body,
                               std::string request_id,
                               Duration reuse_within,
                               CallHandler done,
                               std::function<void()> on_bytes = nullptr);

  // Closes the connection of a call; `done` is not called. Precondition:
  // `done` was not called yet.
  void Cancel(LoopConnection* call);

  // Checks whether a process listens at the address: opens a connection and
  // closes it. `done` is called within some 100 ms, with false only if the
  // connection was refused.
  void CheckListening(std::function<void(bool)> done);

  // Whether bytes of the call's request may have reached the server.
  [[nodiscard]] static bool MayHaveSent(const LoopConnection* call);

  // Closes connections that were idle for `longer_than`.
  void Prune(Duration longer_than);

  // Bytes of responses that are incomplete.
  [[nodiscard]] std::size_t HeldBytes() const { return this->held; }

  CounterTable<CallEvent> counters;

 private:
  friend class LoopConnection;

  LoopConnection* TakeIdle(Duration reuse_within);
  void EndLargestAboveLimit();

  boost::asio::io_context& loop;
  Address address;
  std::vector<LoopConnection*> idle;
  std::set<LoopConnection*> all;
  std::size_t held = 0;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_SRC_EDGE_LOOP_CLIENT_H_
