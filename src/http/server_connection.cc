#include "http/server_connection.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <exception>
#include <string>
#include <utility>

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "http/beast_convert.h"
#include "http/caller_limits.h"

namespace teaselspread {
namespace {

namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;

constexpr unsigned kHttp11 = 11;
// Least bound on the bytes that wait to be parsed. Chunk extensions and
// trailers are parsed when they are whole, whatever their size.
constexpr std::size_t kMinUnparsedBytes = 16U << 10;
// Bytes of a refused request that are read and dropped after the answer.
constexpr std::size_t kMaxDiscard = 256U << 10;
constexpr auto kDiscardTime = std::chrono::milliseconds(200);

std::size_t MemoryOfHead(const HttpRequest& request) {
  std::size_t bytes = 0;
  for (const auto& [name, value] : request.headers)
    bytes += name.size() + value.size();
  return HeadMemory(request.headers.size(), bytes);
}

bool MayHaveBody(int status) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status != kNoContent && status != kNotModified;
}

}  // namespace

ServerConnection::ServerConnection(int socket, int stop, ServerSettings& shared)
    : stream(socket), stop_fd(stop), settings(shared) {}

void ServerConnection::Serve() {
  this->settings.connections.Add(this->open, this->stream.Fd());
  while (this->ServeOne()) {
  }
  this->settings.connections.Remove(this->open);
}

bool ServerConnection::Stopping() const {
  pollfd entry{this->stop_fd, POLLIN, 0};
  return ::poll(&entry, 1, 0) > 0;
}

// False when the connection is to be closed without another request.
bool ServerConnection::WaitForRequest() {
  const bool head_begun = this->buffer.size() > 0;
  this->settings.connections.OnWaiting(this->open, head_begun);
  if (head_begun)
    return true;
  StreamLimits idle;
  idle.deadline = Clock::now() + this->settings.options.idle_timeout;
  idle.cancel_fd = this->stop_fd;
  this->stream.SetLimits(idle);
  WaitEnd end = this->stream.Wait(POLLIN);
  if (end == WaitEnd::kWatched) {
    idle.cancel_fd = -1;
    idle.deadline = Clock::now() + this->settings.options.stop_grace;
    this->stream.SetLimits(idle);
    end = this->stream.Wait(POLLIN);
  }
  return end == WaitEnd::kReady;
}

bool ServerConnection::ServeOne() {
  if (!this->WaitForRequest())
    return false;
  Result<Received> received = this->Receive();
  if (!received) {
    if (received.error().kind != ErrorKind::kCancelled)
      this->RefuseAndClose(received.error());
    return false;
  }
  this->settings.counters.Add(ServerEvent::kRequest);
  HttpResponse response = this->RunHandler(std::move(received->request));
  return this->Write(std::move(response), received->keep_alive,
                     received->head_only);
}

Result<ServerConnection::Received> ServerConnection::Receive() {
  Parser parser;
  if (const Result<void> head = this->ReadHead(parser); !head)
    return tl::make_unexpected(head.error());
  this->settings.connections.OnHead(this->open);
  Received received;
  HttpRequest& request = received.request;
  request.method = std::string(parser.get().method_string());
  request.target = std::string(parser.get().target());
  request.headers = HeadersOf(parser.get());
  request.caller_fd = this->stream.Fd();
  received.keep_alive = parser.get().keep_alive();
  received.head_only = parser.get().method() == http::verb::head;
  if (const Result<void> body = this->ReadBody(parser, request); !body)
    return tl::make_unexpected(body.error());
  this->settings.connections.OnRequest(this->open);
  return received;
}

Result<void> ServerConnection::ReadHead(Parser& parser) {
  const HttpServerOptions& options = this->settings.options;
  const std::size_t head_bytes =
      options.head_limit ? options.head_limit() : options.max_header_bytes;
  parser.header_limit(static_cast<std::uint32_t>(head_bytes));
  this->buffer.max_size(
      std::max({head_bytes, kMinUnparsedBytes, this->buffer.size()}));
  parser.body_limit(options.max_body_bytes);
  StreamLimits bounds;
  bounds.deadline = Clock::now() + options.head_timeout;
  bounds.silence = options.silence;
  this->stream.SetLimits(bounds);
  boost::system::error_code error;
  http::read_header(this->stream, this->buffer, parser, error);
  if (!error && HasUnknownFraming(parser.get()))
    error = http::error::bad_transfer_encoding;
  if (!error)
    return {};
  // Closed between two requests: the normal end of a connection.
  if (error == http::error::end_of_stream)
    return Fail(ErrorKind::kCancelled, "closed");
  return tl::make_unexpected(this->ReadError(error));
}

Error ServerConnection::ReadError(const boost::system::error_code& error) {
  ServerCounters& counters = this->settings.counters;
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    counters.Add(ServerEvent::kHeadersTooLarge);
    return {ErrorKind::kHeadersTooLarge, "the headers are too large"};
  }
  if (error == http::error::body_limit) {
    counters.Add(ServerEvent::kBodyTooLarge);
    return {ErrorKind::kBodyTooLarge, "the body is too large"};
  }
  const bool parsed_badly =
      error.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      error != http::error::partial_message;
  if (parsed_badly) {
    counters.Add(ServerEvent::kMalformed);
    return {ErrorKind::kBadRequest, error.message()};
  }
  const bool silent = this->stream.LastEnd() != WaitEnd::kReady;
  counters.Add(silent ? ServerEvent::kCallerSilent : ServerEvent::kRequestCut);
  return {ErrorKind::kBadRequest,
          silent ? "the request stopped midway" : "the request was cut"};
}

