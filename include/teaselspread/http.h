// HTTP messages as plain values, and the names of the headers that nodes add.
#ifndef TEASELSPREAD_HTTP_H_
#define TEASELSPREAD_HTTP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include "teaselspread/error.h"
#include "teaselspread/memory_budget.h"

namespace teaselspread {

// Ties an answer to its request; echoed by every hop.
inline constexpr std::string_view kHeaderRequestId = "X-Request-Id";
// Whether the request ran: "not-run", "ran" or "unknown".
inline constexpr std::string_view kHeaderExecution = "X-Execution";
// NameOf(ErrorKind) of the error that gave this answer.
inline constexpr std::string_view kHeaderReason = "X-Reason";
inline constexpr std::string_view kHeaderRetryAfter = "Retry-After";
// The caller's credentials, and the scheme in which a 401 asks for them.
inline constexpr std::string_view kHeaderAuthorization = "Authorization";
inline constexpr std::string_view kHeaderAuthenticate = "WWW-Authenticate";
// Milliseconds that are left for the request.
inline constexpr std::string_view kHeaderDeadline = "X-Deadline-Ms";
// Counts the nodes that a request passed.
inline constexpr std::string_view kHeaderHop = "X-Hop";
// Load of the upstream that answered: 1 means that every slot is taken.
inline constexpr std::string_view kHeaderLoad = "X-Load";
inline constexpr std::string_view kHeaderConfigVersion = "X-Config-Version";
inline constexpr std::string_view kHeaderIdempotencyKey = "Idempotency-Key";
// Version of the service that a request must reach.
inline constexpr std::string_view kHeaderTargetVersion = "X-Target-Version";
// Set by an upstream that refused before it began.
inline constexpr std::string_view kHeaderNotRun = "X-Not-Run";

struct HttpHeader {
  std::string name;
  std::string value;

  bool operator==(const HttpHeader&) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

// The value of the first header `name` in any case, or "". The view lives as
// long as `headers` are unchanged. Thread safe.
[[nodiscard]] std::string_view FindHeader(const HttpHeaders& headers,
                                          std::string_view name);

// Replaces every header `name` by one. Precondition: neither text holds a line
// break. Not thread safe on the same headers.
void SetHeader(HttpHeaders& headers,
               std::string_view name,
               std::string_view value);

// Removes every header `name`. Not thread safe on the same headers.
void RemoveHeader(HttpHeaders& headers, std::string_view name);

// Removes the headers that concern one connection only (Connection,
// Keep-Alive, Transfer-Encoding, Content-Length, Expect, ...): the next hop
// frames the message anew. Not thread safe on the same headers.
void RemoveHopHeaders(HttpHeaders& headers);

// A whole request: its body was complete when it was made.
struct HttpRequest {
  std::string method = "GET";
  // Path and query.
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
  // Socket of the caller while the server's handler runs; -1 elsewhere. Give it
  // to CallOptions::caller_fd to end a call when its caller leaves.
  int caller_fd = -1;
  // Keeps the body counted against the memory budget.
  boost::intrusive_ptr<BudgetHold> hold;
};

// A whole answer.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  // Close the connection after this answer.
  bool close = false;
  boost::intrusive_ptr<BudgetHold> hold;
};

// The target without its query. Thread safe.
[[nodiscard]] std::string_view PathOf(const HttpRequest& request);

// The raw value of `key` in the query, or "". Thread safe.
[[nodiscard]] std::string_view QueryOf(const HttpRequest& request,
                                       std::string_view key);

// The answer that the table in error.h gives to `error`: status, X-Execution,
// X-Reason and, where a repeat helps, Retry-After. The caller spreads
// `retry_after` at random, else refused callers all return at once. Thread
// safe.
[[nodiscard]] HttpResponse ErrorResponse(
    const Error& error,
    std::chrono::seconds retry_after = std::chrono::seconds(1));

// True when the peer of socket `fd` has closed its side. A caller that only
// half-closes counts as gone too. False for -1. Thread safe.
[[nodiscard]] bool PeerGone(int fd);

}  // namespace teaselspread

#endif  // TEASELSPREAD_HTTP_H_
