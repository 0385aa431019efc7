#include "edge/http_session.h"

#include <sys/socket.h>

#include <algorithm>
#include <exception>
#include <iterator>
#include <memory>
#include <utility>

#include <boost/asio/buffer.hpp>

#include "base/clock.h"
#include "edge/http_text.h"
#include "http/beast_convert.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// Requests with longer bodies are refused before they are received, if they can
// be. Others are, after that, on a connection that stays open.
constexpr std::size_t kCheckedBodyBytes = std::size_t{64} << 10U;
// Reading pauses at these bytes of bodies that are pending, and of responses
// that the caller has not read.
constexpr std::size_t kMaxPendingBodyBytes = std::size_t{256} << 10U;
constexpr std::size_t kMaxUnsentBytes = std::size_t{64} << 10U;
// Long enough for a caller in another data centre to read its response.
constexpr std::chrono::milliseconds kLingerTime{1000};
// Bytes that are read and dropped behind the last request: the rest of most
// uploads, so that their callers come to read the response. Further ones wait
// in the caller's buffers until the connection closes.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{1} << 20U;

struct RefusalReason {
  ErrorKind kind;
  ListenerEvent event;
  const char* message;
};

RefusalReason ReasonFor(boost::system::error_code error) {
  if (error == http::error::header_limit)
    return {ErrorKind::kHeadersTooLarge, ListenerEvent::kHeadersTooLarge,
            "the headers are too large"};
  if (error == http::error::body_limit)
    return {ErrorKind::kBodyTooLarge, ListenerEvent::kBodyTooLarge,
            "the body is too large"};
  return {ErrorKind::kBadRequest, ListenerEvent::kBadRequest,
          "no valid HTTP request"};
}

}  // namespace

HttpSession::HttpSession(tcp::socket connected, HttpListener& owner)
    : socket(std::move(connected)),
      listener(&owner),
      request_memory(owner.memory),
      unsent_memory(owner.memory) {
  this->last_active = SteadyNow();
}

void HttpSession::NewParser() {
  this->parser.emplace();
  this->parser->eager(true);
  const SessionLimits& limits = this->listener->limits;
  this->parser->header_limit(
      static_cast<std::uint32_t>(limits.max_header_bytes));
  this->parser->body_limit(limits.max_body_bytes);
  this->in_request = false;
  this->continue_sent = false;
  this->head_checked = false;
  this->head_memory = 0;
  this->FreeUnusedBuffer();
  this->request_memory.ShrinkTo(this->RequestMemory());
}

std::size_t HttpSession::BodyBytes() const {
  const std::size_t received = this->parser->get().body().size();
  const std::uint64_t declared = this->parser->content_length().value_or(0);
  return std::max<std::size_t>(received, declared);
}

bool HttpSession::CheckHeadOnce() {
  if (this->head_checked || !this->parser->is_header_done())
    return true;
  if (this->BodyBytes() <= kCheckedBodyBytes)
    return true;
  this->head_checked = true;
  const auto reason = this->listener->check_head(this->HeadReceived());
  if (reason)
    this->RefuseReceiving(*reason);
  return !reason;
}

ConnectionState HttpSession::State() const {
  const bool head = this->in_request && !this->parser->is_header_done();
  ConnectionState state;
  state.used = this->used;
  state.receives_head = head;
  state.busy = !this->lingering && (this->writing || !this->pending.empty());
  state.receives_body = this->in_request && !head;
  state.lingers = this->lingering;
  state.since = this->in_request ? this->receiving.started : this->last_active;
  state.body = this->receiving;
  return state;
}

std::size_t HttpSession::PendingBodyBytes() const {
  std::size_t bytes = 0;
  for (const ExchangePtr& exchange : this->pending)
    bytes += exchange->body_bytes;
  return bytes;
}

bool HttpSession::MayBeginRequest() const {
  return this->pending.size() < this->listener->depth.requests &&
         this->PendingBodyBytes() < kMaxPendingBodyBytes &&
         this->UnsentBytes() < kMaxUnsentBytes;
}

