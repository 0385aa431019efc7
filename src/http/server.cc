#include "teaselspread/http_server.h"

#include <array>
#include <utility>

#include "http/listener.h"

namespace teaselspread {
namespace {

constexpr auto kEvents = static_cast<std::size_t>(ServerEvent::kCount);
constexpr std::array<std::string_view, kEvents> kEventNames = {
    "connection",   "connection-refused", "crowded-out",    "request",
    "malformed",    "headers-too-large",  "body-too-large", "memory-budget",
    "head-refused", "request-cut",        "caller-silent",  "answer-not-taken",
    "handler-threw"};

}  // namespace

std::string_view NameOf(ServerEvent event) {
  return kEventNames.at(static_cast<std::size_t>(event));
}

class HttpServer::Impl {
 public:
  Impl(const HttpServerOptions& options,
       HttpHandler handler,
       HeadCheck check_head)
      : settings{options, std::move(handler), std::move(check_head), {}, {}},
        listener(this->settings) {}

  ServerSettings settings;
  Listener listener;
};

HttpServer::HttpServer(std::unique_ptr<Impl> server)
    : impl(std::move(server)) {}

HttpServer::~HttpServer() {
  this->Stop();
}

Result<std::unique_ptr<HttpServer>> HttpServer::Start(
    const HttpServerOptions& options,
    HttpHandler handler,
    HeadCheck check_head) {
  auto server = std::make_unique<Impl>(options, std::move(handler),
                                       std::move(check_head));
  if (const Result<void> opened = server->listener.Open(); !opened)
    return tl::make_unexpected(opened.error());
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(server)));
}

Address HttpServer::LocalAddress() const {
  return this->impl->listener.LocalAddress();
}

const ServerCounters& HttpServer::Counters() const {
  return this->impl->settings.counters;
}

std::size_t HttpServer::Connections() const {
  return this->impl->listener.Connections();
}

void HttpServer::Stop() {
  this->impl->listener.Stop();
}

}  // namespace teaselspread
