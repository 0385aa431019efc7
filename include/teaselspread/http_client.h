// Sends HTTP/1.1 requests over pooled connections and says what is known of a
// request that failed.
#ifndef TEASELSPREAD_HTTP_CLIENT_H_
#define TEASELSPREAD_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "teaselspread/counters.h"
#include "teaselspread/error.h"
#include "teaselspread/http.h"
#include "teaselspread/memory_budget.h"
#include "teaselspread/types.h"

namespace teaselspread {

// What the pool counts of its own.
enum class ClientEvent : std::uint8_t {
  kOpened,
  kReused,
  kClosedByPeer,
  kUnsolicitedBytes,
  kExpired,
  kDistrusted,
  kConnectFailed,
  kConnectionLimit,
  kTimeout,
  kSilent,
  kTruncated,
  kWrongAnswer,
  kCancelled,
  kFailed,
  kCount,
};

// Stable label of the counter. Thread safe.
[[nodiscard]] std::string_view NameOf(ClientEvent event);

using ClientCounters = CounterTable<ClientEvent>;

// Ends a call from another thread. Thread safe.
class CancelToken {
 public:
  CancelToken();
  ~CancelToken();
  CancelToken(const CancelToken&) = delete;
  CancelToken& operator=(const CancelToken&) = delete;

  // Every call with this token ends with kCancelled, now or when it begins.
  void Cancel();

  [[nodiscard]] int Fd() const { return this->fd; }

 private:
  int fd;
};

struct CallOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  // For the whole call.
  Duration timeout = std::chrono::seconds(30);
  // Longest stretch without a byte while an answer is awaited or read.
  Duration silence = std::chrono::seconds(10);
  // A pooled connection is reused only if its last byte came within this time.
  // Short for non-idempotent requests: one lost in a connection that had gone
  // silent while idle may not be sent again.
  Duration reuse_within = std::chrono::seconds(15);
  // The answer must echo this in X-Request-Id; "" checks nothing.
  std::string expected_request_id;
  std::size_t max_body_bytes = 64U << 20;
  // Answer bodies are counted here; reading pauses while none is free.
  MemoryBudgetPtr budget;
  // The call ends with kCancelled when this socket's peer closes; -1 is none.
  int caller_fd = -1;
  const CancelToken* cancel = nullptr;
  // Sent instead of the request's own body, so that one that is forwarded need
  // not be copied at each attempt. It must live as long as the call.
  std::optional<std::string_view> body;
};

// Connections to many targets. Thread safe.
class HttpClientPool {
 public:
  // `max_per_target` bounds the connections to one target, busy ones included.
  explicit HttpClientPool(std::size_t max_per_target);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  // Sends `request` and waits for the whole answer. Hop headers, Host,
  // Content-Length are set anew. Any status is an answer, not an error.
  // Errors, all of which close the connection:
  //   kConnectFailed, kConnectionLimit: not one byte was sent, so not run;
  //   kTimeout, kSilentConnection, kUpstreamFailed, kTruncated, kWrongAnswer,
  //   kCancelled: bytes were sent (for kCancelled: may have been sent), so
  //   nobody knows whether it ran.
  // Also kBadRequest for a method that HTTP doesn't know. Thread safe.
  [[nodiscard]] Result<HttpResponse> Send(const Address& target,
                                          const HttpRequest& request,
                                          const CallOptions& options);

  // Closes the idle connections to `target`. Thread safe.
  void Forget(const Address& target);

  // Closes connections that were idle for longer than `idle`. Thread safe.
  void Prune(Duration idle);

  // Connections to `target`, busy and idle. Thread safe.
  [[nodiscard]] std::size_t Connections(const Address& target) const;

  // Thread safe.
  [[nodiscard]] const ClientCounters& Counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_HTTP_CLIENT_H_
