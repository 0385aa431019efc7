#include "teaselspread/http_client.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <optional>
#include <utility>

#include "http/connection_pool.h"
#include "http/exchange.h"

namespace teaselspread {
namespace {

constexpr auto kEvents = static_cast<std::size_t>(ClientEvent::kCount);
constexpr std::array<std::string_view, kEvents> kEventNames = {
    "opened",    "reused",     "closed-by-peer", "unsolicited",
    "expired",   "distrusted", "connect-failed", "connection-limit",
    "timeout",   "silent",     "truncated",      "wrong-answer",
    "cancelled", "failed"};

ClientEvent EventOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kConnectFailed:
      return ClientEvent::kConnectFailed;
    case ErrorKind::kTimeout:
      return ClientEvent::kTimeout;
    case ErrorKind::kSilentConnection:
      return ClientEvent::kSilent;
    case ErrorKind::kTruncated:
      return ClientEvent::kTruncated;
    case ErrorKind::kWrongResponse:
      return ClientEvent::kWrongAnswer;
    case ErrorKind::kCancelled:
      return ClientEvent::kCancelled;
    default:
      return ClientEvent::kFailed;
  }
}

}  // namespace

std::string_view NameOf(ClientEvent event) {
  return kEventNames.at(static_cast<std::size_t>(event));
}

CancelToken::CancelToken() : fd(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

CancelToken::~CancelToken() {
  ::close(this->fd);
}

void CancelToken::Cancel() {
  ::eventfd_write(this->fd, 1);
}

class HttpClientPool::Impl {
 public:
  explicit Impl(std::size_t max_per_target)
      : pool(max_per_target, this->counters) {}

  Result<HttpResponse> Send(const Address& target,
                            const HttpRequest& request,
                            const CallOptions& options) {
    const CallBounds bounds = BoundsOf(options);
    auto connection = this->pool.Take(target, options.reuse_within, bounds);
    if (!connection)
      return tl::make_unexpected(connection.error());
    const auto sent_at = std::chrono::steady_clock::now();
    ExchangeOutcome outcome =
        Exchange(connection->stream, target, request, options, bounds);
    if (outcome.reusable) {
      this->pool.GiveBack(target, std::move(*connection));
      return std::move(outcome.response);
    }
    this->pool.Drop(target);
    if (outcome.response)
      return std::move(outcome.response);
    this->counters.Add(EventOf(outcome.response.error().kind));
    if (outcome.no_byte_came)
      this->pool.Distrust(target, sent_at);
    return std::move(outcome.response);
  }

  ClientCounters counters;
  ConnectionPool pool;
};

HttpClientPool::HttpClientPool(std::size_t max_per_target)
    : impl(std::make_unique<Impl>(max_per_target)) {}

HttpClientPool::~HttpClientPool() = default;

Result<HttpResponse> HttpClientPool::Send(const Address& target,
                                          const HttpRequest& request,
                                          const CallOptions& options) {
  return this->impl->Send(target, request, options);
}

void HttpClientPool::Forget(const Address& target) {
  this->impl->pool.Forget(target);
}

void HttpClientPool::Prune(Duration idle) {
  this->impl->pool.Prune(idle);
}

std::size_t HttpClientPool::Connections(const Address& target) const {
  return this->impl->pool.Connections(target);
}

const ClientCounters& HttpClientPool::Counters() const {
  return this->impl->counters;
}

}  // namespace teaselspread
