#include "http/exchange.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/span.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "http/beast_convert.h"
#include "http/response_head.h"

namespace teaselspread {
namespace {

namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;
using Parser = http::response_parser<http::string_body>;

constexpr unsigned kHttp11 = 11;
constexpr std::uint32_t kMaxAnswerHeaderBytes = 16384;

std::string TextOf(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

// Writes without a copy of the body, so that a retry can send it again.
boost::system::error_code WriteRequest(PollStream& stream,
                                       const Address& target,
                                       const HttpRequest& request,
                                       std::string_view body) {
  http::request<http::span_body<const char>> message;
  message.version(kHttp11);
  message.method_string(request.method);
  message.target(request.target);
  CopyHeaders(request.headers, message);
  message.set(http::field::host, TextOf(target));
  message.body() = {body.data(), body.size()};
  message.prepare_payload();
  boost::system::error_code error;
  http::write(stream, message, error);
  return error;
}

// What a failed read or write says of the request.
Error FailureOf(const PollStream& stream,
                std::uint64_t sent_before,
                const boost::system::error_code& error) {
  if (stream.LastEnd() == WaitEnd::kWatched)
    return {ErrorKind::kCancelled, "the call was given up"};
  // The kernel took no byte of it, so no peer can have seen it.
  if (stream.BytesSent() == sent_before)
    return {ErrorKind::kConnectFailed, "not sent: " + error.message()};
  switch (stream.LastEnd()) {
    case WaitEnd::kDeadline:
      return {ErrorKind::kTimeout, "no whole answer in time"};
    case WaitEnd::kSilence:
      return {ErrorKind::kSilentConnection, "no byte for too long"};
    case WaitEnd::kWatched:
    case WaitEnd::kReady:
      break;
  }
  const bool cut = error == http::error::partial_message;
  return {cut ? ErrorKind::kTruncated : ErrorKind::kUpstreamFailed,
          error.message()};
}

Result<void> ReadBody(PollStream& stream,
                      boost::beast::flat_buffer& buffer,
                      Parser& parser,
                      const CallOptions& options,
                      const CallBounds& bounds,
                      HttpResponse& response,
                      boost::system::error_code& error) {
  if (options.budget)
    response.hold.reset(new BudgetHold(options.budget, BudgetUse::kAnswer));
  const auto held = [&](std::size_t bytes) {
    return !response.hold ||
           response.hold->GrowToBefore(bytes, bounds.exchange.deadline);
  };
  if (!held(parser.content_length().value_or(0)))
    return Fail(ErrorKind::kTimeout, "no memory for the answer in time");
  while (!parser.is_done()) {
    http::read_some(stream, buffer, parser, error);
    if (error)
      return Fail(ErrorKind::kUpstreamFailed, error.message());
    if (!held(parser.get().body().size()))
      return Fail(ErrorKind::kTimeout, "no memory for the answer in time");
  }
  return {};
}

// Skips interim answers, which precede the real one.
boost::system::error_code ReadHead(PollStream& stream,
                                   boost::beast::flat_buffer& buffer,
                                   std::optional<Parser>& parser,
                                   const HttpRequest& request,
                                   const CallOptions& options) {
  boost::system::error_code error;
  do {
    parser.emplace();
    parser->header_limit(kMaxAnswerHeaderBytes);
    parser->body_limit(options.max_body_bytes);
    parser->skip(request.method == "HEAD");
    http::read_header(stream, buffer, *parser, error);
  } while (!error && IsInterimStatus(parser->get().result_int()));
  return error;
}

bool EchoFits(const HttpResponse& response, const CallOptions& options) {
  return options.expected_request_id.empty() ||
         FindHeader(response.headers, kHeaderRequestId) ==
             options.expected_request_id;
}

}  // namespace

CallBounds BoundsOf(const CallOptions& options) {
  const auto now = Clock::now();
  CallBounds bounds;
  bounds.exchange.deadline = now + options.timeout;
  bounds.exchange.silence = options.silence;
  bounds.exchange.cancel_fd = options.cancel ? options.cancel->Fd() : -1;
  bounds.exchange.caller_fd = options.caller_fd;
  bounds.connect = bounds.exchange;
  bounds.connect.deadline =
      now + std::min(options.connect_timeout, options.timeout);
  return bounds;
}

Result<PollStream> Connect(const Address& target, const CallBounds& bounds) {
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(target.host, error);
  if (error)
    return Fail(ErrorKind::kConnectFailed, "not an IP number: " + target.host);
  const boost::asio::ip::tcp::endpoint endpoint(ip, target.port);
  PollStream stream(
      ::socket(endpoint.protocol().family(), SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int begun = ::connect(stream.Fd(), endpoint.data(),
                              static_cast<socklen_t>(endpoint.size()));
  if (begun != 0 && errno != EINPROGRESS)
    return Fail(ErrorKind::kConnectFailed,
                TextOf(target) + ": " + std::strerror(errno));
  stream.SetLimits(bounds.connect);
  const WaitEnd end = begun == 0 ? WaitEnd::kReady : stream.Wait(POLLOUT);
  if (end == WaitEnd::kWatched)
    return Fail(ErrorKind::kCancelled, "the call was given up");
  if (end != WaitEnd::kReady)
    return Fail(ErrorKind::kConnectFailed, TextOf(target) + ": no connection");
  int failure = 0;
  socklen_t length = sizeof failure;
  ::getsockopt(stream.Fd(), SOL_SOCKET, SO_ERROR, &failure, &length);
  if (failure != 0)
    return Fail(ErrorKind::kConnectFailed,
                TextOf(target) + ": " + std::strerror(failure));
  // Bytes that the peer's kernel never acknowledges mean a dead path, while a
  // slow upstream acknowledges at once: this tells the two apart early.
  const auto unacknowledged = static_cast<unsigned>(
      std::chrono::ceil<std::chrono::milliseconds>(bounds.exchange.silence)
          .count());
  ::setsockopt(stream.Fd(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged,
               sizeof unacknowledged);
  return stream;
}

ExchangeOutcome Exchange(PollStream& stream,
                         const Address& target,
                         const HttpRequest& request,
                         const CallOptions& options,
                         const CallBounds& bounds) {
  const std::uint64_t sent_before = stream.BytesSent();
  const std::uint64_t received_before = stream.BytesReceived();
  const auto failed = [&](const Error& error) {
    const bool waited = error.kind == ErrorKind::kTimeout ||
                        error.kind == ErrorKind::kSilentConnection;
    return ExchangeOutcome{tl::make_unexpected(error), false,
                           waited && stream.BytesReceived() == received_before};
  };
  stream.SetLimits(bounds.exchange);
  // A peer that refuses a large body early answers and closes while it is
  // still being sent. Its answer, which may say "not run", is worth more than
  // the broken write.
  const auto unsent = WriteRequest(stream, target, request,
                                   options.body.value_or(request.body));
  if (unsent && (stream.LastEnd() != WaitEnd::kReady ||
                 stream.BytesSent() == sent_before))
    return failed(FailureOf(stream, sent_before, unsent));
  // An answer is never there at once: to read first would only be told so.
  if (!unsent && stream.Wait(POLLIN) != WaitEnd::kReady)
    return failed(FailureOf(stream, sent_before, http::error::end_of_stream));
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  if (const auto error = ReadHead(stream, buffer, parser, request, options))
    return failed(FailureOf(stream, sent_before, error));
  if (const HeadFault fault =
          FaultOf(parser->get().result_int(), parser->get());
      fault != HeadFault::kNone) {
    return failed({ErrorKind::kWrongResponse,
                   "the answer's head: " + std::string(NameOf(fault))});
  }
  HttpResponse response;
  response.status = static_cast<int>(parser->get().result_int());
  response.headers = HeadersOf(parser->get());
  // The end of the connection would be the only sign of the end of the body,
  // and a cut looks just like it.
  if (!parser->is_done() && parser->need_eof())
    return failed({ErrorKind::kTruncated, "the answer has no length"});
  if (!EchoFits(response, options))
    return failed(
        {ErrorKind::kWrongResponse, "the answer is another request's"});
  boost::system::error_code error;
  if (const Result<void> body =
          ReadBody(stream, buffer, *parser, options, bounds, response, error);
      !body)
    return failed(error ? FailureOf(stream, sent_before, error) : body.error());
  const bool reusable =
      !unsent && parser->get().keep_alive() && buffer.size() == 0;
  response.body = std::move(parser->get().body());
  return {std::move(response), reusable, false};
}

}  // namespace teaselspread