void HttpSession::Read() {
  if (this->reading || this->closed || this->discarded > kMaxDiscardedBytes)
    return;
  // One read tells whether the caller disconnects while it waits.
  if (!this->in_request && !this->MayBeginRequest() && this->buffer.size() > 0)
    return;
  this->reading = true;
  const bool in_body = this->in_request && this->parser->is_header_done();
  this->socket.async_read_some(
      this->buffer.prepare(in_body ? kBodyReadBytes : kHeadReadBytes),
      [self = Self(this)](boost::system::error_code error, std::size_t bytes) {
        self->reading = false;
        if (self->closed)
          return;
        if (error) {
          self->OnCallerDisconnected();
          return;
        }
        self->OnBytesOrDisconnect(bytes);
      });
}

// What one caller sends must not end the process.
void HttpSession::OnBytesOrDisconnect(std::size_t bytes) {
  try {
    this->OnBytes(bytes);
  } catch (const std::exception& thrown) {
    Log(LogLevel::kError, "requests", "request-threw",
        {{"message", thrown.what()}});
    this->OnCallerDisconnected();
  }
}

void HttpSession::OnBytes(std::size_t bytes) {
  this->buffer.commit(bytes);
  if (!this->lingering)
    this->last_active = SteadyNow();
  if (this->intake == Intake::kClosed || this->listener == nullptr) {
    this->discarded += bytes;
    this->buffer.consume(this->buffer.size());
  } else {
    this->Parse();
  }
  this->Read();
}

std::size_t HttpSession::ParseSome(TimePoint now,
                                   boost::system::error_code& error) {
  const bool had_head = this->parser->is_header_done();
  const std::size_t used = this->parser->put(this->buffer.data(), error);
  this->buffer.consume(used);
  OnMoved(this->receiving, used, now);
  if (error == http::error::need_more)
    error = {};
  const bool has_new_head = !had_head && this->parser->is_header_done();
  if (!error && has_new_head && HasUnknownFraming(this->parser->get()))
    error = http::error::bad_transfer_encoding;
  return used;
}

void HttpSession::Parse() {
  while (this->buffer.size() > 0 && this->intake != Intake::kClosed &&
         !this->closed && (this->in_request || this->MayBeginRequest())) {
    const TimePoint now = SteadyNow();
    if (!this->in_request) {
      this->in_request = true;
      this->receiving = {now, now, 0};
    }
    boost::system::error_code error;
    const std::size_t used = this->ParseSome(now, error);
    if (error) {
      this->RefuseInvalid(error);
      return;
    }
    if (!this->CheckHeadOnce())
      return;
    this->ReserveForChunks();
    if (!this->HoldRequest()) {
      this->RefuseForMemory();
      return;
    }
    if (this->parser->is_done()) {
      this->DispatchRequest();
      continue;
    }
    this->RaiseReceiveBuffer();
    this->SendContinueIfDue();
    if (used > 0)
      continue;
    // What cannot be parsed yet is part of a head, of the line before a chunk
    // or of a trailer. Only the length of a head is limited by the parser.
    if (this->buffer.size() > this->listener->limits.max_header_bytes)
      this->RefuseInvalid(http::error::header_limit);
    return;
  }
}

void HttpSession::SendContinueIfDue() {
  if (!this->in_request || this->continue_sent || !this->pending.empty() ||
      !this->parser->is_header_done() ||
      this->parser->get()[http::field::expect] != "100-continue")
    return;
  this->continue_sent = true;
  this->output += "HTTP/1.1 100 Continue\r\n\r\n";
  this->Flush();
}

bool HttpSession::CallerHasClosed() {
  char byte = 0;
  return ::recv(this->socket.native_handle(), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) == 0;
}

void HttpSession::DispatchRequest() {
  // On a busy node a request may be read after its caller has given up.
  if (this->CallerHasClosed()) {
    this->listener->counters.Add(ListenerEvent::kLeftBeforeRead);
    this->OnCallerDisconnected();
    return;
  }
  auto& message = this->parser->get();
  ExchangePtr exchange(new Exchange);
  exchange->session = this;
  exchange->received_at = this->receiving.started;
  exchange->body_memory = this->request_memory.Split(message.body().size());
  exchange->head_memory = this->request_memory.Split(this->head_memory);
  exchange->request = this->HeadReceived();
  exchange->request.body = std::move(message.body());
  exchange->head_only = message.method() == http::verb::head;
  exchange->close_after = !message.keep_alive();
  if (exchange->close_after || this->intake == Intake::kLastRequest)
    this->intake = Intake::kClosed;
  this->used = true;
  exchange->body_bytes = exchange->request.body.size();
  this->pending.push_back(exchange);
  this->listener->counters.Add(ListenerEvent::kRequest);
  this->NewParser();
  this->listener->on_request(exchange);
}

