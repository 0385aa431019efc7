#include "edge/http_listener.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <deque>
#include <exception>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/clock.h"
#include "edge/endpoint.h"
#include "edge/http_text.h"
#include "http/beast_convert.h"
#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Parser = http::request_parser<http::string_body>;

constexpr std::size_t kReadBytes = 16384;
// Maximum number of pending requests of one connection. Reading pauses at this
// limit, so that further requests wait in the caller's buffers and not here.
constexpr std::size_t kMaxPipelined = 32;
// How often all connections are checked for time-outs. A timer for each
// connection would have to be set and cleared with each request.
constexpr std::chrono::milliseconds kSweepInterval{500};
// Long enough for a caller in another data centre to read its response.
constexpr std::chrono::milliseconds kLingerTime{1000};

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(ListenerEvent::kCount)>
    kNames = {"accepted",         "request",        "bad-request",
              "headers-large",    "body-too-large", "header-timeout",
              "idle-closed",      "caller-left",    "accept-failed",
              "left-before-read", "partial-refused"};

// What a connection still accepts.
enum class Intake : std::uint8_t {
  kOpen,
  // The process stops: the request that has begun is received, none after it.
  kLastRequest,
  // Bytes are discarded.
  kClosed,
};

struct Refusal {
  ErrorKind kind;
  ListenerEvent event;
  const char* message;
};

