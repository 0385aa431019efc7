// Serves HTTP/1.1: whole, checked requests go to one handler function.
#ifndef TEASELSPREAD_HTTP_SERVER_H_
#define TEASELSPREAD_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "teaselspread/counters.h"
#include "teaselspread/error.h"
#include "teaselspread/http.h"
#include "teaselspread/memory_budget.h"
#include "teaselspread/types.h"

namespace teaselspread {

// What the server counts of its own.
enum class ServerEvent : std::uint8_t {
  kConnection,
  kConnectionRefused,
  kCrowdedOut,
  kRequest,
  kMalformed,
  kHeadersTooLarge,
  kBodyTooLarge,
  kMemoryBudget,
  kHeadRefused,
  kRequestCut,
  kCallerSilent,
  kAnswerNotTaken,
  kHandlerThrew,
  kCount,
};

// Stable label of the counter. Thread safe.
[[nodiscard]] std::string_view NameOf(ServerEvent event);

using ServerCounters = CounterTable<ServerEvent>;

struct HttpServerOptions {
  // Port 0 takes any free one.
  Address listen;
  // Each connection has a thread. One beyond takes the place of one without a
  // request; if there is none, it gets 503 and is closed.
  std::size_t max_connections = 1024;
  // Threads that wait ready for new connections.
  std::size_t spare_threads = 16;
  std::size_t max_header_bytes = 8192;
  // Asked before each request, in place of max_header_bytes; may be empty. Must
  // be thread safe.
  std::function<std::size_t()> head_limit;
  std::size_t max_body_bytes = 64U << 20;
  // Bodies of requests are counted here; none means no common bound.
  MemoryBudgetPtr budget;
  // From the first byte of a request to the end of its headers.
  Duration head_timeout = std::chrono::seconds(10);
  // Longest stretch without a byte inside a request or an answer.
  Duration silence = std::chrono::seconds(5);
  // For a whole body: one that trickles in would hold its memory for hours.
  Duration body_timeout = std::chrono::seconds(120);
  // Kept open between requests for this long.
  Duration idle_timeout = std::chrono::seconds(60);
  // A stopping server still answers this long on connections that were idle:
  // their callers may have sent a request before they saw the end.
  Duration stop_grace = std::chrono::milliseconds(200);
};

// Called on many threads at a time, so it must be thread safe. It may block.
using HttpHandler = std::function<HttpResponse(HttpRequest)>;

// Called with the headers of a request before its body is read: the number of
// body bytes that it may have, or the error to refuse it with. Thread safe.
using HeadCheck = std::function<Result<std::size_t>(const HttpRequest&)>;

// A listening server with a thread for each connection. Thread safe.
class HttpServer {
 public:
  // Errors: kSettings when the address is unusable.
  [[nodiscard]] static Result<std::unique_ptr<HttpServer>> Start(
      const HttpServerOptions& options,
      HttpHandler handler,
      HeadCheck check_head = {});

  // As Stop.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Where it listens, with the port that was taken. Thread safe.
  [[nodiscard]] Address LocalAddress() const;

  // Thread safe.
  [[nodiscard]] const ServerCounters& Counters() const;

  // Connections open now. Thread safe.
  [[nodiscard]] std::size_t Connections() const;

  // Stops accepting, waits for every request in progress and its answer, then
  // closes. It never cuts a request, so it takes as long as the handler does.
  // A second call waits too. Thread safe; not from the handler.
  void Stop();

 private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> server);
  std::unique_ptr<Impl> impl;
};

}  // namespace teaselspread

#endif  // TEASELSPREAD_HTTP_SERVER_H_