void HttpSession::RefuseInvalid(boost::system::error_code error) {
  const RefusalReason refused = ReasonFor(error);
  this->listener->counters.Add(refused.event);
  this->RefuseAndClose(ErrorResponse(Error{refused.kind, refused.message}));
}

HttpRequest HttpSession::HeadReceived() const {
  HttpRequest head;
  if (this->parser->is_header_done()) {
    head.method = std::string(this->parser->get().method_string());
    head.target = std::string(this->parser->get().target());
    head.headers = HeadersOf(this->parser->get());
  }
  return head;
}

void HttpSession::RefusePartial(const PartialHandler& refuse) {
  if (this->closed || this->intake == Intake::kClosed || !this->in_request)
    return;
  this->listener->counters.Add(ListenerEvent::kPartialRefused);
  this->RefuseAndClose(refuse(this->HeadReceived()));
}

void HttpSession::RefuseReceiving(ErrorKind kind) {
  this->RefuseAndClose(this->listener->refuse(this->HeadReceived(), kind));
}

void HttpSession::RefuseForMemory() {
  this->listener->counters.Add(ListenerEvent::kNoMemory);
  this->RefuseReceiving(ErrorKind::kMemoryBudget);
}

void HttpSession::RefuseAndClose(const HttpResponse& response) {
  ExchangePtr exchange(new Exchange);
  exchange->session = this;
  exchange->close_after = true;
  this->intake = Intake::kClosed;
  this->buffer.consume(this->buffer.size());
  this->NewParser();
  this->pending.push_back(exchange);
  SendResponse(*exchange, response);
}

void HttpSession::QueueResponse(Exchange& exchange) {
  // While the process stops, only the last pending response of a connection
  // carries "Connection: close"; an earlier one would abort the requests after
  // it, which are running already.
  const bool last = this->pending.empty() &&
                    (this->intake == Intake::kClosed || !this->in_request);
  if (last && this->ClosingAfterResponses())
    exchange.close_after = true;
  if (exchange.close_after)
    this->intake = Intake::kClosed;
  const auto after =
      exchange.close_after ? AfterMessage::kClose : AfterMessage::kKeep;
  this->output += TextOf(exchange.response, after, exchange.head_only);
  exchange.response = {};
  exchange.head_memory.ShrinkTo(0);
  exchange.session = nullptr;
}

void HttpSession::Flush() {
  while (!this->pending.empty() && this->pending.front()->responded &&
         this->UnsentBytes() < kMaxUnsentBytes) {
    const ExchangePtr exchange = this->pending.front();
    this->pending.pop_front();
    this->QueueResponse(*exchange);
  }
  if (this->writing || this->output.empty() || this->closed)
    return;
  this->writing = true;
  this->being_written = std::exchange(this->output, {});
  const TimePoint now = SteadyNow();
  this->sending = {now, now, 0};
  this->CountUnsent();
  this->WriteSome();
}

void HttpSession::WriteSome() {
  const std::string_view left =
      std::string_view(this->being_written).substr(this->sending.bytes);
  this->socket.async_write_some(
      asio::buffer(left.data(), left.size()),
      [self = Self(this)](boost::system::error_code error, std::size_t bytes) {
        if (self->closed)
          return;
        if (error) {
          self->OnCallerDisconnected();
          return;
        }
        OnMoved(self->sending, bytes, SteadyNow());
        if (self->sending.bytes < self->being_written.size())
          self->WriteSome();
        else
          self->OnWritten();
      });
}