Refusal RefusalFor(boost::system::error_code error) {
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

std::string_view NameOf(ListenerEvent event) {
  return kNames.at(static_cast<std::size_t>(event));
}

// One connection of a caller.
class HttpSession
    : public boost::intrusive_ref_counter<HttpSession,
                                          boost::thread_unsafe_counter> {
 public:
  HttpSession(tcp::socket connected, HttpListener& owner)
      : socket(std::move(connected)), listener(&owner) {
    this->last_active = SteadyNow();
  }

  void Start() {
    this->NewParser();
    this->Read();
  }

  // Accepts no request but one that has begun; closes an idle connection.
  void StopReceiving();
  // Refuses the request that has not been received whole, if there is one.
  void RefusePartial(const PartialHandler& refuse);
  // Writes the responses that are next in the order of the requests.
  void Flush();
  void QueueResponse(Exchange& exchange);
  void OnWritten(boost::system::error_code error);
  void Linger();
  void Close();
  void DetachListener() { this->listener = nullptr; }
  void CheckTimeouts(TimePoint now);
  [[nodiscard]] std::size_t CountPending() const;
  [[nodiscard]] bool IsReceiving() const { return this->in_request; }
  [[nodiscard]] bool Idle() const {
    return this->pending.empty() && !this->writing && !this->in_request;
  }
  [[nodiscard]] bool ClosingAfterResponses() const {
    return this->listener == nullptr || this->listener->closing;
  }

 private:
  using Self = boost::intrusive_ptr<HttpSession>;

  void NewParser();
  void Read();
  void OnBytesOrDisconnect(std::size_t bytes);
  void OnBytes(std::size_t bytes);
  void Parse();
  void DispatchRequest();
  // Whether the close of the connection has arrived, which the loop has not
  // processed yet.
  [[nodiscard]] bool CallerHasClosed();
  void SendContinueIfDue();
  void RefuseInvalid(boost::system::error_code error);
  // Responds in the order of the requests; discards what follows.
  void RefuseAndClose(const HttpResponse& response);
  void OnCallerDisconnected();

  tcp::socket socket;
  HttpListener* listener;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  std::deque<ExchangePtr> pending;
  std::string output;
  TimePoint last_active;
  TimePoint request_started_at;
  bool in_request = false;
  bool reading = false;
  bool writing = false;
  Intake intake = Intake::kOpen;
  bool closed = false;
  bool continue_sent = false;
  bool lingering = false;
};

void HttpSession::NewParser() {
  this->parser.emplace();
  this->parser->eager(true);
  const SessionLimits& limits = this->listener->limits;
  this->parser->header_limit(
      static_cast<std::uint32_t>(limits.max_header_bytes));
  this->parser->body_limit(limits.max_body_bytes);
  this->in_request = false;
  this->continue_sent = false;
}

void HttpSession::Read() {
  if (this->reading || this->closed || this->pending.size() >= kMaxPipelined)
    return;
  this->reading = true;
  this->socket.async_read_some(
      this->buffer.prepare(kReadBytes),
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
    this->buffer.consume(this->buffer.size());
  } else {
    this->Parse();
  }
  this->Read();
}

void HttpSession::Parse() {
  while (this->buffer.size() > 0 && this->intake != Intake::kClosed &&
         !this->closed && this->pending.size() < kMaxPipelined) {
    if (!this->in_request) {
      this->in_request = true;
      this->request_started_at = SteadyNow();
    }
    boost::system::error_code error;
    const std::size_t used = this->parser->put(this->buffer.data(), error);
    this->buffer.consume(used);
    if (error == http::error::need_more)
      error = {};
    if (error) {
      this->RefuseInvalid(error);
      return;
    }
    if (this->parser->is_done()) {
      this->DispatchRequest();
      continue;
    }
    this->SendContinueIfDue();
    if (used == 0)
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
  exchange->received_at = this->request_started_at;
  exchange->request.method = std::string(message.method_string());
  exchange->request.target = std::string(message.target());
  exchange->request.headers = HeadersOf(message);
  exchange->request.body = std::move(message.body());
  exchange->head_only = message.method() == http::verb::head;
  exchange->close_after = !message.keep_alive();
  if (exchange->close_after || this->intake == Intake::kLastRequest)
    this->intake = Intake::kClosed;
  this->pending.push_back(exchange);
  this->listener->counters.Add(ListenerEvent::kRequest);
  this->NewParser();
  this->listener->on_request(exchange);
}

void HttpSession::RefuseInvalid(boost::system::error_code error) {
  const Refusal refused = RefusalFor(error);
  this->listener->counters.Add(refused.event);
  this->RefuseAndClose(ErrorResponse(Error{refused.kind, refused.message}));
}

void HttpSession::RefusePartial(const PartialHandler& refuse) {
  if (this->intake == Intake::kClosed || !this->in_request)
    return;
  HttpRequest head;
  if (this->parser->is_header_done()) {
    head.target = std::string(this->parser->get().target());
    head.headers = HeadersOf(this->parser->get());
  }
  this->listener->counters.Add(ListenerEvent::kPartialRefused);
  this->RefuseAndClose(refuse(head));
}

void HttpSession::RefuseAndClose(const HttpResponse& response) {
  ExchangePtr exchange(new Exchange);
  exchange->session = this;
  exchange->close_after = true;
  this->intake = Intake::kClosed;
  this->in_request = false;
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
  exchange.session = nullptr;
}

void HttpSession::Flush() {
  while (!this->pending.empty() && this->pending.front()->responded) {
    const ExchangePtr exchange = this->pending.front();
    this->pending.pop_front();
    this->QueueResponse(*exchange);
  }
  if (this->writing || this->output.empty() || this->closed)
    return;
  this->writing = true;
  auto text = std::make_unique<std::string>(std::move(this->output));
  this->output.clear();
  const auto view = asio::buffer(*text);
  asio::async_write(this->socket, view,
                    [self = Self(this), text = std::move(text)](
                        boost::system::error_code error, std::size_t) {
                      self->writing = false;
                      self->OnWritten(error);
                    });
}

void HttpSession::OnWritten(boost::system::error_code error) {
  if (this->closed)
    return;
  if (error) {
    this->OnCallerDisconnected();
    return;
  }
  this->last_active = SteadyNow();
  if (!this->output.empty()) {
    this->Flush();
    return;
  }
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
  if (this->listener != nullptr) {
    this->listener->sessions.erase(this);
    intrusive_ptr_release(this);
  }
}

void HttpSession::CheckTimeouts(TimePoint now) {
  const SessionLimits& limits = this->listener->limits;
  if (this->lingering) {
    if (now - this->last_active > kLingerTime)
      this->Close();
    return;
  }
  const bool headers_incomplete =
      this->in_request && !this->parser->is_header_done();
  if (headers_incomplete &&
      now - this->request_started_at > limits.header_timeout) {
    this->listener->counters.Add(ListenerEvent::kHeaderTimeout);
    this->Close();
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

void SendResponse(Exchange& exchange, const HttpResponse& response) {
  if (exchange.responded || exchange.caller_disconnected ||
      exchange.session == nullptr)
    return;
  exchange.responded = true;
  exchange.on_caller_disconnected = nullptr;
  exchange.close_after = exchange.close_after || response.close;
  exchange.response = response;
  exchange.session->Flush();
}

HttpListener::HttpListener(asio::io_context& io, ExchangeHandler handler)
    : acceptor(io), sweep(io), on_request(std::move(handler)) {}

HttpListener::~HttpListener() {
  const std::set<HttpSession*> open_sessions = std::move(this->sessions);
  this->sessions.clear();
  for (HttpSession* session : open_sessions) {
    session->DetachListener();
    session->Close();
    intrusive_ptr_release(session);
  }
}

Result<Address> HttpListener::Listen(const Address& address) {
  auto bound = ListenOn(this->acceptor, address);
  if (!bound)
    return bound;
  this->Accept();
  this->Sweep();
  return bound;
}

void HttpListener::Accept() {
  this->acceptor.async_accept(
      [this](boost::system::error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
          return;
        if (error) {
          this->counters.Add(ListenerEvent::kAcceptFailed);
          this->Accept();
          return;
        }
        this->counters.Add(ListenerEvent::kAccepted);
        boost::system::error_code ignored;  // a reset socket fails at its read
        socket.set_option(tcp::no_delay(true), ignored);
        auto* session = new HttpSession(std::move(socket), *this);
        intrusive_ptr_add_ref(session);
        this->sessions.insert(session);
        session->Start();
        this->Accept();
      });
}

void HttpListener::Sweep() {
  this->sweep.expires_after(kSweepInterval);
  this->sweep.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    const std::vector<HttpSession*> open(this->sessions.begin(),
                                         this->sessions.end());
    const TimePoint now = SteadyNow();
    for (HttpSession* session : open)
      session->CheckTimeouts(now);
    this->Sweep();
  });
}

void HttpListener::CloseIntake() {
  boost::system::error_code ignored;  // it may be closed already
  this->acceptor.close(ignored);
  const std::vector<HttpSession*> open(this->sessions.begin(),
                                       this->sessions.end());
  for (HttpSession* session : open)
    session->StopReceiving();
}

void HttpListener::RefusePartialRequests(const PartialHandler& refuse) {
  const std::vector<HttpSession*> open(this->sessions.begin(),
                                       this->sessions.end());
  for (HttpSession* session : open)
    session->RefusePartial(refuse);
}

std::size_t HttpListener::CountPending() const {
  std::size_t open = 0;
  for (const HttpSession* session : this->sessions)
    open += session->CountPending();
  return open;
}

std::size_t HttpListener::CountPartial() const {
  return static_cast<std::size_t>(std::count_if(
      this->sessions.begin(), this->sessions.end(),
      [](const HttpSession* session) { return session->IsReceiving(); }));
}

}  // namespace teaselspread