Result<std::size_t> ServerConnection::BodyLimit(const HttpRequest& head) const {
  const std::size_t most = this->settings.options.max_body_bytes;
  if (!this->settings.check_head)
    return most;
  Result<std::size_t> limit = this->settings.check_head(head);
  if (limit)
    return std::min(*limit, most);
  this->settings.counters.Add(ServerEvent::kHeadRefused);
  return limit;
}

Result<void> ServerConnection::ReadBody(Parser& parser, HttpRequest& request) {
  const Result<std::size_t> limit = this->BodyLimit(request);
  if (!limit)
    return tl::make_unexpected(limit.error());
  const std::size_t announced = parser.content_length().value_or(0);
  if (announced > *limit)
    return tl::make_unexpected(this->ReadError(http::error::body_limit));
  parser.body_limit(*limit);
  if (this->settings.options.budget)
    request.hold.reset(
        new BudgetHold(this->settings.options.budget, BudgetUse::kRequest));
  const std::size_t head_memory = MemoryOfHead(request);
  const auto held = [&](std::size_t body_bytes) {
    return !request.hold || request.hold->GrowTo(head_memory + body_bytes);
  };
  const Error full{ErrorKind::kMemoryBudget, "no memory for the body now"};
  if (!held(announced)) {
    this->settings.counters.Add(ServerEvent::kMemoryBudget);
    return tl::make_unexpected(full);
  }
  boost::system::error_code error;
  if (!parser.is_done() &&
      boost::beast::iequals(parser.get()[http::field::expect], "100-continue"))
    http::write(
        this->stream,
        http::response<http::empty_body>(http::status::continue_, kHttp11),
        error);
  StreamLimits bounds;
  bounds.deadline = Clock::now() + this->settings.options.body_timeout;
  bounds.silence = this->settings.options.silence;
  this->stream.SetLimits(bounds);
  while (!parser.is_done()) {
    const std::size_t bytes =
        http::read_some(this->stream, this->buffer, parser, error);
    if (error)
      return tl::make_unexpected(this->ReadError(error));
    this->settings.connections.OnBody(this->open, bytes);
    std::string& body = parser.get().body();
    const bool large = parser.chunked() && body.size() >= kReserveChunksFrom;
    if (!held(large ? *limit : body.size())) {
      this->settings.counters.Add(ServerEvent::kMemoryBudget);
      return tl::make_unexpected(full);
    }
    if (large)
      body.reserve(*limit);
  }
  request.body = std::move(parser.get().body());
  if (request.hold)
    request.hold->ShrinkTo(head_memory + request.body.size());
  return {};
}

HttpResponse ServerConnection::RunHandler(HttpRequest request) {
  try {
    return this->settings.handler(std::move(request));
  } catch (const std::exception& thrown) {
    // One bad request must not end the process and all others with it.
    this->settings.counters.Add(ServerEvent::kHandlerThrew);
    return ErrorResponse({ErrorKind::kInternal, thrown.what()});
  }
}

bool ServerConnection::Write(HttpResponse response,
                             bool keep_alive,
                             bool head_only) {
  http::response<http::string_body> message;
  message.version(kHttp11);
  message.result(static_cast<unsigned>(response.status));
  CopyHeaders(response.headers, message);
  if (MayHaveBody(response.status))
    message.body() = std::move(response.body);
  message.keep_alive(keep_alive && !response.close && !this->Stopping());
  message.prepare_payload();
  if (head_only)
    message.body().clear();
  StreamLimits bounds;
  bounds.silence = this->settings.options.silence;
  this->stream.SetLimits(bounds);
  boost::system::error_code error;
  http::write(this->stream, message, error);
  if (error)
    this->settings.counters.Add(ServerEvent::kAnswerNotTaken);
  return !error && message.keep_alive();
}

void ServerConnection::RefuseAndClose(const Error& error) {
  HttpResponse refusal = ErrorResponse(error);
  refusal.close = true;
  this->Write(std::move(refusal), false, false);
  // Closing with unread bytes resets the connection, and the reset can
  // overtake the refusal: the caller would see a broken connection and not
  // know that nothing ran. So end our side first and read on for a while.
  ::shutdown(this->stream.Fd(), SHUT_WR);
  StreamLimits bounds;
  bounds.deadline = Clock::now() + kDiscardTime;
  this->stream.SetLimits(bounds);
  boost::system::error_code failure;
  std::array<char, 4096> dropped{};
  std::size_t total = 0;
  while (!failure && total < kMaxDiscard)
    total += this->stream.read_some(boost::asio::buffer(dropped), failure);
}

void ServerConnection::RefuseAtOnce(const Error& error) {
  HttpResponse refusal = ErrorResponse(error);
  refusal.close = true;
  StreamLimits bounds;
  bounds.deadline = Clock::now();
  this->stream.SetLimits(bounds);
  this->Write(std::move(refusal), false, false);
}

}  // namespace teaselspread