void HttpSession::OnWritten() {
  this->writing = false;
  this->being_written = {};
  this->sending = {};
  this->CountUnsent();
  this->last_active = SteadyNow();
  this->Flush();
  if (this->writing)
    return;
  if (this->intake == Intake::kClosed && this->pending.empty()) {
    this->Linger();
    return;
  }
  if (this->listener != nullptr && this->intake != Intake::kClosed) {
    this->Parse();
    this->SendContinueIfDue();
  }
  this->Read();
}

// Closing a socket with unread bytes sends a reset, which may discard the
// response before the caller has read it. So only the sending direction is shut
// down, and received bytes are dropped until the caller closes or kLingerTime
// has passed.
void HttpSession::Linger() {
  if (this->lingering)
    return;
  this->lingering = true;
  this->last_active = SteadyNow();
  boost::system::error_code ignored;  // the peer may have closed already
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  this->Read();
}

void HttpSession::StopReceiving() {
  if (this->closed)
    return;
  if (this->Idle()) {
    this->Close();
    return;
  }
  if (this->intake == Intake::kOpen)
    this->intake = this->in_request ? Intake::kLastRequest : Intake::kClosed;
}

void HttpSession::OnCallerDisconnected() {
  if (this->closed)
    return;
  const auto abandoned = std::move(this->pending);
  this->pending.clear();
  if (this->listener != nullptr && !abandoned.empty())
    this->listener->counters.Add(ListenerEvent::kCallerDisconnected);
  const Self keep(this);
  for (const ExchangePtr& exchange : abandoned) {
    exchange->session = nullptr;
    if (exchange->responded)
      continue;
    exchange->caller_disconnected = true;
    if (exchange->on_caller_disconnected)
      std::exchange(exchange->on_caller_disconnected, nullptr)();
  }
  this->Close();
}

void HttpSession::Close() {
  if (this->closed)
    return;
  this->closed = true;
  boost::system::error_code ignored;  // the peer may have closed already
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  this->socket.close(ignored);
  for (const ExchangePtr& exchange : this->pending)
    exchange->session = nullptr;
  this->pending.clear();
  // What is left goes with the handlers of its reads and writes, which the loop
  // calls next.
  this->request_memory.ShrinkTo(0);
  this->unsent_memory.ShrinkTo(0);
  if (this->listener != nullptr) {
    this->listener->sessions.erase(this);
    intrusive_ptr_release(this);
  }
}

void HttpSession::CheckTimeouts(TimePoint now) {
  if (this->closed)
    return;
  const SessionLimits& limits = this->listener->limits;
  if (this->lingering) {
    if (now - this->last_active > kLingerTime)
      this->Close();
    return;
  }
  const bool headers_incomplete =
      this->in_request && !this->parser->is_header_done();
  if (headers_incomplete &&
      now - this->receiving.started > limits.header_timeout) {
    this->listener->counters.Add(ListenerEvent::kHeaderTimeout);
    this->Close();
    return;
  }
  // A request waits for its caller only while the connection is being read.
  if (this->in_request && this->reading &&
      HasStalled(this->receiving, limits.idle_timeout, now)) {
    this->listener->counters.Add(ListenerEvent::kBodyTimeout);
    this->RefuseReceiving(ErrorKind::kRequestTimeout);
    return;
  }
  if (this->writing && HasStalled(this->sending, limits.idle_timeout, now)) {
    this->listener->counters.Add(ListenerEvent::kReadTimeout);
    this->OnCallerDisconnected();
    return;
  }
  if (this->Idle() && now - this->last_active > limits.idle_timeout) {
    this->listener->counters.Add(ListenerEvent::kIdleClosed);
    this->Close();
  }
}

std::size_t HttpSession::CountPending() const {
  return static_cast<std::size_t>(std::count_if(
      this->pending.begin(), this->pending.end(),
      [](const ExchangePtr& exchange) { return !exchange->responded; }));
}

void SendResponse(Exchange& exchange, HttpResponse response) {
  if (exchange.responded || exchange.caller_disconnected ||
      exchange.session == nullptr)
    return;
  exchange.responded = true;
  exchange.on_caller_disconnected = nullptr;
  exchange.close_after = exchange.close_after || response.close;
  if (!exchange.session->HoldResponse(exchange, response.body.size()))
    return;
  exchange.response = std::move(response);
  exchange.session->Flush();
}

}  // namespace teaselspread
